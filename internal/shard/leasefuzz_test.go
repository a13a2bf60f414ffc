package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestLeasesHoldThroughChangesOfOwner checks that no task starts while a minion
// that is cut off still runs it, through owners that follow one another, former
// owners that go on, and outages of the store. Unlike TestRunOnce it plays little
// else, so that leases end often.
func TestLeasesHoldThroughChangesOfOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimCluster(rt, 4)
		claim := func() { // by an entry with settings of its own
			w.limits.Lease = time.Duration(rapid.IntRange(2, 9).Draw(rt, "lease")) * time.Second
			w.takeOver()
		}
		claim()
		w.submit(newJob("a", tasks(4, 1000)), newJob("b", lastingTasks(3)))
		w.cycle()
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		for range 120 {
			switch pick("what", 12) {
			case 0, 1:
				b := w.minions[pick("minion", len(w.minions))]
				b.up = !b.up
				w.record("%s reached: %v", b.ID, b.up)
			case 2:
				if !w.storeDown {
					claim()
				}
			case 3:
				w.storeDown = !w.storeDown
				w.record("store down: %v", w.storeDown)
			case 4, 5:
				w.former(pick("owner", len(w.owners)))
			case 6:
				if pick("how many", 3) == 0 {
					w.submit(newJob(fmt.Sprint("j", len(w.jobs)), tasks(1, 1000)))
				}
			default:
				for range 1 + pick("cycles", 20) {
					w.pass(time.Duration(1+pick("ticks", 8)) * simTick)
					w.cycle()
				}
			}
		}
	})
}

// former lets an owner, which may have lost the shard, do what it can.
func (w *simCluster) former(i int) {
	o := w.owners[i]
	for _, b := range w.minions {
		o.renew(b)
	}
	o.step()
	o.commit(!w.storeDown)
	w.deliver(len(w.inFlight))
}
