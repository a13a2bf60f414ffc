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

// Owner runs a Control: it is the loop between inbox, journal and workers.
type Owner struct {
	Controller *Controller
	Store      journal.Store
	Workers    *worker.Client
	Log        hclog.Logger
	Inbox      chan Message
	// Publish gets every durable batch in order.
	Publish func(*journal.Batch)
	// Written, if set, hears how long each write took.
	ObserveWrite func(time.Duration)
	// Give, for an adopted zone, has another zone's owner accept a job.
	TransferJob func(context.Context, *book.Job) error
	// Waited, if set, hears how long each task waited for its first start.
	ObserveWait func(time.Duration)

	lease  atomic.Int64 // until when this entry is the owner, Unix milliseconds
	syncs  map[string]context.CancelFunc
	addrs  map[string]string
	writes chan error
	began  time.Time // of the write in flight, or of the last
	flying *journal.Batch
	handed bool
	// followed is when the workers were last compared with the synchronisers.
	followed time.Time
}

// tick is how often the loop looks at the clock when nothing happens.
const tick = 100 * time.Millisecond

// maxAsks bounds requests that wait for the table.
const maxAsks = 20000

// Lease returns until when this entry is the owner for sure.
func (o *Owner) Lease() time.Time { return time.UnixMilli(o.lease.Load()) }

// Valid reports whether this entry is the owner at now.
func (o *Owner) HoldsLease(now time.Time) bool { return now.UnixMilli() < o.lease.Load() }

// Run decides until the context ends or the entry is deposed, which is the
// error journal.ErrDeposed. owned is when the write that made it owner began.
func (o *Owner) Run(ctx context.Context, owned time.Time) error {
	o.lease.Store(owned.Add(o.Controller.Timing.OwnerLease).UnixMilli())
	o.began = owned
	o.syncs, o.addrs = map[string]context.CancelFunc{}, map[string]string{}
	o.writes = make(chan error, 1)
	traffic, stop := context.WithCancel(ctx)
	defer stop()
	defer o.finish()
	t := time.NewTimer(tick)
	defer t.Stop()
	for {
		t.Reset(o.pause(time.Now()))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-o.Inbox:
			o.drain(m)
		case err := <-o.writes:
			if err != nil {
				return err
			}
			o.committed(traffic)
		case <-t.C:
		}
		if now := time.Now(); now.Sub(o.followed) >= tick {
			o.followed = now
			o.follow(traffic)
		}
		o.advance(traffic)
		if o.handed && o.flying == nil {
			return nil
		}
	}
}

// pause is how long the loop may sleep if no message comes: until the next
// write may begin, if there is something to write.
func (o *Owner) pause(now time.Time) time.Duration {
	if o.flying != nil || !o.Controller.Busy() {
		return tick
	}
	return min(tick, max(time.Millisecond, o.Controller.Timing.MinWriteInterval-now.Sub(o.began)))
}

// drain handles m and whatever else has arrived with it.
func (o *Owner) drain(m Message) {
	now := time.Now()
	const most = 256
	for range most {
		o.handle(m, now)
		select {
		case m = <-o.Inbox:
		default:
			return
		}
	}
	o.handle(m, now)
}

// Handover asks the owner to give the zone up and return from Run.
type Handover struct{}

func (Handover) handle(c *Controller, now time.Time) {
	c.emit(now, book.Event{Hand: &book.Handover{Entry: c.Entry}})
	c.note(now, "hand", c.Zone, "")
}

func (o *Owner) handle(m Message, now time.Time) {
	if _, ok := m.(Handover); ok {
		if o.handed {
			return
		}
		o.handed = true
	}
	o.Controller.Handle(m, now)
}

// advance starts the next write if there is something to write and it is time.
func (o *Owner) advance(ctx context.Context) {
	now := time.Now()
	o.Controller.Expire(now, "not accepted: the platform's table did not answer in time")
	if o.flying != nil {
		if len(o.Controller.asks) > maxAsks {
			o.Controller.Refuse("not accepted: too much waits for the platform's table")
		}
		return
	}
	if now.Sub(o.began) < o.Controller.Timing.MinWriteInterval {
		return
	}
	events := o.Controller.Step(now)
	if len(events) == 0 && o.HoldsLease(now) && now.Sub(o.began) < o.Controller.Timing.MaxWriteInterval {
		o.release(ctx, o.Controller.Committed(o.Controller.State.Seq))
		return
	}
	b := &journal.Batch{
		Zone: o.Controller.Zone, Seq: o.Controller.State.Seq + 1, ID: journal.NewID(), Epoch: o.Controller.State.Epoch,
		Entry: o.Controller.Entry, Time: now.UnixMilli(), Events: events,
	}
	o.flying, o.began = b, now
	lease := o.Lease()
	go func() { o.writes <- journal.Append(ctx, o.Store, b, lease) }()
}

