package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jasminestep/internal/work"
)

// revival is how a crashed minion comes back.
type revival int

const (
	reborn   revival = iota // under its ID
	replaced                // under another ID, at its address
	both                    // under its ID and then under another
)

// Times of the simulation.
const (
	crashDuration = 3 * time.Second // until a crashed minion is back
	simRunTime    = 1500 * time.Millisecond
	simTick       = 50 * time.Millisecond
)

// live lets time pass: runs succeed after simRunTime, crashed minions come back.
func (w *simCluster) live(d time.Duration, how revival) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(simTick)
		w.revive(how)
		for _, b := range w.minions {
			for k := range b.runs {
				if !w.stepOf(k.task).Lasting && w.now.Sub(w.begunAt[k]) >= simRunTime {
					w.finish(b, k, work.Done)
				}
			}
		}
		w.cycle()
	}
}

func (w *simCluster) revive(how revival) {
	for _, b := range w.minions {
		if b.crashedAt.IsZero() || w.now.Sub(b.crashedAt) < crashDuration {
			continue
		}
		if how == replaced {
			w.replace(b)
			continue
		}
		b.restart()
		w.writeRow(b)
		if how == both {
			b.up = false
			w.replace(b)
		}
	}
}

func (w *simCluster) submitDeadly(id string, p work.Step) {
	w.deadly[work.TaskID{Job: id}] = true
	w.submit(newJob(id, p))
}

// stepKinds are the kinds of steps that deadly tasks are tested with.
func stepKinds() map[string]work.Step {
	speculative, gang, lasting := tasks(3, 1000), tasks(3, 1000), tasks(3, 1000)
	speculative.Speculative, gang.Gang, lasting.Lasting = true, true, true
	return map[string]work.Step{"plain": tasks(3, 1000), "speculative": speculative, "gang": gang, "lasting": lasting}
}

func TestDeadlyTaskIsGivenUp(t *testing.T) {
	for name, p := range stepKinds() {
		for _, how := range []revival{reborn, replaced, both} {
			t.Run(fmt.Sprint(name, how), func(t *testing.T) {
				w, _ := newOwnedCluster(t, 6)
				w.submit(newJob("beside", tasks(6, 1000)))
				w.cycle()
				w.submitDeadly("a", p)
				w.live(20*time.Second, how)
				assert.Equal(t, w.state("a"), JobFailed)
				assert.Equal(t, w.state("beside"), Completed)
				assert.Assert(t, w.crashes[work.TaskID{Job: "a"}] <= provenCrashes, "minions crashed: %v", w.crashes)
			})
		}
	}
}

func TestNextOwnerKnowsOfCrashes(t *testing.T) {
	for name, p := range stepKinds() {
		for _, how := range []revival{reborn, replaced} {
			t.Run(fmt.Sprint(name, how), func(t *testing.T) {
				w, _ := newOwnedCluster(t, 6)
				w.submitDeadly("a", p)
				for range 12 {
					w.live(crashDuration+10*simTick, how)
					w.takeOver()
				}
				w.live(10*time.Second, how)
				assert.Equal(t, w.state("a"), JobFailed)
			})
		}
	}
}

// A new owner must not take runs for suspects that had long begun when their
// minion fell silent: their tasks would wait for a place on trial.
func TestNextOwnerDoesNotSuspectRunsThatHadLongBegun(t *testing.T) {
	w, _ := newOwnedCluster(t, 3)
	w.submit(newJob("old", lastingTasks(3)))
	w.live(2*time.Second, reborn)
	out := w.busiest()
	w.submit(newJob("new", lastingTasks(6)))
	w.cycle()
	w.cycle()
	old, fresh := 0, 0
	for k := range out.runs {
		if k.task.Job == "old" {
			old++
		} else {
			fresh++
		}
	}
	assert.Assert(t, old > 0 && fresh > 0)
	out.up = false
	w.cycle()
	o := w.takeOver()
	for range 160 {
		w.pass(simTick)
		w.cycle()
	}
	suspected := map[string]int{}
	for _, n := range o.st.Notes {
		if n.What == CrashSuspected {
			suspected[n.Job]++
		}
	}
	assert.DeepEqual(t, suspected, map[string]int{"new": fresh})
}

