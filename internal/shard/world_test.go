package shard

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// world is the simple truth that owners are checked against: minions that run
// what they are told, a store that keeps rows, and messages under way.
type world struct {
	t       failer
	now     time.Time
	limits  Limits
	minions []*box
	rows    map[string]table.Row // progress rows, by name
	version int64
	jobs    []*work.Job
	gone    map[string]bool // cancelled jobs
	term    int64
	owners  []*boss // the last one has the shard; the others do not know yet
	flying  []flight
	done    map[work.TaskID]bool // ended done, and taken note of
	ever    map[work.TaskID]bool // ended done, or a member of a gang that did
	failed  map[work.TaskID]int  // runs that ended failed
	story   []string             // what happened, for a failure's message
}

type failer interface {
	Fatalf(format string, args ...any)
}

// flight is an order under way.
type flight struct {
	to    *box
	token int64
	f     func()
}

// box is a minion as it really is.
type box struct {
	w *world
	work.Minion
	began  time.Time
	token  int64
	until  int64 // lease, on its clock
	n      int64
	void   int64 // the lease ended between these ends and their being taken note of
	runs   map[runKey]work.Size
	ends   []work.End
	barred map[runKey]bool // stopped or ended here
	up     bool
	stuck  bool    // its runs make no progress
	sheds  int     // starts that it refuses from now on
	slow   float64 // of its clock
}

func (b *box) clock() int64 {
	return int64(float64(b.w.now.Sub(b.began).Milliseconds()) * (1 - b.slow))
}

// tick ends what has lapsed.
func (b *box) tick() {
	if b.clock() < b.until {
		return
	}
	for k := range b.runs {
		b.end(k, work.LeaseExpired)
	}
	b.void = b.n
}

func (b *box) end(k runKey, how work.Outcome) {
	b.w.tell("%s ends %s on %s as end %d", k.task, how, b.ID, b.n+1)
	switch how {
	case work.Done:
		b.w.ever[k.task] = true
	case work.Failed:
		b.w.failed[k.task]++
	}
	delete(b.runs, k)
	b.barred[k] = true
	b.n++
	b.ends = append(b.ends, work.End{N: b.n, Task: k.task, Attempt: k.attempt, How: how})
}

