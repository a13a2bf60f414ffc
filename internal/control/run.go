package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"jasminestep/internal/book"
	"jasminestep/internal/journal"
	"jasminestep/internal/worker"
)

// Owner runs a Controller. Its loop connects the inbox, the journal and the
// workers.
type Owner struct {
	Controller *Controller
	Store      journal.Store
	Workers    *worker.Client
	Log        hclog.Logger
	Inbox      chan Message
	// Publish receives every durable batch in order.
	Publish func(*journal.Batch)
	// ObserveWrite, if set, receives the duration of each journal write.
	ObserveWrite func(time.Duration)
	// TransferJob transfers a job of an adopted zone to another zone's owner.
	TransferJob func(context.Context, *book.Job) error
	// ObserveWait, if set, receives the queueing time of each task before its
	// first start.
	ObserveWait func(time.Duration)

	lease        atomic.Int64 // expiry of the owner lease, Unix milliseconds
	cancelSync   map[string]context.CancelFunc
	syncAddrs    map[string]string
	writeResult  chan error
	writeStarted time.Time // start of the write in flight, or of the last write
	inFlight     *journal.Batch
	handedOver   bool
	// lastSyncUpdate is when the sync goroutines were last matched to the
	// workers.
	lastSyncUpdate time.Time
}

// loopInterval is the maximum time that the loop sleeps.
const loopInterval = 100 * time.Millisecond

// maxPendingRequests bounds the requests that wait while a journal write is
// in flight.
const maxPendingRequests = 20000

// LeaseExpiry returns the time until which this entry is certainly the owner.
func (o *Owner) LeaseExpiry() time.Time { return time.UnixMilli(o.lease.Load()) }

// HoldsLease reports whether this entry holds the owner lease at now.
func (o *Owner) HoldsLease(now time.Time) bool { return now.UnixMilli() < o.lease.Load() }