func TestDeadlyTaskWithoutRepliesIsGivenUp(t *testing.T) {
	for name, p := range stepKinds() {
		for _, how := range []revival{reborn, replaced} {
			for _, owners := range []int{0, 3} {
				t.Run(fmt.Sprint(name, how, owners), func(t *testing.T) {
					w, _ := newOwnedCluster(t, 6)
					w.repliesLost = true
					w.submitDeadly("a", p)
					for range owners {
						w.live(crashDuration+10*simTick, how)
						w.takeOver()
					}
					w.live(20*time.Second, how)
					assert.Equal(t, w.state("a"), JobFailed)
					if owners == 0 {
						assert.Assert(t, w.crashes[work.TaskID{Job: "a"}] <= unprovenCrashes, "minions crashed: %v", w.crashes)
					}
				})
			}
		}
	}
}

func TestBystandersOfCrashesAreNotGivenUp(t *testing.T) {
	w, _ := newOwnedCluster(t, 4)
	p := tasks(1, 1000)
	p.Lasting = true
	w.submit(newJob("old", p))
	w.live(time.Second, replaced)
	for i := range 3 {
		w.submit(newJob(fmt.Sprint("fresh", i), tasks(2, 1000)))
		w.cycle()
		for _, b := range w.minions {
			if b.up && len(b.runs) > 0 {
				b.crash()
			}
		}
		w.live(15*time.Second, replaced)
	}
	for i := range 3 {
		assert.Equal(t, w.state(fmt.Sprint("fresh", i)), Completed)
	}
	assert.Equal(t, w.state("old"), Active)
	assert.Equal(t, w.crashes[work.TaskID{Job: "old"}], 3)
}

func TestPlannedStopAccusesNobody(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(2, 1000)))
	w.cycle()
	for _, b := range w.minions {
		w.drain(b, time.Second)
		b.crash()
	}
	w.live(2*crashDuration, replaced)
	for _, x := range o.st.jobs["a"].rounds[0].steps {
		for _, y := range x.tasks {
			assert.DeepEqual(t, y.crash, crashRecord{})
		}
	}
	assert.Equal(t, w.state("a"), Completed)
}

func TestSilentMinionThatAnswersAgainAccusesNobody(t *testing.T) {
	w, o := newOwnedCluster(t, 3)
	w.submit(newJob("a", speculativeTasks(1, 1000)))
	w.cycle()
	x := o.st.jobs["a"].rounds[0].steps[0].tasks[0]
	var out *simMinion
	for _, b := range w.minions {
		if len(b.runs) > 0 {
			out = b
		}
	}
	out.up = false
	w.cycle()
	w.cycle()
	assert.Equal(t, w.running(), 2, "a copy has started")
	assert.Assert(t, x.needsTrial())
	out.up = true
	w.cycle()
	w.live(trialTimeout, replaced)
	assert.Assert(t, !x.needsTrial())
	assert.DeepEqual(t, x.crash, crashRecord{})
}

func TestCopiesOfADeadlyTaskWaitForTheFateOfTheirMinions(t *testing.T) {
	w, _ := newOwnedCluster(t, 8)
	w.submitDeadly("a", speculativeTasks(1, 1000))
	w.live(crashDuration-2*simTick, replaced)
	assert.Equal(t, w.crashes[work.TaskID{Job: "a"}], 2)
}

// Leases may end before a crashed minion is back.
func TestDeadlyTaskIsGivenUpAlthoughLeasesEndBeforeTheirMinionsAreBack(t *testing.T) {
	for name, p := range stepKinds() {
		for _, how := range []revival{reborn, replaced} {
			t.Run(fmt.Sprint(name, how), func(t *testing.T) {
				w := newSimCluster(t, 8)
				w.limits.Lease = crashDuration / 2
				o := w.takeOver()
				w.cycle()
				w.submitDeadly("a", p)
				for range 30 {
					w.live(time.Second, how)
					for _, b := range w.minions {
						if !b.up {
							o.st.UnlistMinion(w.now, b.ID)
						}
					}
				}
				assert.Equal(t, w.state("a"), JobFailed)
				assert.Assert(t, w.crashes[work.TaskID{Job: "a"}] <= 3, "minions crashed: %v", w.crashes)
			})
		}
	}
}

