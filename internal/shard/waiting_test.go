package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// queryingOwner answers the placement queries of an owner.
type queryingOwner struct {
	*simOwner
	free     QueryCapacity
	allowed  map[string]bool
	hopeless map[string]bool // jobs that may run nowhere
	named    []string        // minions in the queries so far
}

// run decides and answers queries for a time.
func (q *queryingOwner) run(d time.Duration) {
	w := q.cluster
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(50 * time.Millisecond)
		for _, b := range w.minions {
			q.renew(b)
		}
		q.st.Decide(w.now, w.now, q.free)
		for _, a := range q.st.TakeActions().Queries {
			tickets := map[string]string{}
			for _, id := range a.IDs {
				q.named = append(q.named, id)
				if q.allowed[id] && !q.hopeless[a.Step.Job] {
					tickets[id] = "t"
				}
			}
			q.st.HandleAdvice(w.now, w.now, a, tickets, time.Second, nil)
		}
		if q.batch == nil {
			b, err := q.st.TakeBatch()
			assert.NilError(w.t.(*testing.T), err)
			q.batch = &b
		}
		q.commit(true)
		w.deliver(len(w.inFlight))
	}
}

func newQueryingOwner(t *testing.T, minions int, allowed ...string) *queryingOwner {
	_, o := newOwnedCluster(t, minions)
	q := &queryingOwner{simOwner: o, free: QueryCapacity{Total: 1, Slow: 1, SlowFrom: time.Second}, allowed: map[string]bool{}, hopeless: map[string]bool{}}
	for _, id := range allowed {
		q.allowed[id] = true
	}
	return q
}

func advisedJob(id string, st work.Step) *work.Job {
	j := newJob(id, st)
	j.Advice = &work.AdviceTiming{Decide: 10 * time.Millisecond, Each: time.Millisecond, Valid: time.Second}
	return j
}

// addMinion adds a minion to the cluster and tells the owner of it.
func (q *queryingOwner) addMinion(id string) {
	w := q.cluster
	b := &simMinion{cluster: w, Minion: work.Minion{Incarnation: work.Incarnation{ID: id}, Service: "s", Address: "a", Capacity: work.Size{CPU: 4000, Mem: 4000}, Labels: []string{"r0"}}}
	b.restart()
	w.minions = append(w.minions, b)
	q.st.UpdateMinion(w.now, b.Minion, w.now)
}

// loseMinion ends a minion for good; others get its address.
func (q *queryingOwner) loseMinion(id string) {
	w := q.cluster
	b := w.minion(id)
	b.up, b.runs = false, map[runKey]work.Size{}
	w.minions = slices.DeleteFunc(w.minions, func(x *simMinion) bool { return x == b })
	q.st.UnlistMinion(w.now, id)
	q.st.HandleReplaced(w.now, b.Incarnation)
}

// Jobs that come all the time and are more urgent may use all queries, or all
// that may be slow.
func TestLateStepIsQueriedAboutWhileUrgentOnesUseAllQueries(t *testing.T) {
	for _, free := range []QueryCapacity{{Total: 1, Slow: 1, SlowFrom: time.Second}, {Total: 3, Slow: 1}} {
		q := newQueryingOwner(t, 2)
		q.free = free
		w := q.cluster
		st := tasks(1, 3000)
		st.Label = "r1"
		w.submit(advisedJob("late", st))
		q.run(10 * time.Second)
		assert.Equal(t, len(q.named), 0)
		q.addMinion("n0")
		w.minion("n0").Labels = []string{"r1"}
		q.st.UpdateMinion(w.now, w.minion("n0").Minion, w.now)
		q.allowed["n0"] = true
		for i := range 100 {
			j := advisedJob(fmt.Sprint("urgent", i), tasks(1, 1000))
			q.hopeless[j.ID] = true
			w.submit(j)
			q.run(50 * time.Millisecond)
		}
		assert.Equal(t, w.running(), 1, "%+v", free)
	}
}

