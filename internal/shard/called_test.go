package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// restartBehind restarts a minion with a clock that is behind the leases that its
// former incarnation was sent. A renewal for that one, which nobody gets an answer
// to, arrives before any call to the new one.
func (w *simCluster) restartBehind(b *simMinion) {
	o := w.owners[len(w.owners)-1]
	late, ok := o.st.NextRenewal(w.now, b.Incarnation)
	if !ok || late.Until == 0 {
		w.fail("no renewal for %s: %+v", b.ID, late)
	}
	w.restartWith(b, b.clock()-60_000)
	b.handleRenewal("late", late, 0)
}

// Guards against TWICE: a renewal for the former life of a minion gave the next one
// the longest lease, but its runs were given up at the end of the leases that it
// had been sent itself.
func TestLeaseForTheFormerLifeHoldsInTheNext(t *testing.T) {
	for _, change := range []string{"same owner", "next owner"} {
		t.Run(change, func(t *testing.T) {
			w, _ := newOldCluster(t, 2)
			w.pass(10 * time.Second)
			w.cycle()
			for _, b := range w.minions {
				w.restartBehind(b)
				w.writeRow(b)
			}
			w.cycle()
			w.submit(newJob("a", tasks(1, 1000)))
			w.cycle()
			assert.Equal(t, w.running(), 1)
			b := w.busiest()
			placed := w.now
			b.up = false // cut off; checkStart fails if its run is there when the next one begins
			if change == "next owner" {
				w.takeOver()
			}
			var again time.Duration
			for w.now.Sub(placed) < 20*time.Second && again == 0 {
				w.pass(simTick)
				w.cycle()
				for _, o := range w.minions {
					if o != b && len(o.runs) > 0 {
						again = w.now.Sub(placed)
					}
				}
			}
			assert.Assert(t, again > w.limits.MaxLease && again < w.limits.MaxLease+time.Second, "started again after %v", again)
		})
	}
}

// Lasting work goes where it would start again soonest.
func TestLastingTaskAvoidsLeasesOfAFormerLife(t *testing.T) {
	w, _ := newOldCluster(t, 2)
	w.pass(10 * time.Second)
	w.cycle()
	b := w.minions[0]
	w.restartBehind(b)
	w.writeRow(b)
	w.cycle()
	w.submit(newJob("a", lastingTasks(1)))
	w.cycle()
	assert.Equal(t, w.running(), 1)
	assert.Equal(t, len(b.runs), 0)
}

// The longer wait is only for minions whose former life was called.
func TestNewMinionHasNoLeasesOfAFormerLife(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	for _, b := range w.minions {
		assert.Assert(t, o.st.record.has(b.Incarnation))
		assert.Assert(t, o.st.record.strayEnd(b.Incarnation).IsZero())
	}
	next := w.takeOver()
	w.cycle()
	for _, b := range w.minions {
		assert.Assert(t, next.st.record.strayEnd(b.Incarnation).IsZero(), "the former owner has recorded it")
	}
	b := w.minions[0]
	b.crash()
	w.replace(b)
	w.cycle()
	fresh := w.minions[2]
	assert.Assert(t, next.st.record.has(fresh.Incarnation))
	assert.Assert(t, next.st.record.strayEnd(fresh.Incarnation).IsZero())
}

// A call that asks for a lease in the past gives none.
func TestClockAheadOfAllLeasesMeansNoLeaseOfTheFormerLife(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	b := w.minions[0]
	w.restartWith(b, b.clock()+time.Hour.Milliseconds())
	w.cycle()
	assert.Assert(t, o.st.record.has(b.Incarnation))
	assert.Assert(t, o.st.record.strayEnd(b.Incarnation).IsZero())
}

// No lease is sent before the record of its minion is durable, or the next owner
// would take a later life for one that was never called.
func TestNoLeaseBeforeItsMinionIsRecorded(t *testing.T) {
	w := newSimCluster(t, 1)
	o := w.takeOver()
	b := w.minions[0]
	o.renew(b)
	o.step()
	n, ok := o.st.NextRenewal(w.now, b.Incarnation)
	assert.Assert(t, ok && n.Until == 0 && n.Closed, "%+v", n)
	o.commit(true)
	n, ok = o.st.NextRenewal(w.now, b.Incarnation)
	assert.Assert(t, ok && n.Until > 0 && !n.Closed, "%+v", n)
}

// An owner after one that kept no record takes every minion for one that was called in
// a former life, until no call of that owner can be in flight.
func TestMissingRecordMeansThatLeasesOfFormerLivesCount(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	w.called, w.recorded = map[string]table.Row{}, false // as former versions leave it
	next := w.takeOver()
	w.cycle()
	assert.Assert(t, !next.st.record.strayEnd(w.minions[0].Incarnation).IsZero())
	w.cycle()
	assert.Assert(t, !w.recorded)
	w.pass(40 * time.Second)
	w.cycle()
	w.cycle()
	assert.Assert(t, w.recorded)
}

func TestUnreadableRecordIsReported(t *testing.T) {
	_, o := newOwnedCluster(t, 1)
	assert.ErrorContains(t, o.st.LoadCalled([]table.Row{{Value: []byte("{")}}, true), "decode called incarnations")
	assert.Assert(t, !o.st.record.complete)
}

// A minion that was forgotten gets a higher token when it is back: orders of before
// may be in flight, and one that is carried out would refuse all later ones.
func TestForgottenMinionGetsAHigherToken(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	b := w.minions[0]
	o.st.minions[b.ID].token += 5
	used := o.st.minions[b.ID].token
	b.up, b.crashedAt = false, w.now
	delete(w.minionRows, b.ID)
	o.st.UnlistMinion(w.now, b.ID)
	for range 200 {
		w.pass(simTick)
		w.cycle()
		if o.st.minions[b.ID] == nil {
			break
		}
	}
	assert.Assert(t, o.st.minions[b.ID] == nil)
	b.crashedAt = time.Time{}
	b.restart()
	w.writeRow(b)
	assert.Assert(t, o.st.minions[b.ID].token > used)
	w.cycle()
	assert.Assert(t, o.st.record.has(work.Incarnation{ID: b.ID, Born: b.Born}))
}
