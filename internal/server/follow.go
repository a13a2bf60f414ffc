package server

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// follow keeps calling take with the changes of a table, beginning with all of
// its rows, until ctx ends. whole says that rows are all there are.
func followTable(ctx context.Context, s table.Store, tab string, from int64, wait, gap time.Duration, lost func(error), take func(rows []table.Row, whole bool)) {
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
			lost(err)
			sleep(ctx, retryDelay)
			continue
		}
		lost(nil)
		if after < 0 || len(r.Rows) > 0 {
			take(r.Rows, after < 0)
		}
		after = r.Version
		sleep(ctx, gap)
	}
}

// followTimeout bounds one look at a feed, with what other entries need.
const followTimeout = 4 * time.Second

// retryGap is the pause after a failed call that is made again for ever.
const retryDelay = 250 * time.Millisecond

// pause sleeps for d or until ctx ends.
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
