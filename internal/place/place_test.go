package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jasminestep/internal/fixed"
	"jasminestep/pkg/operator"
)

func TestMain(m *testing.M) { fixed.Main(m, "100") }

func at(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

func smallTask(id string, cpu int64) *TaskRequest {
	return &TaskRequest{Task: id, Job: id, Member: "m", Kind: operator.Batch, Size: operator.Size{CPU: cpu}, Worth: 1, ExpectedRuntime: time.Second, Submitted: epoch}
}

func addTask(q *Queue, a *TaskRequest) { q.Add(&Item{Requests: []*TaskRequest{a}}) }

func gangItem(job string, n int, cpu int64, submitted time.Time) *Item {
	it := &Item{Gang: true}
	for i := range n {
		it.Requests = append(it.Requests, &TaskRequest{
			Task: fmt.Sprintf("%s#%d", job, i), Job: job, Member: "m", Kind: operator.Gang,
			Size: operator.Size{CPU: cpu}, Worth: 1, ExpectedRuntime: time.Second, Submitted: submitted,
		})
	}
	return it
}

func newCluster(n int, cpu int64) *Cluster {
	c := &Cluster{}
	for i := range n {
		c.SetWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/2), operator.Size{CPU: cpu}, false)
	}
	return c
}

func TestGangAllOrNothing(t *testing.T) {
	for _, p := range Policies {
		t.Run(p.Name, func(t *testing.T) {
			c, q := newCluster(3, 1000), &Queue{}
			q.Add(gangItem("g", 4, 1000, epoch))
			assert.Equal(t, len(p.Decide(c, q, nil, at(1), 100)), 0)
			assert.Equal(t, len(c.Allocs), 0, "no task of the gang stays placed")
			c.SetWorker("w3", "r9", operator.Size{CPU: 1000}, false)
			assert.Equal(t, len(p.Decide(c, q, nil, at(2), 100)), 4)
			assert.Equal(t, q.Len(), 0)
		})
	}
}

// Guards against starvation of a gang that needs every worker while small tasks
// that would fit before it keep arriving.
func TestGangDoesNotStarve(t *testing.T) {
	for _, p := range []NamedPolicy{PolicyByName("pack"), PolicyByName("wait")} {
		t.Run(p.Name, func(t *testing.T) {
			c, q := newCluster(4, 1000), &Queue{}
			q.Add(gangItem("g", 4, 1000, epoch))
			ends := map[string]time.Time{}
			for i := range 4000 {
				now := at(float64(i) / 10)
				for id, end := range ends {
					if !end.After(now) {
						c.Release(id)
						delete(ends, id)
					}
				}
				a := smallTask(fmt.Sprintf("s%d", i), 500)
				a.Submitted = now
				addTask(q, a)
				for _, pl := range p.Decide(c, q, nil, now, 100) {
					if pl.Task == "g#0" {
						return
					}
					ends[pl.Task] = now.Add(2 * time.Second) // twice as long as declared
				}
			}
			t.Fatal("the gang never started")
		})
	}
}

// Guards against a reservation that waits for tasks that never end and keeps
// its workers idle forever.
func TestReservationExpires(t *testing.T) {
	c, q := newCluster(2, 1000), &Queue{}
	long := smallTask("long", 600)
	long.ExpectedRuntime = time.Second
	addTask(q, long)
	p := PolicyByName("pack")
	p.Decide(c, q, nil, at(0), 100)
	q.Add(gangItem("g", 2, 1000, epoch))
	p.Decide(c, q, nil, at(6), 100)
	assert.Equal(t, len(q.reservations), 1)
	late := smallTask("late", 1000)
	late.ExpectedRuntime, late.Submitted = time.Hour, at(6)
	addTask(q, late)
	assert.Equal(t, len(p.Decide(c, q, nil, at(7), 100)), 0, "the worker is reserved for the gang")
	assert.Equal(t, len(p.Decide(c, q, nil, at(7).Add(maxReservationTime), 100)), 1, "the reservation has expired")
}

func TestBackfillOnlyWhatEndsBefore(t *testing.T) {
	c, q := newCluster(2, 1000), &Queue{}
	long := smallTask("long", 1000)
	long.ExpectedRuntime = time.Minute
	addTask(q, long)
	p := PolicyByName("pack")
	p.Decide(c, q, nil, at(0), 100)
	q.Add(gangItem("g", 2, 1000, epoch))
	p.Decide(c, q, nil, at(6), 100)
	short, hour := smallTask("short", 1000), smallTask("hour", 1000)
	short.ExpectedRuntime, hour.ExpectedRuntime = 10*time.Second, time.Hour
	short.Submitted, hour.Submitted = at(6), at(6)
	addTask(q, hour)
	addTask(q, short)
	got := p.Decide(c, q, nil, at(7), 100)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Task, "short")
}

