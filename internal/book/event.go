// Package book is the control state of one availability zone: its jobs, their
// tasks, who holds which minion and which requests with a key have run.
//
// The state changes by events alone, and applying the same events in the same
// order gives the same state everywhere. The owner of a zone decides events,
// the journal keeps them, and every entry of the zone replays them.
package book

import "jasminestep/pkg/operator"

// Event is one change of a zone's state. Exactly one pointer is set.
type Event struct {
	At     int64            `json:"at"` // when it was decided, Unix milliseconds
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

// Own makes an entry the zone's owner.
type OwnerChange struct {
	Entry string `json:"entry"`
	Boot  int64  `json:"boot"`  // incarnation of that entry
	Epoch int64  `json:"epoch"` // one more than the epoch before
}

// Hand gives the zone up: a successor need not wait for the lease.
type Handover struct {
	Entry string `json:"entry"`
}

// Accept takes a job in. Tasks is set for a job that another zone's journal
// accepted and gave away: its tasks as they were there.
type Accept struct {
	ID    string       `json:"id"`
	Spec  operator.Job `json:"spec"`
	At    int64        `json:"at,omitempty"` // first acceptance, if it was elsewhere, Unix milliseconds
	Tasks []Task       `json:"tasks,omitempty"`
}

// Move gives a job to another zone's journal. It is written twice: before the
// other journal has the job, and, with Done, once it has.
type JobTransfer struct {
	ID   string `json:"id"`
	Zone string `json:"zone"` // that takes it
	Done bool   `json:"done,omitempty"`
}

// Cancel ends a job: its queued tasks at once, its running tasks when stopped.
type Cancel struct {
	ID string `json:"id"`
}

// Start gives a task to a worker; it is journalled before the worker is asked.
type Start struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Worker  string `json:"worker"`
}

// Run records that a worker runs the task.
type Run struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Addr    string `json:"addr,omitempty"` // where a service's task answers requests
}

// Stop asks for a running task's end without counting it as a failure.
type Stop struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
	Why     Cause  `json:"why"`
}

// End records that an attempt no longer runs and never will again.
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

// The causes.
const (
	Done       Cause = "done"       // ran to completion
	Failed     Cause = "failed"     // the task itself failed
	Lost       Cause = "lost"       // its worker or its lease is gone
	Cancelled  Cause = "cancelled"  // its job was cancelled
	Preempted  Cause = "preempted"  // checkpointed to make room
	Refused    Cause = "refused"    // the worker never started it
	Impossible Cause = "impossible" // no worker can ever hold it
)

// Give makes an entry the only one that spends a minion's slots, or the home
// of a share of the keys (Minion is then "key/" and the share's number).
type GrantAssignment struct {
	Minion string `json:"minion"`
	Entry  string `json:"entry"` // empty: nobody, the minion is gone
	Boot   int64  `json:"boot"`
	Clean  bool   `json:"clean,omitempty"` // the holder before gave it up itself
	Pool   string `json:"pool,omitempty"`
	Addr   string `json:"addr,omitempty"`
	Slots  int    `json:"slots,omitempty"`
}

// Drain asks a holder to give a minion or a share of the keys up.
type GrantDrain struct {
	Minion string `json:"minion"`
}

// Key records the outcomes of requests with keys.
type KeysRecorded struct {
	Share int          `json:"share"` // of the keys
	Seen  []KeyOutcome `json:"seen"`
}

// KeyOutcome is what became of one request with a key.
type KeyOutcome struct {
	Key     string `json:"key"`
	Outcome string `json:"outcome"` // answered or unknown
	Made    int64  `json:"made"`    // time in the key, Unix milliseconds
}

// Hold takes a worker out of use, or back into it.
type Quarantine struct {
	Worker string `json:"worker"`
	On     bool   `json:"on"`
	Why    string `json:"why,omitempty"`
}
