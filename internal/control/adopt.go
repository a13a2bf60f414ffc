package control

import (
	"time"

	"jasminestep/internal/book"
)

// Adoption: when a whole zone has been unreachable for long, an owner in another
// zone takes over its journal and transfers its queued jobs to its own zone. A
// transfer takes three idempotent steps: the source journal records the transfer
// and never starts the job again; the target accepts the job once under its id;
// the source records the acceptance.

// AdoptJob requests that a zone's owner accept a job transferred from another
// zone's journal.
type AdoptJob struct {
	Job   book.Job
	Reply chan<- Answer // buffered
}

func (m AdoptJob) handle(c *Controller, now time.Time) {
	if c.State.Jobs[m.Job.ID] == nil {
		a := &book.Accept{ID: m.Job.ID, Spec: m.Job.Spec, At: m.Job.Accepted}
		for _, t := range m.Job.Tasks {
			a.Tasks = append(a.Tasks, *t)
		}
		c.emit(now, book.Event{Job: a})
		c.addToTimeline(now, "adopt", m.Job.ID, "from another zone")
		c.enqueueJob(c.State.Jobs[m.Job.ID])
	}
	c.addEffect(Effect{Reply: m.Reply, Answer: Answer{OK: true, ID: m.Job.ID}})
}

// TransferConfirmed reports that the target zone's journal has accepted the job.
type TransferConfirmed struct {
	ID string
}

func (m TransferConfirmed) handle(c *Controller, now time.Time) {
	if j := c.State.Jobs[m.ID]; j != nil && j.Moved != "" && !j.Sent {
		c.emit(now, book.Event{Move: &book.JobTransfer{ID: m.ID, Zone: j.Moved, Done: true}})
	}
}

// transferRetryInterval is the interval after which a transfer that was not
// confirmed is repeated.
const transferRetryInterval = 2 * time.Second

// maxTransfers bounds the number of jobs transferred in one step.
const maxTransfers = 200

// transferJobs transfers every job without a live task to TransferZone. The
// leases of tasks that may move have expired by then. Jobs with tasks that
// must stay on their worker are kept until that worker has left the VM list.
func (c *Controller) transferJobs(now time.Time) {
	if now.Sub(c.lastTransfer) < transferRetryInterval {
		return
	}
	c.lastTransfer = now
	n := 0
	for _, id := range sortedKeys(c.State.Jobs) {
		j := c.State.Jobs[id]
		if j.Ended != 0 || j.Sent || hasLiveTask(j) || n >= maxTransfers {
			continue
		}
		n++
		if j.Moved == "" {
			c.emit(now, book.Event{Move: &book.JobTransfer{ID: id, Zone: c.TransferZone}})
			c.addToTimeline(now, "adopt", id, "given to "+c.TransferZone)
		}
		for _, t := range j.Tasks {
			c.Queue.Remove(t.ID)
		}
		c.Queue.Remove(id)
		c.addEffect(Effect{Transfer: copyJob(j)})
	}
}

func hasLiveTask(j *book.Job) bool {
	for _, t := range j.Tasks {
		if t.Live() {
			return true
		}
	}
	return false
}

// copyJob returns a deep copy of a job for use by another goroutine.
func copyJob(j *book.Job) *book.Job {
	c := *j
	c.Tasks = nil
	for _, t := range j.Tasks {
		x := *t
		c.Tasks = append(c.Tasks, &x)
	}
	return &c
}