func TestUrgentGoesFirst(t *testing.T) {
	for _, p := range Policies {
		c, q := newCluster(1, 1000), &Queue{}
		for i := range 50 {
			addTask(q, smallTask(fmt.Sprintf("s%d", i), 1000))
		}
		u := smallTask("urgent", 1000)
		u.Urgency, u.Submitted, u.ExpectedRuntime = operator.Urgent, at(9), time.Hour
		addTask(q, u)
		got := p.Decide(c, q, nil, at(10), 100)
		assert.Equal(t, got[0].Task, "urgent", p.Name)
	}
}

func TestResumingTaskGoesFirst(t *testing.T) {
	for _, p := range Policies {
		c, q := newCluster(1, 1000), &Queue{}
		addTask(q, smallTask("large", 2000))
		addTask(q, smallTask("small", 1000))
		a := smallTask("resumes", 1000)
		a.Kind, a.Resumes, a.Submitted = operator.Service, true, at(9)
		addTask(q, a)
		got := p.Decide(c, q, nil, at(10), 100)
		assert.Assert(t, len(got) == 1 && got[0].Task == "resumes", p.Name)
	}
}

// Guards against a claim that stays on a worker which can't meet it any more.
func TestClaimMovesOffUnschedulableWorker(t *testing.T) {
	c, q := newCluster(2, 1000), &Queue{}
	addTask(q, smallTask("b0", 1000))
	addTask(q, smallTask("b1", 1000))
	a := smallTask("resumes", 1000)
	a.Kind, a.Resumes = operator.Service, true
	p := PolicyByName("pack")
	p.Decide(c, q, nil, at(0), 100)
	addTask(q, a)
	p.Decide(c, q, nil, at(1), 100)
	first := ReclaimClaimed(c, at(4))
	assert.Equal(t, len(first), 1)
	w := c.Allocs[first[0].Task].Worker
	c.SetWorker(w.ID, w.Rack, w.Capacity, true)
	p.Decide(c, q, nil, at(5), 100)
	assert.Equal(t, len(ReclaimClaimed(c, at(6))), 0, "before reclaimDelay has passed")
	next := ReclaimClaimed(c, at(8))
	assert.Assert(t, len(next) == 1 && next[0].Task != first[0].Task)
}

// Guards against batch tasks that leave although that makes no room.
func TestClaimSparesWhatIsNotInTheWay(t *testing.T) {
	c, q := &Cluster{}, &Queue{}
	c.SetWorker("w", "r", operator.Size{CPU: 1000, Accel: 1}, false)
	accel, resumes := smallTask("accel", 100), smallTask("resumes", 100)
	accel.Size.Accel, accel.Worth, resumes.Size.Accel = 1, 9, 1
	resumes.Resumes = true
	p := PolicyByName("pack")
	addTask(q, accel)
	addTask(q, smallTask("cheap", 100))
	p.Decide(c, q, nil, at(0), 100)
	addTask(q, resumes)
	p.Decide(c, q, nil, at(1), 100)
	assert.DeepEqual(t, ReclaimClaimed(c, at(4)), []Mitigation{{"accel", Checkpoint}})
}

func TestSpreadOverRacks(t *testing.T) {
	c, q := newCluster(8, 10000), &Queue{}
	for i := range 4 {
		a := smallTask(fmt.Sprintf("svc#%d", i), 1000)
		a.Job, a.Spread, a.Kind = "svc", true, operator.Service
		addTask(q, a)
	}
	racks := map[string]bool{}
	for _, pl := range PolicyByName("pack").Decide(c, q, nil, at(0), 100) {
		racks[c.Workers[pl.Worker].Rack] = true
	}
	assert.Equal(t, len(racks), 4)
}

func TestAvoidsWorkersOnWhichItFailed(t *testing.T) {
	c, q := newCluster(3, 1000), &Queue{}
	a := smallTask("a", 100)
	a.Avoid = []string{"w0", "w2"}
	addTask(q, a)
	assert.Equal(t, PolicyByName("pack").Decide(c, q, nil, at(0), 1)[0].Worker, "w1")
}

