package carry

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// fakeMinions counts the calls made to it and answers with preset results.
type fakeMinions struct {
	mu         sync.Mutex
	started    []work.TaskID
	stopped    int
	renewed    int
	acks       []int64
	speeds     []int
	report     work.Report
	err        error
	renewDelay time.Duration
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

func (f *fakeMinions) Throttle(_ context.Context, _ *work.Minion, _ work.TaskID, _, percent int, _ int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.speeds = append(f.speeds, percent)
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

// fakeTransport connects to carriers by address. Calls to an address that is
// down block until their context ends.
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

// testSetup is an owner with carriers that reach the same minions.
type testSetup struct {
	dispatcher         *Dispatcher
	transport          *fakeTransport
	direct, viaCarrier *fakeMinions // called by the owner, and by carriers
	lost               chan string
}

func newTestSetup(t *testing.T, carriers ...string) *testSetup {
	s := &testSetup{transport: &fakeTransport{carriers: map[string]*Carrier{}, down: map[string]bool{}}, direct: &fakeMinions{}, viaCarrier: &fakeMinions{}, lost: make(chan string, 9)}
	for _, a := range carriers {
		s.transport.carriers[a] = NewCarrier(s.viaCarrier, "instance "+a, time.Now)
	}
	s.dispatcher = &Dispatcher{
		Direct: &DirectCaller{MinionClient: s.direct, Now: time.Now}, Transport: s.transport, SessionPrefix: "o", Now: time.Now,
		Carriers:      func(string) []string { return carriers },
		OnCarrierLost: func(addr, _ string) { s.lost <- addr },
	}
	t.Cleanup(s.dispatcher.Close)
	return s
}

var testMinion = &work.Minion{Incarnation: work.Incarnation{ID: "m", Born: 7}, Address: "x"}

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
	assert.Equal(t, why, work.NoCapacity)
	assert.NilError(t, s.dispatcher.Stop(contextWithTimeout(t, time.Second), testMinion, work.TaskID{}, 1, 2))
	assert.NilError(t, s.dispatcher.Throttle(contextWithTimeout(t, time.Second), testMinion, work.TaskID{}, 1, 20, 2))
	assert.DeepEqual(t, s.viaCarrier.speeds, []int{20})
	rep, _, err := s.dispatcher.Renew(contextWithTimeout(t, time.Second), testMinion, 1, 2, 0, 0)
	assert.NilError(t, err)
	assert.DeepEqual(t, rep, s.viaCarrier.report)
	started, stopped, renewed := s.direct.counts()
	assert.Equal(t, started+stopped+renewed, 0, "calls made directly by the owner")
}

func TestErrorsOfMinionsPassThroughACarrier(t *testing.T) {
	s := newTestSetup(t, "a")
	s.viaCarrier.err = errors.Mark(errors.New("421"), work.ErrWrongMinion)
	_, _, err := s.dispatcher.Renew(contextWithTimeout(t, time.Second), testMinion, 1, 2, 0, 0)
	assert.Assert(t, errors.Is(err, work.ErrWrongMinion), "%v", err)
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
	assert.Assert(t, s.transport.batches < n/10, "%d batches sent", s.transport.batches)
}

// With a carrier or two in each zone, each of them got a batch of its own for nearly every
// call.
func TestBatchesGrowWithTheNumberOfCarriers(t *testing.T) {
	const carriers, calls = 10, 400
	var addrs []string
	for i := range carriers {
		addrs = append(addrs, fmt.Sprint("c", i))
	}
	s := newTestSetup(t, addrs...)
	s.dispatcher.Carriers = func(zone string) []string { return []string{zone} }
	began := time.Now()
	var wg sync.WaitGroup
	for i := range calls {
		m := &work.Minion{Incarnation: work.Incarnation{ID: "m", Born: 7}, Address: "x", Zone: addrs[i%carriers]}
		wg.Go(func() {
			_, err := s.dispatcher.Start(contextWithTimeout(t, 2*time.Second), m, work.Start{Task: work.TaskID{Job: fmt.Sprint(i)}})
			assert.Check(t, err)
		})
		time.Sleep(time.Millisecond)
	}
	wg.Wait()
	most := int(time.Since(began)/batchInterval) + carriers
	s.transport.mu.Lock()
	defer s.transport.mu.Unlock()
	assert.Check(t, s.transport.batches <= most, "%d batches of %d calls, at most %d are due", s.transport.batches, calls, most)
}

// A renewal must succeed without its carrier, so that the minion is not
// considered silent while the carrier does not respond.
func TestRenewalsGoOnWithoutTheCarrier(t *testing.T) {
	s := newTestSetup(t, "a")
	_, _, err := s.dispatcher.Renew(contextWithTimeout(t, time.Second), testMinion, 1, 2, 0, 0)
	assert.NilError(t, err)
	s.transport.setDown("a", true)
	startTime := time.Now()
	_, _, err = s.dispatcher.Renew(contextWithTimeout(t, 1500*time.Millisecond), testMinion, 1, 2, 0, time.Second)
	assert.NilError(t, err)
	assert.Assert(t, time.Since(startTime) < time.Second, "%v", time.Since(startTime))
	_, _, renewed := s.direct.counts()
	assert.Equal(t, renewed, 1)
	assert.Equal(t, <-s.lost, "a")
}

// Whether a start sent through a lost carrier was made is unknown, so it must
// not be repeated.
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

// While the first carrier of a zone was cut off, its calls went back to it every
// avoidDuration, and were lost each time.
func TestCallsReturnToACarrierThatIsStillLost(t *testing.T) {
	s := newTestSetup(t, "a", "b")
	var later atomic.Int64
	s.dispatcher.Now = func() time.Time { return time.Now().Add(time.Duration(later.Load())) }
	start := func() error {
		_, err := s.dispatcher.Start(contextWithTimeout(t, time.Second), testMinion, work.Start{})
		return err
	}
	s.transport.setDown("a", true)
	assert.Assert(t, errors.Is(start(), ErrCarrierLost))
	assert.NilError(t, start())
	later.Store(int64(2 * avoidDuration))
	assert.NilError(t, start(), "the other carrier works")
}

// While calls of a lost carrier had failed and the carrier was not avoided yet,
// the next call was routed through its closed link: a renewal was made directly
// beside a working carrier, and a start failed without having been sent.
func TestNoCallIsRoutedToACarrierWhoseCallsFailed(t *testing.T) {
	s := newTestSetup(t, "a", "b")
	lost := s.dispatcher.linkTo(context.Background(), testMinion)
	s.transport.setDown(lost.addr, true)
	failed := make(chan error, 1)
	go func() {
		_, err := lost.call(contextWithTimeout(t, 2*time.Second), Call{Kind: startCall})
		failed <- err
	}()
	time.Sleep(rpcTimeout / 2)
	s.dispatcher.mu.Lock() // nobody can be told to avoid the carrier now
	var err error
	select {
	case err = <-failed:
		s.dispatcher.mu.Unlock()
		t.Fatalf("a call failed (%v) before its carrier was avoided", err)
	case <-time.After(2 * rpcTimeout):
		s.dispatcher.mu.Unlock()
	}
	assert.Assert(t, errors.Is(<-failed, ErrCarrierLost))
	next := s.dispatcher.linkTo(context.Background(), testMinion)
	assert.Assert(t, next != nil && next.addr != lost.addr)
	why, err := s.dispatcher.Start(contextWithTimeout(t, time.Second), testMinion, work.Start{})
	assert.NilError(t, err)
	assert.Equal(t, why, work.NoCapacity)
}

// A carrier that was killed and restarted has lost the calls in progress, so it
// must be abandoned.
func TestCarrierThatStartsAnewIsLeft(t *testing.T) {
	s := newTestSetup(t, "a")
	assert.NilError(t, s.dispatcher.Stop(contextWithTimeout(t, time.Second), testMinion, work.TaskID{}, 1, 2))
	s.viaCarrier.renewDelay = time.Hour
	s.transport.mu.Lock()
	s.transport.carriers["a"] = NewCarrier(s.viaCarrier, "another instance", time.Now)
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
	assert.Equal(t, stopped, 1, "the next call must be made directly")
	assert.NilError(t, <-got)
	_, _, renewed := s.direct.counts()
	assert.Equal(t, renewed, 0)
	assert.Equal(t, len(s.lost), 0)
}

// fakeClock is a clock set by the test.
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

// A batch delayed by the network or a frozen carrier must not be executed: its
// owner has given up on the calls in the meantime.
func TestHeldUpCallsAreNotMade(t *testing.T) {
	m := &fakeMinions{}
	k := &fakeClock{now: time.Unix(1000, 0)}
	c := NewCarrier(m, "life", k.Now)
	owner := time.Unix(5_000_000, 0) // the clocks are not synchronized
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
	assert.Assert(t, errors.Is(a.Results[0].err(), ErrNotMade))
	c.RunBatch(batch(3))
	assert.Equal(t, c.FetchResults("s").Results[0].Error, "")
	started, _, _ := m.counts()
	assert.Equal(t, started, 2)
}

// Clocks running at different rates must not make every call count as delayed.
func TestClocksMayDrift(t *testing.T) {
	var o delayEstimator
	now, sent := time.Unix(1000, 0), time.Unix(1000, 0)
	for range 1000 {
		now, sent = now.Add(102*time.Millisecond), sent.Add(100*time.Millisecond)
		assert.Assert(t, o.excessDelay(now, sent.UnixNano()) < maxCallDelay)
	}
}

// The calls of an owner that was frozen or disconnected must be cancelled once
// its session times out.
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
		t.Fatal("the session was not closed")
	}
}

