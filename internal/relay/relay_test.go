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

// fakePath is a fake path that counts its calls. With a negative delay it never
// answers.
type fakePath struct {
	mu    sync.Mutex
	delay time.Duration
	err   error
	calls int
}

func (w *fakePath) set(delay time.Duration, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delay, w.err = delay, err
}

func (w *fakePath) callCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls
}

func (w *fakePath) answer(ctx context.Context) error {
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
func (w *fakePath) Do(ctx context.Context, _ table.Tx) (table.Result, error) {
	err := w.answer(ctx)
	return table.Result{Done: err == nil}, err
}

// Read implements table.Store.
func (w *fakePath) Read(ctx context.Context, _, _, _, _ string) (table.Range, error) {
	return table.Range{}, w.answer(ctx)
}

// Parts implements table.Store.
func (w *fakePath) Parts(ctx context.Context, _ string) ([]string, error) { return nil, w.answer(ctx) }

// Feed implements table.Store.
func (w *fakePath) Feed(ctx context.Context, _ string, _ int64, wait time.Duration) (table.Range, error) {
	time.Sleep(wait)
	return table.Range{}, w.answer(ctx)
}

// fakePeers are the fake paths through other entries, by address.
type fakePeers struct {
	names []string
	paths map[string]*fakePath
}

func (p fakePeers) Others(time.Time) []string { return p.names }

func (p fakePeers) Do(ctx context.Context, addr string, tx table.Tx) (table.Result, error) {
	return p.paths[addr].Do(ctx, tx)
}

func (p fakePeers) Read(ctx context.Context, addr string, _ ReadRequest) (ReadResult, error) {
	return ReadResult{}, p.paths[addr].answer(ctx)
}

const fastLatency = 6 * time.Millisecond

// newStore returns a store whose paths all answer after fastLatency. It must be called
// in a synctest bubble.
func newStore(t *testing.T, others ...string) (s *Store, direct *fakePath, ps fakePeers) {
	direct = &fakePath{delay: fastLatency}
	ps = fakePeers{names: others, paths: map[string]*fakePath{}}
	for _, n := range others {
		ps.paths[n] = &fakePath{delay: fastLatency}
	}
	s = &Store{Direct: direct, Peers: ps, Now: time.Now}
	ctx, cancel := context.WithCancel(t.Context())
	go s.Watch(ctx)
	t.Cleanup(func() {
		cancel()
		time.Sleep(2 * maxCallTimeout) // calls in flight end by their time limit
	})
	return s, direct, ps
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

func TestNotDoneOnlyIfEveryPathRefused(t *testing.T) {
	for name, c := range map[string]struct {
		own, via error
		notDone  bool
	}{
		"all refuse":      {errRefused, errRefused, true},
		"direct unknown":  {errReset, errRefused, false},
		"relayed unknown": {errRefused, errReset, false},
		"both unknown":    {errReset, errReset, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			s, own, ps := newStore(t, "a")
			own.set(0, c.own)
			ps.paths["a"].set(0, c.via)
			_, err := s.do(t)
			assert.Assert(t, err != nil, name)
			assert.Equal(t, errors.Is(err, table.ErrNotApplied), c.notDone, name)
		})
	}
}

func TestSilentPathIsLeftFromTheSecondCallOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, _ := newStore(t, "a", "b")
		_, err := s.do(t)
		assert.NilError(t, err)
		own.set(-1, nil)
		took, err := s.do(t)
		assert.NilError(t, err)
		assert.Equal(t, took, minHedgeDelay+fastLatency)
		for range 20 {
			took, err = s.do(t)
			assert.NilError(t, err)
			assert.Equal(t, took, fastLatency, "a call tried the failed path first")
			time.Sleep(100 * time.Millisecond)
		}
		own.set(fastLatency, nil)
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.DirectHealthy())
	})
}

func TestRefusingPathIsLeftAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a", "b")
		own.set(0, errReset)
		ps.paths["a"].set(0, ErrDirectFailing)
		for range 5 {
			took, err := s.do(t)
			assert.NilError(t, err)
			assert.Equal(t, took, fastLatency)
		}
		assert.Equal(t, ps.paths["a"].callCount(), 1, "the entry that relayed the last answer is not asked first")
	})
}

