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
	batchDelay     = 3 * time.Millisecond   // calls wait this long for others to travel with
	rpcTimeout     = 450 * time.Millisecond // without answers, not even none, before a carrier is left
	avoidDuration  = 3 * time.Second        // a carrier that was left
	replyMargin    = 40 * time.Millisecond  // of a call's time, for the answer to travel
	minCallTimeout = 50 * time.Millisecond  // time for a call
)

// Transport carries batches to carriers.
type Transport interface {
	SendBatch(ctx context.Context, addr string, b Batch) error
	FetchResults(ctx context.Context, addr, session string) (FetchReply, error)
}

// Dispatcher makes an owner's calls, through carriers where there are some. Fields may
// not change once a call was made.
type Dispatcher struct {
	Direct        *DirectCaller // calls from this process
	Transport     Transport
	SessionPrefix string                     // of the owner and its term; sessions begin with it
	Carriers      func(zone string) []string // addresses of the carriers for an availability zone; none: the owner calls itself
	OnCarrierLost func(addr, why string)     // called when a carrier is left
	Now           func() time.Time

	mu          sync.Mutex
	links       map[string]*link
	avoidUntil  map[string]time.Time // carriers that get no calls, until when
	linksOpened int
	closed      bool
}

// way is the way through one carrier.
type link struct {
	dispatcher *Dispatcher
	addr       string
	session    string
	ctx        context.Context
	cancel     context.CancelFunc
	ready      chan struct{} // has a value while queue may not be empty

	mu              sync.Mutex
	lastCall        int64
	queue           []Call
	pending         map[int64]chan Result // by number; closed when the carrier is lost
	carrierInstance string
	lost            bool
}

// Start starts a task.
func (p *Dispatcher) Start(ctx context.Context, to *work.Minion, s work.Start) (work.Refusal, error) {
	w := p.linkTo(ctx, to)
	if w == nil {
		return p.Direct.Start(ctx, to, s)
	}
	r, err := w.call(ctx, Call{Kind: startCall, To: to.Life, Address: to.Address, Start: s})
	if err != nil {
		return work.Other, err
	}
	return r.Refusal, r.err()
}

// Stop stops a run.
func (p *Dispatcher) Stop(ctx context.Context, to *work.Minion, t work.TaskID, attempt int, token int64) error {
	if w := p.linkTo(ctx, to); w != nil {
		r, err := w.call(ctx, Call{Kind: stopCall, To: to.Life, Address: to.Address, Task: t, Attempt: attempt, Token: token})
		if err == nil {
			return r.err()
		}
		if !errors.Is(err, ErrCarrierLost) {
			return err
		}
	}
	return p.Direct.Stop(ctx, to, t, attempt, token)
}

// Renew renews the leases of a minion's runs. One whose carrier is lost is made
// again from here.
func (p *Dispatcher) Renew(ctx context.Context, to *work.Minion, token, until, durable int64, wait time.Duration) (work.Report, bool, error) {
	if w := p.linkTo(ctx, to); w != nil {
		r, err := w.call(ctx, Call{Kind: renewCall, To: to.Life, Address: to.Address, Token: token, Until: until, Durable: durable, Wait: wait})
		if err == nil {
			return r.Report, r.Fenced, r.err()
		}
		if !errors.Is(err, ErrCarrierLost) {
			return work.Report{}, false, err
		}
		wait = 0
	}
	return p.Direct.Renew(ctx, to, token, until, durable, wait)
}

// way returns the way to a minion, or nil if this process calls it.
func (p *Dispatcher) linkTo(ctx context.Context, to *work.Minion) *link {
	addrs := p.Carriers(to.Zone)
	if len(addrs) == 0 {
		return nil
	}
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	first := int(hashID(to.ID) % uint32(len(addrs)))
	for i := range addrs {
		a := addrs[(first+i)%len(addrs)]
		if now.Before(p.avoidUntil[a]) {
			continue
		}
		if p.links[a] == nil {
			p.openLink(ctx, a)
		}
		return p.links[a]
	}
	return nil
}

func hashID(id string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes everything
	return h.Sum32()
}