// Ends are acknowledged only if the same incarnation of the minion listed them
// in a recent report received here.
func TestAcknowledgementsAreOfTheLastReport(t *testing.T) {
	k := &fakeClock{now: time.Unix(1000, 0)}
	m := &fakeMinions{report: work.Report{Ended: []work.End{{N: 4}, {N: 5}}}}
	h := &DirectCaller{MinionClient: m, Now: k.Now}
	ask := func(to *work.Minion, durable int64) {
		_, _, err := h.Renew(context.Background(), to, 1, 1, durable, 0)
		assert.NilError(t, err)
	}
	next := &work.Minion{Incarnation: work.Incarnation{ID: "m", Born: 8}}
	ask(testMinion, 5) // no report yet
	ask(testMinion, 4) // only ends up to 4 are durable
	ask(next, 5)       // another incarnation has listed nothing
	ask(testMinion, 9)
	k.advance(2 * maxReportAge)
	ask(testMinion, 9) // the report is too old
	assert.DeepEqual(t, m.acks, []int64{0, 4, 0, 5, 0})
}

// A call made while its link closes is made directly or fails at once instead
// of waiting for its deadline.
func TestCallsOnAClosedLinkDoNotWait(t *testing.T) {
	s := newTestSetup(t, "a")
	w := s.dispatcher.linkTo(context.Background(), testMinion)
	w.close()
	startTime := time.Now()
	_, _, err := s.dispatcher.Renew(contextWithTimeout(t, 2*time.Second), testMinion, 1, 2, 0, 0)
	assert.NilError(t, err)
	_, err = s.dispatcher.Start(contextWithTimeout(t, 2*time.Second), testMinion, work.Start{})
	assert.Assert(t, errors.Is(err, ErrCarrierLost), "%v", err)
	assert.Assert(t, time.Since(startTime) < time.Second)
}

