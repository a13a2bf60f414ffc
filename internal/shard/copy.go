package shard

import "time"

// Tasks of speculative steps may run more than once at a time. When the minion
// of such a run gives no sign of life, a copy is started elsewhere at once, and
// the first to end well counts; a run of any other task has to be outwaited.

// copies has tasks wait for a copy whose run is where nothing is heard from.
func (s *State) copies() {
	if !s.Policy.Copies {
		return
	}
	for _, m := range s.sorted() {
		if m.silent.IsZero() && !m.zone.doubted() {
			continue
		}
		for _, r := range m.runs {
			s.copy(m, r, "nothing is heard from its minion")
		}
	}
}

// copy has the task of a run wait again while the run may go on.
func (s *State) copy(m *minion, r *run, why string) {
	t := r.task
	if t == nil || !r.step.Speculative || r.step.Gang || r.step.Lasting || r.stop || !r.current(m) || r.state == unsent || r.state == cancelled {
		return
	}
	s.note(Note{What: "copy", Job: t.id.Job, Task: t.id.String(), Attempt: t.attempt, Minion: m.ID, Why: why})
	r.step.job.copied = true
	t.open = append(t.open, t.attempt)
	s.requeue(r.step, t)
}

// current says that the run is the one that its task waits for.
func (r *run) current(m *minion) bool {
	t := r.task
	return t != nil && t.phase == Placed && t.attempt == r.key.attempt && t.life == m.Incarnation
}

// stopCopies stops the runs of a job that none of its tasks waits for any more:
// all of them if the job is over, else those of tasks that are finished.
func (s *State) stopCopies(now time.Time, j *job) {
	if !j.copied {
		return
	}
	for _, m := range s.sorted() {
		for _, r := range m.runs {
			if r.task == nil || r.step.job != j || r.stop || r.current(m) {
				continue
			}
			if j.state.Over() || r.task.phase == Finished {
				r.stop = true
				s.halt(now, m, r)
			}
		}
	}
}
