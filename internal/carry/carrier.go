package carry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/work"
)

// Timing of a carrier.
const (
	resultBatchDelay = 4 * time.Millisecond   // answers wait this long for others to travel with
	maxFetchWait     = 100 * time.Millisecond // longest wait for the first
	sessionTimeout   = time.Second            // a session whose owner asks for no answers is over
	maxCallDelay     = 300 * time.Millisecond // a call that was held up for longer is not made
	offsetWindow     = 5 * time.Second        // clocks of owner and carrier are compared over two such spans
)

// Carrier makes calls for owners. Use NewCarrier.
type Carrier struct {
	client     MinionClient
	instanceID string
	now        func() time.Time

	mu       sync.Mutex
	draining bool
	sessions map[string]*session
}

// NewCarrier returns a carrier in the process instanceID.
func NewCarrier(m MinionClient, instanceID string, now func() time.Time) *Carrier {
	return &Carrier{client: m, instanceID: instanceID, now: now, sessions: map[string]*session{}}
}

// StartDraining has owners told to make further calls without this carrier.
func (c *Carrier) StartDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// session is the work for one owner.
type session struct {
	caller    *DirectCaller
	ctx       context.Context
	cancel    context.CancelFunc
	lastFetch time.Time // when its owner last asked for answers
	delays    delayEstimator
	results   []Result
	ready     chan struct{} // has a value while done may not be empty
}

// offset tells how long batches are on their way, by the smallest difference
// that there was lately between the clocks of sender and receiver.
type delayEstimator struct {
	minDiff, prevMinDiff time.Duration
	windowStart          time.Time
}

// delay is how much longer than the fastest a batch took that was sent at sent,
// on the sender's clock, and is here now.
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

// session returns a session, a new one if need be, and ends those that were left.
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

// RunBatch makes the calls of a batch.
func (c *Carrier) RunBatch(b Batch) {
	now := c.now()
	c.mu.Lock()
	s := c.lookupSession(b.Session, now)
	held := s.delays.excessDelay(now, b.Sent)
	c.mu.Unlock()
	for i := range b.Calls {
		go c.runCall(s, &b.Calls[i], now.Add(-held))
	}
}

// perform makes one call that was sent at sent, on this clock.
func (c *Carrier) runCall(s *session, x *Call, sent time.Time) {
	r := Result{N: x.N}
	if age := c.now().Sub(sent); age > maxCallDelay {
		r.Error = "the call was held up for " + age.String()
	} else if err := s.call(x, &r); err != nil {
		r.Error, r.Gone = err.Error(), errors.Is(err, work.ErrElsewhere)
	}
	c.mu.Lock()
	s.results = append(s.results, r)
	c.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *session) call(x *Call, r *Result) (err error) {
	ctx, cancel := context.WithTimeout(s.ctx, x.Limit)
	defer cancel()
	to := &work.Minion{Life: x.To, Address: x.Address}
	switch x.Kind {
	case startCall:
		r.Refusal, err = s.caller.Start(ctx, to, x.Start)
	case stopCall:
		err = s.caller.Stop(ctx, to, x.Task, x.Attempt, x.Token)
	case renewCall:
		r.Report, r.Fenced, err = s.caller.Renew(ctx, to, x.Token, x.Until, x.Durable, x.Wait)
	}
	return err
}

// FetchResults returns the answers that a session has, or none after a while.
func (c *Carrier) FetchResults(name string) FetchReply {
	now := c.now()
	c.mu.Lock()
	s := c.lookupSession(name, now)
	s.lastFetch = now
	c.mu.Unlock()
	t := time.NewTimer(maxFetchWait)
	defer t.Stop()
	select {
	case <-s.ready:
		time.Sleep(resultBatchDelay)
	case <-t.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := FetchReply{Life: c.instanceID, Leaving: c.draining, Results: s.results}
	s.results = nil
	return out
}
