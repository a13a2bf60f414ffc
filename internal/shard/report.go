package shard

import (
	"slices"
	"time"

	"jasminestep/internal/work"
)

// Reported takes in a minion's answer to a renewal.
func (s *State) Reported(now time.Time, n Renewal, rep work.Report) {
	m := s.minions[n.Minion.ID]
	if m == nil || m.Incarnation != n.Minion.Incarnation {
		return
	}
	if rep.Born > m.Born {
		w := m.Minion
		w.Born = rep.Born
		listed := m.listed
		s.reborn(now, m, w)
		m.listed = listed
		return
	}
	if rep.Born != 0 && rep.Born < m.Born {
		return
	}
	m.clock, m.at = rep.Clock, now
	m.zone.heard()
	if !m.silent.IsZero() {
		m.silent = time.Time{}
		m.token++ // orders that were on their way meanwhile must not be carried out any more
		s.note(Note{What: "answers", Minion: m.ID})
		s.wake(m)
	}
	for _, e := range rep.Ended {
		if e.N > m.seen {
			s.end(now, m, e)
			m.seen = e.N
		}
	}
	if len(rep.Ended) > 0 {
		s.batch.Seen[m.Incarnation] = m.seen
	}
	listed := s.running(now, m, rep.Running)
	if len(rep.Ended) < s.Limits.MaxEnds {
		s.absent(now, m, n, listed)
	}
	if !m.known {
		m.known = true
		s.wake(m)
	}
}

// running takes in the list of runs.
func (s *State) running(now time.Time, m *minion, rs []work.Run) map[runKey]bool {
	listed := make(map[runKey]bool, len(rs))
	for _, w := range rs {
		k := runKey{w.Task, w.Attempt}
		listed[k] = true
		r := m.runs[k]
		if r == nil {
			r = s.stray(m, k)
		}
		if r.state == unsure || r.state == sent {
			r.state = live
		}
		r.listed = true
		if r.step != nil {
			s.began(r.step.job)
		}
		s.watch(now, m, r, w)
		if r.task != nil && r.task.attempt == w.Attempt && r.task.phase == Placed {
			if w.Saved != "" {
				r.task.saved = w.Saved
			}
		}
		s.halt(now, m, r)
	}
	return listed
}

// stray adds a run that nobody here asked for: of a job that is over or not known.
func (s *State) stray(m *minion, k runKey) *run {
	r := &run{key: k, size: m.Capacity, state: live, stop: true}
	if p := s.stepOf(k.task); p != nil {
		r.size, r.step = p.Reserved(), p
	}
	s.note(Note{What: "stray", Job: k.task.Job, Task: k.task.String(), Attempt: k.attempt, Minion: m.ID})
	m.add(r)
	return r
}

func (s *State) stepOf(t work.TaskID) *step {
	j := s.jobs[t.Job]
	if j == nil || j.rounds[t.Round] == nil || t.Step < 0 || t.Step >= len(j.rounds[t.Round].steps) {
		return nil
	}
	return j.rounds[t.Round].steps[t.Step]
}

// stopAgain is when a stop that shows no effect is sent again.
const stopAgain = 400 * time.Millisecond

// halt sends a stop for a run that is to end.
func (s *State) halt(now time.Time, m *minion, r *run) {
	if !r.stop || r.state == unsent || r.state == cancelled || now.Sub(r.asked) < stopAgain {
		return
	}
	r.asked = now
	s.now.Stops = append(s.now.Stops, StopOrder{m.Minion, r.key.task, r.key.attempt, m.token})
}

// absent gives up the runs that a report proves to be gone: they were there, or
// may have been, before it was asked for, and it lists them nowhere.
func (s *State) absent(now time.Time, m *minion, n Renewal, listed map[runKey]bool) {
	for k, r := range m.runs {
		if listed[k] || n.Seq <= r.mark {
			continue
		}
		if r.state == live || r.state == unsure && n.Token > r.fence(s) {
			s.remove(m, r)
			s.lost(now, r, "its minion does not list it")
		}
	}
}