// Both runs of a task may have come to one minion.
func TestOneCrashIsCountedOnceForEachTask(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", speculativeTasks(1, 1000)))
	w.cycle()
	first, second := w.minions[0], w.minions[1]
	if len(first.runs) == 0 {
		first, second = second, first
	}
	first.up = false
	w.cycle()
	w.cycle()
	assert.Equal(t, w.running(), 2)
	first.up, second.up = true, false
	for range 4 {
		w.cycle()
	}
	assert.Equal(t, len(first.runs), 2)
	first.crash()
	w.live(3*crashDuration, replaced)
	assert.Assert(t, w.state("a") != JobFailed, "minions crashed: %v", w.crashes)
}

// A service whose minions are cut off now and then, just after its start or later.
func TestCutsAloneAreNoCrashes(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	p := tasks(1, 1000)
	p.Lasting = true
	w.submit(newJob("a", p))
	attempt := 0
	cutNext := func(after time.Duration) {
		for range 1000 {
			w.live(simTick, replaced)
			for _, b := range w.minions {
				for k := range b.runs {
					if k.attempt > attempt {
						attempt = k.attempt
						w.live(after, replaced)
						for _, x := range w.minions {
							x.up = x != b
						}
						return
					}
				}
			}
		}
	}
	for range 2 * maxDoubts {
		cutNext(0)
		cutNext(2 * time.Second)
	}
	assert.Equal(t, w.state("a"), Active, "%+v", o.st.jobs["a"].rounds[0].steps[0].tasks[0].crash)
}

// Each owner may end as a minion crashes, before it knows.
func TestDeadlyTaskIsGivenUpAlthoughEachOwnerEndsAtACrash(t *testing.T) {
	for name, p := range stepKinds() {
		for _, how := range []revival{reborn, replaced, both} {
			t.Run(fmt.Sprint(name, how), func(t *testing.T) {
				w, _ := newOwnedCluster(t, 8)
				w.submitDeadly("a", p)
				crashes := 0
				for end := w.now.Add(3 * time.Minute); w.now.Before(end) && w.state("a") != JobFailed; {
					w.live(simTick, how)
					n := 0
					for _, x := range w.crashes {
						n += x
					}
					if n > crashes {
						crashes = n
						w.takeOver()
					}
				}
				assert.Equal(t, w.state("a"), JobFailed)
			})
		}
	}
}

// suspects submits jobs of one task each that are suspects.
func (w *simCluster) suspects(n int) {
	st := w.owners[len(w.owners)-1].st
	for i := range n {
		id := fmt.Sprint("suspect", i)
		w.submit(newJob(id, tasks(1, 1000)))
		st.beginRounds(w.now)
		st.jobs[id].rounds[0].steps[0].tasks[0].crash.Suspect = true
	}
}

func TestNothingBeginsBesideATrial(t *testing.T) {
	w, _ := newOwnedCluster(t, 3)
	w.suspects(2)
	w.submit(newJob("clean", tasks(3, 1000)))
	w.cycle()
	for _, b := range w.minions {
		jobs := map[string]bool{}
		for k := range b.runs {
			jobs[k.task.Job] = true
		}
		assert.Equal(t, len(jobs), 1, "%s: %v", b.ID, b.runs)
	}
	assert.Equal(t, w.running(), 5)
}

func TestTrialsOfOneMinionTakeTurns(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	w.suspects(5)
	w.submit(newJob("clean", tasks(8, 1000)))
	w.live(10*time.Second, replaced)
	for _, j := range w.jobs {
		assert.Equal(t, w.state(j.ID), Completed, j.ID)
	}
}

// A trial whose start gets no reply does not close its minion for long.
func TestTrialWithoutOutcomeEnds(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.suspects(1)
	o.step()
	o.commit(true)
	w.inFlight = nil
	w.submit(newJob("clean", tasks(1, 1000)))
	w.live(trialTimeout+simRunTime+10*simTick, replaced)
	assert.Equal(t, w.state("clean"), Completed)
}

