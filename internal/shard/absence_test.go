package shard

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// notesOf returns the reasons in the notes of an event.
func notesOf(o *simOwner, what Event) (out []string) {
	for _, n := range o.st.Notes {
		if n.What == what {
			out = append(out, n.Why)
		}
	}
	return out
}

func TestAbsenceOfALostTaskIsForItsLease(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", lastingTasks(1)))
	w.cycle()
	w.busiest().crash()
	for range 140 {
		w.pass(simTick)
		w.cycle()
	}
	assert.Equal(t, w.running(), 1)
	assert.Equal(t, len(o.st.Absences), 1)
	a := o.st.Absences[0]
	assert.Equal(t, a.Start, MinionLost)
	assert.Equal(t, a.Cause, AwaitsLease)
	assert.Assert(t, a.Took > 4*time.Second && a.Took < restartTarget, "%v", a.Took)
}

// One play has to tell an absence that nobody could have shortened from one for
// which work that may wait is to blame.
func TestLongAbsenceTellsWhatItIsFor(t *testing.T) {
	for _, cause := range []AbsenceCause{AwaitsMinion, AwaitsRoom} {
		q := newQueryingOwner(t, 2, "m0", "m1")
		w := q.cluster
		if cause == AwaitsMinion {
			w.minion("m1").Labels = []string{"other"}
			w.writeRow(w.minion("m1"))
		}
		full := tasks(1, 4000)
		full.Lasting, full.Label = true, "other"
		if cause == AwaitsRoom {
			full.Label = ""
		}
		w.submit(newJob("full", full))
		q.run(time.Second)
		st := lastingTasks(1)
		if cause == AwaitsMinion {
			st.Label = "r0"
		}
		w.submit(advisedJob("a", st))
		q.run(time.Second)
		assert.Equal(t, w.running(), 2, "%v", cause)
		q.loseMinion(q.st.jobs["a"].rounds[0].steps[0].tasks[0].incarnation.ID)
		q.run(7 * time.Second)
		ns := notesOf(q.simOwner, TaskAbsent)
		assert.Equal(t, len(ns), 1, "%v", cause)
		assert.Assert(t, strings.Contains(ns[0], "now "+cause.String()), "%v: %s", cause, ns[0])
		q.st.Cancel(w.now, "a")
		q.run(time.Second)
		assert.Equal(t, q.st.Absences[len(q.st.Absences)-1].Cause, cause)
	}
}

func TestAbsenceOutlastsItsOwner(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	w.submit(newJob("a", lastingTasks(1)))
	w.cycle()
	w.minions[0].crash()
	for range 200 { // 10 s: the run is given up, and there is no other minion
		w.pass(simTick)
		w.cycle()
	}
	o := w.takeOver()
	w.cycle()
	ns := notesOf(o, TaskAbsent)
	assert.Equal(t, len(ns), 1)
	assert.Assert(t, strings.HasPrefix(ns[0], "lost, away for "), ns[0])
	assert.Equal(t, len(o.st.absences), 1)
	away := w.now.Sub(o.st.absences[0].since)
	assert.Assert(t, away > 9*time.Second && away < 11*time.Second, "%v", away)
}
