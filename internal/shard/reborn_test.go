package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// restartWith starts the next incarnation of a minion, whose clock begins at a value.
// Its row is written, and the newest owner may learn of it from that.
func (w *simCluster) restartWith(b *simMinion, clock int64) {
	w.now = w.now.Add(time.Millisecond)
	b.restart()
	b.clockStart, b.leaseUntil = clock, clock
	w.writeRow(b)
}

// newOldCluster is a cluster with an owner and minions whose clocks began long ago.
func newOldCluster(t *testing.T, n int) (*simCluster, *simOwner) {
	t.Helper()
	w := newSimCluster(t, n)
	for _, b := range w.minions {
		b.clockStart += clockSpread
	}
	o := w.takeOver()
	w.work(time.Second)
	return w, o
}

// strayLease is how long a lease may last that a call for a former incarnation gave.
func (w *simCluster) strayLease() time.Duration {
	return time.Duration(float64(w.limits.MaxLease)/(1-w.limits.MaxClockDrift)) + time.Second
}

// strayCluster is a cluster of two minions, of which the first has just started
// again. Its former incarnation was sent a renewal that is still in flight.
func strayCluster(t *testing.T, clockAhead int64) (w *simCluster, b *simMinion) {
	t.Helper()
	w, o := newOldCluster(t, 2)
	b = w.minions[0]
	o.renewLate(b)
	assert.Equal(t, len(w.inFlight), 1)
	w.restartWith(b, b.clock()+clockAhead)
	return w, b
}

// startsElsewhereInTime has all runs of a minion that is cut off started elsewhere. The
// cluster fails if that is while they still run there.
func (w *simCluster) startsElsewhereInTime(t *testing.T, b *simMinion, within time.Duration) {
	t.Helper()
	lost := len(b.runs)
	assert.Assert(t, lost > 0)
	other := w.minions[1]
	for k := range other.runs {
		other.end(k, "done") // so that there is room
	}
	b.up = false
	from := w.now
	for len(other.runs) < lost && w.now.Sub(from) < time.Minute {
		w.pass(simTick)
		w.cycle()
	}
	took := w.now.Sub(from)
	assert.Assert(t, took <= within, "took %v", took)
}

// A renewal for the former incarnation gave the next one the longest lease, by another
// clock, and its runs started elsewhere before that had ended.
func TestLeaseByTheFormerClockIsWaitedFor(t *testing.T) {
	for name, clockAhead := range map[string]int64{"clock far behind": -60_000, "clock behind": -2_000, "clock ahead": 60_000} {
		t.Run(name, func(t *testing.T) {
			w, b := strayCluster(t, clockAhead)
			w.deliver(1)
			w.work(500 * time.Millisecond)
			w.submit(newJob("a", tasks(8, 1000)))
			w.work(time.Second)
			assert.Equal(t, len(b.runs), 4)
			w.startsElsewhereInTime(t, b, w.strayLease())
		})
	}
}

// The same with owners that follow one another: the one that starts the runs elsewhere
// may never have heard from the minion, or have been the first to hear from it.
func TestLeaseByTheFormerClockIsWaitedForByLaterOwners(t *testing.T) {
	type change struct{ beforeAnswer, afterStart, afterCut, late bool }
	for name, c := range map[string]change{
		"never hears from it":             {afterCut: true},
		"hears from it":                   {afterStart: true},
		"is the first to hear from it":    {beforeAnswer: true},
		"after one that was the first":    {beforeAnswer: true, afterCut: true},
		"several":                         {beforeAnswer: true, afterStart: true, afterCut: true},
		"near the end":                    {late: true},
		"first to hear, and near its end": {beforeAnswer: true, late: true},
	} {
		t.Run(name, func(t *testing.T) {
			w, b := strayCluster(t, -60_000)
			if c.beforeAnswer {
				w.takeOver()
			}
			w.deliver(1)
			w.work(500 * time.Millisecond)
			w.submit(newJob("a", tasks(8, 1000)))
			w.work(time.Second)
			assert.Equal(t, len(b.runs), 4)
			if c.afterStart {
				w.takeOver()
				w.cycle()
			}
			within := w.strayLease()
			if c.late {
				b.up = false
				w.work(4 * time.Second)
			}
			if c.afterCut || c.late {
				b.up = false
				w.takeOver()
			}
			w.startsElsewhereInTime(t, b, within)
		})
	}
}

// The record must not make work on minions wait whose ID nobody has called before.
func TestLostWorkOnANewMinionStartsAgainInTime(t *testing.T) {
	for _, owners := range []int{1, 2, 3} {
		w, _ := newOldCluster(t, 2)
		for range owners - 1 {
			w.takeOver()
			w.work(time.Second)
		}
		w.replaceAll()
		w.work(time.Second)
		w.submit(newJob("a", lastingTasks(2)))
		w.cycle()
		w.work(time.Second)
		assert.Equal(t, w.running(), 2)
		out := w.busiest()
		out.crash()
		took := w.restartTime(w.now, 2)
		assert.Assert(t, took <= restartTarget, "took %v with %d owners", took, owners)
	}
}

// replaceAll lets other minions take the addresses of all.
func (w *simCluster) replaceAll() {
	for _, b := range w.minions {
		b.crash()
		w.replace(b)
	}
}

