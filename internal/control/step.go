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

// Bounds on one step, so that a batch stays small and the loop responsive.
const (
	mostStarts   = 400
	mostAsks     = 1000
	mostStops    = 400
	grantEvery   = 200 * time.Millisecond
	overdueEvery = 100 * time.Millisecond
	stopRetry    = time.Second      // between tries to stop a task
	reliefEvery  = time.Second      // between looks for workers that run short
	patience     = 10 * time.Second // before an item that fits no worker is impossible
)

// Step decides all that can be decided now and returns the batch to be
// journalled, empty if there is nothing to say. The caller must not call Step
// again before Committed.
func (c *Controller) Step(now time.Time) []book.Event {
	c.decideAsks(now)
	c.journalKeys(now)
	if now.Sub(c.looked) >= overdueEvery {
		c.looked = now
		c.overdue(now)
	}
	if now.Sub(c.granted) >= grantEvery || len(c.released) > 0 {
		c.granted = now
		c.grant(now)
	}
	switch {
	case c.TransferZone != "":
		c.giveAway(now)
	case c.restless:
		c.start(now)
	}
	if now.Sub(c.relieved) >= reliefEvery {
		c.relieved = now
		c.relieve(now)
		c.hopeless(now)
	}
	c.stopDue(now)
	batch := c.batch
	c.flight = flight{effects: c.effects, acks: c.acks}
	c.batch, c.effects, c.acks = nil, nil, map[string][]ack{}
	return batch
}

// Busy reports whether a step now might decide something.
func (c *Controller) Busy() bool {
	return c.restless || len(c.asks)+len(c.keys)+len(c.batch)+len(c.effects)+len(c.released)+len(c.acks) > 0
}

// Committed releases the effects of the batch that Step returned, which the
// journal now holds under seq.
func (c *Controller) Committed(seq int64) []Effect {
	c.State.Seq = seq
	out := c.flight.effects
	for i := range out {
		out[i].Answer.Seq = seq
	}
	for w, refs := range c.flight.acks {
		c.ready[w] = append(c.ready[w], refs...)
	}
	c.flight = flight{}
	return out
}

// Expire answers requests whose deadline passes before they were decided; they
// were provably not accepted.
func (c *Controller) Expire(now time.Time, why string) {
	c.asks = slices.DeleteFunc(c.asks, func(r request) bool {
		if now.Before(r.deadline()) {
			return false
		}
		r.reply() <- Answer{Why: why}
		return true
	})
}

// Refuse answers all requests not yet decided: they were provably not accepted.
func (c *Controller) Refuse(why string) {
	for _, r := range c.asks {
		r.reply() <- Answer{Why: why}
	}
	c.asks = nil
	for _, k := range c.keys {
		k.Reply <- Answer{Why: why}
	}
	c.keys = nil
}

func (c *Controller) decideAsks(now time.Time) {
	n := min(len(c.asks), mostAsks)
	for _, r := range c.asks[:n] {
		switch {
		case !now.Before(r.deadline()):
			r.reply() <- Answer{Why: "the deadline passed before the job was looked at"}
		case r.submit != nil:
			c.accept(now, r.submit)
		default:
			c.cancel(now, r.cancel)
		}
	}
	c.asks = slices.Delete(c.asks, 0, n)
}

func (c *Controller) accept(now time.Time, m *Submit) {
	if _, ok := c.members[m.Spec.Member]; !ok {
		m.Reply <- Answer{Bad: true, Why: "unknown member " + m.Spec.Member}
		return
	}
	if j := c.State.Jobs[m.ID]; j != nil {
		// Already durable or in this batch; the answer waits for it either way.
		c.effect(Effect{Reply: m.Reply, Answer: Answer{OK: true, ID: m.ID}})
		return
	}
	c.emit(now, book.Event{Job: &book.Accept{ID: m.ID, Spec: m.Spec}})
	c.queueAll(c.State.Jobs[m.ID])
	c.note(now, "accept", m.ID, m.Spec.Member)
	c.effect(Effect{Reply: m.Reply, Answer: Answer{OK: true, ID: m.ID}})
}

// queueAll lets the tasks of a new job wait.
func (c *Controller) queueAll(j *book.Job) {
	for _, t := range j.Tasks {
		if t.State != book.Queued {
			continue
		}
		c.enqueue(j, t)
		if j.Spec.Kind == operator.Gang {
			return // one brings in all
		}
	}
}

func (c *Controller) cancel(now time.Time, m *Cancel) {
	j := c.State.Jobs[m.ID]
	if j == nil || j.Spec.Member != m.Member {
		// The same answer either way: a member learns nothing of another's jobs.
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
		c.note(now, "cancel", m.ID, m.Member)
		for _, t := range j.Tasks {
			if t.State == book.Stopping {
				c.stops[t.ID] = now
			}
		}
	}
	c.effect(Effect{Reply: m.Reply, Answer: Answer{OK: true, ID: m.ID}})
}

func (c *Controller) journalKeys(now time.Time) {
	for _, k := range c.keys {
		c.emit(now, book.Event{Key: &book.KeysRecorded{Share: k.Share, Seen: k.Seen}})
		c.effect(Effect{Reply: k.Reply, Answer: Answer{OK: true}})
	}
	c.keys = nil
}

