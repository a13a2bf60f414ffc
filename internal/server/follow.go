package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// follower follows the changes of a table.
type follower struct {
	store     table.Store
	table     string
	read      func(ctx context.Context, s table.Store) (table.Range, error) // reads the whole table; nil: table.ReadAll
	wait, gap time.Duration                                                 // long-poll wait of a feed request, and pause between two
	report    func(error)                                                   // called with the result of every request
	observe   func(version int64, at time.Time)                             // called with the version of every reply and when its request began
	apply     func(rows []table.Row, whole bool)                            // called with changes, or with the whole table
}

// run follows the changes after the version from until ctx ends. It reads the
// whole table first if from is negative, and again whenever the feed has been
// trimmed.
func (f follower) run(ctx context.Context, from int64) {
	after := from
	for ctx.Err() == nil {
		began := monotonicNow()
		r, err := f.next(ctx, after)
		switch {
		case errors.Is(err, table.ErrTrimmed):
			after = -1
			continue
		case err != nil:
			f.report(err)
			sleep(ctx, retryDelay)
			continue
		}
		f.report(nil)
		f.observe(r.Version, began)
		if after < 0 || len(r.Rows) > 0 {
			f.apply(r.Rows, after < 0)
		}
		after = r.Version
		sleep(ctx, f.gap)
	}
}

// next reads the changes after a version, or the whole table if it is negative.
func (f follower) next(ctx context.Context, after int64) (table.Range, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout+f.wait)
	defer cancel()
	switch {
	case after >= 0:
		return f.store.Feed(ctx, f.table, after, f.wait)
	case f.read != nil:
		return f.read(ctx, f.store)
	}
	return table.ReadAll(ctx, f.store, f.table)
}

// followTimeout limits a feed request on top of its long-poll wait, including
// attempts through other entries.
const followTimeout = 4 * time.Second

// retryDelay is the pause between attempts of a call that is retried
// indefinitely.
const retryDelay = 250 * time.Millisecond

// sleep pauses for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
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
