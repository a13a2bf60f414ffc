package carry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/work"
)

// Timing on the owner's side.
const (
	minBatchDelay  = 3 * time.Millisecond   // time to collect further calls for the same batch
	maxBatchDelay  = 25 * time.Millisecond  // the same with many carriers
	batchInterval  = 2 * time.Millisecond   // between two batches over all carriers: a batch costs as much as several calls
	rpcTimeout     = 450 * time.Millisecond // for requests to a carrier, even if it has no results, before it is abandoned
	avoidDuration  = 3 * time.Second        // how long an abandoned or draining carrier is not used
	replyMargin    = 40 * time.Millisecond  // part of a call's time reserved for returning the result
	minCallTimeout = 50 * time.Millisecond  // lower bound of the timeout of a call
)

// Transport sends requests to carriers.
type Transport interface {
	SendBatch(ctx context.Context, addr string, b Batch) error
	FetchResults(ctx context.Context, addr, session string) (FetchReply, error)
}

// Dispatcher routes an owner's calls to minions, through carriers where
// available. Fields must not change after the first call.
type Dispatcher struct {
	Direct        *DirectCaller // calls from this process
	Transport     Transport
	SessionPrefix string                     // identifies the owner and its term
	Carriers      func(zone string) []string // addresses of the carriers for an availability zone, the one to use first; if empty, minions are called directly
	OnCarrierLost func(addr, why string)     // called when a carrier is abandoned
	Now           func() time.Time

	mu          sync.Mutex
	links       map[string]*link
	avoidUntil  map[string]time.Time // by address: the carrier is not used before this time
	linksOpened int
	closed      bool
}

// link is a session with one carrier.
type link struct {
	dispatcher *Dispatcher
	addr       string
	session    string
	ctx        context.Context
	cancel     context.CancelFunc
	ready      chan struct{} // holds a value whenever queue may be non-empty

	mu              sync.Mutex
	lastCall        int64
	queue           []queuedCall
	pending         map[int64]chan Result // by call number; closed when the carrier is lost
	carrierInstance string
	lost            bool
}

// queuedCall is a call to be sent with the next batch.
type queuedCall struct {
	Call
	ctx context.Context // of the call, for MakeBy
}

// Start starts a task.
func (p *Dispatcher) Start(ctx context.Context, to *work.Minion, s work.Start) (work.Refusal, error) {
	w := p.linkTo(ctx, to)
	if w == nil {
		return p.Direct.Start(ctx, to, s)
	}
	r, err := w.call(ctx, Call{Kind: startCall, To: to.Incarnation, Address: to.Address, Start: s})
	if err != nil {
		return work.Other, err
	}
	return r.Refusal, r.err()
}

// Stop stops a run.
func (p *Dispatcher) Stop(ctx context.Context, to *work.Minion, t work.TaskID, attempt int, token int64) error {
	c := Call{Kind: stopCall, To: to.Incarnation, Address: to.Address, Task: t, Attempt: attempt, Token: token}
	if lost, err := p.viaCarrier(ctx, to, c); !lost {
		return err
	}
	return p.Direct.Stop(ctx, to, t, attempt, token)
}

// Throttle lets a run work at a percentage of its speed.
func (p *Dispatcher) Throttle(ctx context.Context, to *work.Minion, t work.TaskID, attempt, percent int, token int64) error {
	c := Call{Kind: throttleCall, To: to.Incarnation, Address: to.Address, Task: t, Attempt: attempt, Percent: percent, Token: token}
	if lost, err := p.viaCarrier(ctx, to, c); !lost {
		return err
	}
	return p.Direct.Throttle(ctx, to, t, attempt, percent, token)
}

// viaCarrier makes a call that may be made twice. lost reports that there is no
// carrier, or that it was lost, so that the call has to be made directly.
func (p *Dispatcher) viaCarrier(ctx context.Context, to *work.Minion, c Call) (lost bool, err error) {
	w := p.linkTo(ctx, to)
	if w == nil {
		return true, nil
	}
	r, err := w.call(ctx, c)
	if err == nil {
		return false, r.err()
	}
	return errors.Is(err, ErrCarrierLost), err
}

