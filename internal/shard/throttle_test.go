package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

const (
	testTarget  = 50 * time.Millisecond
	harmTimeout = 4 * time.Second // for which response times may be over their target because of fill tasks that work
)

// serving returns a step of n tasks that last and have a target.
func serving(n int) work.Step {
	p := tasks(n, 1000)
	p.Lasting, p.Target = true, testTarget
	return p
}

// filling returns a step of n fill tasks, one a minion, that run for long.
func filling(n int) work.Step {
	p := tasks(n, 1000)
	p.Fill, p.Lasting, p.PerMinion = true, true, 1
	return p
}

// watch lets time pass, and fails if fill tasks that work keep response times
// over the target for longer than harmTimeout.
func (w *simCluster) watch(d time.Duration) {
	over := map[*simMinion]time.Time{}
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(simTick)
		w.cycle()
		for _, b := range w.minions {
			if !b.harmed() {
				delete(over, b)
				continue
			}
			if over[b].IsZero() {
				over[b] = w.now
			}
			if w.now.Sub(over[b]) > harmTimeout {
				w.fail("fill tasks keep the response time on %s at %v", b.ID, b.responseTime())
			}
		}
	}
}

// harmed reports whether tasks are over their target because of fill tasks.
func (b *simMinion) harmed() bool {
	serves := false
	for k := range b.runs {
		serves = serves || b.cluster.stepOf(k.task).Target > 0
	}
	return serves && b.tail <= testTarget && b.responseTime() > testTarget
}

// runsOf returns the number of runs of a job.
func (w *simCluster) runsOf(job string) int {
	n := 0
	for _, b := range w.minions {
		for k := range b.runs {
			if k.task.Job == job {
				n++
			}
		}
	}
	return n
}

// fillSpeeds returns the speeds of all runs of fill tasks.
func (w *simCluster) fillSpeeds() []int {
	var out []int
	for _, b := range w.minions {
		for k := range b.runs {
			if w.stepOf(k.task).Fill {
				out = append(out, b.speedOf(k))
			}
		}
	}
	return out
}

func TestFillTasksAndTargetsStayApartWhereTheyCan(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("serve", serving(1)), newJob("fill", filling(1)))
	w.watch(2 * time.Second)
	assert.Equal(t, w.running(), 2)
	for _, b := range w.minions {
		assert.Equal(t, len(b.runs), 1)
	}
	assert.DeepEqual(t, w.fillSpeeds(), []int{fullSpeed})
}

// Guards against LOST: serving tasks whose minion was lost stayed down for as
// long as fill tasks ran on all other minions.
func TestServingTasksOfALostMinionStartBesideFillTasks(t *testing.T) {
	w, _ := newOwnedCluster(t, 4)
	w.submit(newJob("serve", serving(3)))
	w.cycle()
	w.submit(newJob("fill", filling(3)))
	w.watch(time.Second)
	assert.Equal(t, w.runsOf("serve"), 3)
	assert.Equal(t, w.runsOf("fill"), 3)
	for _, b := range w.minions {
		b.interference = 30 * time.Millisecond
		for k := range b.runs {
			if k.task.Job == "serve" {
				b.crash()
				break
			}
		}
	}
	w.watch(20 * time.Second)
	assert.Equal(t, w.runsOf("serve"), 3)
	assert.Equal(t, w.runsOf("fill"), 3, "no fill task is stopped")
}

// Guards against LOST, the other way round: a fill job waited while tasks with a
// target ran on all minions.
func TestFillTasksStartBesideServingTasks(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	one := serving(2)
	one.PerMinion = 1
	w.submit(newJob("serve", one))
	w.cycle()
	w.submit(newJob("fill", filling(2)))
	w.watch(time.Second)
	assert.Equal(t, w.runsOf("fill"), 2)
	assert.DeepEqual(t, w.fillSpeeds(), []int{initialSpeed, initialSpeed})
	w.watch(30 * time.Second)
	assert.DeepEqual(t, w.fillSpeeds(), []int{fullSpeed, fullSpeed})
}

