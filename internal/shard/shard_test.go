package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// begun returns a world of n minions with one owner that knows them.
func begun(t *testing.T, n int) (*world, *boss) {
	w := newWorld(t, n)
	o := w.takeOver()
	w.turn()
	return w, o
}

func TestStepsRunInOrder(t *testing.T) {
	w, _ := begun(t, 2)
	second := tasks(2, 1000)
	second.After = []int{0}
	w.submit(newJob("a", tasks(3, 1000), second))
	w.turn()
	assert.Equal(t, w.running(), 3)
	assert.Equal(t, w.state("a"), Active)
	w.finishAll()
	w.turn()
	assert.Equal(t, w.running(), 2)
	w.finishAll()
	w.turn()
	assert.Equal(t, w.state("a"), Completed)
	assert.Equal(t, w.running(), 0)
}

func (w *world) running() int {
	n := 0
	for _, b := range w.minions {
		n += len(b.runs)
	}
	return n
}

func TestRoomIsNeverExceeded(t *testing.T) {
	w, _ := begun(t, 2)
	w.submit(newJob("a", tasks(30, 1500)))
	for range 20 {
		w.turn()
		assert.Assert(t, w.running() <= 4)
		w.finishAll()
	}
	w.turn()
	assert.Equal(t, w.state("a"), Completed)
}

func TestStartWithoutAnswerIsSettledByAToken(t *testing.T) {
	for _, ran := range []bool{true, false} {
		w, o := begun(t, 2)
		w.submit(newJob("a", tasks(1, 1000)))
		o.step()
		b := *o.batch
		o.commit(true)
		assert.Equal(t, len(w.flying), 1)
		late := w.flying[0]
		w.flying = nil
		if ran {
			size := work.Size{CPU: 1000, Mem: 100}
			x := b.Starts[0]
			assert.Assert(t, o.st.minions[x.Minion.ID].runs[runKey{x.Start.Task, 1}] != nil)
			x.Start.Token, x.Start.Until = o.st.minions[x.Minion.ID].token, 60_000
			w.box(x.Minion.ID).start(x.Minion.Incarnation, x.Start, size)
		}
		x := b.Starts[0]
		x.Start.Token = o.st.minions[x.Minion.ID].token
		o.lose(x)
		w.pass(2 * time.Second)
		w.turn()
		assert.Equal(t, w.running(), 1)
		late.f() // carried out late: the token, or the run that is there, refuses it
		w.turn()
		assert.Equal(t, w.running(), 1)
	}
}

func TestSuccessorKeepsWhatRuns(t *testing.T) {
	w, _ := begun(t, 3)
	w.submit(newJob("a", tasks(6, 1000)))
	w.turn()
	assert.Equal(t, w.running(), 6)
	w.takeOver()
	w.turn()
	assert.Equal(t, w.running(), 6)
	w.finishAll()
	w.turn()
	assert.Equal(t, w.state("a"), Completed)
}

func TestSuccessorWaitsForAMinionItCannotReach(t *testing.T) {
	w, _ := begun(t, 2)
	w.submit(newJob("a", tasks(4, 2000)))
	w.turn()
	assert.Equal(t, w.running(), 4)
	out := w.minions[0]
	n := len(out.runs)
	out.up = false // cut off: it runs on
	w.takeOver()
	w.turn()
	w.pass(3 * time.Second)
	out.up = true
	out.tick()
	out.up = false
	w.finishOn(w.minions[1])
	w.turn()
	assert.Equal(t, len(w.minions[1].runs), 0, "tasks of the silent minion must wait")
	w.pass(10 * time.Second)
	w.turn()
	assert.Equal(t, len(w.minions[1].runs), n)
}

func (w *world) finishOn(b *box) {
	for k := range b.runs {
		b.end(k, work.Done)
	}
}

