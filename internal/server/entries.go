package server

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/peer"
	"jasminestep/internal/relay"
	"jasminestep/internal/table"
)

// Entry is the stored row of an entry.
type Entry struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`
	Life string `json:"life,omitempty"` // instance ID of the entry's process

	Strength float64 `json:"strength"`          // suitability as an owner, see Settings.Strength
	Leaving  bool    `json:"leaving,omitempty"` // a planned stop has begun; the entry takes on no new work
}

// writeEntryRow writes this entry's row, at its start and at a planned stop. It
// retries until it succeeds, another row of the entry has to be written, or ctx
// ends.
func (s *Server) writeEntryRow(ctx context.Context, leaving bool) {
	b, err := json.Marshal(Entry{s.Settings.ID, s.Settings.PeerAddr, s.Settings.Zone, s.instanceID, s.Settings.Strength(), leaving})
	if err != nil {
		s.Log.Error("entry row not written", "why", err.Error())
		return
	}
	known := table.Row{Key: table.Key{Table: entryTable, Name: s.Settings.ID}}
	for ctx.Err() == nil && s.stopping.Load() == leaving {
		put := table.Row{Key: known.Key, Value: b}
		res, err := s.relayStore.Do(ctx, table.Tx{If: []table.Row{known}, Put: []table.Row{put}})
		switch {
		case err != nil:
			s.Log.Warn("entry row not written", "why", err.Error())
			sleep(ctx, retryDelay)
			continue
		case res.Done:
			return
		}
		known.Version = 0
		for _, r := range res.Rows {
			var e Entry
			if leaving && json.Unmarshal(r.Value, &e) == nil && e.Life != s.instanceID {
				return // of the next process, or this one never had a row
			}
			known.Version = r.Version
		}
	}
}

// applyEntryTable applies rows of entries and owner rows.
func (s *Server) applyEntryTable(rows []table.Row, whole bool) {
	var entries, owners []table.Row
	for _, r := range rows {
		if r.Part == "" {
			entries = append(entries, r)
		} else {
			owners = append(owners, r)
		}
	}
	s.applyEntryRows(entries)
	s.applyOwnerRows(owners, whole)
}

// applyEntryRows applies rows of entries.
func (s *Server) applyEntryRows(rows []table.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entriesReadAt.IsZero() {
		s.entriesReadAt = monotonicNow()
	}
	for _, r := range rows {
		var e Entry
		if r.Deleted || json.Unmarshal(r.Value, &e) != nil {
			delete(s.entries, r.Name)
			continue
		}
		if old, ok := s.entries[r.Name]; ok && old.Life != e.Life {
			delete(s.failures, e.Addr) // they are of the former process, as are connections
			s.peers.Forget(e.Addr)
		}
		s.entries[r.Name] = e
	}
}

// otherEntries returns the addresses of the other entries, as an entry without
// a path to the store asks them. Entries that failed to respond recently come
// last, and strong ones come before weak ones: the writes of an owner fill the
// link of a weak entry. Among equals the order differs from entry to entry.
func (s *Server) otherEntries(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for _, e := range s.entries {
		if e.Name != s.Settings.ID {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := s.avoided(now, out[a].Addr), s.avoided(now, out[b].Addr)
		if x != y {
			return y
		}
		if out[a].Strength != out[b].Strength {
			return out[a].Strength > out[b].Strength
		}
		return rank(s.Settings.ID, out[a].Name) < rank(s.Settings.ID, out[b].Name)
	})
	addrs := make([]string, len(out))
	for i, e := range out {
		addrs[i] = e.Addr
	}
	return addrs
}

// callFailures records that an entry did not respond.
type callFailures struct {
	count      int
	avoidUntil time.Time // the entry is not preferred before
}

// Bounds on how long an entry that did not respond is avoided. The time doubles
// with each further failure.
const (
	minAvoidTime = time.Second
	maxAvoidTime = 16 * time.Second
)

func (s *Server) avoided(now time.Time, addr string) bool {
	b, ok := s.failures[addr]
	return ok && now.Before(b.avoidUntil)
}

// callEntry calls another entry and records whether it responded.
func (s *Server) callEntry(ctx context.Context, addr, method string, args, reply any) error {
	err := s.peers.Call(ctx, addr, peer.Traffic, method, args, reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || answered(err) {
		delete(s.failures, addr)
		return err
	}
	b := s.failures[addr]
	if now := monotonicNow(); !now.Before(b.avoidUntil) {
		b.avoidUntil = now.Add(min(minAvoidTime<<min(b.count, 8), maxAvoidTime))
		b.count++
		s.failures[addr] = b
	}
	return err
}

// reportStoreLoss tells the other entries of the zone that this entry cannot
// reach the store. In a partitioned zone the load balancer sends clients to
// another zone only once no entry of the zone is ready.
func (s *Server) reportStoreLoss() {
	s.mu.Lock()
	var addrs []string
	for _, e := range s.entries {
		if e.Zone == s.Settings.Zone && e.Name != s.Settings.ID {
			addrs = append(addrs, e.Addr)
		}
	}
	s.mu.Unlock()
	s.Log.Warn("store unreachable")
	for _, a := range addrs {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
			defer cancel()
			if err := s.peers.Call(ctx, a, peer.Control, "NoStore", struct{}{}, &struct{}{}); err != nil {
				s.Log.Debug("store loss not reported", "to", a, "why", err.Error())
			}
		}()
	}
}

// storeRelays gives access to the store through other entries.
type storeRelays struct{ s *Server }

// Others implements relay.Peers.
func (r storeRelays) Others(now time.Time) []string { return r.s.otherEntries(now) }

// Do implements relay.Peers.
func (r storeRelays) Do(ctx context.Context, addr string, tx table.Tx) (table.Result, error) {
	var out RelayReply
	err := r.s.callEntry(ctx, addr, "Relay", tx, &out)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return table.Result{}, errors.Mark(err, table.ErrNotApplied)
	case err != nil:
		return table.Result{}, err
	case out.Refused:
		return table.Result{}, errors.Mark(errors.New(out.Error), table.ErrNotApplied)
	case out.Error != "":
		return table.Result{}, errors.New(out.Error)
	}
	return out.Result, nil
}

// Read implements relay.Peers.
func (r storeRelays) Read(ctx context.Context, addr string, f relay.ReadRequest) (out relay.ReadResult, err error) {
	if err = r.s.callEntry(ctx, addr, "Read", f, &out); err == nil && out.Error != "" {
		err = errors.New(out.Error)
	}
	return out, err
}
