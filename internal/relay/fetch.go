package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// Kind is a kind of reading call.
type Kind int

// The kinds.
const (
	Read Kind = iota
	Parts
	Feed
)

// Fetch names a reading call of the store.
type Fetch struct {
	Kind  Kind
	Table string
	Part  string
	From  string
	To    string
	After int64         // of a feed
	Wait  time.Duration // of a feed: for a change, before it answers without one
}

// Fetched is the answer to a reading call.
type Fetched struct {
	Range   table.Range
	Parts   []string
	Trimmed bool // the history that was asked for is gone
	Error   string
}

// direct makes a reading call on the own way.
func (s *Store) direct(ctx context.Context, f Fetch) (out Fetched, err error) {
	switch f.Kind {
	case Read:
		out.Range, err = s.Own.Read(ctx, f.Table, f.Part, f.From, f.To)
	case Parts:
		out.Parts, err = s.Own.Parts(ctx, f.Table)
	case Feed:
		out.Range, err = s.Own.Feed(ctx, f.Table, f.After, f.Wait)
	}
	if errors.Is(err, table.ErrTrimmed) {
		return Fetched{Trimmed: true}, nil
	}
	return out, err
}

func fetchCall(s *Store, f Fetch) call[Fetched] {
	return call[Fetched]{
		own:  func(ctx context.Context) (Fetched, error) { return s.direct(ctx, f) },
		via:  func(ctx context.Context, addr string) (Fetched, error) { return s.Peers.Fetch(ctx, addr, f) },
		wait: f.Wait,
	}
}

func (s *Store) fetch(ctx context.Context, f Fetch) (Fetched, error) {
	out, err := run(ctx, s, fetchCall(s, f))
	if err == nil && out.Trimmed {
		err = table.ErrTrimmed
	}
	return out, err
}

// FetchFor makes a reading call on the own way, for another entry.
func (s *Store) FetchFor(ctx context.Context, f Fetch) (Fetched, error) {
	if !s.Trusted() {
		return Fetched{}, ErrDistrusted
	}
	return fetchCall(s, f).try(ctx, s, ownWay, s.limit())
}

// ReadOwn reads on the own way only.
func (s *Store) ReadOwn(ctx context.Context, tab, part string) (table.Range, error) {
	out, err := fetchCall(s, Fetch{Kind: Read, Table: tab, Part: part}).try(ctx, s, ownWay, s.limit())
	return out.Range, err
}

// Read implements table.Store.
func (s *Store) Read(ctx context.Context, tab, part, from, to string) (table.Range, error) {
	out, err := s.fetch(ctx, Fetch{Kind: Read, Table: tab, Part: part, From: from, To: to})
	return out.Range, err
}

// Parts implements table.Store.
func (s *Store) Parts(ctx context.Context, tab string) ([]string, error) {
	out, err := s.fetch(ctx, Fetch{Kind: Parts, Table: tab})
	return out.Parts, err
}

// Feed implements table.Store.
func (s *Store) Feed(ctx context.Context, tab string, after int64, wait time.Duration) (table.Range, error) {
	out, err := s.fetch(ctx, Fetch{Kind: Feed, Table: tab, After: after, Wait: wait})
	return out.Range, err
}
