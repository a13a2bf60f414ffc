package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// builtTasks is how many tasks of unfinished rounds the job has in memory.
func (j *job) builtTasks() int {
	n := 0
	for _, r := range j.rounds {
		if r.unfinished > 0 {
			for _, p := range r.steps {
				n += len(p.tasks)
			}
		}
	}
	return n
}

// Guards against LOST: all occurrences of a job that were due at once were built at once,
// and each owner exceeded its memory.
func TestOccurrencesThatAreDueAtOnceBeginByAndBy(t *testing.T) {
	const width = 100
	now := time.Unix(1_700_000_000, 0)
	s := New("s", 1, now, Limits{})
	in := newJob("often", tasks(width, 50))
	in.Times, in.Every = 1000, time.Millisecond
	s.Submit(now, in)
	j := s.jobs["often"]
	for turns := 0; j.state != Completed; turns++ {
		assert.Assert(t, turns <= in.Times*width/maxOpenTasks, "%d of %d rounds are finished", j.finished, in.Times)
		s.beginRounds(now)
		n := j.builtTasks()
		assert.Assert(t, n > 0 && n < maxOpenTasks+width, "%d tasks", n)
		for _, r := range j.rounds {
			for _, p := range r.steps {
				for _, x := range p.tasks {
					if x.phase != Finished {
						s.finishTask(now, p, x)
					}
				}
			}
		}
	}
	assert.Equal(t, j.finished, in.Times)
}
