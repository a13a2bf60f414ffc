package control

import (
	"slices"
	"strings"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/place"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

// Bounds that keep batches small and the loop responsive, and intervals of
// periodic work.
const (
	maxStarts           = 400
	maxRequests         = 1000
	maxStops            = 400
	grantInterval       = 200 * time.Millisecond
	workerCheckInterval = 100 * time.Millisecond
	stopRetryInterval   = time.Second      // between stop messages for a task
	reliefInterval      = time.Second      // between checks for workers short of resources and for unmet quotas
	unplaceableDelay    = 10 * time.Second // before an item that fits no worker ends as impossible
)

// Step processes everything that is due and returns the batch of events to be
// journalled, which may be empty. Committed must be called before the next Step.
func (c *Controller) Step(now time.Time) []book.Event {
	c.processRequests(now)
	c.recordKeyOutcomes(now)
	if now.Sub(c.lastWorkerCheck) >= workerCheckInterval {
		c.lastWorkerCheck = now
		c.endLostTasks(now)
	}
	if now.Sub(c.lastGrant) >= grantInterval || len(c.releases) > 0 {
		c.lastGrant = now
		c.assignGrants(now)
	}
	switch {
	case c.TransferZone != "":
		c.transferJobs(now)
	case c.placementDue:
		c.placeTasks(now)
	}
	if now.Sub(c.lastRelief) >= reliefInterval {
		c.lastRelief = now
		c.relievePressure(now)
		c.endUnplaceable(now)
	}
	c.sendStops(now)
	batch := c.batch
	c.inFlight = inFlightBatch{effects: c.effects, acks: c.pendingAcks}
	c.batch, c.effects, c.pendingAcks = nil, nil, map[string][]ack{}
	return batch
}

// Busy reports whether a Step now might have something to do.
func (c *Controller) Busy() bool {
	return c.placementDue || len(c.requests)+len(c.keyOutcomes)+len(c.batch)+len(c.effects)+len(c.releases)+len(c.pendingAcks) > 0
}

// Committed returns the effects of the last Step, whose batch is now durable in
// the journal under seq.
func (c *Controller) Committed(seq int64) []Effect {
	c.State.Seq = seq
	out := c.inFlight.effects
	for i := range out {
		out[i].Answer.Seq = seq
	}
	for w, refs := range c.inFlight.acks {
		c.durableAcks[w] = append(c.durableAcks[w], refs...)
	}
	c.inFlight = inFlightBatch{}
	return out
}

// Expire refuses requests whose deadline has passed before they were processed.
// They are certain not to have been accepted.
func (c *Controller) Expire(now time.Time, why string) {
	c.requests = slices.DeleteFunc(c.requests, func(r request) bool {
		if now.Before(r.deadline()) {
			return false
		}
		r.reply() <- Answer{Why: why}
		return true
	})
}

// Refuse refuses all requests not yet processed. They are certain not to have
// been accepted.
func (c *Controller) Refuse(why string) {
	for _, r := range c.requests {
		r.reply() <- Answer{Why: why}
	}
	c.requests = nil
	for _, k := range c.keyOutcomes {
		k.Reply <- Answer{Why: why}
	}
	c.keyOutcomes = nil
}

func (c *Controller) processRequests(now time.Time) {
	n := min(len(c.requests), maxRequests)
	for _, r := range c.requests[:n] {
		switch {
		case !now.Before(r.deadline()):
			r.reply() <- Answer{Why: "the deadline passed before the job was looked at"}
		case r.submit != nil:
			c.accept(now, r.submit)
		default:
			c.cancel(now, r.cancel)
		}
	}
	c.requests = slices.Delete(c.requests, 0, n)
}

func (c *Controller) accept(now time.Time, m *Submit) {
	if _, ok := c.members[m.Spec.Member]; !ok {
		m.Reply <- Answer{Bad: true, Why: "unknown member " + m.Spec.Member}
		return
	}
	if j := c.State.Jobs[m.ID]; j != nil {
		// Already durable or in this batch: the answer is sent after the batch is durable.
		c.addEffect(Effect{Reply: m.Reply, Answer: Answer{OK: true, ID: m.ID}})
		return
	}
	c.emit(now, book.Event{Job: &book.Accept{ID: m.ID, Spec: m.Spec}})
	c.enqueueJob(c.State.Jobs[m.ID])
	c.addToTimeline(now, "accept", m.ID, m.Spec.Member)
	c.addEffect(Effect{Reply: m.Reply, Answer: Answer{OK: true, ID: m.ID}})
}

// enqueueJob enqueues the tasks of a new job.
func (c *Controller) enqueueJob(j *book.Job) {
	for _, t := range j.Tasks {
		if t.State != book.Queued {
			continue
		}
		c.enqueue(j, t)
		if j.Spec.Kind == operator.Gang {
			return // the first task enqueues the whole gang
		}
	}
}

func (c *Controller) cancel(now time.Time, m *Cancel) {
	j := c.State.Jobs[m.ID]
	if j == nil || j.Spec.Member != m.Member {
		// The same answer in both cases, so that members cannot probe for the jobs of others.
		m.Reply <- Answer{Bad: true, Why: "no job " + m.ID + " of member " + m.Member}
		return
	}
	if j.Moved != "" {
		m.Reply <- Answer{ID: m.ID, Moved: j.Moved}
		return
	}
	if j.Ended == 0 && !j.Cancelled {
		for _, t := range j.Tasks {
			if t.State == book.Queued {
				c.Queue.Remove(t.ID)
			}
		}
		c.Queue.Remove(j.ID)
		c.emit(now, book.Event{Cancel: &book.Cancel{ID: m.ID}})
		c.addToTimeline(now, "cancel", m.ID, m.Member)
		for _, t := range j.Tasks {
			if t.State == book.Stopping {
				c.nextStop[t.ID] = now
			}
		}
	}
	c.addEffect(Effect{Reply: m.Reply, Answer: Answer{OK: true, ID: m.ID}})
}

func (c *Controller) recordKeyOutcomes(now time.Time) {
	for _, k := range c.keyOutcomes {
		c.emit(now, book.Event{Key: &book.KeysRecorded{Share: k.Share, Seen: k.Seen}})
		c.addEffect(Effect{Reply: k.Reply, Answer: Answer{OK: true}})
	}
	c.keyOutcomes = nil
}

// placeTasks places queued tasks and journals their starts. Each worker
// receives one message with all its starts.
func (c *Controller) placeTasks(now time.Time) {
	c.placementDue = false
	until := now.Add(c.Timing.TaskLease)
	byWorker := map[string]*worker.StartRequest{}
	for _, p := range c.policy.Decide(&c.Cluster, &c.Queue, c.members, now, maxStarts) {
		j, t := c.State.Task(p.Task)
		attempt := t.Attempt + 1
		c.emit(now, book.Event{Start: &book.Start{Task: t.ID, Attempt: attempt, Worker: p.Worker}})
		c.addToTimeline(now, "start", t.ID, p.Worker)
		c.pendingStarts[t.ID] = attempt
		m := byWorker[p.Worker]
		if m == nil {
			m = c.newStarts(now, p.Worker, until)
			byWorker[p.Worker] = m
			c.addEffect(Effect{Worker: p.Worker, Starts: m})
		}
		m.Tasks = append(m.Tasks, worker.TaskStart{
			Task: t.ID, Attempt: attempt, Stay: j.Spec.Stays(), Size: j.Spec.Size, Command: j.Spec.Command,
			Pool: j.Spec.Pool, Slots: j.Spec.Slots,
		})
	}
	// Queued items may wait for a point in time or a reservation, so try again in
	// the next step.
	if c.Queue.Len() > 0 {
		c.placementDue = true
	}
}

// newStarts returns an empty start message for a worker and records the lease
// expiry that it grants.
func (c *Controller) newStarts(now time.Time, id string, until time.Time) *worker.StartRequest {
	v := c.workerVM(id, now)
	if until.After(v.LatestLease) {
		v.LatestLease = until
	}
	if _, held := c.State.Quarantined[id]; held {
		v.probeAt = now.Add(maxQuarantine) // one probe at a time
		c.refreshAvailability(v, now)
	}
	return &worker.StartRequest{Epoch: c.State.Epoch, Boot: v.Boot, Until: until.UnixMilli()}
}

// endLostTasks ends tasks whose worker is gone or unreachable and whose lease
// has expired.
func (c *Controller) endLostTasks(now time.Time) {
	for _, id := range sortedKeys(c.WorkerVMs) {
		v := c.WorkerVMs[id]
		c.refreshAvailability(v, now)
		w := c.Cluster.Workers[id]
		gone := !v.UnlistedSince.IsZero() && now.Sub(v.UnlistedSince) > c.Timing.VMListLag+c.Timing.TaskLease+c.Timing.ClockSkew
		lapsed := now.After(v.LatestLease.Add(c.Timing.ClockSkew))
		if !gone && (!lapsed || c.reachable(v, now)) {
			continue
		}
		for _, task := range sortedKeys(w.Tasks) {
			j, t := c.State.Task(task)
			if gone || !j.Spec.Stays() {
				c.endAttempt(now, t, c.lostCause(t), "its worker is out of reach and the lease has lapsed", 0)
			}
		}
		if gone && len(w.Tasks) == 0 {
			c.Cluster.RemoveWorker(id)
			delete(c.WorkerVMs, id)
		}
	}
}

func (c *Controller) lostCause(t *book.Task) book.Cause {
	if t.State == book.Stopping && t.Cause != "" {
		return t.Cause
	}
	return book.Lost
}

// sendStops sends stop messages for stopping tasks and repeats them until the
// end is confirmed.
func (c *Controller) sendStops(now time.Time) {
	n := 0
	for _, id := range sortedKeys(c.nextStop) {
		if now.Before(c.nextStop[id]) || n >= maxStops {
			continue
		}
		j, t := c.State.Task(id)
		if t == nil || t.State != book.Stopping {
			delete(c.nextStop, id)
			continue
		}
		n++
		c.nextStop[id] = now.Add(stopRetryInterval)
		how := worker.ModeStop
		if t.Cause == book.Preempted && j.Spec.Kind != operator.Service {
			how = worker.ModeCheckpoint
		}
		c.addEffect(c.stopEffect(t.Worker, t.ID, t.Attempt, how))
	}
}

// relievePressure throttles or preempts tasks on workers short of resources
// and to meet quotas and claims, and moves services off workers that are short of
// resources or leave.
func (c *Controller) relievePressure(now time.Time) {
	steps := place.MitigateOvercommit(&c.Cluster)
	steps = append(steps, place.ReclaimQuota(&c.Cluster, &c.Queue, c.members, now)...)
	steps = append(steps, place.ReclaimClaimed(&c.Cluster, now)...)
	steps = append(steps, c.leavingServices()...)
	moving := map[string]bool{}
	for _, s := range steps {
		j, t := c.State.Task(s.Task)
		if t == nil || t.State != book.Running {
			continue
		}
		switch s.Action {
		case place.Throttle:
			c.addEffect(c.stopEffect(t.Worker, t.ID, t.Attempt, worker.ModeThrottle))
			c.addToTimeline(now, "throttle", t.ID, t.Worker)
		case place.Move:
			moving[t.ID] = true
			c.move(now, j, t)
		default:
			c.requestStop(now, t, book.Preempted)
		}
	}
	c.Cluster.KeepClaims(func(task string) bool {
		j, t := c.State.Task(task)
		waits := t != nil && (t.State == book.Queued && resumes(j, t) || t.State == book.Stopping || t.State == book.Running && moving[task])
		return waits && !j.Cancelled && j.Moved == ""
	})
}

// leavingServices returns the services on workers that leave.
func (c *Controller) leavingServices() (out []place.Mitigation) {
	for _, id := range sortedKeys(c.WorkerVMs) {
		if !c.WorkerVMs[id].Leaving {
			continue
		}
		for _, task := range sortedKeys(c.Cluster.Workers[id].Tasks) {
			if c.Cluster.Allocs[task].Request.Kind == operator.Service {
				out = append(out, place.Mitigation{Task: task, Action: place.Move})
			}
		}
	}
	return out
}

// move claims room for a running service on another worker. Once that is free,
// it stops the service, which then starts there. A service whose worker is out of
// reach runs on, since its end could not be confirmed.
func (c *Controller) move(now time.Time, j *book.Job, t *book.Task) {
	if c.TransferZone != "" || !c.reachable(c.WorkerVMs[t.Worker], now) {
		return
	}
	a := c.taskRequest(j, t)
	a.Resumes = true
	if c.Cluster.Claim([]*place.TaskRequest{a}, now) && c.Cluster.ClaimReady(t.ID) {
		c.requestStop(now, t, book.Preempted)
	}
}

// endUnplaceable ends items that do not fit any worker of the zone. The VM
// list lags and a suitable worker may be about to appear, so it waits for
// unplaceableDelay first.
func (c *Controller) endUnplaceable(now time.Time) {
	if !c.VMListSeen || c.TransferZone != "" || len(c.Cluster.Workers) == 0 {
		return
	}
	waiting := map[string]time.Time{}
	items := c.Queue.Items()
	slices.SortFunc(items, func(a, b *place.Item) int { return strings.Compare(a.Key(), b.Key()) })
	for _, it := range items {
		why := place.Infeasible(&c.Cluster, it)
		if why == "" {
			continue
		}
		since, ok := c.unplaceableSince[it.Key()]
		if !ok {
			since = now
		}
		if now.Sub(since) < unplaceableDelay {
			waiting[it.Key()] = since
			continue
		}
		c.Queue.Remove(it.Key())
		for _, a := range it.Requests {
			if _, t := c.State.Task(a.Task); t.State == book.Queued {
				c.emit(now, book.Event{End: &book.End{Task: t.ID, Attempt: t.Attempt, Cause: book.Impossible, Why: why, Final: true}})
				c.addToTimeline(now, "end", t.ID, "impossible: "+why)
			}
		}
	}
	c.unplaceableSince = waiting
}
