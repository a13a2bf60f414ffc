package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// Targets for the time without a run of a lasting task.
const (
	lossTarget  = 8 * time.Second // after the loss of its minion
	drainTarget = 2 * time.Second // while its minion drains
)

// loadedOwner is an owner with a steady load of work that may wait, whose queries
// and stops take time.
type loadedOwner struct {
	*queryingOwner
	queryTime time.Duration
	stopTime  time.Duration
	later     []laterCall
	small     func(n int) *work.Job // nil without load
	submitted int
	queries   int
	away      map[string]time.Duration // by job: how long it has had fewer runs than tasks
	longest   map[string]time.Duration
}

type laterCall struct {
	at   time.Time
	call func()
}

func newLoadedOwner(t *testing.T, minions int, allowed ...string) *loadedOwner {
	q := newQueryingOwner(t, minions, allowed...)
	q.free = QueryCapacity{Total: 4, Slow: 4, SlowFrom: time.Second}
	return &loadedOwner{queryingOwner: q, queryTime: 600 * time.Millisecond, stopTime: 300 * time.Millisecond, away: map[string]time.Duration{}, longest: map[string]time.Duration{}}
}

// smallTasks is work that takes up any room that becomes free.
func smallTasks(n int) *work.Job {
	st := tasks(1, 500)
	st.Estimate = time.Duration(1500+500*(n%5)) * time.Millisecond
	return newJob(fmt.Sprintf("small%d", n), st)
}

// waitingTasks keeps some of the work that may wait waiting.
const waitingTasks = 8

// run plays the load for a time, in steps of simTick.
func (l *loadedOwner) run(d time.Duration) {
	w := l.cluster
	for end := w.now.Add(d); w.now.Before(end); {
		w.passDrains()
		l.callDue()
		l.endRuns()
		for l.small != nil && l.queued() < waitingTasks {
			w.submit(l.small(l.submitted))
			l.submitted++
		}
		for _, b := range w.minions {
			l.renew(b)
		}
		l.st.Decide(w.now, w.now, l.free)
		l.act()
		if l.batch == nil {
			b, err := l.st.TakeBatch()
			assert.NilError(w.t.(*testing.T), err)
			l.batch = &b
		}
		l.commit(true)
		w.deliver(len(w.inFlight))
		l.count()
	}
}

// queued is the number of tasks that may wait and do.
func (l *loadedOwner) queued() int {
	n := len(l.st.upcoming)
	for _, p := range l.st.queue {
		if !p.Lasting {
			n += p.waiting
		}
	}
	return n
}

// act issues the calls of a decision.
func (l *loadedOwner) act() {
	w := l.cluster
	out := l.st.TakeActions()
	for _, x := range out.Stops {
		b := w.minion(x.Minion.ID)
		l.after(l.stopTime, func() { b.stop(x.Token, runKey{x.Task, x.Attempt}) })
	}
	for _, a := range out.Queries {
		l.queries++
		l.after(l.queryTime, func() {
			tickets := map[string]string{}
			for _, id := range a.IDs {
				if l.allowed[id] {
					tickets[id] = "t"
				}
			}
			l.st.HandleAdvice(w.now, w.now, a, tickets, 1500*time.Millisecond, nil)
		})
	}
}

func (l *loadedOwner) after(d time.Duration, call func()) {
	l.later = append(l.later, laterCall{l.cluster.now.Add(d), call})
}

func (l *loadedOwner) callDue() {
	due := l.later
	l.later = nil
	for _, c := range due {
		if l.cluster.now.Before(c.at) {
			l.later = append(l.later, c)
			continue
		}
		c.call()
	}
}

// endRuns ends the runs that have lasted as long as estimated.
func (l *loadedOwner) endRuns() {
	w := l.cluster
	for _, b := range w.minions {
		for k := range b.runs {
			if st := w.stepOf(k.task); !st.Lasting && w.now.Sub(w.begunAt[k]) >= st.Estimate {
				w.finish(b, k, work.Done)
			}
		}
	}
}

// count counts how long lasting jobs have had fewer runs than tasks.
func (l *loadedOwner) count() {
	for _, j := range l.cluster.jobs {
		if !j.Steps[0].Lasting {
			continue
		}
		if l.runsOf(j.ID) == j.Steps[0].Tasks {
			l.away[j.ID] = 0
			continue
		}
		l.away[j.ID] += simTick
		l.longest[j.ID] = max(l.longest[j.ID], l.away[j.ID])
	}
}

// runsOf is how many runs of a job the minions have.
func (l *loadedOwner) runsOf(job string) int {
	n := 0
	for _, b := range l.cluster.minions {
		for k := range b.runs {
			if b.up && k.task.Job == job {
				n++
			}
		}
	}
	return n
}

// settle lets a lasting job start before the load, and forgets how long that took.
func (l *loadedOwner) settle(j *work.Job, load func(int) *work.Job) {
	w := l.cluster
	w.submit(j)
	l.run(2 * time.Second)
	assert.Equal(w.t.(*testing.T), l.runsOf(j.ID), j.Steps[0].Tasks)
	l.small = load
	l.run(10 * time.Second)
	clear(l.longest)
}

// hosts lists the minions with runs of a job.
func (l *loadedOwner) hosts(job string) (out []string) {
	for _, b := range l.cluster.minions {
		for k := range b.runs {
			if k.task.Job == job && !slices.Contains(out, b.ID) {
				out = append(out, b.ID)
			}
		}
	}
	return out
}

