package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// newOwnedCluster returns a cluster of n minions with one owner that knows them.
func newOwnedCluster(t *testing.T, n int) (*simCluster, *simOwner) {
	w := newSimCluster(t, n)
	o := w.takeOver()
	w.cycle()
	return w, o
}

func TestStepsRunInOrder(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	second := tasks(2, 1000)
	second.After = []int{0}
	w.submit(newJob("a", tasks(3, 1000), second))
	w.cycle()
	assert.Equal(t, w.running(), 3)
	assert.Equal(t, w.state("a"), Active)
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.running(), 2)
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.state("a"), Completed)
	assert.Equal(t, w.running(), 0)
}

func (w *simCluster) running() int {
	n := 0
	for _, b := range w.minions {
		n += len(b.runs)
	}
	return n
}

func TestRoomIsNeverExceeded(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(30, 1500)))
	for range 20 {
		w.cycle()
		assert.Assert(t, w.running() <= 4)
		w.finishAll()
	}
	w.cycle()
	assert.Equal(t, w.state("a"), Completed)
}

func TestStartIsNotSentToAMinionThatHasShrunk(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(2, 2000)))
	o.step()
	w.resize(w.minions[0], 3000)
	w.writeRow(w.minions[0])
	o.commit(true)
	w.deliver(len(w.inFlight))
	assert.Equal(t, w.running(), 1)
	w.cycle()
	assert.Equal(t, w.running(), 1)
	w.resize(w.minions[0], 4000)
	w.writeRow(w.minions[0])
	w.cycle()
	assert.Equal(t, w.running(), 2)
}

func TestRunsThatAreStoppedCountAfterAShrink(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(3, 1000)))
	w.cycle()
	w.resize(w.minions[0], 2000)
	w.writeRow(w.minions[0])
	w.submit(newJob("b", tasks(1, 1000)))
	w.cancelled["a"] = true
	o.st.Cancel(w.now, "a")
	o.step()
	o.commit(true)
	assert.Equal(t, w.running(), 3)
	assert.Equal(t, len(w.inFlight), 3, "three stops and no start")
	w.deliver(3)
	w.cycle()
	assert.Equal(t, w.running(), 1)
}

func TestStartWithoutAnswerIsSettledByAToken(t *testing.T) {
	for _, ran := range []bool{true, false} {
		w, o := newOwnedCluster(t, 2)
		w.submit(newJob("a", tasks(1, 1000)))
		o.step()
		b := *o.batch
		o.commit(true)
		assert.Equal(t, len(w.inFlight), 1)
		late := w.inFlight[0]
		w.inFlight = nil
		if ran {
			size := work.Size{CPU: 1000, Mem: 100}
			x := b.Starts[0]
			assert.Assert(t, o.st.minions[x.Minion.ID].runs[runKey{x.Start.Task, 1}] != nil)
			x.Start.Token, x.Start.Until = o.st.minions[x.Minion.ID].token, w.minion(x.Minion.ID).clock()+60_000
			w.minion(x.Minion.ID).start(x.Minion.Incarnation, x.Start, size, w.now)
		}
		x := b.Starts[0]
		x.Start.Token = o.st.minions[x.Minion.ID].token
		o.loseReply(x)
		w.pass(2 * time.Second)
		w.cycle()
		assert.Equal(t, w.running(), 1)
		late.deliver() // arrives late: the token, or the run that exists, refuses it
		w.cycle()
		assert.Equal(t, w.running(), 1)
	}
}

func TestSuccessorKeepsWhatRuns(t *testing.T) {
	w, _ := newOwnedCluster(t, 3)
	w.submit(newJob("a", tasks(6, 1000)))
	w.cycle()
	assert.Equal(t, w.running(), 6)
	w.takeOver()
	w.cycle()
	assert.Equal(t, w.running(), 6)
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.state("a"), Completed)
}

func TestSuccessorWaitsForAMinionItCannotReach(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(4, 2000)))
	w.cycle()
	assert.Equal(t, w.running(), 4)
	out := w.minions[0]
	n := len(out.runs)
	out.up = false // cut off, but it keeps running
	w.takeOver()
	w.cycle()
	w.pass(3 * time.Second)
	out.up = true
	out.tick()
	out.up = false
	w.finishOn(w.minions[1])
	w.cycle()
	assert.Equal(t, len(w.minions[1].runs), 0, "tasks of the unreachable minion must wait for its lease")
	w.pass(10 * time.Second)
	w.cycle()
	assert.Equal(t, len(w.minions[1].runs), n)
}

