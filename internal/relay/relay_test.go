package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"jasminestep/internal/table"
)

// way answers transactions and counts them. A negative delay is silence.
type way struct {
	mu    sync.Mutex
	delay time.Duration
	err   error
	calls int
}

func (w *way) set(delay time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay, w.err = delay, err
}

func (w *way) asked() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

func (w *way) answer(ctx context.Context) error {
	w.mu.Lock()
	w.calls++
	d, err := w.delay, w.err
	w.mu.Unlock()
	if d < 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(d)
	return err
}

// Do implements table.Store.
func (w *way) Do(ctx context.Context, _ table.Tx) (table.Result, error) {
	err := w.answer(ctx)
	return table.Result{Done: err == nil}, err
}

// Read implements table.Store.
func (w *way) Read(ctx context.Context, _, _, _, _ string) (table.Range, error) {
	return table.Range{}, w.answer(ctx)
}

// Parts implements table.Store.
func (w *way) Parts(ctx context.Context, _ string) ([]string, error) { return nil, w.answer(ctx) }

// Feed implements table.Store.
func (w *way) Feed(ctx context.Context, _ string, _ int64, wait time.Duration) (table.Range, error) {
	time.Sleep(wait)
	return table.Range{}, w.answer(ctx)
}

// peers are other entries by name.
type peers struct {
	names []string
	ways  map[string]*way
}

func (p peers) Others(time.Time) []string { return p.names }

func (p peers) Do(ctx context.Context, addr string, tx table.Tx) (table.Result, error) {
	return p.ways[addr].Do(ctx, tx)
}

func (p peers) Fetch(ctx context.Context, addr string, _ Fetch) (Fetched, error) {
	return Fetched{}, p.ways[addr].answer(ctx)
}

const fast = 6 * time.Millisecond

// newStore returns a store whose ways are all fast, in a bubble of false time.
func newStore(t *testing.T, others ...string) (s *Store, own *way, ps peers) {
	own = &way{delay: fast}
	ps = peers{names: others, ways: map[string]*way{}}
	for _, n := range others {
		ps.ways[n] = &way{delay: fast}
	}
	s = &Store{Own: own, Peers: ps, Now: time.Now}
	ctx, cancel := context.WithCancel(t.Context())
	go s.Watch(ctx)
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * callMost) // calls under way end by their limit
	})
	return s, own, ps
}

func (s *Store) do(t *testing.T) (time.Duration, error) {
	began := time.Now()
	_, err := s.Do(t.Context(), table.Tx{})
	return time.Since(began), err
}

var (
	errRefused = errors.Mark(errors.New("no"), table.ErrNotApplied)
	errBusy    = errors.Mark(errors.Mark(errors.New("too many"), table.ErrRateLimited), table.ErrNotApplied)
	errReset   = errors.New("reset")
)

func TestRefusedOnlyIfEveryWayRefused(t *testing.T) {
	for name, c := range map[string]struct {
		own, via error
		notDone  bool
	}{
		"all refuse":      {errRefused, errRefused, true},
		"own way is open": {errReset, errRefused, false},
		"relay's is open": {errRefused, errReset, false},
		"nothing is sure": {errReset, errReset, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, own, ps := newStore(t, "a")
			own.set(0, c.own)
			ps.ways["a"].set(0, c.via)
			_, err := s.do(t)
			assert.Assert(t, err != nil, name)
			assert.Equal(t, errors.Is(err, table.ErrNotApplied), c.notDone, name)
		})
	}
}

func TestSilentWayIsLeftAtOnceFromTheSecondCallOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, _ := newStore(t, "a", "b")
		_, err := s.do(t)
		assert.NilError(t, err)
		own.set(-1, nil)
		took, err := s.do(t)
		assert.NilError(t, err)
		assert.Equal(t, took, hedgeLeast+fast)
		for range 20 {
			took, err = s.do(t)
			assert.NilError(t, err)
			assert.Equal(t, took, fast, "no call finds out anew")
			time.Sleep(100 * time.Millisecond)
		}
		own.set(fast, nil)
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.Trusted())
	})
}

func TestWayThatTurnsCallsAwayIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a", "b")
		own.set(0, errReset)
		ps.ways["a"].set(0, ErrDistrusted)
		for range 5 {
			took, err := s.do(t)
			assert.NilError(t, err)
			assert.Equal(t, took, fast)
		}
		assert.Equal(t, ps.ways["a"].asked(), 1, "the entry that helped last is asked first")
	})
}

