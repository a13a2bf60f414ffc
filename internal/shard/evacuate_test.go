package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

func TestDrainingMinionGetsNothingNew(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	m := w.minions[0].Minion
	m.Draining = true
	o.st.UpdateMinion(w.now, m, w.now)
	w.submit(newJob("a", tasks(1, 100)))
	w.cycle()
	assert.Equal(t, w.running(), 0)
}

func TestRunsLeaveAMinionThatDrains(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	long := tasks(1, 3000)
	long.Estimate, long.Checkpoints = 10*time.Second, true
	w.submit(newJob("a", long))
	w.cycle()
	out, other := w.minions[0], w.minions[1]
	if len(out.runs) == 0 {
		out, other = other, out
	}
	w.drain(out, 2*time.Second)
	for range 3 {
		w.cycle()
	}
	assert.Equal(t, len(out.runs), 0)
	assert.Equal(t, len(other.runs), 1)
}

func TestRunsThatEndInTimeStayWhereAMinionDrains(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	short := tasks(1, 3000)
	short.Estimate = 500 * time.Millisecond
	w.submit(newJob("a", short))
	w.cycle()
	out := w.minions[0]
	if len(out.runs) == 0 {
		out = w.minions[1]
	}
	w.drain(out, 2*time.Second)
	w.cycle()
	assert.Equal(t, len(out.runs), 1)
}

// A new minion at the address of another proves that the other one has ended.
func TestTasksOfAMinionThatIsGoneStartAtOnce(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(1, 3000)))
	w.cycle()
	out, other := w.minions[0], w.minions[1]
	if len(out.runs) == 0 {
		out, other = other, out
	}
	out.up = false
	out.runs = map[runKey]work.Size{}
	w.cycle()
	assert.Equal(t, len(other.runs), 0)
	o.st.HandleReplaced(w.now, out.Incarnation)
	w.cycle()
	assert.Equal(t, len(other.runs), 1)
}
