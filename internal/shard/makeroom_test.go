package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

func lastingStep(n int, cpu int64) work.Step {
	st := tasks(n, cpu)
	st.Lasting = true
	return st
}

func longTasks(n int, cpu int64) work.Step {
	st := tasks(n, cpu)
	st.Estimate = time.Minute
	return st
}

// lastingPair is a gang that lasts, with its two tasks on different minions.
func lastingPair() work.Step {
	st := lastingStep(2, 1900)
	st.PerMinion, st.Gang = 1, true
	return st
}

// evictions counts the notes about evictions so far.
func (l *loadedOwner) evictions() int { return len(notesOf(l.simOwner, RunEvicted)) }

// Fill tasks reserve no CPU, so to stop them does not help a task that lacks CPU.
func TestEvictionStopsOnlyWhatFreesTheRoomThatIsLacking(t *testing.T) {
	l := newLoadedOwner(t, 1, "m0")
	fill := longTasks(3, 500)
	fill.Fill = true
	l.cluster.submit(newJob("fill", fill), newJob("long", longTasks(1, 3500)))
	l.run(time.Second)
	assert.Equal(t, l.cluster.running(), 4)
	l.cluster.submit(newJob("a", lastingStep(1, 3000)))
	l.run(3 * time.Second)
	assert.Equal(t, l.runsOf("a"), 1)
	for _, why := range l.st.Notes {
		if why.What == RunEvicted {
			assert.Equal(t, why.Job, "long")
		}
	}
}

// The cheapest first, although the one that is big enough has to go anyway.
func TestEvictionKeepsRunsThatAnotherStopMakesNeedless(t *testing.T) {
	l := newLoadedOwner(t, 1, "m0")
	l.cluster.submit(newJob("big", longTasks(1, 3000)))
	l.run(time.Second)
	l.cluster.submit(newJob("small", longTasks(2, 500)))
	l.run(time.Second)
	assert.Equal(t, l.cluster.running(), 3)
	l.cluster.submit(newJob("a", lastingStep(1, 3000)))
	l.run(3 * time.Second)
	assert.Equal(t, l.runsOf("a"), 1)
	assert.Equal(t, l.evictions(), 1)
}

// One task is within the allowance, and starves.
func TestStepPartlyWithinItsAllowanceMakesRoom(t *testing.T) {
	l := newLoadedOwner(t, 2, "m0", "m1")
	limitAccount(l.simOwner, work.Account{Name: "x", Weight: 1, Limit: work.Size{CPU: 8000}}, 3000)
	l.cluster.submit(newJob("long", longTasks(2, 3500)))
	l.run(time.Second)
	l.cluster.submit(jobOf("x", "a", lastingStep(2, 3000)))
	l.run(8 * time.Second)
	assert.Equal(t, l.runsOf("a"), 1)
}

// Work that may wait makes room for a gang that lasts, too.
func TestGangThatLastsDoesNotWaitForLongWorkToEnd(t *testing.T) {
	for _, lost := range []bool{true, false} {
		l := newLoadedOwner(t, 3, "m0", "m1", "m2")
		st := lastingPair()
		long := newJob("long", longTasks(3, 2050))
		if lost {
			l.settle(newJob("a", st), nil)
			l.cluster.submit(long)
			l.run(2 * time.Second)
			assert.Equal(t, l.cluster.running(), 5)
			more := newJob("more", longTasks(1, 1900))
			l.cluster.submit(more)
			l.run(2 * time.Second)
			assert.Equal(t, l.cluster.running(), 6)
			l.loseSilently(l.hosts("a")[0])
		} else {
			l.cluster.submit(newJob("long", longTasks(3, 3500)))
			l.run(2 * time.Second)
			l.cluster.submit(newJob("a", st))
		}
		l.run(20 * time.Second)
		if n := l.runsOf("a"); n != 2 {
			t.Errorf("lost %v: %d runs, away for %v, %d evictions", lost, n, l.longest["a"], l.evictions())
		}
	}
}

