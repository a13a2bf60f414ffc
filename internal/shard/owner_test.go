package shard

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// simOwner is an owner of the shard and the batch that it is about to commit.
type simOwner struct {
	cluster *simCluster
	st      *State
	acked   map[work.Incarnation]int64
	awaited map[work.Incarnation]int64 // the renewal in flight whose answer it awaits
	batch   *Batch
	ended   []JobStatus // jobs to archive
	deposed bool
	frozen  bool
}

// takeOver creates a new owner from the contents of the store.
func (w *simCluster) takeOver() *simOwner {
	w.term++
	w.record("owner %d takes over", w.term)
	for _, o := range w.owners {
		o.deposed = true // its writes fail from now on; its messages still arrive
	}
	o := &simOwner{cluster: w, st: New("s", w.term, w.now, w.limits), acked: map[work.Incarnation]int64{}, awaited: map[work.Incarnation]int64{}}
	o.readStoreClock()
	o.st.Inherit(w.promise)
	for _, b := range w.minions {
		w.tellRow(o, b)
	}
	saved, bad := ReadProgress(slices.Collect(maps.Values(w.rows)))
	if len(bad) > 0 {
		w.fail("unreadable progress rows: %v", bad)
	}
	defer func() { o.st.AdoptBundles(saved) }()
	hasRow := map[string]bool{}
	for _, j := range w.jobs {
		if w.archived[j.ID] {
			continue
		}
		hasRow[j.ID] = true
		if err := o.st.Load(w.now, w.now, j, saved.Row(j.ID)); err != nil {
			w.fail("load job: %v", err)
		}
		if w.cancelled[j.ID] {
			o.st.Cancel(w.now, j.ID)
		}
	}
	o.st.DropOrphans(saved, hasRow)
	if err := o.st.LoadLeases(w.leaseRow); err != nil {
		w.fail("load leases: %v", err)
	}
	if err := o.st.LoadCalled(slices.Collect(maps.Values(w.called)), w.recorded); err != nil {
		w.fail("load record of called incarnations: %v", err)
	}
	w.owners = append(w.owners, o)
	return o
}

// archive archives the ended jobs that the owner knows of. A former owner may
// still do so, since an outcome does not change.
func (o *simOwner) archive() {
	if o.frozen {
		return
	}
	ids := make([]string, 0, len(o.ended))
	for _, j := range o.ended {
		o.cluster.archived[j.ID] = true
		ids = append(ids, j.ID)
	}
	o.ended = nil
	o.st.HandleArchived(o.cluster.now, ids)
}

// step runs one decision; what needs a write waits for commit.
func (o *simOwner) step() {
	if o.frozen {
		return
	}
	if !o.cluster.storeDown {
		o.readStoreClock()
	}
	o.st.Decide(o.cluster.now, o.cluster.now, QueryCapacity{})
	o.cluster.checkFailures(o.st)
	actions := o.st.TakeActions()
	for _, x := range actions.Stops {
		b := o.cluster.minion(x.Minion.ID)
		o.cluster.inFlight = append(o.cluster.inFlight, o.cluster.order(b, x.Token, func() { b.stop(x.Token, runKey{x.Task, x.Attempt}) }, nil))
	}
	for _, x := range actions.Throttles {
		o.sendThrottle(x)
	}
	if o.batch != nil {
		return
	}
	b, err := o.st.TakeBatch()
	if err != nil {
		o.cluster.fail("take batch: %v", err)
	}
	o.batch = &b
}

// crashedTwice reports whether two minions have crashed under a task of the job.
func (w *simCluster) crashedTwice(job string) bool {
	for t, n := range w.crashes {
		if t.Job == job && n >= 2 {
			return true
		}
	}
	return false
}

// checkFailures checks that a job fails only when a task, or a gang, has failed
// often enough or minions have crashed under it.
func (w *simCluster) checkFailures(st *State) {
	for _, j := range st.jobs {
		if j.state != JobFailed || w.leasesOnly {
			continue
		}
		if w.crashedTwice(j.ID) {
			continue
		}
		most, steps := 0, map[string]int{}
		for t, n := range w.failed {
			if t.Job != j.ID {
				continue
			}
			most = max(most, n)
			if w.stepOf(t).Gang {
				steps[t.StepID()] += n
				most = max(most, steps[t.StepID()])
			}
		}
		if most < j.Attempts {
			w.fail("%s failed after %d failures of a task, %d are allowed", j.ID, most, j.Attempts)
		}
	}
}

// commit writes the batch and carries out its effects.
func (o *simOwner) commit(store bool) {
	if o.frozen || o.batch == nil || !store && o.batch.NeedsWrite() {
		return
	}
	b := *o.batch
	if b.NeedsWrite() {
		if o.deposed {
			return
		}
		for _, r := range b.Rows {
			o.cluster.record("owner %d writes %s: %s", o.st.Term, r.Name, r.Value)
			o.cluster.storeRow(r)
		}
		for _, k := range b.Delete {
			delete(o.cluster.rows, k.Name)
		}
		o.written()
	} else if !o.deposed && store {
		o.written()
	}
	o.batch = nil
	o.ended = append(o.ended, b.Ended...)
	for _, x := range b.Starts {
		if o.st.PrepareStart(o.cluster.now, &x) {
			o.send(x)
		}
	}
	for l, n := range b.AckedEnds {
		o.acked[l] = max(o.acked[l], n)
		o.st.HandleEndsDurable(l, n)
	}
}

// written makes the promise of a write durable with it.
func (o *simOwner) written() {
	w := o.cluster
	w.promise, _ = o.st.StoreClock.Latest(o.st.PromisedEnd(w.now))
	w.recorded = o.st.RecordComplete()
	o.st.HandleWritten(w.now, w.now)
}

