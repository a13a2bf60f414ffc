package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

func TestRunWithoutProgressIsStopped(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	first := w.minions[0]
	if len(first.runs) == 0 {
		first = w.minions[1]
	}
	first.stuck = true
	for range 30 {
		w.pass(100 * time.Millisecond)
		w.cycle()
	}
	assert.Equal(t, len(first.runs), 0)
	assert.Equal(t, w.running(), 1)
	assert.Equal(t, o.st.minions[first.ID].failures(), 1)
}

func TestMinionThatFailsEverythingIsProbed(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	p := tasks(8, 1000)
	p.Lasting = true
	w.submit(newJob("a", p))
	bad := w.minions[0]
	most := 0
	for range 100 {
		w.cycle()
		if o.st.minions[bad.ID].suspect() {
			most = max(most, len(bad.runs))
		}
		for k := range bad.runs {
			bad.end(k, work.Failed)
		}
		w.pass(200 * time.Millisecond)
	}
	assert.Assert(t, o.st.minions[bad.ID].failures() > 3)
	assert.Equal(t, most, 1, "a suspect minion gets one run at a time")
}

func TestFailuresWhilePausedCountOnce(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(4, 1000)))
	w.cycle()
	m := o.st.minions["m0"]
	m.failed = make([]failure, 1)
	for k := range w.minions[0].runs {
		w.minions[0].end(k, work.Failed)
	}
	o.renew(w.minions[0])
	assert.Equal(t, m.failures(), 2)
}

// Slow replies from unreachableMinions minions are enough to exclude the rest of
// their zone.
func TestZoneWithoutAnswersGetsNothingNew(t *testing.T) {
	w := newSimCluster(t, 6)
	for i, b := range w.minions {
		b.Zone = []string{"x", "y"}[i%2]
		w.writeRow(b)
	}
	o := w.takeOver()
	w.cycle()
	w.submit(newJob("a", tasks(2, 3000)))
	w.cycle()
	home := ""
	for _, b := range w.minions {
		for range b.runs {
			assert.Assert(t, home == "" || home == b.Zone, "the tasks of a step share a zone")
			home = b.Zone
		}
	}
	n := 0
	for _, b := range w.minions {
		if b.Zone == home && n < unreachableMinions {
			o.st.HandleSlowReply(w.now, o.st.minions[b.ID].Incarnation)
			n++
		}
	}
	w.pass(noReplyPause)
	w.submit(newJob("b", tasks(3, 3000)))
	o.step()
	for _, x := range o.batch.Starts {
		assert.Assert(t, x.Minion.Zone != home)
	}
	assert.Equal(t, len(o.batch.Starts), 3)
	o.commit(true)
	w.deliver(len(w.inFlight))
	w.cycle()
	assert.Assert(t, !o.st.zones[home].unreachable(w.now), "a reply makes the zone reachable again")
}

// In a large zone some minions are always slow to answer.
func TestZoneWithTwoSlowMinionsIsUnreachable(t *testing.T) {
	w, o := newOwnedCluster(t, 6)
	z := o.st.minions[w.minions[0].ID].zone
	for _, b := range w.minions[:unreachableMinions] {
		o.st.HandleSlowReply(w.now, b.Incarnation)
	}
	assert.Assert(t, !z.unreachable(w.now), "the others have just answered")
	w.pass(unreachableSilence)
	assert.Assert(t, z.unreachable(w.now))
	o.renew(w.minions[5])
	assert.Assert(t, !z.unreachable(w.now))
}

// Urgent tasks run on the fastest minions, and other work does not take that
// room first.
func TestUrgentTasksRunOnFastMinions(t *testing.T) {
	w, o := newOwnedCluster(t, 3)
	for i, slow := range []float64{1.25, 0.8, 1} {
		o.st.minions[w.minions[i].ID].slowness = slow
	}
	urgent := newJob("a", tasks(1, 1000))
	urgent.Slack, urgent.Target = 1.2, 100*time.Millisecond
	easy := newJob("b", tasks(1, 1000))
	easy.Slack, easy.Target = 4, 3*time.Second
	w.submit(easy)
	w.cycle()
	w.submit(urgent)
	w.cycle()
	assert.Equal(t, len(w.minions[1].runs), 1)
	for k := range w.minions[1].runs {
		assert.Equal(t, k.task.Job, "a")
	}
}

// A minion that has failed gets one run at a time until one succeeds, and a
// lasting run never ends.
func TestLastingRunDoesNotKeepASuspectMinionForItself(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	service := tasks(1, 1000)
	service.Lasting = true
	w.submit(newJob("service", service))
	w.live(lastingProof, replaced)
	assert.Equal(t, w.running(), 1)
	o.st.minions["m0"].failed = make([]failure, failuresBeforePause)
	w.submit(newJob("second", service))
	w.submit(newJob("batch", tasks(1, 1000)))
	w.live(30*time.Second, replaced)
	assert.Equal(t, w.state("batch"), Completed)
	assert.Equal(t, w.running(), 2)
}
