package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against TWICE: a start for the former life of a minion is carried out by the
// next one, and a renewal that acknowledges ends of the former one makes the next
// one forget that the run is done. The task must not start again.
func TestLateRenewalForgetsNoEndOfALateStart(t *testing.T) {
	w, o := newOldCluster(t, 2)
	w.submit(newJob("a", tasks(8, 1000)))
	w.cycle()
	w.finishAll()
	for _, b := range w.minions {
		o.renew(b)
	}
	o.step()
	o.commit(true)
	w.submit(newJob("b", tasks(1, 1000)))
	o.step()
	o.commit(true)
	assert.Equal(t, len(w.inFlight), 1)
	b := w.inFlight[0].to
	assert.Assert(t, o.acked[b.Incarnation] > 0)
	late, ok := o.st.NextRenewal(w.now, b.Incarnation)
	assert.Assert(t, ok)
	w.now = w.now.Add(time.Millisecond)
	clock := b.clock()
	b.restart()
	b.clockStart = clock - 60_000
	w.deliver(1)
	assert.Equal(t, w.running(), 1)
	w.finishAll()
	b.handleRenewal("late", late, late.Ack)
	w.writeRow(b)
	for range 10 {
		w.pass(simTick)
		w.cycle() // checkStart fails if the task starts again
	}
}