func TestStepRunsAfterTheMinionsAllowedForItAreGone(t *testing.T) {
	q := newQueryingOwner(t, 4, "m0", "m1", "m2", "n0")
	w := q.cluster
	w.submit(advisedJob("a", tasks(1, 3000)))
	q.run(time.Second)
	assert.Equal(t, w.running(), 1)
	for _, id := range []string{"m0", "m1", "m2"} {
		q.loseMinion(id)
	}
	q.addMinion("n0")
	q.run(15 * time.Second)
	assert.Equal(t, w.running(), 1, "named: %v", q.named)
}

func TestStepRunsOnANewMinionWhileTheAllowedOnesAreFull(t *testing.T) {
	for _, lasting := range []bool{true, false} {
		q := newQueryingOwner(t, 3, "m0", "m1", "m2", "n0")
		w := q.cluster
		services := tasks(3, 3000)
		services.Lasting = true
		st := tasks(1, 3000)
		st.Lasting = lasting
		w.submit(newJob("full", services))
		q.run(time.Second)
		w.submit(advisedJob("a", st))
		q.run(time.Second)
		assert.Equal(t, w.running(), 3)
		q.addMinion("n0")
		q.run(3 * time.Second)
		assert.Equal(t, w.running(), 4, "named: %v", q.named)
	}
}

func TestLastingTaskDoesNotWaitForRoomThatOthersHaveReserved(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	long := tasks(1, 3000)
	long.Estimate = time.Minute
	gang := tasks(2, 3000)
	gang.Gang = true
	service := tasks(1, 2000)
	service.Lasting = true
	w.submit(newJob("long", long))
	w.cycle()
	w.submit(newJob("gang", gang))
	w.cycle()
	assert.Assert(t, o.st.jobs["gang"].rounds[0].steps[0].hasReservations)
	w.submit(newJob("service", service))
	for range 20 {
		w.pass(200 * time.Millisecond)
		w.cycle()
	}
	assert.Equal(t, w.running(), 2)
}

// A step that has been queried about everywhere and may run nowhere waits
// longest, but needs no query.
func TestStepWithoutFurtherQueriesDoesNotTakeTheTurnOfOthers(t *testing.T) {
	q := newQueryingOwner(t, 2)
	w := q.cluster
	nowhere := advisedJob("nowhere", tasks(1, 3000))
	q.hopeless[nowhere.ID] = true
	w.submit(nowhere)
	q.run(time.Second)
	st := tasks(1, 3000)
	st.Label = "r1"
	w.submit(advisedJob("late", st))
	q.run(10 * time.Second)
	q.addMinion("n0")
	w.minion("n0").Labels = []string{"r1"}
	q.st.UpdateMinion(w.now, w.minion("n0").Minion, w.now)
	q.allowed["n0"] = true
	for i := range 100 {
		j := advisedJob(fmt.Sprint("urgent", i), tasks(1, 1000))
		q.hopeless[j.ID] = true
		w.submit(j)
		q.run(50 * time.Millisecond)
	}
	assert.Equal(t, w.running(), 1)
}

// Room is held for a step with an expired ticket while no query can be issued.
func TestLastingTaskDoesNotWaitForRoomThatIsHeldForTickets(t *testing.T) {
	q := newQueryingOwner(t, 1, "m0")
	w := q.cluster
	w.submit(newJob("full", tasks(1, 3000)))
	q.run(time.Second)
	w.submit(advisedJob("late", tasks(1, 3000)))
	q.run(2 * time.Second)
	q.free = QueryCapacity{}
	for k := range w.minions[0].runs {
		w.finish(w.minions[0], k, work.Done)
	}
	q.run(500 * time.Millisecond)
	service := tasks(1, 2000)
	service.Lasting = true
	w.submit(newJob("service", service))
	q.run(5 * time.Second)
	assert.Equal(t, w.running(), 1)
}
