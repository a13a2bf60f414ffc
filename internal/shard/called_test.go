package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/table"
)

// Lasting work goes where it would start again soonest.
func TestLastingTaskAvoidsLeasesOfAFormerLife(t *testing.T) {
	w, _ := newOldCluster(t, 2)
	b := w.minions[0]
	w.restartWith(b, b.clock()-60_000)
	w.cycle()
	w.submit(newJob("a", lastingTasks(1)))
	w.cycle()
	assert.Equal(t, w.running(), 1)
	assert.Equal(t, len(b.runs), 0)
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
	late := next.st.lateEnd(next.st.formerEnd)
	w.pass(late.Sub(w.now) - time.Second)
	w.cycle()
	w.cycle()
	assert.Assert(t, !w.recorded)
	w.pass(2 * time.Second)
	w.cycle()
	w.cycle()
	assert.Assert(t, w.recorded)
}

func TestUnreadableRecordIsReported(t *testing.T) {
	_, o := newOwnedCluster(t, 1)
	assert.ErrorContains(t, o.st.LoadCalled([]table.Row{{Value: []byte("{")}}, true), "decode called incarnations")
	assert.Assert(t, !o.st.record.complete)
}