// fence is the highest token with which a start of the run may still come.
func (r *run) fence(s *State) int64 {
	if r.mark == 0 {
		return s.Term*tokensPerTerm - 1 // a predecessor's
	}
	return r.token
}

// end takes in one ended run.
func (s *State) end(now time.Time, m *minion, e work.End) {
	r := m.runs[runKey{e.Task, e.Attempt}]
	if r != nil {
		s.remove(m, r)
	}
	p := s.stepOf(e.Task)
	if p == nil || e.Task.Index < 0 || e.Task.Index >= len(p.tasks) {
		return
	}
	t := p.tasks[e.Task.Index]
	s.began(p.job)
	if t.phase != Placed || t.attempt != e.Attempt || t.life != m.Incarnation {
		s.otherEnd(now, m, p, t, e)
		return
	}
	s.note(Note{What: "ended", Job: t.id.Job, Task: t.id.String(), Attempt: t.attempt, Minion: m.ID, Why: string(e.How)})
	if e.Saved != "" {
		t.saved = e.Saved
	}
	s.touch(p.job)
	switch {
	case e.How == work.Done && !p.Lasting:
		if r != nil {
			s.learn(now, m, r)
		}
		s.done(now, p, t)
	case e.How == work.Failed:
		s.failed(now, m, p, t)
	default:
		s.requeue(p, t)
		s.breakGang(now, p)
	}
}

// otherEnd takes in the end of a run that is not the one its task waits for: one
// that was given up, or a copy. If it ended well, nothing is left to do for the
// task, and any other run of it is stopped.
func (s *State) otherEnd(now time.Time, m *minion, p *step, t *task, e work.End) {
	if p.Lasting || t.phase == Finished || e.Attempt > t.attempt || p.job.state.Over() {
		return
	}
	switch {
	case e.How == work.Done:
		s.note(Note{What: "ended", Job: t.id.Job, Task: t.id.String(), Attempt: e.Attempt, Minion: m.ID, Why: "done, after it was given up"})
		if p.Gang {
			s.breakGang(now, p)
		} else {
			s.giveUp(now, t)
		}
		s.touch(p.job)
		s.done(now, p, t)
	case e.How == work.Failed && t.closes(e.Attempt):
		s.touch(p.job)
		t.failures++
		p.failures++
		s.judge(now, p, t)
	}
}

// closes takes in that a run that was left for a copy has ended, and says
// whether it was one: the ends of others were counted before.
func (t *task) closes(attempt int) bool {
	i := slices.Index(t.open, attempt)
	if i < 0 {
		return false
	}
	t.open = slices.Delete(t.open, i, i+1)
	return true
}

// done marks a task finished, with its whole gang.
func (s *State) done(now time.Time, p *step, t *task) {
	ts := []*task{t}
	if p.Gang {
		ts = p.tasks
	}
	for _, t := range ts {
		if t.phase == Finished {
			continue
		}
		if t.phase == Waiting {
			p.waiting--
		}
		t.phase, t.saved = Finished, ""
		p.left--
	}
	s.stopCopies(now, p.job)
	if p.left > 0 {
		return
	}
	for _, q := range p.round.steps {
		if q.waiting > 0 {
			s.enqueue(q) // its turn may have come
		}
	}
	p.round.left--
	if p.round.left > 0 {
		return
	}
	p.job.finished++
	if p.job.finished == p.job.Rounds() && !p.job.state.Over() {
		s.finish(now, p.job, Completed)
	}
}

// failed counts a failed run.
func (s *State) failed(now time.Time, m *minion, p *step, t *task) {
	s.strike(now, m)
	if !p.Gang || p.failedAt != t.attempt {
		p.failedAt = t.attempt
		t.failures++
		p.failures++
	}
	s.requeue(p, t)
	s.breakGang(now, p)
	s.judge(now, p, t)
}

// judge ends a job if a task, or a gang, has failed too often.
func (s *State) judge(now time.Time, p *step, t *task) {
	if p.Lasting || p.job.state.Over() {
		return
	}
	n := t.failures
	if p.Gang {
		n = 0
		for _, t := range p.tasks {
			n += t.failures
		}
	}
	if n >= p.job.Attempts {
		s.finish(now, p.job, JobFailed)
	}
}
