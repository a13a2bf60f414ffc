package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// followTable calls apply with the changes of a table until ctx ends. It reads
// the whole table first if from is negative, and again whenever the feed has
// been trimmed; whole is true for those calls. report is called with the result
// of every request.
func followTable(ctx context.Context, s table.Store, tab string, from int64, wait, gap time.Duration, report func(error), apply func(rows []table.Row, whole bool)) {
	after := from
	for ctx.Err() == nil {
		var r table.Range
		var err error
		c, cancel := context.WithTimeout(ctx, followTimeout+wait)
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
			report(err)
			sleep(ctx, retryDelay)
			continue
		}
		report(nil)
		if after < 0 || len(r.Rows) > 0 {
			apply(r.Rows, after < 0)
		}
		after = r.Version
		sleep(ctx, gap)
	}
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
