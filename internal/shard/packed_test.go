package shard

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// Limits of the store and of a job, which the server enforces.
const (
	maxStoreRow = 64 << 10
	maxJobTasks = 10_000
)

// wideProgress is the row of a job whose tasks are placed at random.
func wideProgress(t *testing.T, j *work.Job, minions int) (*State, []byte) {
	t.Helper()
	s := New("s", 1, time.Time{}, Limits{})
	s.Submit(time.Time{}, j)
	rng := rand.New(rand.NewSource(1))
	n := s.jobs[j.ID]
	n.state = Active
	for k := range j.Rounds() {
		s.addRound(n, s.newRound(n, k))
		for _, p := range n.rounds[k].steps {
			for _, x := range p.tasks {
				i := rng.Intn(minions)
				x.phase, x.attempt = Placed, 1+rng.Intn(2)
				x.incarnation = work.Incarnation{ID: fmt.Sprintf("i-%08x", uint32(i*2654435761)), Born: 1_700_000_000_000 + int64(i*4057%60_000)}
			}
		}
	}
	r, err := n.row("s")
	assert.NilError(t, err)
	return s, r.Value
}

// Guards against LOST: the progress of a wide job outgrew a row, and its service made
// nothing durable any more.
func TestProgressOfAWideJobFitsInARow(t *testing.T) {
	for _, minions := range []int{8, 64, 1100} {
		j := newJob("wide", tasks(maxJobTasks, 50))
		s, row := wideProgress(t, j, minions)
		assert.Assert(t, len(row) <= maxStoreRow, "%d bytes on %d minions", len(row), minions)
		state, err := ParseJobState(row)
		assert.NilError(t, err)
		assert.Equal(t, state, Active)

		next := New("s", 2, time.Time{}, Limits{})
		assert.NilError(t, next.Load(time.Time{}, time.Time{}, j, row))
		want, got := s.jobs["wide"].rounds[0].steps[0].tasks, next.jobs["wide"].rounds[0].steps[0].tasks
		for i := range want {
			assert.Equal(t, got[i].attempt, want[i].attempt)
			assert.Equal(t, got[i].incarnation, want[i].incarnation)
		}
	}
}

// Guards against the same by the ended occurrences of a job.
func TestProgressOfManyOccurrencesFitsInARow(t *testing.T) {
	j := newJob("often", tasks(1, 50))
	j.Times = maxJobTasks
	s := New("s", 1, time.Time{}, Limits{})
	s.Submit(time.Time{}, j)
	n := s.jobs[j.ID]
	n.state = Active
	for k := range j.Rounds() - 1 {
		n.rounds[k] = &round{number: k}
	}
	r, err := n.row("s")
	assert.NilError(t, err)
	assert.Assert(t, len(r.Value) <= maxStoreRow, "%d bytes", len(r.Value))
	p, err := decodeProgress(r.Value)
	assert.NilError(t, err)
	assert.Equal(t, len(p.Rounds), maxJobTasks-1)
	assert.NilError(t, p.check(j))
}

// A packed row that another writer has spoilt is refused as a whole.
func TestSpoiltProgressIsRefused(t *testing.T) {
	j := newJob("wide", tasks(maxJobTasks, 50))
	_, row := wideProgress(t, j, 8)
	row[len(row)/2]++
	assert.Assert(t, New("s", 2, time.Time{}, Limits{}).Load(time.Time{}, time.Time{}, j, row) != nil)
	p := progress{Rounds: []savedRound{{Steps: [][]savedTask{{{Place: 2}}}}}, Minions: []savedMinion{{ID: "a"}}}
	assert.ErrorContains(t, p.nameMinions(), "minion 2 of 1")
}
