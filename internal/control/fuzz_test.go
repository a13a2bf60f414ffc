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

// world is a zone whose owners, workers and messages are stepped one by one, in
// any order and with any delay. The journal is a list with a conditional
// append, time is a number. It judges by what its workers really do.
type world struct {
	now      time.Time
	journal  [][]book.Event
	times    []time.Time // of the rows
	owners   []*ownerModel
	workers  map[string]*workerModel
	messages []message
	seen     map[string]bool // jobs submitted
	cancels  map[string]bool
	n        int
	fault    func(format string, args ...any)
}

type ownerModel struct {
	c       *Controller
	lease   time.Time
	seq     int
	deposed bool
}

type message struct {
	to   string
	do   func(w *workerModel)
	name string
}

// workerModel keeps the protocol of package worker.
type workerModel struct {
	id    string
	boot  int64
	gen   int64
	epoch int64
	size  operator.Size
	gone  bool
	tasks map[string]*attempt
}

type attempt struct {
	n     int
	state string
	lease time.Time
	stay  bool
	size  operator.Size
}

var limits = Timing{}.WithDefaults()

func newWorld(fault func(string, ...any)) *world {
	w := &world{now: time.Unix(1_800_000_000, 0), workers: map[string]*workerModel{}, seen: map[string]bool{}, cancels: map[string]bool{}, fault: fault}
	for i := range 3 {
		id := fmt.Sprintf("w%d", i)
		w.workers[id] = &workerModel{id: id, boot: 1, gen: 1, size: operator.Size{CPU: 2000}, tasks: map[string]*attempt{}}
	}
	w.takeOver()
	return w
}

func (w *world) takeOver() {
	if n := len(w.times); n > 0 && w.now.Before(w.times[n-1].Add(limits.OwnerLease+limits.ClockSkew)) {
		return
	}
	bk := &book.ZoneState{}
	for _, row := range w.journal {
		for i := range row {
			bk.Apply(&row[i])
		}
	}
	_ = bk.Rebuild()
	own := book.Event{At: w.now.UnixMilli(), Own: &book.OwnerChange{Entry: "e", Boot: int64(len(w.owners) + 1), Epoch: bk.Epoch + 1}}
	bk.Apply(&own)
	w.journal, w.times = append(w.journal, []book.Event{own}), append(w.times, w.now)
	c := New("z", "e", int64(len(w.owners)+1), limits, bk, w.now)
	c.Handle(ConfigChanged{Cell: operator.Cell{Members: []operator.Member{{Name: "m"}}}}, w.now)
	o := &ownerModel{c: c, lease: w.now.Add(limits.OwnerLease), seq: len(w.journal)}
	w.owners = append(w.owners, o)
	w.list(o)
}

func (w *world) list(o *ownerModel) {
	var r VMList
	for id, x := range w.workers {
		if !x.gone {
			r.VMs = append(r.VMs, platform.VM{ID: id, Zone: "z", Role: "worker", Addr: id, CPU: x.size.CPU})
		}
	}
	sort.Slice(r.VMs, func(i, j int) bool { return r.VMs[i].ID < r.VMs[j].ID })
	o.c.Handle(r, w.now)
}

// step has an owner decide and try to append; delay is how long the write takes.
func (w *world) step(o *ownerModel, delay time.Duration) {
	if o.deposed {
		return
	}
	began := w.now
	batch := o.c.Step(w.now)
	w.pass(delay)
	if o.seq != len(w.journal) {
		o.deposed = true
		return
	}
	if len(batch) > 0 || began.Sub(w.times[len(w.times)-1]) > limits.MaxWriteInterval {
		w.journal, w.times = append(w.journal, batch), append(w.times, began)
		o.seq++
		o.lease = began.Add(limits.OwnerLease)
	}
	for _, e := range o.c.Committed(int64(o.seq)) {
		w.effect(o, e)
	}
}

