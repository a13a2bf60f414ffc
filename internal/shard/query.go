package shard

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// The placement service takes long to answer and its tickets expire soon. These
// functions decide which minions are named in a query, and when.

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
	ids := v.unqueriedMinions(p, len(p.advice.eligible) > 0 && !p.mustRun())
	if !p.mustRun() && len(p.advice.eligible) >= enoughEligible*p.waiting && len(ids) < minUsefulQuery && v.now.Sub(p.waitsSince) < p.querySaving() {
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
	for _, m := range v.s.stayingMinions(p) {
		if !slices.Contains(ids, m.ID) {
			ids = append(ids, m.ID)
		}
	}
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
	extra := extraMinionsPerTask * (p.waiting - len(plan))
	if p.Lasting {
		extra += spareLastingMinions
	}
	most := min(len(ids)+extra, minQueryMinions)
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

// Limits on placement queries.
const (
	minQueryMinions     = minionsInObjective
	maxQueryMinions     = 60
	queryMinionsPerTask = 4 // minions named per task needed, because many are not eligible
	spareTicketMinions  = 2 // minions named beyond those of a gang whose tickets are renewed
	extraMinionsPerTask = 2 // minions named for each task that a plan leaves unplaced
	spareLastingMinions = 4 // minions named beyond those of a plan for lasting tasks: others may take the room of those meanwhile
	queryInterval       = 500 * time.Millisecond
	queryRetryDelay     = 50 * time.Millisecond // after a failed query
)

// query issues a placement query about a step if one is possible now, and
// reports whether it did.
func (s *State) query(now time.Time, p *step, ids []string) bool {
	if len(ids) == 0 || now.Before(p.advice.retryAfter) {
		return false
	}
	a := p.job.Advice
	cost := a.Decide + a.Each*time.Duration(len(ids))
	if !s.queryCapacity.take(cost) {
		p.deferredCost = cost
		return false
	}
	switch {
	case p == s.turnOf:
		s.turnOf, s.contendedQueries = nil, 0
	case s.queryCapacity.Slow == 0:
		s.contendedQueries++
	}
	s.note(Note{What: PlacementQueried, Job: p.job.ID, Task: p.id().StepID(), Why: fmt.Sprintf("%d minions, %d allowed so far", len(ids), len(p.advice.eligible))})
	p.advice.inFlight++
	if p.advice.queried == nil {
		p.advice.eligible, p.advice.queried = map[string]ticket{}, map[string]bool{}
	}
	for _, id := range ids {
		p.advice.queried[id] = true
	}
	p.advice.nextQuery = now.Add(queryInterval)
	_, renewal := p.advice.eligible[ids[0]]
	s.actions.Queries = append(s.actions.Queries, AdviceQuery{Step: p.id(), IDs: ids, Cost: cost, renewal: renewal})
	return true
}

// QueryCapacity is the number of placement queries that can be issued at
// present.
type QueryCapacity struct {
	Total    int
	Slow     int           // of these, how many may take SlowFrom or longer
	SlowFrom time.Duration // duration from which a query counts as slow
}

// allows reports whether one more query of the given cost can be issued.
func (a *QueryCapacity) allows(cost time.Duration) bool {
	return a.Total > 0 && (cost < a.SlowFrom || a.Slow > 0)
}

// take reports whether one more query of the given cost can be issued, and
// counts it.
func (a *QueryCapacity) take(cost time.Duration) bool {
	if !a.allows(cost) {
		return false
	}
	a.Total--
	if cost >= a.SlowFrom {
		a.Slow--
	}
	a.Slow = min(a.Slow, a.Total)
	return true
}

// queryLimit returns how many minions a query about the step names. A query
// about a gang names up to GangQueryMinions of them: with more choice it fits
// much sooner.
func (s *State) queryLimit(p *step) int {
	if p.Gang && s.Policy.GangQueryMinions > 0 {
		return s.Policy.GangQueryMinions
	}
	if p.mustRun() {
		return maxQueryMinions
	}
	need := p.waiting
	if p.PerMinion != 1 {
		need = (need + 1) / 2
	}
	return min(max(queryMinionsPerTask*need, minQueryMinions), maxQueryMinions)
}

// unqueriedMinions lists minions that no query has named yet and that could run
// a task of the step: those with room first, one zone after the other, those
// that fill tasks and targets would share later. The starting point advances
// with each call so that steps do not all compete for the same minions.
func (v *view) unqueriedMinions(p *step, needRoom bool) []string {
	n := v.s.queryLimit(p)
	need := p.Reserved()
	var ids, shared, full []string
	for _, r := range v.zonesFor(p) {
		for i := range r.ms {
			m := r.ms[(int(v.s.queryOffset)+i)%len(r.ms)]
			fits := m.free().CanFit(need)
			if needRoom && !fits || p.advice.queried[m.ID] || !m.usable(v.now) || !p.suits(m) {
				continue
			}
			switch {
			case fits && !p.shares(m):
				ids = append(ids, m.ID)
			case fits:
				shared = append(shared, m.ID)
			default:
				full = append(full, m.ID)
			}
			if len(ids) == n {
				break
			}
		}
		if len(ids) == n {
			break
		}
	}
	v.s.queryOffset += uint(n)
	ids = slices.Concat(ids, shared, full)
	return ids[:min(n, len(ids))]
}
