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
	decideGap  = 5 * time.Millisecond   // shortest time between two decisions
	idleGap    = 100 * time.Millisecond // longest
	renewWrite = 400 * time.Millisecond // an owner writes at least this often
	feedGap    = 300 * time.Millisecond // between two looks at the store's feeds
	retryWrite = 40 * time.Millisecond
	heldAfter  = 500 * time.Millisecond // of a write that is under way, before nothing more is placed
	mostRows   = 90                     // in one transaction
)

// errDeposed means that another entry owns the shard.
var errDeposed = errors.New("another entry owns the shard")

// owner decides for one shard. st belongs to the goroutine of run, which
// carries out what is posted.
type owner struct {
	s       *Server
	service string
	term    int64
	ctx     context.Context
	cancel  context.CancelFunc
	in      chan func(now time.Time)
	st      *shard.State
	runners map[work.Incarnation]*runner
	minions atomic.Int64 // how many runners there are
	calls   *carry.Pool
	asking  asking

	own, seq int64 // versions of the two rows that every write depends on
	writes   int
	busy     bool // a write is under way
	busyFrom time.Time
	leaving  bool
	left     chan struct{}

	minionFrom, jobFrom int64 // versions from which the feeds are followed

	loaded atomic.Bool  // the whole shard is in view
	last   atomic.Int64 // steady nanoseconds at which the last durable write had begun

	mu     sync.RWMutex
	shown  map[string]shard.Shown
	queues map[string]int // jobs that have not begun, by queue
}

func newOwner(ctx context.Context, s *Server, service string, l Lead, seq int64) *owner {
	o := &owner{
		s: s, service: service, term: l.Term, in: make(chan func(time.Time), 4096), own: l.version, seq: seq,
		runners: map[work.Incarnation]*runner{}, asking: asking{busy: map[string]bool{}}, left: make(chan struct{}),
		shown: map[string]shard.Shown{}, queues: map[string]int{},
	}
	o.ctx, o.cancel = context.WithCancel(ctx)
	o.last.Store(steady().UnixNano())
	o.calls = s.pool(o)
	limits := shard.Defaults
	limits.Lease = time.Duration(min(s.Settings.Lease, s.Settings.Most)) * time.Millisecond
	limits.Keep = time.Duration(s.Settings.Keep) * time.Millisecond
	o.st = shard.New(service, l.Term, steady(), limits)
	return o
}

func (o *owner) lastWrite() time.Time { return time.Unix(0, o.last.Load()) }

