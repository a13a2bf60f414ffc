package carry

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/work"
)

// Timing of an owner's side.
const (
	batchGap    = 3 * time.Millisecond   // calls wait this long for others to travel with
	fetchLimit  = 450 * time.Millisecond // without answers, not even none, before a carrier is left
	avoidFor    = 3 * time.Second        // a carrier that was left
	answerSlack = 40 * time.Millisecond  // of a call's time, for the answer to travel
	leastLimit  = 50 * time.Millisecond  // time for a call
)

// Peers carries batches to carriers.
type Peers interface {
	Carry(ctx context.Context, addr string, b Batch) error
	Carried(ctx context.Context, addr, session string) (Answers, error)
}

// Pool makes an owner's calls, through carriers where there are some. Fields may
// not change once a call was made.
type Pool struct {
	Hands *Hands // calls from this process
	Peers Peers
	Name  string                     // of the owner and its term; sessions begin with it
	Zone  func(zone string) []string // addresses of the carriers for an availability zone; none: the owner calls itself
	Lost  func(addr, why string)     // called when a carrier is left
	Now   func() time.Time

	mu     sync.Mutex
	ways   map[string]*way
	avoid  map[string]time.Time // carriers that get no calls, until when
	opened int
	closed bool
}

// way is the way through one carrier.
type way struct {
	p       *Pool
	addr    string
	session string
	ctx     context.Context
	cancel  context.CancelFunc
	ready   chan struct{} // has a value while queue may not be empty

	mu    sync.Mutex
	n     int64
	queue []Call
	waits map[int64]chan Result // by number; closed when the carrier is lost
	life  string
	lost  bool
}

// Start starts a task.
func (p *Pool) Start(ctx context.Context, to *work.Minion, s work.Start) (work.Refusal, error) {
	w := p.way(ctx, to)
	if w == nil {
		return p.Hands.Start(ctx, to, s)
	}
	r, err := w.do(ctx, Call{Kind: start, To: to.Incarnation, Address: to.Address, Start: s})
	if err != nil {
		return work.Other, err
	}
	return r.Refusal, r.err()
}

// Stop stops a run.
func (p *Pool) Stop(ctx context.Context, to *work.Minion, t work.TaskID, attempt int, token int64) error {
	if w := p.way(ctx, to); w != nil {
		r, err := w.do(ctx, Call{Kind: stop, To: to.Incarnation, Address: to.Address, Task: t, Attempt: attempt, Token: token})
		if err == nil {
			return r.err()
		}
		if !errors.Is(err, ErrLost) {
			return err
		}
	}
	return p.Hands.Stop(ctx, to, t, attempt, token)
}

// Renew renews the leases of a minion's runs. One whose carrier is lost is made
// again from here.
func (p *Pool) Renew(ctx context.Context, to *work.Minion, token, until, durable int64, wait time.Duration) (work.Report, bool, error) {
	if w := p.way(ctx, to); w != nil {
		r, err := w.do(ctx, Call{Kind: renew, To: to.Incarnation, Address: to.Address, Token: token, Until: until, Durable: durable, Wait: wait})
		if err == nil {
			return r.Report, r.Fenced, r.err()
		}
		if !errors.Is(err, ErrLost) {
			return work.Report{}, false, err
		}
		wait = 0
	}
	return p.Hands.Renew(ctx, to, token, until, durable, wait)
}

// way returns the way to a minion, or nil if this process calls it.
func (p *Pool) way(ctx context.Context, to *work.Minion) *way {
	addrs := p.Zone(to.Zone)
	if len(addrs) == 0 {
		return nil
	}
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	first := int(spread(to.ID) % uint32(len(addrs)))
	for i := range addrs {
		a := addrs[(first+i)%len(addrs)]
		if now.Before(p.avoid[a]) {
			continue
		}
		if p.ways[a] == nil {
			p.open(ctx, a)
		}
		return p.ways[a]
	}
	return nil
}

