package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

func TestTicketsAreRenewedBeforeUse(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	j := newJob("a", tasks(1, 4000))
	j.Advice = &work.AdviceTiming{Decide: 10 * time.Millisecond, Each: time.Millisecond, Valid: time.Second}
	w.submit(j)
	free := QueryCapacity{Total: 1, Slow: 1, SlowFrom: time.Second}
	o.st.Decide(w.now, w.now, free)
	asks := o.st.TakeActions().Queries
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, len(asks[0].IDs), 2)
	o.st.HandleAdvice(w.now, w.now, asks[0], map[string]string{"m1": "t1"}, time.Second, nil)
	w.pass(2 * time.Second)
	for _, b := range w.minions {
		o.renew(b)
	}
	o.st.Decide(w.now, w.now, free)
	b, err := o.st.TakeBatch()
	assert.NilError(t, err)
	assert.Equal(t, len(b.Starts), 0, "the ticket has expired")
	asks = o.st.TakeActions().Queries
	assert.Equal(t, len(asks), 1)
	assert.DeepEqual(t, asks[0].IDs, []string{"m1"})
	o.st.HandleAdvice(w.now, w.now, asks[0], map[string]string{"m1": "t2"}, time.Second, nil)
	o.st.Decide(w.now, w.now, free)
	b, err = o.st.TakeBatch()
	assert.NilError(t, err)
	assert.Equal(t, len(b.Starts), 1)
	assert.Equal(t, b.Starts[0].Start.Ticket, "t2")
	assert.Equal(t, b.Starts[0].Minion.ID, "m1")
}

// A lasting task must not wait for the ticket of the fullest minion while it has
// one for another.
func TestLastingTaskStartsWhereItHasATicket(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("other", tasks(1, 2000)))
	w.cycle()
	full := w.busiest()
	j := newJob("a", lastingTasks(1))
	j.Advice = &work.AdviceTiming{Decide: 700 * time.Millisecond, Valid: 2 * time.Second}
	w.submit(j)
	o.st.Decide(w.now, w.now, QueryCapacity{}) // begins the job
	a := &o.st.jobs["a"].rounds[0].steps[0].advice
	a.restore([]string{"m0", "m1"})
	for _, b := range w.minions {
		if b != full {
			a.eligible[b.ID] = ticket{"t", w.now.Add(time.Second), b.Born}
		}
	}
	w.pass(recheckInterval)
	w.cycle()
	assert.Equal(t, w.running(), 2)
	assert.Equal(t, len(full.runs), 1)
}

// Guards against LOST: with more steps than can be queried about, those without tickets
// held the room of nearly all minions, and those with tickets waited.
func TestRoomIsHeldForTicketsOnlyDuringAQuery(t *testing.T) {
	for _, free := range []QueryCapacity{{}, {Total: 1, Slow: 1, SlowFrom: time.Second}} {
		w, o := newOwnedCluster(t, 1)
		w.submit(advisedJob("first", tasks(1, 3000)), advisedJob("second", tasks(1, 3000)))
		o.st.Decide(w.now, w.now, QueryCapacity{}) // begins the jobs
		for _, id := range []string{"first", "second"} {
			o.st.jobs[id].rounds[0].steps[0].advice.restore([]string{"m0"})
		}
		b := w.minions[0]
		o.st.jobs["second"].rounds[0].steps[0].advice.eligible["m0"] = ticket{"t", w.now.Add(time.Second), b.Born}
		w.pass(recheckInterval)
		o.st.Decide(w.now, w.now, free)
		o.step()
		o.commit(true)
		w.deliver(len(w.inFlight))
		assert.Equal(t, w.runsOf("second") > 0, free.Total == 0, "%+v", free)
	}
}

func TestAdviceIsAskedAheadOfAShortStepsTurn(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	second := tasks(1, 1000)
	second.After = []int{0}
	j := newJob("a", tasks(1, 1000), second)
	j.Advice = &work.AdviceTiming{Decide: 10 * time.Millisecond, Valid: 2 * time.Second}
	w.submit(j)
	free := QueryCapacity{Total: 2, Slow: 2, SlowFrom: time.Second}
	o.st.Decide(w.now, w.now, free)
	asks := o.st.TakeActions().Queries
	assert.Equal(t, len(asks), 1)
	o.st.HandleAdvice(w.now, w.now, asks[0], map[string]string{"m0": "t", "m1": "t"}, 2*time.Second, nil)
	o.st.Decide(w.now, w.now, free)
	asks = o.st.TakeActions().Queries
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, asks[0].Step.Step, 1)
}

