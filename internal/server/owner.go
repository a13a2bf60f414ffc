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

// Timing of an owner.
const (
	minDecideInterval = 5 * time.Millisecond   // shortest time between two decisions
	maxDecideInterval = 100 * time.Millisecond // longest
	maxWriteInterval  = 400 * time.Millisecond // an owner writes at least this often
	feedInterval      = 300 * time.Millisecond // between two looks at the store's feeds
	writeRetryDelay   = 40 * time.Millisecond
	slowWriteTimeout  = 500 * time.Millisecond // of a write that is under way, before nothing more is placed
	maxRowsPerTx      = 90                     // in one transaction
)

// errDeposed means that another entry owns the shard.
var errDeposed = errors.New("another entry owns the shard")

// owner decides for one shard. st belongs to the goroutine of run, which
// carries out what is posted.
type owner struct {
	s           *Server
	service     string
	term        int64
	ctx         context.Context
	cancel      context.CancelFunc
	posted      chan func(now time.Time)
	state       *shard.State
	handlers    map[work.Life]*minionHandler
	minionCount atomic.Int64 // how many runners there are
	minionCalls *carry.Dispatcher
	advice      adviceRequests

	ownerVersion, seqVersion int64 // versions of the two rows that every write depends on
	writeCount               int
	writing                  bool // a write is under way
	writingSince             time.Time
	handingOver              bool
	done                     chan struct{}

	minionVersion, jobVersion int64 // versions from which the feeds are followed

	loaded         atomic.Bool  // the whole shard is in view
	lastWriteNanos atomic.Int64 // steady nanoseconds at which the last durable write had begun

	mu             sync.RWMutex
	jobs           map[string]shard.Shown
	pendingByQueue map[string]int // jobs that have not begun, by queue
}