// Run runs the loop until ctx is done, the zone has been handed over (nil) or
// the entry is deposed (journal.ErrDeposed). acquired is the start of the write
// that made this entry the owner.
func (o *Owner) Run(ctx context.Context, acquired time.Time) error {
	o.lease.Store(acquired.Add(o.Controller.Timing.OwnerLease).UnixMilli())
	o.writeStarted = acquired
	o.cancelSync, o.syncAddrs = map[string]context.CancelFunc{}, map[string]string{}
	o.writeResult = make(chan error, 1)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	defer o.refusePending()
	t := time.NewTimer(loopInterval)
	defer t.Stop()
	for {
		t.Reset(o.sleepTime(time.Now()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-o.Inbox:
			o.handleAvailable(m)
		case err := <-o.writeResult:
			if err != nil {
				return err
			}
			o.finishWrite(traffic)
		case <-t.C:
		}
		if now := time.Now(); now.Sub(o.lastSyncUpdate) >= loopInterval {
			o.lastSyncUpdate = now
			o.updateSyncs(traffic)
		}
		o.startWrite(traffic)
		if o.handedOver && o.inFlight == nil {
			return nil
		}
	}
}

// sleepTime returns how long the loop may sleep without a message: until the
// next write is allowed if there is something to write, otherwise
// loopInterval.
func (o *Owner) sleepTime(now time.Time) time.Duration {
	if o.inFlight != nil || !o.Controller.Busy() {
		return loopInterval
	}
	return min(loopInterval, max(time.Millisecond, o.Controller.Timing.MinWriteInterval-now.Sub(o.writeStarted)))
}

// handleAvailable handles m and further queued messages, up to a bound.
func (o *Owner) handleAvailable(m Message) {
	now := time.Now()
	const maxMessages = 256
	for range maxMessages {
		o.handle(m, now)
		select {
		case m = <-o.Inbox:
		default:
			return
		}
	}
	o.handle(m, now)
}

// Handover requests that the owner give up the zone and return from Run.
type Handover struct{}

func (Handover) handle(c *Controller, now time.Time) {
	c.emit(now, book.Event{Hand: &book.Handover{Entry: c.Entry}})
	c.addToTimeline(now, "hand", c.Zone, "")
}

func (o *Owner) handle(m Message, now time.Time) {
	if _, ok := m.(Handover); ok {
		if o.handedOver {
			return
		}
		o.handedOver = true
	}
	o.Controller.Handle(m, now)
}

// startWrite starts the next journal write if one is due.
func (o *Owner) startWrite(ctx context.Context) {
	now := time.Now()
	o.Controller.Expire(now, "not accepted: the platform's table did not answer in time")
	if o.inFlight != nil {
		if len(o.Controller.requests) > maxPendingRequests {
			o.Controller.Refuse("not accepted: too much waits for the platform's table")
		}
		return
	}
	if now.Sub(o.writeStarted) < o.Controller.Timing.MinWriteInterval {
		return
	}
	events := o.Controller.Step(now)
	if len(events) == 0 && o.HoldsLease(now) && now.Sub(o.writeStarted) < o.Controller.Timing.MaxWriteInterval {
		o.applyEffects(ctx, o.Controller.Committed(o.Controller.State.Seq))
		return
	}
	b := &journal.Batch{
		Zone: o.Controller.Zone, Seq: o.Controller.State.Seq + 1, ID: journal.NewID(), Epoch: o.Controller.State.Epoch,
		Entry: o.Controller.Entry, Time: now.UnixMilli(), Events: events,
	}
	o.inFlight, o.writeStarted = b, now
	lease := o.LeaseExpiry()
	go func() { o.writeResult <- journal.Append(ctx, o.Store, b, lease) }()
}

func (o *Owner) finishWrite(ctx context.Context) {
	b := o.inFlight
	o.inFlight = nil
	if o.ObserveWrite != nil {
		o.ObserveWrite(time.Since(o.writeStarted))
	}
	if time.Since(o.writeStarted) > o.Controller.Timing.OwnerLease {
		o.Controller.addToTimeline(time.Now(), "lapse", o.Controller.Zone, "a write took longer than the lease")
	}
	o.lease.Store(o.writeStarted.Add(o.Controller.Timing.OwnerLease).UnixMilli())
	o.Publish(b)
	o.observeWaits(b)
	o.applyEffects(ctx, o.Controller.Committed(b.Seq))
}

// observeWaits reports the queueing times of the tasks whose first starts are
// in b.
func (o *Owner) observeWaits(b *journal.Batch) {
	if o.ObserveWait == nil {
		return
	}
	for _, e := range b.Events {
		if e.Start == nil || e.Start.Attempt != 1 {
			continue
		}
		if j, _ := o.Controller.State.Task(e.Start.Task); j != nil {
			o.ObserveWait(time.Duration(e.At-j.Accepted) * time.Millisecond)
		}
	}
}

// applyEffects performs the effects of a durable batch. Messages to workers also
// require a valid owner lease; without one, a start counts as refused.
func (o *Owner) applyEffects(ctx context.Context, effects []Effect) {
	for i := range effects {
		e := &effects[i]
		v := o.Controller.WorkerVMs[e.Worker]
		switch {
		case e.Reply != nil:
			e.Reply <- e.Answer
		case e.Transfer != nil:
			go o.transferJob(ctx, e.Transfer)
		case e.Starts != nil && (v == nil || !o.HoldsLease(time.Now())):
			for _, m := range startResults(e.Starts, &worker.StartResponse{}, "not sent: the owner's lease had lapsed") {
				o.Controller.Handle(m, time.Now())
			}
		case e.Starts != nil:
			go o.sendStarts(ctx, v.Addr, e.Starts)
		case e.Stop != nil && v != nil && v.Addr != "" && o.HoldsLease(time.Now()):
			go func(addr string) { _ = o.Workers.Stop(ctx, addr, e.Stop) }(v.Addr) // repeated until a report confirms the stop
		}
	}
}

// startTries is how often an unanswered start message is sent. Starts are
// idempotent.
const startTries = 2

func (o *Owner) sendStarts(ctx context.Context, addr string, s *worker.StartRequest) {
	var answer *worker.StartResponse
	for range startTries {
		if !o.HoldsLease(time.Now()) {
			break
		}
		r, err := o.Workers.Start(ctx, addr, s)
		if err == nil {
			answer = r
			break
		}
		o.Log.Debug("worker did not answer start request", "worker", addr, "error", err)
	}
	for _, m := range startResults(s, answer, "") {
		o.post(ctx, m)
	}
}

// startResults returns the outcome of each start in s. A non-empty refused is
// the reason why all were refused; answer is the worker's answer, or nil if
// there was none.
func startResults(s *worker.StartRequest, answer *worker.StartResponse, refused string) []StartResult {
	out := make([]StartResult, len(s.Tasks))
	for i, t := range s.Tasks {
		out[i] = StartResult{Task: t.Task, Attempt: t.Attempt, Unknown: answer == nil, Refused: refused != "", Why: refused}
		if answer == nil {
			continue
		}
		for _, r := range answer.Refused {
			if r.Task == t.Task && r.Attempt == t.Attempt {
				out[i].Refused, out[i].Why = true, r.Why
			}
		}
	}
	return out
}

// transferJob transfers a job to another zone. Without an answer, a later
// step repeats the transfer.
func (o *Owner) transferJob(ctx context.Context, j *book.Job) {
	if err := o.TransferJob(ctx, j); err != nil {
		o.Log.Debug("job transfer failed; will be retried", "job", j.ID, "error", err)
		return
	}
	o.post(ctx, TransferConfirmed{j.ID})
}

func (o *Owner) post(ctx context.Context, m Message) {
	select {
	case o.Inbox <- m:
	case <-ctx.Done():
	}
}

// updateSyncs keeps one sync goroutine running for each worker.
func (o *Owner) updateSyncs(ctx context.Context) {
	for id, v := range o.Controller.WorkerVMs {
		if v.Addr == "" || o.syncAddrs[id] == v.Addr {
			continue
		}
		if stop := o.cancelSync[id]; stop != nil {
			stop()
		}
		sctx, stop := context.WithCancel(ctx)
		o.cancelSync[id], o.syncAddrs[id] = stop, v.Addr
		go o.runSync(sctx, id, v.Addr)
	}
	if len(o.cancelSync) <= len(o.Controller.WorkerVMs) {
		return
	}
	for id, stop := range o.cancelSync {
		if o.Controller.WorkerVMs[id] == nil {
			stop()
			delete(o.cancelSync, id)
			delete(o.syncAddrs, id)
		}
	}
}

// runSync renews the task leases on one worker and posts its reports. Leases of
// tasks that may move are renewed only while the owner lease is valid.
func (o *Owner) runSync(ctx context.Context, id, addr string) {
	wait := o.Controller.Timing.pollInterval()
	const retryDelay = 300 * time.Millisecond
	for ctx.Err() == nil {
		now := time.Now()
		until := now.Add(o.Controller.Timing.TaskLease)
		reply := make(chan worker.SyncRequest, 1)
		o.post(ctx, LeaseRenewal{Worker: id, Until: until, Reply: reply})
		var s worker.SyncRequest
		select {
		case s = <-reply:
		case <-ctx.Done():
			return
		}
		s.Until, s.Wait, s.StayOnly = until.UnixMilli(), wait.Milliseconds(), s.StayOnly || !o.HoldsLease(time.Now())
		r, err := o.Workers.Sync(ctx, addr, &s)
		if err == nil {
			o.post(ctx, WorkerReported{Worker: id, Report: r})
			continue
		}
		o.post(ctx, WorkerUnreachable{Worker: id})
		select {
		case <-time.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

// refusePending refuses the requests that are not in a batch yet. Requests in
// a batch whose write did not complete get no answer: the caller times out
// and reports the outcome as unknown.
func (o *Owner) refusePending() {
	o.lease.Store(0)
	for {
		select {
		case m := <-o.Inbox:
			o.Controller.Handle(m, time.Now())
			continue
		default:
		}
		break
	}
	o.Controller.Refuse("not accepted: this entry is no longer the zone's owner")
}
