package server

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"jasminestep/internal/table"
)

// Lead is the row that says who owns a shard.
type Lead struct {
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
func (s *Server) owned(rows []table.Row, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		l, err := decodeLead(r)
		if err != nil {
			s.Log.Error("owner row", "service", r.Part, "why", err.Error())
			continue
		}
		if l.version > s.leads[r.Part].version {
			s.leads[r.Part] = l
		}
		if o := s.owners[r.Part]; o != nil && l.Term > o.term {
			o.depose("another entry has the shard")
		}
	}
	if whole {
		s.loaded = true
	}
	if s.news != nil {
		close(s.news)
		s.news = nil
	}
}

// await waits for d, or for a change of owners.
func (s *Server) await(ctx context.Context, d time.Duration) {
	s.mu.Lock()
	if s.news == nil {
		s.news = make(chan struct{})
	}
	news := s.news
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
	for _, l := range s.leads {
		owns[l.Name] = true
	}
	best := Entry{}
	for _, e := range s.names {
		if e.Name == s.Settings.ID || owns[e.Name] || e.Leaving || s.blamed(now, e.Addr) {
			continue
		}
		if best.Name == "" || e.before(best, service) {
			best = e
		}
	}
	return best.Name
}

func decodeLead(r table.Row) (Lead, error) {
	var l Lead
	if err := json.Unmarshal(r.Value, &l); err != nil {
		return l, fmt.Errorf("decode: %w", err)
	}
	l.version = r.Version
	return l, nil
}

func (s *Server) lead(service string) (Lead, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leads[service]
	return l, ok
}

// leadSoon is the owner of a shard, waiting a little for one if there is none,
// as between two owners.
func (s *Server) leadSoon(ctx context.Context, service string) (Lead, bool) {
	for end := steady().Add(leadWait); ; {
		l, ok := s.lead(service)
		left := end.Sub(steady())
		if ok = ok && l.Addr != ""; ok || left <= 0 || ctx.Err() != nil {
			return l, ok
		}
		s.await(ctx, left)
	}
}

// leadWait is how long a question waits for a shard to have an owner.
const leadWait = 400 * time.Millisecond

// noteLead notes a lead that this entry knows first.
func (s *Server) noteLead(service string, l Lead) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leads[service] = l
}

// swap replaces the owner row if neither it nor the last write has changed.
func (s *Server) swap(ctx context.Context, service string, own, seq int64, next Lead) (table.Result, error) {
	b, err := json.Marshal(next)
	if err != nil {
		return table.Result{}, fmt.Errorf("encode owner row: %w", err)
	}
	return s.store.Do(ctx, table.Tx{
		If: []table.Row{{Key: ownerKey(service), Version: own}, {Key: seqKey(service), Version: seq}},
		Put: []table.Row{
			{Key: ownerKey(service), Value: b},
			{Key: seqKey(service), Value: []byte(fmt.Sprintf("%s.%d.0", next.Life, next.Term))},
		},
	})
}
