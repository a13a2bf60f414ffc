package control

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/book"
	"jasminestep/internal/platform"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

var t0 = time.Unix(1_800_000_000, 0)

func sec(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }

// harness drives a Controller whose batches become durable at once.
type harness struct {
	*testing.T
	c       *Controller
	seq     int64
	n       int // jobs submitted
	effects []Effect
}

func newHarness(t *testing.T, workers ...string) *harness {
	r := &harness{T: t, c: New("z", "e1", 1, Timing{}, &book.ZoneState{}, t0)}
	r.c.Handle(ConfigChanged{Cell: operator.Cell{Members: []operator.Member{{Name: "m"}, {Name: "n"}}}}, t0)
	r.listWorkers(0, workers...)
	for _, w := range workers {
		r.report(0, w, true)
	}
	return r
}

func (r *harness) listWorkers(s float64, workers ...string) {
	var vms []platform.VM
	for _, w := range workers {
		vms = append(vms, platform.VM{ID: w, Zone: "z", Role: "worker", Addr: w, CPU: 1000})
	}
	r.c.Handle(VMList{VMs: vms}, sec(s))
}

func (r *harness) report(s float64, w string, full bool, tasks ...worker.AttemptStatus) {
	r.c.Handle(WorkerReported{Worker: w, Report: &worker.Report{Boot: 7, Gen: 1, Full: full, Tasks: tasks}}, sec(s))
}

// step runs one Step and returns its effects.
func (r *harness) step(s float64) []Effect {
	if len(r.c.Step(sec(s))) > 0 {
		r.seq++
	}
	r.effects = r.c.Committed(r.seq)
	return r.effects
}

func (r *harness) submit(s float64, j operator.Job) string {
	r.n++
	j.Name, j.Member = fmt.Sprintf("j%d", r.n), "m"
	if j.Size == (operator.Size{}) {
		j.Size = operator.Size{CPU: 1000}
	}
	id := "z.m." + j.Name
	r.c.Handle(Submit{ID: id, Spec: j, Deadline: sec(s + 60), Reply: make(chan Answer, 1)}, sec(s))
	return id
}

func (r *harness) task(job string, i int) *book.Task {
	_, t := r.c.State.Task(book.TaskID(job, i))
	return t
}

func countStarts(fx []Effect) (n int) {
	for _, e := range fx {
		if e.Starts != nil {
			n += len(e.Starts.Tasks)
		}
	}
	return n
}

// reportAll reports the given end state for every task that e starts.
func (r *harness) reportAll(e Effect, s float64, state string) {
	if e.Starts == nil {
		return
	}
	for _, t := range e.Starts.Tasks {
		r.report(s, e.Worker, false, ended(t.Task, t.Attempt, state))
	}
}

func running(task string, n int) worker.AttemptStatus {
	return worker.AttemptStatus{Task: task, Attempt: n, State: "running"}
}

func ended(task string, n int, state string) worker.AttemptStatus {
	return worker.AttemptStatus{Task: task, Attempt: n, State: state}
}

func TestDuplicateSubmissionIsAcceptedOnce(t *testing.T) {
	r := newHarness(t, "w1")
	a, b := make(chan Answer, 1), make(chan Answer, 1)
	spec := operator.Job{Name: "x", Member: "m", Size: operator.Size{CPU: 1}}
	r.c.Handle(Submit{ID: "z.m.x", Spec: spec, Deadline: sec(9), Reply: a}, sec(1))
	r.c.Handle(Submit{ID: "z.m.x", Spec: spec, Deadline: sec(9), Reply: b}, sec(1))
	for _, e := range r.step(1) {
		if e.Reply != nil {
			e.Reply <- e.Answer
		}
	}
	x, y := <-a, <-b
	assert.Assert(t, x.OK && y.OK && x.ID == y.ID)
	assert.Equal(t, len(r.c.State.Jobs), 1)
}

func TestUnknownMemberChangesNothing(t *testing.T) {
	r := newHarness(t, "w1")
	a := make(chan Answer, 1)
	r.c.Handle(Submit{ID: "z.x.x", Spec: operator.Job{Member: "x"}, Deadline: sec(9), Reply: a}, sec(1))
	r.step(1)
	got := <-a
	assert.Assert(t, !got.OK && got.Bad)
	assert.Equal(t, len(r.c.State.Jobs), 0)
}

