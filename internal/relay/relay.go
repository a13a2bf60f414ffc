// Package relay calls the platform's store directly, or through other entries
// while the direct path fails.
//
// A failed path is abandoned at once and probed in the background, so that
// calls do not pay for detecting its recovery. While no path answers, calls
// fail immediately without being sent.
package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// Peers relays calls through the other entries.
type Peers interface {
	// Others returns the addresses of the other entries, most likely to answer first.
	Others(now time.Time) []string
	// Do executes a transaction on the direct path of the entry at addr.
	Do(ctx context.Context, addr string, tx table.Tx) (table.Result, error)
	// Fetch performs a read on the direct path of the entry at addr.
	Fetch(ctx context.Context, addr string, f Fetch) (Fetched, error)
}

// Store is a table.Store that uses whichever path reaches the platform's store.
// Own, Peers and Now must be set, and Watch must run for a failed direct path to
// be noticed as recovered.
type Store struct {
	Own   table.Store // the direct path
	Peers Peers
	Now   func() time.Time // monotonic clock that includes time suspended
	Lost  func()           // called when the store becomes unreachable; may be nil

	mu      sync.Mutex
	h       health
	checked time.Time // last Check
}

var (
	// ErrLost means that the store is known to be unreachable; the call was not sent.
	ErrLost = errors.Mark(errors.New("the store is not to be reached"), table.ErrNotDone)
	// ErrDistrusted is returned to a peer while this entry's direct path fails.
	ErrDistrusted = errors.Mark(errors.New("its own way to the store fails"), table.ErrNotDone)
)

// mostWays is the number of paths that one call tries.
const mostWays = 5

// ownWay denotes the direct path in a list of addresses.
const ownWay = ""

// paths returns the paths of a call in the order in which they are tried, the
// delay between two tries, and the time without an answer after which the store
// counts as unreachable.
func (s *Store) ways(now time.Time) (ways []string, hedge, patience time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.h.down.IsZero() {
		return nil, 0, 0, ErrLost
	}
	others := s.Peers.Others(now)
	if s.h.trusted() {
		ways = append([]string{ownWay}, others...)
	} else {
		if s.h.best != "" {
			ways = append(ways, s.h.best)
		}
		for _, a := range others {
			if a != s.h.best {
				ways = append(ways, a)
			}
		}
		ways = append(ways[:min(len(ways), mostWays-1)], ownWay)
	}
	return ways[:min(len(ways), mostWays)], s.h.hedge(), s.h.patience(), nil
}

// attempt is the result of a call on one path.
type attempt[T any] struct {
	way string
	out T
	err error
}

// call is one call to the store, on the direct path or through another entry.
// wait is how long the store may hold the answer back.
type call[T any] struct {
	own  func(ctx context.Context) (T, error)
	via  func(ctx context.Context, addr string) (T, error)
	wait time.Duration
}

// try makes the call on one path and records the result in the path's health.
func (c call[T]) try(ctx context.Context, s *Store, way string, limit time.Duration) (T, error) {
	// Outlives its caller: the answer still tells whether the path is healthy.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit+c.wait)
	defer cancel()
	began := s.Now()
	if way != ownWay {
		out, err := c.via(ctx, way)
		s.note(way, began, 0, err)
		return out, err
	}
	out, err := c.own(ctx)
	took := s.Now().Sub(began)
	if c.wait > 0 {
		took = 0
	}
	s.note(way, began, took, err)
	return out, err
}

// record updates the health of a path with the result of a call.
func (s *Store) note(way string, began time.Time, took time.Duration, err error) {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case way == ownWay && (err == nil || errors.Is(err, table.ErrTrimmed)):
		s.h.ownAnswer(now, took)
	case way == ownWay:
		s.h.ownFailure(now, began, errors.Is(err, table.ErrBusy))
	case err == nil || errors.Is(err, table.ErrTrimmed):
		s.h.relayAnswer(now, way)
	case s.h.best == way:
		s.h.best = ""
	}
}

func (s *Store) limit() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h.limit()
}

// hedgeWon records that a relay answered before the direct path, which was
// asked first.
func (s *Store) overtaken(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.h.ownFailure(s.Now(), began, false)
}

// noAnswer records that a call got no answer on any path, and reports whether
// the store therefore counts as unreachable.
func (s *Store) lost(began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.h.down.IsZero()
	lost := s.h.lost(s.Now(), began)
	if was && lost && s.Lost != nil {
		go s.Lost()
	}
	return lost
}

// checkGap is the shortest time between two checks.
const checkGap = 500 * time.Millisecond

// Check tests whether the store can be reached. An entry calls it when another
// entry reports that it cannot reach the store.
func (s *Store) Check(ctx context.Context) {
	s.mu.Lock()
	now := s.Now()
	if !s.h.down.IsZero() || now.Sub(s.checked) < checkGap {
		s.mu.Unlock()
		return
	}
	s.checked = now
	s.mu.Unlock()
	_, _ = run(ctx, s, fetchCall(s, probe)) // try records the result
}

