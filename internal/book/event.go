// Package book implements the replicated state of one availability zone: its
// jobs and their tasks, the grants of minions to entries and the outcomes of
// requests with a key.
//
// The state changes only by events, and applying the same events in the same
// order yields the same state on every replica. The owner of the zone creates
// events, the journal stores them and every entry of the zone replays them.
package book

import "jasminestep/pkg/operator"

// Event is one change of a zone's state. Exactly one pointer is set.
type Event struct {
	At     int64            `json:"at"` // time of the decision, Unix milliseconds
	Own    *OwnerChange     `json:"own,omitempty"`
	Hand   *Handover        `json:"hand,omitempty"`
	Job    *Accept          `json:"job,omitempty"`
	Cancel *Cancel          `json:"cancel,omitempty"`
	Start  *Start           `json:"start,omitempty"`
	Run    *Run             `json:"run,omitempty"`
	Stop   *Stop            `json:"stop,omitempty"`
	End    *End             `json:"end,omitempty"`
	Give   *GrantAssignment `json:"give,omitempty"`
	Drain  *GrantDrain      `json:"drain,omitempty"`
	Key    *KeysRecorded    `json:"key,omitempty"`
	Hold   *Quarantine      `json:"hold,omitempty"`
	Move   *JobTransfer     `json:"move,omitempty"`
}

// OwnerChange makes an entry the zone's owner.
type OwnerChange struct {
	Entry string `json:"entry"`
	Boot  int64  `json:"boot"`  // incarnation of that entry
	Epoch int64  `json:"epoch"` // previous epoch plus one
}

// Handover gives up the ownership of the zone, so that a successor need not
// wait for the owner lease to expire.
type Handover struct {
	Entry string `json:"entry"`
}

// Accept adds a job. For a job that was transferred from another zone's journal,
// Tasks holds the state of its tasks there.
type Accept struct {
	ID    string       `json:"id"`
	Spec  operator.Job `json:"spec"`
	At    int64        `json:"at,omitempty"` // original acceptance of a transferred job, Unix milliseconds
	Tasks []Task       `json:"tasks,omitempty"`
}

// JobTransfer transfers a job to another zone's journal. It is written twice:
// before the transfer, and with Done once the other journal holds the job.
type JobTransfer struct {
	ID   string `json:"id"`
	Zone string `json:"zone"` // target zone
	Done bool   `json:"done,omitempty"`
}

// Cancel cancels a job. Queued tasks end at once, live tasks once they have
// stopped.
type Cancel struct {
	ID string `json:"id"`
}

// Start assigns a task to a worker. It is journalled before the start message is
// sent.
type Start struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
}

// Run records that a worker has reported the task as running.
type Run struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Addr    string `json:"addr,omitempty"` // address at which a service task serves requests
}

// Stop records that a running task is to be stopped; this is not counted as a
// failure.
type Stop struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Why     Cause  `json:"why"`
}

// End records that an attempt does not run any more and will never run again.
type End struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Cause   Cause  `json:"cause"`
	Why     string `json:"why,omitempty"`
	After   int64  `json:"after,omitempty"` // earliest next attempt, Unix milliseconds
	Ran     int64  `json:"ran,omitempty"`   // run time, milliseconds
	Final   bool   `json:"final,omitempty"` // no further attempt
}

// Cause is why an attempt ended or a task is being stopped.
type Cause string

// The causes of an end.
const (
	Done       Cause = "done"       // ran to completion
	Failed     Cause = "failed"     // the task itself failed
	Lost       Cause = "lost"       // its worker was lost or its lease expired
	Cancelled  Cause = "cancelled"  // its job was cancelled
	Preempted  Cause = "preempted"  // checkpointed to free resources
	Refused    Cause = "refused"    // the worker never started it
	Impossible Cause = "impossible" // does not fit any worker
)

// GrantAssignment makes an entry the only user of a minion's slots or the home
// of a key share, in which case Minion is "key/" followed by the number of the
// share.
type GrantAssignment struct {
	Minion string `json:"minion"`
	Entry  string `json:"entry"` // empty if the grant is deleted because the minion is gone
	Boot   int64  `json:"boot"`
	Clean  bool   `json:"clean,omitempty"` // the previous holder released it
	Pool   string `json:"pool,omitempty"`
	Addr   string `json:"addr,omitempty"`
	Slots  int    `json:"slots,omitempty"`
}

// GrantDrain asks the holder to release a minion or a key share.
type GrantDrain struct {
	Minion string `json:"minion"`
}

// KeysRecorded records the outcomes of requests with keys.
type KeysRecorded struct {
	Share int          `json:"share"` // number of the key share
	Seen  []KeyOutcome `json:"seen"`
}

// KeyOutcome is the outcome of one request with a key.
type KeyOutcome struct {
	Key     string `json:"key"`
	Outcome string `json:"outcome"` // answered or unknown
	Made    int64  `json:"made"`    // timestamp in the key, Unix milliseconds
}

// Quarantine takes a worker out of use, or back into use if On is false.
type Quarantine struct {
	Worker string `json:"worker"`
	On     bool   `json:"on"`
	Why    string `json:"why,omitempty"`
}