func TestOtherMembersJobCannotBeCancelled(t *testing.T) {
	r := newHarness(t, "w1")
	id := r.submit(1, operator.Job{})
	r.step(1)
	a := make(chan Answer, 1)
	r.c.Handle(Cancel{ID: id, Member: "n", Deadline: sec(9), Reply: a}, sec(2))
	r.step(2)
	got := <-a
	assert.Assert(t, got.Bad)
	assert.Equal(t, r.task(id, 0).State, book.Starting)
}

func TestDeadlineBeforeDecisionIsNotAccepted(t *testing.T) {
	r := newHarness(t, "w1")
	a := make(chan Answer, 1)
	r.c.Handle(Submit{ID: "z.m.x", Spec: operator.Job{Member: "m"}, Deadline: sec(2), Reply: a}, sec(1))
	r.c.Expire(sec(3), "down")
	assert.Equal(t, (<-a).Why, "down")
	r.step(3)
	assert.Equal(t, len(r.c.State.Jobs), 0)
}

// When a cancellation races with a start, the end reported by the worker decides
// the cause of the task.
func TestCancelRacesStart(t *testing.T) {
	for state, want := range map[string]book.Cause{"done": book.Done, "stopped": book.Cancelled, "lapsed": book.Cancelled, "failed": book.Failed} {
		t.Run(state, func(t *testing.T) {
			r := newHarness(t, "w1")
			id := r.submit(1, operator.Job{})
			assert.Equal(t, countStarts(r.step(1)), 1)
			r.c.Handle(Cancel{ID: id, Member: "m", Deadline: sec(9), Reply: make(chan Answer, 1)}, sec(1))
			r.step(1.1)
			assert.Equal(t, r.task(id, 0).State, book.Stopping)
			r.report(2, "w1", false, ended(id+"#0", 1, state))
			r.step(2)
			assert.Equal(t, r.task(id, 0).State, book.Ended)
			assert.Equal(t, r.task(id, 0).Cause, want)
			assert.Equal(t, countStarts(r.step(60)), 0, "started again after its end")
		})
	}
}

func TestThousandsCancelledInOneBatch(t *testing.T) {
	r := newHarness(t, "w1")
	for range 3000 {
		r.submit(1, operator.Job{})
	}
	for i := range 5 {
		r.step(1 + float64(i)/10)
	}
	for id := range r.c.State.Jobs {
		r.c.Handle(Cancel{ID: id, Member: "m", Deadline: sec(60), Reply: make(chan Answer, 1)}, sec(2))
	}
	before := r.seq
	for i := range 3 {
		r.step(2 + float64(i)/10)
	}
	assert.Assert(t, r.seq-before <= 3, "%d batches", r.seq-before)
	left := 0
	for _, j := range r.c.State.Jobs {
		if j.Ended == 0 {
			left++
		}
	}
	assert.Equal(t, left, 1, "only the running job may be left")
	assert.Equal(t, r.c.Queue.Len(), 0)
}

// The start message of a task that a full report does not mention may still be in
// transit. The task must be stopped on that worker first and may start elsewhere
// only after the stop is confirmed.
func TestUnnamedTaskIsStoppedFirst(t *testing.T) {
	r := newHarness(t, "w1", "w2")
	id := r.submit(1, operator.Job{})
	r.step(1)
	at := r.task(id, 0).Worker
	r.c.Handle(StartResult{Task: id + "#0", Attempt: 1}, sec(1))
	r.report(2, at, true)
	fx := r.step(2)
	assert.Equal(t, countStarts(fx), 0)
	assert.Equal(t, r.task(id, 0).State, book.Stopping)
	r.report(3, at, false, ended(id+"#0", 1, "stopped"))
	assert.Equal(t, countStarts(r.step(3)), 1)
}

// A new owner does not know how far its predecessor extended task leases, so it
// must wait for a full lease before it restarts a task elsewhere.
func TestNewOwnerWaitsForLeases(t *testing.T) {
	r := newHarness(t, "w1", "w2")
	id := r.submit(1, operator.Job{Kind: operator.Batch})
	r.step(1)
	at := r.task(id, 0).Worker
	r.report(1, at, false, running(id+"#0", 1))
	r.step(1.1)
	other := map[string]string{"w1": "w2", "w2": "w1"}[at]

	n := &harness{T: t, c: New("z", "e2", 2, Timing{}, r.c.State, sec(5))}
	n.c.Handle(ConfigChanged{Cell: r.c.Cell}, sec(5))
	n.listWorkers(5, "w1", "w2")
	for s := 5.0; s < 15.2; s++ {
		n.report(s, other, true)
		n.c.Handle(WorkerUnreachable{Worker: at}, sec(s))
		assert.Equal(t, countStarts(n.step(s)), 0, "at %v s the predecessor's task lease may still be valid", s)
	}
	n.report(15.3, other, true)
	assert.Equal(t, countStarts(n.step(15.3)), 1)
	assert.Equal(t, r.task(id, 0).Worker, other)
}

