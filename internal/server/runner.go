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
	renewWait    = 1000 * time.Millisecond // a renewal waits this long for an end
	orderTimeout = 800 * time.Millisecond  // for an answer, on top of a wait
	renewTimeout = 500 * time.Millisecond  // the same, of a renewal
	lateAfter    = 150 * time.Millisecond  // without an answer, before a call counts as late
	silentGap    = 200 * time.Millisecond  // between renewals that get no answer
	ackWait      = 400 * time.Millisecond  // for ends to become durable before the next renewal
)

// runner speaks to one life of a minion.
type runner struct {
	o     *owner
	life  work.Incarnation
	acked atomic.Int64 // ends up to this one may be forgotten
	wake  chan struct{}
}

// startRunners has a runner for every life of a minion.
func (o *owner) startRunners() {
	defer func() { o.minions.Store(int64(len(o.runners))) }()
	for _, l := range o.st.Fresh() {
		if o.runners[l] != nil {
			continue
		}
		r := &runner{o: o, life: l, wake: make(chan struct{}, 1)}
		o.runners[l] = r
		o.s.spawn(r.run)
	}
}

// run renews the leases of what runs there, and reports what has ended.
func (r *runner) run() {
	for r.o.ctx.Err() == nil {
		n, ok := r.next()
		if !ok {
			return
		}
		r.renew(n)
	}
}

// next asks the control goroutine for the next renewal. Once ok is false the
// runner is no longer known.
func (r *runner) next() (shard.Renewal, bool) {
	type answer struct {
		n  shard.Renewal
		ok bool
	}
	ch := make(chan answer, 1)
	r.o.post(func(now time.Time) {
		n, ok := r.o.st.Renew(now, r.life)
		if !ok {
			delete(r.o.runners, r.life)
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

func (r *runner) renew(n shard.Renewal) {
	wait := time.Duration(0)
	if n.Wait {
		wait = renewWait
	}
	ctx, cancel := context.WithTimeout(r.o.ctx, wait+renewTimeout)
	ended := r.late(wait)
	rep, fenced, err := r.o.calls.Renew(ctx, &n.Minion, n.Token, n.Until, r.acked.Load(), wait)
	ended()
	cancel()
	if err != nil {
		r.o.s.Log.Debug("renewal", "minion", r.life.ID, "fenced", fenced, "why", err.Error())
		r.o.post(func(now time.Time) {
			if errors.Is(err, work.ErrWrongMinion) {
				r.o.st.Gone(now, r.life)
				return
			}
			r.o.st.Silent(now, r.life)
		})
		pause(r.o.ctx, silentGap)
		return
	}
	r.o.post(func(now time.Time) { r.o.st.Reported(now, n, rep) })
	if len(rep.Ended) > 0 {
		r.await(rep.Ended[len(rep.Ended)-1].N)
	}
}

// await waits until ends up to last may be forgotten, but not for long: the
// leases have to be renewed.
func (r *runner) await(last int64) {
	t := time.NewTimer(ackWait)
	defer t.Stop()
	for r.acked.Load() < last {
		select {
		case <-r.wake:
		case <-t.C:
			return
		case <-r.o.ctx.Done():
			return
		}
	}
}

func (r *runner) acknowledge(n int64) {
	r.acked.Store(max(r.acked.Load(), n))
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// start sends a start and reports what came of it.
func (r *runner) start(x shard.Order) {
	go func() {
		ctx, cancel := context.WithTimeout(r.o.ctx, orderTimeout)
		defer cancel()
		defer r.late(0)()
		why, err := r.o.calls.Start(ctx, &x.Minion, x.Start)
		r.o.post(func(now time.Time) { r.o.st.Started(now, x, why, err) })
	}()
}

// late tells the shard if a call that may wait takes longer than usual. The call
// has ended when what it returns is called.
func (r *runner) late(wait time.Duration) (ended func()) {
	t := time.AfterFunc(wait+lateAfter, func() {
		r.o.post(func(now time.Time) { r.o.st.Late(now, r.life) })
	})
	return func() { t.Stop() }
}

// stop sends a stop; its effect is seen in the reports.
func (r *runner) stop(x shard.StopOrder) {
	go func() {
		ctx, cancel := context.WithTimeout(r.o.ctx, orderTimeout)
		defer cancel()
		if err := r.o.calls.Stop(ctx, &x.Minion, x.Task, x.Attempt, x.Token); err != nil {
			r.o.s.Log.Debug("stop", "task", x.Task.String(), "minion", r.life.ID, "why", err.Error())
		}
	}()
}
