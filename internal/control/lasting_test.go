package control

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/book"
	"jasminestep/internal/platform"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

// load plays workers that run what they are sent while batch tasks arrive five
// times a second. Stops take 0.2 s.
type load struct {
	*harness
	now     float64
	vms     []platform.VM
	silent  map[string]float64 // workers that don't answer → end of their leases
	runs    map[string]loadRun // by task
	away    map[string]float64 // lasting tasks → when they stopped
	longest map[string]float64 // the same → longest absence that has ended
	batch   operator.Job       // none arrives if it has no run time
}

type loadRun struct {
	worker  string
	attempt int
	end     float64 // zero: none
	state   string  // at its end
}

func newLoad(t *testing.T, workers int) *load {
	l := &load{silent: map[string]float64{}, runs: map[string]loadRun{}, away: map[string]float64{}, longest: map[string]float64{}}
	l.harness = newHarness(t)
	for i := range workers {
		id := fmt.Sprintf("w%d", i+1)
		l.vms = append(l.vms, platform.VM{ID: id, Zone: "z", Role: "worker", Rack: id, Addr: id, CPU: 1000})
	}
	return l
}

// play runs the zone until the given second.
func (l *load) play(until float64) {
	for ; l.now < until; l.now += 0.1 {
		if tick := int(l.now*10 + 0.5); l.batch.Runtime > 0 && tick%2 == 0 {
			l.submit(l.now, l.batch)
		}
		l.c.Handle(VMList{VMs: slices.Clone(l.vms)}, sec(l.now))
		for _, vm := range l.vms {
			l.sync(vm.ID)
		}
		l.endRuns()
		for _, e := range l.step(l.now) {
			l.carryOut(e)
		}
	}
}

func (l *load) sync(id string) {
	l.c.Handle(LeaseRenewal{Worker: id, Until: sec(l.now + 10), Reply: make(chan worker.SyncRequest, 1)}, sec(l.now))
	// A silent worker is asked again and again, as by Owner.
	if _, ok := l.silent[id]; ok {
		l.c.Handle(WorkerUnreachable{Worker: id}, sec(l.now))
		return
	}
	l.report(l.now, id, false)
}

func (l *load) endRuns() {
	for _, task := range sortedKeys(l.runs) {
		r := l.runs[task]
		lapse, silent := l.silent[r.worker]
		switch {
		case silent && l.now >= lapse:
		case r.end > 0 && l.now >= r.end && !silent:
			l.report(l.now, r.worker, false, ended(task, r.attempt, r.state))
		default:
			continue
		}
		delete(l.runs, task)
		if _, ok := l.longest[task]; ok {
			l.away[task] = l.now
		}
	}
}

func (l *load) carryOut(e Effect) {
	if _, silent := l.silent[e.Worker]; silent {
		return
	}
	if e.Stop != nil && e.Stop.Mode != worker.ModeThrottle {
		if r, ok := l.runs[e.Stop.Task]; ok && r.state != "stopped" {
			l.runs[e.Stop.Task] = loadRun{r.worker, r.attempt, l.now + 0.2, "stopped"}
		}
	}
	if e.Starts == nil {
		return
	}
	for _, t := range e.Starts.Tasks {
		_, twice := l.runs[t.Task]
		assert.Assert(l, !twice, "%s runs twice at %.1f s", t.Task, l.now)
		r := loadRun{worker: e.Worker, attempt: t.Attempt, state: "done"}
		if j, _ := l.c.State.Task(t.Task); j.Spec.Kind == "" {
			r.end = l.now + float64(j.Spec.Runtime)/1000
		} else {
			l.longest[t.Task] = max(l.longest[t.Task], l.absence(t.Task))
			delete(l.away, t.Task)
		}
		l.runs[t.Task] = r
		l.c.Handle(StartResult{Task: t.Task, Attempt: t.Attempt}, sec(l.now))
		l.report(l.now, e.Worker, false, running(t.Task, t.Attempt))
	}
}

// absence returns for how long a task has been away.
func (l *load) absence(task string) float64 {
	if since, ok := l.away[task]; ok {
		return l.now - since
	}
	return 0
}

// lose makes the worker of a task silent for good.
func (l *load) lose(task string) { l.silent[l.runs[task].worker] = l.now + 9.9 }

func (l *load) leave(id string) {
	i := slices.IndexFunc(l.vms, func(vm platform.VM) bool { return vm.ID == id })
	l.vms[i].Leaving = true
}

// checkAbsences bounds all absences, which are counted from the end of the lease
// if a worker was lost.
func (l *load) checkAbsences(most float64) {
	l.Helper()
	for _, task := range sortedKeys(l.longest) {
		got := max(l.longest[task], l.absence(task))
		assert.Check(l, got <= most, "%s was away for %.1f s", task, got)
	}
}

