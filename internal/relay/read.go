package relay

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// Kind selects the read operation of a ReadRequest.
type Kind int

// Read operations, as table.Store has them.
const (
	Read Kind = iota
	Parts
	Feed
)

// ReadRequest is a read call to the store. Which fields count depends on Kind.
type ReadRequest struct {
	Kind  Kind
	Table string
	Part  string
	From  string
	To    string
	After int64         // Feed: version after which changes are wanted
	Wait  time.Duration // Feed: how long the store waits for a change before it returns none
}

// ReadResult is the result of a ReadRequest.
type ReadResult struct {
	Range   table.Range
	Parts   []string
	Trimmed bool // the store no longer has the requested history (table.ErrTrimmed)
	Error   string
}

// readDirect performs f on the direct path.
func (s *Store) readDirect(ctx context.Context, f ReadRequest) (out ReadResult, err error) {
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

func readCall(s *Store, f ReadRequest) call[ReadResult] {
	return call[ReadResult]{
		direct:  func(ctx context.Context) (ReadResult, error) { return s.readDirect(ctx, f) },
		relayed: func(ctx context.Context, addr string) (ReadResult, error) { return s.Peers.Read(ctx, addr, f) },
		wait:    f.Wait,
	}
}

func (s *Store) read(ctx context.Context, f ReadRequest) (ReadResult, error) {
	out, err := callPaths(ctx, s, readCall(s, f))
	if err == nil && out.Trimmed {
		err = table.ErrTrimmed
	}
	return out, err
}

// ReadFor performs a read on the direct path on behalf of another entry.
func (s *Store) ReadFor(ctx context.Context, f ReadRequest) (ReadResult, error) {
	if !s.DirectHealthy() {
		return ReadResult{}, ErrDirectFailing
	}
	return readCall(s, f).try(ctx, s, directPath, s.callTimeout())
}

// ReadDirect reads a part on the direct path only.
func (s *Store) ReadDirect(ctx context.Context, tab, part string) (table.Range, error) {
	out, err := readCall(s, ReadRequest{Kind: Read, Table: tab, Part: part}).try(ctx, s, directPath, s.callTimeout())
	return out.Range, err
}

// Read implements table.Store.
func (s *Store) Read(ctx context.Context, tab, part, from, to string) (table.Range, error) {
	out, err := s.read(ctx, ReadRequest{Kind: Read, Table: tab, Part: part, From: from, To: to})
	return out.Range, err
}

// Parts implements table.Store.
func (s *Store) Parts(ctx context.Context, tab string) ([]string, error) {
	out, err := s.read(ctx, ReadRequest{Kind: Parts, Table: tab})
	return out.Parts, err
}

// Feed implements table.Store.
func (s *Store) Feed(ctx context.Context, tab string, after int64, wait time.Duration) (table.Range, error) {
	out, err := s.read(ctx, ReadRequest{Kind: Feed, Table: tab, After: after, Wait: wait})
	return out.Range, err
}
