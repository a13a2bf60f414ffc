package control

import (
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/place"
	"jasminestep/internal/platform"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

// Message is something that control learns.
type Message interface {
	handle(c *Controller, now time.Time)
}

// Submit asks for a job to be accepted under ID. The same ID with the same
// member is accepted once; later submissions get the answer of the first.
type Submit struct {
	ID       string
	Spec     operator.Job
	Deadline time.Time
	Reply    chan<- Answer // buffered
}

// Cancel asks for a job's end on behalf of a member.
type Cancel struct {
	ID       string
	Member   string
	Deadline time.Time
	Reply    chan<- Answer // buffered
}

// request is a Submit or a Cancel that waits for the next step.
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

// Reported is what a worker said, and until when the question prolonged leases.
type Reported struct {
	Worker string
	Report *worker.Report
}

// Sending announces that leases at a worker are about to be prolonged until
// then. Only once the reply is there may the message leave; the reply has all
// of it but Until.
type Sending struct {
	Worker string
	Until  time.Time
	Reply  chan<- worker.SyncRequest // buffered
}

// Unreachable says that a worker could not be reached at all.
type Unreachable struct {
	Worker string
}

// Started is the outcome of sending a start.
type Started struct {
	Task    string
	Attempt int
	Refused bool   // the worker answered that it will not run it
	Unknown bool   // no answer
	Why     string // with Refused
}

// Roster is the platform's VM list.
type VMList struct {
	VMs []platform.VM
}

// Live is the membership's view of the zone's entries.
type EntryList struct {
	Entries []Entry
}

// Released says that a holder has given a minion or a share of the keys up,
// with nothing of it in flight any more.
type GrantReleased struct {
	Minion string
	Entry  string
	Boot   int64
}

// KeysSeen asks for outcomes of requests with keys to be journalled.
type RecordKeys struct {
	Share int
	Seen  []book.KeyOutcome
	Reply chan<- Answer // buffered
}

// Configured is a new configuration of the cell.
type ConfigChanged struct {
	Cell operator.Cell
}

// Handle takes a message in.
func (c *Controller) Handle(m Message, now time.Time) { m.handle(c, now) }

func (m Submit) handle(c *Controller, _ time.Time) { c.asks = append(c.asks, request{submit: &m}) }

func (m Cancel) handle(c *Controller, _ time.Time) { c.asks = append(c.asks, request{cancel: &m}) }

func (m Sending) handle(c *Controller, now time.Time) {
	v := c.vm(m.Worker, now)
	if m.Until.After(v.Sent) {
		v.Sent = m.Until
	}
	s := worker.SyncRequest{Zone: c.Zone, Epoch: c.State.Epoch, Boot: v.Boot, Gen: v.Gen}
	var later []ack
	for _, a := range c.ready[m.Worker] {
		if now.Before(a.after) {
			later = append(later, a)
			continue
		}
		s.Acks = append(s.Acks, a.Ref)
	}
	c.ready[m.Worker] = later
	m.Reply <- s
}

func (m Unreachable) handle(c *Controller, now time.Time) {
	v := c.vm(m.Worker, now)
	v.Heard = time.Time{}
	v.Gen = 0 // acknowledgements may be lost: have all that it remembers told again
	c.refresh(v, now)
}

func (m EntryList) handle(c *Controller, _ time.Time) { c.Entries = m.Entries }

func (m GrantReleased) handle(c *Controller, _ time.Time) { c.released[m.Minion] = m }

func (m RecordKeys) handle(c *Controller, _ time.Time) { c.keys = append(c.keys, m) }

func (m ConfigChanged) handle(c *Controller, _ time.Time) {
	c.Cell = m.Cell
	c.policy = placePolicy(m.Cell.Policy)
	c.members = map[string]operator.Member{}
	for _, x := range m.Cell.Members {
		c.members[x.Name] = x
	}
	c.restless = true
}

func (m VMList) handle(c *Controller, now time.Time) {
	c.Listed = true
	seen := map[string]bool{}
	for _, vm := range m.VMs {
		if vm.Zone != c.Zone {
			continue
		}
		seen[vm.ID] = true
		delete(c.Absent, vm.ID)
		switch vm.Role {
		case "worker":
			v := c.vm(vm.ID, now)
			v.VM, v.Gone = vm, time.Time{}
			c.Cluster.SetWorker(vm.ID, vm.Rack, operator.Size{CPU: vm.CPU, Memory: vm.Memory, Accel: vm.Accel}, c.unusable(v, now))
		case "minion":
			c.Minions[vm.ID] = vm
		}
	}
	for id, v := range c.VMs {
		if !seen[id] && v.Gone.IsZero() {
			v.Gone = now
		}
	}
	for id := range c.Minions {
		if !seen[id] {
			c.missing(id, now)
		}
	}
	for _, g := range c.State.Grants {
		if !seen[g.Entry] {
			c.missing(g.Entry, now)
		}
	}
	c.restless = true
}

func (c *Controller) missing(id string, now time.Time) {
	if _, ok := c.Absent[id]; !ok {
		c.Absent[id] = now
	}
}

// unusable reports whether a worker takes nothing new at present.
func (c *Controller) unusable(v *VM, now time.Time) bool {
	_, held := c.State.Quarantined[v.ID]
	probing := held && !v.retryAt.IsZero() && !now.Before(v.retryAt)
	return v.Addr == "" || v.Leaving || !v.Gone.IsZero() || v.Boot == 0 || now.Sub(v.Heard) > c.Timing.silence() || held && !probing
}

// Explain asks why a job waits.
type Explain struct {
	ID    string
	Reply chan<- Answer // buffered
}

func (m Explain) handle(c *Controller, now time.Time) {
	m.Reply <- Answer{OK: true, ID: m.ID, Waits: c.explain(m.ID, now)}
}

// explain says what the first waiting item of a job waits for.
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