func TestStayIsNotMovedBySilence(t *testing.T) {
	r := newHarness(t, "w1", "w2")
	id := r.submit(1, operator.Job{Cut: operator.Stay})
	r.step(1)
	at := r.task(id, 0).Worker
	other := map[string]string{"w1": "w2", "w2": "w1"}[at]
	r.report(1, at, false, running(id+"#0", 1))
	for s := 2.0; s < 100; s += 2 {
		r.report(s, other, true)
		r.c.Handle(WorkerUnreachable{Worker: at}, sec(s))
		assert.Equal(t, countStarts(r.step(s)), 0)
	}
	r.listWorkers(100, other) // the worker's VM leaves the VM list
	l := r.c.Timing
	gone := 100 + (l.VMListLag + l.TaskLease + l.ClockSkew).Seconds()
	r.report(gone-0.1, other, true)
	assert.Equal(t, countStarts(r.step(gone-0.1)), 0)
	r.report(gone+0.1, other, true)
	assert.Equal(t, countStarts(r.step(gone+0.1)), 1)
}

// A worker may forget an attempt only when no copy of its start message can
// arrive any more; otherwise a delayed copy runs the attempt a second time. Found
// by TestRunOnce, seed 78193767.
func TestEndIsAcknowledgedLate(t *testing.T) {
	r := newHarness(t, "w1")
	id := r.submit(1, operator.Job{})
	r.step(1)
	r.report(2, "w1", false, ended(id+"#0", 1, "done"))
	acks := func(s float64) int {
		ch := make(chan worker.SyncRequest, 1)
		r.c.Handle(LeaseRenewal{Worker: "w1", Until: sec(s + 10), Reply: ch}, sec(s))
		return len((<-ch).Acks)
	}
	assert.Equal(t, acks(2), 0, "not durable yet")
	r.step(2)
	assert.Equal(t, acks(3), 0, "a copy of the start message may arrive until 11 s")
	assert.Equal(t, acks(13), 1)
}

func TestQuarantineProbeReturn(t *testing.T) {
	r := newHarness(t, "w1")
	s := 1.0
	for range 3 {
		r.submit(s, operator.Job{})
	}
	for ; len(r.c.State.Quarantined) == 0 && s < 20; s++ {
		for _, e := range r.step(s) {
			r.reportAll(e, s+0.1, "failed")
		}
	}
	assert.Equal(t, len(r.c.State.Quarantined), 1)
	r.report(s, "w1", false)
	assert.Equal(t, countStarts(r.step(s)), 0, "quarantined")
	s += 6
	r.report(s, "w1", false)
	fx := r.step(s)
	assert.Equal(t, countStarts(fx), 1, "one probe")
	for _, e := range fx {
		r.reportAll(e, s+1, "done")
	}
	r.step(s + 1)
	assert.Equal(t, len(r.c.State.Quarantined), 0)
}

func TestFailingJobEndsAfterItsRetries(t *testing.T) {
	r := newHarness(t, "w1", "w2", "w3")
	id := r.submit(1, operator.Job{Retries: 2})
	s := 1.0
	for range 40 {
		for _, e := range r.step(s) {
			r.reportAll(e, s, "failed")
		}
		s++
		for _, w := range []string{"w1", "w2", "w3"} {
			r.report(s, w, false)
		}
	}
	assert.Equal(t, r.task(id, 0).State, book.Ended)
	assert.Equal(t, r.task(id, 0).Cause, book.Failed)
	assert.Equal(t, r.task(id, 0).Failures, 3)
	assert.Equal(t, len(r.c.State.Quarantined), 0, "failures of a single job must not quarantine a worker")
}

func TestImpossibleJobSaysSo(t *testing.T) {
	r := newHarness(t, "w1")
	id := r.submit(1, operator.Job{Size: operator.Size{CPU: 5000}})
	r.step(1)
	r.step(5)
	assert.Equal(t, r.task(id, 0).State, book.Queued, "the VM list may lag")
	r.step(12)
	assert.Equal(t, r.task(id, 0).Cause, book.Impossible)
	assert.Assert(t, r.task(id, 0).Why != "")
}

