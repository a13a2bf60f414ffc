package shard

import (
	"cmp"
	"maps"
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
	lostLead        = 1500 * time.Millisecond // from which on its work asks for tickets, and lasting tasks reserve places
	lostTicketSpare = 300 * time.Millisecond  // which a ticket has to outlast
)

// lostWork is the work of a step on silent minions.
type lostWork struct {
	*step
	runs        int
	first, last time.Time // ends of the leases there
}

// queryForLost requests the tickets with which the work on silent minions can
// start elsewhere as soon as its leases have ended, that first which ends first.
func (v *view) queryForLost() {
	if v.now.Before(v.s.lostLookAt) {
		return
	}
	v.s.lostLookAt = v.now.Add(aheadInterval)
	lost := map[*step]*lostWork{}
	for _, m := range v.ms {
		if m.closed && len(m.runs) > 0 {
			v.addLost(lost, m)
		}
	}
	all := slices.SortedFunc(maps.Values(lost), func(a, b *lostWork) int {
		return cmp.Or(a.first.Compare(b.first), cmp.Compare(a.job.ID, b.job.ID), cmp.Compare(a.round.number, b.round.number), cmp.Compare(a.index, b.index))
	})
	for _, l := range all {
		if v.s.queryCapacity.Total == 0 {
			return
		}
		if l.first.Sub(v.now) < lostLead {
			v.queryForLostStep(l)
		}
	}
}

// addLost adds the work on a silent minion about which there are queries.
func (v *view) addLost(lost map[*step]*lostWork, m *minion) {
	end := v.s.givenUpAt(m)
	for _, r := range m.runs {
		if !r.isCurrent(m) || r.stopping || r.step.job.Advice == nil || r.step.Gang || r.step.mustRun() {
			continue
		}
		l := lost[r.step]
		if l == nil {
			l = &lostWork{step: r.step, first: end}
			lost[r.step] = l
		}
		l.runs++
		if end.Before(l.first) {
			l.first = end
		}
		l.last = maxTime(l.last, end)
	}
}

// queryForLostStep requests the tickets that a plan for the work would lack, and
// with them those of other minions that have room, since until the leases have
// ended others may take what the plan counts on.
func (v *view) queryForLostStep(l *lostWork) {
	p, a := l.step, &l.step.advice
	ahead := time.Duration(queryAheadShare * float64(p.job.Advice.Valid))
	if a.inFlight > 0 || v.now.Before(a.nextQuery) || l.last.Sub(v.now) > ahead {
		return
	}
	scored := v.scoreMinions(p)
	lacks := func(sm *scoredMinion) bool {
		return sm.eligibility != eligible || sm.ticket.expires.Before(l.last.Add(lostTicketSpare))
	}
	var ids []string
	if plan := planTasks(p, scored, l.runs); len(plan) < l.runs {
		ids = v.unqueriedMinions(p, len(a.eligible) > 0)
	} else if !slices.ContainsFunc(plan, lacks) {
		return
	}
	for _, sm := range scored {
		if lacks(sm) && len(ids) < minQueryMinions {
			ids = append(ids, sm.ID)
		}
	}
	v.s.query(v.now, p, ids)
}
