package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// passCycles lets time pass without ending any run.
func (w *simCluster) passCycles(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(simTick)
		w.cycle()
	}
}

// holder is the minion with the newest run of a task.
func (w *simCluster) holder(t *task) *simMinion { return w.minion(t.incarnation.ID) }

func firstTask(o *simOwner, job string) *task { return o.st.jobs[job].rounds[0].steps[0].tasks[0] }

// Guards against counting runs that were left for copies, and whose minions have
// answered again, as crashes with the next owner.
func TestOneCrashAfterCopiesAndAChangeOfOwnerFailsNoJob(t *testing.T) {
	w, o := newOwnedCluster(t, 6)
	w.submit(newJob("a", speculativeTasks(1, 1000)))
	w.cycle()
	for range 3 {
		w.passCycles(2 * time.Second)
		out := w.holder(firstTask(o, "a"))
		out.up = false
		w.passCycles(3 * time.Second)
		out.up = true
		w.passCycles(time.Second)
	}
	assert.Equal(t, firstTask(o, "a").attempt, 4)
	o = w.takeOver()
	w.passCycles(2 * time.Second)
	out := w.holder(firstTask(o, "a"))
	out.restart()
	w.writeRow(out)
	w.passCycles(2 * time.Second)
	assert.Equal(t, w.state("a"), Active)
	assert.Equal(t, firstTask(o, "a").crash.Crashes, 1)
}

// Guards against the same for runs that were fresh when their minions fell silent.
func TestNextOwnerDoesNotDoubtFreshRunsWhoseMinionsAnswerAgain(t *testing.T) {
	w, o := newOwnedCluster(t, 6)
	w.submit(newJob("a", speculativeTasks(1, 1000)))
	w.cycle()
	out := w.holder(firstTask(o, "a"))
	out.up = false
	w.cycle()
	w.cycle()
	x := firstTask(o, "a")
	assert.Equal(t, x.attempt, 2)

	o = w.takeOver()
	w.cycle()
	assert.Equal(t, firstTask(o, "a").doubts(), 1, "its minion may have crashed")
	out.up = true
	w.cycle()
	assert.Equal(t, firstTask(o, "a").doubts(), 0, "its minion answers the next owner and lists the run")

	o = w.takeOver()
	w.cycle()
	assert.Equal(t, firstTask(o, "a").doubts(), 0)
}

// Guards against the same if the former owner has seen the answer.
func TestNextOwnerKnowsThatAFreshRunHasSurvivedTheSilence(t *testing.T) {
	w, o := newOwnedCluster(t, 6)
	w.submit(newJob("a", speculativeTasks(1, 1000)))
	w.cycle()
	out := w.holder(firstTask(o, "a"))
	out.up = false
	w.cycle()
	w.cycle()
	assert.Equal(t, firstTask(o, "a").attempt, 2)
	out.up = true
	w.cycle()
	out.up = false
	o = w.takeOver()
	w.cycle()
	assert.Equal(t, firstTask(o, "a").doubts(), 0)
}

// loseStart sends the waiting starts of an owner, which neither arrive nor get a reply.
func (w *simCluster) loseStart(o *simOwner) {
	o.step()
	b := *o.batch
	o.commit(true)
	w.inFlight = nil
	for _, x := range b.Starts {
		x.Start.Token = o.st.minions[x.Minion.ID].token
		o.loseReply(x)
	}
}

// lateStartTime is for how long a run may begin whose start has no reply, and last then.
const lateStartTime = 26 * time.Second

// Guards against doubts for ever about a start without a reply, whose minion was cut
// off until its run had been given up and answers again: it has not crashed.
func TestDoubtAboutAnUnansweredStartEndsWhenItsMinionAnswersAgain(t *testing.T) {
	for _, cut := range []time.Duration{lateStartTime, lateStartTime + 12*time.Second} {
		w, o := newOwnedCluster(t, 1)
		w.submit(newJob("a", lastingTasks(1)))
		o.st.beginRounds(w.now)
		x := firstTask(o, "a")
		x.crash = crashRecord{Crashes: 1, Suspect: true}
		w.loseStart(o)
		assert.Equal(t, x.phase, Placed)
		w.minions[0].up = false
		w.passCycles(lateStartTime - 2*time.Second)
		assert.Equal(t, x.crash.Doubts, 0, "it may still begin")
		assert.Equal(t, x.phase, Placed)
		w.passCycles(cut - lateStartTime + 2*time.Second)
		assert.Equal(t, x.crash.Doubts, 1, "%v: it has ended if it has begun", cut)
		w.minions[0].up = true
		w.cycle()
		assert.Equal(t, x.crash.Doubts, 0, "%v: its minion has not crashed", cut)
		assert.Equal(t, x.crash.Crashes, 1)
	}
}