func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	r := newHarness(t, "w1")
	r.c.Handle(VMList{VMs: []platform.VM{{ID: "w1", Zone: "z", Role: "worker", Addr: "w1", CPU: 1000, Leaving: true}}}, sec(1))
	r.submit(1, operator.Job{})
	assert.Equal(t, countStarts(r.step(1)), 0)
}

func (r *harness) listMinions(s float64, entries []string, minions ...string) {
	var vms []platform.VM
	for _, e := range entries {
		vms = append(vms, platform.VM{ID: e, Zone: "z", Role: "entry"})
	}
	for _, m := range minions {
		vms = append(vms, platform.VM{ID: m, Zone: "z", Role: "minion", Pool: "p", Addr: m, Slots: 8})
	}
	r.c.Handle(VMList{VMs: vms}, sec(s))
}

func TestGrantMovesOnlyOnProof(t *testing.T) {
	r := newHarness(t)
	e1, e2 := Entry{ID: "e1", Boot: 1, Alive: true}, Entry{ID: "e2", Boot: 1, Alive: true}
	r.listMinions(0, []string{"e1", "e2"}, "m1")
	r.c.Handle(EntryList{Entries: []Entry{e1}}, t0)
	r.step(1)
	assert.Equal(t, r.c.State.Grants["m1"].Entry, "e1")

	silent := e1
	silent.Alive = false
	for s := 2.0; s < 60; s++ {
		r.listMinions(s, []string{"e1", "e2"}, "m1")
		r.c.Handle(EntryList{Entries: []Entry{silent, e2}}, sec(s))
		r.step(s)
		assert.Equal(t, r.c.State.Grants["m1"].Entry, "e1", "an unreachable holder may still use its grant")
	}
	r.listMinions(60, []string{"e2"}, "m1")
	l := r.c.Timing
	gone := 60 + (l.VMListLag + l.OwnerLease + l.ClockSkew).Seconds()
	r.step(gone - 0.1)
	assert.Equal(t, r.c.State.Grants["m1"].Entry, "e1", "the VM list may drop a VM early")
	r.step(gone + 0.2)
	assert.Equal(t, r.c.State.Grants["m1"].Entry, "e2")
	assert.Assert(t, !r.c.State.Grants["m1"].Clean)
}

func TestGrantMovesToLaterIncarnation(t *testing.T) {
	r := newHarness(t)
	r.listMinions(0, []string{"e1"}, "m1")
	r.c.Handle(EntryList{Entries: []Entry{{ID: "e1", Boot: 1, Alive: true}}}, t0)
	r.step(1)
	floor := r.c.State.Grants[book.KeyShareName(3)].KeysCompleteSince
	assert.Equal(t, floor, int64(0), "no request ran before the first home")
	r.c.Handle(EntryList{Entries: []Entry{{ID: "e1", Boot: 2, Alive: true}}}, sec(2))
	r.step(2)
	g := r.c.State.Grants["m1"]
	assert.Assert(t, g.Boot == 2 && !g.Clean)
	assert.Equal(t, r.c.State.Grants[book.KeyShareName(3)].KeysCompleteSince, sec(2).UnixMilli())
}

func TestReleasedGrantMovesCleanly(t *testing.T) {
	r := newHarness(t)
	e1, e2 := Entry{ID: "e1", Boot: 1, Alive: true}, Entry{ID: "e2", Boot: 1, Alive: true}
	r.listMinions(0, []string{"e1", "e2"}, "m1")
	r.c.Handle(EntryList{Entries: []Entry{e1}}, t0)
	r.step(1)
	e1.Leaving = true
	r.c.Handle(EntryList{Entries: []Entry{e1, e2}}, sec(2))
	r.step(2)
	assert.Assert(t, r.c.State.Grants["m1"].Drain)
	assert.Equal(t, r.c.State.Grants["m1"].Entry, "e1")
	for _, name := range []string{"m1", book.KeyShareName(0)} {
		r.c.Handle(GrantReleased{Minion: name, Entry: "e1", Boot: 1}, sec(3))
	}
	r.step(3)
	g, k := r.c.State.Grants["m1"], r.c.State.Grants[book.KeyShareName(0)]
	assert.Assert(t, g.Entry == "e2" && g.Clean && !g.Drain)
	assert.Assert(t, k.Entry == "e2" && k.KeysCompleteSince == 0, "the outcomes of a released share are complete")
}

