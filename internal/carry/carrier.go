package carry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/work"
)

// Timing of a carrier.
const (
	minResultDelay = 4 * time.Millisecond   // time to collect further results for the same reply
	maxFetchWait   = 100 * time.Millisecond // how long a fetch waits for the first result
	sessionTimeout = time.Second            // a session is closed when its owner has not fetched results for this long
	maxCallDelay   = 300 * time.Millisecond // calls delayed for longer in transit or in this process are not made
	offsetWindow   = 5 * time.Second        // the clock offset is estimated over two such windows
	wakeTime       = time.Second            // from the end of a standstill, within which what has waited for it arrives
)

// BeatInterval is how often a carrier's process calls Beat.
const BeatInterval = maxCallDelay / 3

// Carrier makes calls to minions on behalf of owners. Use NewCarrier.
type Carrier struct {
	client     MinionClient
	instanceID string
	now        func() time.Time

	mu       sync.Mutex
	draining bool
	sessions map[string]*session
	awakeAt  time.Time // when this process last did anything
	wokeAt   time.Time // end of its last standstill; zero if it had none
}

// NewCarrier returns a carrier for the process instance instanceID.
func NewCarrier(m MinionClient, instanceID string, now func() time.Time) *Carrier {
	return &Carrier{client: m, instanceID: instanceID, now: now, sessions: map[string]*session{}}
}

// Beat shows that this process does not stand still.
func (c *Carrier) Beat() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.observe(c.now())
}

// observe finds out whether this process has stood still.
func (c *Carrier) observe(now time.Time) {
	if !c.awakeAt.IsZero() && now.Sub(c.awakeAt) > maxCallDelay {
		c.wokeAt = now
	}
	c.awakeAt = now
}

// mayHaveWaited reports whether a batch may have waited for the end of a standstill, and
// its session has had no other one to compare it with.
func (c *Carrier) mayHaveWaited(now time.Time, s *session) bool {
	return s.delays.windowStart.IsZero() && !c.wokeAt.IsZero() && now.Sub(c.wokeAt) < wakeTime
}

// StartDraining tells owners, in the next replies, to route further calls
// elsewhere. Calls in progress are completed.
func (c *Carrier) StartDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// session is the state kept for one owner.
type session struct {
	caller    *DirectCaller
	ctx       context.Context
	cancel    context.CancelFunc
	lastFetch time.Time // when the owner last fetched results
	delays    delayEstimator
	delay     time.Duration // time to collect results for the same reply
	results   []Result
	ready     chan struct{} // holds a value whenever results may be non-empty
}

// delayEstimator estimates how long batches were delayed in transit. As the
// clocks of sender and receiver are not synchronized, it compares each batch
// with the smallest clock difference in the current and previous windows.
type delayEstimator struct {
	minDiff, prevMinDiff time.Duration
	windowStart          time.Time
}

// excessDelay returns how much longer a batch took than the fastest recent one.
// sent is on the sender's clock, in nanoseconds; now is on the receiver's.
func (o *delayEstimator) excessDelay(now time.Time, sent int64) time.Duration {
	d := time.Duration(now.UnixNano() - sent)
	switch {
	case o.windowStart.IsZero():
		o.minDiff, o.prevMinDiff, o.windowStart = d, d, now
	case now.Sub(o.windowStart) > offsetWindow:
		o.minDiff, o.prevMinDiff, o.windowStart = d, o.minDiff, now
	}
	o.minDiff = min(o.minDiff, d)
	return d - min(o.minDiff, o.prevMinDiff)
}

// lookupSession returns the named session, creating it if needed, and closes
// sessions that have timed out.
func (c *Carrier) lookupSession(name string, now time.Time) *session {
	for n, s := range c.sessions {
		if n != name && now.Sub(s.lastFetch) > sessionTimeout {
			s.cancel()
			delete(c.sessions, n)
		}
	}
	s := c.sessions[name]
	if s == nil {
		s = &session{caller: &DirectCaller{MinionClient: c.client, Now: c.now}, lastFetch: now, ready: make(chan struct{}, 1)}
		s.ctx, s.cancel = context.WithCancel(context.Background())
		c.sessions[name] = s
	}
	return s
}

// RunBatch starts the calls of a batch.
func (c *Carrier) RunBatch(b Batch) {
	now := c.now()
	c.mu.Lock()
	c.observe(now)
	s := c.lookupSession(b.Session, now)
	s.delay = min(max(b.Delay, minResultDelay), maxBatchDelay)
	delay := 2 * maxCallDelay // if it is not known
	if !c.mayHaveWaited(now, s) {
		delay = s.delays.excessDelay(now, b.Sent)
	}
	c.mu.Unlock()
	for i := range b.Calls {
		go c.runCall(s, &b.Calls[i], now.Add(maxCallDelay-delay))
	}
}

// runCall makes one call, not later than at by, and queues its result. by is on
// this process's clock.
func (c *Carrier) runCall(s *session, x *Call, by time.Time) {
	r := Result{N: x.N}
	if err := s.call(x, &r, by); err != nil {
		r.Error, r.Gone, r.NotMade = err.Error(), errors.Is(err, work.ErrWrongMinion), errors.Is(err, ErrNotMade)
	}
	c.mu.Lock()
	s.results = append(s.results, r)
	c.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *session) call(x *Call, r *Result, by time.Time) (err error) {
	ctx, cancel := context.WithTimeout(MakeBy(s.ctx, by), x.Limit)
	defer cancel()
	to := &work.Minion{Incarnation: x.To, Address: x.Address}
	switch x.Kind {
	case startCall:
		r.Refusal, err = s.caller.Start(ctx, to, x.Start)
	case stopCall:
		err = s.caller.Stop(ctx, to, x.Task, x.Attempt, x.Token)
	case renewCall:
		r.Report, r.Fenced, err = s.caller.Renew(ctx, to, x.Token, x.Until, x.Durable, x.Wait)
	case throttleCall:
		err = s.caller.Throttle(ctx, to, x.Task, x.Attempt, x.Percent, x.Token)
	default:
		err = fmt.Errorf("unknown call %d", x.Kind)
	}
	return err
}

// FetchResults returns the results queued for a session. It waits for the first
// result, and returns none if there is none in time.
func (c *Carrier) FetchResults(name string) FetchReply {
	now := c.now()
	c.mu.Lock()
	s := c.lookupSession(name, now)
	s.lastFetch = now
	delay := s.delay
	c.mu.Unlock()
	t := time.NewTimer(maxFetchWait)
	defer t.Stop()
	select {
	case <-s.ready:
		time.Sleep(delay)
	case <-t.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := FetchReply{Life: c.instanceID, Leaving: c.draining, Results: s.results}
	s.results = nil
	return out
}
