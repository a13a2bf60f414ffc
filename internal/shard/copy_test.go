package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

func TestCopyStartsWhenAMinionFallsSilent(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", speculativeTasks(1, 1000)), newJob("b", tasks(1, 1000)))
	w.cycle()
	out, other := w.minions[0], w.minions[1]
	if len(out.runs) == 0 {
		out, other = other, out
	}
	assert.Equal(t, len(out.runs), 2, "both tasks are placed on one minion: %v", out.runs)
	out.up = false
	w.cycle()
	w.cycle()
	assert.Equal(t, len(other.runs), 1, "only the speculative task starts again")
	w.finishOn(other)
	w.cycle()
	assert.Equal(t, w.state("a"), Completed)
	out.up = true
	w.pass(stopRetryInterval) // the first stop did not reach it
	w.cycle()
	w.cycle()
	assert.Equal(t, len(out.runs), 1, "the first run of the finished task is stopped")
}

func TestFirstRunThatEndsCounts(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", speculativeTasks(1, 1000)))
	w.cycle()
	out, other := w.minions[0], w.minions[1]
	if len(out.runs) == 0 {
		out, other = other, out
	}
	out.up = false
	w.cycle()
	w.cycle()
	assert.Equal(t, len(other.runs), 1)
	w.finishOn(out)
	out.up = true
	w.cycle()
	assert.Equal(t, w.state("a"), Completed)
	w.cycle()
	assert.Equal(t, w.running(), 0)
}

func TestCancelStopsCopies(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", speculativeTasks(1, 1000)))
	w.cycle()
	out := w.minions[0]
	if len(out.runs) == 0 {
		out = w.minions[1]
	}
	out.up = false
	w.cycle()
	w.cycle()
	out.up = true
	w.cycle()
	assert.Equal(t, w.running(), 2)
	w.cancelled["a"] = true
	o.st.Cancel(w.now, "a")
	w.cycle()
	assert.Equal(t, w.running(), 0)
}

func TestFailedCopiesCount(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	j := newJob("a", speculativeTasks(1, 1000))
	j.Attempts = 2
	w.submit(j)
	w.cycle()
	out, other := w.minions[0], w.minions[1]
	if len(out.runs) == 0 {
		out, other = other, out
	}
	out.up = false
	w.cycle()
	w.cycle()
	for _, b := range []*simMinion{out, other} {
		for k := range b.runs {
			b.end(k, work.Failed)
		}
	}
	out.up = true
	w.cycle()
	assert.Equal(t, w.state("a"), JobFailed)
}

// A failure that the previous owner has counted but not acknowledged is reported
// again to its successor, and must not be counted twice.
func TestFailureOfACopyCountsOnce(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	j := newJob("a", speculativeTasks(1, 1000))
	j.Attempts = 2
	w.submit(j)
	w.cycle()
	for _, b := range w.minions {
		for k := range b.runs {
			b.end(k, work.Failed)
		}
		o.renew(b)
	}
	o.step()
	o.commit(true)
	w.deliver(len(w.inFlight))
	w.takeOver()
	w.cycle()
	assert.Equal(t, w.state("a"), Active)
	assert.Equal(t, w.running(), 1)
}