// An owner that was frozen and wakes after the time by which its leases were to have
// ended extended them.
func TestOwnerThatWakesAfterItsPromiseSendsNoLease(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(4, 1000)))
	w.cycle()
	o.frozen = true
	w.pass(30 * time.Second)
	o.frozen = false
	for _, b := range w.minions {
		n, ok := o.st.NextRenewal(w.now, b.Incarnation)
		assert.Assert(t, ok)
		assert.Equal(t, n.Until, int64(0))
	}
}

// The same where the minion has started again meanwhile, with a clock that is behind,
// and an owner has followed.
func TestLeaseOfAnOwnerThatWakesIsNotCounted(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		w, o := newOldCluster(t, 2)
		o.frozen = true
		b := w.minions[0]
		clock := b.clock()
		w.pass(30 * time.Second)
		next := w.takeOver()
		if recorded {
			next.step()
			next.commit(true)
		}
		w.restartWith(b, clock-60_000)
		o.frozen = false
		o.renewLate(b)
		w.deliver(len(w.inFlight))
		assert.Assert(t, b.leaseUntil <= b.clock(), "it has a lease for %d ms", b.leaseUntil-b.clock())
	}
}

// A minion that was forgotten and comes back under its ID got the first token of the
// term again, which calls for its former incarnation carry.
func TestForgottenMinionThatComesBackGetsAHigherToken(t *testing.T) {
	w, o := newOldCluster(t, 2)
	b := w.minions[0]
	o.renewLate(b)
	late := w.inFlight[0]
	w.inFlight = nil
	b.up, b.crashedAt = false, w.now // it writes no rows
	o.st.UnlistMinion(w.now, b.ID)
	delete(w.minionRows, b.ID)
	for o.st.minions[b.ID] != nil {
		w.work(simTick)
	}
	assert.Assert(t, w.now.Sub(b.crashedAt) < w.limits.MaxOrderDelay, "the call may still be carried out")
	b.up = true
	w.restartWith(b, b.clock()-60_000)
	m := o.st.minions[b.ID]
	assert.Assert(t, m.token > late.token, "%d after %d", m.token, late.token)
	w.cycle()
	late.deliver()
	assert.Assert(t, b.token > late.token)
	assert.Assert(t, b.leaseUntil-b.clock() <= w.limits.Lease.Milliseconds(), "it has a lease for %d ms", b.leaseUntil-b.clock())
}

// endInTheNextIncarnation has a run of job "b" started, late, in the next incarnation
// of a minion whose owner has read an end of the former one, and ended there.
func endInTheNextIncarnation(t *testing.T, whileInFlight func(o *simOwner, b *simMinion)) *simCluster {
	t.Helper()
	w, o := newOldCluster(t, 1)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	b := w.minions[0]
	w.finishAll()
	o.renew(b)
	o.step()
	o.commit(true)
	assert.Equal(t, o.acked[b.Incarnation], int64(1))
	whileInFlight(o, b)
	w.submit(newJob("b", tasks(1, 1000)))
	o.step()
	o.commit(true)
	start := w.inFlight[len(w.inFlight)-1]
	w.inFlight = w.inFlight[:len(w.inFlight)-1]
	w.restartWith(b, b.clock()-60_000)
	start.deliver()
	assert.Equal(t, w.running(), 1)
	w.finishAll()
	return w
}

// completes lets the newest owner work until all jobs have completed. The cluster fails
// if a task starts that has already succeeded.
func (w *simCluster) completes(t *testing.T) {
	t.Helper()
	w.work(3 * time.Second)
	for _, j := range w.jobs {
		assert.Equal(t, w.state(j.ID), Completed)
	}
}

// A renewal for the former incarnation named its last end that was read, and the next
// one, which counts from 1 again, forgot an end that nobody had read: its task
// started again.
func TestNumberOfAFormerEndForgetsNoEnd(t *testing.T) {
	w := endInTheNextIncarnation(t, func(o *simOwner, b *simMinion) { o.renew(b) })
	w.completes(t)
}

// The same with a renewal that tells of a read end for the first time and is carried out
// late, after a start and its end.
func TestLateNumberOfAFormerEndForgetsNoEnd(t *testing.T) {
	w := endInTheNextIncarnation(t, func(o *simOwner, b *simMinion) { o.renewLate(b) })
	w.deliver(1)
	w.completes(t)
}

// A minion that had no row when an owner took over, and was still called by the former
// one, was dropped from the record before the last of those calls had arrived.
func TestLateCallOfAFormerOwnerToAMinionWithoutARowIsCounted(t *testing.T) {
	w, former := newOldCluster(t, 2)
	b := w.minions[0]
	row := w.minionRows[b.ID]
	delete(w.minionRows, b.ID)
	b.crashedAt = w.now // it writes no rows
	w.takeOver()
	from := w.now
	for w.now.Sub(from) < 4*time.Second {
		w.pass(simTick)
		w.cycle()
		former.renew(b)
	}
	former.renewLate(b)
	assert.Equal(t, len(w.inFlight), 1)
	late := w.inFlight[0]
	w.inFlight = nil
	b.up = false
	w.work(12 * time.Second)
	w.minionRows[b.ID], b.up = row, true
	w.restartWith(b, b.clock()-60_000)
	late.deliver()
	assert.Assert(t, b.leaseUntil > b.clock(), "it has got a lease")
	w.work(500 * time.Millisecond)
	w.submit(newJob("a", tasks(8, 1000)))
	w.work(time.Second)
	assert.Equal(t, len(b.runs), 4)
	w.startsElsewhereInTime(t, b, w.strayLease())
}
