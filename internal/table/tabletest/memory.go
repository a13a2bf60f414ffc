// Package tabletest is a stand-in for the platform's store, in memory, whose
// calls can be made to fail in the ways of the real one.
package tabletest

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// Fate is what becomes of a call.
type Fault int

// The fates.
const (
	NoFault        Fault = iota
	CallRejected         // nothing is done, and the caller is told
	ReplyLost            // it is done, and the answer is lost
	RequestLost          // nothing is done, and nothing is answered
	RequestDelayed       // it is done when Land is called, and nothing is answered
)

// ErrSilent is what a caller gets in place of an answer.
var ErrNoReply = errors.New("no answer")

// Store keeps rows. The zero value is empty and ready.
type Store struct {
	mu      sync.Mutex
	faultOf func(tx table.Tx) Fault
	rows    map[table.Key]table.Row
	log     []table.Row
	trimmed int64 // history up to this version is gone
	version int64
	delayed []table.Tx
	changed chan struct{}
}

// Judge has f decide the fate of each transaction from now on.
func (s *Store) InjectFaults(f func(tx table.Tx) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultOf = f
}

// Do implements table.Store.
func (s *Store) Do(ctx context.Context, tx table.Tx) (table.Result, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ctx.Err() != nil {
		return table.Result{}, ctx.Err()
	}
	fate := NoFault
	if s.faultOf != nil {
		fate = s.faultOf(tx)
	}
	switch fate {
	case CallRejected:
		return table.Result{}, errors.Mark(errors.New("refused"), table.ErrNotApplied)
	case RequestLost:
		return table.Result{}, ErrNoReply
	case RequestDelayed:
		s.delayed = append(s.delayed, tx)
		return table.Result{}, ErrNoReply
	case ReplyLost:
		s.apply(tx)
		return table.Result{}, ErrNoReply
	}
	return s.apply(tx), nil
}

// Land carries out the transactions whose fate was Later.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.delayed
	s.delayed = nil
	for _, tx := range late {
		s.apply(tx)
	}
}

func (s *Store) apply(tx table.Tx) table.Result {
	ok := true
	var now []table.Row
	for _, c := range tx.If {
		r, there := s.rows[c.Key]
		if there {
			now = append(now, r)
		}
		ok = ok && r.Version == c.Version
	}
	if !ok {
		return table.Result{Rows: now}
	}
	if s.rows == nil {
		s.rows = map[table.Key]table.Row{}
	}
	s.version++
	for _, r := range tx.Put {
		r.Version, r.Deleted = s.version, false
		s.rows[r.Key] = r
		s.log = append(s.log, r)
	}
	for _, k := range tx.Delete {
		if _, there := s.rows[k]; there {
			delete(s.rows, k)
			s.log = append(s.log, table.Row{Key: k, Version: s.version, Deleted: true})
		}
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return table.Result{Version: s.version, Done: true}
}

// Read implements table.Store.
func (s *Store) Read(ctx context.Context, tab, part, from, to string) (table.Range, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return table.Range{}, err
	}
	out := table.Range{Version: s.version}
	for k, r := range s.rows {
		if k.Table == tab && k.Part == part && k.Name >= from && (to == "" || k.Name < to) {
			out.Rows = append(out.Rows, r)
		}
	}
	sort.Slice(out.Rows, func(a, b int) bool { return out.Rows[a].Name < out.Rows[b].Name })
	return out, nil
}

// Parts implements table.Store.
func (s *Store) Parts(ctx context.Context, tab string) ([]string, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	seen := map[string]bool{}
	var out []string
	for k := range s.rows {
		if k.Table == tab && !seen[k.Part] {
			seen[k.Part] = true
			out = append(out, k.Part)
		}
	}
	sort.Strings(out)
	return out, nil
}

// Trim drops the history.
func (s *Store) TrimHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log, s.trimmed = nil, s.version
}

// Feed implements table.Store.
func (s *Store) Feed(ctx context.Context, tab string, after int64, wait time.Duration) (table.Range, error) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		out, changed, err := s.changesSince(ctx, tab, after)
		if err != nil || len(out.Rows) > 0 || wait == 0 {
			return out, err
		}
		select {
		case <-changed:
		case <-t.C:
			return out, nil
		case <-ctx.Done():
			return table.Range{}, ctx.Err()
		}
	}
}

func (s *Store) changesSince(ctx context.Context, tab string, after int64) (table.Range, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return table.Range{}, nil, err
	}
	if after < s.trimmed {
		return table.Range{}, nil, table.ErrTrimmed
	}
	out := table.Range{Version: s.version}
	for _, r := range s.log {
		if r.Table == tab && r.Version > after {
			out.Rows = append(out.Rows, r)
		}
	}
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return out, s.changed, nil
}
