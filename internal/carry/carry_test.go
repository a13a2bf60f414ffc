package carry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// fakeMinions answers calls and counts them.
type fakeMinions struct {
	mu      sync.Mutex
	started []work.TaskID
	stopped int
	renewed int
	seen    []int64
	report  work.Report
	err     error
	hang    time.Duration
}

func (f *fakeMinions) Start(_ context.Context, _ *work.Minion, s work.Start) (work.Refusal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = append(f.started, s.Task)
	return work.NoCapacity, f.err
}

func (f *fakeMinions) Stop(context.Context, *work.Minion, work.TaskID, int, int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped++
	return f.err
}

func (f *fakeMinions) Renew(ctx context.Context, _ *work.Minion, _, _, seen int64, _ time.Duration) (work.Report, bool, error) {
	f.mu.Lock()
	f.renewed++
	f.seen = append(f.seen, seen)
	rep, err, hang := f.report, f.err, f.hang
	f.mu.Unlock()
	if hang > 0 {
		select {
		case <-time.After(hang):
		case <-ctx.Done():
			return rep, false, ctx.Err()
		}
	}
	return rep, false, err
}

func (f *fakeMinions) counts() (started, stopped, renewed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.started), f.stopped, f.renewed
}

// links are the ways to carriers, by address. A link that is down lets calls wait.
type links struct {
	mu      sync.Mutex
	to      map[string]*Carrier
	down    map[string]bool
	batches int
}

func (l *links) carrier(ctx context.Context, addr string) (*Carrier, error) {
	l.mu.Lock()
	c, down := l.to[addr], l.down[addr]
	l.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c, nil
}

func (l *links) Carry(ctx context.Context, addr string, b Batch) error {
	c, err := l.carrier(ctx, addr)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.batches++
	l.mu.Unlock()
	c.Take(b)
	return nil
}

func (l *links) Carried(ctx context.Context, addr, session string) (Answers, error) {
	c, err := l.carrier(ctx, addr)
	if err != nil {
		return Answers{}, err
	}
	return c.Fetch(session), nil
}

func (l *links) set(addr string, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[addr] = down
}

// site is an owner with carriers, which reach the same minions.
type site struct {
	pool      *Pool
	links     *links
	own, away *fakeMinions // called by the owner, and by carriers
	lost      chan string
}

func newSite(t *testing.T, carriers ...string) *site {
	s := &site{links: &links{to: map[string]*Carrier{}, down: map[string]bool{}}, own: &fakeMinions{}, away: &fakeMinions{}, lost: make(chan string, 9)}
	for _, a := range carriers {
		s.links.to[a] = NewCarrier(s.away, "life of "+a, time.Now)
	}
	s.pool = &Pool{
		Hands: &Hands{Minions: s.own, Now: time.Now}, Peers: s.links, Name: "o", Now: time.Now,
		Zone: func(string) []string { return carriers },
		Lost: func(addr, _ string) { s.lost <- addr },
	}
	t.Cleanup(s.pool.Close)
	return s
}

var minion = &work.Minion{Incarnation: work.Incarnation{ID: "m", Born: 7}, Address: "x"}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallsPassThroughACarrier(t *testing.T) {
	s := newSite(t, "a")
	s.away.report = work.Report{Born: 7, Ended: []work.End{{N: 3, How: work.Done}}}
	why, err := s.pool.Start(within(t, time.Second), minion, work.Start{Task: work.TaskID{Job: "j"}})
	assert.NilError(t, err)
	assert.Equal(t, why, work.NoCapacity)
	assert.NilError(t, s.pool.Stop(within(t, time.Second), minion, work.TaskID{}, 1, 2))
	rep, _, err := s.pool.Renew(within(t, time.Second), minion, 1, 2, 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, rep, s.away.report)
	started, stopped, renewed := s.own.counts()
	assert.Equal(t, started+stopped+renewed, 0, "the owner calls no minion")
}

func TestErrorsOfMinionsPassThroughACarrier(t *testing.T) {
	s := newSite(t, "a")
	s.away.err = errors.Mark(errors.New("421"), work.ErrWrongMinion)
	_, _, err := s.pool.Renew(within(t, time.Second), minion, 1, 2, 0, 0)
	assert.Assert(t, errors.Is(err, work.ErrWrongMinion), "%v", err)
}