// The store executes the transactions of a part one after another, so every
// hedged copy of a call slows a slow store further.
func TestSlowStoreGetsNoCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a", "b")
		for range 10 {
			_, err := s.do(t)
			assert.NilError(t, err)
		}
		slow := 50 * fastLatency
		for _, w := range []*fakePath{own, ps.paths["a"], ps.paths["b"]} {
			w.set(slow, nil)
		}
		for range 20 {
			_, err := s.do(t)
			assert.NilError(t, err)
		}
		copies := ps.paths["a"].callCount() + ps.paths["b"].callCount()
		assert.Assert(t, copies <= 2, "%d copies of 20 calls", copies)
		assert.Assert(t, s.DirectHealthy() && s.Reachable())
	})
}

func TestUnreachableStoreIsReportedSoonAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a", "b")
		_, err := s.do(t)
		assert.NilError(t, err)
		for _, w := range []*fakePath{own, ps.paths["a"], ps.paths["b"]} {
			w.set(-1, nil)
		}
		took, err := s.do(t)
		assert.Assert(t, err != nil && !errors.Is(err, table.ErrNotApplied), "the call may have been carried out: %v", err)
		assert.Assert(t, took <= 700*time.Millisecond, "%v", took)
		assert.Assert(t, !s.Reachable())
		sent := own.callCount()
		for range 10 {
			took, err = s.do(t)
			assert.Assert(t, errors.Is(err, ErrUnreachable) && errors.Is(err, table.ErrNotApplied))
			assert.Equal(t, took, time.Duration(0))
		}
		assert.Equal(t, own.callCount(), sent, "calls were sent while the store was unreachable")
		own.set(fastLatency, nil)
		time.Sleep(time.Second)
		_, err = s.do(t)
		assert.NilError(t, err)
	})
}

func TestStoreIsFoundThroughAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a", "b")
		for _, w := range []*fakePath{own, ps.paths["a"], ps.paths["b"]} {
			w.set(0, errRefused)
		}
		_, err := s.do(t)
		assert.Assert(t, errors.Is(err, table.ErrNotApplied))
		assert.Assert(t, !s.Reachable())
		ps.paths["b"].set(fastLatency, nil)
		time.Sleep(2 * time.Second)
		assert.Assert(t, s.Reachable() && !s.DirectHealthy())
		_, err = s.do(t)
		assert.NilError(t, err)
	})
}

func TestBusyStoreIsNotAskedThroughPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a")
		_, err := s.do(t)
		assert.NilError(t, err)
		own.set(0, errBusy)
		_, err = s.do(t)
		assert.Assert(t, errors.Is(err, table.ErrRateLimited) && errors.Is(err, table.ErrNotApplied))
		assert.Equal(t, ps.paths["a"].callCount(), 0)
		time.Sleep(busyWindow)
		_, err = s.do(t)
		assert.NilError(t, err, "ErrBusy long after the last answer must count as a failed path")
	})
}

func TestOneLostAnswerFailsNoPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, _ := newStore(t, "a")
		_, err := s.do(t)
		assert.NilError(t, err)
		own.set(-1, nil)
		done := make(chan error)
		go func() { _, err := s.do(t); done <- err }()
		time.Sleep(fastLatency)
		own.set(fastLatency, nil)
		_, err = s.do(t)
		assert.NilError(t, err)
		assert.NilError(t, <-done)
		time.Sleep(2 * minCallTimeout)
		assert.Assert(t, s.DirectHealthy())
	})
}

func TestFeedDetectsUnreachableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, _ := newStore(t)
		_, err := s.Feed(t.Context(), "op", 0, time.Second)
		assert.NilError(t, err)
		own.set(-1, nil)
		began := time.Now()
		_, err = s.Feed(t.Context(), "op", 0, time.Second)
		assert.Assert(t, err != nil)
		assert.Assert(t, !s.Reachable())
		assert.Assert(t, time.Since(began) <= 1700*time.Millisecond, "%v", time.Since(began))
	})
}

func TestCheckDetectsUnreachableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, own, ps := newStore(t, "a")
		lostCalls := 0
		s.OnUnreachable = func() { lostCalls++ }
		own.set(-1, nil)
		ps.paths["a"].set(0, ErrDirectFailing)
		s.Check(t.Context())
		assert.Assert(t, !s.Reachable())
		s.Check(t.Context())
		synctest.Wait()
		assert.Equal(t, lostCalls, 1, "OnUnreachable must be called once")
	})
}
