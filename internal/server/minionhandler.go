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
	renewWait        = 1000 * time.Millisecond // a renewal waits this long for an end
	orderTimeout     = 800 * time.Millisecond  // for an answer, on top of a wait
	renewTimeout     = 500 * time.Millisecond  // the same, of a renewal
	lateCallDelay    = 150 * time.Millisecond  // without an answer, before a call counts as late
	silentRetryDelay = 200 * time.Millisecond  // between renewals that get no answer
	maxAckWait       = 400 * time.Millisecond  // for ends to become durable before the next renewal
)

// runner speaks to one life of a minion.
type minionHandler struct {
	o           *owner
	life        work.Life
	acked       atomic.Int64 // ends up to this one may be forgotten
	acksChanged chan struct{}
}

// startRunners has a runner for every life of a minion.
func (o *owner) startHandlers() {
	defer func() { o.minionCount.Store(int64(len(o.handlers))) }()
	for _, l := range o.state.Fresh() {
		if o.handlers[l] != nil {
			continue
		}
		r := &minionHandler{o: o, life: l, acksChanged: make(chan struct{}, 1)}
		o.handlers[l] = r
		o.s.spawn(r.run)
	}
}

// run renews the leases of what runs there, and reports what has ended.
func (r *minionHandler) run() {
	for r.o.ctx.Err() == nil {
		n, ok := r.nextRenewal()
		if !ok {
			return
		}
		r.renew(n)
	}
}

// next asks the control goroutine for the next renewal. Once ok is false the
// runner is no longer known.
func (r *minionHandler) nextRenewal() (shard.Renewal, bool) {
	type answer struct {
		n  shard.Renewal
		ok bool
	}
	ch := make(chan answer, 1)
	r.o.post(func(now time.Time) {
		n, ok := r.o.state.Renew(now, r.life)
		if !ok {
			delete(r.o.handlers, r.life)
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
		r.o.s.Log.Debug("renewal", "minion", r.life.ID, "fenced", fenced, "why", err.Error())
		r.o.post(func(now time.Time) {
			if errors.Is(err, work.ErrElsewhere) {
				r.o.state.Gone(now, r.life)
				return
			}
			r.o.state.Silent(now, r.life)
		})
		sleep(r.o.ctx, silentRetryDelay)
		return
	}
	r.o.post(func(now time.Time) { r.o.state.Reported(now, n, rep) })
	if len(rep.Ended) > 0 {
		r.awaitAck(rep.Ended[len(rep.Ended)-1].N)
	}
}

// await waits until ends up to last may be forgotten, but not for long: the
// leases have to be renewed.
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

// start sends a start and reports what came of it.
func (r *minionHandler) sendStart(x shard.Order) {
	go func() {
		ctx, cancel := context.WithTimeout(r.o.ctx, orderTimeout)
		defer cancel()
		defer r.reportIfLate(0)()
		why, err := r.o.minionCalls.Start(ctx, &x.Minion, x.Start)
		r.o.post(func(now time.Time) { r.o.state.Started(now, x, why, err) })
	}()
}

// late tells the shard if a call that may wait takes longer than usual. The call
// has ended when what it returns is called.
func (r *minionHandler) reportIfLate(wait time.Duration) (ended func()) {
	t := time.AfterFunc(wait+lateCallDelay, func() {
		r.o.post(func(now time.Time) { r.o.state.Late(now, r.life) })
	})
	return func() { t.Stop() }
}

// stop sends a stop; its effect is seen in the reports.
func (r *minionHandler) sendStop(x shard.StopOrder) {
	go func() {
		ctx, cancel := context.WithTimeout(r.o.ctx, orderTimeout)
		defer cancel()
		if err := r.o.minionCalls.Stop(ctx, &x.Minion, x.Task, x.Attempt, x.Token); err != nil {
			r.o.s.Log.Debug("stop", "task", x.Task.String(), "minion", r.life.ID, "why", err.Error())
		}
	}()
}
