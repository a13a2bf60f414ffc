package control

import (
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/place"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

func placePolicy(name string) place.NamedPolicy { return place.PolicyByName(name) }

func (m Started) handle(c *Controller, now time.Time) {
	if c.starts[m.Task] != m.Attempt {
		return
	}
	delete(c.starts, m.Task)
	_, t := c.State.Task(m.Task)
	if t == nil || t.Attempt != m.Attempt || !t.Live() {
		return
	}
	switch {
	case m.Refused:
		c.end(now, t, book.Refused, m.Why, 0)
	case m.Unknown && t.State == book.Starting:
		c.halt(now, t, book.Lost)
	}
}

func (m Reported) handle(c *Controller, now time.Time) {
	v := c.vm(m.Worker, now)
	v.Heard, v.Boot, v.Gen = now, m.Report.Boot, m.Report.Gen
	named := map[string]bool{}
	for i := range m.Report.Tasks {
		s := &m.Report.Tasks[i]
		named[s.Task] = true
		c.status(now, v, s)
	}
	if m.Report.Full {
		c.unnamed(now, v, named)
	}
	c.refresh(v, now)
}

// refresh brings a worker's availability up to date.
func (c *Controller) refresh(v *VM, now time.Time) {
	w := c.Cluster.Workers[v.ID]
	if held := c.unusable(v, now); w.Unschedulable != held {
		c.Cluster.SetWorker(v.ID, w.Rack, w.Capacity, held)
		c.restless = true
	}
}

// status takes in what a worker says of one attempt.
func (c *Controller) status(now time.Time, v *VM, s *worker.AttemptStatus) {
	_, t := c.State.Task(s.Task)
	ours := t != nil && t.Live() && t.Attempt == s.Attempt && t.Worker == v.ID
	if s.State == "running" {
		switch {
		case !ours:
			c.effect(c.stopAt(v.ID, s.Task, s.Attempt, worker.ModeStop))
		case t.State == book.Starting:
			c.emit(now, book.Event{Run: &book.Run{Task: t.ID, Attempt: t.Attempt, Addr: s.Addr}})
			c.note(now, "run", t.ID, v.ID)
		}
		if ours {
			c.Cluster.ObserveUsage(t.ID, s.Usage)
		}
		return
	}
	c.acks[v.ID] = append(c.acks[v.ID], ack{worker.Ref{Task: s.Task, Attempt: s.Attempt}, now.Add(c.Timing.TaskLease + c.Timing.ClockSkew)})
	if ours {
		c.ended(now, v, t, s)
	}
}

// unnamed deals with tasks that a worker should run but did not name in a full
// report. A start may still be on its way to it, so each is first stopped: the
// worker then never starts that attempt, and says so.
func (c *Controller) unnamed(now time.Time, v *VM, named map[string]bool) {
	for _, id := range sortedKeys(c.Cluster.Workers[v.ID].Tasks) {
		_, t := c.State.Task(id)
		if named[id] || t == nil || c.starts[id] != 0 {
			continue
		}
		if t.State != book.Stopping {
			c.halt(now, t, book.Lost)
		}
	}
}

// ended takes in the confirmed end of an attempt.
func (c *Controller) ended(now time.Time, v *VM, t *book.Task, s *worker.AttemptStatus) {
	ran := time.Duration(s.Ran) * time.Millisecond
	j, _ := c.State.Task(t.ID)
	switch s.State {
	case "done":
		c.Runtimes.Record(j.Spec.Member+"/"+j.Spec.Lineage(), ran)
		c.praise(now, v)
		c.end(now, t, book.Done, "", ran)
	case "failed":
		if c.blame(now, v, t) {
			c.end(now, t, book.Lost, "its worker fails everything: "+s.Why, ran)
			return
		}
		c.end(now, t, book.Failed, s.Why, ran)
	case "lapsed":
		c.end(now, t, book.Lost, "lease lapsed on the worker", ran)
	default:
		cause := t.Cause
		if cause == "" {
			cause = book.Lost
		}
		c.end(now, t, cause, s.Why, ran)
	}
}

// Backoff between attempts of a task.
const (
	firstPause = 200 * time.Millisecond
	lastPause  = 30 * time.Second
)

// end journals the end of an attempt and lets the task wait again if it is to
// have another.
func (c *Controller) end(now time.Time, t *book.Task, cause book.Cause, why string, ran time.Duration) {
	j, _ := c.State.Task(t.ID)
	fails := t.Failures
	if cause == book.Failed {
		fails++
	}
	service := j.Spec.Kind == operator.Service
	e := book.End{Task: t.ID, Attempt: t.Attempt, Cause: cause, Why: why, Ran: ran.Milliseconds()}
	switch {
	case cause == book.Impossible, cause == book.Cancelled, j.Cancelled:
		e.Final = true
	case cause == book.Done:
		e.Final = !service
	case cause == book.Failed:
		e.Final = !service && fails >= j.Spec.Limit()
	}
	if !e.Final && cause != book.Preempted && cause != book.Lost {
		e.After = now.Add(min(firstPause<<min(fails, 8), lastPause)).UnixMilli()
	}
	w := t.Worker
	c.emit(now, book.Event{End: &e})
	c.Cluster.Release(t.ID)
	delete(c.stops, t.ID)
	delete(c.starts, t.ID)
	c.restless = true
	c.note(now, "end", t.ID, string(cause)+" on "+w+" "+why)
	switch {
	case j.Spec.Kind == operator.Gang:
		// Whichever task ends last lets those that start again wait as one.
		if t.State == book.Queued {
			c.regang(j)
		}
		c.enqueue(j, t)
	case t.State == book.Queued:
		c.enqueue(j, t)
	}
}

// regang stops the rest of a gang of which one task has to start again: its
// tasks run together or not at all.
func (c *Controller) regang(j *book.Job) {
	now := time.UnixMilli(c.State.At)
	for _, t := range j.Tasks {
		if t.State == book.Starting || t.State == book.Running {
			c.halt(now, t, book.Preempted)
		}
	}
}

// halt journals that a task is to stop and begins to ask its worker.
func (c *Controller) halt(now time.Time, t *book.Task, cause book.Cause) {
	c.emit(now, book.Event{Stop: &book.Stop{Task: t.ID, Attempt: t.Attempt, Why: cause}})
	c.note(now, "stop", t.ID, string(cause))
	c.stops[t.ID] = now
}

func (c *Controller) stopAt(w, task string, attempt int, how worker.StopMode) Effect {
	return Effect{Worker: w, Stop: &worker.StopRequest{Task: task, Attempt: attempt, Epoch: c.State.Epoch, Mode: how}}
}

// Quarantine of workers.
const (
	suspectAfter = 3                // failures in a row, of different jobs
	firstHold    = 5 * time.Second  // before the first probe
	lastHold     = 10 * time.Minute // between probes
)

// blame counts a failure against the worker and reports whether it alone is to
// blame: the last few attempts there failed and belonged to different jobs.
func (c *Controller) blame(now time.Time, v *VM, t *book.Task) bool {
	job, _, _ := book.Split(t.ID)
	v.streak[job] = true
	if len(v.streak) < suspectAfter {
		return false
	}
	if _, held := c.State.Quarantined[v.ID]; !held || !now.Before(v.retryAt) {
		v.retryAt = now.Add(min(firstHold<<min(v.rounds, 8), lastHold))
		v.rounds++
		c.emit(now, book.Event{Hold: &book.Quarantine{Worker: v.ID, On: true, Why: "fails every task it starts"}})
		c.note(now, "hold", v.ID, "fails every task it starts")
	}
	return true
}

// praise clears a worker that completed a task.
func (c *Controller) praise(now time.Time, v *VM) {
	clear(v.streak)
	v.rounds = 0
	if _, held := c.State.Quarantined[v.ID]; held {
		v.retryAt = time.Time{}
		c.emit(now, book.Event{Hold: &book.Quarantine{Worker: v.ID}})
		c.note(now, "hold", v.ID, "released: a probe ran to completion")
	}
}