// While the members of a gang end one after the other, the room reserved for it
// is kept.
func TestGangThatMovesKeepsItsReservation(t *testing.T) {
	for _, cause := range []string{"drain", "loss"} {
		for _, other := range []time.Duration{200 * time.Millisecond, 600 * time.Millisecond} {
			l := newLoadedOwner(t, 4, "m0", "m1", "m2")
			st := lastingPair()
			l.settle(advisedJob("a", st), func(n int) *work.Job {
				j := smallTasks(n)
				j.Steps[0].Estimate *= 4
				return j
			})
			out := l.cluster.minion(l.hosts("a")[0])
			p := l.st.jobs["a"].rounds[0].steps[0]
			if cause == "drain" {
				l.cluster.drain(out, 6*time.Second)
			} else {
				l.loseSilently(out.ID)
			}
			most, kept, delayed := 0, 9, false
			for range 400 {
				l.run(simTick)
				if p.waiting == 0 {
					most = max(most, len(p.reservations))
				} else if p.waiting == 1 {
					kept = min(kept, len(p.reservations))
				}
				if !delayed && (l.st.stoppingRuns(p) == 2 || p.waiting == 1) {
					delayed = true // the stop of the member that stays takes longer
					for i := len(l.later) - 1; i >= 0; i-- {
						if l.later[i].at.Equal(l.cluster.now.Add(l.stopTime)) {
							l.later[i].at = l.later[i].at.Add(other)
							break
						}
					}
				}
			}
			t.Logf("%s, other member %v later: at most %d reserved before, at least %d kept, away %v, %d evictions", cause, other, most, kept, l.longest["a"], l.evictions())
			if kept == 0 {
				t.Errorf("%s %v: the reservation was cancelled while the gang ends", cause, other)
			}
		}
	}
}

// A minion with a stale row can't be used, so its room is no reason to make none
// elsewhere.
func TestReservationOnAMinionWithAStaleRow(t *testing.T) {
	l := newLoadedOwner(t, 2, "m0", "m1")
	l.cluster.submit(newJob("long", longTasks(1, 3500)))
	l.run(time.Second)
	var empty *simMinion
	for _, b := range l.cluster.minions {
		if len(b.runs) == 0 {
			empty = b
		}
	}
	r := l.cluster.minionRows[empty.ID]
	r.writtenAt = l.cluster.now.Add(time.Hour) // it does not reach the store, but answers
	l.cluster.minionRows[empty.ID] = r
	l.run(5 * time.Second)
	l.cluster.submit(newJob("a", lastingStep(1, 3000)))
	l.run(8 * time.Second)
	assert.Equal(t, l.runsOf("a"), 1)
}

// A task that still runs holds the room for one that is away.
func TestAbsentTaskGoesBeforeOneThatStillRuns(t *testing.T) {
	l := newLoadedOwner(t, 3, "m0", "m1", "m2")
	l.cluster.submit(newJob("long", longTasks(1, 3000)))
	l.run(time.Second)
	l.settle(newJob("a", lastingStep(1, 3000)), nil)
	l.settle(newJob("b", lastingStep(1, 3000)), nil)
	assert.Equal(t, l.cluster.running(), 3)
	l.cluster.drain(l.cluster.minion(l.hosts("a")[0]), 30*time.Second)
	l.run(time.Second)
	l.loseSilently(l.hosts("b")[0])
	l.run(20 * time.Second)
	t.Logf("away: a %v, b %v", l.longest["a"], l.longest["b"])
	assert.Assert(t, l.longest["b"] <= lossTarget, "b away for %v, a has run all the time on a minion with 9 s left: %d", l.longest["b"], l.runsOf("a"))
}

// A task that is held back needs no room yet.
func TestHeldTaskEvictsNothing(t *testing.T) {
	l := newLoadedOwner(t, 1, "m0")
	l.cluster.submit(newJob("long", longTasks(1, 3500)))
	l.run(time.Second)
	l.cluster.submit(newJob("a", lastingStep(1, 3000)))
	l.st.beginRounds(l.cluster.now)
	c := l.st.jobs["a"].rounds[0].steps[0].tasks[0]
	c.crash.Suspect, c.unsettled = true, 1
	assert.Assert(t, c.held())
	l.run(4 * time.Second)
	assert.Equal(t, l.evictions(), 0)
}

