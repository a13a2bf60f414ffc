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
	mu         sync.Mutex
	started    []work.TaskID
	stopped    int
	renewed    int
	acks       []int64
	report     work.Report
	err        error
	renewDelay time.Duration
}

func (f *fakeMinions) Start(_ context.Context, _ *work.Minion, s work.Start) (work.Refusal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = append(f.started, s.Task)
	return work.Full, f.err
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
	f.acks = append(f.acks, seen)
	rep, err, hang := f.report, f.err, f.renewDelay
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
type fakeTransport struct {
	mu       sync.Mutex
	carriers map[string]*Carrier
	down     map[string]bool
	batches  int
}

func (l *fakeTransport) reach(ctx context.Context, addr string) (*Carrier, error) {
	l.mu.Lock()
	c, down := l.carriers[addr], l.down[addr]
	l.mu.Unlock()
	if down {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return c, nil
}

func (l *fakeTransport) SendBatch(ctx context.Context, addr string, b Batch) error {
	c, err := l.reach(ctx, addr)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.batches++
	l.mu.Unlock()
	c.RunBatch(b)
	return nil
}

func (l *fakeTransport) FetchResults(ctx context.Context, addr, session string) (FetchReply, error) {
	c, err := l.reach(ctx, addr)
	if err != nil {
		return FetchReply{}, err
	}
	return c.FetchResults(session), nil
}

func (l *fakeTransport) setDown(addr string, down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down[addr] = down
}

// site is an owner with carriers, which reach the same minions.
type testSetup struct {
	dispatcher         *Dispatcher
	transport          *fakeTransport
	direct, viaCarrier *fakeMinions // called by the owner, and by carriers
	lost               chan string
}

func newTestSetup(t *testing.T, carriers ...string) *testSetup {
	s := &testSetup{transport: &fakeTransport{carriers: map[string]*Carrier{}, down: map[string]bool{}}, direct: &fakeMinions{}, viaCarrier: &fakeMinions{}, lost: make(chan string, 9)}
	for _, a := range carriers {
		s.transport.carriers[a] = NewCarrier(s.viaCarrier, "life of "+a, time.Now)
	}
	s.dispatcher = &Dispatcher{
		Direct: &DirectCaller{MinionClient: s.direct, Now: time.Now}, Transport: s.transport, SessionPrefix: "o", Now: time.Now,
		Carriers:      func(string) []string { return carriers },
		OnCarrierLost: func(addr, _ string) { s.lost <- addr },
	}
	t.Cleanup(s.dispatcher.Close)
	return s
}

var testMinion = &work.Minion{Life: work.Life{ID: "m", Born: 7}, Address: "x"}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestCallsPassThroughACarrier(t *testing.T) {
	s := newTestSetup(t, "a")
	s.viaCarrier.report = work.Report{Born: 7, Ended: []work.End{{N: 3, How: work.Done}}}
	why, err := s.dispatcher.Start(contextWithTimeout(t, time.Second), testMinion, work.Start{Task: work.TaskID{Job: "j"}})
	assert.NilError(t, err)
	assert.Equal(t, why, work.Full)
	assert.NilError(t, s.dispatcher.Stop(contextWithTimeout(t, time.Second), testMinion, work.TaskID{}, 1, 2))
	rep, _, err := s.dispatcher.Renew(contextWithTimeout(t, time.Second), testMinion, 1, 2, 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, rep, s.viaCarrier.report)
	started, stopped, renewed := s.direct.counts()
	assert.Equal(t, started+stopped+renewed, 0, "the owner calls no minion")
}

func TestErrorsOfMinionsPassThroughACarrier(t *testing.T) {
	s := newTestSetup(t, "a")
	s.viaCarrier.err = errors.Mark(errors.New("421"), work.ErrElsewhere)
	_, _, err := s.dispatcher.Renew(contextWithTimeout(t, time.Second), testMinion, 1, 2, 0, 0)
	assert.Assert(t, errors.Is(err, work.ErrElsewhere), "%v", err)
}

func TestCallsTravelInBatches(t *testing.T) {
	s := newTestSetup(t, "a")
	var wg sync.WaitGroup
	const n = 300
	for i := range n {
		wg.Go(func() {
			_, err := s.dispatcher.Start(contextWithTimeout(t, 2*time.Second), testMinion, work.Start{Task: work.TaskID{Job: fmt.Sprint(i)}})
			assert.Check(t, err)
		})
	}
	wg.Wait()
	started, _, _ := s.viaCarrier.counts()
	assert.Equal(t, started, n)
	s.transport.mu.Lock()
	defer s.transport.mu.Unlock()
	assert.Assert(t, s.transport.batches < n/10, "%d batches", s.transport.batches)
}

// While its carrier is silent a minion must not count as silent.
func TestRenewalsGoOnWithoutTheCarrier(t *testing.T) {
	s := newTestSetup(t, "a")
	_, _, err := s.dispatcher.Renew(contextWithTimeout(t, time.Second), testMinion, 1, 2, 0, 0)
	assert.NilError(t, err)
	s.transport.setDown("a", true)
	began := time.Now()
	_, _, err = s.dispatcher.Renew(contextWithTimeout(t, 1500*time.Millisecond), testMinion, 1, 2, 0, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(began) < time.Second, "%v", time.Since(began))
	_, _, renewed := s.direct.counts()
	assert.Equal(t, renewed, 1)
	assert.Equal(t, <-s.lost, "a")
}

// Whether a start was made that was with a lost carrier is not known, and it must
// not be made again.
func TestStartWithALostCarrierHasNoAnswer(t *testing.T) {
	s := newTestSetup(t, "a")
	assert.NilError(t, s.dispatcher.Stop(contextWithTimeout(t, time.Second), testMinion, work.TaskID{}, 1, 2))
	s.transport.setDown("a", true)
	_, err := s.dispatcher.Start(contextWithTimeout(t, time.Second), testMinion, work.Start{})
	assert.Assert(t, errors.Is(err, ErrCarrierLost), "%v", err)
	started, _, _ := s.direct.counts()
	assert.Equal(t, started, 0)
}

func TestAnotherCarrierIsUsedForOneThatIsLost(t *testing.T) {
	s := newTestSetup(t, "a", "b")
	for _, a := range []string{"a", "b"} {
		s.transport.setDown(a, true)
		_, _, err := s.dispatcher.Renew(contextWithTimeout(t, 1500*time.Millisecond), testMinion, 1, 2, 0, 0)
		assert.NilError(t, err)
		s.transport.setDown(a, false)
	}
	_, _, before := s.direct.counts()
	s.dispatcher.mu.Lock()
	clear(s.dispatcher.avoidUntil)
	s.dispatcher.mu.Unlock()
	_, _, err := s.dispatcher.Renew(contextWithTimeout(t, time.Second), testMinion, 1, 2, 0, 0)
	assert.NilError(t, err)
	_, _, after := s.direct.counts()
	assert.Equal(t, before, after)
}

// A carrier that was killed and is back has nothing of what it was asked.
func TestCarrierThatStartsAnewIsLeft(t *testing.T) {
	s := newTestSetup(t, "a")
	assert.NilError(t, s.dispatcher.Stop(contextWithTimeout(t, time.Second), testMinion, work.TaskID{}, 1, 2))
	s.viaCarrier.renewDelay = time.Hour
	s.transport.mu.Lock()
	s.transport.carriers["a"] = NewCarrier(s.viaCarrier, "another life", time.Now)
	s.transport.mu.Unlock()
	_, _, err := s.dispatcher.Renew(contextWithTimeout(t, time.Second), testMinion, 1, 2, 0, 0)
	assert.NilError(t, err)
	_, _, renewed := s.direct.counts()
	assert.Equal(t, renewed, 1)
}

func TestLeavingCarrierFinishesItsCalls(t *testing.T) {
	s := newTestSetup(t, "a")
	s.viaCarrier.renewDelay = 300 * time.Millisecond
	got := make(chan error, 1)
	go func() {
		_, _, err := s.dispatcher.Renew(contextWithTimeout(t, time.Second), testMinion, 1, 2, 0, 0)
		got <- err
	}()
	time.Sleep(50 * time.Millisecond)
	s.transport.carriers["a"].StartDraining()
	time.Sleep(150 * time.Millisecond)
	assert.NilError(t, s.dispatcher.Stop(contextWithTimeout(t, time.Second), testMinion, work.TaskID{}, 1, 2))
	_, stopped, _ := s.direct.counts()
	assert.Equal(t, stopped, 1, "the next call is made by the owner")
	assert.NilError(t, <-got)
	_, _, renewed := s.direct.counts()
	assert.Equal(t, renewed, 0)
	assert.Equal(t, len(s.lost), 0)
}

// clock is a time that a test moves.
type fakeClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *fakeClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// A batch that was held up, by the network or since the carrier was frozen, is
// not carried out: its owner has given the calls up meanwhile.
func TestHeldUpCallsAreNotMade(t *testing.T) {
	m := &fakeMinions{}
	k := &fakeClock{now: time.Unix(1000, 0)}
	c := NewCarrier(m, "life", k.Now)
	owner := time.Unix(5_000_000, 0) // clocks differ
	batch := func(n int64) Batch {
		return Batch{Session: "s", Sent: owner.UnixNano(), Calls: []Call{{N: n, Kind: startCall, Limit: time.Second}}}
	}
	c.RunBatch(batch(1))
	assert.Equal(t, len(c.FetchResults("s").Results), 1)
	late := batch(2)
	k.advance(2 * time.Second)
	owner = owner.Add(2 * time.Second)
	c.RunBatch(late)
	a := c.FetchResults("s")
	assert.Equal(t, len(a.Results), 1)
	assert.Assert(t, a.Results[0].Error != "")
	c.RunBatch(batch(3))
	assert.Equal(t, c.FetchResults("s").Results[0].Error, "")
	started, _, _ := m.counts()
	assert.Equal(t, started, 2)
}

// Clocks that run at different rates do not make all calls late.
func TestClocksMayDrift(t *testing.T) {
	var o delayEstimator
	now, sent := time.Unix(1000, 0), time.Unix(1000, 0)
	for range 1000 {
		now, sent = now.Add(102*time.Millisecond), sent.Add(100*time.Millisecond)
		assert.Assert(t, o.excessDelay(now, sent.UnixNano()) < maxCallDelay)
	}
}

// An owner that was frozen or cut off must not have its calls made for long.
func TestSessionOfASilentOwnerEnds(t *testing.T) {
	m := &fakeMinions{renewDelay: time.Hour}
	k := &fakeClock{now: time.Unix(1000, 0)}
	c := NewCarrier(m, "life", k.Now)
	c.RunBatch(Batch{Session: "s", Calls: []Call{{N: 1, Kind: renewCall, Limit: time.Hour}}})
	c.mu.Lock()
	s := c.sessions["s"]
	c.mu.Unlock()
	k.advance(2 * sessionTimeout)
	c.FetchResults("another")
	select {
	case <-s.ctx.Done():
	case <-time.After(time.Second):
		t.Fatal("the session goes on")
	}
}

// Ends are forgotten only if they were listed here, just now, by the same life.
func TestAcknowledgementsAreOfTheLastReport(t *testing.T) {
	k := &fakeClock{now: time.Unix(1000, 0)}
	m := &fakeMinions{report: work.Report{Ended: []work.End{{N: 4}, {N: 5}}}}
	h := &DirectCaller{MinionClient: m, Now: k.Now}
	ask := func(to *work.Minion, durable int64) {
		_, _, err := h.Renew(context.Background(), to, 1, 1, durable, 0)
		assert.NilError(t, err)
	}
	next := &work.Minion{Life: work.Life{ID: "m", Born: 8}}
	ask(testMinion, 5) // nothing was listed yet
	ask(testMinion, 4) // not all of it is durable
	ask(next, 5)       // of another life
	ask(testMinion, 9)
	k.advance(2 * maxReportAge)
	ask(testMinion, 9) // too old
	assert.DeepEqual(t, m.acks, []int64{0, 4, 0, 5, 0})
}

// A call that comes just as its way ends is made by the owner, or lost at once; it
// does not wait for its time to be over.
func TestCallsOnAClosedLinkDoNotWait(t *testing.T) {
	s := newTestSetup(t, "a")
	w := s.dispatcher.linkTo(context.Background(), testMinion)
	w.close()
	began := time.Now()
	_, _, err := s.dispatcher.Renew(contextWithTimeout(t, 2*time.Second), testMinion, 1, 2, 0, 0)
	assert.NilError(t, err)
	_, err = s.dispatcher.Start(contextWithTimeout(t, 2*time.Second), testMinion, work.Start{})
	assert.Assert(t, errors.Is(err, ErrCarrierLost), "%v", err)
	assert.Assert(t, time.Since(began) < time.Second)
}

func TestClosedDispatcherOpensNoLinks(t *testing.T) {
	s := newTestSetup(t, "a")
	s.dispatcher.Close()
	assert.Assert(t, s.dispatcher.linkTo(context.Background(), testMinion) == nil)
}
