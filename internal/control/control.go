// Package control decides for one availability zone.
//
// Control is the state that the zone's owner keeps beside its book: what
// waits, what is placed, which workers answer. It belongs to one goroutine. It
// does no input or output: messages and the present time go in (Handle), a
// batch of events comes out (Step), and once the journal has the batch the
// effects that depended on it are released (Committed). Run, in run.go, joins
// these filters to the journal and to the traffic goroutines.
package control

import (
	"maps"
	"slices"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/place"
	"jasminestep/internal/platform"
	"jasminestep/internal/timeline"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

// Limits are the times that control works with.
type Timing struct {
	OwnerLease       time.Duration // of the zone's owner, from the start of its last durable write
	ClockSkew        time.Duration // greatest difference between two clocks
	MaxWriteInterval time.Duration // longest time between two writes
	MinWriteInterval time.Duration // shortest time between two writes
	TaskLease        time.Duration // lease of tasks
	VMListLag        time.Duration // how late the VM list may be
	RequestTimeout   time.Duration // longest time that a request may run on a minion
}

// Defaults are the limits that Filled puts in place of zero ones.
var DefaultTiming = Timing{
	OwnerLease:       2 * time.Second,
	ClockSkew:        250 * time.Millisecond,
	MaxWriteInterval: 600 * time.Millisecond,
	MinWriteInterval: 30 * time.Millisecond,
	TaskLease:        10 * time.Second,
	VMListLag:        5 * time.Second,
	RequestTimeout:   30 * time.Second,
}

// poll is how long a worker holds a report back while nothing changes; its
// leases are prolonged that often.
func (l Timing) poll() time.Duration { return l.TaskLease / 2 }

// silence is how long a worker may be silent before it gets nothing new: a
// whole long poll and its way.
func (l Timing) silence() time.Duration {
	const way = 2 * time.Second
	return l.poll() + way
}

// Filled returns l with defaults in place of zero fields.
func (l Timing) WithDefaults() Timing {
	fill := func(d *time.Duration, usual time.Duration) {
		if *d == 0 {
			*d = usual
		}
	}
	fill(&l.OwnerLease, DefaultTiming.OwnerLease)
	fill(&l.ClockSkew, DefaultTiming.ClockSkew)
	fill(&l.MaxWriteInterval, DefaultTiming.MaxWriteInterval)
	fill(&l.MinWriteInterval, DefaultTiming.MinWriteInterval)
	fill(&l.TaskLease, DefaultTiming.TaskLease)
	fill(&l.VMListLag, DefaultTiming.VMListLag)
	fill(&l.RequestTimeout, DefaultTiming.RequestTimeout)
	return l
}

// VM is what control knows of one worker VM.
type VM struct {
	platform.VM
	Boot  int64     // of the last report
	Gen   int64     // of the last report
	Heard time.Time // when it last answered
	Gone  time.Time // since when the VM list lacks it; zero while it is listed
	Sent  time.Time // latest moment to which any message may have prolonged a lease there

	streak  map[string]bool // jobs that failed here one after the other
	retryAt time.Time       // when a quarantined worker is tried again
	rounds  int             // times it was quarantined in a row
}

// Entry is a live entry of the zone, as membership has it.
type Entry struct {
	ID      string
	Boot    int64
	Leaving bool
	Alive   bool // heard from of late; silence proves nothing by itself
}

// Control is the state of a zone's owner. Book, Cluster and Queue agree at all
// times: a live task is in Cluster, a queued one whose time has come in Queue.
type Controller struct {
	Zone     string
	Entry    string
	Boot     int64
	Timing   Timing
	State    *book.ZoneState
	Cluster  place.Cluster
	Queue    place.Queue
	Runtimes place.RuntimeEstimator
	VMs      map[string]*VM
	Minions  map[string]platform.VM // listed minions of the zone
	Absent   map[string]time.Time   // listed before, missing since
	Listed   bool                   // a VM list was seen
	Entries  []Entry
	Cell     operator.Cell
	// Home is the zone to which queued jobs are given when this zone is adopted;
	// empty for the zone's own entries, which place them.
	TransferZone string
	Timeline     *timeline.Ring // may be nil

	members    map[string]operator.Member
	policy     place.NamedPolicy
	asks       []request                // submissions and cancellations not yet decided
	released   map[string]GrantReleased // minions and shares given up by their holders
	keys       []RecordKeys             // outcomes to be journalled
	acks       map[string][]ack         // ends in the next batch, by worker
	ready      map[string][]ack         // durable ends, by worker
	flight     flight                   // what Step returned and the journal has not confirmed
	granted    time.Time
	looked     time.Time            // when workers were last looked over
	given      time.Time            // when jobs were last given away
	stops      map[string]time.Time // tasks to be stopped → next try
	starts     map[string]int       // tasks whose start is being sent → attempt
	batch      []book.Event
	effects    []Effect
	impossible map[string]time.Time // items that fit no worker → since when
	relieved   time.Time
	restless   bool // a decision may be possible that was not before
}

// flight is what waits for a batch that is being written. Meanwhile messages
// may decide more, which then waits for the next batch.
type flight struct {
	effects []Effect
	acks    map[string][]ack
}

// ack is an end that a worker may forget from a moment on: not while a copy of
// the attempt's start may still be on its way to it, since the worker would
// then run the attempt once more.
type ack struct {
	worker.Ref
	after time.Time
}

// Effect is something to be done once the journal has the batch that decided it.
type Effect struct {
	Starts *worker.StartRequest // to Worker
	Stop   *worker.StopRequest  // to Worker
	Worker string
	Give   *book.Job     // to the journal of the zone that it names as Moved
	Reply  chan<- Answer // gets Answer
	Answer Answer
}

// Answer is what becomes of a request to change the zone's state.
type Answer struct {
	OK    bool              // accepted and durable
	ID    string            // of the job
	Seq   int64             // of the batch that holds it
	Why   string            // if not OK
	Moved string            // zone whose journal has the job now; ask its owner
	Bad   bool              // not OK because the request is wrong, rather than the time
	Waits *place.WaitReason // the answer to Explain
}

// New returns the control state over bk, which it takes for itself.
func New(zone, entry string, boot int64, l Timing, bk *book.ZoneState, now time.Time) *Controller {
	c := &Controller{
		Zone: zone, Entry: entry, Boot: boot, Timing: l.WithDefaults(), State: bk,
		VMs: map[string]*VM{}, Minions: map[string]platform.VM{}, Absent: map[string]time.Time{},
		released: map[string]GrantReleased{}, acks: map[string][]ack{}, ready: map[string][]ack{},
		stops: map[string]time.Time{}, starts: map[string]int{}, impossible: map[string]time.Time{},
		policy: place.PolicyByName(""),
	}
	for _, id := range sortedKeys(bk.Jobs) {
		j := bk.Jobs[id]
		for _, t := range j.Tasks {
			switch {
			case t.Live():
				c.adopt(j, t, now)
			case t.State == book.Queued:
				c.enqueue(j, t)
			}
		}
	}
	return c
}

// sortedKeys are the keys of m in order: what is decided must not depend on the
// order of a map, so that a run can be repeated.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// vm returns the state of a worker, known or not yet listed. A worker that a
// new owner meets may have been sent a lease by the owner before.
func (c *Controller) vm(id string, now time.Time) *VM {
	v := c.VMs[id]
	if v == nil {
		v = &VM{VM: platform.VM{ID: id}, Heard: now, Sent: now.Add(c.Timing.TaskLease), streak: map[string]bool{}}
		c.VMs[id] = v
		c.Cluster.SetWorker(id, "", operator.Size{}, true)
	}
	return v
}

// adopt puts a task that an earlier owner started where the book has it.
func (c *Controller) adopt(j *book.Job, t *book.Task, now time.Time) {
	c.vm(t.Worker, now)
	a := c.ask(j, t)
	until := time.Time{}
	if a.Kind != operator.Service {
		until = time.UnixMilli(t.Since).Add(a.ExpectedRuntime)
	}
	c.Cluster.Allocate(a, c.Cluster.Workers[t.Worker], until)
	if t.State == book.Stopping {
		c.stops[t.ID] = now
	}
}

func (c *Controller) ask(j *book.Job, t *book.Task) *place.TaskRequest {
	s := &j.Spec
	return &place.TaskRequest{
		Task: t.ID, Job: j.ID, Member: s.Member, Kind: s.Kind, Size: s.Size,
		Worth: s.Value(), Urgency: s.Urgency, Submitted: time.UnixMilli(j.Accepted),
		NotBefore: time.UnixMilli(t.After), Rack: s.Rack, Spread: s.Spread || s.Kind == operator.Service,
		Avoid:           t.Avoid,
		ExpectedRuntime: c.Runtimes.Estimate(s.Member+"/"+s.Lineage(), time.Duration(s.Runtime)*time.Millisecond),
	}
}

// enqueue lets a queued task wait; a gang waits as one, once all its tasks do.
func (c *Controller) enqueue(j *book.Job, t *book.Task) {
	c.restless = true
	if j.Moved != "" {
		return
	}
	if j.Spec.Kind != operator.Gang {
		c.Queue.Add(&place.Item{Requests: []*place.TaskRequest{c.ask(j, t)}})
		return
	}
	it := &place.Item{Gang: true}
	for _, t := range j.Tasks {
		if t.Live() {
			return
		}
		if t.State == book.Queued {
			it.Requests = append(it.Requests, c.ask(j, t))
		}
	}
	if len(it.Requests) > 0 {
		c.Queue.Add(it)
	}
}

// emit decides an event: it is applied at once, and every effect of this step
// waits until the batch that holds it is durable.
func (c *Controller) emit(now time.Time, e book.Event) {
	e.At = now.UnixMilli()
	c.State.Apply(&e)
	c.batch = append(c.batch, e)
}

func (c *Controller) effect(e Effect) { c.effects = append(c.effects, e) }

// note adds to the time line, if there is one.
func (c *Controller) note(now time.Time, kind, who, why string) {
	c.Timeline.Add(timeline.Event{
		At: now.UnixMilli(), VM: c.Entry, Kind: kind, Who: who, Why: why,
		Zone: c.Zone, Epoch: c.State.Epoch, Seq: c.State.Seq + 1,
	})
}