func (w *simCluster) finishOn(b *simMinion) {
	for k := range b.runs {
		b.end(k, work.Done)
	}
}

func TestLapsedRunsStartElsewhere(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(2, 2000)))
	w.cycle()
	out := w.minions[0]
	if len(out.runs) == 0 {
		out = w.minions[1]
	}
	out.up = false
	for range 80 {
		w.pass(100 * time.Millisecond)
		w.cycle()
	}
	n := 0
	for _, b := range w.minions {
		if b.up {
			n += len(b.runs)
		}
	}
	assert.Equal(t, n, 2)
}

func TestRebornMinionHasLostItsRuns(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(2, 1000)))
	w.cycle()
	w.pass(time.Second)
	w.minions[0].restart()
	assert.Equal(t, w.running(), 0)
	w.cycle()
	w.cycle()
	assert.Equal(t, w.running(), 0, "the row of the new incarnation has not been read yet")
	w.pass(rowInterval)
	w.cycle()
	assert.Equal(t, w.running(), 2)
	assert.Assert(t, o.st.minions["m0"].token > w.term*tokensPerTerm, "a new incarnation gets a higher token")
}

func TestFailuresEndAJob(t *testing.T) {
	w, o := newOwnedCluster(t, 3)
	w.submit(newJob("a", tasks(1, 1000), tasks(2, 500)))
	for range 3 {
		w.cycle()
		for _, b := range w.minions {
			for k := range b.runs {
				if k.task.Step == 0 {
					b.end(k, work.Failed)
				}
			}
		}
		w.cycle()
		w.pass(10 * time.Second)
		for _, b := range w.minions {
			o.renew(b)
		}
	}
	w.cycle()
	w.cycle()
	assert.Equal(t, w.state("a"), JobFailed)
	assert.Equal(t, w.running(), 0)
}

func TestCancelStopsEverything(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(4, 1000)))
	w.cycle()
	assert.Equal(t, w.running(), 4)
	w.cancelled["a"] = true
	o.st.Cancel(w.now, "a")
	w.cycle()
	assert.Equal(t, w.running(), 0)
	assert.Equal(t, w.state("a"), Cancelled)
	w.takeOver()
	w.cycle()
	assert.Equal(t, w.state("a"), Cancelled)
}

func TestGangStartsWhole(t *testing.T) {
	w, _ := newOwnedCluster(t, 3)
	gang := tasks(3, 4000)
	gang.Gang = true
	w.submit(newJob("small", tasks(1, 100)))
	w.cycle()
	w.submit(newJob("gang", gang))
	w.cycle()
	assert.Equal(t, w.running(), 1, "the gang does not fit yet")
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.running(), 3)
	w.finishOn(w.minions[0]) // one end stands for all
	for range 2 {
		w.cycle()
	}
	assert.Equal(t, w.state("gang"), Completed)
}

func TestGangIsPlacedAnewAsAWhole(t *testing.T) {
	w, _ := newOwnedCluster(t, 3)
	gang := tasks(3, 4000)
	gang.Gang = true
	w.submit(newJob("gang", gang))
	w.cycle()
	b := w.minions[1]
	for k := range b.runs {
		b.end(k, work.Failed)
	}
	w.cycle()
	w.cycle()
	attempts := map[int]int{}
	for _, b := range w.minions {
		for k := range b.runs {
			attempts[k.attempt]++
		}
	}
	assert.DeepEqual(t, attempts, map[int]int{2: 3})
}

func TestLastingTasksAreKeptUp(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	p := tasks(3, 1000)
	p.Lasting = true
	w.submit(newJob("svc", p))
	for range 5 {
		w.cycle()
		w.cycle()
		assert.Equal(t, w.running(), 3)
		for _, b := range w.minions {
			for k := range b.runs {
				b.end(k, work.Failed)
			}
			break
		}
		w.pass(9 * time.Second / 10)
		w.cycle()
		w.pass(9 * time.Second / 10)
	}
	assert.Equal(t, w.state("svc"), Active)
}

func TestOccurrencesBeginWhenDue(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	j := newJob("a", tasks(1, 100))
	j.First, j.Every, j.Times = w.now.Add(time.Second).UnixMilli(), 2*time.Second, 2
	w.submit(j)
	w.cycle()
	assert.Equal(t, w.running(), 0)
	w.pass(1100 * time.Millisecond)
	w.cycle()
	assert.Equal(t, w.running(), 1)
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.state("a"), Active)
	w.takeOver()
	w.pass(2 * time.Second)
	w.cycle()
	assert.Equal(t, w.running(), 1)
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.state("a"), Completed)
}

