// Package control makes the scheduling decisions for one availability zone.
//
// Controller holds the in-memory state of the zone's owner next to the journalled
// zone state: queued tasks, placements and the availability of workers. It is
// confined to one goroutine and performs no I/O. Handle takes messages and the
// current time, Step returns a batch of events, and Committed returns the
// effects of that batch once the journal has made it durable. Owner connects
// Controller to the journal and to the goroutines that talk to workers.
package control

import (
	"cmp"
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

// Timing holds the leases, intervals and timeouts of a zone's owner.
type Timing struct {
	OwnerLease       time.Duration // counted from the start of the last durable write
	ClockSkew        time.Duration // maximum clock skew between two VMs
	MaxWriteInterval time.Duration // maximum interval between two journal writes
	MinWriteInterval time.Duration // minimum interval between two journal writes
	TaskLease        time.Duration // counted from the creation of the message that grants or renews the lease
	VMListLag        time.Duration // maximum delay of the VM list
	RequestTimeout   time.Duration // maximum run time of a request on a minion
}

// DefaultTiming holds the values that WithDefaults uses for zero fields.
var DefaultTiming = Timing{
	OwnerLease:       2 * time.Second,
	ClockSkew:        250 * time.Millisecond,
	MaxWriteInterval: 600 * time.Millisecond,
	MinWriteInterval: 30 * time.Millisecond,
	TaskLease:        10 * time.Second,
	VMListLag:        5 * time.Second,
	RequestTimeout:   30 * time.Second,
}

// pollInterval is the long-poll interval of a worker: an unchanged report is
// held back for that long, and the worker's task leases are renewed at that
// interval.
func (l Timing) pollInterval() time.Duration { return l.TaskLease / 2 }

// reportTimeout is the time without a report after which a worker receives no
// new tasks: one long poll plus the network round trip.
func (l Timing) reportTimeout() time.Duration {
	const roundTrip = 2 * time.Second
	return l.pollInterval() + roundTrip
}

// WithDefaults returns l with zero fields replaced by defaults.
func (l Timing) WithDefaults() Timing {
	d := DefaultTiming
	l.OwnerLease = cmp.Or(l.OwnerLease, d.OwnerLease)
	l.ClockSkew = cmp.Or(l.ClockSkew, d.ClockSkew)
	l.MaxWriteInterval = cmp.Or(l.MaxWriteInterval, d.MaxWriteInterval)
	l.MinWriteInterval = cmp.Or(l.MinWriteInterval, d.MinWriteInterval)
	l.TaskLease = cmp.Or(l.TaskLease, d.TaskLease)
	l.VMListLag = cmp.Or(l.VMListLag, d.VMListLag)
	l.RequestTimeout = cmp.Or(l.RequestTimeout, d.RequestTimeout)
	return l
}

// WorkerVM is the state of one worker VM.
type WorkerVM struct {
	platform.VM
	Boot          int64     // incarnation in the last report
	Gen           int64     // generation in the last report
	LastReport    time.Time // time of the last report; zero if the worker is unreachable
	UnlistedSince time.Time // when the VM disappeared from the VM list; zero while it is listed
	LatestLease   time.Time // latest expiry that any message sent so far may have given the lease of a task that may move

	failedJobs  map[string]bool // jobs whose tasks failed here since the last success
	probeAt     time.Time       // when a quarantined worker may run a probe task
	quarantines int             // consecutive quarantines
}

// Entry is an entry of the zone as reported by membership.
type Entry struct {
	ID      string
	Boot    int64
	Leaving bool
	Alive   bool // answered recently; a missing answer alone does not prove that the entry stopped
}

// Controller is the state of a zone's owner. State, Cluster and Queue are
// kept consistent: a live task is in Cluster, a queued task that is ready is
// in Queue.
type Controller struct {
	Zone         string
	Entry        string
	Boot         int64
	Timing       Timing
	State        *book.ZoneState
	Cluster      place.Cluster
	Queue        place.Queue
	Runtimes     place.RuntimeEstimator
	WorkerVMs    map[string]*WorkerVM
	Minions      map[string]platform.VM // minions of the zone that were on the VM list
	MissingSince map[string]time.Time   // when a VM that was listed before went missing from the VM list
	VMListSeen   bool                   // a VM list has been received
	Entries      []Entry
	Cell         operator.Cell
	// TransferZone is the zone that queued jobs are transferred to while this
	// zone is adopted. It is empty on the zone's own entries, which place the
	// jobs.
	TransferZone string
	Timeline     *timeline.Ring // may be nil

	members          map[string]operator.Member
	policy           place.NamedPolicy
	requests         []request                // submissions and cancellations not yet processed
	releases         map[string]GrantReleased // grants of minions and key shares released by their holders
	keyOutcomes      []RecordKeys             // key outcomes to be journalled
	pendingAcks      map[string][]ack         // acknowledgements whose ends are in the next batch, by worker
	durableAcks      map[string][]ack         // acknowledgements whose ends are durable, by worker
	inFlight         inFlightBatch            // results of Step that the journal has not confirmed yet
	lastGrant        time.Time
	lastWorkerCheck  time.Time            // when workers were last checked
	lastTransfer     time.Time            // when jobs were last transferred
	nextStop         map[string]time.Time // tasks to be stopped → time of the next stop message
	pendingStarts    map[string]int       // tasks whose start message is unanswered → attempt
	batch            []book.Event
	effects          []Effect
	unplaceableSince map[string]time.Time // items that fit no worker → when that was first seen
	lastRelief       time.Time
	placementDue     bool // something changed that may allow a new placement
}

// inFlightBatch holds the effects and acknowledgements that wait for the
// batch being written. Decisions made during the write go into the next
// batch.
type inFlightBatch struct {
	effects []Effect
	acks    map[string][]ack
}

// ack tells a worker that it may forget an ended attempt. It is held back until
// no copy of the attempt's start message can arrive any more, since the worker
// would otherwise run the attempt a second time.
type ack struct {
	worker.Ref
	notBefore time.Time
}

// Effect is an action to perform once the batch that decided it is durable.
type Effect struct {
	Starts   *worker.StartRequest // sent to Worker
	Stop     *worker.StopRequest  // sent to Worker
	Worker   string
	Transfer *book.Job     // job to transfer to the zone in its Moved field
	Reply    chan<- Answer // receives Answer
	Answer   Answer
}

// Answer is the result of a request to change or explain the zone's state.
type Answer struct {
	OK    bool              // accepted and durable
	ID    string            // id of the job
	Seq   int64             // sequence number of the batch that holds the change
	Why   string            // reason, if not OK
	Moved string            // zone whose journal now holds the job; ask that zone's owner
	Bad   bool              // not OK because the request is invalid, not because of its timing
	Waits *place.WaitReason // result of Explain
}

// New returns a Controller for state, which it takes ownership of.
func New(zone, entry string, boot int64, l Timing, state *book.ZoneState, now time.Time) *Controller {
	c := &Controller{
		Zone: zone, Entry: entry, Boot: boot, Timing: l.WithDefaults(), State: state,
		WorkerVMs: map[string]*WorkerVM{}, Minions: map[string]platform.VM{}, MissingSince: map[string]time.Time{},
		releases: map[string]GrantReleased{}, pendingAcks: map[string][]ack{}, durableAcks: map[string][]ack{},
		nextStop: map[string]time.Time{}, pendingStarts: map[string]int{}, unplaceableSince: map[string]time.Time{},
		policy: place.PolicyByName(""),
	}
	for _, id := range sortedKeys(state.Jobs) {
		j := state.Jobs[id]
		for _, t := range j.Tasks {
			switch {
			case t.Live():
				c.restoreTask(j, t, now)
			case t.State == book.Queued:
				c.enqueue(j, t)
			}
		}
	}
	return c
}

// sortedKeys returns the keys of m in ascending order. Decisions must not depend
// on map iteration order, so that a run can be reproduced.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

// workerVM returns the state of a worker and creates it if necessary. The
// previous owner may have just sent a lease to a worker that is new to this
// owner, so a full task lease is assumed.
func (c *Controller) workerVM(id string, now time.Time) *WorkerVM {
	v := c.WorkerVMs[id]
	if v == nil {
		v = &WorkerVM{VM: platform.VM{ID: id}, LastReport: now, LatestLease: now.Add(c.Timing.TaskLease), failedJobs: map[string]bool{}}
		c.WorkerVMs[id] = v
		c.Cluster.SetWorker(id, "", operator.Size{}, true)
	}
	return v
}

// restoreTask restores the placement of a task that a previous owner started.
func (c *Controller) restoreTask(j *book.Job, t *book.Task, now time.Time) {
	c.workerVM(t.Worker, now)
	a := c.taskRequest(j, t)
	until := time.Time{}
	if a.Kind != operator.Service {
		until = time.UnixMilli(t.Since).Add(a.ExpectedRuntime)
	}
	c.Cluster.Allocate(a, c.Cluster.Workers[t.Worker], until)
	if t.State == book.Stopping {
		c.nextStop[t.ID] = now
	}
}

func (c *Controller) taskRequest(j *book.Job, t *book.Task) *place.TaskRequest {
	s := &j.Spec
	return &place.TaskRequest{
		Task: t.ID, Job: j.ID, Member: s.Member, Kind: cmp.Or(s.Kind, operator.Batch), Size: s.Size,
		Worth: s.Value(), Urgency: s.Urgency, Submitted: time.UnixMilli(j.Accepted),
		NotBefore: time.UnixMilli(t.After), Rack: s.Rack, Spread: s.Spread || s.Kind == operator.Service,
		Avoid: t.Avoid, Resumes: resumes(j, t),
		ExpectedRuntime: c.Runtimes.Estimate(s.Member+"/"+s.Lineage(), time.Duration(s.Runtime)*time.Millisecond),
	}
}

// resumes reports whether a queued task of a service or a gang ran, or was to run,
// and stopped for no reason of its own.
func resumes(j *book.Job, t *book.Task) bool {
	lasts := j.Spec.Kind == operator.Service || j.Spec.Kind == operator.Gang
	return lasts && (t.Cause == book.Lost || t.Cause == book.Preempted || t.Cause == book.Refused)
}

// enqueue adds a task to the queue. A gang is added as one item, once none of
// its tasks is live.
func (c *Controller) enqueue(j *book.Job, t *book.Task) {
	c.placementDue = true
	if j.Moved != "" {
		return
	}
	if j.Spec.Kind != operator.Gang {
		c.Queue.Add(&place.Item{Requests: []*place.TaskRequest{c.taskRequest(j, t)}})
		return
	}
	it := &place.Item{Gang: true}
	for _, t := range j.Tasks {
		if t.Live() {
			return
		}
		if t.State == book.Queued {
			it.Requests = append(it.Requests, c.taskRequest(j, t))
		}
	}
	if len(it.Requests) > 0 {
		c.Queue.Add(it)
	}
}

// emit applies an event at once and appends it to the current batch. Effects of
// this step wait until that batch is durable.
func (c *Controller) emit(now time.Time, e book.Event) {
	e.At = now.UnixMilli()
	c.State.Apply(&e)
	c.batch = append(c.batch, e)
}

func (c *Controller) addEffect(e Effect) { c.effects = append(c.effects, e) }

// addToTimeline records an event on the timeline, if there is one.
func (c *Controller) addToTimeline(now time.Time, kind, who, why string) {
	c.Timeline.Add(timeline.Event{
		At: now.UnixMilli(), VM: c.Entry, Kind: kind, Who: who, Why: why,
		Zone: c.Zone, Epoch: c.State.Epoch, Seq: c.State.Seq + 1,
	})
}