func (o *Owner) committed(ctx context.Context) {
	b := o.flying
	o.flying = nil
	if o.ObserveWrite != nil {
		o.ObserveWrite(time.Since(o.began))
	}
	if time.Since(o.began) > o.Controller.Timing.OwnerLease {
		o.Controller.note(time.Now(), "lapse", o.Controller.Zone, "a write took longer than the lease")
	}
	o.lease.Store(o.began.Add(o.Controller.Timing.OwnerLease).UnixMilli())
	o.Publish(b)
	o.measure(b)
	o.release(ctx, o.Controller.Committed(b.Seq))
}

// measure tells how long the tasks waited whose first starts b holds.
func (o *Owner) measure(b *journal.Batch) {
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

// release carries out effects that are durable. What touches a worker needs a
// valid lease, too: without one a start is not sent and counts as refused.
func (o *Owner) release(ctx context.Context, effects []Effect) {
	for i := range effects {
		e := &effects[i]
		v := o.Controller.VMs[e.Worker]
		switch {
		case e.Reply != nil:
			e.Reply <- e.Answer
		case e.Give != nil:
			go o.give(ctx, e.Give)
		case e.Starts != nil && (v == nil || !o.HoldsLease(time.Now())):
			for _, m := range outcomes(e.Starts, &worker.StartResponse{}, "not sent: the owner's lease had lapsed") {
				o.Controller.Handle(m, time.Now())
			}
		case e.Starts != nil:
			go o.start(ctx, v.Addr, e.Starts)
		case e.Stop != nil && v != nil && v.Addr != "" && o.HoldsLease(time.Now()):
			go func(addr string) { _ = o.Workers.Stop(ctx, addr, e.Stop) }(v.Addr) // tried again until the report confirms it
		}
	}
}

// startTries is how often an unanswered start is sent; it is idempotent.
const startTries = 2

func (o *Owner) start(ctx context.Context, addr string, s *worker.StartRequest) {
	var got *worker.StartResponse
	for range startTries {
		if !o.HoldsLease(time.Now()) {
			break
		}
		r, err := o.Workers.Start(ctx, addr, s)
		if err == nil {
			got = r
			break
		}
		o.Log.Debug("start unanswered", "worker", addr, "error", err)
	}
	for _, m := range outcomes(s, got, "") {
		o.post(ctx, m)
	}
}

// outcomes tells control what became of each start: refused says why all of
// them were, got is the worker's answer, nil if there was none.
func outcomes(s *worker.StartRequest, got *worker.StartResponse, refused string) []Started {
	out := make([]Started, len(s.Tasks))
	for i, t := range s.Tasks {
		out[i] = Started{Task: t.Task, Attempt: t.Attempt, Unknown: got == nil, Refused: refused != "", Why: refused}
		if got == nil {
			continue
		}
		for _, r := range got.Refused {
			if r.Task == t.Task && r.Attempt == t.Attempt {
				out[i].Refused, out[i].Why = true, r.Why
			}
		}
	}
	return out
}

// give hands a job to another zone; without an answer it is given again later.
func (o *Owner) give(ctx context.Context, j *book.Job) {
	if err := o.TransferJob(ctx, j); err != nil {
		o.Log.Debug("give", "job", j.ID, "error", err)
		return
	}
	o.post(ctx, Delivered{j.ID})
}

func (o *Owner) post(ctx context.Context, m Message) {
	select {
	case o.Inbox <- m:
	case <-ctx.Done():
	}
}

// follow keeps one synchroniser running for each worker.
func (o *Owner) follow(ctx context.Context) {
	for id, v := range o.Controller.VMs {
		if v.Addr == "" || o.addrs[id] == v.Addr {
			continue
		}
		if stop := o.syncs[id]; stop != nil {
			stop()
		}
		sctx, stop := context.WithCancel(ctx)
		o.syncs[id], o.addrs[id] = stop, v.Addr
		go o.sync(sctx, id, v.Addr)
	}
	if len(o.syncs) <= len(o.Controller.VMs) {
		return
	}
	for id, stop := range o.syncs {
		if o.Controller.VMs[id] == nil {
			stop()
			delete(o.syncs, id)
			delete(o.addrs, id)
		}
	}
}

// sync renews the leases at one worker and brings back what changed there.
// Tasks that move are renewed only while this entry is the owner for sure.
func (o *Owner) sync(ctx context.Context, id, addr string) {
	wait := o.Controller.Timing.poll()
	const pause = 300 * time.Millisecond
	for ctx.Err() == nil {
		now := time.Now()
		until := now.Add(o.Controller.Timing.TaskLease)
		reply := make(chan worker.SyncRequest, 1)
		o.post(ctx, Sending{Worker: id, Until: until, Reply: reply})
		var s worker.SyncRequest
		select {
		case s = <-reply:
		case <-ctx.Done():
			return
		}
		s.Until, s.Wait, s.StayOnly = until.UnixMilli(), wait.Milliseconds(), !o.HoldsLease(time.Now())
		r, err := o.Workers.Sync(ctx, addr, &s)
		if err == nil {
			o.post(ctx, Reported{Worker: id, Report: r})
			continue
		}
		o.post(ctx, Unreachable{Worker: id})
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// finish answers whoever still waits. What was in a batch whose fate is not
// known gets no answer here: the caller times out and hears that it is unknown.
func (o *Owner) finish() {
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