// A slow store takes one transaction of a part after another: each copy of a
// call makes it slower still.
func TestSlowStoreGetsNoCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a", "b")
		for range 10 {
			_, err := s.do(t)
			assert.NilError(t, err)
		}
		slow := 50 * fast
		for _, w := range []*way{own, ps.ways["a"], ps.ways["b"]} {
			w.set(slow, nil)
		}
		for range 20 {
			_, err := s.do(t)
			assert.NilError(t, err)
		}
		copies := ps.ways["a"].asked() + ps.ways["b"].asked()
		assert.Assert(t, copies <= 2, "%d copies of 20 calls", copies)
		assert.Assert(t, s.Trusted() && s.Reached())
	})
}

func TestLostStoreIsToldSoonAndFoundAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a", "b")
		_, err := s.do(t)
		assert.NilError(t, err)
		for _, w := range []*way{own, ps.ways["a"], ps.ways["b"]} {
			w.set(-1, nil)
		}
		took, err := s.do(t)
		assert.Assert(t, err != nil && !errors.Is(err, table.ErrNotApplied), "it may have been done: %v", err)
		assert.Assert(t, took <= 700*time.Millisecond, "%v", took)
		assert.Assert(t, !s.Reached())
		calls := own.asked()
		for range 10 {
			took, err = s.do(t)
			assert.Assert(t, errors.Is(err, ErrLost) && errors.Is(err, table.ErrNotApplied))
			assert.Equal(t, took, time.Duration(0))
		}
		assert.Equal(t, own.asked(), calls, "nothing is sent while the store is lost")
		own.set(fast, nil)
		time.Sleep(time.Second)
		_, err = s.do(t)
		assert.NilError(t, err)
	})
}

func TestStoreIsFoundThroughAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a", "b")
		for _, w := range []*way{own, ps.ways["a"], ps.ways["b"]} {
			w.set(0, errRefused)
		}
		_, err := s.do(t)
		assert.Assert(t, errors.Is(err, table.ErrNotApplied))
		assert.Assert(t, !s.Reached())
		ps.ways["b"].set(fast, nil)
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.Reached() && !s.Trusted())
		_, err = s.do(t)
		assert.NilError(t, err)
	})
}

func TestBusyStoreIsNotAskedOtherwise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a")
		_, err := s.do(t)
		assert.NilError(t, err)
		own.set(0, errBusy)
		_, err = s.do(t)
		assert.Assert(t, errors.Is(err, table.ErrRateLimited) && errors.Is(err, table.ErrNotApplied))
		assert.Equal(t, ps.ways["a"].asked(), 0)
		time.Sleep(busyFor)
		_, err = s.do(t)
		assert.NilError(t, err, "after a second without an answer it is the way that is cut")
	})
}

func TestOneLostAnswerCutsNoWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, _ := newStore(t, "a")
		_, err := s.do(t)
		assert.NilError(t, err)
		own.set(-1, nil)
		done := make(chan error)
		go func() { _, err := s.do(t); done <- err }()
		time.Sleep(fast)
		own.set(fast, nil)
		_, err = s.do(t)
		assert.NilError(t, err)
		assert.NilError(t, <-done)
		time.Sleep(2 * callLeast)
		assert.Assert(t, s.Trusted())
	})
}

func TestIdleEntryFindsOutByItsFeed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, _ := newStore(t)
		_, err := s.Feed(t.Context(), "op", 0, time.Second)
		assert.NilError(t, err)
		own.set(-1, nil)
		began := time.Now()
		_, err = s.Feed(t.Context(), "op", 0, time.Second)
		assert.Assert(t, err != nil)
		assert.Assert(t, !s.Reached())
		assert.Assert(t, time.Since(began) <= 1700*time.Millisecond, "%v", time.Since(began))
	})
}

func TestIdleEntryFindsOutWhenTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a")
		told := 0
		s.Lost = func() { told++ }
		own.set(-1, nil)
		ps.ways["a"].set(0, ErrDistrusted)
		s.Check(t.Context())
		assert.Assert(t, !s.Reached())
		s.Check(t.Context())
		synctest.Wait()
		assert.Equal(t, told, 1, "it tells others once")
	})
}