// effect does what Owner.release does.
func (w *world) effect(o *ownerModel, e Effect) {
	valid := w.now.Before(o.lease)
	switch {
	case e.Starts != nil && !valid:
		for _, m := range outcomes(e.Starts, &worker.StartResponse{}, "lapsed") {
			o.c.Handle(m, w.now)
		}
	case e.Starts != nil:
		for i := range e.Starts.Tasks {
			w.send(e.Worker, "start", func(x *workerModel) { w.start(o, x, e.Starts, &e.Starts.Tasks[i]) })
		}
	case e.Stop != nil && valid:
		w.send(e.Worker, "stop "+e.Stop.Task, func(x *workerModel) { x.stop(e.Stop) })
	}
}

func (w *world) send(to, name string, do func(*workerModel)) {
	w.messages = append(w.messages, message{to, do, name})
}

func (w *world) start(o *ownerModel, x *workerModel, m *worker.StartRequest, t *worker.TaskStart) {
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
		x.tasks[t.Task] = &attempt{t.Attempt, "running", time.UnixMilli(m.Until), t.Stay, t.Size}
	}
	o.c.Handle(Started{Task: t.Task, Attempt: t.Attempt, Refused: refused != "", Why: refused}, w.now)
}

func (x *workerModel) stop(m *worker.StopRequest) {
	a := x.tasks[m.Task]
	x.gen++
	if a == nil || a.n < m.Attempt {
		x.tasks[m.Task] = &attempt{n: m.Attempt, state: "stopped"}
		return
	}
	if a.n == m.Attempt && a.state == "running" {
		a.state = "stopped"
	}
}

// sync is one exchange between an owner and a worker; reply says whether the
// answer arrives.
func (w *world) sync(o *ownerModel, x *workerModel, reply bool) {
	if o.deposed && !reply {
		return
	}
	ch := make(chan worker.SyncRequest, 1)
	until := w.now.Add(limits.TaskLease)
	o.c.Handle(Sending{Worker: x.id, Until: until, Reply: ch}, w.now)
	s := <-ch
	s.StayOnly = !w.now.Before(o.lease)
	if x.gone {
		o.c.Handle(Unreachable{Worker: x.id}, w.now)
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
		o.c.Handle(Unreachable{Worker: x.id}, w.now)
		return
	}
	r := &worker.Report{Boot: x.boot, Gen: x.gen, Full: true}
	for id, a := range x.tasks {
		r.Tasks = append(r.Tasks, worker.AttemptStatus{Task: id, Attempt: a.n, State: a.state})
	}
	sort.Slice(r.Tasks, func(i, j int) bool { return r.Tasks[i].Task < r.Tasks[j].Task })
	o.c.Handle(Reported{Worker: x.id, Report: r}, w.now)
}

