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

func small(id string, cpu int64) *TaskRequest {
	return &TaskRequest{Task: id, Job: id, Member: "m", Kind: operator.Batch, Size: operator.Size{CPU: cpu}, Worth: 1, ExpectedRuntime: time.Second, Submitted: epoch}
}

func one(q *Queue, a *TaskRequest) { q.Add(&Item{Requests: []*TaskRequest{a}}) }

func gang(job string, n int, cpu int64, submitted time.Time) *Item {
	it := &Item{Gang: true}
	for i := range n {
		it.Requests = append(it.Requests, &TaskRequest{
			Task: fmt.Sprintf("%s#%d", job, i), Job: job, Member: "m", Kind: operator.Gang,
			Size: operator.Size{CPU: cpu}, Worth: 1, ExpectedRuntime: time.Second, Submitted: submitted,
		})
	}
	return it
}

func workers(n int, cpu int64) *Cluster {
	c := &Cluster{}
	for i := range n {
		c.SetWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/2), operator.Size{CPU: cpu}, false)
	}
	return c
}

func TestGangAllOrNothing(t *testing.T) {
	for _, p := range Policies {
		t.Run(p.Name, func(t *testing.T) {
			c, q := workers(3, 1000), &Queue{}
			q.Add(gang("g", 4, 1000, epoch))
			assert.Equal(t, len(p.Decide(c, q, nil, at(1), 100)), 0)
			assert.Equal(t, len(c.Allocs), 0, "nothing of it stays placed")
			c.SetWorker("w3", "r9", operator.Size{CPU: 1000}, false)
			assert.Equal(t, len(p.Decide(c, q, nil, at(2), 100)), 4)
			assert.Equal(t, q.Len(), 0)
		})
	}
}

