package shard

import (
	"fmt"
	"time"
)

// advice is what the placement service has said about one step.
type advice struct {
	inFlight   bool
	queried    map[string]bool   // minions that were named in a question
	eligible   map[string]ticket // minions that may run the step
	sorted     []*minion         // the same, by id, as of epoch
	epoch      int64
	unsorted   bool      // list lacks some
	nextQuery  time.Time // no further question about other minions before
	retryAfter time.Time // no question at all before, since the last one failed
}

// ticket allows starts on one life of a minion, for a time. Whether a minion
// may run the step does not change; only the ticket has to be renewed.
type ticket struct {
	text    string
	expires time.Time
	born    int64 // the minion's birth when the ticket was given
}

// forget drops a ticket that a minion did not take.
func (a *advice) expireTicket(id string) {
	if t, ok := a.eligible[id]; ok {
		t.expires = time.Time{}
		a.eligible[id] = t
	}
}

// know notes minions that a predecessor was told are allowed; tickets for them
// have to be asked for.
func (a *advice) restore(ids []string) {
	a.eligible, a.queried, a.unsorted = map[string]ticket{}, map[string]bool{}, true
	for _, id := range ids {
		a.eligible[id], a.queried[id] = ticket{}, true
	}
}

// ticketMargin is how much earlier than told a ticket is taken to end.
const ticketMargin = 150 * time.Millisecond

// pass says what a minion may do with tasks of the step.
type eligibility int8

const (
	ineligible    eligibility = iota // may not run it, or was not asked about
	ticketExpired                    // may, once its ticket is renewed
	eligible                         // may now
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

// Bounds on questions.
const (
	minQueryMinions     = 16
	maxQueryMinions     = 60
	queryMinionsPerTask = 4 // minions named for each that is needed, since many are not allowed
	spareTicketMinions  = 2 // minions named beyond those of a gang whose tickets are renewed
	extraMinionsPerTask = 2 // minions named for each task that a plan leaves over
	queryInterval       = 500 * time.Millisecond
	queryRetryDelay     = 50 * time.Millisecond // after a question that failed
)

// ask adds a question about a step, if one may be asked now, and says whether it did.
func (s *State) query(now time.Time, p *step, ids []string) bool {
	if len(ids) == 0 || p.advice.inFlight || now.Before(p.advice.retryAfter) {
		return false
	}
	a := p.job.Advice
	cost := a.Decide + a.Each*time.Duration(len(ids))
	if !s.queryCapacity.take(cost) {
		p.deferredCost = cost
		return false
	}
	s.note(Note{What: "ask", Job: p.job.ID, Task: p.id().StepID(), Why: fmt.Sprintf("%d minions, %d allowed so far", len(ids), len(p.advice.eligible))})
	p.advice.inFlight = true
	p.advice.nextQuery = now.Add(queryInterval)
	s.actions.Queries = append(s.actions.Queries, AdviceQuery{
		Step: p.id(),
		IDs:  ids,
		Cost: cost,
	})
	return true
}

// Askers says how many questions can be asked at present.
type QueryCapacity struct {
	Total    int
	Slow     int           // of these, how many may take From or longer
	SlowFrom time.Duration // the time from which on a question is long
}

// could says whether one more question can be asked that takes cost.
func (a *QueryCapacity) allows(cost time.Duration) bool {
	return a.Total > 0 && (cost < a.SlowFrom || a.Slow > 0)
}

// take says whether one more question can be asked that takes cost, and counts it.
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

// named is how many minions a question about the step names. A gang is named
// all that there are: it fits far sooner where it may choose.
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

// unasked lists minions that the service was not asked about and that could run
// a task of the step, those with room for one first, and one zone's before the
// next one's. Others come first each time, so that steps do not crowd on the
// same minions.
func (v *view) unqueriedMinions(p *step, needRoom bool) []string {
	n := v.s.queryLimit(p)
	need := p.Reserved()
	var ids, full []string
	for _, r := range v.zonesFor(p) {
		for i := range r.ms {
			m := r.ms[(int(v.s.queryOffset)+i)%len(r.ms)]
			if p.advice.queried[m.ID] || !m.usable(v.now) || !p.suits(m) || p.conflicts(m) {
				continue
			}
			if m.free().Fits(need) {
				ids = append(ids, m.ID)
			} else if !needRoom {
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
	ids = append(ids, full...)
	return ids[:min(n, len(ids))]
}

// Advised takes in an answer about a step; given is when the service answered.
func (s *State) HandleAdvice(now, answeredAt time.Time, a AdviceQuery, tickets map[string]string, valid time.Duration, err error) {
	p := s.stepOf(a.Step)
	if p == nil {
		return
	}
	p.advice.inFlight = false
	p.checkAt = time.Time{}
	if err != nil {
		p.advice.retryAfter = now.Add(queryRetryDelay)
		s.note(Note{What: "unadvised", Job: a.Step.Job, Task: a.Step.StepID(), Why: err.Error()})
		return
	}
	if p.advice.eligible == nil {
		p.advice.eligible, p.advice.queried = map[string]ticket{}, map[string]bool{}
	}
	s.note(Note{What: "advised", Job: a.Step.Job, Task: a.Step.StepID(), Why: fmt.Sprintf("%d of %d minions are allowed", len(tickets), len(a.IDs))})
	known := len(p.advice.eligible)
	for _, id := range a.IDs {
		// A minion that is not known at present is asked about again.
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

// aheadShare is the share of a ticket's life within which a step's turn has to
// come for advice to be asked ahead of it.
const queryAheadShare = 0.6

// askAhead asks about steps whose turn comes soon, if nothing that waits needs
// the askers: short steps then begin when the last one ends, not a question later.
func (v *view) queryAhead() {
	for _, p := range v.s.queue {
		if v.s.queryCapacity.Total == 0 {
			return
		}
		if len(p.After) == 0 || p.job.Advice == nil || p.advice.inFlight || len(p.advice.eligible) > 0 || v.now.Before(p.advice.nextQuery) {
			continue
		}
		if p.startsSoon() {
			v.s.query(v.now, p, v.unqueriedMinions(p, false))
		}
	}
}

// soon says that the step's turn has not come but will while a ticket is valid.
func (p *step) startsSoon() bool {
	if p.waiting == 0 || p.ready() {
		return false
	}
	limit := time.Duration(queryAheadShare * float64(p.job.Advice.Valid))
	for _, a := range p.After {
		if q := p.round.steps[a]; q.waiting > 0 || q.Estimate > limit {
			return false
		}
	}
	return true
}
