package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against TWICE: an owner knew that a minion had restarted and that a start in
// flight may have reached its next life, which had not answered. The next owner took
// that run for one whose leases had all been sent by its former owner.
func TestNextOwnerWaitsForALateStart(t *testing.T) {
	w, o := newOldCluster(t, 2)
	w.pass(10 * time.Second)
	w.cycle()
	w.submit(newJob("a", tasks(1, 1000)))
	o.step()
	o.commit(true)
	assert.Equal(t, len(w.inFlight), 1)
	b := w.inFlight[0].to
	w.now = w.now.Add(time.Millisecond)
	clock := b.clock()
	b.restart()
	b.clockStart = clock - 60_000
	w.deliver(1)
	assert.Equal(t, len(b.runs), 1)
	w.writeRow(b)
	o.renewRestart(b.Incarnation, b)
	assert.Equal(t, o.st.minions[b.ID].Incarnation, b.Incarnation)
	o.step()
	o.commit(true)
	b.up = false // cut off
	w.takeOver()
	for range 400 {
		w.pass(simTick)
		w.cycle() // checkStart fails if the run is there when the next one begins
	}
}