// finish ends a run, and with it the others of its gang.
func (w *world) finish(b *box, k runKey, how work.Outcome) {
	step := w.stepOf(k.task)
	if step.Lasting {
		how = work.Failed // such tasks never are done
	}
	if !step.Gang {
		b.end(k, how)
		return
	}
	members := map[*box][]runKey{}
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
		return // a gang works only when all of it is there
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

func (w *world) stepOf(t work.TaskID) *work.Step {
	for _, j := range w.jobs {
		if j.ID == t.Job {
			return &j.Steps[t.Step]
		}
	}
	return nil
}

func (b *box) used() work.Size {
	var s work.Size
	for _, x := range b.runs {
		s = s.Plus(x)
	}
	return s
}

// start carries out a start order.
func (b *box) start(life work.Incarnation, s work.Start, size work.Size) (work.Refusal, bool) {
	if !b.up || life.ID != b.ID {
		return work.Other, false
	}
	b.tick()
	if b.sheds > 0 {
		b.sheds--
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
	for o := range b.barred {
		if o.task == s.Task && o.attempt >= s.Attempt {
			return work.StaleAttempt, true
		}
	}
	if b.clock() >= s.Until {
		return work.DeadlinePassed, true
	}
	b.w.tell("%s attempt %d starts on %s, token %d", k.task, k.attempt, b.ID, s.Token/tokensPerTerm)
	b.w.began(b, k, size)
	b.runs[k] = size
	b.until = max(b.until, min(s.Until, b.clock()+10_000))
	return work.Accepted, true
}

// percent moves while runs do.
func (b *box) percent() int {
	if b.stuck {
		return 0
	}
	return int(b.clock()/100) % 100
}

func (b *box) stop(token int64, k runKey) {
	if !b.up || token < b.token {
		return
	}
	b.token = token
	if _, ok := b.runs[k]; ok {
		b.end(k, work.Stopped)
		return
	}
	b.barred[k] = true
}

func (b *box) hold(by string, n Renewal, seen int64) (work.Report, bool) {
	if !b.up {
		return work.Report{}, false
	}
	b.tick()
	if n.Token < b.token {
		return work.Report{}, false
	}
	b.token = n.Token
	if n.Until > 0 {
		b.until = max(b.until, min(n.Until, b.clock()+10_000))
	}
	kept := b.ends[:0:0]
	for _, e := range b.ends {
		if e.N > seen {
			kept = append(kept, e)
		} else if e.How == work.Done && e.N > b.void {
			b.w.tell("%s lets %s forget end %d of %s", by, b.ID, e.N, e.Task)
			b.w.done[e.Task] = true
		}
	}
	b.ends = kept
	r := work.Report{Born: b.Born, Clock: b.clock(), Ended: append([]work.End(nil), kept...)}
	for k := range b.runs {
		r.Running = append(r.Running, work.Run{Task: k.task, Attempt: k.attempt, Percent: b.percent()})
	}
	sort.Slice(r.Running, func(x, y int) bool { return r.Running[x].Task.String() < r.Running[y].Task.String() })
	return r, true
}

// reborn ends this life and begins another under the same id.
func (b *box) reborn() {
	b.runs, b.ends, b.barred = map[runKey]work.Size{}, nil, map[runKey]bool{}
	b.token, b.until, b.n, b.void = 0, 0, 0, 0
	b.began = b.w.now
	b.w.tell("%s starts anew", b.ID)
	b.Born = b.w.now.UnixMilli()
	b.up = true
}

// began checks the promises that a start may break.
func (w *world) began(b *box, k runKey, size work.Size) {
	step := w.stepOf(k.task)
	for _, o := range w.minions {
		o.tick()
		if !o.up || step.Speculative {
			continue
		}
		for r := range o.runs {
			if r.task == k.task {
				w.bad("%s runs on %s and starts on %s", k.task, o.ID, b.ID)
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
			w.bad("%s goes over the limit of its step on %s", k.task, b.ID)
		}
	}
	if !b.Capacity.CanFit(b.used().Plus(size)) {
		w.bad("%s goes over the room of %s", k.task, b.ID)
	}
	if w.done[k.task] && !step.Speculative {
		w.bad("%s starts though it is done", k.task)
	}
	for _, j := range w.jobs {
		if j.ID != k.task.Job {
			continue
		}
		for _, a := range j.Steps[k.task.Step].After {
			for i := range j.Steps[a].Tasks {
				if !w.ever[work.TaskID{Job: j.ID, Step: a, Index: i}] {
					w.bad("%s starts before step %d is done", k.task, a)
				}
			}
		}
	}
}

func (w *world) bad(format string, args ...any) {
	w.t.Fatalf("at %v: %s; before it:\n%s", w.now.Sub(epoch), fmt.Sprintf(format, args...), strings.Join(w.story[max(0, len(w.story)-told):], "\n"))
}

// told is how much of the story a failure shows.
const told = 40

func (w *world) tell(format string, args ...any) {
	w.story = append(w.story, fmt.Sprintf("%v ", w.now.Sub(epoch))+fmt.Sprintf(format, args...))
}

var epoch = time.Unix(1_700_000_000, 0)

func newWorld(t failer, n int) *world {
	w := &world{
		t: t, now: epoch, limits: Defaults, rows: map[string]table.Row{}, gone: map[string]bool{},
		done: map[work.TaskID]bool{}, ever: map[work.TaskID]bool{}, failed: map[work.TaskID]int{},
	}
	for i := range n {
		b := &box{w: w, Minion: work.Minion{
			Incarnation: work.Incarnation{ID: fmt.Sprintf("m%d", i)}, Service: "s", Address: "a", Capacity: work.Size{CPU: 4000, Mem: 4000}, Labels: []string{"r0"},
		}, slow: 0.02 * float64(i%2)}
		b.reborn()
		w.minions = append(w.minions, b)
	}
	return w
}

// pass lets time go by; owners that are at work renew and step meanwhile.
func (w *world) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(50 * time.Millisecond)
		for _, b := range w.minions {
			b.tick()
		}
	}
}

// turn lets the newest owner do everything that it can, once.
func (w *world) turn() {
	o := w.owners[len(w.owners)-1]
	for range 3 {
		for _, b := range w.minions {
			o.renew(b)
		}
		o.step()
		o.commit(true)
		w.deliver(len(w.flying))
	}
}

func (w *world) deliver(n int) {
	for range n {
		f := w.flying[0]
		w.flying = w.flying[1:]
		f.f()
	}
}

func newJob(id string, steps ...work.Step) *work.Job {
	return &work.Job{ID: id, Queue: "q", Service: "s", Steps: steps, Attempts: 3, Slack: 2, Target: time.Second}
}

func tasks(n int, cpu int64) work.Step {
	return work.Step{Tasks: n, Size: work.Size{CPU: cpu, Mem: 100}, Estimate: time.Second}
}

func (w *world) submit(js ...*work.Job) {
	for _, j := range js {
		w.jobs = append(w.jobs, j)
		w.owners[len(w.owners)-1].st.Submit(w.now, j)
	}
}

// finishAll ends every run everywhere as done.
func (w *world) finishAll() {
	for _, b := range w.minions {
		for k := range b.runs {
			b.end(k, work.Done)
		}
	}
}

func (w *world) state(id string) JobState { return w.owners[len(w.owners)-1].st.jobs[id].state }

var _ failer = (*testing.T)(nil)