// What frees up a little at a time went to smaller work for as long as that came.
func TestLastingTaskIsNotStarvedBySmallerWork(t *testing.T) {
	for name, size := range map[string]int64{"a quarter": 1000, "nearly half": 1900, "most of a minion": 3000} {
		l := newLoadedOwner(t, 6, "m0", "m1")
		st := tasks(1, size)
		st.Lasting = true
		l.settle(advisedJob("a", st), smallTasks)
		l.loseSilently(l.hosts("a")[0])
		l.run(20 * time.Second)
		assert.Assert(t, l.longest["a"] <= lossTarget, "%s: away for %v", name, l.longest["a"])
		assert.Equal(t, l.runsOf("a"), 1, name)
	}
}

// Work that does not end by itself in time makes room.
func TestLastingTaskDoesNotWaitForLongWorkToEnd(t *testing.T) {
	for _, gang := range []bool{false, true} {
		l := newLoadedOwner(t, 3, "m0", "m1")
		st := tasks(1, 3000)
		st.Lasting = true
		l.settle(advisedJob("a", st), nil)
		long := tasks(3, 3500)
		long.Estimate, long.Gang = time.Minute, gang
		if gang {
			long.Tasks = 2
		}
		l.cluster.submit(newJob("long", long))
		l.run(2 * time.Second)
		l.loseSilently(l.hosts("a")[0])
		l.run(15 * time.Second)
		assert.Assert(t, l.longest["a"] <= lossTarget, "gang %v: away for %v", gang, l.longest["a"])
	}
}

// loseSilently crashes a minion for good; nothing takes its address.
func (l *loadedOwner) loseSilently(id string) {
	l.cluster.minion(id).crash()
	l.st.UnlistMinion(l.cluster.now, id)
}

// Only minions with room were named, one or two at a time, once there was a loss.
func TestLostTaskIsNotAskedAboutOneMinionAtATime(t *testing.T) {
	l := newLoadedOwner(t, 24, "m0", "m9")
	st := tasks(1, 1900)
	st.Lasting = true
	l.settle(advisedJob("a", st), smallTasks)
	l.loseSilently(l.hosts("a")[0])
	l.queries = 0
	l.run(lossTarget)
	assert.Equal(t, l.runsOf("a"), 1)
	assert.Assert(t, l.longest["a"] <= lossTarget, "away for %v", l.longest["a"])
	for _, id := range []string{"m0", "m9"} {
		_, known := l.st.jobs["a"].rounds[0].steps[0].advice.eligible[id]
		assert.Assert(t, known || l.cluster.minion(id) != nil && !l.cluster.minion(id).up, id)
	}
}

func TestDrainTakesNoLastingTaskAwayBeforeItHasAPlace(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for _, load := range []func(int) *work.Job{nil, smallTasks} {
			l := newLoadedOwner(t, 6, "m0", "m1", "m2")
			st := tasks(2, 1900)
			st.Lasting, st.PerMinion, st.Gang = true, 1, gang
			l.settle(advisedJob("a", st), load)
			out := l.cluster.minion(l.hosts("a")[0])
			l.cluster.drain(out, 6*time.Second)
			l.run(6 * time.Second)
			out.up = false
			assert.Equal(t, l.runsOf("a"), 2, "gang %v, load %v", gang, load != nil)
			assert.Assert(t, l.longest["a"] <= drainTarget, "gang %v, load %v: away for %v", gang, load != nil, l.longest["a"])
		}
	}
}

// Without another place the task runs for as long as its minion stays, and its end
// is reported before that leaves.
func TestDrainLeavesALastingTaskThatHasNoOtherPlace(t *testing.T) {
	l := newLoadedOwner(t, 3, "m0")
	l.settle(advisedJob("a", lastingTasks(1)), nil)
	out := l.cluster.minion(l.hosts("a")[0])
	l.cluster.drain(out, 6*time.Second)
	l.run(4 * time.Second)
	assert.Equal(t, l.runsOf("a"), 1)
	l.run(2 * time.Second)
	out.up = false
	assert.Equal(t, l.runsOf("a"), 0)
	assert.Equal(t, l.st.jobs["a"].rounds[0].steps[0].waiting, 1)
}

// A drain of many minions leaves enough room, and each place is given once.
func TestTasksOfSeveralDrainingMinionsDoNotCountOnTheSamePlace(t *testing.T) {
	l := newLoadedOwner(t, 8, "m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7")
	for i := range 4 {
		st := tasks(1, 3000)
		st.Lasting = true
		l.settle(advisedJob(fmt.Sprintf("a%d", i), st), nil)
	}
	var outs []*simMinion
	for i := range 4 {
		b := l.cluster.minion(l.hosts(fmt.Sprintf("a%d", i))[0])
		l.cluster.drain(b, 6*time.Second)
		outs = append(outs, b)
	}
	l.run(6 * time.Second)
	for i, b := range outs {
		b.up = false
		id := fmt.Sprintf("a%d", i)
		assert.Equal(t, l.runsOf(id), 1)
		assert.Assert(t, l.longest[id] <= drainTarget, "%s: %v", id, l.longest[id])
	}
}

// A task that is stopped while nothing can be made durable starts nowhere.
func TestDrainStopsNoLastingTaskWhileTheStoreIsDown(t *testing.T) {
	l := newLoadedOwner(t, 3, "m0", "m1", "m2")
	l.settle(advisedJob("a", lastingTasks(1)), nil)
	l.cluster.drain(l.cluster.minion(l.hosts("a")[0]), 6*time.Second)
	l.run(l.queryTime / 2)
	l.st.PlacementPaused = true
	l.run(3 * time.Second)
	assert.Equal(t, l.runsOf("a"), 1)
	assert.Equal(t, l.longest["a"], time.Duration(0))
	l.st.PlacementPaused = false
	l.run(3 * time.Second)
	assert.Equal(t, l.runsOf("a"), 1)
	assert.Assert(t, l.longest["a"] <= drainTarget, "away for %v", l.longest["a"])
}
