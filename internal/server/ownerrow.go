package server

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"jasminestep/internal/table"
)

// OwnerRow is the row that says who owns a shard.
type OwnerRow struct {
	Name string `json:"name"` // empty: nobody
	Addr string `json:"addr"`
	Life string `json:"life"` // of the process
	Term int64  `json:"term"`
	Next string `json:"next,omitempty"` // if nobody owns the shard: the entry that should claim it

	version int64 // of the row
}

func ownerKey(service string) table.Key {
	return table.Key{Table: entryTable, Part: service, Name: "owner"}
}

func seqKey(service string) table.Key { return table.Key{Table: seqTable, Part: service, Name: "seq"} }

// owned takes in rows of owners.
func (s *Server) applyOwnerRows(rows []table.Row, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		l, err := decodeOwnerRow(r)
		if err != nil {
			s.Log.Error("owner row", "service", r.Part, "why", err.Error())
			continue
		}
		if l.version > s.ownerRows[r.Part].version {
			s.ownerRows[r.Part] = l
		}
		if o := s.localOwners[r.Part]; o != nil && l.Term > o.term {
			o.depose("another entry has the shard")
		}
	}
	if whole {
		s.ownerRowsLoaded = true
	}
	if s.ownersChanged != nil {
		close(s.ownersChanged)
		s.ownersChanged = nil
	}
}

// await waits for d, or for a change of owners.
func (s *Server) awaitOwnerChange(ctx context.Context, d time.Duration) {
	s.mu.Lock()
	if s.ownersChanged == nil {
		s.ownersChanged = make(chan struct{})
	}
	news := s.ownersChanged
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-news:
	case <-t.C:
	}
}

// successor is the entry that should claim a shard that this one gives up: one
// that answers and owns nothing, the strongest first.
func (s *Server) successor(now time.Time, service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	owns := map[string]bool{}
	for _, l := range s.ownerRows {
		owns[l.Name] = true
	}
	best := Entry{}
	for _, e := range s.entries {
		if e.Name == s.Settings.ID || owns[e.Name] || e.Leaving || s.avoided(now, e.Addr) {
			continue
		}
		if best.Name == "" || e.claimsBefore(best, service) {
			best = e
		}
	}
	return best.Name
}

func decodeOwnerRow(r table.Row) (OwnerRow, error) {
	var l OwnerRow
	if err := json.Unmarshal(r.Value, &l); err != nil {
		return l, fmt.Errorf("decode: %w", err)
	}
	l.version = r.Version
	return l, nil
}

func (s *Server) ownerRow(service string) (OwnerRow, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.ownerRows[service]
	return l, ok
}

// leadSoon is the owner of a shard, waiting a little for one if there is none,
// as between two owners.
func (s *Server) waitForOwner(ctx context.Context, service string) (OwnerRow, bool) {
	for end := monotonicNow().Add(maxOwnerWait); ; {
		l, ok := s.ownerRow(service)
		left := end.Sub(monotonicNow())
		if ok = ok && l.Addr != ""; ok || left <= 0 || ctx.Err() != nil {
			return l, ok
		}
		s.awaitOwnerChange(ctx, left)
	}
}

// leadWait is how long a question waits for a shard to have an owner.
const maxOwnerWait = 400 * time.Millisecond

// noteLead notes a lead that this entry knows first.
func (s *Server) setOwnerRow(service string, l OwnerRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownerRows[service] = l
}

// swap replaces the owner row if neither it nor the last write has changed.
func (s *Server) replaceOwnerRow(ctx context.Context, service string, ownerVersion, seqVersion int64, next OwnerRow) (table.Result, error) {
	b, err := json.Marshal(next)
	if err != nil {
		return table.Result{}, fmt.Errorf("encode owner row: %w", err)
	}
	return s.relayStore.Do(ctx, table.Tx{
		If: []table.Row{{Key: ownerKey(service), Version: ownerVersion}, {Key: seqKey(service), Version: seqVersion}},
		Put: []table.Row{
			{Key: ownerKey(service), Value: b},
			{Key: seqKey(service), Value: []byte(fmt.Sprintf("%s.%d.0", next.Life, next.Term))},
		},
	})
}
