package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/shard"
	"jasminestep/internal/work"
)

// Timing of calls to minions.
const (
	renewWait        = 1000 * time.Millisecond // long-poll wait of a renewal for the end of a run
	orderTimeout     = 800 * time.Millisecond  // for a start or stop
	renewTimeout     = 500 * time.Millisecond  // for a renewal, on top of its long-poll wait
	lateCallDelay    = 150 * time.Millisecond  // without a response, before a call counts as late
	silentRetryDelay = 200 * time.Millisecond  // between renewals without a response
	maxAckWait       = 400 * time.Millisecond  // for ends to become durable before the next renewal
)

// minionHandler makes the calls to one incarnation of a minion.
type minionHandler struct {
	o           *owner
	incarnation work.Incarnation
	acked       atomic.Int64 // ends up to this one may be acknowledged
	acksChanged chan struct{}
}

// startHandlers starts a handler for each new incarnation of a minion.
func (o *owner) startHandlers() {
	defer func() { o.minionCount.Store(int64(len(o.handlers))) }()
	for _, l := range o.state.TakeNewIncarnations() {
		if o.handlers[l] != nil {
			continue
		}
		r := &minionHandler{o: o, incarnation: l, acksChanged: make(chan struct{}, 1)}
		o.handlers[l] = r
		o.s.spawn(r.run)
	}
}

// run renews the leases of the runs on the minion and reports the runs that
// ended.
func (r *minionHandler) run() {
	for r.o.ctx.Err() == nil {
		n, ok := r.nextRenewal()
		if !ok {
			return
		}
		r.renew(n)
	}
}

// nextRenewal asks the control goroutine for the next renewal. ok is false once
// the handler is to stop.
func (r *minionHandler) nextRenewal() (shard.Renewal, bool) {
	type answer struct {
		n  shard.Renewal
		ok bool
	}
	ch := make(chan answer, 1)
	r.o.post(func(now time.Time) {
		n, ok := r.o.state.NextRenewal(now, r.incarnation)
		if !ok {
			delete(r.o.handlers, r.incarnation)
		}
		ch <- answer{n, ok}
	})
	select {
	case a := <-ch:
		return a.n, a.ok
	case <-r.o.ctx.Done():
		return shard.Renewal{}, false
	}
}

func (r *minionHandler) renew(n shard.Renewal) {
	wait := time.Duration(0)
	if n.Wait {
		wait = renewWait
	}
	ctx, cancel := context.WithTimeout(r.o.ctx, wait+renewTimeout)
	ended := r.reportIfLate(wait)
	rep, fenced, err := r.o.minionCalls.Renew(ctx, &n.Minion, n.Token, n.Until, r.acked.Load(), wait)
	ended()
	cancel()
	if err != nil {
		r.o.s.Log.Debug("renewal failed", "minion", r.incarnation.ID, "fenced", fenced, "why", err.Error())
		r.o.post(func(now time.Time) {
			if errors.Is(err, work.ErrWrongMinion) {
				r.o.state.HandleReplaced(now, r.incarnation)
				return
			}
			r.o.state.HandleNoReply(now, r.incarnation)
		})
		sleep(r.o.ctx, silentRetryDelay)
		return
	}
	r.o.post(func(now time.Time) { r.o.state.HandleReport(now, n, rep) })
	if len(rep.Ended) > 0 {
		r.awaitAck(rep.Ended[len(rep.Ended)-1].N)
	}
}

// awaitAck waits until ends up to last are durable, but at most maxAckWait
// because leases have to be renewed in time.
func (r *minionHandler) awaitAck(last int64) {
	t := time.NewTimer(maxAckWait)
	defer t.Stop()
	for r.acked.Load() < last {
		select {
		case <-r.acksChanged:
		case <-t.C:
			return
		case <-r.o.ctx.Done():
			return
		}
	}
}

func (r *minionHandler) acknowledge(n int64) {
	r.acked.Store(max(r.acked.Load(), n))
	select {
	case r.acksChanged <- struct{}{}:
	default:
	}
}

// sendStart sends a start and reports the outcome to the control goroutine.
func (r *minionHandler) sendStart(x shard.StartOrder) {
	go func() {
		ctx, cancel := context.WithTimeout(r.o.ctx, orderTimeout)
		defer cancel()
		defer r.reportIfLate(0)()
		why, err := r.o.minionCalls.Start(ctx, &x.Minion, x.Start)
		r.o.post(func(now time.Time) { r.o.state.HandleStartReply(now, x, why, err) })
	}()
}

// reportIfLate reports to the shard if a call takes longer than lateCallDelay
// beyond its long-poll wait. The returned function must be called when the call
// has ended.
func (r *minionHandler) reportIfLate(wait time.Duration) (ended func()) {
	t := time.AfterFunc(wait+lateCallDelay, func() {
		r.o.post(func(now time.Time) { r.o.state.HandleSlowReply(now, r.incarnation) })
	})
	return func() { t.Stop() }
}

// sendStop sends a stop; its effect shows in later reports.
func (r *minionHandler) sendStop(x shard.StopOrder) {
	go func() {
		ctx, cancel := context.WithTimeout(r.o.ctx, orderTimeout)
		defer cancel()
		if err := r.o.minionCalls.Stop(ctx, &x.Minion, x.Task, x.Attempt, x.Token); err != nil {
			r.o.s.Log.Debug("stop not delivered", "task", x.Task.String(), "minion", r.incarnation.ID, "why", err.Error())
		}
	}()
}
