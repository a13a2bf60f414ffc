package shard

import (
	"slices"
	"time"
)

// A decision costs what has changed, not what there is: it looks only at steps
// that wait and for which something has changed since they were last looked at.
// Steps come into the queue when their round begins or a task of theirs waits
// again; an answer about a step, and more room on a minion that may run it, have
// the step looked at; so does time, since tickets, pauses and what is urgent
// change with it alone.

// How soon a step that waits is looked at again.
const (
	recheckInterval     = 50 * time.Millisecond // though nothing has changed
	gangRecheckInterval = 30 * time.Millisecond // at the earliest, if it needs room on several minions at once
)

// enqueue has the next decision look at a step.
func (s *State) enqueue(p *step) {
	p.checkAt = time.Time{}
	if !p.queued {
		p.queued = true
		s.queue = append(s.queue, p)
	}
}

// looked notes that a decision looks at the step.
func (p *step) markChecked(now time.Time) {
	p.checkAt, p.deferredCost = now.Add(recheckInterval), 0
	p.notBefore = time.Time{}
	if p.Gang {
		p.notBefore = now.Add(gangRecheckInterval)
	}
}

// wake has steps that may run on a minion looked at, since it takes more than before.
func (s *State) wakeSteps(m *minion) {
	s.roomFreed = true
	m.eligibleSteps = slices.DeleteFunc(m.eligibleSteps, func(p *step) bool {
		if p.unfinished == 0 || p.job.state.Terminal() {
			return true
		}
		if p.checkAt.After(p.notBefore) {
			p.checkAt = p.notBefore
		}
		return false
	})
}

// soughtBy notes that a step may run on the minion.
func (m *minion) addEligibleStep(p *step) {
	if !slices.Contains(m.eligibleSteps, p) {
		m.eligibleSteps = append(m.eligibleSteps, p)
	}
}

// due lists the steps that a decision has to look at, in order of their rank, and
// those that only wait for an entry that can ask for them.
func (s *State) due(now, wall time.Time) []candidate {
	cs, kept := s.candidates[:0], s.queue[:0]
	for _, p := range s.queue {
		if p.waiting == 0 || p.job.state.Terminal() {
			p.queued = false
			s.releaseTicketHolds(p)
			continue
		}
		kept = append(kept, p)
		if !p.runnable() {
			continue
		}
		due := !now.Before(p.checkAt) || s.roomFreed && p.job.Advice == nil
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

// unshade gives up the room that a step kept for starts that wait for tickets.
func (s *State) releaseTicketHolds(p *step) {
	for _, m := range p.ticketHolds {
		m.heldRoom = m.heldRoom.Minus(p.Reserved())
	}
	p.ticketHolds = p.ticketHolds[:0]
}

// touch has a job's row written.
func (s *State) markChanged(j *job) {
	if !j.dirty {
		j.dirty = true
		s.changed = append(s.changed, j)
	}
}

// beginRounds creates the rounds that are due by the time of day.
func (s *State) beginRounds(wall time.Time) {
	s.upcoming = slices.DeleteFunc(s.upcoming, func(j *job) bool {
		if j.state.Terminal() {
			return true
		}
		for j.nextRound < j.Rounds() && j.Due(j.nextRound) <= wall.UnixMilli() {
			s.addRound(j, newRound(j, j.nextRound))
			j.nextRound++
		}
		return j.nextRound >= j.Rounds()
	})
}

// addRound adds a round to its job, with its steps in the queue.
func (s *State) addRound(j *job, r *round) {
	j.rounds[r.number] = r
	for _, p := range r.steps {
		if p.waiting > 0 {
			s.enqueue(p)
		}
	}
}

// sweep has the rows of jobs that were over for long enough deleted. Forgotten
// ends what is known of them: as long as a job's own row may be there, its
// progress has to be, or the next owner would run it again.
func (s *State) expireJobs(now time.Time) {
	for len(s.ended) > 0 {
		j := s.ended[0]
		if j.dirty || now.Sub(j.endedAt) <= s.Limits.Retention {
			return
		}
		s.ended = s.ended[1:]
		s.batch.ExpiredJobs = append(s.batch.ExpiredJobs, j.ID)
	}
}

// Forgotten takes in that the rows of a job that Drop named are gone.
func (s *State) HandleJobDeleted(id string) {
	j := s.jobs[id]
	if j == nil {
		return
	}
	delete(s.jobs, id)
	s.batch.Delete = append(s.batch.Delete, ProgressKey(s.Service, id))
	s.batch.Statuses = append(s.batch.Statuses, JobStatus{ID: id, Queue: j.Queue})
}
