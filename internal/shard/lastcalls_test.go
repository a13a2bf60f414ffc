package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// forget cuts a minion off until the newest owner has forgotten it, and then for longer.
func (w *simCluster) forget(t *testing.T, b *simMinion, longer time.Duration) {
	t.Helper()
	o := w.owners[len(w.owners)-1]
	b.up, b.crashedAt = false, w.now // so that it writes no row
	delete(w.minionRows, b.ID)
	o.st.UnlistMinion(w.now, b.ID)
	for range 400 {
		w.pass(simTick)
		w.cycle()
		if o.st.minions[b.ID] == nil {
			break
		}
	}
	assert.Assert(t, o.st.minions[b.ID] == nil)
	for from := w.now; w.now.Sub(from) < longer; {
		w.pass(simTick)
		w.cycle()
	}
}

// Guards against a minion that is never used again: it was cut off for longer than
// calls are late, and had seen a higher token than the one that it was called with
// when it was back.
func TestMinionThatWasCutOffForLongIsUsedAgain(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	b := w.minions[0]
	o.st.minions[b.ID].token++ // as after an answer that ended a silence
	w.cycle()
	w.forget(t, b, 40*time.Second)
	b.up, b.crashedAt = true, time.Time{}
	w.writeRow(b)
	w.pass(simTick)
	w.cycle()
	m := o.st.minions[b.ID]
	assert.Assert(t, m != nil && m.answered(), "token %d, minion has seen %d", m.token, b.token)
}

// Guards against TWICE: a renewal was carried out as late as they are, by the next
// life; the owner that this one answered just after that took no lease for possible.
func TestLeaseOfTheLatestCallOfAFormerOwnerIsWaitedFor(t *testing.T) {
	w, o := newOldCluster(t, 2)
	b := w.minions[0]
	w.storeDown = true
	w.pass(5 * time.Second)
	o.renewLate(b)
	sent := w.now
	next := w.takeOver()
	w.storeDown = false
	b.up = false
	for w.now.Sub(sent) < w.limits.MaxOrderDelay-2*simTick {
		w.pass(simTick)
		w.cycleExcept(b)
	}
	w.restartWith(b, b.clock()-60_000)
	w.deliver(1)
	for !w.now.After(next.st.formerEnd.Add(w.limits.MaxOrderDelay)) {
		w.pass(simTick)
		w.cycleExcept(b)
	}
	w.cycle()
	w.submit(newJob("a", tasks(8, 1000)))
	w.cycle()
	assert.Equal(t, len(b.runs), 4)
	w.startsElsewhereInTime(t, b, w.strayLease())
}

// cycleExcept is cycle with calls to one minion lost.
func (w *simCluster) cycleExcept(b *simMinion) {
	o := w.owners[len(w.owners)-1]
	kept := w.inFlight
	w.inFlight = nil
	for range 3 {
		for _, x := range w.minions {
			if x != b {
				o.renew(x)
			}
		}
		o.step()
		o.commit(!w.storeDown)
		w.deliver(len(w.inFlight))
	}
	w.inFlight = kept
}

// The same for a call of the owner itself: its entry of the record was dropped before
// the lease had ended that the call gave.
func TestLeaseOfTheLatestCallToAForgottenMinionIsWaitedFor(t *testing.T) {
	w, o := newOldCluster(t, 2)
	b := w.minions[0]
	b.Draining = true // so that it is soon forgotten
	w.writeRow(b)
	w.work(8 * time.Second)
	o.renewLate(b)
	sent, late := w.now, w.inFlight
	w.inFlight = nil
	w.forget(t, b, 0)
	gone := w.now
	for w.now.Sub(sent) < w.limits.MaxOrderDelay-2*simTick {
		w.pass(simTick)
		w.cycle()
	}
	b.crashedAt = time.Time{}
	w.restartUnlisted(b, b.clock()-60_000)
	late[0].deliver()
	b.crashedAt = w.now
	for w.now.Sub(gone) <= w.limits.MaxOrderDelay {
		w.pass(simTick)
		w.cycleExcept(b)
	}
	b.crashedAt = time.Time{}
	w.writeRow(b)
	w.cycle()
	w.submit(newJob("a", tasks(8, 1000)))
	w.cycle()
	assert.Equal(t, len(b.runs), 4)
	w.startsElsewhereInTime(t, b, w.strayLease())
}

// restartUnlisted is restartWith before the row is written.
func (w *simCluster) restartUnlisted(b *simMinion, clock int64) {
	w.now = w.now.Add(time.Millisecond)
	b.restart()
	b.clockStart, b.leaseUntil = clock, clock
	b.Draining = false
}

// Guards against a minion that is never used again: the poll of a restart that a row told
// of, and that its address disproved, showed it a higher token than later calls have.
func TestMinionThatWasPolledForARestartIsUsedAgain(t *testing.T) {
	for _, answered := range []bool{true, false} {
		w, o := newOwnedCluster(t, 1)
		b := w.minions[0]
		odd := w.oddRow(b, "s")
		odd.Address = b.Address
		o.st.UpdateMinion(w.now, odd, w.now)
		n, ok := o.st.NextRenewal(w.now, odd.Incarnation)
		assert.Assert(t, ok)
		rep, ok := b.handleRenewal("restart", n, 0)
		assert.Assert(t, ok)
		if answered {
			o.st.HandleReport(w.now, n, rep)
		} else {
			o.st.HandleNoReply(w.now, odd.Incarnation) // the reply is lost; the next row refutes the restart
		}
		w.work(2 * rowInterval)
		m := o.st.minions[b.ID]
		assert.Assert(t, m.restart == nil)
		assert.Assert(t, m.silentSince.IsZero(), "token %d, minion has seen %d, answered %v", m.token, b.token, answered)
		w.submit(newJob("a", tasks(1, 1000)))
		w.work(time.Second)
		assert.Equal(t, w.running(), 1)
	}
}

// A start without a reply is not given up while the next incarnation may still carry it
// out, whoever owns the shard then.
func TestNextOwnerDoesNotGiveUpAStartWithoutReply(t *testing.T) {
	for _, change := range []bool{false, true} {
		w, o := newOldCluster(t, 2)
		w.submit(newJob("a", tasks(1, 1000)))
		o.step()
		o.commit(true)
		assert.Equal(t, len(w.inFlight), 1)
		start := w.inFlight[0]
		w.inFlight = nil
		b := start.to
		b.up = false // cut off; its row is still written
		if change {
			w.takeOver()
		} else {
			start.lose()
		}
		w.work(9 * time.Second)
		b.up = true
		w.restartWith(b, b.clock()-60_000)
		start.deliver() // checkStart fails if the run has been started elsewhere
		assert.Equal(t, len(b.runs), 1, "change of owner %v", change)
	}
}
