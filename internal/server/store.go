package server

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// Bounds on calls to the store.
const (
	storeTimeout = 2 * time.Second
	relayTimeout = 2200 * time.Millisecond
	hedgeLeast   = 250 * time.Millisecond // without an answer, before another entry is asked too
	hedgeTimes   = 3                      // the same, in usual times of an answer
	distrust     = time.Second            // after a failure, how long other entries are asked at once
	downGap      = 250 * time.Millisecond // between tries while the store is not to be reached at all
	usualShare   = 0.2                    // of the newest time in the usual one
)

// relayed is a store that is reached through another entry when this one does
// not reach it itself.
type relayed struct {
	table.Store
	via     func(ctx context.Context, n int, tx table.Tx) (table.Result, error) // through the n-th other entry
	readVia func(ctx context.Context, n int, f Fetch) (Fetched, error)

	mu     sync.Mutex
	failed time.Time     // last failure of this entry's own way, since its last success
	down   time.Time     // last time that every way failed, since the last success
	usual  time.Duration // time of an answer
}

// errDown means that the store was not to be reached a moment ago.
var errDown = errors.Mark(errors.New("the store is not to be reached"), table.ErrNotDone)

// hedge is how long to wait for this entry's own way before another is tried
// too. ok is false if the store was just seen to be down.
func (s *relayed) hedge(now time.Time) (d time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.down.IsZero() {
		if now.Sub(s.down) < downGap {
			return 0, false
		}
		s.down = now // this call finds out for the others
	}
	if !s.failed.IsZero() && now.Sub(s.failed) < distrust {
		return 0, true
	}
	return max(hedgeLeast, hedgeTimes*s.usual), true
}

// direct carries out a transaction without help.
func (s *relayed) direct(ctx context.Context, tx table.Tx) (table.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := steady()
	res, err := s.Store.Do(ctx, tx)
	now := steady()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.failed = time.Time{}
		s.usual += time.Duration(usualShare * float64(now.Sub(began)-s.usual))
	case ctx.Err() == nil || now.Sub(began) >= hedgeLeast:
		s.failed = now
	}
	return res, err
}

// failing says that this entry's own way has just failed.
func (s *relayed) failing(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failed.IsZero() && now.Sub(s.failed) < distrust
}

// attempt is what came of one way.
type attempt struct {
	res table.Result
	err error
}

// Do carries out a transaction, if need be through other entries. Its
// conditions must make it safe to be sent more than once. The error is marked
// table.ErrNotDone only if every attempt was refused.
func (s *relayed) Do(ctx context.Context, tx table.Tx) (table.Result, error) {
	wait, ok := s.hedge(steady())
	if !ok {
		return table.Result{}, errDown
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	ch := make(chan attempt, 3)
	send := func(f func() (table.Result, error)) {
		go func() {
			res, err := f()
			ch <- attempt{res, err}
		}()
	}
	send(func() (table.Result, error) { return s.direct(ctx, tx) })
	t := time.NewTimer(wait)
	defer t.Stop()
	var first error
	open := false // an attempt may have been, or may yet be carried out
	for under, relays := 1, 0; under > 0; {
		next := false
		select {
		case a := <-ch:
			under--
			if a.err == nil {
				s.up()
				return a.res, nil
			}
			first = errors.CombineErrors(first, a.err)
			open = open || !errors.Is(a.err, table.ErrNotDone)
			next = true
		case <-t.C:
			next = true
		case <-ctx.Done():
			return table.Result{}, s.unreached(fmt.Errorf("store, fate unknown: %w", ctx.Err()), true)
		}
		if next && relays < relayTries {
			n := relays
			relays++
			under++
			send(func() (table.Result, error) { return s.via(ctx, n, tx) })
			t.Reset(hedgeLeast)
		}
	}
	return table.Result{}, s.unreached(first, open)
}

// relayTries is how many other entries are asked.
const relayTries = 2

func (s *relayed) up() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = time.Time{}
}

// lost notes that the store was found not to be reached.
func (s *relayed) lost(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = now
}

// reached says that some way leads to the store, as far as is known.
func (s *relayed) reached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down.IsZero()
}

// unreached notes that no way led to the store.
func (s *relayed) unreached(err error, open bool) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = steady()
	if open {
		return fmt.Errorf("store, fate unknown: %v", err)
	}
	return errors.Mark(fmt.Errorf("store: %w", err), table.ErrNotDone)
}

// Fetch names a reading call of the store.
type Fetch struct {
	Kind  FetchKind
	Table string
	Part  string
	From  string
	To    string
	After int64
}

// FetchKind is a kind of reading call.
type FetchKind int

// The kinds.
const (
	FetchRead FetchKind = iota
	FetchParts
	FetchFeed
)

// Fetched is the answer to a reading call.
type Fetched struct {
	Range   table.Range
	Parts   []string
	Trimmed bool // the history that was asked for is gone
	Error   string
}

// fetch makes a reading call.
func fetch(ctx context.Context, s table.Store, f Fetch, wait time.Duration) (out Fetched, err error) {
	switch f.Kind {
	case FetchRead:
		out.Range, err = s.Read(ctx, f.Table, f.Part, f.From, f.To)
	case FetchParts:
		out.Parts, err = s.Parts(ctx, f.Table)
	case FetchFeed:
		out.Range, err = s.Feed(ctx, f.Table, f.After, wait)
	}
	if errors.Is(err, table.ErrTrimmed) {
		return Fetched{Trimmed: true}, nil
	}
	return out, err
}

// readTimeout bounds a read on top of the time that it may wait.
const readTimeout = 900 * time.Millisecond

// read makes a reading call, through another entry if this one gets no answer.
func (s *relayed) read(ctx context.Context, f Fetch, wait time.Duration) (Fetched, error) {
	c, cancel := context.WithTimeout(ctx, readTimeout+wait)
	out, err := fetch(c, s.Store, f, wait)
	cancel()
	for n := 0; err != nil && n < relayTries && ctx.Err() == nil; n++ {
		c, cancel = context.WithTimeout(ctx, readTimeout)
		var other error
		if out, other = s.readVia(c, n, f); other == nil {
			err = nil
		}
		cancel()
	}
	if err != nil {
		return out, err
	}
	s.up()
	if out.Trimmed {
		return out, table.ErrTrimmed
	}
	return out, nil
}

// Read implements table.Store.
func (s *relayed) Read(ctx context.Context, tab, part, from, to string) (table.Range, error) {
	out, err := s.read(ctx, Fetch{Kind: FetchRead, Table: tab, Part: part, From: from, To: to}, 0)
	return out.Range, err
}

// Parts implements table.Store.
func (s *relayed) Parts(ctx context.Context, tab string) ([]string, error) {
	out, err := s.read(ctx, Fetch{Kind: FetchParts, Table: tab}, 0)
	return out.Parts, err
}

// Feed implements table.Store.
func (s *relayed) Feed(ctx context.Context, tab string, after int64, wait time.Duration) (table.Range, error) {
	out, err := s.read(ctx, Fetch{Kind: FetchFeed, Table: tab, After: after}, wait)
	return out.Range, err
}
