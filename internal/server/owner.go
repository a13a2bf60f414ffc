package server

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"jasminestep/internal/carry"
	"jasminestep/internal/shard"
	"jasminestep/internal/work"
)

// Timing and limits of an owner.
const (
	minDecideInterval = 5 * time.Millisecond // between decisions
	maxDecideInterval = 100 * time.Millisecond
	maxWriteInterval  = 400 * time.Millisecond // an owner writes at least this often
	feedInterval      = 300 * time.Millisecond // between requests for changes in the store
	writeRetryDelay   = 40 * time.Millisecond
	slowWriteTimeout  = 500 * time.Millisecond // no more tasks are placed while a write takes longer
	maxRowsPerTx      = 90
	maxTxBytes        = 600 << 10 // of values; the store takes a megabyte with their encoding
)

// owner makes the decisions for one shard. The goroutine of run, the control
// goroutine, executes posted functions and has exclusive access to state.
type owner struct {
	s           *Server
	service     string
	term        int64
	ctx         context.Context
	cancel      context.CancelFunc
	posted      chan posted
	lag         lagMeter
	activity    ownerActivity
	state       *shard.State
	handlers    map[work.Incarnation]*minionHandler
	minionCount atomic.Int64 // number of handlers
	minionCalls *carry.Dispatcher
	advice      adviceRequests
	grants      grants
	archive     archiveQueue // filled by the control goroutine, emptied by archiveJobs

	ownerVersion int64  // of the owner row, on which every write is conditional
	seq          seqRow // of the last write, on which the next one is conditional
	writeCount   int
	jobsWeight   atomic.Int64 // bytes that unfinished jobs take
	postedWeight atomic.Int64 // the same, of jobs that the control goroutine has not seen yet
	weighedAt    time.Time

	writing      bool // a write is in progress
	writingSince time.Time
	handingOver  bool
	done         chan struct{}

	minionVersion, jobVersion int64 // versions after which the feeds are followed

	loaded         atomic.Bool  // the whole shard has been read
	lastWriteNanos atomic.Int64 // start of the last durable write, in nanoseconds of monotonicNow

	mu             sync.RWMutex
	jobs           map[string]shard.JobStatus
	activitySample activitySample
	runTimeErrors  shard.RunTimeErrors
	accountUses    []shard.AccountUse // as of the last look of balanceGrants
	pendingByQueue map[string]int     // number of jobs that have not started, by queue
}

func newOwner(ctx context.Context, s *Server, service string, row OwnerRow, seq seqRow) *owner {
	o := &owner{
		s: s, service: service, term: row.Term, posted: make(chan posted, 4096), ownerVersion: row.version, seq: seq,
		handlers: map[work.Incarnation]*minionHandler{}, advice: adviceRequests{inFlight: map[string]bool{}}, done: make(chan struct{}),
		jobs: map[string]shard.JobStatus{}, pendingByQueue: map[string]int{},
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	o.lastWriteNanos.Store(monotonicNow().UnixNano())
	o.minionCalls = s.newDispatcher(o)
	limits := shard.DefaultLimits
	limits.Lease = time.Duration(min(s.Settings.Lease, s.Settings.MaxLease)) * time.Millisecond
	limits.BatchLease = time.Duration(min(s.Settings.BatchLease, s.Settings.MaxLease)) * time.Millisecond
	limits.MaxLease = time.Duration(s.Settings.MaxLease) * time.Millisecond
	limits.MaxEnds = int(s.Settings.MaxEnds)
	limits.MaxRowAge = s.Settings.maxRowAge()
	limits.RateWindow = time.Duration(s.Settings.RateWindow) * time.Millisecond
	limits.Retention = time.Duration(s.Settings.JobRetention) * time.Millisecond
	o.state = shard.New(service, row.Term, monotonicNow(), limits)
	o.state.StoreClock = s.storeClock.now()
	o.state.Inherit(seq.Promise)
	o.state.Policy.LearnRunTimes = s.Settings.RunTimes == learnedRunTimes
	return o
}

func (o *owner) lastWrite() time.Time { return time.Unix(0, o.lastWriteNanos.Load()) }

// posted is a function for the control goroutine.
type posted struct {
	at time.Time // when it was posted
	f  func(now time.Time)
}

// execute executes the function.
func (o *owner) execute(now time.Time, p posted) {
	o.lag.observe(now, now.Sub(p.at))
	p.f(now)
}

// post queues f for execution by the control goroutine.
func (o *owner) post(f func(now time.Time)) {
	select {
	case o.posted <- posted{monotonicNow(), f}:
	case <-o.ctx.Done():
	}
}

// depose stops the owner; decisions that are not durable yet are discarded.
func (o *owner) depose(why string) {
	o.s.Log.Warn("owner deposed", "service", o.service, "term", o.term, "why", why)
	o.cancel()
}

// run loads the shard and makes decisions until the shard is handed over or
// lost.
func (o *owner) run() {
	defer close(o.done)
	defer o.minionCalls.Close()
	defer o.cancel()
	if err := o.load(); err != nil {
		o.depose(err.Error())
		return
	}
	o.step() // publishes the jobs that were read
	o.loaded.Store(true)
	o.s.spawn(func() { o.followJobs() })
	o.s.spawn(func() { o.followMinions() })
	o.s.spawn(func() { o.archiveJobs() })
	o.s.spawn(func() { o.expireOutcomes() })
	t := time.NewTicker(maxDecideInterval)
	defer t.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case p := <-o.posted:
			o.execute(monotonicNow(), p)
		case <-t.C:
		}
		o.runPosted()
		o.step()
		sleep(o.ctx, minDecideInterval)
	}
}