// A minion that is unknown when the answer about it arrives must be queried
// again once it is back.
func TestMinionsThatWereAwayAreAskedAboutAgain(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	j := newJob("a", tasks(1, 1000))
	j.Advice = &work.AdviceTiming{Decide: 10 * time.Millisecond, Valid: 2 * time.Second}
	w.submit(j)
	asks := func() []AdviceQuery {
		o.st.Decide(w.now, w.now, QueryCapacity{Total: 4, Slow: 4, SlowFrom: time.Second})
		return o.st.TakeActions().Queries
	}
	first := asks()
	assert.Equal(t, len(first), 1)
	b := w.minions[0]
	b.crashedAt = w.now
	o.st.UnlistMinion(w.now, b.ID)
	o.st.HandleNoReply(w.now, b.Incarnation)
	w.pass(10 * time.Second)
	assert.Equal(t, len(asks()), 0)
	o.st.HandleAdvice(w.now, w.now, first[0], map[string]string{b.ID: "t"}, 2*time.Second, nil)
	b.crashedAt = time.Time{}
	w.writeRow(b)
	w.cycle()
	w.pass(time.Second)
	again := asks()
	assert.Equal(t, len(again), 1)
	assert.DeepEqual(t, again[0].IDs, []string{b.ID})
}

// A gang queries as many minions at once as are expected to give it enough
// choice: more for a wide gang, and more if fewer minions are eligible.
func TestGangQueriesInParallel(t *testing.T) {
	for _, c := range []struct {
		width, eligible, want int // eligible: of 100 minions in earlier queries
	}{{5, 75, 1}, {30, 75, 2}, {5, 30, 1}, {20, 30, 2}, {25, 30, 3}} {
		p := newReplay(workload{minions: 300, room: work.Size{CPU: 64000, Mem: 64000}, zones: 1, queryLimit: 10}, 1)
		for _, m := range p.minions {
			p.report(m)
		}
		j := newJob("a", work.Step{Tasks: c.width, Size: work.Size{CPU: 18000}, Gang: true, Estimate: time.Second})
		a := newAdvice(700, 10, 2000)
		j.Advice = &a
		p.st.observeShare(j.Queue, 100, c.eligible)
		p.st.Submit(p.now, j)
		for range 3 {
			p.now = p.now.Add(tick)
			p.st.Decide(p.now, p.now, QueryCapacity{Total: 10, Slow: 10, SlowFrom: time.Second})
		}
		qs := p.st.TakeActions().Queries
		assert.Equal(t, len(qs), c.want, "%+v", c)
		named := map[string]bool{}
		for _, q := range qs {
			for _, id := range q.IDs {
				assert.Check(t, !named[id], "%s is named twice", id)
				named[id] = true
			}
		}
	}
}

// Work on a silent minion must not wait for its tickets once its leases have ended.
func TestTicketsForLostWorkAreThereWhenItsLeaseEnds(t *testing.T) {
	for _, successor := range []bool{false, true} {
		w, o := newOwnedCluster(t, 3)
		j := newJob("a", lastingTasks(2))
		j.Advice = &work.AdviceTiming{Decide: 700 * time.Millisecond, Valid: 2 * time.Second}
		w.submit(j)
		a := adviser{w: w}
		a.work(o, 5*time.Second) // the tickets expire
		assert.Equal(t, w.running(), 2)
		w.busiest().crash()
		crashed := w.now
		a.work(o, time.Second)
		if successor {
			o, a = w.takeOver(), adviser{w: w}
		}
		for w.running() < 2 && w.now.Sub(crashed) < time.Minute {
			a.work(o, simTick)
		}
		took := w.now.Sub(crashed)
		assert.Assert(t, took <= w.limits.Lease+500*time.Millisecond, "successor %v: took %v", successor, took)
	}
}

// adviser is a placement service that allows everything, and takes its time.
type adviser struct {
	w       *simCluster
	pending []AdviceQuery
	due     []time.Time // of the answers to pending
}

// work lets an owner work for a time.
func (a *adviser) work(o *simOwner, d time.Duration) {
	w := a.w
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(simTick)
		a.answer(o)
		for _, b := range w.minions {
			o.renew(b)
		}
		o.readStoreClock()
		o.st.Decide(w.now, w.now, QueryCapacity{Total: 4, Slow: 4, SlowFrom: time.Second})
		for _, q := range o.st.TakeActions().Queries {
			a.pending, a.due = append(a.pending, q), append(a.due, w.now.Add(q.Cost))
		}
		b, err := o.st.TakeBatch()
		assert.NilError(w.t.(*testing.T), err)
		o.batch = &b
		o.commit(true)
		w.deliver(len(w.inFlight))
	}
}

// answer gives the answers that are due.
func (a *adviser) answer(o *simOwner) {
	for len(a.due) > 0 && !a.w.now.Before(a.due[0]) {
		tickets := map[string]string{}
		for _, id := range a.pending[0].IDs {
			tickets[id] = "t"
		}
		o.st.HandleAdvice(a.w.now, a.w.now, a.pending[0], tickets, 2*time.Second, nil)
		a.pending, a.due = a.pending[1:], a.due[1:]
	}
}
