// Package table is what the product asks of the platform's store: rows that
// change together under a condition, ranges, and a feed of changes.
package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Key names a row. Rows of one transaction share the part.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is a row as of a version.
type Row struct {
	Key
	Value   []byte
	Version int64 // of the transaction that wrote it; in a condition 0 means absent
	Deleted bool  // only in feeds
}

// Tx applies all of its changes, or none if a condition fails.
type Tx struct {
	If     []Row // Key and Version count
	Put    []Row // Key and Value count
	Delete []Key
}

// Result of a transaction.
type Result struct {
	Version int64 // of the transaction, if Done
	Done    bool
	Rows    []Row // if a condition failed: what the rows of If are now
}

// Range is what a read returned, as of Version.
type Range struct {
	Rows    []Row
	Version int64
}

var (
	// ErrNotDone marks a call that the store refused: nothing was done and nothing will be.
	ErrNotApplied = errors.New("store refused the call")
	// ErrBusy marks a refusal, beside ErrNotDone, because the store is over its rate.
	ErrRateLimited = errors.New("store is over its rate")
	// ErrTrimmed marks a feed that asks for history that the store has dropped.
	ErrTrimmed = errors.New("history is no longer available")
)

// Store is the platform's store. Any error that is not marked ErrNotDone leaves
// it open whether the call was or will be carried out.
type Store interface {
	// Do carries out a transaction.
	Do(ctx context.Context, tx Tx) (Result, error)
	// Read returns the rows of a part whose names are at least from and less than to ("" is no bound).
	Read(ctx context.Context, table, part, from, to string) (Range, error)
	// Parts lists the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// Feed returns the changes of a table after a version, waiting for one for at most wait.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Range, error)
}

// ReadAll reads every row of a table, as of a version not later than the newest
// change that it contains.
func ReadAll(ctx context.Context, s Store, table string) (Range, error) {
	parts, err := s.Parts(ctx, table)
	if err != nil {
		return Range{}, err
	}
	all := make([]Range, len(parts))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentReads)
	for i, p := range parts {
		g.Go(func() (err error) {
			all[i], err = s.Read(ctx, table, p, "", "")
			return err
		})
	}
	if err = g.Wait(); err != nil {
		return Range{}, err
	}
	var out Range
	for _, r := range all {
		out.Rows = append(out.Rows, r.Rows...)
		if out.Version == 0 || r.Version < out.Version {
			out.Version = r.Version
		}
	}
	return out, nil
}

// readsAtOnce is how many parts ReadAll reads side by side.
const maxConcurrentReads = 32
