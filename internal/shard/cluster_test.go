package shard

import (
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
	"testing"
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// simCluster is the reference that owners are checked against: minions that run
// what they are told, a store of rows, and messages in flight.
type simCluster struct {
	t         fataler
	now       time.Time
	limits    Limits
	minions   []*simMinion
	rows      map[string]table.Row // progress rows, by name
	version   int64
	jobs      []*work.Job
	cancelled map[string]bool // cancelled jobs
	archived  map[string]bool // jobs without a row of their own
	term      int64
	owners    []*simOwner // the last one has the shard; the others do not know that yet
	inFlight  []pendingOrder
	done      map[work.TaskID]bool // succeeded, and acknowledged by an owner
	everDone  map[work.TaskID]bool // succeeded, or a member of a gang that did
	failed    map[work.TaskID]int  // failed runs
	history   []string             // log of events, for failure messages

	deadly     map[work.TaskID]bool // tasks that crash the minions that start them
	crashes    map[work.TaskID]int  // minions that crashed under a task
	lateStarts map[work.TaskID]int  // starts of a deadly task after crashesBeforeLimit crashes
	begunAt    map[runKey]time.Time

	repliesLost bool // a minion that crashes under a start does not reply to it

	promise  int64                // of the last write of an owner
	leaseRow []byte               // nil if there is none
	called   map[string]table.Row // record of called incarnations, by name
	recorded bool                 // the last write of an owner says that the record is complete

	leasesOnly bool // the next incarnation of a minion carries out no starts and forgets no ends that it is not meant to; no job is checked for failures without cause

	minionRows map[string]minionRow // by minion
	storeDown  bool                 // no row is written
	feedDown   bool                 // the owner is not shown the rows of minions
}

// Limits on the starts of a deadly task.
const (
	crashesBeforeLimit = 3
	maxLateStarts      = 2
)

type fataler interface {
	Fatalf(format string, args ...any)
}

// pendingOrder is an order or a renewal in flight. Whatever the owner is told of it
// meanwhile, it is carried out when it is delivered, by the incarnation that is there
// then.
type pendingOrder struct {
	to      *simMinion
	token   int64
	deliver func()
	lose    func() // tells the owner that there was no reply; nil if none is awaited
}

// simMinion is the actual state of a minion.
type simMinion struct {
	cluster *simCluster
	work.Minion
	startedAt  time.Time
	lives      int   // number of its incarnations
	clockStart int64 // what its clock showed when this one began
	token      int64
	leaseUntil int64 // lease, on its clock
	lastEnd    int64
	voidedEnds int64 // the lease ended between the ends up to this one and their acknowledgement
	runs       map[runKey]work.Size
	speeds     map[runKey]int // of runs that were throttled, in percent
	ends       []work.End
	closedRuns map[runKey]bool // runs that were stopped or have ended here
	up         bool
	stuck      bool      // its runs make no progress
	refusals   int       // number of starts that it will refuse from now on
	drift      float64   // how much slower its clock runs, as a fraction
	crashedAt  time.Time // zero while it has not crashed
	replaced   bool      // another minion has its address

	former       []formerCapacity
	tail         time.Duration // response time of its tasks with a target, without fill tasks
	interference time.Duration // added by each fill task at full speed
}

func (b *simMinion) clock() int64 {
	return b.clockStart + int64(float64(b.cluster.now.Sub(b.startedAt).Milliseconds())*(1-b.drift))
}

// clockSpread is the range in which the clocks of incarnations begin, in ms.
const clockSpread = 120_000

// firstClock is what the clock of an incarnation shows at its start: any value, ahead of
// or behind that of the former one.
func firstClock(id string, life int) int64 {
	h := fnv.New64a()
	fmt.Fprint(h, life, id)
	return int64(h.Sum64() % clockSpread)
}

// tick ends the runs when the lease has expired.
func (b *simMinion) tick() {
	if b.clock() < b.leaseUntil {
		return
	}
	for k := range b.runs {
		b.end(k, work.LeaseExpired)
	}
	b.voidedEnds = b.lastEnd
}

func (b *simMinion) end(k runKey, how work.Outcome) {
	b.cluster.record("%s ends %s on %s as end %d", k.task, how, b.ID, b.lastEnd+1)
	switch how {
	case work.Done:
		b.cluster.everDone[k.task] = true
	case work.Failed:
		b.cluster.failed[k.task]++
	}
	delete(b.runs, k)
	b.closedRuns[k] = true
	b.lastEnd++
	b.ends = append(b.ends, work.End{N: b.lastEnd, Task: k.task, Attempt: k.attempt, How: how})
}

// finish ends a run and, for a gang, its other members.
func (w *simCluster) finish(b *simMinion, k runKey, how work.Outcome) {
	step := w.stepOf(k.task)
	if step.Lasting {
		how = work.Failed // lasting tasks never succeed
	}
	if !step.Gang {
		b.end(k, how)
		return
	}
	members := map[*simMinion][]runKey{}
	n := 0
	for _, o := range w.minions {
		for r := range o.runs {
			if r.attempt == k.attempt && r.task.StepID() == k.task.StepID() {
				members[o] = append(members[o], r)
				n++
			}
		}
	}
	if how == work.Done && n < step.Tasks {
		return // a gang works only when it is complete
	}
	for o, rs := range members {
		for _, r := range rs {
			switch {
			case how == work.Done || r == k:
				o.end(r, how)
			default:
				o.end(r, work.GangBroken)
			}
		}
	}
}

func (w *simCluster) stepOf(t work.TaskID) *work.Step {
	for _, j := range w.jobs {
		if j.ID == t.Job {
			return &j.Steps[t.Step]
		}
	}
	return nil
}

func (b *simMinion) used() work.Size {
	var s work.Size
	for _, x := range b.runs {
		s = s.Plus(x)
	}
	return s
}

// start executes a start order.
func (b *simMinion) start(incarnation work.Incarnation, s work.Start, size work.Size, sent time.Time) (work.Refusal, bool) {
	if !b.up || incarnation.ID != b.ID {
		return work.Other, false
	}
	b.tick()
	if b.refusals > 0 {
		b.refusals--
		return work.Unhealthy, true
	}
	if s.Token < b.token {
		return work.Fenced, true
	}
	b.token = s.Token
	k := runKey{s.Task, s.Attempt}
	if _, ok := b.runs[k]; ok {
		return work.Accepted, true
	}
	for o := range b.closedRuns {
		if o.task == s.Task && o.attempt >= s.Attempt {
			return work.StaleAttempt, true
		}
	}
	if b.clock() >= s.Until {
		return work.DeadlinePassed, true
	}
	b.cluster.record("%s attempt %d starts on %s, token %d", k.task, k.attempt, b.ID, s.Token/tokensPerTerm)
	b.cluster.checkStart(b, k, size, sent)
	b.runs[k] = size
	delete(b.speeds, k)
	b.leaseUntil = max(b.leaseUntil, min(s.Until, b.clock()+10_000))
	b.cluster.begunAt[k] = b.cluster.now
	if b.cluster.deadly[k.task] {
		b.cluster.countDeadlyStart(k.task)
		b.crash()
	}
	return work.Accepted, true
}

// countDeadlyStart checks the limit on the starts of a deadly task.
func (w *simCluster) countDeadlyStart(t work.TaskID) {
	if w.crashes[t] < crashesBeforeLimit {
		return
	}
	w.lateStarts[t]++
	if w.lateStarts[t] > maxLateStarts {
		w.fail("%s starts again after %d crashes", t, w.crashes[t])
	}
}

// crash ends the minion's process without a report.
func (b *simMinion) crash() {
	b.cluster.record("%s crashes", b.ID)
	b.countCrash()
	b.runs = map[runKey]work.Size{}
	b.up, b.crashedAt = false, b.cluster.now
}

// countCrash counts the crash once for each task with runs there.
func (b *simMinion) countCrash() {
	tasks := map[work.TaskID]bool{}
	for k := range b.runs {
		tasks[k.task] = true
	}
	for t := range tasks {
		b.cluster.crashes[t]++
	}
}

// replace lets a new minion take the address of a crashed one.
func (w *simCluster) replace(b *simMinion) {
	b.replaced, b.crashedAt = true, time.Time{}
	n := &simMinion{cluster: w, Minion: b.Minion, drift: b.drift, tail: b.tail, interference: b.interference}
	n.ID = fmt.Sprintf("m%d", len(w.minions))
	n.Draining = false
	n.restart()
	w.minions = append(w.minions, n)
	w.writeRow(n)
	w.owners[len(w.owners)-1].st.UnlistMinion(w.now, b.ID)
}

// percent changes over time unless the minion is stuck.
func (b *simMinion) percent() int {
	if b.stuck {
		return 0
	}
	return int((b.clock()-b.clockStart)/100) % 100
}

func (b *simMinion) stop(token int64, k runKey) {
	if !b.up || token < b.token {
		return
	}
	b.token = token
	if _, ok := b.runs[k]; ok {
		b.end(k, work.Stopped)
		return
	}
	b.closedRuns[k] = true
}

// throttle executes an order about the speed of a run, and reports whether it did.
func (b *simMinion) throttle(o ThrottleOrder) bool {
	if !b.up || o.Token < b.token || o.Minion.ID != b.ID {
		return false
	}
	b.token = o.Token
	k := runKey{o.Task, o.Attempt}
	if _, ok := b.runs[k]; !ok {
		return false
	}
	b.speeds[k] = o.Speed
	return true
}

// responseTime is that of the tasks with a target.
func (b *simMinion) responseTime() time.Duration {
	sum := 0
	for k := range b.runs {
		if b.cluster.stepOf(k.task).Fill {
			sum += b.speedOf(k)
		}
	}
	return b.tail + b.interference*time.Duration(sum)/fullSpeed
}

// speedOf is the speed of a run, in percent.
func (b *simMinion) speedOf(k runKey) int {
	if n, ok := b.speeds[k]; ok {
		return n
	}
	return fullSpeed
}

func (b *simMinion) handleRenewal(by string, n Renewal, seen int64) (work.Report, bool) {
	if !b.up {
		return work.Report{}, false
	}
	b.tick()
	if n.Token < b.token {
		return work.Report{}, false
	}
	b.token = n.Token
	if n.Until > 0 {
		b.leaseUntil = max(b.leaseUntil, min(n.Until, b.clock()+10_000))
	}
	kept := b.ends[:0:0]
	for _, e := range b.ends {
		if e.N > seen {
			kept = append(kept, e)
		} else if e.How == work.Done && e.N > b.voidedEnds {
			b.cluster.record("%s lets %s discard end %d of %s", by, b.ID, e.N, e.Task)
			b.cluster.done[e.Task] = true
		}
	}
	b.ends = kept
	page := kept[:min(len(kept), b.cluster.limits.MaxEnds)]
	r := work.Report{Born: b.Born, Clock: b.clock(), Ended: append([]work.End(nil), page...)}
	for k := range b.runs {
		r.Running = append(r.Running, work.Run{Task: k.task, Attempt: k.attempt, Percent: b.percent(), Figure: b.responseTime().Milliseconds()})
	}
	sort.Slice(r.Running, func(x, y int) bool { return r.Running[x].Task.String() < r.Running[y].Task.String() })
	return r, true
}

// restart ends this incarnation and begins another under the same ID.
func (b *simMinion) restart() {
	b.countCrash()
	b.crashedAt = time.Time{}
	b.runs, b.ends, b.closedRuns = map[runKey]work.Size{}, nil, map[runKey]bool{}
	b.speeds = map[runKey]int{}
	b.token, b.leaseUntil, b.lastEnd, b.voidedEnds = 0, 0, 0, 0
	b.startedAt = b.cluster.now
	b.lives++
	b.clockStart = firstClock(b.ID, b.lives)
	b.cluster.record("%s restarts, its clock shows %d", b.ID, b.clockStart)
	b.Born = b.cluster.now.UnixMilli()
	b.up = true
}

// checkStart checks the invariants that a start may violate.
func (w *simCluster) checkStart(b *simMinion, k runKey, size work.Size, sent time.Time) {
	step := w.stepOf(k.task)
	for _, o := range w.minions {
		o.tick()
		if step.Speculative {
			continue
		}
		for r := range o.runs {
			if r.task == k.task {
				w.fail("%s runs on %s and starts on %s", k.task, o.ID, b.ID)
			}
		}
	}
	if n := step.PerMinion; n > 0 {
		for r := range b.runs {
			if r.task.StepID() == k.task.StepID() {
				n--
			}
		}
		if n <= 0 {
			w.fail("%s exceeds the limit of its step on %s", k.task, b.ID)
		}
	}
	if !b.limit(sent).CanFit(b.used().Plus(size)) {
		w.fail("%s exceeds the room of %s", k.task, b.ID)
	}
	if w.done[k.task] && !step.Speculative {
		w.fail("%s starts although it is done", k.task)
	}
	for _, j := range w.jobs {
		if j.ID != k.task.Job {
			continue
		}
		for _, a := range j.Steps[k.task.Step].After {
			for i := range j.Steps[a].Tasks {
				if !w.everDone[work.TaskID{Job: j.ID, Step: a, Index: i}] {
					w.fail("%s starts before step %d has succeeded", k.task, a)
				}
			}
		}
	}
}

func (w *simCluster) fail(format string, args ...any) {
	w.t.Fatalf("at %v: %s; history:\n%s", w.now.Sub(epoch), fmt.Sprintf(format, args...), strings.Join(w.history[max(0, len(w.history)-historyShown):], "\n"))
}

// historyShown is the number of events that a failure message shows.
const historyShown = 40

func (w *simCluster) record(format string, args ...any) {
	w.history = append(w.history, fmt.Sprintf("%v ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

// endsListed is how many ends a minion lists at a time, the oldest first.
const endsListed = 3

var epoch = time.Unix(1_700_000_000, 0)

func newSimCluster(t fataler, n int) *simCluster {
	w := &simCluster{
		t: t, now: epoch, limits: DefaultLimits, rows: map[string]table.Row{}, cancelled: map[string]bool{}, archived: map[string]bool{},
		done: map[work.TaskID]bool{}, everDone: map[work.TaskID]bool{}, failed: map[work.TaskID]int{},
		called: map[string]table.Row{}, deadly: map[work.TaskID]bool{}, crashes: map[work.TaskID]int{}, lateStarts: map[work.TaskID]int{}, begunAt: map[runKey]time.Time{}, minionRows: map[string]minionRow{},
	}
	w.limits.MaxEnds = endsListed
	for i := range n {
		b := &simMinion{cluster: w, Minion: work.Minion{
			Incarnation: work.Incarnation{ID: fmt.Sprintf("m%d", i)}, Service: "s", Address: "a", Capacity: work.Size{CPU: 4000, Mem: 4000}, Labels: []string{"r0"},
		}, drift: 0.02 * float64(i%2), tail: 10 * time.Millisecond}
		b.restart()
		w.minions = append(w.minions, b)
		w.writeRow(b)
	}
	return w
}

var _ fataler = (*testing.T)(nil)
