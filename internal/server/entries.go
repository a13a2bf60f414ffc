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

// Entry is the row of an entry.
type Entry struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
	Zone string `json:"zone"`

	Strength float64 `json:"strength"`          // as an owner
	Leaving  bool    `json:"leaving,omitempty"` // a planned stop has begun: it takes on nothing
}

// enrol writes this entry's row, at its start and when it is to stop.
func (s *Server) enrol(ctx context.Context, leaving bool) {
	b, err := json.Marshal(Entry{s.Settings.ID, s.Settings.Peer, s.Settings.Zone, s.Settings.Strength(), leaving})
	if err != nil {
		s.Log.Error("enrol", "why", err.Error())
		return
	}
	tx := table.Tx{Put: []table.Row{{Key: table.Key{Table: entryTable, Name: s.Settings.ID}, Value: b}}}
	for ctx.Err() == nil {
		if _, err = s.store.Do(ctx, tx); err == nil {
			return
		}
		s.Log.Warn("enrol", "why", err.Error())
		pause(ctx, retryGap)
	}
}

// members takes in rows of entries and of owners.
func (s *Server) members(rows []table.Row, whole bool) {
	var entries, owners []table.Row
	for _, r := range rows {
		if r.Part == "" {
			entries = append(entries, r)
		} else {
			owners = append(owners, r)
		}
	}
	s.enrolled(entries)
	s.owned(owners, whole)
}

// enrolled takes in rows of entries.
func (s *Server) enrolled(rows []table.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.enrolledAt.IsZero() {
		s.enrolledAt = steady()
	}
	for _, r := range rows {
		var e Entry
		if r.Deleted || json.Unmarshal(r.Value, &e) != nil {
			delete(s.names, r.Name)
			continue
		}
		s.names[r.Name] = e
	}
}

// others returns the addresses of other entries, those that answer first, in an
// order that differs from entry to entry.
func (s *Server) others(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Entry
	for _, e := range s.names {
		if e.Name != s.Settings.ID {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := s.blamed(now, out[a].Addr), s.blamed(now, out[b].Addr)
		if x != y {
			return y
		}
		return rank(s.Settings.ID, out[a].Name) < rank(s.Settings.ID, out[b].Name)
	})
	addrs := make([]string, len(out))
	for i, e := range out {
		addrs[i] = e.Addr
	}
	return addrs
}

// blame is what is held against an entry that did not answer.
type blame struct {
	times int
	until time.Time // it is passed over
}

// Bounds on how long an entry that did not answer is passed over; longer each time.
const (
	blameLeast = time.Second
	blameMost  = 16 * time.Second
)

func (s *Server) blamed(now time.Time, addr string) bool {
	b, ok := s.blame[addr]
	return ok && now.Before(b.until)
}

// call calls another entry and remembers whether it answered.
func (s *Server) call(ctx context.Context, addr, method string, args, reply any) error {
	err := s.peers.Call(ctx, addr, peer.Traffic, method, args, reply)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || answered(err) {
		delete(s.blame, addr)
		return err
	}
	b := s.blame[addr]
	if now := steady(); !now.Before(b.until) {
		b.until = now.Add(min(blameLeast<<min(b.times, 8), blameMost))
		b.times++
		s.blame[addr] = b
	}
	return err
}

// warn tells the other entries of the zone that the store is not to be reached.
// In a zone that is cut off the balancer sends clients elsewhere only once none
// of its entries is ready.
func (s *Server) warn() {
	s.mu.Lock()
	var addrs []string
	for _, e := range s.names {
		if e.Zone == s.Settings.Zone && e.Name != s.Settings.ID {
			addrs = append(addrs, e.Addr)
		}
	}
	s.mu.Unlock()
	s.Log.Warn("lost", "what", "store")
	for _, a := range addrs {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
			defer cancel()
			if err := s.peers.Call(ctx, a, peer.Control, "NoStore", struct{}{}, &struct{}{}); err != nil {
				s.Log.Debug("warning", "to", a, "why", err.Error())
			}
		}()
	}
}

// relays are the other entries, as ways to the store.
type relays struct{ s *Server }

// Others implements relay.Peers.
func (r relays) Others(now time.Time) []string { return r.s.others(now) }

// Do implements relay.Peers.
func (r relays) Do(ctx context.Context, addr string, tx table.Tx) (table.Result, error) {
	var out RelayReply
	err := r.s.call(ctx, addr, "Relay", tx, &out)
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

// Fetch implements relay.Peers.
func (r relays) Fetch(ctx context.Context, addr string, f relay.Fetch) (out relay.Fetched, err error) {
	if err = r.s.call(ctx, addr, "Read", f, &out); err == nil && out.Error != "" {
		err = errors.New(out.Error)
	}
	return out, err
}
