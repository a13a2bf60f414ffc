package control

import (
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/place"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

func placePolicy(name string) place.NamedPolicy { return place.PolicyByName(name) }

func (m StartResult) handle(c *Controller, now time.Time) {
	if c.pendingStarts[m.Task] != m.Attempt {
		return
	}
	delete(c.pendingStarts, m.Task)
	_, t := c.State.Task(m.Task)
	if t == nil || t.Attempt != m.Attempt || !t.Live() {
		return
	}
	switch {
	case m.Refused:
		c.endAttempt(now, t, book.Refused, m.Why, 0)
	case m.Unknown && t.State == book.Starting:
		c.requestStop(now, t, book.Lost)
	}
}

func (m WorkerReported) handle(c *Controller, now time.Time) {
	v := c.workerVM(m.Worker, now)
	v.LastReport, v.Boot, v.Gen = now, m.Report.Boot, m.Report.Gen
	reported := map[string]bool{}
	for i := range m.Report.Tasks {
		s := &m.Report.Tasks[i]
		reported[s.Task] = true
		c.handleStatus(now, v, s)
	}
	if m.Report.Full {
		c.stopUnreported(now, v, reported)
	}
	c.refreshAvailability(v, now)
}

// refreshAvailability updates a worker's availability in the cluster.
func (c *Controller) refreshAvailability(v *WorkerVM, now time.Time) {
	w := c.Cluster.Workers[v.ID]
	if held := c.unavailable(v, now); w.Unschedulable != held {
		c.Cluster.SetWorker(v.ID, w.Rack, w.Capacity, held)
		c.placementDue = true
	}
}

// handleStatus processes a worker's status of one attempt.
func (c *Controller) handleStatus(now time.Time, v *WorkerVM, s *worker.AttemptStatus) {
	_, t := c.State.Task(s.Task)
	current := t != nil && t.Live() && t.Attempt == s.Attempt && t.Worker == v.ID
	if s.State == "running" {
		switch {
		case !current:
			c.addEffect(c.stopEffect(v.ID, s.Task, s.Attempt, worker.ModeStop))
		case t.State == book.Starting:
			c.emit(now, book.Event{Run: &book.Run{Task: t.ID, Attempt: t.Attempt, Addr: s.Addr}})
			c.addToTimeline(now, "run", t.ID, v.ID)
		}
		if current {
			c.Cluster.ObserveUsage(t.ID, s.Usage)
		}
		return
	}
	c.pendingAcks[v.ID] = append(c.pendingAcks[v.ID], ack{worker.Ref{Task: s.Task, Attempt: s.Attempt}, now.Add(c.Timing.TaskLease + c.Timing.ClockSkew)})
	if current {
		c.handleEnd(now, v, t, s)
	}
}

// stopUnreported stops tasks that are missing from a full report of their
// worker. The start message may still be in transit, so the task is not
// restarted elsewhere right away: a stop makes the worker refuse the attempt
// and report its end.
func (c *Controller) stopUnreported(now time.Time, v *WorkerVM, reported map[string]bool) {
	for _, id := range sortedKeys(c.Cluster.Workers[v.ID].Tasks) {
		_, t := c.State.Task(id)
		if reported[id] || t == nil || c.pendingStarts[id] != 0 {
			continue
		}
		if t.State != book.Stopping {
			c.requestStop(now, t, book.Lost)
		}
	}
}

// handleEnd processes the confirmed end of an attempt.
func (c *Controller) handleEnd(now time.Time, v *WorkerVM, t *book.Task, s *worker.AttemptStatus) {
	ran := time.Duration(s.Ran) * time.Millisecond
	j, _ := c.State.Task(t.ID)
	switch s.State {
	case "done":
		c.Runtimes.Record(j.Spec.Member+"/"+j.Spec.Lineage(), ran)
		c.recordSuccess(now, v)
		c.endAttempt(now, t, book.Done, "", ran)
	case "failed":
		if c.recordFailure(now, v, t) {
			c.endAttempt(now, t, book.Lost, "its worker fails everything: "+s.Why, ran)
			return
		}
		c.endAttempt(now, t, book.Failed, s.Why, ran)
	case "lapsed":
		c.endAttempt(now, t, book.Lost, "lease lapsed on the worker", ran)
	default:
		cause := t.Cause
		if cause == "" {
			cause = book.Lost
		}
		c.endAttempt(now, t, cause, s.Why, ran)
	}
}

// Bounds of the exponential backoff between attempts of a task.
const (
	minBackoff = 200 * time.Millisecond
	maxBackoff = 30 * time.Second
)

// endAttempt journals the end of an attempt and queues the task again unless
// the end is final.
func (c *Controller) endAttempt(now time.Time, t *book.Task, cause book.Cause, why string, ran time.Duration) {
	j, _ := c.State.Task(t.ID)
	failures := t.Failures
	if cause == book.Failed {
		failures++
	}
	service := j.Spec.Kind == operator.Service
	e := book.End{Task: t.ID, Attempt: t.Attempt, Cause: cause, Why: why, Ran: ran.Milliseconds()}
	switch {
	case cause == book.Impossible, cause == book.Cancelled, j.Cancelled:
		e.Final = true
	case cause == book.Done:
		e.Final = !service
	case cause == book.Failed:
		e.Final = !service && failures >= j.Spec.Limit()
	}
	if !e.Final && cause != book.Preempted && cause != book.Lost {
		e.After = now.Add(min(minBackoff<<min(failures, 8), maxBackoff)).UnixMilli()
	}
	w := t.Worker
	c.emit(now, book.Event{End: &e})
	c.Cluster.Release(t.ID)
	delete(c.nextStop, t.ID)
	delete(c.pendingStarts, t.ID)
	c.placementDue = true
	c.addToTimeline(now, "end", t.ID, string(cause)+" on "+w+" "+why)
	switch {
	case j.Spec.Kind == operator.Gang:
		// The last task of the gang to end queues all tasks that start again as one item.
		if t.State == book.Queued {
			c.stopGang(j)
		}
		c.enqueue(j, t)
	case t.State == book.Queued:
		c.enqueue(j, t)
	}
}

// stopGang stops the remaining tasks of a gang after one of them has to start
// again, since the tasks of a gang run together or not at all.
func (c *Controller) stopGang(j *book.Job) {
	now := time.UnixMilli(c.State.At)
	for _, t := range j.Tasks {
		if t.State == book.Starting || t.State == book.Running {
			c.requestStop(now, t, book.Preempted)
		}
	}
}

// requestStop journals the stop of a task and schedules the stop message to
// its worker.
func (c *Controller) requestStop(now time.Time, t *book.Task, cause book.Cause) {
	c.emit(now, book.Event{Stop: &book.Stop{Task: t.ID, Attempt: t.Attempt, Why: cause}})
	c.addToTimeline(now, "stop", t.ID, string(cause))
	c.nextStop[t.ID] = now
}

func (c *Controller) stopEffect(w, task string, attempt int, how worker.StopMode) Effect {
	return Effect{Worker: w, Stop: &worker.StopRequest{Task: task, Attempt: attempt, Epoch: c.State.Epoch, Mode: how}}
}

// Parameters of worker quarantine.
const (
	quarantineThreshold = 3                // consecutive failures of different jobs
	minQuarantine       = 5 * time.Second  // delay before the first probe
	maxQuarantine       = 10 * time.Minute // maximum delay between probes
)

// recordFailure records a failed attempt on the worker and reports whether
// the failure is attributed to the worker instead of the task, which is the
// case once quarantineThreshold different jobs have failed there without a
// success in between. It then quarantines the worker.
func (c *Controller) recordFailure(now time.Time, v *WorkerVM, t *book.Task) bool {
	job, _, _ := book.SplitTaskID(t.ID)
	v.failedJobs[job] = true
	if len(v.failedJobs) < quarantineThreshold {
		return false
	}
	if _, held := c.State.Quarantined[v.ID]; !held || !now.Before(v.probeAt) {
		v.probeAt = now.Add(min(minQuarantine<<min(v.quarantines, 8), maxQuarantine))
		v.quarantines++
		c.emit(now, book.Event{Hold: &book.Quarantine{Worker: v.ID, On: true, Why: "fails every task it starts"}})
		c.addToTimeline(now, "hold", v.ID, "fails every task it starts")
	}
	return true
}

// recordSuccess resets the failure history of a worker that completed a task
// and ends its quarantine.
func (c *Controller) recordSuccess(now time.Time, v *WorkerVM) {
	clear(v.failedJobs)
	v.quarantines = 0
	if _, held := c.State.Quarantined[v.ID]; held {
		v.probeAt = time.Time{}
		c.emit(now, book.Event{Hold: &book.Quarantine{Worker: v.ID}})
		c.addToTimeline(now, "hold", v.ID, "released: a probe ran to completion")
	}
}
