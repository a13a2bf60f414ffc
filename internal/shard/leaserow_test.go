package shard

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// An owner of a former version, which leaves the lease row alone and promises
// nothing, extends the leases of a minion that the row still lists. The next owner
// must not take that row for what it says.
func TestStaleLeaseRowBehindAFormerVersionIsIgnored(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	b := w.busiest()
	b.up = false
	w.cycle()
	assert.Assert(t, w.leaseRow != nil)
	b.up = true
	row := w.leaseRow // owner 1 is lost here, with the row as it is
	o := w.takeOver() // plays an owner of a former version
	for range 200 {
		w.pass(simTick)
		w.cycle()
		w.leaseRow, w.promise, w.recorded = row, 0, false // it writes no promise and no such row
	}
	assert.Equal(t, w.running(), 1)
	assert.Assert(t, !o.deposed)
	b.up = false // cut off; its lease goes on
	w.takeOver()
	for range 200 {
		w.pass(simTick)
		w.cycle()
	}
}

// A minion without a row has no handler, so that no renewal fails and the row of
// silent minions never lists it: the wait begins anew with each owner.
func TestLostMinionWithoutARowDoesNotWaitAnew(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", lastingTasks(1)))
	w.cycle()
	out := w.busiest()
	out.crash()
	crashed := w.now
	dropRow(w, out)
	for i := 0; w.running() < 1 && w.now.Sub(crashed) < time.Minute; i++ {
		if i%ticksPerOwner == 0 {
			takeOverWithout(w, out)
		}
		w.pass(simTick)
		cycleWithout(w, out)
	}
	took := w.now.Sub(crashed)
	assert.Assert(t, took <= restartTarget, "took %v", took)
}

// ticksPerOwner is after how many ticks an owner follows the last.
const ticksPerOwner = 60

func dropRow(w *simCluster, out *simMinion) { delete(w.minionRows, out.ID) }

func takeOverWithout(w *simCluster, out *simMinion) {
	all := w.minions
	w.minions = without(all, out)
	w.takeOver()
	w.minions = all
}

func without(all []*simMinion, out *simMinion) (kept []*simMinion) {
	for _, b := range all {
		if b != out {
			kept = append(kept, b)
		}
	}
	return kept
}

// cycleWithout is cycle for an owner that has no handler for a minion, since its
// address is not known.
func cycleWithout(w *simCluster, out *simMinion) {
	all := w.minions
	w.minions = without(all, out)
	w.cycle()
	w.minions = all
}

// The row lists a minion that has not answered its new owner. Rows of another
// writer with other births, and then its own again, must not allow its leases to
// be extended while the stored row lists it.
func TestRowsOfAnotherWriterDoNotReopenLeases(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	b := w.busiest()
	b.up = false
	w.cycle()
	o := w.takeOver()
	w.cycle()
	assert.Assert(t, o.st.leaseRow.lists(b.Incarnation))
	forged := b.Minion
	forged.Born = 0 // a row of another writer lacks the field
	o.st.UpdateMinion(w.now, forged, w.now)
	o.st.UpdateMinion(w.now, b.Minion, w.now) // its own next row
	b.up = true
	for range 60 {
		w.pass(simTick)
		w.cycle()
	}
	var listed []savedLease
	assert.NilError(t, json.Unmarshal(w.leaseRow, &listed))
	n, _ := o.st.NextRenewal(w.now, b.Incarnation)
	assert.Assert(t, len(listed) == 0 || n.Until == 0, "extended while the row lists it: %s", w.leaseRow)
}

// The row says that a run meant for the former incarnation of a minion may go on
// for longer than the promise. The next owner must wait for that.
func TestLaterEndInTheLeaseRowCounts(t *testing.T) {
	_, o := newOwnedCluster(t, 1)
	s := New("s", 2, o.cluster.now, o.cluster.limits)
	s.StoreClock = o.st.StoreClock
	promise, _ := s.StoreClock.Latest(o.cluster.now.Add(5 * time.Second))
	s.Inherit(promise)
	m := s.newMinion(work.Minion{Incarnation: work.Incarnation{ID: "x", Born: 7}, Service: "s"})
	until, _ := s.StoreClock.Latest(o.cluster.now.Add(25 * time.Second)) // lateEnd, as the former owner wrote it
	row, err := json.Marshal([]savedLease{{ID: "x", Born: 7, Until: until}})
	assert.NilError(t, err)
	assert.NilError(t, s.LoadLeases(row))
	assert.Assert(t, s.leaseExpiry(m).Sub(o.cluster.now) >= 25*time.Second, "%v", s.leaseExpiry(m).Sub(o.cluster.now))
}

// A new owner after an outage longer than the leases hears what the minions have to
// say before it starts work anew: a failure that it learns of too late does not
// count any more, but its end is acknowledged.
func TestEndsAreHeardBeforeWorkIsGivenUp(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	j := newJob("a", tasks(1, 1000))
	j.Attempts = 1
	w.submit(j)
	w.cycle()
	b := w.busiest()
	for k := range b.runs {
		w.finish(b, k, work.Failed)
	}
	w.pass(10 * time.Second) // nobody owns the shard, or the store is away
	o := w.takeOver()
	o.step() // as owner.run does, before any minion is called
	o.commit(true)
	b.up = false // its first reply takes longer than that of the other
	w.cycle()
	w.pass(simTick)
	w.cycle()
	b.up = true
	w.pass(simTick)
	w.cycle()
	w.pass(simTick)
	w.cycle()
	assert.Equal(t, w.running(), 0, "started again after its only attempt had failed")
	assert.Equal(t, w.state("a"), JobFailed)
}
