package server

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/carry"
	"jasminestep/internal/shard"
	"jasminestep/internal/table"
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
)

// errDeposed means that another entry owns the shard.
var errDeposed = errors.New("another entry owns the shard")

// owner makes the decisions for one shard. The goroutine of run, the control
// goroutine, executes posted functions and has exclusive access to state.
type owner struct {
	s           *Server
	service     string
	term        int64
	ctx         context.Context
	cancel      context.CancelFunc
	posted      chan func(now time.Time)
	state       *shard.State
	handlers    map[work.Incarnation]*minionHandler
	minionCount atomic.Int64 // number of handlers
	minionCalls *carry.Dispatcher
	advice      adviceRequests
	archive     archiveQueue // filled by the control goroutine, emptied by archiveJobs

	ownerVersion, seqVersion int64 // versions of the two rows that every write is conditional on
	writeCount               int
	writing                  bool // a write is in progress
	writingSince             time.Time
	handingOver              bool
	done                     chan struct{}

	minionVersion, jobVersion int64 // versions after which the feeds are followed

	loaded         atomic.Bool  // the whole shard has been read
	lastWriteNanos atomic.Int64 // start of the last durable write, in nanoseconds of monotonicNow

	mu             sync.RWMutex
	jobs           map[string]shard.JobStatus
	pendingByQueue map[string]int // number of jobs that have not started, by queue
}

func newOwner(ctx context.Context, s *Server, service string, l OwnerRow, seq int64) *owner {
	o := &owner{
		s: s, service: service, term: l.Term, posted: make(chan func(time.Time), 4096), ownerVersion: l.version, seqVersion: seq,
		handlers: map[work.Incarnation]*minionHandler{}, advice: adviceRequests{inFlight: map[string]bool{}}, done: make(chan struct{}),
		jobs: map[string]shard.JobStatus{}, pendingByQueue: map[string]int{},
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	o.lastWriteNanos.Store(monotonicNow().UnixNano())
	o.minionCalls = s.newDispatcher(o)
	limits := shard.DefaultLimits
	limits.Lease = time.Duration(min(s.Settings.Lease, s.Settings.MaxLease)) * time.Millisecond
	limits.Retention = time.Duration(s.Settings.JobRetention) * time.Millisecond
	o.state = shard.New(service, l.Term, monotonicNow(), limits)
	return o
}

func (o *owner) lastWrite() time.Time { return time.Unix(0, o.lastWriteNanos.Load()) }

// post queues f for execution by the control goroutine.
func (o *owner) post(f func(now time.Time)) {
	select {
	case o.posted <- f:
	case <-o.ctx.Done():
	}
}

// depose stops the owner; decisions that are not durable yet are discarded.
func (o *owner) depose(why string) {
	o.s.Log.Warn("deposed", "service", o.service, "term", o.term, "why", why)
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
		case f := <-o.posted:
			f(monotonicNow())
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
		case f := <-o.posted:
			f(now)
		default:
			return
		}
	}
}

