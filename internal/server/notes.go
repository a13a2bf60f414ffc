package server

import (
	"strings"

	"jasminestep/internal/shard"
)

// maxGroupedNotes is the maximum number of tasks covered by one log line.
const maxGroupedNotes = 50

// groupNotes merges adjacent notes that report the same event of several tasks
// of a job into one, whose task and minion are comma-separated lists in the
// same order.
func groupNotes(notes []shard.Note) []shard.Note {
	var out []shard.Note
	for i := 0; i < len(notes); {
		n := notes[i]
		end := i + 1
		for end < len(notes) && end-i < maxGroupedNotes && sameEvent(n, notes[end]) {
			end++
		}
		if end > i+1 {
			n.Task, n.Minion = joinTasks(notes[i:end])
		}
		out = append(out, n)
		i = end
	}
	return out
}

func sameEvent(a, b shard.Note) bool {
	return a.Task != "" && a.Minion != "" && b.Task != "" && b.Minion != "" &&
		a.What == b.What && a.Job == b.Job && a.Attempt == b.Attempt && a.Why == b.Why
}

func joinTasks(notes []shard.Note) (tasks, minions string) {
	ts, ms := make([]string, len(notes)), make([]string, len(notes))
	for i, n := range notes {
		ts[i], ms[i] = n.Task, n.Minion
	}
	return strings.Join(ts, ","), strings.Join(ms, ",")
}
