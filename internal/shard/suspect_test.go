package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// playFor lets time pass. end tells how a run that has lasted for so long ends,
// or returns an empty outcome.
func (w *simCluster) playFor(d time.Duration, end func(b *simMinion, k runKey, lasted time.Duration) work.Outcome) {
	for stop := w.now.Add(d); w.now.Before(stop); {
		w.pass(simTick)
		for _, b := range w.minions {
			for k := range b.runs {
				if how := end(b, k, w.now.Sub(w.begunAt[k])); how != "" {
					b.end(k, how)
				}
			}
		}
		w.cycle()
	}
}

// shortRun is how long the runs last that end soon.
const shortRun = 400 * time.Millisecond

// endShort ends all runs after shortRun: those of the job "hopeless" fail, those
// of the job "long" run on.
func endShort(_ *simMinion, k runKey, lasted time.Duration) work.Outcome {
	switch {
	case k.task.Job == "long" || lasted < shortRun:
		return ""
	case k.task.Job == "hopeless":
		return work.Failed
	}
	return work.Done
}

// newLabelledCluster returns a cluster of three minions, of which the first has a
// label.
func newLabelledCluster(t *testing.T) (*simCluster, *simOwner) {
	w, o := newOwnedCluster(t, 3)
	w.minions[0].Labels = append([]string{testLabel}, w.minions[0].Labels...)
	w.writeRow(w.minions[0])
	return w, o
}

const testLabel = "ssd"

// labelled returns a step of n tasks that only the minion with the label may run.
func labelled(n int, cpu int64) work.Step {
	p := tasks(n, cpu)
	p.Label = testLabel
	return p
}

// Guards against LOST: a job whose tasks always fail made every minion a
// suspect, and a long run there counted as its probe, so that nothing was placed
// any more.
func TestHopelessJobDoesNotBarMinionsWithLongRuns(t *testing.T) {
	w, o := newOwnedCluster(t, 4)
	long := tasks(4, 1000)
	long.PerMinion = 1
	w.submit(newJob("long", long))
	w.cycle()
	w.submit(newJob("hopeless", long))
	w.playFor(2*time.Second, endShort)
	w.submit(newJob("healthy", tasks(3, 500)))
	w.playFor(2*time.Second, endShort)
	assert.Equal(t, w.state("healthy"), Completed)
	assert.Equal(t, w.state("hopeless"), JobFailed)
	for _, b := range w.minions {
		assert.Equal(t, o.st.minions[b.ID].failures(), 0, "%s is blamed", b.ID)
	}
}

// Guards against LOST by the same way without a hopeless job: a run that began
// before the failures cannot show that the minion is sound again.
func TestRunFromBeforeTheFailuresIsNoProbe(t *testing.T) {
	w, o := newLabelledCluster(t)
	w.submit(newJob("long", labelled(1, 1000)))
	w.cycle()
	w.minions[0].refusals = failuresBeforePause
	w.submit(newJob("short", labelled(2, 500)))
	w.playFor(10*time.Second, endShort)
	assert.Equal(t, w.state("short"), Completed)
	assert.Equal(t, o.st.minions["m0"].failures(), 0)
}

// Guards against LOST where the probe itself takes long, or lasts.
func TestSuspectGetsAnotherRunIfItsProbeTakesLong(t *testing.T) {
	for _, fill := range []bool{false, true} {
		w, _ := newLabelledCluster(t)
		w.minions[0].refusals = failuresBeforePause
		p := labelled(1, 1000)
		p.Fill = fill
		w.submit(newJob("long", p))
		w.playFor(5*time.Second, endShort)
		assert.Equal(t, w.running(), 1)
		w.submit(newJob("short", labelled(1, 500)))
		w.playFor(probeTime/2, endShort)
		assert.Equal(t, w.state("short"), Queued)
		w.playFor(probeTime, endShort)
		assert.Equal(t, w.state("short"), Completed)
	}
}

// Guards against services that come back one task in ten seconds: tasks that last
// fail now and then, and none of them ever succeeds.
func TestLastingTasksThatFailAfterLongMakeNoSuspect(t *testing.T) {
	w, o := newLabelledCluster(t)
	p := labelled(4, 500)
	p.Lasting = true
	w.submit(newJob("service", p))
	w.playFor(lastingProof+time.Second, func(*simMinion, runKey, time.Duration) work.Outcome { return "" })
	assert.Equal(t, w.running(), 4)
	w.playFor(simTick, func(*simMinion, runKey, time.Duration) work.Outcome { return work.Failed })
	w.playFor(time.Second, func(*simMinion, runKey, time.Duration) work.Outcome { return "" })
	assert.Equal(t, w.running(), 4)
	assert.Equal(t, o.st.minions["m0"].failures(), 0)
}

// A lasting run that has lasted for long shows its minion to be sound.
func TestLastingProbeEndsTheSuspicion(t *testing.T) {
	w, o := newLabelledCluster(t)
	w.minions[0].refusals = failuresBeforePause
	p := labelled(4, 500)
	p.Lasting = true
	w.submit(newJob("service", p))
	w.playFor(lastingProof+5*time.Second, func(*simMinion, runKey, time.Duration) work.Outcome { return "" })
	assert.Equal(t, o.st.minions["m0"].failures(), 0)
	assert.Equal(t, w.running(), 4)
}

// A minion that fails tasks which succeed elsewhere is still found, even if two
// minions do, and although a hopeless job fails everywhere.
func TestMinionsThatFailWhatSucceedsElsewhereAreSuspects(t *testing.T) {
	w, o := newOwnedCluster(t, 6)
	bad := map[string]bool{"m0": true, "m1": true}
	starts := map[string]int{}
	seen := map[runKey]bool{}
	for i := range 30 {
		w.submit(newJob(string(rune('A'+i)), tasks(6, 500)))
		if i%10 == 5 {
			w.submit(newJob("hopeless", tasks(3, 500)))
		}
		w.playFor(time.Second, func(b *simMinion, k runKey, lasted time.Duration) work.Outcome {
			if !seen[k] {
				seen[k] = true
				starts[b.ID]++
			}
			if lasted >= shortRun && bad[b.ID] {
				return work.Failed
			}
			return endShort(b, k, lasted)
		})
	}
	for id := range bad {
		assert.Assert(t, o.st.minions[id].suspect(), "%s is no suspect, after %d starts", id, starts[id])
		assert.Assert(t, starts[id] < 30, "%s has got %d starts", id, starts[id])
	}
	for i := range 30 {
		assert.Assert(t, w.state(string(rune('A'+i))) != JobFailed, "job %d has failed", i)
	}
}

// Guards against LOST by a common cause: where most minions fail, barring them
// helps nobody.
func TestMostMinionsAreNeverBarred(t *testing.T) {
	w, o := newOwnedCluster(t, 4)
	for _, m := range o.st.minions {
		m.failed, m.failedAt, m.failurePauseUntil = make([]failure, failuresBeforePause), w.now, w.now.Add(maxPause)
	}
	w.submit(newJob("a", tasks(12, 1000)))
	w.playFor(2*time.Second, endShort)
	assert.Equal(t, w.state("a"), Completed)
}

// The next owner keeps a step with failures away from minions with failures.
func TestNextOwnerKnowsOfFailedTasks(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("hopeless", tasks(1, 500)))
	w.playFor(shortRun+simTick, endShort)
	o := w.takeOver()
	assert.Equal(t, o.st.jobs["hopeless"].rounds[0].steps[0].failures, 1)
}
