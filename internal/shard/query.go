package shard

// The placement service takes long to answer and its tickets expire soon. These
// functions decide which minions are named in a query, and when.

import (
	"math"
	"slices"
	"time"
)

// queryMore queries further minions for a step that does not fit on the known
// ones. Once some are known to be eligible, only minions with room are useful.
func (v *view) queryMore(c candidate) {
	p := c.step
	if p.job.Advice == nil || p.advice.inFlight > 0 || v.s.queryCapacity.Total == 0 || v.now.Before(p.advice.nextQuery) {
		return
	}
	for n := v.s.parallelQueries(p); n > 0 && v.queryUnqueried(p); n-- {
		continue
	}
}

// queryUnqueried queries minions that no query has named yet, and reports whether
// it did.
func (v *view) queryUnqueried(p *step) bool {
	ids := v.unqueriedMinions(p, len(p.advice.eligible) > 0)
	if len(p.advice.eligible) >= enoughEligible*p.waiting && len(ids) < minUsefulQuery && v.now.Sub(p.waitsSince) < p.querySaving() {
		return false
	}
	return v.s.query(v.now, p, ids)
}

// parallelQueries returns how many queries about a step are issued at once. A
// gang needs room on all its minions at the same time. With enough minions to
// choose from it often finds that when the first answers arrive; otherwise it
// has to reserve room and leave it idle while its tickets are renewed.
func (s *State) parallelQueries(p *step) int {
	if !p.Gang || !s.Policy.ParallelQueries {
		return 1
	}
	names := enoughEligible * float64(p.waiting) / s.eligibleShares[p.job.Queue].share()
	return max(1, int(math.Ceil(names/float64(s.queryLimit(p)))))
}

// A step that already has this many eligible minions for each waiting task
// issues another query only if that can add at least a few more: one of those
// it has is expected to have room soon.
const (
	enoughEligible = 3
	minUsefulQuery = 8
)

// Limits on how long a step waits in order to save a query. The minions that it
// has may be full for good.
const (
	minQuerySaving  = time.Second
	maxQuerySaving  = 3 * time.Second
	savingPerDecide = 10 // by the duration of the query that is saved
)

// querySaving is how long the step waits before it queries even a single minion.
func (p *step) querySaving() time.Duration {
	return min(max(minQuerySaving, savingPerDecide*p.job.Advice.Decide), maxQuerySaving)
}

// renewReservedTickets requests new tickets for the minions that the step has
// reserved room on, and for a few spare ones, unless the tickets are valid for
// long enough: until the reply to a query issued now would arrive, or until the
// room is free. It reports whether the reservation is worth keeping.
func (v *view) renewReservedTickets(p *step, ready time.Duration) bool {
	a := p.job.Advice
	if a == nil || p.advice.inFlight > 0 {
		return true
	}
	ids := p.reservedIDs()
	cost := a.Decide + a.Each*time.Duration(len(ids)+spareTicketMinions)
	if ready > cost {
		p.notBefore = v.now.Add(min(ready-cost, recheckInterval))
		return true
	}
	if !slices.ContainsFunc(ids, func(id string) bool {
		elig, t := p.eligibility(v.send, v.s.minions[id])
		return elig != eligible || t.expires.Before(v.send.Add(max(cost, ready)))
	}) {
		return true
	}
	spare := spareTicketMinions
	for _, sl := range v.slots(p) {
		if spare > 0 && !slices.Contains(ids, sl.ID) {
			ids = append(ids, sl.ID)
			spare--
		}
	}
	return v.s.query(v.now, p, ids)
}

// renewTickets requests the tickets that the plan lacks. Naming one more minion
// costs far less than another query, so if the plan leaves tasks unplaced, other
// eligible minions are named too: they may have room next.
func (v *view) renewTickets(p *step, plan []*scoredMinion) {
	if p.advice.inFlight > 0 {
		return
	}
	var ids []string
	for _, sm := range plan {
		if sm.eligibility == ticketExpired && !slices.Contains(ids, sm.ID) {
			ids = append(ids, sm.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	most := min(len(ids)+extraMinionsPerTask*(p.waiting-len(plan)), minQueryMinions)
	for _, m := range v.s.eligibleMinions(p) {
		if len(ids) >= most {
			break
		}
		if elig, _ := p.eligibility(v.send, m); elig == ticketExpired && m.usable(v.now) && !slices.Contains(ids, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	v.s.query(v.now, p, ids)
}

func lacksTicket(sm *scoredMinion) bool { return sm.eligibility != eligible }
