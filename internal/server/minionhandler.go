package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/carry"
	"jasminestep/internal/shard"
	"jasminestep/internal/work"
)

// Timing of calls to minions.
const (
	renewWait        = 1000 * time.Millisecond // long-poll wait of a renewal for the end of a run
	unextendedWait   = 100 * time.Millisecond  // replaces renewWait while the lease may not be extended
	orderTimeout     = 800 * time.Millisecond  // for a start or stop
	renewTimeout     = 500 * time.Millisecond  // for a renewal, on top of its long-poll wait
	lateCallDelay    = 150 * time.Millisecond  // without a response, before a call counts as late
	silentRetryDelay = 200 * time.Millisecond  // between renewals without a response
	maxAckWait       = 400 * time.Millisecond  // for ends to become durable before the next renewal
	maxStartWait     = 50 * time.Millisecond   // for replies to starts before a renewal that lets ends be discarded
	maxCallAge       = 500 * time.Millisecond  // since its decision, at which a call is not made any more
)

// minionHandler makes the calls to one incarnation of a minion.
type minionHandler struct {
	o           *owner
	incarnation work.Incarnation
	acked       atomic.Int64 // ends up to this one may be acknowledged
	acksChanged chan struct{}
	starts      atomic.Int64 // without a reply yet
	startsDone  chan struct{}
	excuses     int // renewals in a row that failed because this process was late
	failures    int // renewals in a row that failed
}

// startHandlers starts a handler for each new incarnation of a minion.
func (o *owner) startHandlers() {
	defer func() { o.minionCount.Store(int64(len(o.handlers))) }()
	for _, inc := range o.state.TakeNewIncarnations() {
		if o.handlers[inc] != nil {
			continue
		}
		h := &minionHandler{o: o, incarnation: inc, acksChanged: make(chan struct{}, 1), startsDone: make(chan struct{}, 1)}
		o.handlers[inc] = h
		o.s.spawn(h.run)
	}
}

// run renews the leases of the runs on the minion and reports the runs that
// ended.
func (h *minionHandler) run() {
	for h.o.ctx.Err() == nil {
		n, decided, ok := h.nextRenewal()
		if !ok {
			return
		}
		h.renew(n, decided)
	}
}

// nextRenewal asks the control goroutine for the next renewal. ok is false once
// the handler is to stop.
func (h *minionHandler) nextRenewal() (n shard.Renewal, decided time.Time, ok bool) {
	type answer struct {
		n   shard.Renewal
		now time.Time
		ok  bool
	}
	ch := make(chan answer, 1)
	h.o.post(func(now time.Time) {
		n, ok := h.o.state.NextRenewal(now, h.incarnation)
		if !ok {
			delete(h.o.handlers, h.incarnation)
		}
		ch <- answer{n, now, ok}
	})
	select {
	case a := <-ch:
		return a.n, a.now, a.ok
	case <-h.o.ctx.Done():
		return shard.Renewal{}, time.Time{}, false
	}
}

// callContext returns the context of a call that was decided at decided.
func (h *minionHandler) callContext(decided time.Time, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(carry.MakeBy(h.o.ctx, decided.Add(maxCallAge)), timeout)
}

func (h *minionHandler) renew(n shard.Renewal, decided time.Time) {
	wait := time.Duration(0)
	switch {
	case n.Wait && n.Closed:
		wait = unextendedWait
	case n.Wait:
		wait = renewWait
	}
	ctx, cancel := h.callContext(decided, wait+renewTimeout)
	watch := h.reportIfLate(wait)
	rep, fenced, err := h.o.minionCalls.Renew(ctx, &n.Minion, n.Token, n.Until, n.Ack, wait)
	watch.stop()
	cancel()
	if err != nil {
		h.o.s.Log.Debug("renewal failed", "minion", h.incarnation.ID, "fenced", fenced, "why", err.Error())
		if h.excused(err) {
			return
		}
		h.o.post(func(now time.Time) {
			switch {
			case errors.Is(err, work.ErrWrongMinion):
				h.o.state.HandleReplaced(now, h.incarnation)
			case fenced:
				h.o.state.HandleFenced(now, n)
			default:
				h.o.state.HandleNoReply(now, h.incarnation)
			}
		})
		h.failures++
		if !fenced || h.failures > 1 { // else it was outrun by a token of this owner
			sleep(h.o.ctx, silentRetryDelay)
		}
		return
	}
	h.excuses, h.failures = 0, 0
	h.o.post(func(now time.Time) { h.o.state.HandleReport(now, n, rep) })
	if len(rep.Ended) > 0 {
		h.awaitAck(rep.Ended[len(rep.Ended)-1].N)
		h.awaitStarts()
	}
}

