package shard

import (
	"slices"
	"time"
)

// The cost of a decision depends on what has changed, not on the number of
// steps: it considers only waiting steps for which something has changed since
// they were last checked. Steps enter the queue when their round begins or one
// of their tasks waits again. A reply to a query about a step, or more room on a
// minion that may run it, causes another check. So does time alone, because
// tickets, pauses and urgency change with it.

// How soon a waiting step is checked again.
const (
	recheckInterval     = 50 * time.Millisecond // although nothing has changed
	wideRecheckInterval = 30 * time.Millisecond // at the earliest, for a step that looks at when room becomes free on many minions
)

// enqueue adds a step to the queue for the next decision.
func (s *State) enqueue(p *step) {
	p.checkAt = time.Time{}
	if !p.queued {
		p.queued = true
		s.queue = append(s.queue, p)
	}
}

// markChecked records that a decision has checked the step.
func (p *step) markChecked(now time.Time) {
	p.checkAt, p.deferredCost = now.Add(recheckInterval), 0
	p.notBefore = time.Time{}
	if p.Gang || p.hasReservations {
		p.notBefore = now.Add(wideRecheckInterval)
	}
}

// wakeSteps schedules a check of the steps that may run on a minion with more
// room than before.
func (s *State) wakeSteps(m *minion) {
	s.roomFreed = true
	m.eligibleSteps = slices.DeleteFunc(m.eligibleSteps, func(p *step) bool {
		if p.unfinished == 0 || p.job.state.Terminal() {
			return true
		}
		if p.checkAt.After(p.notBefore) && p.gains(m) {
			p.checkAt = p.notBefore
		}
		return false
	})
}

// gains reports whether more room on the minion may help the step: a task fits there
// now, or the step reserves room that will be free.
func (p *step) gains(m *minion) bool {
	return p.Gang || p.mustRun() || p.hasReservations || m.free().CanFit(p.Reserved())
}

// addEligibleStep records that a step may run on the minion.
func (m *minion) addEligibleStep(p *step) {
	if !slices.Contains(m.eligibleSteps, p) {
		m.eligibleSteps = append(m.eligibleSteps, p)
	}
}

// due lists the steps that a decision has to check, by rank, and those that only
// wait for the capacity to issue a query.
func (s *State) due(now, wall time.Time) []candidate {
	cs, kept := s.candidates[:0], s.queue[:0]
	for _, p := range s.queue {
		if p.waiting == 0 || p.job.state.Terminal() {
			p.queued, p.shortSince = false, time.Time{}
			s.releaseTicketHolds(p)
			continue
		}
		kept = append(kept, p)
		if !p.runnable() {
			p.waitsSince, p.shortSince = time.Time{}, time.Time{}
			if p.brokenUp() {
				s.stopGang(now, p)
			}
			continue
		}
		s.noteWait(now, p)
		due := !now.Before(p.checkAt) || s.roomFreed && p.job.Advice == nil
		if a := p.job.account; a != nil {
			a.active = true
			due = due || a.freed && p.overQuota
		}
		if due || p.deferredCost > 0 {
			c := s.candidate(now, wall, p)
			c.due = due
			cs = append(cs, c)
		}
	}
	clear(s.queue[len(kept):])
	s.queue, s.candidates, s.roomFreed = kept, cs, false
	if s.Policy.UrgentFirst {
		slices.SortFunc(cs, candidate.compare)
	}
	return cs
}

// releaseTicketHolds frees the room that a step holds for starts that wait for
// tickets.
func (s *State) releaseTicketHolds(p *step) {
	for _, m := range p.ticketHolds {
		m.heldRoom = m.heldRoom.Minus(p.Reserved())
	}
	p.ticketHolds = p.ticketHolds[:0]
}

// markChanged schedules a write of the job's progress row.
func (s *State) markChanged(j *job) {
	if !j.dirty {
		j.dirty = true
		s.changed = append(s.changed, j)
	}
}

// maxOpenTasks is how many tasks of a job's unfinished rounds keep its next rounds from
// beginning: many rounds may be due at once.
const maxOpenTasks = 10_000

// beginRounds creates the rounds that are due by the time of day.
func (s *State) beginRounds(wall time.Time) {
	s.upcoming = slices.DeleteFunc(s.upcoming, func(j *job) bool {
		if j.state.Terminal() {
			return true
		}
		for j.nextRound < j.Rounds() && j.Due(j.nextRound) <= wall.UnixMilli() && j.openTasks() < maxOpenTasks {
			s.addRound(j, s.newRound(j, j.nextRound))
			j.nextRound++
		}
		return j.nextRound >= j.Rounds()
	})
}

// addRound adds a round to its job and enqueues its steps.
func (s *State) addRound(j *job, r *round) {
	j.rounds[r.number] = r
	for _, p := range r.steps {
		if p.waiting > 0 {
			s.enqueue(p)
		}
	}
}
