package book

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"jasminestep/pkg/operator"
)

// When more keys come than are kept, the time of what was forgotten is kept:
// an absent key from before it may have run.
func TestForgottenKeysLeaveTheirTime(t *testing.T) {
	b := &ZoneState{}
	seen := make([]KeyOutcome, keepKeys+10)
	for i := range seen {
		seen[i] = KeyOutcome{Key: fmt.Sprint(i), Outcome: "answered", Made: int64(1000 + i)}
	}
	b.Apply(&Event{Key: &KeysRecorded{Seen: seen}})
	assert.Equal(t, len(b.Keys), keepKeys)
	assert.Equal(t, b.LastEvictedKeyMS, int64(1009))
}

func accepted(tasks int) *ZoneState {
	b := &ZoneState{}
	b.Apply(&Event{At: 1, Own: &OwnerChange{Entry: "e", Epoch: 1}})
	b.Apply(&Event{At: 2, Job: &Accept{ID: "j", Spec: operator.Job{Tasks: tasks}}})
	return b
}

// Events of superseded attempts, which a deposed owner may have left behind,
// change nothing.
func TestStaleEventsChangeNothing(t *testing.T) {
	b := accepted(1)
	b.Apply(&Event{At: 3, Start: &Start{Task: "j#0", Attempt: 1, Worker: "w1"}})
	b.Apply(&Event{At: 4, End: &End{Task: "j#0", Attempt: 1, Cause: Lost}})
	b.Apply(&Event{At: 5, Start: &Start{Task: "j#0", Attempt: 2, Worker: "w2"}})
	for _, e := range []Event{
		{Start: &Start{Task: "j#0", Attempt: 2, Worker: "w3"}},
		{Run: &Run{Task: "j#0", Attempt: 1}},
		{End: &End{Task: "j#0", Attempt: 1, Cause: Done, Final: true}},
		{Stop: &Stop{Task: "j#0", Attempt: 1, Why: Lost}},
		{End: &End{Task: "j#9", Attempt: 1}},
		{Cancel: &Cancel{ID: "other"}},
		{Move: &JobTransfer{ID: "other", Zone: "y"}},
	} {
		b.Apply(&e)
	}
	_, x := b.Task("j#0")
	assert.Assert(t, x.State == Starting && x.Worker == "w2" && x.Attempt == 2)
}

// A job that was given to another zone is never started here again, and ends
// here once the other has it.
func TestMovedJobNeverStarts(t *testing.T) {
	b := accepted(2)
	b.Apply(&Event{At: 3, Move: &JobTransfer{ID: "j", Zone: "y"}})
	b.Apply(&Event{At: 4, Start: &Start{Task: "j#0", Attempt: 1, Worker: "w"}})
	b.Apply(&Event{At: 5, Cancel: &Cancel{ID: "j"}})
	j, x := b.Task("j#0")
	assert.Assert(t, x.State == Queued && !j.Cancelled && j.Ended == 0)
	b.Apply(&Event{At: 6, Move: &JobTransfer{ID: "j", Zone: "y", Done: true}})
	assert.Assert(t, j.Ended == 6 && j.Sent)
	y := &ZoneState{}
	var tasks []Task
	for _, x := range j.Tasks {
		tasks = append(tasks, *x)
	}
	for range 2 { // said again, it is accepted once
		y.Apply(&Event{At: 9, Job: &Accept{ID: "j", Spec: j.Spec, At: 2, Tasks: tasks}})
	}
	y.Apply(&Event{At: 10, Start: &Start{Task: "j#0", Attempt: 1, Worker: "w"}})
	_, x = y.Task("j#0")
	assert.Assert(t, x.State == Starting && y.Jobs["j"].Accepted == 2)
}

func TestEndedJobsAreForgottenInOrder(t *testing.T) {
	b := &ZoneState{}
	for i := range keepJobs + 3 {
		id := fmt.Sprint(i)
		b.Apply(&Event{At: int64(i), Job: &Accept{ID: id}})
		b.Apply(&Event{At: int64(i), Cancel: &Cancel{ID: id}})
	}
	assert.Equal(t, len(b.Jobs), keepJobs)
	assert.Assert(t, b.Jobs["2"] == nil && b.Jobs["3"] != nil)
}
