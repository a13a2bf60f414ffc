// Package table defines the interface of the platform's store: conditional
// transactions on rows, range reads and a change feed.
package table

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Key identifies a row. All rows of a transaction are in the same part.
type Key struct {
	Table string
	Part  string
	Name  string
}

// Row is a row at a version.
type Row struct {
	Key
	Value   []byte
	Version int64 // version of the transaction that wrote the row; 0 in a condition means that the row is absent
	Deleted bool  // set only in feeds
}

// Tx is a transaction. Either all of its changes are applied or, if a condition
// fails, none.
type Tx struct {
	If     []Row // conditions; only Key and Version are used
	Put    []Row // only Key and Value are used
	Delete []Key
}

// Result is the result of a transaction.
type Result struct {
	Version int64 // version of the transaction if Done
	Done    bool
	Rows    []Row // if a condition failed: the current rows for the keys in If
	Now     int64 // the store's clock in milliseconds, as of the answer; 0 if unknown
}

// Range holds the rows that a read returned, as of Version.
type Range struct {
	Rows    []Row
	Version int64
	Now     int64 // the store's clock in milliseconds, while it answered; 0 if unknown
}

var (
	// ErrNotApplied marks a call that was rejected: it has not taken effect and
	// never will.
	ErrNotApplied = errors.New("store refused the call")
	// ErrRateLimited marks a call that the store rejected because its rate limit is
	// exceeded. Such errors are also marked ErrNotApplied.
	ErrRateLimited = errors.New("store rate limit exceeded")
	// ErrTrimmed marks a feed request for history that the store no longer keeps.
	ErrTrimmed = errors.New("history is no longer available")
)

// Store is the platform's store. After an error that is not marked
// ErrNotApplied, the call may have taken effect or may still do so.
type Store interface {
	// Do executes a transaction.
	Do(ctx context.Context, tx Tx) (Result, error)
	// Read returns the rows of a part with names in [from, to). An empty bound is
	// unlimited.
	Read(ctx context.Context, table, part, from, to string) (Range, error)
	// Parts lists the parts of a table.
	Parts(ctx context.Context, table string) ([]string, error)
	// Feed returns the changes of a table after a version. If there are none, it
	// waits up to wait for one.
	Feed(ctx context.Context, table string, after int64, wait time.Duration) (Range, error)
}

// ReadAll reads every row of a table whose parts are not known.
func ReadAll(ctx context.Context, s Store, table string) (Range, error) {
	parts, err := s.Parts(ctx, table)
	if err != nil {
		return Range{}, err
	}
	return ReadParts(ctx, s, table, parts)
}

// ReadParts reads every row of some parts of a table. The parts are read
// separately; Version is the lowest of their versions, so the rows may already
// contain later changes.
func ReadParts(ctx context.Context, s Store, table string, parts []string) (Range, error) {
	all := make([]Range, len(parts))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(maxConcurrentReads)
	for i, p := range parts {
		g.Go(func() (err error) {
			all[i], err = s.Read(ctx, table, p, "", "")
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return Range{}, err
	}
	var out Range
	for _, r := range all {
		out.Rows = append(out.Rows, r.Rows...)
		out.Now = max(out.Now, r.Now)
		if out.Version == 0 || r.Version < out.Version {
			out.Version = r.Version
		}
	}
	return out, nil
}

// maxConcurrentReads limits how many parts ReadAll reads concurrently.
const maxConcurrentReads = 32