func TestCallsTravelInBatches(t *testing.T) {
	s := newSite(t, "a")
	var wg sync.WaitGroup
	const n = 300
	for i := range n {
		wg.Go(func() {
			_, err := s.pool.Start(within(t, 2*time.Second), minion, work.Start{Task: work.TaskID{Job: fmt.Sprint(i)}})
			assert.Check(t, err)
		})
	}
	wg.Wait()
	started, _, _ := s.away.counts()
	assert.Equal(t, started, n)
	s.links.mu.Lock()
	defer s.links.mu.Unlock()
	assert.Assert(t, s.links.batches < n/10, "%d batches", s.links.batches)
}

// While its carrier is silent a minion must not count as silent.
func TestRenewalsGoOnWithoutTheCarrier(t *testing.T) {
	s := newSite(t, "a")
	_, _, err := s.pool.Renew(within(t, time.Second), minion, 1, 2, 0, 0)
	assert.NilError(t, err)
	s.links.set("a", true)
	began := time.Now()
	_, _, err = s.pool.Renew(within(t, 1500*time.Millisecond), minion, 1, 2, 0, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
	_, _, renewed := s.own.counts()
	assert.Equal(t, renewed, 1)
	assert.Equal(t, <-s.lost, "a")
}

// Whether a start was made that was with a lost carrier is not known, and it must
// not be made again.
func TestStartWithALostCarrierHasNoAnswer(t *testing.T) {
	s := newSite(t, "a")
	assert.NilError(t, s.pool.Stop(within(t, time.Second), minion, work.TaskID{}, 1, 2))
	s.links.set("a", true)
	_, err := s.pool.Start(within(t, time.Second), minion, work.Start{})
	assert.Assert(t, errors.Is(err, ErrLost), "%v", err)
	started, _, _ := s.own.counts()
	assert.Equal(t, started, 0)
}

func TestAnotherCarrierIsUsedForOneThatIsLost(t *testing.T) {
	s := newSite(t, "a", "b")
	for _, a := range []string{"a", "b"} {
		s.links.set(a, true)
		_, _, err := s.pool.Renew(within(t, 1500*time.Millisecond), minion, 1, 2, 0, 0)
		assert.NilError(t, err)
		s.links.set(a, false)
	}
	_, _, before := s.own.counts()
	s.pool.mu.Lock()
	clear(s.pool.avoid)
	s.pool.mu.Unlock()
	_, _, err := s.pool.Renew(within(t, time.Second), minion, 1, 2, 0, 0)
	assert.NilError(t, err)
	_, _, after := s.own.counts()
	assert.Equal(t, before, after)
}

// A carrier that was killed and is back has nothing of what it was asked.
func TestCarrierThatStartsAnewIsLeft(t *testing.T) {
	s := newSite(t, "a")
	assert.NilError(t, s.pool.Stop(within(t, time.Second), minion, work.TaskID{}, 1, 2))
	s.away.hang = time.Hour
	s.links.mu.Lock()
	s.links.to["a"] = NewCarrier(s.away, "another life", time.Now)
	s.links.mu.Unlock()
	_, _, err := s.pool.Renew(within(t, time.Second), minion, 1, 2, 0, 0)
	assert.NilError(t, err)
	_, _, renewed := s.own.counts()
	assert.Equal(t, renewed, 1)
}

func TestLeavingCarrierFinishesItsCalls(t *testing.T) {
	s := newSite(t, "a")
	s.away.hang = 300 * time.Millisecond
	got := make(chan error, 1)
	go func() {
		_, _, err := s.pool.Renew(within(t, time.Second), minion, 1, 2, 0, 0)
		got <- err
	}()
	time.Sleep(50 * time.Millisecond)
	s.links.to["a"].Leave()
	time.Sleep(150 * time.Millisecond)
	assert.NilError(t, s.pool.Stop(within(t, time.Second), minion, work.TaskID{}, 1, 2))
	_, stopped, _ := s.own.counts()
	assert.Equal(t, stopped, 1, "the next call is made by the owner")
	assert.NilError(t, <-got)
	_, _, renewed := s.own.counts()
	assert.Equal(t, renewed, 0)
	assert.Equal(t, len(s.lost), 0)
}

// clock is a time that a test moves.
type clock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *clock) time() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// A batch that was held up, by the network or since the carrier was frozen, is
// not carried out: its owner has given the calls up meanwhile.
func TestHeldUpCallsAreNotMade(t *testing.T) {
	m := &fakeMinions{}
	k := &clock{now: time.Unix(1000, 0)}
	c := NewCarrier(m, "life", k.time)
	owner := time.Unix(5_000_000, 0) // clocks differ
	batch := func(n int64) Batch {
		return Batch{Session: "s", Sent: owner.UnixNano(), Calls: []Call{{N: n, Kind: start, Limit: time.Second}}}
	}
	c.Take(batch(1))
	assert.Equal(t, len(c.Fetch("s").Results), 1)
	late := batch(2)
	k.pass(2 * time.Second)
	owner = owner.Add(2 * time.Second)
	c.Take(late)
	a := c.Fetch("s")
	assert.Equal(t, len(a.Results), 1)
	assert.Assert(t, a.Results[0].Error != "")
	c.Take(batch(3))
	assert.Equal(t, c.Fetch("s").Results[0].Error, "")
	started, _, _ := m.counts()
	assert.Equal(t, started, 2)
}

