package shard

import (
	"cmp"
	"slices"
	"time"
)

// queryAheadShare is the share of a ticket's validity within which a step has to
// become ready for its query to be issued in advance.
const queryAheadShare = 0.6

// queryAhead issues queries before their answers are needed, if no waiting step
// needs the capacity: for work on silent minions, and for steps that become ready
// soon. Tasks then start without the delay of a query.
func (v *view) queryAhead() {
	if !v.s.Policy.QueryAhead {
		return
	}
	v.queryForLost()
	v.queryForNext()
}

// queryForNext issues queries for steps that become ready soon. Short steps then
// start when the previous step ends.
func (v *view) queryForNext() {
	for _, p := range v.s.queue {
		if v.s.queryCapacity.Total == 0 {
			return
		}
		if len(p.After) == 0 || p.job.Advice == nil || p.advice.inFlight > 0 || len(v.s.eligibleMinions(p)) > 0 || v.now.Before(p.advice.nextQuery) {
			continue
		}
		if p.startsSoon() {
			v.s.query(v.now, p, v.unqueriedMinions(p, false))
		}
	}
}

// startsSoon reports whether the step is not ready yet but will be while a
// ticket issued now is valid.
func (p *step) startsSoon() bool {
	if p.waiting == 0 || p.ready() {
		return false
	}
	limit := time.Duration(queryAheadShare * float64(p.job.Advice.Valid))
	for _, a := range p.After {
		if q := p.round.steps[a]; q.waiting > 0 || q.runTime > limit {
			return false
		}
	}
	return true
}

// Times before the end of the leases of a silent minion.
const (
	lostQueryLead   = 1500 * time.Millisecond // from which on queries are issued for the work there
	lostTicketSpare = 300 * time.Millisecond  // which a ticket has to outlast
)

// lostWork is the work of a step on a silent minion.
type lostWork struct {
	*step
	runs int
	end  time.Time // of the leases there
}

// queryForLost requests the tickets with which the work on silent minions can
// start elsewhere as soon as its leases have ended, those first that end first.
func (v *view) queryForLost() {
	var all []lostWork
	for _, m := range v.ms {
		if end := v.s.leaseExpiry(m); m.closed && len(m.runs) > 0 && end.Sub(v.now) < lostQueryLead {
			all = append(all, m.lostWork(end)...)
		}
	}
	slices.SortStableFunc(all, func(a, b lostWork) int {
		return cmp.Or(a.end.Compare(b.end), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.round.number, b.round.number), cmp.Compare(a.index, b.index))
	})
	for _, l := range all {
		if v.s.queryCapacity.Total == 0 {
			return
		}
		v.queryForLostStep(l)
	}
}

// lostWork returns the work on a silent minion that has to start elsewhere once
// its leases have ended, if there are queries about it.
func (m *minion) lostWork(end time.Time) []lostWork {
	runs := map[*step]int{}
	for _, r := range m.runs {
		if r.isCurrent(m) && !r.stopping && r.step.job.Advice != nil && !r.step.Gang {
			runs[r.step]++
		}
	}
	out := make([]lostWork, 0, len(runs))
	for p, n := range runs {
		out = append(out, lostWork{p, n, end})
	}
	return out
}

// queryForLostStep requests the tickets that a plan for the work would lack.
func (v *view) queryForLostStep(l lostWork) {
	p, a := l.step, &l.step.advice
	ahead := time.Duration(queryAheadShare * float64(p.job.Advice.Valid))
	if a.inFlight > 0 || v.now.Before(a.nextQuery) || l.end.Sub(v.now) > ahead {
		return
	}
	plan := planTasks(p, v.scoreMinions(p), l.runs)
	var ids []string
	for _, sm := range plan {
		lacks := sm.eligibility != eligible || sm.ticket.expires.Before(l.end.Add(lostTicketSpare))
		if lacks && !slices.Contains(ids, sm.ID) {
			ids = append(ids, sm.ID)
		}
	}
	if len(plan) < l.runs {
		ids = append(ids, v.unqueriedMinions(p, len(a.eligible) > 0)...)
	}
	v.s.query(v.now, p, ids)
}
