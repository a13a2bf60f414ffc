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
	gather     = 4 * time.Millisecond   // answers wait this long for others to travel with
	answerWait = 100 * time.Millisecond // longest wait for the first
	leftAfter  = time.Second            // a session whose owner asks for no answers is over
	tooLate    = 300 * time.Millisecond // a call that was held up for longer is not made
	offsetSpan = 5 * time.Second        // clocks of owner and carrier are compared over two such spans
)

// Carrier makes calls for owners. Use NewCarrier.
type Carrier struct {
	minions Minions
	life    string
	now     func() time.Time

	mu       sync.Mutex
	leaving  bool
	sessions map[string]*session
}

// NewCarrier returns a carrier in the process life.
func NewCarrier(m Minions, life string, now func() time.Time) *Carrier {
	return &Carrier{minions: m, life: life, now: now, sessions: map[string]*session{}}
}

// Leave has owners told to make further calls without this carrier.
func (c *Carrier) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leaving = true
}

// session is the work for one owner.
type session struct {
	hands  *Hands
	ctx    context.Context
	cancel context.CancelFunc
	asked  time.Time // when its owner last asked for answers
	clock  offset
	done   []Result
	ready  chan struct{} // has a value while done may not be empty
}

// offset tells how long batches are on their way, by the smallest difference
// that there was lately between the clocks of sender and receiver.
type offset struct {
	least, former time.Duration
	since         time.Time
}

// delay is how much longer than the fastest a batch took that was sent at sent,
// on the sender's clock, and is here now.
func (o *offset) delay(now time.Time, sent int64) time.Duration {
	d := time.Duration(now.UnixNano() - sent)
	switch {
	case o.since.IsZero():
		o.least, o.former, o.since = d, d, now
	case now.Sub(o.since) > offsetSpan:
		o.least, o.former, o.since = d, o.least, now
	}
	o.least = min(o.least, d)
	return d - min(o.least, o.former)
}

// session returns a session, a new one if need be, and ends those that were left.
func (c *Carrier) session(name string, now time.Time) *session {
	for n, s := range c.sessions {
		if n != name && now.Sub(s.asked) > leftAfter {
			s.cancel()
			delete(c.sessions, n)
		}
	}
	s := c.sessions[name]
	if s == nil {
		s = &session{hands: &Hands{Minions: c.minions, Now: c.now}, asked: now, ready: make(chan struct{}, 1)}
		s.ctx, s.cancel = context.WithCancel(context.Background())
		c.sessions[name] = s
	}
	return s
}

// Take makes the calls of a batch.
func (c *Carrier) Take(b Batch) {
	now := c.now()
	c.mu.Lock()
	s := c.session(b.Session, now)
	held := s.clock.delay(now, b.Sent)
	c.mu.Unlock()
	for i := range b.Calls {
		go c.perform(s, &b.Calls[i], now.Add(-held))
	}
}

// perform makes one call that was sent at sent, on this clock.
func (c *Carrier) perform(s *session, x *Call, sent time.Time) {
	r := Result{N: x.N}
	if age := c.now().Sub(sent); age > tooLate {
		r.Error = "the call was held up for " + age.String()
	} else if err := s.call(x, &r); err != nil {
		r.Error, r.Gone = err.Error(), errors.Is(err, work.ErrWrongMinion)
	}
	c.mu.Lock()
	s.done = append(s.done, r)
	c.mu.Unlock()
	select {
	case s.ready <- struct{}{}:
	default:
	}
}

func (s *session) call(x *Call, r *Result) (err error) {
	ctx, cancel := context.WithTimeout(s.ctx, x.Limit)
	defer cancel()
	to := &work.Minion{Incarnation: x.To, Address: x.Address}
	switch x.Kind {
	case start:
		r.Refusal, err = s.hands.Start(ctx, to, x.Start)
	case stop:
		err = s.hands.Stop(ctx, to, x.Task, x.Attempt, x.Token)
	case renew:
		r.Report, r.Fenced, err = s.hands.Renew(ctx, to, x.Token, x.Until, x.Durable, x.Wait)
	}
	return err
}

// Fetch returns the answers that a session has, or none after a while.
func (c *Carrier) Fetch(name string) Answers {
	now := c.now()
	c.mu.Lock()
	s := c.session(name, now)
	s.asked = now
	c.mu.Unlock()
	t := time.NewTimer(answerWait)
	defer t.Stop()
	select {
	case <-s.ready:
		time.Sleep(gather)
	case <-t.C:
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	out := Answers{Life: c.life, Leaving: c.leaving, Results: s.done}
	s.done = nil
	return out
}