func TestClosedDispatcherOpensNoLinks(t *testing.T) {
	s := newTestSetup(t, "a")
	s.dispatcher.Close()
	assert.Assert(t, s.dispatcher.linkTo(context.Background(), testMinion) == nil)
}

// A renewal that the next incarnation carries out late must not make it forget its
// ends, so a number is sent once for each list of ends, answered or not.
func TestAcknowledgementsAreNotRepeated(t *testing.T) {
	k := &fakeClock{now: time.Unix(1000, 0)}
	m := &fakeMinions{}
	h := &DirectCaller{MinionClient: m, Now: k.Now}
	ask := func(listed []work.End, err error) int64 {
		m.report, m.err = work.Report{Ended: listed}, err
		_, _, got := h.Renew(context.Background(), testMinion, 1, 1, 5, 0)
		assert.Assert(t, errors.Is(got, err))
		return m.acks[len(m.acks)-1]
	}
	ends, lost := []work.End{{N: 4}, {N: 5}}, errors.New("no reply")
	assert.Equal(t, ask(ends, nil), int64(0))
	assert.Equal(t, ask(nil, nil), int64(5))
	assert.Equal(t, ask(nil, nil), int64(0), "answered")
	assert.Equal(t, ask(ends, nil), int64(0))
	assert.Equal(t, ask(nil, lost), int64(5))
	assert.Equal(t, ask(ends, nil), int64(0), "without an answer it is sent only once they are listed again")
	assert.Equal(t, ask(nil, nil), int64(5))
}

