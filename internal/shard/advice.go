package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// advice is the state of the placement queries about one step.
type advice struct {
	inFlight   int               // queries without an answer
	queried    map[string]bool   // minions that queries have named; those that are gone are dropped when the set of minions changes
	eligible   map[string]ticket // those of them that may run the step
	sorted     []*minion         // eligible, sorted by ID, as of epoch
	epoch      int64
	unsorted   bool      // sorted lacks some of eligible
	nextQuery  time.Time // no query about further minions before this time
	retryAfter time.Time // no query at all before this time, because the last one failed
}

// ticket permits starts on one incarnation of a minion for a limited time.
// Eligibility for the step does not change; only the ticket has to be renewed.
type ticket struct {
	text    string
	expires time.Time
	born    int64 // Incarnation.Born of the minion when the ticket was issued
}

// expireTicket discards a ticket that a minion has rejected.
func (a *advice) expireTicket(id string) {
	if t, ok := a.eligible[id]; ok {
		t.expires = time.Time{}
		a.eligible[id] = t
	}
}

// restore records the minions that a previous owner found eligible. Their
// tickets have to be requested again.
func (a *advice) restore(ids []string) {
	a.eligible, a.queried, a.unsorted = map[string]ticket{}, map[string]bool{}, true
	for _, id := range ids {
		a.eligible[id], a.queried[id] = ticket{}, true
	}
}

// pruneAdvice drops what queries have told about minions that are gone. If one
// of them returns it is queried again.
func (s *State) pruneAdvice(a *advice) {
	gone := func(id string) bool { return s.minions[id] == nil }
	maps.DeleteFunc(a.eligible, func(id string, _ ticket) bool { return gone(id) })
	maps.DeleteFunc(a.queried, func(id string, _ bool) bool { return gone(id) })
}

// ticketMargin is subtracted from the stated validity of a ticket.
const ticketMargin = 150 * time.Millisecond

// eligibility tells whether a minion may run tasks of a step.
type eligibility int8

const (
	ineligible    eligibility = iota // may not run it, or has not been queried
	ticketExpired                    // may run it once its ticket is renewed
	eligible                         // may run it now
)

func (p *step) eligibility(now time.Time, m *minion) (eligibility, ticket) {
	if p.job.Advice == nil {
		return eligible, ticket{}
	}
	t, ok := p.advice.eligible[m.ID]
	if !ok {
		return ineligible, t
	}
	if t.born != m.Born || now.After(t.expires) {
		return ticketExpired, t
	}
	return eligible, t
}

// Limits on placement queries.
const (
	minQueryMinions     = 16
	maxQueryMinions     = 60
	queryMinionsPerTask = 4 // minions named per task needed, because many are not eligible
	spareTicketMinions  = 2 // minions named beyond those of a gang whose tickets are renewed
	extraMinionsPerTask = 2 // minions named for each task that a plan leaves unplaced
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

// eligibleShare is the share of the minions named in queries that were eligible.
// The zero value has no observations.
type eligibleShare struct {
	named, eligible float64
}

// Parameters of the observed share.
const (
	defaultShare = 0.75  // before the first observation
	minShare     = 0.05  // so that a queue without eligible minions does not query all of them at once
	shareDecay   = 0.995 // weight of earlier queries at each new one
)

// observe adds a reply.
func (e *eligibleShare) observe(named, eligible int) {
	e.named = shareDecay*e.named + float64(named)
	e.eligible = shareDecay*e.eligible + float64(eligible)
}

// share returns the share of minions that are expected to be eligible.
func (e *eligibleShare) share() float64 {
	if e == nil || e.named == 0 {
		return defaultShare
	}
	return max(minShare, e.eligible/e.named)
}

// observeShare learns from a reply about minions that had not been queried
// before.
func (s *State) observeShare(queue string, named, eligible int) {
	if s.eligibleShares[queue] == nil {
		s.eligibleShares[queue] = &eligibleShare{}
	}
	s.eligibleShares[queue].observe(named, eligible)
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
	need := p.waiting
	if p.PerMinion != 1 {
		need = (need + 1) / 2
	}
	return min(max(queryMinionsPerTask*need, minQueryMinions), maxQueryMinions)
}

// unqueriedMinions lists minions that no query has named yet and that could run
// a task of the step: those with room first, one zone after the other, those
// where fill tasks and targets would mix later. The starting point advances with each call so that steps do not all compete for
// the same minions.
func (v *view) unqueriedMinions(p *step, needRoom bool) []string {
	n := v.s.queryLimit(p)
	need := p.Reserved()
	var ids, mixed, full []string
	for _, r := range v.zonesFor(p) {
		for i := range r.ms {
			m := r.ms[(int(v.s.queryOffset)+i)%len(r.ms)]
			if p.advice.queried[m.ID] || !m.usable(v.now) || !p.suits(m) {
				continue
			}
			switch {
			case m.free().CanFit(need) && !p.mixes(m):
				ids = append(ids, m.ID)
			case m.free().CanFit(need):
				mixed = append(mixed, m.ID)
			case !needRoom:
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
	ids = slices.Concat(ids, mixed, full)
	return ids[:min(n, len(ids))]
}

// HandleAdvice processes the reply to a query; answeredAt is when the service
// answered.
func (s *State) HandleAdvice(now, answeredAt time.Time, a AdviceQuery, tickets map[string]string, valid time.Duration, err error) {
	p := s.stepOf(a.Step)
	if p == nil {
		return
	}
	p.advice.inFlight--
	p.checkAt = time.Time{}
	if err != nil {
		for _, id := range a.IDs {
			if _, ok := p.advice.eligible[id]; !ok {
				delete(p.advice.queried, id)
			}
		}
		p.advice.retryAfter = now.Add(queryRetryDelay)
		s.note(Note{What: PlacementQueryFailed, Job: a.Step.Job, Task: a.Step.StepID(), Why: err.Error()})
		return
	}
	s.note(Note{What: PlacementAnswered, Job: a.Step.Job, Task: a.Step.StepID(), Why: fmt.Sprintf("%d of %d minions are allowed", len(tickets), len(a.IDs))})
	known := len(p.advice.eligible)
	if !a.renewal {
		s.observeShare(p.job.Queue, len(a.IDs), len(tickets))
	}
	for _, id := range a.IDs {
		// A minion that is unknown at present is queried again later.
		p.advice.queried[id] = s.minions[id] != nil
	}
	for id, text := range tickets {
		m := s.minions[id]
		if m == nil {
			continue
		}
		p.advice.eligible[id] = ticket{text, answeredAt.Add(valid - ticketMargin), m.Born}
	}
	p.advice.unsorted = p.advice.unsorted || len(p.advice.eligible) > known
	if len(p.advice.eligible) > known && p.slowAdvice() {
		s.markChanged(p.job)
	}
}

// queryAheadShare is the share of a ticket's validity within which a step has to
// become ready for its query to be issued in advance.
const queryAheadShare = 0.6

// queryAhead issues queries for steps that become ready soon, if no waiting step
// needs the capacity. Short steps then start when the previous step ends,
// without the delay of a query.
func (v *view) queryAhead() {
	if !v.s.Policy.QueryAhead {
		return
	}
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