func newOwner(ctx context.Context, s *Server, service string, l OwnerRow, seq int64) *owner {
	o := &owner{
		s: s, service: service, term: l.Term, posted: make(chan func(time.Time), 4096), ownerVersion: l.version, seqVersion: seq,
		handlers: map[work.Life]*minionHandler{}, advice: adviceRequests{inFlight: map[string]bool{}}, done: make(chan struct{}),
		jobs: map[string]shard.Shown{}, pendingByQueue: map[string]int{},
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	o.lastWriteNanos.Store(monotonicNow().UnixNano())
	o.minionCalls = s.newDispatcher(o)
	limits := shard.Defaults
	limits.Lease = time.Duration(min(s.Settings.Lease, s.Settings.MaxLease)) * time.Millisecond
	limits.Keep = time.Duration(s.Settings.JobRetention) * time.Millisecond
	o.state = shard.New(service, l.Term, monotonicNow(), limits)
	return o
}

func (o *owner) lastWrite() time.Time { return time.Unix(0, o.lastWriteNanos.Load()) }

// post has f carried out by the control goroutine.
func (o *owner) post(f func(now time.Time)) {
	select {
	case o.posted <- f:
	case <-o.ctx.Done():
	}
}

// depose ends the owner; what it has not made durable is void.
func (o *owner) depose(why string) {
	o.s.Log.Warn("deposed", "service", o.service, "term", o.term, "why", why)
	o.cancel()
}

// run takes the shard in and decides until it is handed over or lost.
func (o *owner) run() {
	defer close(o.done)
	defer o.minionCalls.Close()
	defer o.cancel()
	if err := o.load(); err != nil {
		o.depose(err.Error())
		return
	}
	o.step() // shows what was read
	o.loaded.Store(true)
	o.s.spawn(func() { o.followJobs() })
	o.s.spawn(func() { o.followMinions() })
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

// drain carries out all that is posted.
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

// step decides, and carries the decisions out.
func (o *owner) step() {
	now := monotonicNow()
	if !o.handingOver {
		o.state.Held = o.writing && now.Sub(o.writingSince) > slowWriteTimeout
		o.state.Decide(now, time.Now(), o.adviceCapacity(now))
	}
	orders := o.state.Orders()
	o.updateJobs(orders.Shown)
	for _, x := range orders.Stops {
		if r := o.handlers[x.Minion.Life]; r != nil {
			r.sendStop(x)
		}
	}
	for _, a := range orders.Asks {
		o.requestAdvice(a)
	}
	o.startHandlers()
	o.logNotes()
	if o.writing {
		return
	}
	if o.handingOver {
		o.writing = true // no further write
		go o.releaseShard()
		return
	}
	b, err := o.state.Take()
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

// log writes the notes of the last decisions.
func (o *owner) logNotes() {
	for _, n := range groupNotes(o.state.Notes) {
		o.s.Log.Info(n.What, "service", o.service, "term", o.term, "job", n.Job, "task", n.Task, "attempt", n.Attempt, "minion", n.Minion, "why", n.Why)
	}
	o.state.Notes = o.state.Notes[:0]
}

// commit makes a batch durable, and then has its effects.
func (o *owner) commit(b shard.Batch) {
	began, err := o.writeAll(b)
	o.post(func(now time.Time) {
		o.writing = false
		if err != nil {
			o.depose(err.Error())
			return
		}
		o.state.Durable(now, began)
		o.applyEffects(b)
	})
}

// writeAll writes a batch in as many transactions as it needs.
func (o *owner) writeAll(b shard.Batch) (began time.Time, err error) {
	rows, gone := b.Rows, b.Delete
	for first := true; first || len(rows)+len(gone) > 0; first = false {
		n := min(len(rows), maxRowsPerTx)
		k := min(len(gone), maxRowsPerTx-n)
		if began, err = o.write(rows[:n], gone[:k]); err != nil {
			return began, err
		}
		rows, gone = rows[n:], gone[k:]
	}
	return began, nil
}

// write makes rows durable if this entry still owns the shard. The row seq
// changes with each write, so that one that got no answer can be sent again
// and cannot land late, over a later one.
func (o *owner) write(rows []table.Row, gone []table.Key) (time.Time, error) {
	o.writeCount++
	mark := fmt.Sprintf("%s.%d.%d", o.s.instanceID, o.term, o.writeCount)
	tx := table.Tx{
		If:     []table.Row{{Key: ownerKey(o.service), Version: o.ownerVersion}, {Key: seqKey(o.service), Version: o.seqVersion}},
		Put:    append([]table.Row{{Key: seqKey(o.service), Value: []byte(mark)}}, rows...),
		Delete: gone,
	}
	for told := false; ; {
		began := monotonicNow()
		res, err := o.s.relayStore.Do(o.ctx, tx)
		switch {
		case o.ctx.Err() != nil:
			return began, fmt.Errorf("write: %w", o.ctx.Err())
		case err != nil:
			if !told {
				o.s.Log.Warn("write", "service", o.service, "term", o.term, "why", err.Error())
			}
			told = true
			sleep(o.ctx, writeRetryDelay)
			continue
		case res.Done:
			o.seqVersion = res.Version
		default:
			if o.seqVersion = committedVersion(res.Rows, mark); o.seqVersion == 0 {
				return began, errDeposed
			}
		}
		o.lastWriteNanos.Store(began.UnixNano())
		o.s.metrics.Write(monotonicNow().Sub(began))
		return began, nil
	}
}

// landed returns the version of an earlier attempt of the same write, or 0.
func committedVersion(rows []table.Row, mark string) int64 {
	for _, r := range rows {
		if r.Table == seqTable && string(r.Value) == mark {
			return r.Version
		}
	}
	return 0
}

// effect does what a durable batch allows.
func (o *owner) applyEffects(b shard.Batch) {
	now := monotonicNow()
	for _, x := range b.Starts {
		r := o.handlers[x.Minion.Life]
		if o.handingOver || !o.state.Send(now, &x) || r == nil {
			continue
		}
		r.sendStart(x)
	}
	for l, n := range b.Seen {
		if r := o.handlers[l]; r != nil {
			r.acknowledge(n)
		}
	}
	o.updateJobs(b.Shown)
	for _, id := range b.Drop {
		go o.deleteJobRows(id)
	}
}

// forget deletes the rows of a job that is over for long.
func (o *owner) deleteJobRows(id string) {
	tx := table.Tx{Delete: []table.Key{jobKey(id), jobKey(id + cancelSuffix)}}
	for told := false; ; told = true {
		_, err := o.s.relayStore.Do(o.ctx, tx)
		if err == nil {
			break
		}
		if o.ctx.Err() != nil {
			return
		}
		if !told {
			o.s.Log.Warn("job row stays", "job", id, "why", err.Error())
		}
		sleep(o.ctx, retryDelay)
	}
	o.post(func(time.Time) { o.state.Forgotten(id) })
}

func (o *owner) updateJobs(shown []shard.Shown) {
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

func isPending(sh shard.Shown) bool { return !sh.Begun && !sh.State.Over() }

func (o *owner) lookUpJob(id string) (shard.Shown, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	sh, ok := o.jobs[id]
	return sh, ok
}

// pending counts the jobs of a queue that have not begun; ok is false until the
// whole shard is in view.
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
	jobs, err := retryRead(ctx, func() (table.Range, error) { return table.ReadAll(ctx, o.s.relayStore, jobTable) })
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
	saved, bad := shard.ReadSaved(progress.Rows)
	for _, name := range bad {
		o.s.Log.Error("row of a job", "job", name, "why", "the row has the progress of several jobs and cannot be read")
	}
	o.applyJobRows(now, jobs.Rows, saved)
	o.state.Adopt(saved)
	o.s.Log.Info("loaded", "service", o.service, "term", o.term, "jobs", len(jobs.Rows), "minions", len(minions.Rows))
	return nil
}

// loadTimeout bounds the reading of a shard; after it another entry may try.
const loadTimeout = 10 * time.Second

// again repeats a read until it succeeds or ctx ends.
func retryRead(ctx context.Context, f func() (table.Range, error)) (table.Range, error) {
	for {
		r, err := f()
		if err == nil || ctx.Err() != nil {
			return r, err
		}
		sleep(ctx, writeRetryDelay)
	}
}

// sawJobs takes in rows of jobs and cancellations.
func (o *owner) applyJobRows(now time.Time, rows []table.Row, saved shard.Saved) {
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
		if err := o.state.Load(now, j, saved.Row(j.ID)); err != nil {
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
			o.state.Unlist(now, r.Name)
			continue
		}
		m, ok := o.s.Codec.DecodeMinion(r.Name, r.Value)
		if !ok {
			o.s.Log.Debug("entry of a minion is not readable", "minion", r.Name)
			continue
		}
		listed[m.ID] = true
		o.state.See(now, m)
	}
	if whole {
		o.state.Unlisted(now, listed)
	}
}

// followJobs finds jobs and cancellations of which nobody could tell this owner.
func (o *owner) followJobs() {
	followTable(o.ctx, o.s.relayStore, jobTable, o.jobVersion, 0, feedInterval, o.s.feedLogger("jobs"), func(rows []table.Row, _ bool) {
		o.post(func(now time.Time) { o.applyJobRows(now, rows, shard.Saved{}) })
	})
}

func (o *owner) followMinions() {
	followTable(o.ctx, o.s.relayStore, o.s.Codec.MinionTable, o.minionVersion, 0, feedInterval, o.s.feedLogger("minions"), func(rows []table.Row, whole bool) {
		o.post(func(now time.Time) { o.applyMinionRows(now, rows, whole) })
	})
}

// handOver gives the shard up at once, for another entry to take. What has been
// decided and is not durable yet is left to it.
func (o *owner) handOver() {
	o.post(func(time.Time) { o.handingOver = true })
	select {
	case <-o.done:
	case <-time.After(handOverTimeout):
		o.depose("the handover takes too long")
	}
}

// handOverLimit bounds a handover; after it a successor has to find out.
const handOverTimeout = 2 * time.Second

// giveUp writes that nobody owns the shard, and who should claim it.
func (o *owner) releaseShard() {
	defer o.cancel()
	next := OwnerRow{Term: o.term, Next: o.s.successor(monotonicNow(), o.service)}
	if _, err := o.s.replaceOwnerRow(o.ctx, o.service, o.ownerVersion, o.seqVersion, next); err != nil {
		o.s.Log.Warn("handover", "service", o.service, "why", err.Error())
		return
	}
	o.s.Log.Info("handed over", "service", o.service, "term", o.term, "next", next.Next)
}
