package server

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"jasminestep/internal/table"
)

// OwnerRow is the stored row that names the owner of a shard.
type OwnerRow struct {
	Name string `json:"name"` // empty if the shard has no owner
	Addr string `json:"addr"`
	Life string `json:"life"` // instance ID of the owner's process
	Term int64  `json:"term"`
	Next string `json:"next,omitempty"` // if the shard has no owner: the entry that should claim it

	version int64 // of the row in the store
}

// applyOwnerRows applies owner rows; whole means that rows are all there are.
func (s *Server) applyOwnerRows(rows []table.Row, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		row, err := decodeOwnerRow(r)
		if err != nil {
			s.Log.Error("owner row invalid", "service", r.Part, "why", err.Error())
			continue
		}
		if row.version > s.ownerRows[r.Part].version {
			s.ownerRows[r.Part] = row
		}
		if o := s.localOwners[r.Part]; o != nil && row.Term > o.term {
			o.depose("another entry claimed the shard")
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

// awaitOwnerChange waits for d or until owner rows change.
func (s *Server) awaitOwnerChange(ctx context.Context, d time.Duration) {
	s.mu.Lock()
	if s.ownersChanged == nil {
		s.ownersChanged = make(chan struct{})
	}
	changed := s.ownersChanged
	s.mu.Unlock()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

func decodeOwnerRow(r table.Row) (OwnerRow, error) {
	var row OwnerRow
	if err := json.Unmarshal(r.Value, &row); err != nil {
		return row, fmt.Errorf("decode: %w", err)
	}
	row.version = r.Version
	return row, nil
}

// ownerNames returns the names of all entries that own a shard; s.mu is held.
func (s *Server) ownerNames() map[string]bool {
	names := map[string]bool{}
	for _, row := range s.ownerRows {
		names[row.Name] = true
	}
	return names
}

func (s *Server) ownerRow(service string) (OwnerRow, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.ownerRows[service]
	return row, ok
}

// waitForOwner returns the owner row of a shard. If there is no owner, as
// during a change of owners, it waits up to maxOwnerWait for one.
func (s *Server) waitForOwner(ctx context.Context, service string) (OwnerRow, bool) {
	for end := monotonicNow().Add(maxOwnerWait); ; {
		row, ok := s.ownerRow(service)
		left := end.Sub(monotonicNow())
		if ok = ok && row.Addr != ""; ok || left <= 0 || ctx.Err() != nil {
			return row, ok
		}
		s.awaitOwnerChange(ctx, left)
	}
}

// maxOwnerWait is how long a client's request waits for a shard to have an
// owner.
const maxOwnerWait = 400 * time.Millisecond

// setOwnerRow records an owner row written by this entry, before it is seen in
// the feed.
func (s *Server) setOwnerRow(service string, row OwnerRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ownerRows[service] = row
}

// replaceOwnerRow replaces the owner row unless it or the seq row has changed. What
// the last write promises stays.
func (s *Server) replaceOwnerRow(ctx context.Context, service string, ownerVersion int64, last seqRow, next OwnerRow) (table.Result, error) {
	b, err := json.Marshal(next)
	if err != nil {
		return table.Result{}, fmt.Errorf("encode owner row: %w", err)
	}
	seq, err := seqRow{Write: fmt.Sprintf("%s.%d.0", next.Life, next.Term), Promise: last.Promise, Called: last.Called}.row(service)
	if err != nil {
		return table.Result{}, err
	}
	return s.relayStore.Do(ctx, table.Tx{
		If:  []table.Row{{Key: ownerKey(service), Version: ownerVersion}, {Key: seqKey(service), Version: last.version}},
		Put: []table.Row{{Key: ownerKey(service), Value: b}, seq},
	})
}