// excused reports whether a renewal without a reply is made again at once: it was not
// made, or this process is so late that the reply may have been here in time.
func (h *minionHandler) excused(err error) bool {
	late := errors.Is(err, carry.ErrNotMade) || errors.Is(err, context.DeadlineExceeded) && h.o.lag.recent() >= lateCallDelay
	if !late || h.excuses >= maxRenewalExcuses {
		return false
	}
	h.excuses++
	return true
}

// awaitAck waits until ends up to last are durable, but at most maxAckWait
// because leases have to be renewed in time.
func (h *minionHandler) awaitAck(last int64) {
	t := time.NewTimer(maxAckWait)
	defer t.Stop()
	for h.acked.Load() < last {
		select {
		case <-h.acksChanged:
		case <-t.C:
			return
		case <-h.o.ctx.Done():
			return
		}
	}
}

// awaitStarts waits until the starts that were sent have a reply, but at most
// maxStartWait. Ends are not discarded before that.
func (h *minionHandler) awaitStarts() {
	t := time.NewTimer(maxStartWait)
	defer t.Stop()
	for h.starts.Load() > 0 {
		select {
		case <-h.startsDone:
		case <-t.C:
			return
		case <-h.o.ctx.Done():
			return
		}
	}
}

func (h *minionHandler) endStart() {
	if h.starts.Add(-1) > 0 {
		return
	}
	select {
	case h.startsDone <- struct{}{}:
	default:
	}
}

func (h *minionHandler) acknowledge(n int64) {
	h.acked.Store(max(h.acked.Load(), n))
	select {
	case h.acksChanged <- struct{}{}:
	default:
	}
}

// sendStart sends a start and reports the outcome to the control goroutine.
func (h *minionHandler) sendStart(now time.Time, order shard.StartOrder) {
	h.starts.Add(1)
	go func() {
		defer h.endStart()
		ctx, cancel := h.callContext(now, orderTimeout)
		defer cancel()
		defer h.reportIfLate(0).stop()
		why, err := h.o.minionCalls.Start(ctx, &order.Minion, order.Start)
		h.o.post(func(now time.Time) { h.o.state.HandleStartReply(now, order, why, err) })
	}()
}

// reportIfLate reports to the shard if a call takes longer than lateCallDelay
// beyond its long-poll wait. The returned watch must be stopped when the call has
// ended.
func (h *minionHandler) reportIfLate(wait time.Duration) *lateWatch {
	return h.o.watchCall(wait+lateCallDelay, func() {
		h.o.post(func(now time.Time) { h.o.state.HandleSlowReply(now, h.incarnation) })
	})
}

// sendStop sends a stop; its effect shows in later reports.
func (h *minionHandler) sendStop(now time.Time, order shard.StopOrder) {
	go func() {
		ctx, cancel := h.callContext(now, orderTimeout)
		defer cancel()
		if err := h.o.minionCalls.Stop(ctx, &order.Minion, order.Task, order.Attempt, order.Token); err != nil {
			h.o.s.Log.Debug("stop not delivered", "task", order.Task.String(), "minion", h.incarnation.ID, "why", err.Error())
		}
	}()
}

// sendThrottle sends an order about a run's speed and reports the outcome to the
// control goroutine.
func (h *minionHandler) sendThrottle(now time.Time, order shard.ThrottleOrder) {
	go func() {
		ctx, cancel := h.callContext(now, orderTimeout)
		defer cancel()
		err := h.o.minionCalls.Throttle(ctx, &order.Minion, order.Task, order.Attempt, order.Speed, order.Token)
		if err != nil {
			h.o.s.Log.Debug("throttle not delivered", "task", order.Task.String(), "minion", h.incarnation.ID, "why", err.Error())
		}
		h.o.post(func(now time.Time) { h.o.state.HandleThrottleReply(now, order, err) })
	}()
}
