package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endsWhileNobodyAsks is a cluster whose runs have all ended unnoticed, more of them on a
// minion than it lists at a time.
func endsWhileNobodyAsks(t *testing.T) *simCluster {
	t.Helper()
	w, _ := newOldCluster(t, 2)
	w.submit(newJob("a", tasks(8*endsListed, 100)))
	w.cycle()
	assert.Equal(t, w.running(), 8*endsListed)
	w.finishAll()
	return w
}

// Guards against LOST: an owner that followed another read the first ends of a minion
// again and again. A run whose fate was open kept them from being discarded, and a list that was
// full kept that run's fate open.
func TestNextOwnerReadsEndsThatAreListedInPages(t *testing.T) {
	w := endsWhileNobodyAsks(t)
	w.takeOver()
	w.work(time.Second)
	assert.Equal(t, w.state("a"), Completed)
	for _, b := range w.minions {
		assert.Equal(t, len(b.ends), 0, "%s lists ends that were read", b.ID)
	}
}

// The same over two changes of owner in a row, and where a start had no reply.
func TestLaterOwnersReadEndsThatAreListedInPages(t *testing.T) {
	w := endsWhileNobodyAsks(t)
	w.takeOver()
	w.cycle()
	w.takeOver()
	w.work(time.Second)
	assert.Equal(t, w.state("a"), Completed)
}

// The same for an owner whose own start had no reply, and never began.
func TestStartWithoutReplyDoesNotHoldUpEndsThatAreListedInPages(t *testing.T) {
	w := endsWhileNobodyAsks(t)
	o := w.owners[0]
	w.submit(newJob("b", tasks(1, 1000)))
	o.step()
	o.commit(true)
	assert.Equal(t, len(w.inFlight), 1)
	w.inFlight[0].lose()
	w.inFlight = nil
	w.work(time.Second)
	assert.Equal(t, w.state("a"), Completed)
	assert.Equal(t, w.running(), 1)
}

// Guards against LOST: a minion to which some start was always in flight never got leave to
// discard ends, until its list was full and its owner heard of no other end.
func TestMinionThatAlwaysHasAStartInFlightDiscardsEnds(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	b := w.minions[0]
	const (
		replyTime = 6 // ticks until a start arrives
		// jobs that come while starts are held back, start together after that, and end
		maxEnds = 4 * (int(maxAckHold/simTick) + replyTime)
	)
	due := map[int][]pendingOrder{}
	for tick := range 200 {
		small := tasks(1, 10)
		small.Size.Mem = 10
		w.submit(newJob(fmt.Sprint("j", tick), small))
		w.pass(simTick)
		o.renew(b)
		o.step()
		o.commit(true)
		due[tick+replyTime], w.inFlight = w.inFlight, nil
		for _, f := range due[tick] {
			f.deliver()
		}
		w.finishAll()
		assert.Assert(t, len(b.ends) <= maxEnds, "%d ends after %d ticks", len(b.ends), tick)
	}
}
