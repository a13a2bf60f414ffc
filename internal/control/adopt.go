package control

import (
	"time"

	"jasminestep/internal/book"
)

// Adoption: when nothing of a zone has been seen for long, an owner of another
// zone takes its journal over and gives its queued jobs to its own zone's
// journal. A job crosses between two journals in three steps, each of which may
// be repeated: this one says that it gives the job away and never starts it
// again; the other accepts it under its id, once; this one notes that.

// Adopted asks a zone's owner to accept a job that another zone's journal has
// given away.
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
		c.note(now, "adopt", m.Job.ID, "from another zone")
		c.queueAll(c.State.Jobs[m.Job.ID])
	}
	c.effect(Effect{Reply: m.Reply, Answer: Answer{OK: true, ID: m.Job.ID}})
}

// Delivered says that the other journal has the job.
type Delivered struct {
	ID string
}

func (m Delivered) handle(c *Controller, now time.Time) {
	if j := c.State.Jobs[m.ID]; j != nil && j.Moved != "" && !j.Sent {
		c.emit(now, book.Event{Move: &book.JobTransfer{ID: m.ID, Zone: j.Moved, Done: true}})
	}
}

// giveEvery is how long a job that was given away waits for the other journal's
// word before it is given again.
const giveEvery = 2 * time.Second

// mostGiven bounds the jobs given away in one step.
const mostGiven = 200

// giveAway gives every job of which nothing runs to the home zone. Tasks that
// move have lapsed by then; jobs with tasks that stay are left alone until the
// VM list has their workers gone.
func (c *Controller) giveAway(now time.Time) {
	if now.Sub(c.given) < giveEvery {
		return
	}
	c.given = now
	n := 0
	for _, id := range sortedKeys(c.State.Jobs) {
		j := c.State.Jobs[id]
		if j.Ended != 0 || j.Sent || anyLive(j) || n >= mostGiven {
			continue
		}
		n++
		if j.Moved == "" {
			c.emit(now, book.Event{Move: &book.JobTransfer{ID: id, Zone: c.TransferZone}})
			c.note(now, "adopt", id, "given to "+c.TransferZone)
		}
		for _, t := range j.Tasks {
			c.Queue.Remove(t.ID)
		}
		c.Queue.Remove(id)
		c.effect(Effect{Give: snapshot(j)})
	}
}

func anyLive(j *book.Job) bool {
	for _, t := range j.Tasks {
		if t.Live() {
			return true
		}
	}
	return false
}

// snapshot copies a job, for use by another goroutine.
func snapshot(j *book.Job) *book.Job {
	c := *j
	c.Tasks = nil
	for _, t := range j.Tasks {
		x := *t
		c.Tasks = append(c.Tasks, &x)
	}
	return &c
}
