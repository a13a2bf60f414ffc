package shard

import (
	"fmt"
	"maps"
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

// HandleAdvice processes the reply to a query; answeredAt is when the service
// answered.
func (s *State) HandleAdvice(now, answeredAt time.Time, a AdviceQuery, tickets map[string]string, valid time.Duration, err error) {
	p := s.stepOf(a.Step)
	if p == nil {
		return
	}
	p.advice.inFlight--
	p.checkAt, p.aheadAt = time.Time{}, time.Time{}
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