// A gang that needs every worker must get its turn although small tasks keep
// coming that would fit before it.
func TestGangDoesNotStarve(t *testing.T) {
	for _, p := range []NamedPolicy{PolicyByName("pack"), PolicyByName("wait")} {
		t.Run(p.Name, func(t *testing.T) {
			c, q := workers(4, 1000), &Queue{}
			q.Add(gang("g", 4, 1000, epoch))
			ends := map[string]time.Time{}
			for i := range 4000 {
				now := at(float64(i) / 10)
				for id, end := range ends {
					if !end.After(now) {
						c.Release(id)
						delete(ends, id)
					}
				}
				a := small(fmt.Sprintf("s%d", i), 500)
				a.Submitted = now
				one(q, a)
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

// A reservation for tasks that never end must not keep workers idle for ever.
func TestReservationExpires(t *testing.T) {
	c, q := workers(2, 1000), &Queue{}
	long := small("long", 600)
	long.ExpectedRuntime = time.Second
	one(q, long)
	p := PolicyByName("pack")
	p.Decide(c, q, nil, at(0), 100)
	q.Add(gang("g", 2, 1000, epoch))
	p.Decide(c, q, nil, at(6), 100)
	assert.Equal(t, len(q.resvs), 1)
	late := small("late", 1000)
	late.ExpectedRuntime, late.Submitted = time.Hour, at(6)
	one(q, late)
	assert.Equal(t, len(p.Decide(c, q, nil, at(7), 100)), 0, "kept for the gang")
	assert.Equal(t, len(p.Decide(c, q, nil, at(7).Add(maxHold), 100)), 1, "the reservation is over")
}

func TestBackfillOnlyWhatEndsBefore(t *testing.T) {
	c, q := workers(2, 1000), &Queue{}
	long := small("long", 1000)
	long.ExpectedRuntime = time.Minute
	one(q, long)
	p := PolicyByName("pack")
	p.Decide(c, q, nil, at(0), 100)
	q.Add(gang("g", 2, 1000, epoch))
	p.Decide(c, q, nil, at(6), 100)
	short, hour := small("short", 1000), small("hour", 1000)
	short.ExpectedRuntime, hour.ExpectedRuntime = 10*time.Second, time.Hour
	short.Submitted, hour.Submitted = at(6), at(6)
	one(q, hour)
	one(q, short)
	got := p.Decide(c, q, nil, at(7), 100)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Task, "short")
}

func TestUrgentGoesFirst(t *testing.T) {
	for _, p := range Policies {
		c, q := workers(1, 1000), &Queue{}
		for i := range 50 {
			one(q, small(fmt.Sprintf("s%d", i), 1000))
		}
		u := small("urgent", 1000)
		u.Urgency, u.Submitted, u.ExpectedRuntime = operator.Urgent, at(9), time.Hour
		one(q, u)
		got := p.Decide(c, q, nil, at(10), 100)
		assert.Equal(t, got[0].Task, "urgent", p.Name)
	}
}

func TestSpreadOverRacks(t *testing.T) {
	c, q := workers(8, 10000), &Queue{}
	for i := range 4 {
		a := small(fmt.Sprintf("svc#%d", i), 1000)
		a.Job, a.Spread, a.Kind = "svc", true, operator.Service
		one(q, a)
	}
	racks := map[string]bool{}
	for _, pl := range PolicyByName("pack").Decide(c, q, nil, at(0), 100) {
		racks[c.Workers[pl.Worker].Rack] = true
	}
	assert.Equal(t, len(racks), 4)
}

func TestAvoidsWorkersOnWhichItFailed(t *testing.T) {
	c, q := workers(3, 1000), &Queue{}
	a := small("a", 100)
	a.Avoid = []string{"w0", "w2"}
	one(q, a)
	assert.Equal(t, PolicyByName("pack").Decide(c, q, nil, at(0), 1)[0].Worker, "w1")
}

func TestFairShare(t *testing.T) {
	c, q := workers(10, 1000), &Queue{}
	members := map[string]operator.Member{"a": {Weight: 3}, "b": {Weight: 1}}
	for i := range 400 {
		x := small(fmt.Sprintf("t%d", i), 100)
		x.Member = string("ab"[i%2])
		one(q, x)
	}
	for s := range 20 {
		PolicyByName("pack").Decide(c, q, members, at(float64(s)), 5)
	}
	a, b := c.MemberUsage["a"].CPU, c.MemberUsage["b"].CPU
	assert.Assert(t, a >= 2*b && a <= 4*b, "by weight 3 to 1, got %d to %d", a, b)
}

func TestReclaim(t *testing.T) {
	c, q := workers(1, 1000), &Queue{}
	members := map[string]operator.Member{"owner": {Quota: operator.Size{CPU: 500}}, "borrower": {}}
	for i := range 10 {
		a := small(fmt.Sprintf("b%d", i), 100)
		a.Member = "borrower"
		one(q, a)
	}
	p := PolicyByName("pack")
	p.Decide(c, q, members, at(0), 100)
	a := small("mine", 100)
	a.Member, a.Submitted = "owner", at(1)
	one(q, a)
	p.Decide(c, q, members, at(1), 100)
	assert.Equal(t, len(ReclaimQuota(c, q, members, at(2))), 0, "not at once")
	got := ReclaimQuota(c, q, members, at(4))
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Action, Checkpoint)
}

func TestSqueezeStepByStep(t *testing.T) {
	c, q := workers(1, 1000), &Queue{}
	cheap, dear := small("cheap", 400), small("dear", 400)
	dear.Worth = 9
	one(q, cheap)
	one(q, dear)
	PolicyByName("pack").Decide(c, q, nil, at(0), 100)
	c.ObserveUsage("dear", operator.Size{CPU: 700})
	assert.DeepEqual(t, MitigateOvercommit(c), []Mitigation{{"cheap", Throttle}})
	assert.DeepEqual(t, MitigateOvercommit(c), []Mitigation{{"cheap", Checkpoint}})
	c.Release("cheap")
	assert.Equal(t, len(MitigateOvercommit(c)), 0)
}

func TestNever(t *testing.T) {
	c := workers(2, 1000)
	assert.Assert(t, Infeasible(c, &Item{Requests: []*TaskRequest{small("big", 1001)}}) != "")
	assert.Assert(t, Infeasible(c, gang("g", 3, 1000, epoch)) != "")
	assert.Equal(t, Infeasible(c, gang("g", 2, 1000, epoch)), "")
}

func TestGuess(t *testing.T) {
	r := &RuntimeEstimator{}
	assert.Equal(t, r.Estimate("f", time.Hour), time.Hour)
	for i := range 40 {
		r.Record("f", time.Duration(i+1)*time.Second)
	}
	g := r.Estimate("f", time.Hour)
	assert.Assert(t, g > 30*time.Second && g <= 40*time.Second, g)
}

// TestClusterAgainstOracle runs random commands against a Cluster and a Queue
// and compares them with plain sums.
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
				a := small(fmt.Sprintf("t%d", n), 0)
				a.Size, a.Submitted = size.Draw(t, "size"), now
				a.ExpectedRuntime = time.Duration(rapid.IntRange(0, 60).Draw(t, "est")) * time.Second
				one(q, a)
			},
			"gang": func(t *rapid.T) {
				n++
				it := gang(fmt.Sprintf("g%d", n), rapid.IntRange(1, 4).Draw(t, "tasks"), 500, now)
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
						t.Fatalf("%s placed on %s, which holds %+v of %+v", pl.Task, w.ID, w.Used, w.Capacity)
					}
					if !w.Used.Fits(w.Capacity) {
						t.Fatalf("%s placed beyond the capacity of %s", pl.Task, w.ID)
					}
				}
			},
			"": func(t *rapid.T) { oracle(t, c, gangs) },
		})
	})
}

// oracle recomputes by plain sums what the cluster keeps incrementally.
func oracle(t *rapid.T, c *Cluster, gangs map[string]int) {
	shares := map[string]operator.Size{}
	var total operator.Size
	indexed := 0
	for id, w := range c.Workers {
		var used operator.Size
		for _, al := range w.Tasks {
			used = used.Add(al.Size)
			shares[al.Request.Member] = shares[al.Request.Member].Add(al.Size)
		}
		if used != w.Used {
			t.Fatalf("worker %s: used %+v, tasks sum to %+v", id, w.Used, used)
		}
		if !w.Unschedulable {
			total = total.Add(w.Capacity)
		}
		if w.bucket != bucketOf(w.Free()) || c.index[w.bucket][w.pos] != w {
			t.Fatalf("worker %s is not where the index has it", id)
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
