package control

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminestep/internal/book"
	"jasminestep/internal/fixed"
	"jasminestep/internal/platform"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

func TestMain(m *testing.M) { fixed.Main(m, "150") }

// simulation is a simulated zone whose owners, workers and messages are stepped
// one at a time, in any order and with any delay. The journal is a list with
// a conditional append, and time is simulated. Invariants are checked on the
// tasks that the workers actually run.
type simulation struct {
	now       time.Time
	journal   [][]book.Event
	times     []time.Time // write times of the rows
	owners    []*simOwner
	workers   map[string]*simWorker
	messages  []simMessage
	submitted map[string]bool // ids of submitted jobs
	cancelled map[string]bool
	jobs      int
	fail      func(format string, args ...any)
}

type simOwner struct {
	c       *Controller
	lease   time.Time
	seq     int
	deposed bool
}

type simMessage struct {
	to   string
	do   func(w *simWorker)
	name string
}

// simWorker implements the worker side of the protocol of package worker.
type simWorker struct {
	id    string
	boot  int64
	gen   int64
	epoch int64
	size  operator.Size
	gone  bool
	leave bool
	tasks map[string]*simAttempt
}

type simAttempt struct {
	n     int
	state string
	lease time.Time
	stay  bool
	size  operator.Size
}

var timing = Timing{}.WithDefaults()

func newSimulation(fail func(string, ...any)) *simulation {
	w := &simulation{now: time.Unix(1_800_000_000, 0), workers: map[string]*simWorker{}, submitted: map[string]bool{}, cancelled: map[string]bool{}, fail: fail}
	for i := range 3 {
		id := fmt.Sprintf("w%d", i)
		w.workers[id] = &simWorker{id: id, boot: 1, gen: 1, size: operator.Size{CPU: 2000}, tasks: map[string]*simAttempt{}}
	}
	w.takeOver()
	return w
}

func (w *simulation) takeOver() {
	if n := len(w.times); n > 0 && w.now.Before(w.times[n-1].Add(timing.OwnerLease+timing.ClockSkew)) {
		return
	}
	state := &book.ZoneState{}
	for _, row := range w.journal {
		for i := range row {
			state.Apply(&row[i])
		}
	}
	_ = state.Rebuild()
	own := book.Event{At: w.now.UnixMilli(), Own: &book.OwnerChange{Entry: "e", Boot: int64(len(w.owners) + 1), Epoch: state.Epoch + 1}}
	state.Apply(&own)
	w.journal, w.times = append(w.journal, []book.Event{own}), append(w.times, w.now)
	c := New("z", "e", int64(len(w.owners)+1), timing, state, w.now)
	c.Handle(ConfigChanged{Cell: operator.Cell{Members: []operator.Member{{Name: "m"}}}}, w.now)
	o := &simOwner{c: c, lease: w.now.Add(timing.OwnerLease), seq: len(w.journal)}
	w.owners = append(w.owners, o)
	w.listWorkers(o)
}

func (w *simulation) listWorkers(o *simOwner) {
	var r VMList
	for id, x := range w.workers {
		if !x.gone {
			r.VMs = append(r.VMs, platform.VM{ID: id, Zone: "z", Role: "worker", Addr: id, CPU: x.size.CPU, Leaving: x.leave})
		}
	}
	sort.Slice(r.VMs, func(i, j int) bool { return r.VMs[i].ID < r.VMs[j].ID })
	o.c.Handle(r, w.now)
}

// step runs one Step of an owner and tries to append its batch; delay is the
// duration of the write.
func (w *simulation) step(o *simOwner, delay time.Duration) {
	if o.deposed {
		return
	}
	began := w.now
	batch := o.c.Step(w.now)
	w.advance(delay)
	if o.seq != len(w.journal) {
		o.deposed = true
		return
	}
	if len(batch) > 0 || began.Sub(w.times[len(w.times)-1]) > timing.MaxWriteInterval {
		w.journal, w.times = append(w.journal, batch), append(w.times, began)
		o.seq++
		o.lease = began.Add(timing.OwnerLease)
	}
	for _, e := range o.c.Committed(int64(o.seq)) {
		w.effect(o, e)
	}
}

