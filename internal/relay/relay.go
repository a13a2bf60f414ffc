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
	// Read performs a read on the direct path of the entry at addr.
	Read(ctx context.Context, addr string, f ReadRequest) (ReadResult, error)
}

// Store is a table.Store that uses whichever path reaches the platform's store.
// Direct, Peers and Now must be set, and Watch must run so that a failed direct
// path is used again once it recovers.
type Store struct {
	Direct        table.Store // the direct path
	Peers         Peers
	Now           func() time.Time // monotonic clock that includes time suspended
	OnUnreachable func()           // called when the store becomes unreachable; may be nil

	mu        sync.Mutex
	health    health
	lastCheck time.Time // last Check
}

var (
	// ErrUnreachable means that the store is known to be unreachable; the call was
	// not sent.
	ErrUnreachable = errors.Mark(errors.New("the store is not to be reached"), table.ErrNotApplied)
	// ErrDirectFailing is returned to a peer while this entry's direct path fails.
	ErrDirectFailing = errors.Mark(errors.New("its own way to the store fails"), table.ErrNotApplied)
)

// maxPaths is the number of paths that one call tries.
const maxPaths = 5

// directPath denotes the direct path in a list of addresses.
const directPath = ""

// paths returns the paths of a call in the order in which they are tried, the
// delay between two tries, and the time without an answer after which the store
// counts as unreachable.
func (s *Store) paths(now time.Time) (paths []string, hedgeDelay, answerTimeout time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.health.unreachableSince.IsZero() {
		return nil, 0, 0, ErrUnreachable
	}
	others := s.Peers.Others(now)
	if s.health.directHealthy() {
		paths = append([]string{directPath}, others...)
	} else {
		if s.health.relayAddr != "" {
			paths = append(paths, s.health.relayAddr)
		}
		for _, a := range others {
			if a != s.health.relayAddr {
				paths = append(paths, a)
			}
		}
		paths = append(paths[:min(len(paths), maxPaths-1)], directPath)
	}
	return paths[:min(len(paths), maxPaths)], s.health.hedgeDelay(), s.health.answerTimeout(), nil
}

// attempt is the result of a call on one path.
type attempt[T any] struct {
	path string
	out  T
	err  error
}

// call is one call to the store, on the direct path or through another entry.
// wait is how long the store may hold the answer back.
type call[T any] struct {
	direct  func(ctx context.Context) (T, error)
	relayed func(ctx context.Context, addr string) (T, error)
	wait    time.Duration
}

// try makes the call on one path and records the result in the path's health.
func (c call[T]) try(ctx context.Context, s *Store, path string, timeout time.Duration) (T, error) {
	// Outlives its caller: the answer still tells whether the path is healthy.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout+c.wait)
	defer cancel()
	began := s.Now()
	if path != directPath {
		out, err := c.relayed(ctx, path)
		s.record(path, began, 0, err)
		return out, err
	}
	out, err := c.direct(ctx)
	took := s.Now().Sub(began)
	if c.wait > 0 {
		took = 0
	}
	s.record(path, began, took, err)
	return out, err
}

// record updates the health of a path with the result of a call.
func (s *Store) record(path string, began time.Time, took time.Duration, err error) {
	now := s.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case path == directPath && (err == nil || errors.Is(err, table.ErrTrimmed)):
		s.health.directAnswered(now, took)
	case path == directPath:
		s.health.directFailed(now, began, errors.Is(err, table.ErrRateLimited))
	case err == nil || errors.Is(err, table.ErrTrimmed):
		s.health.relayAnswered(now, path)
	case s.health.relayAddr == path:
		s.health.relayAddr = ""
	}
}

func (s *Store) callTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.callTimeout()
}

// hedgeWon records that a relay answered before the direct path, which was
// asked first.
func (s *Store) hedgeWon(began time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.health.directFailed(s.Now(), began, false)
}

// noAnswer records that a call got no answer on any path, and reports whether
// the store therefore counts as unreachable.
func (s *Store) noAnswer(began time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasReachable := s.health.unreachableSince.IsZero()
	unreachable := s.health.noAnswer(s.Now(), began)
	if wasReachable && unreachable && s.OnUnreachable != nil {
		go s.OnUnreachable()
	}
	return unreachable
}

// minCheckInterval is the shortest time between two checks.
const minCheckInterval = 500 * time.Millisecond

// Check tests whether the store can be reached. An entry calls it when another
// entry reports that it cannot reach the store.
func (s *Store) Check(ctx context.Context) {
	s.mu.Lock()
	now := s.Now()
	if !s.health.unreachableSince.IsZero() || now.Sub(s.lastCheck) < minCheckInterval {
		s.mu.Unlock()
		return
	}
	s.lastCheck = now
	s.mu.Unlock()
	_, _ = callPaths(ctx, s, readCall(s, probeRead)) // call.try records the result
}

