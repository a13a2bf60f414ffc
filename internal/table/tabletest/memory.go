// Package tabletest provides an in-memory implementation of table.Store that
// can inject the failures of the platform's store.
package tabletest

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// Fault is a failure injected into a call.
type Fault int

// Faults that can be injected.
const (
	NoFault        Fault = iota
	CallRejected         // the transaction is rejected with table.ErrNotApplied
	ReplyLost            // the transaction is applied, but the caller gets ErrNoReply
	RequestLost          // the transaction is not applied, and the caller gets ErrNoReply
	RequestDelayed       // the transaction is applied by ApplyDelayed, and the caller gets ErrNoReply
)

// ErrNoReply is the error of a call whose reply was lost.
var ErrNoReply = errors.New("no answer")

// Store is an in-memory table.Store. The zero value is an empty store ready for use.
type Store struct {
	mu      sync.Mutex
	faultOf func(tx table.Tx) Fault
	rows    map[part]map[string]table.Row // by part and name
	log     []table.Row
	trimmed int64 // the feed has no history up to this version
	version int64
	delayed []table.Tx
	changed chan struct{}
}

// InjectFaults makes f select the fault of each subsequent transaction. A nil f
// injects none.
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
	fault := NoFault
	if s.faultOf != nil {
		fault = s.faultOf(tx)
	}
	switch fault {
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

// ApplyDelayed applies the transactions whose fault was RequestDelayed.
func (s *Store) ApplyDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	delayed := s.delayed
	s.delayed = nil
	for _, tx := range delayed {
		s.apply(tx)
	}
}

// now is the clock of the store.
func now() int64 { return time.Now().UnixMilli() }

// part identifies a part of a table.
type part struct{ table, name string }

func partOf(k table.Key) part { return part{k.Table, k.Part} }

func (s *Store) apply(tx table.Tx) table.Result {
	ok := true
	var current []table.Row
	for _, c := range tx.If {
		r, exists := s.rows[partOf(c.Key)][c.Name]
		if exists {
			current = append(current, r)
		}
		ok = ok && r.Version == c.Version
	}
	if !ok {
		return table.Result{Rows: current, Now: now()}
	}
	if s.rows == nil {
		s.rows = map[part]map[string]table.Row{}
	}
	s.version++
	for _, r := range tx.Put {
		r.Version, r.Deleted = s.version, false
		p := partOf(r.Key)
		if s.rows[p] == nil {
			s.rows[p] = map[string]table.Row{}
		}
		s.rows[p][r.Name] = r
		s.log = append(s.log, r)
	}
	for _, k := range tx.Delete {
		if _, exists := s.rows[partOf(k)][k.Name]; exists {
			delete(s.rows[partOf(k)], k.Name)
			s.log = append(s.log, table.Row{Key: k, Version: s.version, Deleted: true})
		}
	}
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
	return table.Result{Version: s.version, Done: true, Now: now()}
}

// Read implements table.Store.
func (s *Store) Read(ctx context.Context, tab, in, from, to string) (table.Range, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return table.Range{}, err
	}
	out := table.Range{Version: s.version, Now: now()}
	for name, r := range s.rows[part{tab, in}] {
		if name >= from && (to == "" || name < to) {
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
	var out []string
	for p, rows := range s.rows {
		if p.table == tab && len(rows) > 0 {
			out = append(out, p.name)
		}
	}
	sort.Strings(out)
	return out, nil
}

// TrimHistory discards the history of the feed.
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
	out := table.Range{Version: s.version, Now: now()}
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