// Guards against room that batch tasks take as it frees up a little at a time.
func TestLostWorkStartsAgainBesideBatch(t *testing.T) {
	for _, kind := range []operator.Kind{operator.Service, operator.Gang} {
		for _, runtime := range []int64{2000, 3_600_000} {
			t.Run(fmt.Sprintf("%s beside %v", kind, time.Duration(runtime)*time.Millisecond), func(t *testing.T) {
				l := newLoad(t, 5)
				id := l.submit(0, operator.Job{Kind: kind, Tasks: 2, Cut: operator.Move})
				l.play(1)
				l.batch = operator.Job{Size: operator.Size{CPU: 300}, Runtime: runtime}
				l.play(10)
				l.lose(book.TaskID(id, 0))
				l.play(60)
				assert.Assert(t, l.longest[book.TaskID(id, 0)]+l.absence(book.TaskID(id, 0)) > 0, "it was not lost")
				l.checkAbsences(8)
			})
		}
	}
}

// Guards against lost services that get room one after the other.
func TestManyLostServicesStartAgainTogether(t *testing.T) {
	l := newLoad(t, 6)
	id := l.submit(0, operator.Job{Kind: operator.Service, Tasks: 6, Cut: operator.Move, Size: operator.Size{CPU: 450}})
	l.play(1)
	l.batch = operator.Job{Size: operator.Size{CPU: 100}, Runtime: 60_000}
	l.play(20)
	for i := range 3 {
		l.lose(book.TaskID(id, i))
	}
	l.play(60)
	l.checkAbsences(8)
}

// Guards against a service that runs on a leaving worker until it is removed.
func TestDrainMovesServicesIntoRoomMadeFirst(t *testing.T) {
	for _, runtime := range []int64{0, 2000, 3_600_000} {
		t.Run(fmt.Sprintf("beside %v", time.Duration(runtime)*time.Millisecond), func(t *testing.T) {
			l := newLoad(t, 4)
			id := l.submit(0, operator.Job{Kind: operator.Service, Tasks: 2})
			l.play(1)
			l.batch = operator.Job{Size: operator.Size{CPU: 300}, Runtime: runtime}
			l.play(10)
			left := l.runs[book.TaskID(id, 0)].worker
			l.leave(left)
			l.play(20)
			assert.Assert(t, l.runs[book.TaskID(id, 0)].worker != left)
			l.checkAbsences(0.5)
		})
	}
}

// Guards against a drain that stops what has no other place, or a gang.
func TestDrainLeavesWhatCannotMove(t *testing.T) {
	for kind, workers := range map[operator.Kind]int{operator.Service: 2, operator.Gang: 4} {
		l := newLoad(t, workers)
		id := l.submit(0, operator.Job{Kind: kind, Tasks: 2})
		l.play(5)
		l.leave(l.runs[book.TaskID(id, 0)].worker)
		l.play(30)
		assert.Assert(t, len(l.runs) == 2 && l.task(id, 0).Attempt == 1 && l.task(id, 1).Attempt == 1)
	}
}

// Guards against a stop that cannot be confirmed.
func TestDrainLeavesServiceOnUnreachableWorker(t *testing.T) {
	l := newLoad(t, 2)
	id := l.submit(0, operator.Job{Kind: operator.Service})
	l.play(5)
	l.lose(book.TaskID(id, 0))
	l.leave(l.runs[book.TaskID(id, 0)].worker)
	l.play(30)
	assert.Equal(t, l.task(id, 0).State, book.Running)
}

// Guards against room that is kept for a cancelled service.
func TestCancelledServiceKeepsNoClaim(t *testing.T) {
	l := newLoad(t, 2)
	id := l.submit(0, operator.Job{Kind: operator.Service, Cut: operator.Move})
	l.play(1)
	l.batch = operator.Job{Size: operator.Size{CPU: 300}, Runtime: 3_600_000}
	l.play(10)
	l.leave(l.runs[book.TaskID(id, 0)].worker)
	l.play(12)
	l.c.Handle(Cancel{ID: id, Member: "m", Deadline: sec(60), Reply: make(chan Answer, 1)}, sec(l.now))
	l.play(20)
	assert.Assert(t, !l.c.Cluster.ClaimReady(book.TaskID(id, 0)))
	assert.Equal(t, len(l.runs), 3, "the batch tasks that fit beside no claim")
}

// Guards against an overcommitted service that is stopped before it has another
// place.
func TestOvercommittedServiceIsStoppedOnlyForAnotherPlace(t *testing.T) {
	for _, workers := range []int{1, 2} {
		l := newLoad(t, workers)
		id := l.submit(0, operator.Job{Kind: operator.Service, Size: operator.Size{CPU: 500}})
		l.play(1)
		l.report(1, l.runs[book.TaskID(id, 0)].worker, false, worker.AttemptStatus{Task: book.TaskID(id, 0), Attempt: 1, State: "running", Usage: operator.Size{CPU: 1100}})
		l.play(10)
		assert.Equal(t, l.task(id, 0).Attempt, workers)
		l.checkAbsences(2)
	}
}