// A release sent by an earlier incarnation of an entry must not move a grant held
// by its current incarnation.
func TestStaleReleaseIsIgnored(t *testing.T) {
	r := newHarness(t)
	r.listMinions(0, []string{"e1", "e2"}, "m1")
	r.c.Handle(EntryList{Entries: []Entry{{ID: "e1", Boot: 5, Alive: true}}}, t0)
	r.step(1)
	r.c.Handle(EntryList{Entries: []Entry{{ID: "e1", Boot: 5, Alive: true}, {ID: "e2", Boot: 1, Alive: true}}}, sec(2))
	r.c.Handle(GrantReleased{Minion: "m1", Entry: "e1", Boot: 4}, sec(2))
	r.step(2)
	assert.Equal(t, r.c.State.Grants["m1"].Entry, "e1")
}

// A release that was sent twice took a grant that its holder had got again.
func TestRepeatedReleaseIsIgnored(t *testing.T) {
	r := newHarness(t)
	e1, e2 := Entry{ID: "e1", Boot: 1, Alive: true}, Entry{ID: "e2", Boot: 1, Alive: true}
	r.listMinions(0, []string{"e1", "e2"}, "m1")
	leaving := e1
	leaving.Leaving = true
	release := GrantReleased{Minion: "m1", Entry: "e1", Boot: 1}
	for i, entries := range [][]Entry{{e1}, {leaving, e2}} {
		r.c.Handle(EntryList{Entries: entries}, sec(float64(i)))
		r.step(float64(i + 1))
	}
	assert.Assert(t, r.c.State.Grants["m1"].Drain)
	r.c.Handle(EntryList{Entries: []Entry{e1}}, sec(3))
	r.c.Handle(release, sec(3))
	r.step(3)
	assert.Assert(t, !r.c.State.Grants["m1"].Drain)
	r.c.Handle(EntryList{Entries: []Entry{e1, e2}}, sec(4))
	r.c.Handle(release, sec(4))
	r.step(4)
	assert.Equal(t, r.c.State.Grants["m1"].Entry, "e1")
}

// A minion that had started again at another address got no requests: its grant kept
// the former one.
func TestGrantFollowsTheAddressOfItsMinion(t *testing.T) {
	r := newHarness(t)
	vms := []platform.VM{{ID: "e1", Zone: "z", Role: "entry"}, {ID: "m1", Zone: "z", Role: "minion", Pool: "p", Addr: "a", Slots: 8}}
	r.c.Handle(VMList{VMs: vms}, t0)
	r.c.Handle(EntryList{Entries: []Entry{{ID: "e1", Boot: 1, Alive: true}}}, t0)
	r.step(1)
	assert.Equal(t, r.c.State.Grants["m1"].Addr, "a")
	vms[1].Addr = "b"
	r.c.Handle(VMList{VMs: vms}, sec(2))
	r.step(2)
	g := r.c.State.Grants["m1"]
	assert.Assert(t, g.Addr == "b" && g.Entry == "e1" && g.Boot == 1)
}

// A renewal that the next life of a worker carries out gives it a lease that counts:
// leases are counted by worker, over its lives, and end at an absolute time.
func TestLeaseSentToAFormerLifeCountsForTheNext(t *testing.T) {
	r := newHarness(t, "w1")
	reply := make(chan worker.SyncRequest, 1)
	r.c.Handle(LeaseRenewal{Worker: "w1", Until: sec(20), Reply: reply}, sec(5))
	<-reply
	r.c.Handle(WorkerReported{Worker: "w1", Report: &worker.Report{Boot: 8, Gen: 1, Full: true}}, sec(6))
	id := r.submit(6, operator.Job{})
	for _, e := range r.step(6) {
		if e.Starts != nil {
			assert.Equal(t, e.Starts.Boot, int64(8))
		}
	}
	r.report(6.5, "w1", false, worker.AttemptStatus{Task: r.task(id, 0).ID, Attempt: 1, State: "running"})
	r.step(6.5)
	r.c.Handle(WorkerUnreachable{Worker: "w1"}, sec(7))
	r.step(19.9)
	assert.Assert(t, r.task(id, 0).Live())
	r.step(20 + r.c.Timing.ClockSkew.Seconds() + 0.1)
	assert.Assert(t, r.task(id, 0).Attempt == 1 && r.task(id, 0).Cause == book.Lost)
}