// step makes decisions and executes them.
func (o *owner) step() {
	now := monotonicNow()
	if !o.handingOver {
		o.state.PlacementPaused = o.writing && now.Sub(o.writingSince) > slowWriteTimeout
		o.state.Decide(now, time.Now(), o.adviceCapacity(now))
	}
	orders := o.state.TakeActions()
	o.updateJobs(orders.Statuses)
	for _, x := range orders.Stops {
		if r := o.handlers[x.Minion.Incarnation]; r != nil {
			r.sendStop(x)
		}
	}
	for _, a := range orders.Queries {
		o.requestAdvice(a)
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

// logNotes logs the notes of the last decisions.
func (o *owner) logNotes() {
	for _, n := range groupNotes(o.state.Notes) {
		o.s.Log.Info(n.What, "service", o.service, "term", o.term, "job", n.Job, "task", n.Task, "attempt", n.Attempt, "minion", n.Minion, "why", n.Why)
	}
	o.state.Notes = o.state.Notes[:0]
}

// commit makes a batch durable and then applies its effects.
func (o *owner) commit(b shard.Batch) {
	startTime, err := o.writeAll(b)
	o.post(func(now time.Time) {
		o.writing = false
		if err != nil {
			o.depose(err.Error())
			return
		}
		o.state.HandleWritten(now, startTime)
		o.applyEffects(b)
	})
}

// writeAll writes a batch in as many transactions as needed.
func (o *owner) writeAll(b shard.Batch) (startTime time.Time, err error) {
	rows, deletes := b.Rows, b.Delete
	for first := true; first || len(rows)+len(deletes) > 0; first = false {
		n := min(len(rows), maxRowsPerTx)
		k := min(len(deletes), maxRowsPerTx-n)
		if startTime, err = o.write(rows[:n], deletes[:k]); err != nil {
			return startTime, err
		}
		rows, deletes = rows[n:], deletes[k:]
	}
	return startTime, nil
}

// write makes rows durable if this entry still owns the shard. Every write
// changes the seq row and is conditional on its version. Thus a write that got
// no response can be sent again, and it cannot take effect late and overwrite a
// later one.
func (o *owner) write(rows []table.Row, deletes []table.Key) (time.Time, error) {
	o.writeCount++
	writeID := fmt.Sprintf("%s.%d.%d", o.s.instanceID, o.term, o.writeCount)
	tx := table.Tx{
		If:     []table.Row{{Key: ownerKey(o.service), Version: o.ownerVersion}, {Key: seqKey(o.service), Version: o.seqVersion}},
		Put:    append([]table.Row{{Key: seqKey(o.service), Value: []byte(writeID)}}, rows...),
		Delete: deletes,
	}
	for logged := false; ; {
		startTime := monotonicNow()
		res, err := o.s.relayStore.Do(o.ctx, tx)
		switch {
		case o.ctx.Err() != nil:
			return startTime, fmt.Errorf("write: %w", o.ctx.Err())
		case err != nil:
			if !logged {
				o.s.Log.Warn("write", "service", o.service, "term", o.term, "why", err.Error())
			}
			logged = true
			sleep(o.ctx, writeRetryDelay)
			continue
		case res.Done:
			o.seqVersion = res.Version
		default:
			if o.seqVersion = committedVersion(res.Rows, writeID); o.seqVersion == 0 {
				return startTime, errDeposed
			}
		}
		o.lastWriteNanos.Store(startTime.UnixNano())
		o.s.metrics.Write(monotonicNow().Sub(startTime))
		return startTime, nil
	}
}

// committedVersion returns the version of the seq row if an earlier attempt of
// the same write was committed, else 0.
func committedVersion(rows []table.Row, writeID string) int64 {
	for _, r := range rows {
		if r.Table == seqTable && string(r.Value) == writeID {
			return r.Version
		}
	}
	return 0
}

// applyEffects does what may be done once a batch is durable.
func (o *owner) applyEffects(b shard.Batch) {
	now := monotonicNow()
	for _, x := range b.Starts {
		r := o.handlers[x.Minion.Incarnation]
		if o.handingOver || !o.state.PrepareStart(now, &x) || r == nil {
			continue
		}
		r.sendStart(x)
	}
	for l, n := range b.AckedEnds {
		if r := o.handlers[l]; r != nil {
			r.acknowledge(n)
		}
	}
	o.updateJobs(b.Statuses)
	o.archive.add(now, b.Ended)
}

func (o *owner) updateJobs(shown []shard.JobStatus) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, sh := range shown {
		old, had := o.jobs[sh.ID]
		if had && isPending(old) {
			o.pendingByQueue[old.Queue]--
		}
		if sh.State == "" {
			delete(o.jobs, sh.ID)
			continue
		}
		o.jobs[sh.ID] = sh
		if isPending(sh) {
			o.pendingByQueue[sh.Queue]++
		}
	}
}

func isPending(sh shard.JobStatus) bool { return !sh.Begun && !sh.State.Terminal() }

func (o *owner) lookUpJob(id string) (shard.JobStatus, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	sh, ok := o.jobs[id]
	return sh, ok
}

// pendingJobs returns the number of jobs of a queue that have not started; ok
// is false until the whole shard has been read.
func (o *owner) pendingJobs(queue string) (n int, ok bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.pendingByQueue[queue], o.loaded.Load()
}

// load reads the whole shard.
func (o *owner) load() error {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	minions, err := retryRead(ctx, func() (table.Range, error) { return table.ReadAll(ctx, o.s.relayStore, o.s.Codec.MinionTable) })
	if err != nil {
		return fmt.Errorf("read minions: %w", err)
	}
	jobs, err := retryRead(ctx, func() (table.Range, error) { return readJobs(ctx, o.s.relayStore) })
	if err != nil {
		return fmt.Errorf("read jobs: %w", err)
	}
	progress, err := retryRead(ctx, func() (table.Range, error) {
		return o.s.relayStore.Read(ctx, shard.ProgressTable, o.service, "", "")
	})
	if err != nil {
		return fmt.Errorf("read progress: %w", err)
	}
	o.minionVersion, o.jobVersion = minions.Version, jobs.Version
	now := monotonicNow()
	o.applyMinionRows(now, minions.Rows, true)
	saved, bad := shard.ReadProgress(progress.Rows)
	for _, name := range bad {
		o.s.Log.Error("row of a job", "job", name, "why", "the row holds the progress of several jobs and cannot be decoded")
	}
	o.applyJobRows(now, jobs.Rows, saved)
	o.state.AdoptBundles(saved)
	o.state.DropOrphans(saved, rowNames(jobs.Rows))
	o.s.Log.Info("loaded", "service", o.service, "term", o.term, "jobs", len(jobs.Rows), "minions", len(minions.Rows))
	return nil
}

// readJobs reads all job rows. It reads every part, also those that are empty at
// present: the version of the result has to precede all changes that are not in
// it, or the feed that continues from there would show jobs that were archived
// long ago.
func readJobs(ctx context.Context, s table.Store) (table.Range, error) {
	parts := make([]string, jobParts)
	for i := range parts {
		parts[i] = partName(i)
	}
	return table.ReadParts(ctx, s, jobTable, parts)
}

// loadTimeout limits the time to read a shard; after it another entry may try.
const loadTimeout = 10 * time.Second

// retryRead repeats a read until it succeeds or ctx ends.
func retryRead(ctx context.Context, f func() (table.Range, error)) (table.Range, error) {
	for {
		r, err := f()
		if err == nil || ctx.Err() != nil {
			return r, err
		}
		sleep(ctx, writeRetryDelay)
	}
}

// applyJobRows applies rows of jobs and cancellations.
func (o *owner) applyJobRows(now time.Time, rows []table.Row, saved shard.SavedProgress) {
	for _, r := range rows {
		if r.Deleted || strings.HasSuffix(r.Name, cancelSuffix) {
			continue
		}
		j := &work.Job{}
		if err := json.Unmarshal(r.Value, j); err != nil {
			o.s.Log.Error("row of a job", "job", r.Name, "why", err.Error())
			continue
		}
		if j.Service != o.service {
			continue
		}
		if err := validateJob(j); err != nil {
			o.s.Log.Error("row of a job", "job", r.Name, "why", err.Error())
			continue
		}
		if err := o.state.Load(now, time.Now(), j, saved.Row(j.ID)); err != nil {
			o.s.Log.Error("row of a job", "job", r.Name, "why", err.Error())
		}
	}
	for _, r := range rows {
		if id, ok := strings.CutSuffix(r.Name, cancelSuffix); ok && !r.Deleted {
			o.state.Cancel(now, id)
		}
	}
}

func (o *owner) applyMinionRows(now time.Time, rows []table.Row, whole bool) {
	listed := map[string]bool{}
	for _, r := range rows {
		if r.Deleted {
			o.state.UnlistMinion(now, r.Name)
			continue
		}
		m, ok := o.s.Codec.DecodeMinion(r.Name, r.Value)
		if !ok {
			o.s.Log.Debug("cannot decode minion row", "minion", r.Name)
			continue
		}
		listed[m.ID] = true
		o.state.UpdateMinion(now, m)
	}
	if whole {
		o.state.UnlistMissing(now, listed)
	}
}

// submit adds an accepted job unless it has been archived.
func (o *owner) submit(a SubmitArgs) {
	o.post(func(now time.Time) {
		if a.Version <= o.jobVersion && !o.state.HasJob(a.Job.ID) {
			return // its row was gone when this owner read all jobs: a previous owner archived it
		}
		o.state.Submit(now, a.Job)
	})
}

// followJobs finds jobs and cancellations that this owner was not notified of.
func (o *owner) followJobs() {
	f := follower{store: o.s.relayStore, table: jobTable, read: readJobs, gap: feedInterval, report: o.s.feedLogger("jobs")}
	f.apply = func(rows []table.Row, _ bool) {
		o.post(func(now time.Time) { o.applyJobRows(now, rows, shard.SavedProgress{}) })
	}
	f.run(o.ctx, o.jobVersion)
}

func (o *owner) followMinions() {
	f := follower{store: o.s.relayStore, table: o.s.Codec.MinionTable, gap: feedInterval, report: o.s.feedLogger("minions")}
	f.apply = func(rows []table.Row, whole bool) {
		o.post(func(now time.Time) { o.applyMinionRows(now, rows, whole) })
	}
	f.run(o.ctx, o.minionVersion)
}

// handOver gives up the shard at once so that another entry can claim it.
// Decisions that are not durable yet are left to that entry.
func (o *owner) handOver() {
	o.post(func(time.Time) { o.handingOver = true })
	select {
	case <-o.done:
	case <-time.After(handOverTimeout):
		o.depose("handover timed out")
	}
}

// handOverTimeout limits the time of a handover; after it other entries have to
// detect that the shard has no owner.
const handOverTimeout = 2 * time.Second

// releaseShard writes an owner row that names no owner, but the entry that
// should claim the shard next.
func (o *owner) releaseShard() {
	defer o.cancel()
	next := OwnerRow{Term: o.term, Next: o.s.successor(monotonicNow(), o.service)}
	if _, err := o.s.replaceOwnerRow(o.ctx, o.service, o.ownerVersion, o.seqVersion, next); err != nil {
		o.s.Log.Warn("handover failed", "service", o.service, "why", err.Error())
		return
	}
	o.s.Log.Info("handed over", "service", o.service, "term", o.term, "next", next.Next)
}