func TestStartThatReachesTheNextLifeIsFound(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(1, 1000)))
	o.step()
	o.commit(true)
	assert.Equal(t, len(w.inFlight), 1)
	f := w.inFlight[0]
	w.pass(time.Second)
	f.to.restart()
	f.to.clockStart = 0 // the deadline lies ahead
	f.deliver()         // before the owner knows of the new incarnation
	assert.Equal(t, w.running(), 1)
	w.inFlight = nil
	o.st.UpdateMinion(w.now, f.to.Minion, w.now)
	for range 3 {
		w.cycle()
		assert.Equal(t, w.running(), 1)
	}
	assert.Equal(t, len(f.to.runs), 1, "the run stays on its minion")
}

func TestJobHasNotBegunBeforeARunHas(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(1, 1000)))
	o.step()
	o.commit(true)
	w.inFlight = nil // the start is never delivered
	assert.Assert(t, !o.st.jobs["a"].begun)
	w.takeOver()
	o = w.owners[1]
	assert.Assert(t, !o.st.jobs["a"].begun)
	w.cycle()
	w.cycle()
	assert.Equal(t, w.running(), 1)
	assert.Assert(t, o.st.jobs["a"].begun)
}

// A run succeeds while its minion is cut off and is reported only after its
// lease has ended. The task is finished and must not run again.
func TestDoneDuringACutCountsAfterTheLease(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	second := tasks(1, 1000)
	second.After = []int{0}
	w.submit(newJob("a", tasks(2, 1000), second))
	w.cycle()
	out := w.minions[0]
	assert.Equal(t, len(out.runs), 2)
	out.up = false
	w.cycle()
	w.finishOn(out)
	w.pass(w.limits.Lease + time.Second)
	w.cycle()
	out.up = true
	w.cycle()
	assert.Equal(t, len(out.runs), 1)
	for k := range out.runs {
		assert.Equal(t, k.task.Step, 1, "the first step is finished")
	}
}

// As above, but the task has been started again in the meantime.
func TestDoneDuringACutEndsTheRunAfterIt(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	out, other := w.minions[0], w.minions[1]
	if len(out.runs) == 0 {
		out, other = other, out
	}
	out.up = false
	w.cycle()
	w.finishOn(out)
	w.pass(w.limits.Lease + time.Second)
	w.cycle()
	assert.Equal(t, len(other.runs), 1)
	out.up = true
	w.cycle()
	w.cycle()
	assert.Equal(t, w.state("a"), Completed)
	assert.Equal(t, w.running(), 0)
}

func speculativeTasks(n int, cpu int64) work.Step {
	p := tasks(n, cpu)
	p.Speculative = true
	return p
}

// A refused member of a gang is started again, on the same minion or elsewhere,
// while the other members wait for it.
func TestRefusedMemberOfAGangIsStartedAgain(t *testing.T) {
	w, _ := newOwnedCluster(t, 3)
	p := tasks(3, 3000)
	p.Gang = true
	w.submit(newJob("a", p))
	w.minions[1].refusals = 1
	w.cycle()
	w.cycle()
	assert.Equal(t, w.running(), 3)
	for _, b := range w.minions {
		for k := range b.runs {
			assert.Equal(t, k.attempt, 1, "no member was stopped")
		}
	}
}

// A gang whose missing member cannot be started in time is given up as a whole.
func TestGangThatStaysShortIsGivenUp(t *testing.T) {
	w, _ := newOwnedCluster(t, 3)
	p := tasks(3, 3000)
	p.Gang = true
	w.submit(newJob("a", p))
	w.minions[1].refusals = 1000
	for range 30 {
		w.cycle()
		w.pass(100 * time.Millisecond)
	}
	w.minions[1].refusals = 0
	w.pass(maxPause)
	for range 4 {
		w.cycle()
		w.pass(stopRetryInterval)
	}
	assert.Equal(t, w.running(), 3)
	for _, b := range w.minions {
		for k := range b.runs {
			assert.Assert(t, k.attempt > 1)
		}
	}
}

// drain marks a minion as draining and notifies the newest owner.
func (w *simCluster) drain(b *simMinion, left time.Duration) {
	b.Draining, b.Remaining = true, left
	w.writeRow(b)
}