// A deadly task must not gain starts from it: the crash behind a doubt still counts.
func TestDoubtAboutAnUnansweredStartStaysIfItsMinionHasCrashed(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", lastingTasks(1)))
	o.st.beginRounds(w.now)
	x := firstTask(o, "a")
	x.crash = crashRecord{Crashes: 1, Suspect: true}
	w.loseStart(o)
	w.minions[0].up = false
	w.passCycles(lateStartTime)
	assert.Equal(t, x.crash.Doubts, 1)
	w.minions[0].restart()
	w.writeRow(w.minions[0])
	w.cycle()
	assert.Equal(t, x.crash.Doubts, 1)
}

// The next incarnation of a minion that has crashed cannot take a doubt back: what
// it answers says nothing about the one before.
func TestDoubtAboutACrashStaysIfTheNextIncarnationAnswersAfterASilence(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.passCycles(time.Second)
	w.submit(newJob("a", lastingTasks(1)))
	o.st.beginRounds(w.now)
	x := firstTask(o, "a")
	x.crash = crashRecord{Crashes: 1, Suspect: true}
	w.loseStart(o)
	b := w.minions[0]
	b.restart()
	w.writeRow(b)
	o.renew(b)
	assert.Equal(t, x.incarnation, b.Incarnation, "the run may have come to the next incarnation")
	b.up = false
	w.passCycles(time.Minute)
	assert.Equal(t, x.phase, Waiting)
	assert.Equal(t, x.crash.Doubts, 1)
	b.up = true
	w.cycle()
	assert.Equal(t, x.crash.Doubts, 1)
}

// Guards against counting a minion's crash against a task whose run there had ended
// unheard: twice in all is not twice under the task.
func TestCrashAfterAnUnheardEndFailsNoJob(t *testing.T) {
	w, o := newOwnedCluster(t, 6)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	x := firstTask(o, "a")
	crashed := w.holder(x)
	crashed.crash()
	for x.attempt < 2 || w.running() == 0 {
		w.live(simTick, reborn)
	}
	cut := w.holder(x)
	cut.up = false
	w.passCycles(4 * simTick)
	w.finish(cut, runKey{x.id, x.attempt}, work.Done)
	cut.up = true
	cut.crash()
	w.live(3*crashDuration, reborn)
	assert.Equal(t, w.crashes[x.id], 1)
	assert.Equal(t, w.state("a"), Completed)
}

// cutUntilLapse submits a job whose task is one doubt from being given up, and cuts its
// minion off until the leases there have ended.
func cutUntilLapse(t *testing.T) (*simCluster, *simOwner, *task) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", lastingTasks(1)))
	o.st.beginRounds(w.now)
	x := firstTask(o, "a")
	x.crash = crashRecord{Crashes: 1, Doubts: provenCrashes - 2, Suspect: true, Proven: true}
	w.crashes[x.id] = 2 // of which the record tells
	w.cycle()
	cut := w.holder(x)
	cut.up = false
	for x.phase == Placed {
		w.passCycles(simTick)
	}
	assert.Assert(t, x.guilty())
	assert.Equal(t, w.state("a"), Active, "its minion may still answer")
	return w, o, x
}

// Guards a job against being failed just before the minion that may have crashed under
// it answers again.
func TestVerdictWaitsForTheFateOfASilentMinion(t *testing.T) {
	w, _, x := cutUntilLapse(t)
	w.passCycles(time.Second)
	assert.Equal(t, w.running(), 0, "it is not started again meanwhile")
	for _, b := range w.minions {
		b.up = true
	}
	w.passCycles(2 * time.Second)
	assert.Equal(t, w.state("a"), Active)
	assert.Equal(t, w.running(), 1)
	assert.Equal(t, x.crash.Crashes, 1)
}

func TestVerdictWaitsNoLongerThanForTheFateOfASilentMinion(t *testing.T) {
	w, _, _ := cutUntilLapse(t)
	w.passCycles(fateTimeout)
	assert.Equal(t, w.state("a"), JobFailed)
}

// The next owner does not know for which minions a verdict waits.
func TestNextOwnerPassesTheVerdict(t *testing.T) {
	w, _, _ := cutUntilLapse(t)
	w.cycle()
	w.takeOver()
	w.passCycles(fateTimeout - time.Second)
	assert.Equal(t, w.state("a"), Active)
	assert.Equal(t, w.running(), 0)
	w.passCycles(2 * time.Second)
	assert.Equal(t, w.state("a"), JobFailed)
}
