package shard

import (
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// StartOrder is a start to be sent.
type StartOrder struct {
	Minion        work.Minion
	Start         work.Start
	ticketExpires time.Time // end of the ticket's validity, if there is a ticket
}

// StopOrder is a stop to be sent.
type StopOrder struct {
	Minion  work.Minion
	Task    work.TaskID
	Attempt int
	Token   int64
}

// ThrottleOrder is an order to let a run work at a percentage of its speed.
type ThrottleOrder struct {
	Minion  work.Minion
	Task    work.TaskID
	Attempt int
	Speed   int // percent
	Token   int64
}

// AdviceQuery is a query to the placement service.
type AdviceQuery struct {
	Step work.TaskID // Index is not used
	IDs  []string
	Cost time.Duration

	renewal bool // for minions that are known to be eligible
}

// JobStatus is the status of a job that clients see.
type JobStatus struct {
	ID    string
	Queue string
	State JobState // empty: the job has been deleted
	Begun bool

	Account string // empty if it belongs to none
}

// Batch is a set of changes to make durable and the effects that follow once
// they are.
type Batch struct {
	Rows      []table.Row
	Delete    []table.Key
	Starts    []StartOrder
	AckedEnds map[work.Incarnation]int64 // ends that the minions may discard
	Statuses  []JobStatus
	Ended     []JobStatus // jobs to archive; HandleArchived reports that they are
}

// NeedsWrite reports whether the effects of the batch have to wait for a write
// that proves that this owner still has the shard: a former owner that lets a
// minion discard an end would hide the end from its successor.
func (b *Batch) NeedsWrite() bool { return len(b.Rows)+len(b.Delete)+len(b.AckedEnds) > 0 }

// Actions may be carried out without a durable write first.
type Actions struct {
	Stops     []StopOrder
	Throttles []ThrottleOrder // HandleThrottleReply has to be called for each
	Queries   []AdviceQuery
	Statuses  []JobStatus
}
