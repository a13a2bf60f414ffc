package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// jobOf returns a job of an account.
func jobOf(account, id string, steps ...work.Step) *work.Job {
	j := newJob(id, steps...)
	j.Account = account
	return j
}

// limitAccount gives the shard of o an account that may run cpu of its limit there.
func limitAccount(o *simOwner, a work.Account, cpu int64) {
	o.st.SetAccounts([]work.Account{a})
	o.st.SetAllowance(a.Name, work.Size{CPU: cpu})
}

func TestAccountRunsNoMoreThanItsAllowance(t *testing.T) {
	w, o := newOwnedCluster(t, 4)
	limitAccount(o, work.Account{Name: "a", Weight: 1, Limit: work.Size{CPU: 6000}}, 3000)
	w.submit(jobOf("a", "j", tasks(6, 1000)))
	w.cycle()
	assert.Equal(t, w.running(), 3)
	assert.Equal(t, o.st.AccountUses()[0].Demand.Needed.CPU, int64(6000))
	o.st.SetAllowance("a", work.Size{CPU: 5000})
	w.cycle()
	assert.Equal(t, w.running(), 5)
	w.finishAll()
	w.cycle()
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.state("j"), Completed)
	assert.Equal(t, o.st.AccountUses()[0].Demand.Used, work.Size{})
}

// Guards against a shard that asks for more of one resource than its tasks can use,
// since the limit of another is used up; another service would go without.
func TestNeedCountsOnlyWhatFitsIntoTheLimit(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	limitAccount(o, work.Account{Name: "a", Weight: 1, Limit: work.Size{CPU: 100_000, Mem: 3000}}, 0)
	p := tasks(50, 1000)
	p.Size.Mem = 1000
	w.submit(jobOf("a", "j", p))
	w.cycle()
	assert.Equal(t, o.st.AccountUses()[0].Demand.Needed, work.Size{CPU: 3000, Mem: 3000})
	assert.Equal(t, o.st.AccountUses()[0].Waiting, 50)
}

// Guards against an account whose gang waits for room that its limit would not
// let it use, and holds that room meanwhile.
func TestGangBeyondTheLimitReservesNothing(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	limitAccount(o, work.Account{Name: "a", Weight: 1, Limit: work.Size{CPU: 8000}}, 3000)
	gang := tasks(4, 1000)
	gang.Gang = true
	w.submit(jobOf("a", "gang", gang), newJob("other", tasks(8, 1000)))
	w.cycle()
	assert.Equal(t, w.state("gang"), Queued)
	assert.Equal(t, w.running(), 8)
}

// Guards against runs of a silent minion, or of a former owner, that don't count
// as in use.
func TestNextOwnerCountsInheritedRuns(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	a := work.Account{Name: "a", Weight: 1, Limit: work.Size{CPU: 4000}}
	limitAccount(o, a, 4000)
	w.submit(jobOf("a", "j", tasks(6, 1000)))
	w.cycle()
	assert.Equal(t, w.running(), 4)
	next := w.takeOver()
	limitAccount(next, a, 4000)
	assert.Equal(t, next.st.AccountUses()[0].Demand.Used.CPU, int64(4000))
	w.cycle()
	assert.Equal(t, w.running(), 4)
}

// Guards against the original of a copy, on a silent minion, that does not count for
// the owner that takes over.
func TestNextOwnerCountsTheOriginalOfACopy(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	a := work.Account{Name: "a", Weight: 1, Limit: work.Size{CPU: 2000}}
	limitAccount(o, a, 2000)
	w.submit(jobOf("a", "j", speculativeTasks(1, 1000)))
	w.cycle()
	out, other := w.minions[0], w.minions[1]
	if len(out.runs) == 0 {
		out, other = other, out
	}
	out.up = false
	w.cycle()
	w.cycle()
	assert.Equal(t, len(out.runs)+len(other.runs), 2)
	next := w.takeOver()
	limitAccount(next, a, 2000)
	used := func() int64 { return next.st.AccountUses()[0].Demand.Used.CPU }
	assert.Equal(t, used(), int64(2000))
	w.submit(jobOf("a", "k", tasks(1, 1000)))
	w.cycle()
	assert.Equal(t, w.state("k"), Queued)
	out.up = true
	w.cycle()
	w.cycle()
	w.finishAll()
	w.cycle()
	w.cycle()
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.state("k"), Completed)
	assert.Equal(t, used(), int64(0))
	assert.Equal(t, len(next.st.leftovers), 0)
}

// Guards against leftovers that nobody reports, and that count for ever.
func TestLeftoversEndWithTheirLeases(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	limitAccount(o, work.Account{Name: "a", Weight: 1, Limit: work.Size{CPU: 2000}}, 2000)
	w.submit(jobOf("a", "j", tasks(1, 1000)))
	w.cycle()
	p := o.st.jobs["j"].rounds[0].steps[0]
	p.tasks[0].openAttempts = []int{7}
	o.st.leaveOver(p, p.tasks[0])
	assert.Equal(t, o.st.AccountUses()[0].Demand.Used.CPU, int64(2000))
	o.st.expireLeftovers(o.st.termStart.Add(time.Second))
	assert.Equal(t, len(o.st.leftovers), 1)
	o.st.expireLeftovers(o.st.termStart.Add(time.Minute))
	assert.Equal(t, o.st.AccountUses()[0].Demand.Used.CPU, int64(1000))
}