// readStoreClock shows the owner the clock of the store.
func (o *simOwner) readStoreClock() {
	w := o.cluster
	o.st.StoreClock.Observe(w.storeTime(), w.now, w.now)
}

// storeTime is the clock of the store.
func (w *simCluster) storeTime() int64 { return w.now.Sub(epoch).Milliseconds() + 1 }

func (w *simCluster) storeRow(r table.Row) {
	if !json.Valid(r.Value) {
		w.fail("row is not valid JSON: %s", r.Value)
	}
	if r.Table == LeaseTable {
		w.leaseRow = r.Value
		return
	}
	if r.Table == CalledTable {
		w.called[r.Name] = r
		return
	}
	w.version++
	r.Version = w.version
	w.rows[r.Name] = r
}

func (w *simCluster) minion(id string) *simMinion {
	for _, b := range w.minions {
		if b.ID == id {
			return b
		}
	}
	return nil
}

// order is an order to a minion that is in flight from now on. reply tells the owner
// that there was no reply, if it awaits one.
func (w *simCluster) order(b *simMinion, token int64, carryOut, reply func()) pendingOrder {
	sent := w.now
	deliver := func() {
		if b.startedAt.After(sent) && w.now.Sub(sent) > w.limits.MaxOrderDelay {
			w.record("%s never gets an order with token %d", b.ID, token)
			if reply != nil {
				reply()
			}
			return
		}
		carryOut()
	}
	return pendingOrder{b, token, deliver, reply}
}

// once returns a function that calls f at its first call only.
func once(f func()) func() {
	done := false
	return func() {
		if !done {
			done = true
			f()
		}
	}
}

// send puts a start order in flight.
func (o *simOwner) send(x StartOrder) {
	size := o.st.minions[x.Minion.ID].runs[runKey{x.Start.Task, x.Start.Attempt}].size
	b, sent := o.cluster.minion(x.Minion.ID), o.cluster.now
	awaited := true
	reply := func(why work.Refusal, err error) {
		if awaited {
			awaited = false
			o.st.HandleStartReply(o.cluster.now, x, why, err)
		}
	}
	lose := func() { reply(work.Other, errNoAnswer) }
	o.cluster.inFlight = append(o.cluster.inFlight, o.cluster.order(b, x.Start.Token, func() {
		if !b.crashedAt.IsZero() {
			reply(work.Other, table.ErrNotApplied)
			return
		}
		if o.cluster.leasesOnly && b.Born != x.Minion.Born {
			lose()
			return
		}
		why, ok := b.start(x.Minion.Incarnation, x.Start, size, sent)
		if !b.crashedAt.IsZero() && o.cluster.repliesLost || !ok || b.Born != x.Minion.Born {
			lose()
			return
		}
		reply(why, nil)
	}, lose))
}

var errNoAnswer = errors.New("no answer")

// loseReply reports to the owner that a start got no reply.
func (o *simOwner) loseReply(x StartOrder) {
	o.st.HandleStartReply(o.cluster.now, x, work.Other, errNoAnswer)
}

// sendThrottle puts an order about the speed of a run in flight.
func (o *simOwner) sendThrottle(x ThrottleOrder) {
	b := o.cluster.minion(x.Minion.ID)
	var err error
	reply := once(func() { o.st.HandleThrottleReply(o.cluster.now, x, err) })
	lose := func() {
		err = errNoAnswer
		reply()
	}
	o.cluster.inFlight = append(o.cluster.inFlight, o.cluster.order(b, x.Token, func() {
		if !b.throttle(x) {
			err = errNoAnswer
		}
		reply()
	}, lose))
}

// renew requests a report from a minion, without delay.
func (o *simOwner) renew(b *simMinion) {
	if carryOut, _ := o.renewal(b); carryOut != nil {
		carryOut()
	}
}

// renewLate puts a renewal in flight.
func (o *simOwner) renewLate(b *simMinion) {
	carryOut, lose := o.renewal(b)
	if carryOut == nil {
		return
	}
	token := o.st.minions[b.ID].token
	o.cluster.record("owner %d sends %s a renewal with token %d", o.st.Term, b.ID, token)
	o.cluster.inFlight = append(o.cluster.inFlight, o.cluster.order(b, token, carryOut, lose))
}

// renewal returns what carries out the next renewal of a minion, and what tells the
// owner that there was no answer. They are nil if there is none. The owner awaits no
// answer to an earlier one of the incarnation from now on.
func (o *simOwner) renewal(b *simMinion) (carryOut, lose func()) {
	w, m := o.cluster, o.st.minions[b.ID]
	if o.frozen || m == nil {
		return nil, nil
	}
	l := m.Incarnation
	n, ok := o.st.NextRenewal(w.now, l)
	if !ok {
		return nil, nil
	}
	seen := n.Ack
	o.awaited[l] = n.Seq
	answer := func(f func()) {
		if o.awaited[l] == n.Seq {
			delete(o.awaited, l)
			f()
		}
	}
	lose = func() { answer(func() { o.st.HandleNoReply(w.now, l) }) }
	return func() {
		if b.replaced {
			answer(func() { o.st.HandleReplaced(w.now, l) })
			return
		}
		if w.leasesOnly && b.Born != l.Born {
			seen = 0
		}
		fenced := b.up && n.Token < b.token
		rep, ok := b.handleRenewal(fmt.Sprint("owner ", o.st.Term), n, seen)
		if fenced {
			answer(func() { o.st.HandleFenced(w.now, n) })
			return
		}
		if !ok {
			lose()
			return
		}
		answer(func() {
			if rep.Born != l.Born {
				o.acked[work.Incarnation{ID: b.ID, Born: rep.Born}] = 0
			}
			o.st.HandleReport(w.now, n, rep)
		})
	}, lose
}