// run makes a call, on several paths if one does not answer. The call must be
// safe to repeat. The error is marked table.ErrNotDone only if every path
// refused.
func run[T any](ctx context.Context, s *Store, c call[T]) (T, error) {
	var none T
	began := s.Now()
	ways, hedge, patience, err := s.ways(began)
	if err != nil {
		return none, err
	}
	limit := s.limit()
	ch := make(chan attempt[T], len(ways)+1)
	next, under := 0, 0
	send := func() {
		way := ways[next]
		next++
		under++
		go func() {
			out, err := c.try(ctx, s, way, limit)
			if err == nil && way != ownWay && ways[0] == ownWay {
				s.overtaken(began)
			}
			ch <- attempt[T]{way, out, err}
		}()
	}
	send()
	more := time.NewTimer(hedge + c.wait)
	defer more.Stop()
	end := time.NewTimer(patience + c.wait)
	defer end.Stop()
	var first error
	open := false  // an attempt may have been carried out, or may yet be
	again := false // the direct path was tried twice
	for under > 0 {
		select {
		case a := <-ch:
			under--
			if a.err == nil || errors.Is(a.err, table.ErrTrimmed) {
				return a.out, a.err
			}
			first = errors.CombineErrors(first, a.err)
			open = open || !errors.Is(a.err, table.ErrNotDone)
			if errors.Is(a.err, table.ErrBusy) && s.Trusted() {
				return none, refused(first, open || under > 0) // other paths lead to the same queue
			}
			if a.way == ownWay && next == 1 && !errors.Is(a.err, table.ErrNotDone) && !again {
				again = true
				next = 0 // perhaps only one connection broke; a second try tells
			}
			if next < len(ways) {
				send()
			}
		case <-more.C:
			if next < len(ways) {
				send()
			}
			more.Reset(hedge)
		case <-end.C:
			if s.lost(began) {
				return none, refused(errors.CombineErrors(first, errors.New("no way leads to the store")), true)
			}
			end.Reset(patience)
		case <-ctx.Done():
			return none, refused(ctx.Err(), true)
		}
	}
	s.lost(began)
	return none, refused(first, open)
}

// callError returns the error of a call that no path answered. open means that
// an attempt may have been carried out or may yet be.
func refused(err error, open bool) error {
	if open {
		return fmt.Errorf("store, fate unknown: %v", err)
	}
	if errors.Is(err, table.ErrBusy) {
		return errors.Mark(errors.Mark(fmt.Errorf("store: %w", err), table.ErrNotDone), table.ErrBusy)
	}
	return errors.Mark(fmt.Errorf("store: %w", err), table.ErrNotDone)
}

// Trusted reports whether the direct path works, as far as is known.
func (s *Store) Trusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h.trusted()
}

// Reached reports whether any path reaches the store, as far as is known.
func (s *Store) Reached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h.down.IsZero()
}

// probeGap is the pause between two probes of a failed path.
const probeGap = 250 * time.Millisecond

// Watch probes the direct path while it fails and, while no path answers, the
// other entries in turn. It returns when ctx ends.
func (s *Store) Watch(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; {
		t := time.NewTimer(probeGap)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if s.Trusted() {
			continue
		}
		c := fetchCall(s, probe)
		limit := s.limit()
		if _, err := c.try(ctx, s, ownWay, limit/2); err == nil || s.Reached() {
			continue
		}
		if others := s.Peers.Others(s.Now()); len(others) > 0 {
			turn++
			_, _ = c.try(ctx, s, others[turn%len(others)], limit/2) // try records the result
		}
	}
}

// probe reads a table to which nothing is written, which is the cheapest call.
var probe = Fetch{Kind: Read, Table: "probe"}

// Do implements table.Store. The transaction must have conditions that make it
// safe to be sent more than once.
func (s *Store) Do(ctx context.Context, tx table.Tx) (table.Result, error) {
	return run(ctx, s, call[table.Result]{
		own: func(ctx context.Context) (table.Result, error) { return s.Own.Do(ctx, tx) },
		via: func(ctx context.Context, addr string) (table.Result, error) { return s.Peers.Do(ctx, addr, tx) },
	})
}

// DoFor executes a transaction on the direct path on behalf of another entry.
func (s *Store) DoFor(ctx context.Context, tx table.Tx) (table.Result, error) {
	if !s.Trusted() {
		return table.Result{}, ErrDistrusted
	}
	c := call[table.Result]{own: func(ctx context.Context) (table.Result, error) { return s.Own.Do(ctx, tx) }}
	return c.try(ctx, s, ownWay, s.limit())
}