// Guards one account's jobs against the flood of another, which has filled the
// queue before.
func TestHotAccountDoesNotDelayOthers(t *testing.T) {
	w, o := newOwnedCluster(t, 4) // room for 16 tasks
	o.st.SetAccounts([]work.Account{{Name: "hot", Weight: 1}, {Name: "calm", Weight: 1}})
	for i := range 40 {
		w.submit(jobOf("hot", fmt.Sprintf("h%02d", i), tasks(1, 1000)))
	}
	w.cycle()
	assert.Equal(t, w.running(), 16, "room is idle although work waits")
	for i := range 8 {
		w.submit(jobOf("calm", fmt.Sprintf("z%02d", i), tasks(1, 1000)))
	}
	w.finishAll()
	w.cycle()
	for i := range 8 {
		assert.Equal(t, w.state(fmt.Sprintf("z%02d", i)), Active, "job %d of the calm account waits behind the flood", i)
	}
	assert.Equal(t, w.running(), 16, "room is idle although work waits")
}

func TestJobsBeyondTheRateComeLast(t *testing.T) {
	w, o := newOwnedCluster(t, 1) // room for 4 tasks
	o.st.Limits.RateWindow = time.Second
	o.st.SetAccounts([]work.Account{{Name: "hot", Weight: 4}, {Name: "b", Weight: 1}, {Name: "c", Weight: 100}})
	w.submit(newJob("full", tasks(4, 1000)))
	w.cycle()
	for i := range 8 {
		w.submit(jobOf("hot", fmt.Sprintf("a%d", i), tasks(1, 1000)))
	}
	w.submit(jobOf("c", "z", tasks(1, 1000)))
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.state("z"), Active)
	w.finishAll()
	w.cycle()
	for i := range 8 {
		assert.Equal(t, o.st.jobs[fmt.Sprintf("a%d", i)].excess, i >= 4)
	}
	w.finishAll()
	w.cycle()
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.state("a7"), Completed, "work beyond the rate runs when there is room")
}

func TestRateRefills(t *testing.T) {
	now := time.Unix(100, 0)
	a := &clientAccount{Account: work.Account{Weight: 2}}
	taken := func(at time.Time) int {
		n := 0
		for a.takePermit(at, time.Second) {
			n++
		}
		return n
	}
	assert.Equal(t, taken(now), 2)
	assert.Equal(t, taken(now.Add(500*time.Millisecond)), 1)
	assert.Equal(t, taken(now.Add(time.Hour)), 2)
	assert.Equal(t, taken(now), 0, "a clock that goes back gives nothing")
}

// Guards against accounts that make every decision slower.
func BenchmarkDecideWithAccounts(b *testing.B) {
	for _, n := range []int{0, 1, 190} {
		b.Run(fmt.Sprintf("%d accounts", n), func(b *testing.B) {
			w := newSimCluster(b, 50)
			o := w.takeOver()
			w.cycle()
			var as []work.Account
			for i := range n {
				as = append(as, work.Account{Name: fmt.Sprint("a", i), Weight: 1, Limit: work.Size{CPU: 1e6}})
			}
			o.st.SetAccounts(as)
			for _, a := range as {
				o.st.SetAllowance(a.Name, work.Size{CPU: 1e6})
			}
			for i := range 500 {
				j := newJob(fmt.Sprintf("%04d", i), tasks(10, 1000))
				if n > 0 {
					j.Account = as[i%n].Name
				}
				o.st.Submit(w.now, j)
			}
			now := w.now
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(recheckInterval)
				o.st.Decide(now, now, QueryCapacity{})
				o.st.TakeActions()
			}
		})
	}
}

// Guards against a need that the limit can never let through, for which the other
// services would go without for ever.
func TestLeastNeedIsOfWhatCanEverRun(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	limitAccount(o, work.Account{Name: "a", Weight: 1, Limit: work.Size{CPU: 3000}}, 0)
	gang := tasks(5, 1000)
	gang.Gang = true
	w.submit(jobOf("a", "never", gang))
	w.cycle()
	assert.Equal(t, o.st.AccountUses()[0].Demand.Least, work.Size{})
	gang.Tasks = 3
	w.submit(jobOf("a", "gang", gang))
	w.cycle()
	assert.Equal(t, o.st.AccountUses()[0].Demand.Least, work.Size{CPU: 3000})
	w.submit(jobOf("a", "small", tasks(9, 500)))
	w.cycle()
	assert.Equal(t, o.st.AccountUses()[0].Demand.Least, work.Size{CPU: 500})
}