// An absence outlasts its owner also while the next start is on its way.
func TestAbsenceOfAPlacedTaskOutlastsItsOwner(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", lastingTasks(1)))
	w.cycle()
	w.busiest().crash()
	for range 200 {
		w.pass(simTick)
		for _, b := range w.minions {
			o.renew(b)
		}
		o.step()
		o.commit(true)
		if len(w.inFlight) > 0 {
			break // the second start is on its way
		}
	}
	assert.Equal(t, len(w.inFlight), 1)
	assert.Equal(t, len(o.st.absences), 1)
	w.inFlight = nil // it is lost
	o = w.takeOver()
	for range 160 {
		w.pass(simTick)
		w.cycle()
	}
	assert.Equal(t, w.running(), 1)
	assert.Equal(t, len(o.st.Absences), 1)
	assert.Assert(t, o.st.Absences[0].Took > 4*time.Second, "%v", o.st.Absences[0].Took)
}

// A row that is read again does not let the minion stay for longer.
func TestRowReadAgainDoesNotPostponeTheEndOfADrain(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.drain(w.minions[0], 3*time.Second)
	m := o.st.minions["m0"]
	leaves := m.leavesAt
	row, written := w.minionRows["m0"].Minion, w.now
	w.now = w.now.Add(2 * time.Second)
	o.st.UpdateMinion(w.now, row, written)
	assert.Assert(t, !m.leavesAt.After(leaves), "later by %v", m.leavesAt.Sub(leaves))
}

// A change of owner at any time after a loss.
func TestLossAndChangeOfOwner(t *testing.T) {
	for ms := 0; ms <= 9000; ms += 250 {
		l := newLoadedOwner(t, 3, "m0", "m1", "m2")
		l.stopTime = 400 * time.Millisecond
		j := advisedJob("a", lastingStep(1, 3000))
		j.Advice.Decide = 600 * time.Millisecond
		l.settle(j, nil)
		l.cluster.submit(newJob("long", longTasks(2, 3500)))
		l.run(2 * time.Second)
		l.loseSilently(l.hosts("a")[0])
		l.run(time.Duration(ms) * time.Millisecond)
		l.later = nil
		l.simOwner = l.cluster.takeOver()
		l.run(15 * time.Second)
		if l.longest["a"] > lossTarget {
			t.Errorf("change at %d ms: away for %v", ms, l.longest["a"])
		}
	}
}

// A new owner ends what is left of a gang that was being moved. Minions may do so
// by themselves, which this cluster does not.
func TestGangWhoseMoveOutlastsItsOwnerStartsAgain(t *testing.T) {
	l := newLoadedOwner(t, 3, "m0", "m1", "m2")
	st := lastingPair()
	l.settle(newJob("a", st), nil)
	out := l.cluster.minion(l.hosts("a")[0])
	for k := range out.runs {
		out.end(k, work.Stopped)
	}
	l.run(2 * simTick) // the end is durable, the stop of the other member in flight
	l.later = nil
	l.simOwner = l.cluster.takeOver()
	l.run(20 * time.Second)
	assert.Equal(t, l.runsOf("a"), 2)
}

// A run of the step on the minion counts against its limit there, not against the
// tasks that wait.
func TestStepWithALimitPerMinionReservesBesideItsOwnRuns(t *testing.T) {
	l := newLoadedOwner(t, 1, "m0")
	l.cluster.submit(newJob("long", longTasks(1, 2400)))
	l.run(time.Second)
	st := lastingStep(2, 1500)
	st.PerMinion = 2
	l.cluster.submit(newJob("a", st))
	l.run(8 * time.Second)
	assert.Equal(t, l.runsOf("a"), 2)
}
