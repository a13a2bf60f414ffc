package shard

import (
	"fmt"
	"testing"
	"time"

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

// Minions that fall silent for a moment, again and again, had all their runs copied each
// time, although these ended well.
func TestNeedlessCopiesHaveNoBound(t *testing.T) {
	const minions = 40
	w, o := newOwnedCluster(t, minions)
	for i := range minions {
		w.submit(newJob(fmt.Sprint("j", i), speculativeTasks(3, 1000)))
	}
	w.cycle()
	starts := w.running()
	for range 20 {
		for _, b := range w.minions {
			o.st.HandleNoReply(w.now, b.Incarnation)
		}
		w.pass(checkInterval)
		o.step()
		w.pass(300 * time.Millisecond)
		for _, b := range w.minions {
			o.renew(b)
		}
		w.finishAll()
		w.cycle()
	}
	most := max(minCopyBurst, copyBurstShare*minions) + copiesPerStart*float64(starts)
	assert.Check(t, float64(o.st.Activity().Copies) <= most, "%d copies", o.st.Activity().Copies)
	assert.Check(t, o.st.Activity().CopyDelay > 0)
}

// Copies that are needed give back what they take of the budget.
func TestNeededCopiesAreNotUsedUp(t *testing.T) {
	var b copyBudget
	for range 10 * minCopyBurst {
		assert.Assert(t, b.take(1))
		b.needed()
	}
	for range minCopyBurst {
		assert.Assert(t, b.take(1))
	}
	assert.Assert(t, !b.take(1), "none of them was needed")
	for range int(1/copiesPerStart) + 1 {
		b.allow()
	}
	assert.Assert(t, b.take(1), "first starts allow for more")
}