// effect mirrors Owner.applyEffects.
func (w *simulation) effect(o *simOwner, e Effect) {
	valid := w.now.Before(o.lease)
	switch {
	case e.Starts != nil && !valid:
		for _, m := range startResults(e.Starts, &worker.StartResponse{}, "lapsed") {
			o.c.Handle(m, w.now)
		}
	case e.Starts != nil:
		for i := range e.Starts.Tasks {
			w.send(e.Worker, "start", func(x *simWorker) { w.start(o, x, e.Starts, &e.Starts.Tasks[i]) })
		}
	case e.Stop != nil && valid:
		w.send(e.Worker, "stop "+e.Stop.Task, func(x *simWorker) { x.stop(e.Stop) })
	}
}

func (w *simulation) send(to, name string, do func(*simWorker)) {
	w.messages = append(w.messages, simMessage{to, do, name})
}

func (w *simulation) start(o *simOwner, x *simWorker, m *worker.StartRequest, t *worker.TaskStart) {
	old := x.tasks[t.Task]
	refused := ""
	switch {
	case x.gone:
		return
	case old != nil && old.n == t.Attempt && old.state == "running":
	case old != nil && old.n >= t.Attempt:
		refused = "over"
	case m.Boot != x.boot:
		refused = "boot"
	case m.Epoch < x.epoch:
		refused = "epoch"
	case !w.now.Before(time.UnixMilli(m.Until)):
		refused = "late"
	default:
		x.epoch = m.Epoch
		x.gen++
		x.tasks[t.Task] = &simAttempt{t.Attempt, "running", time.UnixMilli(m.Until), t.Stay, t.Size}
	}
	o.c.Handle(StartResult{Task: t.Task, Attempt: t.Attempt, Refused: refused != "", Why: refused}, w.now)
}

func (x *simWorker) stop(m *worker.StopRequest) {
	a := x.tasks[m.Task]
	x.gen++
	if a == nil || a.n < m.Attempt {
		x.tasks[m.Task] = &simAttempt{n: m.Attempt, state: "stopped"}
		return
	}
	if a.n == m.Attempt && a.state == "running" {
		a.state = "stopped"
	}
}

// sync performs one sync between an owner and a worker; reply tells whether the
// worker's answer arrives.
func (w *simulation) sync(o *simOwner, x *simWorker, reply bool) {
	if o.deposed && !reply {
		return
	}
	ch := make(chan worker.SyncRequest, 1)
	until := w.now.Add(timing.TaskLease)
	o.c.Handle(LeaseRenewal{Worker: x.id, Until: until, Reply: ch}, w.now)
	s := <-ch
	s.StayOnly = s.StayOnly || !w.now.Before(o.lease)
	if x.gone {
		o.c.Handle(WorkerUnreachable{Worker: x.id}, w.now)
		return
	}
	x.epoch = max(x.epoch, s.Epoch)
	for _, a := range x.tasks {
		if a.state == "running" && w.now.Before(a.lease) && (a.stay || !s.StayOnly) && s.Epoch >= x.epoch && until.After(a.lease) {
			a.lease = until
		}
	}
	for _, k := range s.Acks {
		if a := x.tasks[k.Task]; a != nil && a.n == k.Attempt && a.state != "running" {
			delete(x.tasks, k.Task)
		}
	}
	if !reply {
		o.c.Handle(WorkerUnreachable{Worker: x.id}, w.now)
		return
	}
	r := &worker.Report{Boot: x.boot, Gen: x.gen, Full: true}
	for id, a := range x.tasks {
		r.Tasks = append(r.Tasks, worker.AttemptStatus{Task: id, Attempt: a.n, State: a.state})
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].Task < r.Tasks[j].Task })
	o.c.Handle(WorkerReported{Worker: x.id, Report: r}, w.now)
}