// Clocks that run at different rates do not make all calls late.
func TestClocksMayDrift(t *testing.T) {
	var o offset
	now, sent := time.Unix(1000, 0), time.Unix(1000, 0)
	for range 1000 {
		now, sent = now.Add(102*time.Millisecond), sent.Add(100*time.Millisecond)
		assert.Assert(t, o.delay(now, sent.UnixNano()) < tooLate)
	}
}

// An owner that was frozen or cut off must not have its calls made for long.
func TestSessionOfASilentOwnerEnds(t *testing.T) {
	m := &fakeMinions{hang: time.Hour}
	k := &clock{now: time.Unix(1000, 0)}
	c := NewCarrier(m, "life", k.time)
	c.Take(Batch{Session: "s", Calls: []Call{{N: 1, Kind: renew, Limit: time.Hour}}})
	c.mu.Lock()
	s := c.sessions["s"]
	c.mu.Unlock()
	k.pass(2 * leftAfter)
	c.Fetch("another")
	select {
	case <-s.ctx.Done():
	case <-time.After(time.Second):
		t.Fatal("the session goes on")
	}
}

// Ends are forgotten only if they were listed here, just now, by the same life.
func TestAcknowledgementsAreOfTheLastReport(t *testing.T) {
	k := &clock{now: time.Unix(1000, 0)}
	m := &fakeMinions{report: work.Report{Ended: []work.End{{N: 4}, {N: 5}}}}
	h := &Hands{Minions: m, Now: k.time}
	ask := func(to *work.Minion, durable int64) {
		_, _, err := h.Renew(context.Background(), to, 1, 1, durable, 0)
		assert.NilError(t, err)
	}
	next := &work.Minion{Incarnation: work.Incarnation{ID: "m", Born: 8}}
	ask(minion, 5) // nothing was listed yet
	ask(minion, 4) // not all of it is durable
	ask(next, 5)   // of another life
	ask(minion, 9)
	k.pass(2 * freshReport)
	ask(minion, 9) // too old
	assert.DeepEqual(t, m.seen, []int64{0, 4, 0, 5, 0})
}

// A call that comes just as its way ends is made by the owner, or lost at once; it
// does not wait for its time to be over.
func TestCallsOnAWayThatEndsDoNotWait(t *testing.T) {
	s := newSite(t, "a")
	w := s.pool.way(context.Background(), minion)
	w.end()
	began := time.Now()
	_, _, err := s.pool.Renew(within(t, 2*time.Second), minion, 1, 2, 0, 0)
	assert.NilError(t, err)
	_, err = s.pool.Start(within(t, 2*time.Second), minion, work.Start{})
	assert.Assert(t, errors.Is(err, ErrLost), "%v", err)
	assert.Assert(t, time.Since(began) < time.Second)
}

func TestClosedPoolOpensNoWays(t *testing.T) {
	s := newSite(t, "a")
	s.pool.Close()
	assert.Assert(t, s.pool.way(context.Background(), minion) == nil)
}
