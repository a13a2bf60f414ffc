package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

func TestRunThatStandsStillIsEnded(t *testing.T) {
	w, o := begun(t, 2)
	w.submit(newJob("a", tasks(1, 1000)))
	w.turn()
	first := w.minions[0]
	if len(first.runs) == 0 {
		first = w.minions[1]
	}
	first.stuck = true
	for range 30 {
		w.pass(100 * time.Millisecond)
		w.turn()
	}
	assert.Equal(t, len(first.runs), 0)
	assert.Equal(t, w.running(), 1)
	assert.Equal(t, o.st.minions[first.ID].strikes, 1)
}

func TestMinionThatFailsEverythingIsProbed(t *testing.T) {
	w, o := begun(t, 2)
	p := tasks(8, 1000)
	p.Lasting = true
	w.submit(newJob("a", p))
	bad := w.minions[0]
	most := 0
	for range 100 {
		w.turn()
		if o.st.minions[bad.ID].suspect() {
			most = max(most, len(bad.runs))
		}
		for k := range bad.runs {
			bad.end(k, work.Failed)
		}
		w.pass(200 * time.Millisecond)
	}
	assert.Assert(t, o.st.minions[bad.ID].strikes > 3)
	assert.Equal(t, most, 1, "a minion under suspicion gets one run at a time")
}

func TestOneBadMomentIsOneStrike(t *testing.T) {
	w, o := begun(t, 1)
	w.submit(newJob("a", tasks(4, 1000)))
	w.turn()
	m := o.st.minions["m0"]
	m.strikes = 1
	for k := range w.minions[0].runs {
		w.minions[0].end(k, work.Failed)
	}
	o.renew(w.minions[0])
	assert.Equal(t, m.strikes, 2)
}

// Two starts without an answer are enough: the rest of the zone is spared.
func TestZoneWithoutAnswersGetsNothingNew(t *testing.T) {
	w := newWorld(t, 6)
	for i, b := range w.minions {
		b.Zone = []string{"x", "y"}[i%2]
	}
	o := w.takeOver()
	w.turn()
	w.submit(newJob("a", tasks(2, 3000)))
	w.turn()
	home := ""
	for _, b := range w.minions {
		for range b.runs {
			assert.Assert(t, home == "" || home == b.Zone, "the tasks of a step share a zone")
			home = b.Zone
		}
	}
	n := 0
	for _, b := range w.minions {
		if b.Zone == home && n < lateMinions {
			o.st.Late(w.now, o.st.minions[b.ID].Incarnation)
			n++
		}
	}
	w.pass(unansweredPause)
	w.submit(newJob("b", tasks(3, 3000)))
	o.step()
	for _, x := range o.batch.Starts {
		assert.Assert(t, x.Minion.Zone != home)
	}
	assert.Equal(t, len(o.batch.Starts), 3)
	o.commit(true)
	w.deliver(len(w.flying))
	w.turn()
	assert.Assert(t, !o.st.zones[home].doubted(), "an answer clears the doubt")
}

// What has little time left runs where runs are over soonest; other work does not
// take that room first.
func TestUrgentTasksRunOnFastMinions(t *testing.T) {
	w, o := begun(t, 3)
	for i, slow := range []float64{1.25, 0.8, 1} {
		o.st.minions[w.minions[i].ID].slow = slow
	}
	urgent := newJob("a", tasks(1, 1000))
	urgent.Slack, urgent.Target = 1.2, 100*time.Millisecond
	easy := newJob("b", tasks(1, 1000))
	easy.Slack, easy.Target = 4, 3*time.Second
	w.submit(easy)
	w.turn()
	w.submit(urgent)
	w.turn()
	assert.Equal(t, len(w.minions[1].runs), 1)
	for k := range w.minions[1].runs {
		assert.Equal(t, k.task.Job, "a")
	}
}