// Renew renews the leases of a minion's runs. If the carrier is lost, the
// renewal is repeated directly.
func (p *Dispatcher) Renew(ctx context.Context, to *work.Minion, token, until, durable int64, wait time.Duration) (work.Report, bool, error) {
	if w := p.linkTo(ctx, to); w != nil {
		r, err := w.call(ctx, Call{Kind: renewCall, To: to.Incarnation, Address: to.Address, Token: token, Until: until, Durable: durable, Wait: wait})
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

// linkTo returns the link for calls to a minion, or nil if it is to be called
// directly.
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
	usable := slices.DeleteFunc(slices.Clone(addrs), func(a string) bool { return now.Before(p.avoidUntil[a]) })
	for _, a := range usable {
		if w := p.links[a]; w != nil {
			return w // one that works is kept, although a better one may be back
		}
	}
	if len(usable) == 0 {
		return nil
	}
	p.openLink(ctx, usable[0])
	return p.links[usable[0]]
}

// openLink opens a link to a carrier. The link lives until the carrier is
// abandoned or has drained, or until Close.
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

// Close closes all links and prevents new ones from being opened.
func (p *Dispatcher) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, w := range p.links {
		w.cancel()
	}
}

// call makes a call through the carrier and waits for its result.
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
	w.queue = append(w.queue, queuedCall{c, ctx})
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

// batchDelay is how long calls to a carrier are collected: the more carriers there are,
// the longer, so that the number of batches does not grow with the fleet.
func (p *Dispatcher) batchDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(time.Duration(len(p.links))*batchInterval, minBatchDelay), maxBatchDelay)
}

// sendLoop sends queued calls in batches.
func (w *link) sendLoop() {
	for {
		select {
		case <-w.ready:
		case <-w.ctx.Done():
			return
		}
		delay := w.dispatcher.batchDelay()
		time.Sleep(delay)
		now := w.dispatcher.Now()
		b := Batch{Session: w.session, Sent: now.UnixNano(), Delay: delay, Calls: w.takeQueue(now)}
		go func() {
			ctx, cancel := context.WithTimeout(w.ctx, rpcTimeout)
			defer cancel()
			if err := w.dispatcher.Transport.SendBatch(ctx, w.addr, b); err != nil {
				w.abandon(err.Error())
			}
		}()
	}
}

// takeQueue returns the queued calls that may still be made, and fails the others.
func (w *link) takeQueue(now time.Time) (calls []Call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.queue {
		err := errHeldUp(c.ctx, now)
		if err == nil {
			calls = append(calls, c.Call)
			continue
		}
		if ch := w.pending[c.N]; ch != nil {
			delete(w.pending, c.N)
			ch <- Result{N: c.N, Error: err.Error(), NotMade: true}
		}
	}
	w.queue = nil
	return calls
}

// fetchLoop delivers results until the carrier is lost or has drained.
func (w *link) fetchLoop() {
	defer w.close()
	for draining := false; w.ctx.Err() == nil && !(draining && w.idle()); {
		ctx, cancel := context.WithTimeout(w.ctx, rpcTimeout)
		a, err := w.dispatcher.Transport.FetchResults(ctx, w.addr, w.session)
		cancel()
		if err != nil {
			w.abandon(err.Error())
			return
		}
		w.deliver(a)
		if a.Leaving && !draining {
			draining = true
			w.dispatcher.avoidCarrier(w)
		}
	}
}

// idle reports whether no call is in progress.
func (w *link) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending) == 0
}

// avoidCarrier routes no further calls through a link and does not use its
// carrier for avoidDuration.
func (p *Dispatcher) avoidCarrier(w *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoid(w)
}

// avoid is avoidCarrier for callers that hold p.mu.
func (p *Dispatcher) avoid(w *link) {
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
		w.abandon("carrier restarted")
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

// abandon closes the link because its carrier failed, and reports the loss.
func (w *link) abandon(why string) {
	if w.ctx.Err() == nil && w.dispatcher.dropLink(w) {
		w.dispatcher.OnCarrierLost(w.addr, why)
	}
}

// dropLink closes a link whose carrier failed and avoids the carrier, in one
// step: whoever sees a call of the link fail finds the carrier avoided already.
// It reports whether the link was still open.
func (p *Dispatcher) dropLink(w *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !w.close() {
		return false
	}
	p.avoid(w)
	return true
}

// close closes the link: calls in progress and later ones fail with
// ErrCarrierLost. It reports whether the link was still open.
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
