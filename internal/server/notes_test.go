package server

import (
	"testing"

	"gotest.tools/v3/assert"

	"jasminestep/internal/shard"
)

func TestNotesOfSeveralTasksAreOneLine(t *testing.T) {
	placed := func(job, task, minion string, attempt int) shard.Note {
		return shard.Note{What: shard.TaskPlaced, Job: job, Task: task, Attempt: attempt, Minion: minion}
	}
	over := shard.Note{What: shard.JobEnded, Job: "a"}
	got := groupNotes([]shard.Note{
		placed("a", "a.0.0.0", "m1", 1), placed("a", "a.0.0.1", "m2", 1), placed("a", "a.0.0.2", "m1", 2),
		placed("b", "b.0.0.0", "m1", 2), over, over,
	})
	assert.DeepEqual(t, got, []shard.Note{
		placed("a", "a.0.0.0,a.0.0.1", "m1,m2", 1), placed("a", "a.0.0.2", "m1", 2),
		placed("b", "b.0.0.0", "m1", 2), over, over,
	})
}
