// Package relay reaches the platform's store by this entry's own way, and
// through other entries while that way fails.
//
// A way that fails is left at once and tried again in the background, so that
// no call has to find out. While no way answers at all, calls are refused
// without being made.
package relay

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
)

// Peers are the other entries.
type Peers interface {
	// Others lists their addresses, those that are most likely to answer first.
	Others(now time.Time) []string
	// Do has the entry at addr carry out a transaction on its own way.
	Do(ctx context.Context, addr string, tx table.Tx) (table.Result, error)
	// Fetch has the entry at addr make a reading call on its own way.
	Fetch(ctx context.Context, addr string, f Fetch) (Fetched, error)
}

// Store is the platform's store by whatever way leads to it. Own, Peers and Now
// must be set; Watch keeps it informed of its own way.
type Store struct {
	Own   table.Store
	Peers Peers
	Now   func() time.Time // a clock that counts suspension and never jumps
	Lost  func()           // called when no way leads to the store any more; may be nil

	mu      sync.Mutex
	h       health
	checked time.Time // last Check
}

var (
	// ErrLost means that the store was not to be reached a moment ago; nothing was tried.
	ErrLost = errors.Mark(errors.New("the store is not to be reached"), table.ErrNotApplied)
	// ErrDistrusted is an entry's answer to a peer when its own way fails.
	ErrDistrusted = errors.Mark(errors.New("its own way to the store fails"), table.ErrNotApplied)
)

// mostWays is how many ways one call tries.
const mostWays = 5

// ownWay stands for the entry's own way in a list of addresses.
const ownWay = ""

// ways lists the ways of a call in the order in which they are tried, with the
// pause between two tries and the time after which the store counts as lost.
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

// attempt is what came of one way.
type attempt[T any] struct {
	way string
	out T
	err error
}

// call is one call to the store, on the own way or through another entry. wait
// is how long the store may hold the answer back.
type call[T any] struct {
	own  func(ctx context.Context) (T, error)
	via  func(ctx context.Context, addr string) (T, error)
	wait time.Duration
}

// try makes the call on one way and notes what comes of it.
func (c call[T]) try(ctx context.Context, s *Store, way string, limit time.Duration) (T, error) {
	// Not ended with its caller: the answer still tells whether the way is good.
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

// note takes in what came of a way.
func (s *Store) note(way string, began time.Time, took time.Duration, err error) {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case way == ownWay && (err == nil || errors.Is(err, table.ErrTrimmed)):
		s.h.ownAnswer(now, took)
	case way == ownWay:
		s.h.ownFailure(now, began, errors.Is(err, table.ErrRateLimited))
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

// overtaken notes that a relay answered what the own way was asked first.
func (s *Store) overtaken(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.h.ownFailure(s.Now(), began, false)
}

// lost notes that a call ran out of patience, and says whether the store counts
// as lost by that.
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

// Check finds out whether some way leads to the store, for an entry that was
// told by another that none does.
func (s *Store) Check(ctx context.Context) {
	s.mu.Lock()
	now := s.Now()
	if !s.h.down.IsZero() || now.Sub(s.checked) < checkGap {
		s.mu.Unlock()
		return
	}
	s.checked = now
	s.mu.Unlock()
	_, _ = run(ctx, s, fetchCall(s, probe)) // what it finds is noted by the way
}

// run makes a call, if need be on several ways. It must be safe to be made more
// than once. The error is marked table.ErrNotDone only if every way refused.
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
	open := false  // an attempt may have been, or may yet be carried out
	again := false // the own way was tried twice
	for under > 0 {
		select {
		case a := <-ch:
			under--
			if a.err == nil || errors.Is(a.err, table.ErrTrimmed) {
				return a.out, a.err
			}
			first = errors.CombineErrors(first, a.err)
			open = open || !errors.Is(a.err, table.ErrNotApplied)
			if errors.Is(a.err, table.ErrRateLimited) && s.Trusted() {
				return none, refused(first, open || under > 0) // other ways lead to the same queue
			}
			if a.way == ownWay && next == 1 && !errors.Is(a.err, table.ErrNotApplied) && !again {
				again = true
				next = 0 // one connection may have broken; a new one tells whether the way has
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

// refused is the error of a call that brought nothing.
func refused(err error, open bool) error {
	if open {
		return fmt.Errorf("store, fate unknown: %v", err)
	}
	if errors.Is(err, table.ErrRateLimited) {
		return errors.Mark(errors.Mark(fmt.Errorf("store: %w", err), table.ErrNotApplied), table.ErrRateLimited)
	}
	return errors.Mark(fmt.Errorf("store: %w", err), table.ErrNotApplied)
}

// Trusted says that the entry's own way is the one to use.
func (s *Store) Trusted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h.trusted()
}

// Reached says that some way leads to the store, as far as is known.
func (s *Store) Reached() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.h.down.IsZero()
}

// probeGap is the pause between two tries of a way that has failed.
const probeGap = 250 * time.Millisecond

// Watch tries the own way, while it fails, until it answers; and while no way
// answers the other entries' ways too, one at a time.
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
			_, _ = c.try(ctx, s, others[turn%len(others)], limit/2) // noted by try
		}
	}
}

// probe is the cheapest call that there is: nobody writes to that table.
var probe = Fetch{Kind: Read, Table: "probe"}

// Do implements table.Store. The transaction must have conditions that make it
// safe to be sent more than once.
func (s *Store) Do(ctx context.Context, tx table.Tx) (table.Result, error) {
	return run(ctx, s, call[table.Result]{
		own: func(ctx context.Context) (table.Result, error) { return s.Own.Do(ctx, tx) },
		via: func(ctx context.Context, addr string) (table.Result, error) { return s.Peers.Do(ctx, addr, tx) },
	})
}

// DoFor carries out a transaction on the own way, for another entry.
func (s *Store) DoFor(ctx context.Context, tx table.Tx) (table.Result, error) {
	if !s.Trusted() {
		return table.Result{}, ErrDistrusted
	}
	c := call[table.Result]{own: func(ctx context.Context) (table.Result, error) { return s.Own.Do(ctx, tx) }}
	return c.try(ctx, s, ownWay, s.limit())
}