// A process that was frozen made calls long after they had been decided.
func TestDirectCallsAreNotMadeLate(t *testing.T) {
	k := &fakeClock{now: time.Unix(1000, 0)}
	m := &fakeMinions{}
	h := &DirectCaller{MinionClient: m, Now: k.Now}
	ctx := MakeBy(context.Background(), k.Now().Add(time.Second))
	calls := map[string]func() error{
		"start":    func() error { _, err := h.Start(ctx, testMinion, work.Start{}); return err },
		"stop":     func() error { return h.Stop(ctx, testMinion, work.TaskID{}, 1, 1) },
		"throttle": func() error { return h.Throttle(ctx, testMinion, work.TaskID{}, 1, 50, 1) },
		"renew":    func() error { _, _, err := h.Renew(ctx, testMinion, 1, 2, 0, 0); return err },
	}
	k.advance(time.Second)
	for name, call := range calls {
		assert.NilError(t, call(), name)
	}
	k.advance(1)
	for name, call := range calls {
		assert.Assert(t, errors.Is(call(), ErrNotMade), name)
	}
	started, stopped, renewed := m.counts()
	assert.DeepEqual(t, []int{started, stopped, renewed, len(m.speeds)}, []int{1, 1, 1, 1})
}

// An owner that was frozen sent calls to its carriers as if they were new.
func TestQueuedCallsAreNotSentLate(t *testing.T) {
	s := newTestSetup(t, "a")
	k := &fakeClock{now: time.Unix(1000, 0)}
	s.dispatcher.Now = k.Now
	ctx := contextWithTimeout(t, 2*time.Second)
	_, err := s.dispatcher.Start(MakeBy(ctx, k.Now()), testMinion, work.Start{})
	assert.NilError(t, err)
	_, err = s.dispatcher.Start(MakeBy(ctx, k.Now().Add(-1)), testMinion, work.Start{})
	assert.Assert(t, errors.Is(err, ErrNotMade), "%v", err)
	started, _, _ := s.viaCarrier.counts()
	assert.Equal(t, started, 1)
}

// A start that was not made counted as one that may have begun, and its task was
// suspected when the minion crashed.
func TestCallsThatWereNotMadeHaveNoEffect(t *testing.T) {
	s := newTestSetup(t, "a")
	k := &fakeClock{now: time.Unix(1000, 0)}
	s.dispatcher.Now, s.dispatcher.Direct.Now = k.Now, k.Now
	late := MakeBy(contextWithTimeout(t, 2*time.Second), k.Now().Add(-1))
	_, err := s.dispatcher.Start(late, testMinion, work.Start{})
	assert.Assert(t, errors.Is(err, table.ErrNotApplied), "%v", err)
	_, err = s.dispatcher.Direct.Start(late, testMinion, work.Start{})
	assert.Assert(t, errors.Is(err, table.ErrNotApplied) && errors.Is(err, ErrNotMade), "%v", err)
}
