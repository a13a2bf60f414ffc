package shard

import "time"

// Tasks of speculative steps may run more than once at a time. When the minion
// of such a run stops answering, a copy is started elsewhere at once, and the
// first run that succeeds counts. A run of any other task has to end, or its
// lease to expire, before the task starts again.

// copyCounts counts the copies of a term.
type copyCounts struct {
	started  int
	needless int // of these, those whose originals ended by themselves
}

// startCopies requeues tasks for a copy whose runs are on minions that do not
// answer.
func (s *State) startCopies(now time.Time) {
	if !s.Policy.SpeculativeCopies {
		return
	}
	for _, m := range s.minionsByID() {
		if m.silentSince.IsZero() && !m.zone.unreachable(now) {
			continue
		}
		for _, r := range m.runs {
			s.startCopy(now, m, r, "its minion does not answer")
		}
	}
}

// startCopy requeues the task of a run although the run may continue.
func (s *State) startCopy(now time.Time, m *minion, r *run, why string) {
	t := r.task
	if t == nil || !r.step.Speculative || r.step.Gang || r.step.Lasting || r.stopping || !r.isCurrent(m) || !r.mayHaveBegun() {
		return
	}
	if m.openFate(now, r); t.held() {
		return
	}
	s.note(Note{What: CopyQueued, Job: t.id.Job, Task: t.id.String(), Attempt: t.attempt, Minion: m.ID, Why: why})
	r.step.job.hasCopies, r.copied = true, true
	s.copies.started++
	t.openAttempts = append(t.openAttempts, t.attempt)
	s.requeue(r.step, t)
}

// isCurrent reports whether the run is the one that its task waits for.
func (r *run) isCurrent(m *minion) bool {
	t := r.task
	return t != nil && t.phase == Placed && t.attempt == r.key.attempt && t.incarnation == m.Incarnation
}

// stopCopies stops the runs of a job that no task waits for any more: all of
// them if the job has ended, otherwise those of finished tasks.
func (s *State) stopCopies(now time.Time, j *job) {
	if !j.hasCopies {
		return
	}
	for _, m := range s.minionsByID() {
		for _, r := range m.runs {
			if r.task == nil || r.step.job != j || r.stopping || r.isCurrent(m) {
				continue
			}
			if j.state.Terminal() || r.task.phase == Finished {
				r.stopping = true
				s.sendStop(now, m, r)
			}
		}
	}
}
