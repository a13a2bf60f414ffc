package shard

import (
	"fmt"
	"time"
)

// advice is what the placement service has said about one step.
type advice struct {
	asking  bool
	asked   map[string]bool   // minions that were named in a question
	good    map[string]ticket // minions that may run the step
	list    []*minion         // the same, by id, as of epoch
	epoch   int64
	changed bool      // list lacks some
	wait    time.Time // no further question about other minions before
	retry   time.Time // no question at all before, since the last one failed
}

// ticket allows starts on one life of a minion, for a time. Whether a minion
// may run the step does not change; only the ticket has to be renewed.
type ticket struct {
	text  string
	until time.Time
	life  int64 // the minion's birth when the ticket was given
}

// forget drops a ticket that a minion did not take.
func (a *advice) forget(id string) {
	if t, ok := a.good[id]; ok {
		t.until = time.Time{}
		a.good[id] = t
	}
}

// know notes minions that a predecessor was told are allowed; tickets for them
// have to be asked for.
func (a *advice) know(ids []string) {
	a.good, a.asked, a.changed = map[string]ticket{}, map[string]bool{}, true
	for _, id := range ids {
		a.good[id], a.asked[id] = ticket{}, true
	}
}

// ticketMargin is how much earlier than told a ticket is taken to end.
const ticketMargin = 150 * time.Millisecond

// pass says what a minion may do with tasks of the step.
type pass int8

const (
	barred  pass = iota // may not run it, or was not asked about
	stale               // may, once its ticket is renewed
	allowed             // may now
)

func (p *step) pass(now time.Time, m *minion) (pass, ticket) {
	if p.job.Advice == nil {
		return allowed, ticket{}
	}
	t, ok := p.advice.good[m.ID]
	if !ok {
		return barred, t
	}
	if t.life != m.Born || now.After(t.until) {
		return stale, t
	}
	return allowed, t
}

// Bounds on questions.
const (
	leastNamed   = 16
	mostNamed    = 60
	namedForEach = 4 // minions named for each that is needed, since many are not allowed
	renewSpare   = 2 // minions named beyond those of a gang whose tickets are renewed
	renewOthers  = 2 // minions named for each task that a plan leaves over
	askAgain     = 500 * time.Millisecond
	askRetry     = 50 * time.Millisecond // after a question that failed
)

// ask adds a question about a step, if one may be asked now, and says whether it did.
func (s *State) ask(now time.Time, p *step, ids []string) bool {
	if len(ids) == 0 || p.advice.asking || now.Before(p.advice.retry) {
		return false
	}
	a := p.job.Advice
	cost := a.Decide + a.Each*time.Duration(len(ids))
	if !s.askers.take(cost) {
		p.wants = cost
		return false
	}
	s.note(Note{What: "ask", Job: p.job.ID, Task: p.id().StepID(), Why: fmt.Sprintf("%d minions, %d allowed so far", len(ids), len(p.advice.good))})
	p.advice.asking = true
	p.advice.wait = now.Add(askAgain)
	s.now.Asks = append(s.now.Asks, Ask{
		Step: p.id(),
		IDs:  ids,
		Cost: cost,
	})
	return true
}

// Askers says how many questions can be asked at present.
type Askers struct {
	All  int
	Long int           // of these, how many may take From or longer
	From time.Duration // the time from which on a question is long
}

// could says whether one more question can be asked that takes cost.
func (a *Askers) could(cost time.Duration) bool {
	return a.All > 0 && (cost < a.From || a.Long > 0)
}

// take says whether one more question can be asked that takes cost, and counts it.
func (a *Askers) take(cost time.Duration) bool {
	if !a.could(cost) {
		return false
	}
	a.All--
	if cost >= a.From {
		a.Long--
	}
	a.Long = min(a.Long, a.All)
	return true
}

// named is how many minions a question about the step names. A gang is named
// all that there are: it fits far sooner where it may choose.
func (s *State) named(p *step) int {
	if p.Gang && s.Policy.Named > 0 {
		return s.Policy.Named
	}
	need := p.waiting
	if p.PerMinion != 1 {
		need = (need + 1) / 2
	}
	return min(max(namedForEach*need, leastNamed), mostNamed)
}

// unasked lists minions that the service was not asked about and that could run
// a task of the step, those with room for one first, and one zone's before the
// next one's. Others come first each time, so that steps do not crowd on the
// same minions.
func (v *view) unasked(p *step, roomy bool) []string {
	n := v.s.named(p)
	need := p.Reserved()
	var ids, full []string
	for _, r := range v.zonesFor(p) {
		for i := range r.ms {
			m := r.ms[(int(v.s.turn)+i)%len(r.ms)]
			if p.advice.asked[m.ID] || !m.usable(v.now) || !p.suits(m) || p.apart(m) {
				continue
			}
			if m.free().CanFit(need) {
				ids = append(ids, m.ID)
			} else if !roomy {
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
	v.s.turn += uint(n)
	ids = append(ids, full...)
	return ids[:min(n, len(ids))]
}

// Advised takes in an answer about a step; given is when the service answered.
func (s *State) Advised(now, given time.Time, a Ask, tickets map[string]string, valid time.Duration, err error) {
	p := s.stepOf(a.Step)
	if p == nil {
		return
	}
	p.advice.asking = false
	p.lookAt = time.Time{}
	if err != nil {
		p.advice.retry = now.Add(askRetry)
		s.note(Note{What: "unadvised", Job: a.Step.Job, Task: a.Step.StepID(), Why: err.Error()})
		return
	}
	if p.advice.good == nil {
		p.advice.good, p.advice.asked = map[string]ticket{}, map[string]bool{}
	}
	s.note(Note{What: "advised", Job: a.Step.Job, Task: a.Step.StepID(), Why: fmt.Sprintf("%d of %d minions are allowed", len(tickets), len(a.IDs))})
	known := len(p.advice.good)
	for _, id := range a.IDs {
		// A minion that is not known at present is asked about again.
		p.advice.asked[id] = s.minions[id] != nil
	}
	for id, text := range tickets {
		m := s.minions[id]
		if m == nil {
			continue
		}
		p.advice.good[id] = ticket{text, given.Add(valid - ticketMargin), m.Born}
	}
	p.advice.changed = p.advice.changed || len(p.advice.good) > known
	if len(p.advice.good) > known && p.dear() {
		s.touch(p.job)
	}
}

// aheadShare is the share of a ticket's life within which a step's turn has to
// come for advice to be asked ahead of it.
const aheadShare = 0.6

// askAhead asks about steps whose turn comes soon, if nothing that waits needs
// the askers: short steps then begin when the last one ends, not a question later.
func (v *view) askAhead() {
	for _, p := range v.s.queue {
		if v.s.askers.All == 0 {
			return
		}
		if len(p.After) == 0 || p.job.Advice == nil || p.advice.asking || len(p.advice.good) > 0 || v.now.Before(p.advice.wait) {
			continue
		}
		if p.soon() {
			v.s.ask(v.now, p, v.unasked(p, false))
		}
	}
}

// soon says that the step's turn has not come but will while a ticket is valid.
func (p *step) soon() bool {
	if p.waiting == 0 || p.open() {
		return false
	}
	limit := time.Duration(aheadShare * float64(p.job.Advice.Valid))
	for _, a := range p.After {
		if q := p.round.steps[a]; q.waiting > 0 || q.Estimate > limit {
			return false
		}
	}
	return true
}