func TestLapsedRunsStartElsewhere(t *testing.T) {
	w, _ := begun(t, 2)
	w.submit(newJob("a", tasks(2, 2000)))
	w.turn()
	out := w.minions[0]
	if len(out.runs) == 0 {
		out = w.minions[1]
	}
	out.up = false
	for range 80 {
		w.pass(100 * time.Millisecond)
		w.turn()
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
	w, o := begun(t, 1)
	w.submit(newJob("a", tasks(2, 1000)))
	w.turn()
	w.pass(time.Second)
	w.minions[0].reborn()
	assert.Equal(t, w.running(), 0)
	w.turn()
	w.turn()
	assert.Equal(t, w.running(), 2)
	assert.Assert(t, o.st.minions["m0"].token > w.term*tokensPerTerm, "a new life is greeted with a raised token")
}

func TestFailuresEndAJob(t *testing.T) {
	w, o := begun(t, 3)
	w.submit(newJob("a", tasks(1, 1000), tasks(2, 500)))
	for range 3 {
		w.turn()
		for _, b := range w.minions {
			for k := range b.runs {
				if k.task.Step == 0 {
					b.end(k, work.Failed)
				}
			}
		}
		w.turn()
		w.pass(10 * time.Second)
		for _, b := range w.minions {
			o.renew(b)
		}
	}
	w.turn()
	w.turn()
	assert.Equal(t, w.state("a"), JobFailed)
	assert.Equal(t, w.running(), 0)
}

func TestCancelStopsEverything(t *testing.T) {
	w, o := begun(t, 2)
	w.submit(newJob("a", tasks(4, 1000)))
	w.turn()
	assert.Equal(t, w.running(), 4)
	w.gone["a"] = true
	o.st.Cancel(w.now, "a")
	w.turn()
	assert.Equal(t, w.running(), 0)
	assert.Equal(t, w.state("a"), Cancelled)
	w.takeOver()
	w.turn()
	assert.Equal(t, w.state("a"), Cancelled)
}

func TestGangStartsWhole(t *testing.T) {
	w, _ := begun(t, 3)
	gang := tasks(3, 4000)
	gang.Gang = true
	w.submit(newJob("small", tasks(1, 100)))
	w.turn()
	w.submit(newJob("gang", gang))
	w.turn()
	assert.Equal(t, w.running(), 1, "the gang does not fit yet")
	w.finishAll()
	w.turn()
	assert.Equal(t, w.running(), 3)
	w.finishOn(w.minions[0]) // one end stands for all
	for range 2 {
		w.turn()
	}
	assert.Equal(t, w.state("gang"), Completed)
}

func TestGangIsPlacedAnewAsAWhole(t *testing.T) {
	w, _ := begun(t, 3)
	gang := tasks(3, 4000)
	gang.Gang = true
	w.submit(newJob("gang", gang))
	w.turn()
	b := w.minions[1]
	for k := range b.runs {
		b.end(k, work.Failed)
	}
	w.turn()
	w.turn()
	attempts := map[int]int{}
	for _, b := range w.minions {
		for k := range b.runs {
			attempts[k.attempt]++
		}
	}
	assert.DeepEqual(t, attempts, map[int]int{2: 3})
}

func TestLastingTasksAreKeptUp(t *testing.T) {
	w, _ := begun(t, 2)
	p := tasks(3, 1000)
	p.Lasting = true
	w.submit(newJob("svc", p))
	for range 5 {
		w.turn()
		w.turn()
		assert.Equal(t, w.running(), 3)
		for _, b := range w.minions {
			for k := range b.runs {
				b.end(k, work.Failed)
			}
			break
		}
		w.pass(9 * time.Second / 10)
		w.turn()
		w.pass(9 * time.Second / 10)
	}
	assert.Equal(t, w.state("svc"), Active)
}

func TestFillsAndServesStayApart(t *testing.T) {
	w, _ := begun(t, 1)
	serve := tasks(1, 1000)
	serve.Lasting, serve.Target = true, 50*time.Millisecond
	filler := tasks(2, 1000)
	filler.Fill = true
	w.submit(newJob("serve", serve))
	w.turn()
	w.submit(newJob("fill", filler))
	w.turn()
	assert.Equal(t, w.running(), 1, "a task that fills would disturb the one that serves")
}

func TestOccurrencesBeginWhenDue(t *testing.T) {
	w, _ := begun(t, 1)
	j := newJob("a", tasks(1, 100))
	j.First, j.Every, j.Times = w.now.Add(time.Second).UnixMilli(), 2*time.Second, 2
	w.submit(j)
	w.turn()
	assert.Equal(t, w.running(), 0)
	w.pass(1100 * time.Millisecond)
	w.turn()
	assert.Equal(t, w.running(), 1)
	w.finishAll()
	w.turn()
	assert.Equal(t, w.state("a"), Active)
	w.takeOver()
	w.pass(2 * time.Second)
	w.turn()
	assert.Equal(t, w.running(), 1)
	w.finishAll()
	w.turn()
	assert.Equal(t, w.state("a"), Completed)
}

func TestStartThatReachesTheNextLifeIsFound(t *testing.T) {
	w, o := begun(t, 2)
	w.submit(newJob("a", tasks(1, 1000)))
	o.step()
	o.commit(true)
	assert.Equal(t, len(w.flying), 1)
	f := w.flying[0]
	w.pass(time.Second)
	f.to.reborn()
	f.f() // before the owner has heard of the new life
	assert.Equal(t, w.running(), 1)
	w.flying = nil
	o.st.See(w.now, f.to.Minion)
	for range 3 {
		w.turn()
		assert.Equal(t, w.running(), 1)
	}
	assert.Equal(t, len(f.to.runs), 1, "the run is kept where it is")
}

func TestJobHasNotBegunBeforeARunHas(t *testing.T) {
	w, o := begun(t, 1)
	w.submit(newJob("a", tasks(1, 1000)))
	o.step()
	o.commit(true)
	w.flying = nil // the start is never carried out
	assert.Assert(t, !o.st.jobs["a"].begun)
	w.takeOver()
	o = w.owners[1]
	assert.Assert(t, !o.st.jobs["a"].begun)
	w.turn()
	w.turn()
	assert.Equal(t, w.running(), 1)
	assert.Assert(t, o.st.jobs["a"].begun)
}

// A run that ends well while its minion is cut off, and is listed only after its
// lease: nothing is left to do for the task.
func TestDoneDuringACutCountsAfterTheLease(t *testing.T) {
	w, _ := begun(t, 1)
	second := tasks(1, 1000)
	second.After = []int{0}
	w.submit(newJob("a", tasks(2, 1000), second))
	w.turn()
	out := w.minions[0]
	assert.Equal(t, len(out.runs), 2)
	out.up = false
	w.turn()
	w.finishOn(out)
	w.pass(w.limits.Lease + time.Second)
	w.turn()
	out.up = true
	w.turn()
	assert.Equal(t, len(out.runs), 1)
	for k := range out.runs {
		assert.Equal(t, k.task.Step, 1, "the first step is done")
	}
}

// The same, but the task has been started again meanwhile.
func TestDoneDuringACutEndsTheRunAfterIt(t *testing.T) {
	w, _ := begun(t, 2)
	w.submit(newJob("a", tasks(1, 1000)))
	w.turn()
	out, other := w.minions[0], w.minions[1]
	if len(out.runs) == 0 {
		out, other = other, out
	}
	out.up = false
	w.turn()
	w.finishOn(out)
	w.pass(w.limits.Lease + time.Second)
	w.turn()
	assert.Equal(t, len(other.runs), 1)
	out.up = true
	w.turn()
	w.turn()
	assert.Equal(t, w.state("a"), Completed)
	assert.Equal(t, w.running(), 0)
}

func copied(n int, cpu int64) work.Step {
	p := tasks(n, cpu)
	p.Speculative = true
	return p
}

// A member that is refused is started again, at the same minion or elsewhere,
// while the others wait for it.
func TestRefusedMemberOfAGangIsStartedAgain(t *testing.T) {
	w, _ := begun(t, 3)
	p := tasks(3, 3000)
	p.Gang = true
	w.submit(newJob("a", p))
	w.minions[1].sheds = 1
	w.turn()
	w.turn()
	assert.Equal(t, w.running(), 3)
	for _, b := range w.minions {
		for k := range b.runs {
			assert.Equal(t, k.attempt, 1, "no member was stopped for it")
		}
	}
}

// If it cannot be started in time the gang is given up as a whole.
func TestGangThatStaysShortIsGivenUp(t *testing.T) {
	w, _ := begun(t, 3)
	p := tasks(3, 3000)
	p.Gang = true
	w.submit(newJob("a", p))
	w.minions[1].sheds = 1000
	for range 30 {
		w.turn()
		w.pass(100 * time.Millisecond)
	}
	w.minions[1].sheds = 0
	w.pass(pauseMost)
	for range 4 {
		w.turn()
		w.pass(stopAgain)
	}
	assert.Equal(t, w.running(), 3)
	for _, b := range w.minions {
		for k := range b.runs {
			assert.Assert(t, k.attempt > 1)
		}
	}
}

// drain has a minion tell that it leaves.
func (w *world) drain(b *box, left time.Duration) {
	b.Draining, b.Remaining = true, left
	w.owners[len(w.owners)-1].st.See(w.now, b.Minion)
}