// callPaths makes a call, on several paths if one does not answer. The call must
// be safe to repeat. The error is marked table.ErrNotApplied only if every path
// refused.
func callPaths[T any](ctx context.Context, s *Store, c call[T]) (T, error) {
	var zero T
	began := s.Now()
	paths, hedgeDelay, answerTimeout, err := s.paths(began)
	if err != nil {
		return zero, err
	}
	limit := s.callTimeout()
	results := make(chan attempt[T], len(paths)+1)
	next, inFlight := 0, 0
	send := func() {
		path := paths[next]
		next++
		inFlight++
		go func() {
			out, err := c.try(ctx, s, path, limit)
			if err == nil && path != directPath && paths[0] == directPath {
				s.hedgeWon(began)
			}
			results <- attempt[T]{path, out, err}
		}()
	}
	send()
	hedgeTimer := time.NewTimer(hedgeDelay + c.wait)
	defer hedgeTimer.Stop()
	answerTimer := time.NewTimer(answerTimeout + c.wait)
	defer answerTimer.Stop()
	var errs error
	mayHaveRun := false    // an attempt may have been carried out, or may yet be
	retriedDirect := false // the direct path was tried twice
	for inFlight > 0 {
		select {
		case a := <-results:
			inFlight--
			if a.err == nil || errors.Is(a.err, table.ErrTrimmed) {
				return a.out, a.err
			}
			errs = errors.CombineErrors(errs, a.err)
			mayHaveRun = mayHaveRun || !errors.Is(a.err, table.ErrNotApplied)
			if errors.Is(a.err, table.ErrRateLimited) && s.DirectHealthy() {
				return zero, callError(errs, mayHaveRun || inFlight > 0) // other paths lead to the same queue
			}
			if a.path == directPath && next == 1 && !errors.Is(a.err, table.ErrNotApplied) && !retriedDirect {
				retriedDirect = true
				next = 0 // perhaps only one connection broke; a second try tells
			}
			if next < len(paths) {
				send()
			}
		case <-hedgeTimer.C:
			if next < len(paths) {
				send()
			}
			hedgeTimer.Reset(hedgeDelay)
		case <-answerTimer.C:
			if s.noAnswer(began) {
				return zero, callError(errors.CombineErrors(errs, errors.New("no way leads to the store")), true)
			}
			answerTimer.Reset(answerTimeout)
		case <-ctx.Done():
			return zero, callError(ctx.Err(), true)
		}
	}
	s.noAnswer(began)
	return zero, callError(errs, mayHaveRun)
}

// callError returns the error of a call that no path answered. mayHaveRun means
// that an attempt may have been carried out or may yet be.
func callError(err error, mayHaveRun bool) error {
	if mayHaveRun {
		return fmt.Errorf("store, fate unknown: %v", err)
	}
	if errors.Is(err, table.ErrRateLimited) {
		return errors.Mark(errors.Mark(fmt.Errorf("store: %w", err), table.ErrNotApplied), table.ErrRateLimited)
	}
	return errors.Mark(fmt.Errorf("store: %w", err), table.ErrNotApplied)
}

// DirectHealthy reports whether the direct path works, as far as is known.
func (s *Store) DirectHealthy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.directHealthy()
}

// Reachable reports whether any path reaches the store, as far as is known.
func (s *Store) Reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.health.unreachableSince.IsZero()
}

// probeInterval is the pause between two probes of a failed path.
const probeInterval = 250 * time.Millisecond

// Watch probes the direct path while it fails and, while no path answers, the
// other entries in turn. It returns when ctx ends.
func (s *Store) Watch(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; {
		t := time.NewTimer(probeInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
		}
		if s.DirectHealthy() {
			continue
		}
		c := readCall(s, probeRead)
		limit := s.callTimeout()
		if _, err := c.try(ctx, s, directPath, limit/2); err == nil || s.Reachable() {
			continue
		}
		if others := s.Peers.Others(s.Now()); len(others) > 0 {
			turn++
			_, _ = c.try(ctx, s, others[turn%len(others)], limit/2) // try records the result
		}
	}
}

// probeRead reads a table to which nothing is written, which is the cheapest call.
var probeRead = ReadRequest{Kind: Read, Table: "probe"}

// Do implements table.Store. The transaction must have conditions that make it
// safe to be sent more than once.
func (s *Store) Do(ctx context.Context, tx table.Tx) (table.Result, error) {
	return callPaths(ctx, s, call[table.Result]{
		direct:  func(ctx context.Context) (table.Result, error) { return s.Direct.Do(ctx, tx) },
		relayed: func(ctx context.Context, addr string) (table.Result, error) { return s.Peers.Do(ctx, addr, tx) },
	})
}

// DoFor executes a transaction on the direct path on behalf of another entry.
func (s *Store) DoFor(ctx context.Context, tx table.Tx) (table.Result, error) {
	if !s.DirectHealthy() {
		return table.Result{}, ErrDirectFailing
	}
	c := call[table.Result]{direct: func(ctx context.Context) (table.Result, error) { return s.Direct.Do(ctx, tx) }}
	return c.try(ctx, s, directPath, s.callTimeout())
}