// pass lets time go by; leases lapse on the workers.
func (w *world) pass(d time.Duration) {
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

// judge looks at what the workers really run.
func (w *world) judge() {
	at := map[string]string{}
	for id, x := range w.workers {
		var used operator.Size
		for task, a := range x.tasks {
			if a.state != "running" || x.gone {
				continue
			}
			if other, ok := at[task]; ok {
				w.fault("task %s runs on %s and on %s", task, other, id)
			}
			at[task] = id
			used = used.Add(a.size)
		}
		if !used.Fits(x.size) {
			w.fault("worker %s holds %+v of %+v", id, used, x.size)
		}
	}
}

func (w *world) last() *ownerModel { return w.owners[len(w.owners)-1] }

func (w *world) submit(kind operator.Kind, tasks int, cut operator.Cut, cpu int64) {
	w.n++
	id := fmt.Sprintf("z.m.j%d", w.n)
	w.seen[id] = true
	w.last().c.Handle(Submit{ID: id, Reply: make(chan Answer, 1), Deadline: w.now.Add(time.Hour), Spec: operator.Job{
		Name: fmt.Sprintf("j%d", w.n), Member: "m", Kind: kind, Tasks: tasks, Cut: cut, Command: []string{"run"},
		Size: operator.Size{CPU: cpu}, Runtime: 1000,
	}}, w.now)
}

// TestRunOnce steps owners, workers and messages in any order: late and lost
// messages, deposed owners that go on, restarts, lapses, workers that vanish.
func TestRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t.Fatalf)
		pickW := func(t *rapid.T) *workerModel {
			return w.workers[fmt.Sprintf("w%d", rapid.IntRange(0, 2).Draw(t, "worker"))]
		}
		pickO := func(t *rapid.T) *ownerModel {
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
				id := fmt.Sprintf("z.m.j%d", rapid.IntRange(1, w.n+1).Draw(t, "job"))
				w.cancels[id] = true
				w.last().c.Handle(Cancel{ID: id, Member: "m", Reply: make(chan Answer, 1), Deadline: w.now.Add(time.Hour)}, w.now)
			},
			"step":  func(t *rapid.T) { w.step(w.last(), delay.Draw(t, "delay")) },
			"stale": func(t *rapid.T) { w.step(pickO(t), 0) },
			"sync":  func(t *rapid.T) { w.sync(pickO(t), pickW(t), rapid.IntRange(0, 3).Draw(t, "lost") > 0) },
			"deliver": func(t *rapid.T) {
				if len(w.messages) == 0 {
					return
				}
				i := rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
				m := w.messages[i]
				if rapid.IntRange(0, 3).Draw(t, "again") > 0 { // otherwise it arrives once more later
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
				starts := w.last().c.starts
				for _, task := range sortedKeys(starts) {
					w.last().c.Handle(Started{Task: task, Attempt: starts[task], Unknown: true}, w.now)
					return
				}
			},
			"finish": func(t *rapid.T) {
				x := pickW(t)
				for _, id := range sortedKeys(x.tasks) {
					if a := x.tasks[id]; a.state == "running" {
						a.state = rapid.SampledFrom([]string{"done", "failed"}).Draw(t, "state")
						x.gen++
						return
					}
				}
			},
			"restart": func(t *rapid.T) {
				x := pickW(t)
				x.boot++
				x.gen, x.epoch, x.tasks = 1, 0, map[string]*attempt{}
			},
			"vanish": func(t *rapid.T) {
				x := pickW(t)
				x.gone = !x.gone
				if !x.gone {
					x.boot++
					x.gen, x.epoch, x.tasks = 1, 0, map[string]*attempt{}
				}
				w.list(w.last())
			},
			"time":     func(t *rapid.T) { w.pass(delay.Draw(t, "time")) },
			"takeover": func(*rapid.T) { w.takeOver() },
			"":         func(*rapid.T) { w.judge() },
		})
		w.settle()
	})
}

// settle lets everything work again, for long enough, and demands that all
// accepted batch work has ended.
func (w *world) settle() {
	w.messages = nil
	for _, x := range w.workers {
		if x.gone {
			x.gone, x.tasks = false, map[string]*attempt{}
			x.boot++
			x.epoch = 0
		}
	}
	w.pass(limits.OwnerLease + limits.ClockSkew + time.Second)
	w.takeOver()
	o := w.last()
	for id, j := range o.c.State.Jobs {
		if j.Spec.Kind == operator.Service { // they would keep the workers for ever
			o.c.Handle(Cancel{ID: id, Member: "m", Reply: make(chan Answer, 1), Deadline: w.now.Add(time.Hour)}, w.now)
		}
	}
	for i := 0; i < 3000 && w.unfinished(o) != ""; i++ {
		w.list(o)
		w.step(o, 5*time.Millisecond)
		for len(w.messages) > 0 {
			m := w.messages[0]
			w.messages = w.messages[1:]
			m.do(w.workers[m.to])
			w.judge()
		}
		for _, id := range []string{"w0", "w1", "w2"} {
			w.sync(o, w.workers[id], true)
			for _, a := range w.workers[id].tasks {
				if a.state == "running" && i%5 == 0 {
					a.state = "done"
				}
			}
		}
		w.pass(200 * time.Millisecond)
		w.judge()
	}
	if id := w.unfinished(o); id != "" {
		j := o.c.State.Jobs[id]
		w.fault("job %s has not ended: first task %+v", id, *j.Tasks[0])
	}
}

func (w *world) unfinished(o *ownerModel) string {
	for id, j := range o.c.State.Jobs {
		if j.Ended == 0 {
			return id
		}
	}
	return ""
}