func TestFairShare(t *testing.T) {
	c, q := newCluster(10, 1000), &Queue{}
	members := map[string]operator.Member{"a": {Weight: 3}, "b": {Weight: 1}}
	for i := range 400 {
		x := smallTask(fmt.Sprintf("t%d", i), 100)
		x.Member = string("ab"[i%2])
		addTask(q, x)
	}
	for s := range 20 {
		PolicyByName("pack").Decide(c, q, members, at(float64(s)), 5)
	}
	a, b := c.MemberUsage["a"].CPU, c.MemberUsage["b"].CPU
	assert.Assert(t, a >= 2*b && a <= 4*b, "usage of %d and %d, want a ratio of 3 to 1 as the weights", a, b)
}

func TestReclaim(t *testing.T) {
	c, q := newCluster(1, 1000), &Queue{}
	members := map[string]operator.Member{"owner": {Quota: operator.Size{CPU: 500}}, "borrower": {}}
	for i := range 10 {
		a := smallTask(fmt.Sprintf("b%d", i), 100)
		a.Member = "borrower"
		addTask(q, a)
	}
	p := PolicyByName("pack")
	p.Decide(c, q, members, at(0), 100)
	a := smallTask("mine", 100)
	a.Member, a.Submitted = "owner", at(1)
	addTask(q, a)
	p.Decide(c, q, members, at(1), 100)
	assert.Equal(t, len(ReclaimQuota(c, q, members, at(2))), 0, "before reclaimDelay has passed")
	got := ReclaimQuota(c, q, members, at(4))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Action, Checkpoint)
}

func TestMitigateOvercommitStepByStep(t *testing.T) {
	c, q := newCluster(1, 1000), &Queue{}
	cheap, dear := smallTask("cheap", 400), smallTask("dear", 400)
	dear.Worth = 9
	addTask(q, cheap)
	addTask(q, dear)
	PolicyByName("pack").Decide(c, q, nil, at(0), 100)
	c.ObserveUsage("dear", operator.Size{CPU: 700})
	assert.DeepEqual(t, MitigateOvercommit(c), []Mitigation{{"cheap", Throttle}})
	assert.DeepEqual(t, MitigateOvercommit(c), []Mitigation{{"cheap", Checkpoint}})
	c.Release("cheap")
	assert.Equal(t, len(MitigateOvercommit(c)), 0)
}

func TestMitigateOvercommitSparesServices(t *testing.T) {
	c, q := newCluster(1, 1000), &Queue{}
	service, batch := smallTask("service", 500), smallTask("batch", 500)
	service.Kind, batch.Worth = operator.Service, 9
	addTask(q, service)
	addTask(q, batch)
	PolicyByName("pack").Decide(c, q, nil, at(0), 100)
	c.ObserveUsage("service", operator.Size{CPU: 700})
	assert.DeepEqual(t, MitigateOvercommit(c), []Mitigation{{"batch", Throttle}})
	assert.DeepEqual(t, MitigateOvercommit(c), []Mitigation{{"batch", Checkpoint}})
}

func TestInfeasible(t *testing.T) {
	c := newCluster(2, 1000)
	assert.Assert(t, Infeasible(c, &Item{Requests: []*TaskRequest{smallTask("big", 1001)}}) != "")
	assert.Assert(t, Infeasible(c, gangItem("g", 3, 1000, epoch)) != "")
	assert.Equal(t, Infeasible(c, gangItem("g", 2, 1000, epoch)), "")
}

func TestRuntimeEstimate(t *testing.T) {
	r := &RuntimeEstimator{}
	assert.Equal(t, r.Estimate("f", time.Hour), time.Hour)
	for i := range 40 {
		r.Record("f", time.Duration(i+1)*time.Second)
	}
	g := r.Estimate("f", time.Hour)
	assert.Assert(t, g > 30*time.Second && g <= 40*time.Second, g)
}

