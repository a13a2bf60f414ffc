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
type ReadRequest struct {
	Kind  Kind
	Table string
	Part  string
	From  string
	To    string
	After int64         // of a feed
	Wait  time.Duration // of a feed: for a change, before it answers without one
}

// Fetched is the answer to a reading call.
type ReadResult struct {
	Range   table.Range
	Parts   []string
	Trimmed bool // the history that was asked for is gone
	Error   string
}

// direct makes a reading call on the own way.
func (s *Store) direct(ctx context.Context, f ReadRequest) (out ReadResult, err error) {
	switch f.Kind {
	case Read:
		out.Range, err = s.Direct.Read(ctx, f.Table, f.Part, f.From, f.To)
	case Parts:
		out.Parts, err = s.Direct.Parts(ctx, f.Table)
	case Feed:
		out.Range, err = s.Direct.Feed(ctx, f.Table, f.After, f.Wait)
	}
	if errors.Is(err, table.ErrTrimmed) {
		return ReadResult{Trimmed: true}, nil
	}
	return out, err
}

func fetchCall(s *Store, f ReadRequest) call[ReadResult] {
	return call[ReadResult]{
		own:  func(ctx context.Context) (ReadResult, error) { return s.direct(ctx, f) },
		via:  func(ctx context.Context, addr string) (ReadResult, error) { return s.Peers.Read(ctx, addr, f) },
		wait: f.Wait,
	}
}

func (s *Store) fetch(ctx context.Context, f ReadRequest) (ReadResult, error) {
	out, err := run(ctx, s, fetchCall(s, f))
	if err == nil && out.Trimmed {
		err = table.ErrTrimmed
	}
	return out, err
}

// FetchFor makes a reading call on the own way, for another entry.
func (s *Store) ReadFor(ctx context.Context, f ReadRequest) (ReadResult, error) {
	if !s.Trusted() {
		return ReadResult{}, ErrDistrusted
	}
	return fetchCall(s, f).try(ctx, s, ownWay, s.limit())
}

// ReadOwn reads on the own way only.
func (s *Store) ReadDirect(ctx context.Context, tab, part string) (table.Range, error) {
	out, err := fetchCall(s, ReadRequest{Kind: Read, Table: tab, Part: part}).try(ctx, s, ownWay, s.limit())
	return out.Range, err
}

// Read implements table.Store.
func (s *Store) Read(ctx context.Context, tab, part, from, to string) (table.Range, error) {
	out, err := s.fetch(ctx, ReadRequest{Kind: Read, Table: tab, Part: part, From: from, To: to})
	return out.Range, err
}

// Parts implements table.Store.
func (s *Store) Parts(ctx context.Context, tab string) ([]string, error) {
	out, err := s.fetch(ctx, ReadRequest{Kind: Parts, Table: tab})
	return out.Parts, err
}

// Feed implements table.Store.
func (s *Store) Feed(ctx context.Context, tab string, after int64, wait time.Duration) (table.Range, error) {
	out, err := s.fetch(ctx, ReadRequest{Kind: Feed, Table: tab, After: after, Wait: wait})
	return out.Range, err
}