// advance moves the time forward and expires leases on the workers.
func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, x := range w.workers {
		for _, a := range x.tasks {
			if a.state == "running" && !w.now.Before(a.lease) {
				a.state = "lapsed"
				x.gen++
			}
		}
	}
}

// checkInvariants checks that no task runs twice and that no worker is
// overcommitted.
func (w *simulation) checkInvariants() {
	at := map[string]string{}
	for id, x := range w.workers {
		var used operator.Size
		for task, a := range x.tasks {
			if a.state != "running" || x.gone {
				continue
			}
			if other, ok := at[task]; ok {
				w.fail("task %s runs on %s and on %s", task, other, id)
			}
			at[task] = id
			used = used.Add(a.size)
		}
		if !used.Fits(x.size) {
			w.fail("worker %s runs tasks of total size %+v on capacity %+v", id, used, x.size)
		}
	}
}

func (w *simulation) lastOwner() *simOwner { return w.owners[len(w.owners)-1] }

func (w *simulation) submit(kind operator.Kind, tasks int, cut operator.Cut, cpu int64) {
	w.jobs++
	id := fmt.Sprintf("z.m.j%d", w.jobs)
	w.submitted[id] = true
	w.lastOwner().c.Handle(Submit{ID: id, Reply: make(chan Answer, 1), Deadline: w.now.Add(time.Hour), Spec: operator.Job{
		Name: fmt.Sprintf("j%d", w.jobs), Member: "m", Kind: kind, Tasks: tasks, Cut: cut, Command: []string{"run"},
		Size: operator.Size{CPU: cpu}, Runtime: 1000,
	}}, w.now)
}

// calm lets a second pass in which nothing is late or lost.
func (w *simulation) calm() {
	for _, m := range w.messages {
		m.do(w.workers[m.to])
	}
	w.messages = nil
	for _, id := range sortedKeys(w.workers) {
		w.sync(w.lastOwner(), w.workers[id], true)
	}
	w.advance(time.Second)
	w.step(w.lastOwner(), 0)
}