// post has f carried out by the control goroutine.
func (o *owner) post(f func(now time.Time)) {
	select {
	case o.in <- f:
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
	defer close(o.left)
	defer o.calls.Close()
	defer o.cancel()
	if err := o.load(); err != nil {
		o.depose(err.Error())
		return
	}
	o.step() // shows what was read
	o.loaded.Store(true)
	o.s.spawn(func() { o.followJobs() })
	o.s.spawn(func() { o.followMinions() })
	t := time.NewTicker(idleGap)
	defer t.Stop()
	for {
		select {
		case <-o.ctx.Done():
			return
		case f := <-o.in:
			f(steady())
		case <-t.C:
		}
		o.drain()
		o.step()
		pause(o.ctx, decideGap)
	}
}

// drain carries out all that is posted.
func (o *owner) drain() {
	now := steady()
	for {
		select {
		case f := <-o.in:
			f(now)
		default:
			return
		}
	}
}

// step decides, and carries the decisions out.
func (o *owner) step() {
	now := steady()
	if !o.leaving {
		o.st.Held = o.busy && now.Sub(o.busyFrom) > heldAfter
		o.st.Decide(now, time.Now(), o.free(now))
	}
	orders := o.st.Orders()
	o.show(orders.Shown)
	for _, x := range orders.Stops {
		if r := o.runners[x.Minion.Incarnation]; r != nil {
			r.stop(x)
		}
	}
	for _, a := range orders.Asks {
		o.ask(a)
	}
	o.startRunners()
	o.log()
	if o.busy {
		return
	}
	if o.leaving {
		o.busy = true // no further write
		go o.giveUp()
		return
	}
	b, err := o.st.Take()
	if err != nil {
		o.depose(err.Error())
		return
	}
	if !b.NeedsWrite() && now.Sub(o.lastWrite()) < renewWrite {
		o.effect(b)
		return
	}
	o.busy, o.busyFrom = true, now
	go o.commit(b)
}

// log writes the notes of the last decisions.
func (o *owner) log() {
	for _, n := range grouped(o.st.Notes) {
		o.s.Log.Info(n.What, "service", o.service, "term", o.term, "job", n.Job, "task", n.Task, "attempt", n.Attempt, "minion", n.Minion, "why", n.Why)
	}
	o.st.Notes = o.st.Notes[:0]
}

// commit makes a batch durable, and then has its effects.
func (o *owner) commit(b shard.Batch) {
	began, err := o.writeAll(b)
	o.post(func(now time.Time) {
		o.busy = false
		if err != nil {
			o.depose(err.Error())
			return
		}
		o.st.Durable(now, began)
		o.effect(b)
	})
}

// writeAll writes a batch in as many transactions as it needs.
func (o *owner) writeAll(b shard.Batch) (began time.Time, err error) {
	rows, gone := b.Rows, b.Delete
	for first := true; first || len(rows)+len(gone) > 0; first = false {
		n := min(len(rows), mostRows)
		k := min(len(gone), mostRows-n)
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
	o.writes++
	mark := fmt.Sprintf("%s.%d.%d", o.s.life, o.term, o.writes)
	tx := table.Tx{
		If:     []table.Row{{Key: ownerKey(o.service), Version: o.own}, {Key: seqKey(o.service), Version: o.seq}},
		Put:    append([]table.Row{{Key: seqKey(o.service), Value: []byte(mark)}}, rows...),
		Delete: gone,
	}
	for told := false; ; {
		began := steady()
		res, err := o.s.store.Do(o.ctx, tx)
		switch {
		case o.ctx.Err() != nil:
			return began, fmt.Errorf("write: %w", o.ctx.Err())
		case err != nil:
			if !told {
				o.s.Log.Warn("write", "service", o.service, "term", o.term, "why", err.Error())
			}
			told = true
			pause(o.ctx, retryWrite)
			continue
		case res.Done:
			o.seq = res.Version
		default:
			if o.seq = landed(res.Rows, mark); o.seq == 0 {
				return began, errDeposed
			}
		}
		o.last.Store(began.UnixNano())
		o.s.meter.Write(steady().Sub(began))
		return began, nil
	}
}

// landed returns the version of an earlier attempt of the same write, or 0.
func landed(rows []table.Row, mark string) int64 {
	for _, r := range rows {
		if r.Table == seqTable && string(r.Value) == mark {
			return r.Version
		}
	}
	return 0
}

// effect does what a durable batch allows.
func (o *owner) effect(b shard.Batch) {
	now := steady()
	for _, x := range b.Starts {
		r := o.runners[x.Minion.Incarnation]
		if o.leaving || !o.st.Send(now, &x) || r == nil {
			continue
		}
		r.start(x)
	}
	for l, n := range b.Seen {
		if r := o.runners[l]; r != nil {
			r.acknowledge(n)
		}
	}
	o.show(b.Shown)
	for _, id := range b.Drop {
		go o.forget(id)
	}
}

// forget deletes the rows of a job that is over for long.
func (o *owner) forget(id string) {
	tx := table.Tx{Delete: []table.Key{jobKey(id), jobKey(id + cancelMark)}}
	for told := false; ; told = true {
		_, err := o.s.store.Do(o.ctx, tx)
		if err == nil {
			break
		}
		if o.ctx.Err() != nil {
			return
		}
		if !told {
			o.s.Log.Warn("job row stays", "job", id, "why", err.Error())
		}
		pause(o.ctx, retryGap)
	}
	o.post(func(time.Time) { o.st.Forgotten(id) })
}

func (o *owner) show(shown []shard.Shown) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, sh := range shown {
		old, had := o.shown[sh.ID]
		if had && waits(old) {
			o.queues[old.Queue]--
		}
		if sh.State == "" {
			delete(o.shown, sh.ID)
			continue
		}
		o.shown[sh.ID] = sh
		if waits(sh) {
			o.queues[sh.Queue]++
		}
	}
}

func waits(sh shard.Shown) bool { return !sh.Begun && !sh.State.Over() }

func (o *owner) look(id string) (shard.Shown, bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	sh, ok := o.shown[id]
	return sh, ok
}

// pending counts the jobs of a queue that have not begun; ok is false until the
// whole shard is in view.
func (o *owner) pending(queue string) (n int, ok bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.queues[queue], o.loaded.Load()
}

// load reads the whole shard.
func (o *owner) load() error {
	ctx, cancel := context.WithTimeout(o.ctx, loadTimeout)
	defer cancel()
	minions, err := again(ctx, func() (table.Range, error) { return table.ReadAll(ctx, o.s.store, o.s.Codec.MinionTable) })
	if err != nil {
		return fmt.Errorf("read minions: %w", err)
	}
	jobs, err := again(ctx, func() (table.Range, error) { return table.ReadAll(ctx, o.s.store, jobTable) })
	if err != nil {
		return fmt.Errorf("read jobs: %w", err)
	}
	done, err := again(ctx, func() (table.Range, error) {
		return o.s.store.Read(ctx, shard.ProgressTable, o.service, "", "")
	})
	if err != nil {
		return fmt.Errorf("read progress: %w", err)
	}
	o.minionFrom, o.jobFrom = minions.Version, jobs.Version
	now := steady()
	o.sawMinions(now, minions.Rows, true)
	saved, bad := shard.ReadSaved(done.Rows)
	for _, name := range bad {
		o.s.Log.Error("row of a job", "job", name, "why", "the row has the progress of several jobs and cannot be read")
	}
	o.sawJobs(now, jobs.Rows, saved)
	o.st.Adopt(saved)
	o.s.Log.Info("loaded", "service", o.service, "term", o.term, "jobs", len(jobs.Rows), "minions", len(minions.Rows))
	return nil
}

// loadTimeout bounds the reading of a shard; after it another entry may try.
const loadTimeout = 10 * time.Second

// again repeats a read until it succeeds or ctx ends.
func again(ctx context.Context, f func() (table.Range, error)) (table.Range, error) {
	for {
		r, err := f()
		if err == nil || ctx.Err() != nil {
			return r, err
		}
		pause(ctx, retryWrite)
	}
}

// sawJobs takes in rows of jobs and cancellations.
func (o *owner) sawJobs(now time.Time, rows []table.Row, saved shard.Saved) {
	for _, r := range rows {
		if r.Deleted || strings.HasSuffix(r.Name, cancelMark) {
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
		if err := check(j); err != nil {
			o.s.Log.Error("row of a job", "job", r.Name, "why", err.Error())
			continue
		}
		if err := o.st.Load(now, j, saved.Row(j.ID)); err != nil {
			o.s.Log.Error("row of a job", "job", r.Name, "why", err.Error())
		}
	}
	for _, r := range rows {
		if id, ok := strings.CutSuffix(r.Name, cancelMark); ok && !r.Deleted {
			o.st.Cancel(now, id)
		}
	}
}

func (o *owner) sawMinions(now time.Time, rows []table.Row, whole bool) {
	listed := map[string]bool{}
	for _, r := range rows {
		if r.Deleted {
			o.st.Unlist(now, r.Name)
			continue
		}
		m, ok := o.s.Codec.DecodeMinion(r.Name, r.Value)
		if !ok {
			o.s.Log.Debug("entry of a minion is not readable", "minion", r.Name)
			continue
		}
		listed[m.ID] = true
		o.st.See(now, m)
	}
	if whole {
		o.st.Unlisted(now, listed)
	}
}

// followJobs finds jobs and cancellations of which nobody could tell this owner.
func (o *owner) followJobs() {
	follow(o.ctx, o.s.store, jobTable, o.jobFrom, 0, feedGap, o.s.dependency("jobs"), func(rows []table.Row, _ bool) {
		o.post(func(now time.Time) { o.sawJobs(now, rows, shard.Saved{}) })
	})
}

func (o *owner) followMinions() {
	follow(o.ctx, o.s.store, o.s.Codec.MinionTable, o.minionFrom, 0, feedGap, o.s.dependency("minions"), func(rows []table.Row, whole bool) {
		o.post(func(now time.Time) { o.sawMinions(now, rows, whole) })
	})
}

// handOver gives the shard up at once, for another entry to take. What has been
// decided and is not durable yet is left to it.
func (o *owner) handOver() {
	o.post(func(time.Time) { o.leaving = true })
	select {
	case <-o.left:
	case <-time.After(handOverLimit):
		o.depose("the handover takes too long")
	}
}

// handOverLimit bounds a handover; after it a successor has to find out.
const handOverLimit = 2 * time.Second

// giveUp writes that nobody owns the shard, and who should claim it.
func (o *owner) giveUp() {
	defer o.cancel()
	next := Lead{Term: o.term, Next: o.s.successor(steady(), o.service)}
	if _, err := o.s.swap(o.ctx, o.service, o.own, o.seq, next); err != nil {
		o.s.Log.Warn("handover", "service", o.service, "why", err.Error())
		return
	}
	o.s.Log.Info("handed over", "service", o.service, "term", o.term, "next", next.Next)
}