// Deadly tasks come at random with others. They are given up within the limit
// that countDeadlyStart checks, and all others complete.
func TestDeadlyTasksStarveNobody(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimCluster(rt, 6)
		w.takeOver()
		w.cycle()
		w.repliesLost = rapid.Bool().Draw(rt, "lost")
		how := revival(rapid.IntRange(0, 2).Draw(rt, "revival"))
		kinds := []string{"plain", "speculative", "gang", "lasting"}
		for i := range rapid.IntRange(1, 12).Draw(rt, "jobs") {
			p := stepKinds()[rapid.SampledFrom(kinds).Draw(rt, "kind")]
			p.Size.CPU = int64(500 * rapid.IntRange(1, 4).Draw(rt, "cpu"))
			p.PerMinion = rapid.IntRange(0, 2).Draw(rt, "limit")
			id := fmt.Sprint("j", i)
			if rapid.IntRange(0, 2).Draw(rt, "deadly") == 0 {
				w.submitDeadly(id, p)
			} else {
				p.Lasting = false
				w.submit(newJob(id, p))
			}
			w.live(time.Duration(rapid.IntRange(0, 20).Draw(rt, "ticks"))*simTick, how)
		}
		w.live(60*time.Second, how)
		for _, j := range w.jobs {
			t := work.TaskID{Job: j.ID}
			switch st := w.state(j.ID); {
			case w.deadly[t] && st != JobFailed:
				w.fail("%s is %s, though minions crash under it", j.ID, st)
			case !w.deadly[t] && st != Completed && !w.crashedTwice(j.ID):
				w.fail("%s is %s", j.ID, st)
			}
		}
	})
}

// While starts are carried out late, zone after zone seems not to answer.
func TestDeadlyTaskIsNotCopiedFromDoubtToDoubt(t *testing.T) {
	w, o := newOwnedCluster(t, 12)
	for i, b := range w.minions {
		b.Zone = fmt.Sprint("z", i%4)
		w.writeRow(b)
	}
	w.cycle()
	w.submitDeadly("a", speculativeTasks(1, 1000))
	for range 4 {
		o.step()
		o.commit(true)
		assert.Assert(t, len(w.inFlight) <= 2, "started again with two fates open")
		late := w.inFlight[len(w.inFlight)-1].to
		for _, b := range w.minions {
			if b.Zone == late.Zone {
				o.st.HandleSlowReply(w.now, b.Incarnation)
			}
		}
	}
	w.live(20*time.Second, replaced)
	assert.Equal(t, w.state("a"), JobFailed)
}

// A lasting run that proves its task innocent clears the record while a doubt
// about an earlier run is still open. A negative count would make the row invalid.
func TestClearedRecordStaysValidWhenADoubtIsSettled(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	p := tasks(1, 1000)
	p.Lasting = true
	w.submit(newJob("a", p))
	w.cycle()
	x := o.st.jobs["a"].rounds[0].steps[0].tasks[0]
	m := o.st.minions[x.incarnation.ID]
	r := m.runs[runKey{x.id, x.attempt}]
	m.keepUnsettled([]accusation{{run: r, begun: true}})
	o.st.settle(w.now, m, false)
	w.cycle()
	w.takeOver()
	w.cycle()
	assert.Equal(t, w.state("a"), Active)
	assert.Equal(t, x.crash.Doubts, 0)
}

func TestTaskThatSurvivesATrialIsNotGivenUpAtTheNextCrash(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	p := tasks(1, 1000)
	p.Lasting = true
	w.submit(newJob("a", p))
	o.st.beginRounds(w.now)
	x := o.st.jobs["a"].rounds[0].steps[0].tasks[0]
	x.crash = crashRecord{Crashes: 1, Suspect: true, Proven: true}
	w.live(2*freshWindow, replaced)
	w.minion(x.incarnation.ID).crash()
	w.live(2*crashDuration, replaced)
	assert.Equal(t, w.state("a"), Active)
	assert.Equal(t, x.crash.Crashes, 2)
}