// TestClusterAgainstOracle runs random operations on a Cluster and a Queue and
// compares the incremental state with recomputed sums.
func TestClusterAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, q := &Cluster{}, &Queue{}
		p := Policies[rapid.IntRange(0, len(Policies)-1).Draw(t, "policy")]
		now, n := epoch, 0
		size := rapid.Custom(func(t *rapid.T) operator.Size {
			return operator.Size{CPU: rapid.Int64Range(0, 4000).Draw(t, "cpu"), Memory: rapid.Int64Range(0, 4000).Draw(t, "memory"), Accel: rapid.Int64Range(0, 2).Draw(t, "accel")}
		})
		gangs := map[string]int{}
		t.Repeat(map[string]func(*rapid.T){
			"worker": func(t *rapid.T) {
				id := fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "worker"))
				if c.Workers[id] == nil || len(c.Workers[id].Tasks) == 0 {
					c.SetWorker(id, "r", size.Draw(t, "size").Times(3), rapid.Bool().Draw(t, "held"))
				}
			},
			"add": func(t *rapid.T) {
				n++
				a := smallTask(fmt.Sprintf("t%d", n), 0)
				a.Size, a.Submitted = size.Draw(t, "size"), now
				a.ExpectedRuntime = time.Duration(rapid.IntRange(0, 60).Draw(t, "est")) * time.Second
				a.Resumes = rapid.Bool().Draw(t, "resumes")
				addTask(q, a)
			},
			"gang": func(t *rapid.T) {
				n++
				it := gangItem(fmt.Sprintf("g%d", n), rapid.IntRange(1, 4).Draw(t, "tasks"), 500, now)
				gangs[it.Key()] = len(it.Requests)
				q.Add(it)
			},
			"release": func(*rapid.T) {
				for id := range c.Allocs {
					if c.Allocs[id].Request.Kind != operator.Gang {
						c.Release(id)
						return
					}
				}
			},
			"observe": func(t *rapid.T) {
				for id := range c.Allocs {
					c.ObserveUsage(id, size.Draw(t, "usage"))
					return
				}
			},
			"remove": func(t *rapid.T) { c.RemoveWorker(fmt.Sprintf("w%d", rapid.IntRange(0, 5).Draw(t, "worker"))) },
			"decide": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 20000).Draw(t, "ms")) * time.Millisecond)
				before := map[string]operator.Size{}
				for id, w := range c.Workers {
					before[id] = w.Used
				}
				for _, pl := range p.Decide(c, q, nil, now, rapid.IntRange(1, 50).Draw(t, "most")) {
					w := c.Workers[pl.Worker]
					if w.Unschedulable || !w.Used.Fits(w.Capacity) && w.Used.Fits(before[w.ID]) {
						t.Fatalf("%s placed on %s, which is unschedulable or overcommitted: used %+v of %+v", pl.Task, w.ID, w.Used, w.Capacity)
					}
					if !w.Used.Fits(w.Capacity) {
						t.Fatalf("%s placed beyond the capacity of %s", pl.Task, w.ID)
					}
				}
			},
			"": func(t *rapid.T) { checkInvariants(t, c, gangs) },
		})
	})
}

// checkInvariants recomputes the state that the cluster maintains
// incrementally.
func checkInvariants(t *rapid.T, c *Cluster, gangs map[string]int) {
	shares := map[string]operator.Size{}
	var total operator.Size
	indexed := 0
	claimed := map[*Worker]operator.Size{}
	for _, cl := range c.claims {
		claimed[cl.worker] = claimed[cl.worker].Add(cl.request.Size)
	}
	for id, w := range c.Workers {
		var used operator.Size
		for _, al := range w.Tasks {
			used = used.Add(al.Size)
			shares[al.Request.Member] = shares[al.Request.Member].Add(al.Size)
		}
		if used != w.Used {
			t.Fatalf("worker %s: used %+v, tasks sum to %+v", id, w.Used, used)
		}
		if w.claimed != claimed[w] {
			t.Fatalf("worker %s: claimed %+v, claims sum to %+v", id, w.claimed, claimed[w])
		}
		if !w.Unschedulable {
			total = total.Add(w.Capacity)
		}
		if w.bucket != bucketOf(w.Free()) || c.index[w.bucket][w.bucketPos] != w {
			t.Fatalf("worker %s is not at its position in the index", id)
		}
	}
	for _, b := range c.index {
		indexed += len(b)
	}
	if indexed != len(c.Workers) || total != c.Total {
		t.Fatalf("index has %d of %d workers, total %+v, want %+v", indexed, len(c.Workers), c.Total, total)
	}
	for m, s := range c.MemberUsage {
		if s != shares[m] {
			t.Fatalf("share of %s is %+v, want %+v", m, s, shares[m])
		}
	}
	placed := map[string]int{}
	for _, al := range c.Allocs {
		if al.Request.Kind == operator.Gang {
			placed[al.Request.Job]++
		}
	}
	for job, n := range placed {
		if n != gangs[job] {
			t.Fatalf("gang %s has %d of %d tasks placed", job, n, gangs[job])
		}
	}
}
