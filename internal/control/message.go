package control

import (
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/place"
	"jasminestep/internal/platform"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

// Message is an input to a Controller.
type Message interface {
	handle(c *Controller, now time.Time)
}

// Submit requests that a job be accepted under ID. A repeated ID is accepted
// only once; later submissions receive the same answer as the first.
type Submit struct {
	ID       string
	Spec     operator.Job
	Deadline time.Time
	Reply    chan<- Answer // buffered
}

// Cancel requests the cancellation of a job on behalf of a member.
type Cancel struct {
	ID       string
	Member   string
	Deadline time.Time
	Reply    chan<- Answer // buffered
}

// request is a Submit or a Cancel that waits for the next Step.
type request struct {
	submit *Submit
	cancel *Cancel
}

func (r request) deadline() time.Time {
	if r.submit != nil {
		return r.submit.Deadline
	}
	return r.cancel.Deadline
}

func (r request) reply() chan<- Answer {
	if r.submit != nil {
		return r.submit.Reply
	}
	return r.cancel.Reply
}

// WorkerReported is a report received from a worker.
type WorkerReported struct {
	Worker string
	Report *worker.Report
}

// LeaseRenewal announces that task leases on a worker are about to be
// extended to Until. The sync message may be sent only after the reply has
// arrived; the reply is that message without Until. A worker that did not answer
// the last sync gets no longer leases for tasks that may move until it answers,
// so that these leases end.
type LeaseRenewal struct {
	Worker string
	Until  time.Time
	Reply  chan<- worker.SyncRequest // buffered
}

// WorkerUnreachable reports that a sync with a worker failed.
type WorkerUnreachable struct {
	Worker string
}

// StartResult is the outcome of sending a start message.
type StartResult struct {
	Task    string
	Attempt int
	Refused bool   // the worker will not run the attempt
	Unknown bool   // no answer
	Why     string // reason, if Refused
}

// VMList is the platform's VM list.
type VMList struct {
	VMs []platform.VM
}

// EntryList is the list of the zone's entries from membership.
type EntryList struct {
	Entries []Entry
}

// GrantReleased reports that an entry has released a minion or a key share
// and has no requests for it in flight any more.
type GrantReleased struct {
	Minion string
	Entry  string
	Boot   int64
}

// RecordKeys requests that the outcomes of keyed requests be journalled.
type RecordKeys struct {
	Share int
	Seen  []book.KeyOutcome
	Reply chan<- Answer // buffered
}

// ConfigChanged delivers a new configuration of the cell.
type ConfigChanged struct {
	Cell operator.Cell
}

// Handle processes a message. Submissions, cancellations and key outcomes wait
// for the next Step.
func (c *Controller) Handle(m Message, now time.Time) { m.handle(c, now) }

func (m Submit) handle(c *Controller, _ time.Time) {
	c.requests = append(c.requests, request{submit: &m})
}

func (m Cancel) handle(c *Controller, _ time.Time) {
	c.requests = append(c.requests, request{cancel: &m})
}

func (m LeaseRenewal) handle(c *Controller, now time.Time) {
	v := c.workerVM(m.Worker, now)
	s := worker.SyncRequest{Zone: c.Zone, Epoch: c.State.Epoch, Boot: v.Boot, Gen: v.Gen, StayOnly: v.LastReport.IsZero()}
	if !s.StayOnly && m.Until.After(v.LatestLease) {
		v.LatestLease = m.Until
	}
	var later []ack
	for _, a := range c.durableAcks[m.Worker] {
		if now.Before(a.notBefore) {
			later = append(later, a)
			continue
		}
		s.Acks = append(s.Acks, a.Ref)
	}
	c.durableAcks[m.Worker] = later
	m.Reply <- s
}

func (m WorkerUnreachable) handle(c *Controller, now time.Time) {
	v := c.workerVM(m.Worker, now)
	v.LastReport = time.Time{}
	v.Gen = 0 // acknowledgements may be lost: request a full report
	c.refreshAvailability(v, now)
}

func (m EntryList) handle(c *Controller, _ time.Time) { c.Entries = m.Entries }

func (m GrantReleased) handle(c *Controller, _ time.Time) { c.releases[m.Minion] = m }

func (m RecordKeys) handle(c *Controller, _ time.Time) { c.keyOutcomes = append(c.keyOutcomes, m) }

func (m ConfigChanged) handle(c *Controller, _ time.Time) {
	c.Cell = m.Cell
	c.policy = placePolicy(m.Cell.Policy)
	c.members = map[string]operator.Member{}
	for _, x := range m.Cell.Members {
		c.members[x.Name] = x
	}
	c.placementDue = true
}

func (m VMList) handle(c *Controller, now time.Time) {
	c.VMListSeen = true
	seen := map[string]bool{}
	for _, vm := range m.VMs {
		if vm.Zone != c.Zone {
			continue
		}
		seen[vm.ID] = true
		delete(c.MissingSince, vm.ID)
		switch vm.Role {
		case "worker":
			v := c.workerVM(vm.ID, now)
			v.VM, v.UnlistedSince = vm, time.Time{}
			c.Cluster.SetWorker(vm.ID, vm.Rack, operator.Size{CPU: vm.CPU, Memory: vm.Memory, Accel: vm.Accel}, c.unavailable(v, now))
		case "minion":
			c.Minions[vm.ID] = vm
		}
	}
	for id, v := range c.WorkerVMs {
		if !seen[id] && v.UnlistedSince.IsZero() {
			v.UnlistedSince = now
		}
	}
	for id := range c.Minions {
		if !seen[id] {
			c.markMissing(id, now)
		}
	}
	for _, g := range c.State.Grants {
		if !seen[g.Entry] {
			c.markMissing(g.Entry, now)
		}
	}
	c.placementDue = true
}

func (c *Controller) markMissing(id string, now time.Time) {
	if _, ok := c.MissingSince[id]; !ok {
		c.MissingSince[id] = now
	}
}

// reachable reports whether a worker has reported recently.
func (c *Controller) reachable(v *WorkerVM, now time.Time) bool {
	return now.Sub(v.LastReport) <= c.Timing.reportTimeout()
}

// unavailable reports whether a worker cannot receive new tasks at present.
func (c *Controller) unavailable(v *WorkerVM, now time.Time) bool {
	_, held := c.State.Quarantined[v.ID]
	probing := held && !v.probeAt.IsZero() && !now.Before(v.probeAt)
	return v.Addr == "" || v.Leaving || !v.UnlistedSince.IsZero() || v.Boot == 0 || !c.reachable(v, now) || held && !probing
}

// Explain requests the reason why a job is queued.
type Explain struct {
	ID    string
	Reply chan<- Answer // buffered
}

func (m Explain) handle(c *Controller, now time.Time) {
	m.Reply <- Answer{OK: true, ID: m.ID, Waits: c.explain(m.ID, now)}
}

// explain returns the reason why the first queued item of a job is waiting.
func (c *Controller) explain(id string, now time.Time) *place.WaitReason {
	j := c.State.Jobs[id]
	if j == nil {
		return nil
	}
	for _, t := range j.Tasks {
		for _, key := range []string{j.ID, t.ID} {
			if it := c.Queue.Get(key); it != nil {
				return c.Queue.Explain(&c.Cluster, it, c.members, now)
			}
		}
	}
	return nil
}