// runPosted executes all posted functions.
func (o *owner) runPosted() {
	now := monotonicNow()
	for {
		select {
		case p := <-o.posted:
			o.execute(now, p)
		default:
			return
		}
	}
}

// step makes decisions and executes them.
func (o *owner) step() {
	now := monotonicNow()
	o.state.StoreClock = o.s.storeClock.now()
	o.balanceGrants(now)
	if !o.handingOver {
		o.state.PlacementPaused = o.writing && now.Sub(o.writingSince) > slowWriteTimeout
		o.state.Decide(now, time.Now(), o.adviceCapacity(now))
		o.activity.observeDecision(monotonicNow().Sub(now))
	}
	o.weighJobs(now)
	o.reportActivity(now)
	orders := o.state.TakeActions()
	o.updateJobs(orders.Statuses)
	for _, stop := range orders.Stops {
		if h := o.handlers[stop.Minion.Incarnation]; h != nil {
			h.sendStop(now, stop)
		}
	}
	for _, order := range orders.Throttles {
		if h := o.handlers[order.Minion.Incarnation]; h != nil {
			h.sendThrottle(now, order)
		}
	}
	for _, query := range orders.Queries {
		o.requestAdvice(query)
	}
	o.startHandlers()
	o.logNotes()
	if o.writing {
		return
	}
	if o.handingOver {
		o.writing = true // prevents further writes
		go o.releaseShard()
		return
	}
	b, err := o.state.TakeBatch()
	if err != nil {
		o.depose(err.Error())
		return
	}
	if !b.NeedsWrite() && now.Sub(o.lastWrite()) < maxWriteInterval {
		o.applyEffects(b)
		return
	}
	o.writing, o.writingSince = true, now
	go o.commit(b)
}

// logNotes logs the notes of the last decisions, and records the absences that
// have ended.
func (o *owner) logNotes() {
	for _, n := range groupNotes(o.state.Notes) {
		o.s.Log.Info(string(n.What), "service", o.service, "term", o.term, "job", n.Job, "task", n.Task, "attempt", n.Attempt, "minion", n.Minion, "why", n.Why)
	}
	o.state.Notes = o.state.Notes[:0]
	for _, a := range o.state.Absences {
		o.s.metrics.Absence(string(a.Start), a.Cause.String(), a.Took)
	}
	o.state.Absences = o.state.Absences[:0]
}

func (o *owner) updateJobs(statuses []shard.JobStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.runTimeErrors = o.state.RunTimeErrors
	for _, st := range statuses {
		old, had := o.jobs[st.ID]
		if had && isPending(old) {
			o.pendingByQueue[old.Queue]--
		}
		if st.State == "" {
			delete(o.jobs, st.ID)
			continue
		}
		o.jobs[st.ID] = st
		if isPending(st) {
			o.pendingByQueue[st.Queue]++
		}
	}
}

func isPending(st shard.JobStatus) bool { return !st.Begun && !st.State.Terminal() }

func (o *owner) lookUpJob(id string) (shard.JobStatus, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	st, ok := o.jobs[id]
	return st, ok
}

// pendingJobs returns the number of jobs of a queue that have not started; ok
// is false until the whole shard has been read.
func (o *owner) pendingJobs(queue string) (n int, ok bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.pendingByQueue[queue], o.loaded.Load()
}

// submit adds an accepted job unless it has been archived.
func (o *owner) submit(a SubmitArgs) {
	weight := shard.Weight(a.Job)
	o.postedWeight.Add(weight)
	o.post(func(now time.Time) {
		o.postedWeight.Add(-weight)
		if a.Version <= o.jobVersion && !o.state.HasJob(a.Job.ID) {
			return // its row was gone when this owner read all jobs: a previous owner archived it
		}
		o.state.Submit(now, a.Job)
		o.jobsWeight.Add(weight)
	})
}

// cancelJob ends a job whose cancellation is durable.
func (o *owner) cancelJob(id string) {
	o.post(func(now time.Time) { o.state.Cancel(now, id) })
}
