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
	storeTimeout = 900 * time.Millisecond
	relayTimeout = 1200 * time.Millisecond
	relayTries   = 2
	distrust     = time.Second // after a failure, how long other entries are tried before the store
)

// relayed is a store that is reached through another entry when this one does
// not reach it itself.
type relayed struct {
	table.Store
	via func(ctx context.Context, n int, tx table.Tx) (table.Result, error) // through the n-th other entry

	mu     sync.Mutex
	failed time.Time
}

func (s *relayed) trusted(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failed.IsZero() || now.Sub(s.failed) > distrust
}

func (s *relayed) told(now time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failed = time.Time{}
	if err != nil {
		s.failed = now
	}
}

// direct carries out a transaction without help.
func (s *relayed) direct(ctx context.Context, tx table.Tx) (table.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := s.Store.Do(ctx, tx)
	s.told(steady(), err)
	return res, err
}

// Do carries out a transaction, if need be through other entries. Its
// conditions must make it safe to be sent more than once. The error is marked
// table.ErrNotDone only if every attempt was refused.
func (s *relayed) Do(ctx context.Context, tx table.Tx) (table.Result, error) {
	var first error
	open := false // an attempt may have been, or may yet be carried out
	note := func(err error) {
		first = errors.CombineErrors(first, err)
		open = open || !errors.Is(err, table.ErrNotDone)
	}
	trusted := s.trusted(steady())
	if trusted {
		res, err := s.direct(ctx, tx)
		if err == nil {
			return res, nil
		}
		note(err)
	}
	for n := range relayTries {
		if ctx.Err() != nil {
			break
		}
		rctx, cancel := context.WithTimeout(ctx, relayTimeout)
		res, err := s.via(rctx, n, tx)
		cancel()
		if err == nil {
			return res, nil
		}
		note(err)
	}
	if !trusted && ctx.Err() == nil {
		res, err := s.direct(ctx, tx)
		if err == nil {
			return res, nil
		}
		note(err)
	}
	if open {
		return table.Result{}, fmt.Errorf("store, fate unknown: %v", first)
	}
	return table.Result{}, errors.Mark(fmt.Errorf("store: %w", first), table.ErrNotDone)
}

// follow keeps calling take with the changes of a table, beginning with all of
// its rows, until ctx ends. whole says that rows are all there are.
func follow(ctx context.Context, s table.Store, tab string, from int64, wait, gap time.Duration, lost func(error), take func(rows []table.Row, whole bool)) {
	after := from
	for ctx.Err() == nil {
		var r table.Range
		var err error
		c, cancel := context.WithTimeout(ctx, storeTimeout+wait)
		if after < 0 {
			r, err = table.ReadAll(c, s, tab)
		} else {
			r, err = s.Feed(c, tab, after, wait)
		}
		cancel()
		switch {
		case errors.Is(err, table.ErrTrimmed):
			after = -1
			continue
		case err != nil:
			lost(err)
			pause(ctx, retryGap)
			continue
		}
		lost(nil)
		if after < 0 || len(r.Rows) > 0 {
			take(r.Rows, after < 0)
		}
		after = r.Version
		pause(ctx, gap)
	}
}

// retryGap is the pause after a failed call that is made again for ever.
const retryGap = 250 * time.Millisecond

// pause sleeps for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