// Guards against HARM: fill tasks that share a minion with tasks over their
// target have to yield, however strong and sudden the interference.
func TestFillTasksAreSlowedDownBeforeTheyHarm(t *testing.T) {
	for _, interference := range []time.Duration{20 * time.Millisecond, 100 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint(interference), func(t *testing.T) {
			w, _ := newOwnedCluster(t, 1)
			w.submit(newJob("serve", serving(1)), newJob("fill", filling(1)))
			w.watch(30 * time.Second)
			assert.DeepEqual(t, w.fillSpeeds(), []int{fullSpeed})
			w.minions[0].tail, w.minions[0].interference = 20*time.Millisecond, interference
			w.watch(time.Minute)
			w.minions[0].tail, w.minions[0].interference = 5*time.Millisecond, time.Millisecond
			w.watch(time.Minute)
			assert.DeepEqual(t, w.fillSpeeds(), []int{fullSpeed})
		})
	}
}

// Guards against HARM after a takeover: the new owner does not know the speeds
// that the former one had set.
func TestNextOwnerSetsSpeedsAnew(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	w.submit(newJob("serve", serving(1)), newJob("fill", filling(1)))
	w.watch(30 * time.Second)
	assert.DeepEqual(t, w.fillSpeeds(), []int{fullSpeed})
	w.minions[0].interference = time.Second
	w.takeOver()
	w.watch(20 * time.Second)
	assert.Equal(t, w.runsOf("fill"), 1)
}

// Guards against fill tasks that stay slow for ever: a former owner had slowed
// them down, and the tasks with a target are gone.
func TestNextOwnerRestoresSpeeds(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	w.submit(newJob("serve", serving(1)), newJob("fill", filling(1)))
	w.watch(time.Second)
	assert.DeepEqual(t, w.fillSpeeds(), []int{initialSpeed})
	w.cancelled["serve"] = true
	w.takeOver()
	w.watch(2 * time.Second)
	assert.DeepEqual(t, w.fillSpeeds(), []int{fullSpeed})
}

// Guards against a late throttle order: one without a reply must have no effect
// after the next.
func TestLateThrottleOrderHasNoEffect(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("serve", serving(1)))
	w.cycle()
	w.submit(newJob("fill", filling(1)))
	o.step()
	o.commit(true)
	w.deliver(len(w.inFlight)) // the start; its reply has the run throttled
	o.step()
	assert.Equal(t, len(w.inFlight), 1)
	late := w.inFlight[0]
	w.inFlight = nil
	m := o.st.minions["m0"]
	for _, r := range m.runs {
		if r.step.Fill {
			o.st.HandleThrottleReply(w.now, ThrottleOrder{Minion: m.Minion, Task: r.key.task, Attempt: r.key.attempt, Speed: initialSpeed, Token: m.token}, fmt.Errorf("no answer"))
		}
	}
	w.watch(30 * time.Second)
	assert.DeepEqual(t, w.fillSpeeds(), []int{fullSpeed})
	late.deliver()
	assert.DeepEqual(t, w.fillSpeeds(), []int{fullSpeed})
}

// A minion that crashes and returns has its runs at full speed again.
func TestSpeedsEndWithTheLifeOfAMinion(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	w.submit(newJob("serve", serving(1)), newJob("fill", filling(1)))
	w.watch(time.Second)
	assert.DeepEqual(t, w.fillSpeeds(), []int{initialSpeed})
	w.minions[0].interference = time.Second
	w.restart(w.minions[0], true)
	w.watch(20 * time.Second)
	assert.Equal(t, w.running(), 2)
}

// Guards against placement by chance: with placement queries, minions without
// the other kind of task are asked about first, the others if need be.
func TestServingTasksThatFewMinionsMayRunStartBesideFillTasks(t *testing.T) {
	w, _ := newLabelledCluster(t)
	w.submit(newJob("fill", filling(3)))
	w.cycle()
	p := serving(1)
	p.Label = testLabel
	w.submit(newJob("serve", p))
	w.watch(5 * time.Second)
	assert.Equal(t, w.runsOf("serve"), 1)
	assert.Equal(t, w.runsOf("fill"), 3)
}