// start places what fits and journals the starts. Each worker gets one message.
func (c *Controller) start(now time.Time) {
	c.restless = false
	until := now.Add(c.Timing.TaskLease)
	byWorker := map[string]*worker.StartRequest{}
	for _, p := range c.policy.Decide(&c.Cluster, &c.Queue, c.members, now, mostStarts) {
		j, t := c.State.Task(p.Task)
		attempt := t.Attempt + 1
		c.emit(now, book.Event{Start: &book.Start{Task: t.ID, Attempt: attempt, Worker: p.Worker}})
		c.note(now, "start", t.ID, p.Worker)
		c.starts[t.ID] = attempt
		m := byWorker[p.Worker]
		if m == nil {
			m = c.startsAt(now, p.Worker, until)
			byWorker[p.Worker] = m
			c.effect(Effect{Worker: p.Worker, Starts: m})
		}
		m.Tasks = append(m.Tasks, worker.TaskStart{
			Task: t.ID, Attempt: attempt, Stay: j.Spec.Stays(), Size: j.Spec.Size, Command: j.Spec.Command,
			Pool: j.Spec.Pool, Slots: j.Spec.Slots,
		})
	}
	// Items that wait for a moment or a reservation need another look later.
	if c.Queue.Len() > 0 {
		c.restless = true
	}
}

// startsAt begins a message to a worker, whose leases it prolongs.
func (c *Controller) startsAt(now time.Time, id string, until time.Time) *worker.StartRequest {
	v := c.vm(id, now)
	if until.After(v.Sent) {
		v.Sent = until
	}
	if _, held := c.State.Quarantined[id]; held {
		v.retryAt = now.Add(lastHold) // one probe at a time
		c.refresh(v, now)
	}
	return &worker.StartRequest{Epoch: c.State.Epoch, Boot: v.Boot, Until: until.UnixMilli()}
}

// overdue ends what can no longer run on workers that have gone or are silent.
func (c *Controller) overdue(now time.Time) {
	for _, id := range sortedKeys(c.VMs) {
		v := c.VMs[id]
		c.refresh(v, now)
		w := c.Cluster.Workers[id]
		gone := !v.Gone.IsZero() && now.Sub(v.Gone) > c.Timing.VMListLag+c.Timing.TaskLease+c.Timing.ClockSkew
		lapsed := now.After(v.Sent.Add(c.Timing.ClockSkew))
		if !gone && (!lapsed || now.Sub(v.Heard) <= c.Timing.silence()) {
			continue
		}
		for _, task := range sortedKeys(w.Tasks) {
			j, t := c.State.Task(task)
			if gone || !j.Spec.Stays() {
				c.end(now, t, c.lostCause(t), "its worker is out of reach and the lease has lapsed", 0)
			}
		}
		if gone && len(w.Tasks) == 0 {
			c.Cluster.RemoveWorker(id)
			delete(c.VMs, id)
		}
	}
}

func (c *Controller) lostCause(t *book.Task) book.Cause {
	if t.State == book.Stopping && t.Cause != "" {
		return t.Cause
	}
	return book.Lost
}

// stopDue asks workers, again if need be, to stop what is to be stopped.
func (c *Controller) stopDue(now time.Time) {
	n := 0
	for _, id := range sortedKeys(c.stops) {
		if now.Before(c.stops[id]) || n >= mostStops {
			continue
		}
		_, t := c.State.Task(id)
		if t == nil || t.State != book.Stopping {
			delete(c.stops, id)
			continue
		}
		n++
		c.stops[id] = now.Add(stopRetry)
		how := worker.ModeStop
		if t.Cause == book.Preempted {
			how = worker.ModeCheckpoint
		}
		c.effect(c.stopAt(t.Worker, t.ID, t.Attempt, how))
	}
}

// relieve acts on workers that run short and on quotas that are not met.
func (c *Controller) relieve(now time.Time) {
	steps := place.MitigateOvercommit(&c.Cluster)
	steps = append(steps, place.ReclaimQuota(&c.Cluster, &c.Queue, c.members, now)...)
	for _, s := range steps {
		_, t := c.State.Task(s.Task)
		if t == nil || t.State != book.Running {
			continue
		}
		if s.Action == place.Throttle {
			c.effect(c.stopAt(t.Worker, t.ID, t.Attempt, worker.ModeThrottle))
			c.note(now, "throttle", t.ID, t.Worker)
			continue
		}
		c.halt(now, t, book.Preempted)
	}
}

// hopeless ends items that no worker of the zone can ever hold. The VM list
// lags, so a worker may be about to appear: they get some patience first.
func (c *Controller) hopeless(now time.Time) {
	if !c.Listed || c.TransferZone != "" || len(c.Cluster.Workers) == 0 {
		return
	}
	still := map[string]time.Time{}
	items := c.Queue.Items()
	slices.SortFunc(items, func(a, b *place.Item) int { return strings.Compare(a.Key(), b.Key()) })
	for _, it := range items {
		why := place.Infeasible(&c.Cluster, it)
		if why == "" {
			continue
		}
		since, ok := c.impossible[it.Key()]
		if !ok {
			since = now
		}
		if now.Sub(since) < patience {
			still[it.Key()] = since
			continue
		}
		c.Queue.Remove(it.Key())
		for _, a := range it.Requests {
			if _, t := c.State.Task(a.Task); t.State == book.Queued {
				c.emit(now, book.Event{End: &book.End{Task: t.ID, Attempt: t.Attempt, Cause: book.Impossible, Why: why, Final: true}})
				c.note(now, "end", t.ID, "impossible: "+why)
			}
		}
	}
	c.impossible = still
}