func spread(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes everything
	return h.Sum32()
}

// open opens a way. It ends with the carrier, or with Close.
func (p *Pool) open(ctx context.Context, addr string) {
	p.opened++
	w := &way{p: p, addr: addr, session: fmt.Sprintf("%s.%d", p.Name, p.opened), waits: map[int64]chan Result{}, ready: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if p.ways == nil {
		p.ways, p.avoid = map[string]*way{}, map[string]time.Time{}
	}
	p.ways[addr] = w
	go w.send()
	go w.fetch()
}

// Close ends all ways, and no others are opened.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.ways {
		w.cancel()
	}
}

// do makes a call through the carrier.
func (w *way) do(ctx context.Context, c Call) (Result, error) {
	end, _ := ctx.Deadline()
	c.Limit = max(time.Until(end)-answerSlack, leastLimit)
	ch := make(chan Result, 1)
	w.mu.Lock()
	if w.lost {
		w.mu.Unlock()
		return Result{}, ErrLost
	}
	w.n++
	c.N = w.n
	w.waits[c.N] = ch
	w.queue = append(w.queue, c)
	w.mu.Unlock()
	select {
	case w.ready <- struct{}{}:
	default:
	}
	select {
	case r, ok := <-ch:
		if !ok {
			return r, ErrLost
		}
		return r, nil
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.waits, c.N)
		w.mu.Unlock()
		return Result{}, fmt.Errorf("call through %s: %w", w.addr, ctx.Err())
	}
}

// send sends what is queued, in batches.
func (w *way) send() {
	for {
		select {
		case <-w.ready:
		case <-w.ctx.Done():
			return
		}
		time.Sleep(batchGap)
		w.mu.Lock()
		b := Batch{Session: w.session, Sent: w.p.Now().UnixNano(), Calls: w.queue}
		w.queue = nil
		w.mu.Unlock()
		go func() {
			ctx, cancel := context.WithTimeout(w.ctx, fetchLimit)
			defer cancel()
			if err := w.p.Peers.Carry(ctx, w.addr, b); err != nil {
				w.fail(err.Error())
			}
		}()
	}
}

// fetch takes in answers until the carrier is lost.
func (w *way) fetch() {
	defer w.end()
	for left := false; w.ctx.Err() == nil && !(left && w.idle()); {
		ctx, cancel := context.WithTimeout(w.ctx, fetchLimit)
		a, err := w.p.Peers.Carried(ctx, w.addr, w.session)
		cancel()
		if err != nil {
			w.fail(err.Error())
			return
		}
		w.take(a)
		if a.Leaving && !left {
			left = true
			w.p.leave(w)
		}
	}
}

// idle says that no call is under way.
func (w *way) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.waits) == 0
}

// leave has a carrier get no further calls for a while.
func (p *Pool) leave(w *way) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ways[w.addr] == w {
		delete(p.ways, w.addr)
	}
	p.avoid[w.addr] = p.Now().Add(avoidFor)
}

func (w *way) take(a Answers) {
	w.mu.Lock()
	if w.life == "" {
		w.life = a.Life
	}
	if w.life != a.Life {
		w.mu.Unlock()
		w.fail("it has started anew")
		return
	}
	for _, r := range a.Results {
		if ch := w.waits[r.N]; ch != nil {
			delete(w.waits, r.N)
			ch <- r
		}
	}
	w.mu.Unlock()
}

// fail leaves the carrier.
func (w *way) fail(why string) {
	if w.ctx.Err() != nil || !w.end() {
		return
	}
	w.p.leave(w)
	w.p.Lost(w.addr, why)
}

// end ends the way: calls that are under way, and later ones, are lost. It says
// whether the way had not ended before.
func (w *way) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.cancel()
	if w.lost {
		return false
	}
	w.lost = true
	for n, ch := range w.waits {
		delete(w.waits, n)
		close(ch)
	}
	return true
}