// open opens a way. It ends with the carrier, or with Close.
func (p *Dispatcher) openLink(ctx context.Context, addr string) {
	p.linksOpened++
	w := &link{dispatcher: p, addr: addr, session: fmt.Sprintf("%s.%d", p.SessionPrefix, p.linksOpened), pending: map[int64]chan Result{}, ready: make(chan struct{}, 1)}
	w.ctx, w.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if p.links == nil {
		p.links, p.avoidUntil = map[string]*link{}, map[string]time.Time{}
	}
	p.links[addr] = w
	go w.sendLoop()
	go w.fetchLoop()
}

// Close ends all ways, and no others are opened.
func (p *Dispatcher) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.links {
		w.cancel()
	}
}

// do makes a call through the carrier.
func (w *link) call(ctx context.Context, c Call) (Result, error) {
	end, _ := ctx.Deadline()
	c.Limit = max(time.Until(end)-replyMargin, minCallTimeout)
	ch := make(chan Result, 1)
	w.mu.Lock()
	if w.lost {
		w.mu.Unlock()
		return Result{}, ErrCarrierLost
	}
	w.lastCall++
	c.N = w.lastCall
	w.pending[c.N] = ch
	w.queue = append(w.queue, c)
	w.mu.Unlock()
	select {
	case w.ready <- struct{}{}:
	default:
	}
	select {
	case r, ok := <-ch:
		if !ok {
			return r, ErrCarrierLost
		}
		return r, nil
	case <-ctx.Done():
		w.mu.Lock()
		delete(w.pending, c.N)
		w.mu.Unlock()
		return Result{}, fmt.Errorf("call through %s: %w", w.addr, ctx.Err())
	}
}

// send sends what is queued, in batches.
func (w *link) sendLoop() {
	for {
		select {
		case <-w.ready:
		case <-w.ctx.Done():
			return
		}
		time.Sleep(batchDelay)
		w.mu.Lock()
		b := Batch{Session: w.session, Sent: w.dispatcher.Now().UnixNano(), Calls: w.queue}
		w.queue = nil
		w.mu.Unlock()
		go func() {
			ctx, cancel := context.WithTimeout(w.ctx, rpcTimeout)
			defer cancel()
			if err := w.dispatcher.Transport.SendBatch(ctx, w.addr, b); err != nil {
				w.abandon(err.Error())
			}
		}()
	}
}

// fetch takes in answers until the carrier is lost.
func (w *link) fetchLoop() {
	defer w.close()
	for left := false; w.ctx.Err() == nil && !(left && w.idle()); {
		ctx, cancel := context.WithTimeout(w.ctx, rpcTimeout)
		a, err := w.dispatcher.Transport.FetchResults(ctx, w.addr, w.session)
		cancel()
		if err != nil {
			w.abandon(err.Error())
			return
		}
		w.deliver(a)
		if a.Leaving && !left {
			left = true
			w.dispatcher.avoidCarrier(w)
		}
	}
}

// idle says that no call is under way.
func (w *link) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) == 0
}

// leave has a carrier get no further calls for a while.
func (p *Dispatcher) avoidCarrier(w *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.links[w.addr] == w {
		delete(p.links, w.addr)
	}
	p.avoidUntil[w.addr] = p.Now().Add(avoidDuration)
}

func (w *link) deliver(a FetchReply) {
	w.mu.Lock()
	if w.carrierInstance == "" {
		w.carrierInstance = a.Life
	}
	if w.carrierInstance != a.Life {
		w.mu.Unlock()
		w.abandon("it has started anew")
		return
	}
	for _, r := range a.Results {
		if ch := w.pending[r.N]; ch != nil {
			delete(w.pending, r.N)
			ch <- r
		}
	}
	w.mu.Unlock()
}

// fail leaves the carrier.
func (w *link) abandon(why string) {
	if w.ctx.Err() != nil || !w.close() {
		return
	}
	w.dispatcher.avoidCarrier(w)
	w.dispatcher.OnCarrierLost(w.addr, why)
}

// end ends the way: calls that are under way, and later ones, are lost. It says
// whether the way had not ended before.
func (w *link) close() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	defer w.cancel()
	if w.lost {
		return false
	}
	w.lost = true
	for n, ch := range w.pending {
		delete(w.pending, n)
		close(ch)
	}
	return true
}
