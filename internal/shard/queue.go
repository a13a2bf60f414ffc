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
	lookAgain = 50 * time.Millisecond // though nothing has changed
	lookGang  = 30 * time.Millisecond // at the earliest, if it needs room on several minions at once
)

// enqueue has the next decision look at a step.
func (s *State) enqueue(p *step) {
	p.lookAt = time.Time{}
	if !p.queued {
		p.queued = true
		s.queue = append(s.queue, p)
	}
}

// looked notes that a decision looks at the step.
func (p *step) looked(now time.Time) {
	p.lookAt, p.wants = now.Add(lookAgain), 0
	p.rest = time.Time{}
	if p.Gang {
		p.rest = now.Add(lookGang)
	}
}

// wake has steps that may run on a minion looked at, since it takes more than before.
func (s *State) wake(m *minion) {
	s.roomier = true
	m.seekers = slices.DeleteFunc(m.seekers, func(p *step) bool {
		if p.left == 0 || p.job.state.Terminal() {
			return true
		}
		if p.lookAt.After(p.rest) {
			p.lookAt = p.rest
		}
		return false
	})
}

// soughtBy notes that a step may run on the minion.
func (m *minion) soughtBy(p *step) {
	if !slices.Contains(m.seekers, p) {
		m.seekers = append(m.seekers, p)
	}
}

// due lists the steps that a decision has to look at, in order of their rank, and
// those that only wait for an entry that can ask for them.
func (s *State) due(now, wall time.Time) []candidate {
	cs, kept := s.candidates[:0], s.queue[:0]
	for _, p := range s.queue {
		if p.waiting == 0 || p.job.state.Terminal() {
			p.queued = false
			s.unshade(p)
			continue
		}
		kept = append(kept, p)
		if !p.runnable() {
			continue
		}
		due := !now.Before(p.lookAt) || s.roomier && p.job.Advice == nil
		if due || p.wants > 0 {
			c := s.candidate(now, wall, p)
			c.due = due
			cs = append(cs, c)
		}
	}
	clear(s.queue[len(kept):])
	s.queue, s.candidates, s.roomier = kept, cs, false
	if s.Policy.Urgent {
		slices.SortFunc(cs, candidate.compare)
	}
	return cs
}

// unshade gives up the room that a step kept for starts that wait for tickets.
func (s *State) unshade(p *step) {
	for _, m := range p.shades {
		m.shade = m.shade.Minus(p.Reserved())
	}
	p.shades = p.shades[:0]
}

// touch has a job's row written.
func (s *State) touch(j *job) {
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
		for j.next < j.Rounds() && j.Due(j.next) <= wall.UnixMilli() {
			s.addRound(j, newRound(j, j.next))
			j.next++
		}
		return j.next >= j.Rounds()
	})
}

// addRound adds a round to its job, with its steps in the queue.
func (s *State) addRound(j *job, r *round) {
	j.rounds[r.k] = r
	for _, p := range r.steps {
		if p.waiting > 0 {
			s.enqueue(p)
		}
	}
}

// sweep has the rows of jobs that were over for long enough deleted. Forgotten
// ends what is known of them: as long as a job's own row may be there, its
// progress has to be, or the next owner would run it again.
func (s *State) sweep(now time.Time) {
	for len(s.ended) > 0 {
		j := s.ended[0]
		if j.dirty || now.Sub(j.ended) <= s.Limits.Retention {
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