// TestRunOnce steps owners, workers and messages in any order: late, lost and
// repeated messages, deposed owners that continue, worker restarts, expired
// leases and workers that disappear.
func TestRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t.Fatalf)
		pickWorker := func(t *rapid.T) *simWorker {
			return w.workers[fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(t, "worker"))]
		}
		pickOwner := func(t *rapid.T) *simOwner {
			return w.owners[len(w.owners)-1-rapid.IntRange(0, min(2, len(w.owners)-1)).Draw(t, "owner")]
		}
		delay := rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, 300 * time.Millisecond, 4 * time.Second})
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				kind := rapid.SampledFrom([]operator.Kind{operator.Batch, operator.Gang, operator.Service}).Draw(t, "kind")
				cut := rapid.SampledFrom([]operator.Cut{operator.Stay, operator.Move}).Draw(t, "cut")
				w.submit(kind, rapid.IntRange(1, 3).Draw(t, "tasks"), cut, 700)
			},
			"cancel": func(t *rapid.T) {
				id := fmt.Sprintf("z.m.j%d", rapid.IntRange(1, w.jobs+1).Draw(t, "job"))
				w.cancelled[id] = true
				w.lastOwner().c.Handle(Cancel{ID: id, Member: "m", Reply: make(chan Answer, 1), Deadline: w.now.Add(time.Hour)}, w.now)
			},
			"step":  func(t *rapid.T) { w.step(w.lastOwner(), delay.Draw(t, "delay")) },
			"stale": func(t *rapid.T) { w.step(pickOwner(t), 0) },
			"sync":  func(t *rapid.T) { w.sync(pickOwner(t), pickWorker(t), rapid.IntRange(0, 3).Draw(t, "lost") > 0) },
			"deliver": func(t *rapid.T) {
				if len(w.messages) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
				m := w.messages[i]
				if rapid.IntRange(0, 3).Draw(t, "again") > 0 { // otherwise it stays and arrives again later
					w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
				}
				m.do(w.workers[m.to])
			},
			"drop": func(*rapid.T) {
				if len(w.messages) > 0 {
					w.messages = w.messages[1:]
				}
			},
			"unknown": func(*rapid.T) {
				starts := w.lastOwner().c.pendingStarts
				for _, task := range sortedKeys(starts) {
					w.lastOwner().c.Handle(StartResult{Task: task, Attempt: starts[task], Unknown: true}, w.now)
					return
				}
			},
			"finish": func(t *rapid.T) {
				x := pickWorker(t)
				for _, id := range sortedKeys(x.tasks) {
					if a := x.tasks[id]; a.state == "running" {
						a.state = rapid.SampledFrom([]string{"done", "failed"}).Draw(t, "state")
						x.gen++
						return
					}
				}
			},
			"restart": func(t *rapid.T) {
				x := pickWorker(t)
				x.boot++
				x.gen, x.epoch, x.tasks = 1, 0, map[string]*simAttempt{}
			},
			"vanish": func(t *rapid.T) {
				x := pickWorker(t)
				x.gone = !x.gone
				if !x.gone {
					x.boot++
					x.gen, x.epoch, x.tasks = 1, 0, map[string]*simAttempt{}
				}
				w.listWorkers(w.lastOwner())
			},
			"leave": func(t *rapid.T) {
				x := pickWorker(t)
				x.leave = !x.leave
				w.listWorkers(w.lastOwner())
			},
			"calm":     func(*rapid.T) { w.calm() },
			"time":     func(t *rapid.T) { w.advance(delay.Draw(t, "time")) },
			"takeover": func(*rapid.T) { w.takeOver() },
			"":         func(*rapid.T) { w.checkInvariants() },
		})
		w.settle()
	})
}

// settle ends all faults, lets the zone run for long enough and requires that all
// accepted jobs end; services are cancelled for this.
func (w *simulation) settle() {
	w.messages = nil
	for _, x := range w.workers {
		x.leave = false
		if x.gone {
			x.gone, x.tasks = false, map[string]*simAttempt{}
			x.boot++
			x.epoch = 0
		}
	}
	w.advance(timing.OwnerLease + timing.ClockSkew + time.Second)
	w.takeOver()
	o := w.lastOwner()
	for id, j := range o.c.State.Jobs {
		if j.Spec.Kind == operator.Service { // they would occupy the workers forever
			o.c.Handle(Cancel{ID: id, Member: "m", Reply: make(chan Answer, 1), Deadline: w.now.Add(time.Hour)}, w.now)
		}
	}
	for i := 0; i < 3000 && w.unfinished(o) != ""; i++ {
		w.listWorkers(o)
		w.step(o, 5*time.Millisecond)
		for len(w.messages) > 0 {
			m := w.messages[0]
			w.messages = w.messages[1:]
			m.do(w.workers[m.to])
			w.checkInvariants()
		}
		for _, id := range []string{"w0", "w1", "w2"} {
			w.sync(o, w.workers[id], true)
			for _, a := range w.workers[id].tasks {
				if a.state == "running" && i%5 == 0 {
					a.state = "done"
				}
			}
		}
		w.advance(200 * time.Millisecond)
		w.checkInvariants()
	}
	if id := w.unfinished(o); id != "" {
		j := o.c.State.Jobs[id]
		w.fail("job %s did not end after all faults ended: first task %+v", id, *j.Tasks[0])
	}
}

func (w *simulation) unfinished(o *simOwner) string {
	for id, j := range o.c.State.Jobs {
		if j.Ended == 0 {
			return id
		}
	}
	return ""
}
