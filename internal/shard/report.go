package shard

import (
	"slices"
	"time"

	"jasminestep/internal/work"
)

// HandleReport processes a minion's reply to a renewal.
func (s *State) HandleReport(now time.Time, n Renewal, rep work.Report) {
	m := s.minions[n.Minion.ID]
	switch {
	case m == nil:
		return
	case m.restartsAs(n.Minion.Incarnation):
		s.handleRestartReport(now, m, rep.Born)
		return
	case m.Incarnation != n.Minion.Incarnation:
		return
	case rep.Born > m.Born, rep.Born != 0 && rep.Born < m.Born && !m.answered():
		s.adoptIncarnation(now, m, rep.Born)
		return
	case rep.Born != 0 && rep.Born < m.Born:
		return
	case !m.answered() && n.Token < m.token:
		return // sent while the restart was unconfirmed: calls for the former incarnation may have the same token
	}
	first := !m.answered()
	m.clock, m.clockAt, m.formerSilence = rep.Clock, now, time.Time{}
	if first {
		s.recordAnswer(now, m)
		s.note(Note{What: MinionFirstAnswer, Minion: m.ID, Why: m.describe()})
	}
	s.zoneAnswered(now, m)
	if !m.silentSince.IsZero() {
		s.copyBudget.observeSilence(now.Sub(m.silentSince))
		m.silentSince = time.Time{}
		m.token++ // orders sent before the silence must not be executed any more
		s.note(Note{What: MinionAnswers, Minion: m.ID})
		s.wakeSteps(m)
	}
	s.reopenLeases(m)
	s.closeFates(m)
	s.settle(now, m, false)
	for _, e := range rep.Ended {
		if e.N > m.lastEnd {
			s.handleEnd(now, m, e)
			m.lastEnd = e.N
		}
	}
	m.noteListed(n, rep.Ended, s.Limits.MaxEnds)
	if len(rep.Ended) > 0 {
		s.batch.AckedEnds[m.Incarnation] = m.lastEnd
	}
	listed := s.handleRunning(now, m, rep.Running)
	s.settleAbsent(now, m, n, listed, !m.listFull)
	s.adaptSpeed(now, m, rep.Running)
	if !m.synced {
		m.synced = true
		s.wakeSteps(m)
	}
}

// handleRunning processes the list of runs in a report.
func (s *State) handleRunning(now time.Time, m *minion, rs []work.Run) map[runKey]bool {
	listed := make(map[runKey]bool, len(rs))
	for _, w := range rs {
		k := runKey{w.Task, w.Attempt}
		listed[k] = true
		r := m.runs[k]
		if r == nil {
			r = s.addUnexpected(m, k)
		}
		if r.state == uncertain || r.state == sent {
			r.state = live
		}
		r.listed, r.carried = true, nil
		r.confirm(now)
		s.endAbsence(now, r)
		if r.step != nil {
			s.markBegun(r.step.job)
		}
		s.checkProgress(now, m, r, w)
		m.recordSurvival(now, r)
		if r.task != nil && r.task.attempt == w.Attempt && r.task.phase == Placed {
			if w.Saved != "" {
				r.task.checkpoint = w.Saved
			}
		}
		s.sendStop(now, m, r)
	}
	return listed
}

// addUnexpected adds a run that this owner has not started: of a job that has ended
// or is unknown.
func (s *State) addUnexpected(m *minion, k runKey) *run {
	r := &run{key: k, size: m.Capacity, state: live, stopping: true}
	if p := s.stepOf(k.task); p != nil {
		r.size, r.step = p.Reserved(), p
		s.closeOpenCopy(p, k)
	}
	s.note(Note{What: UnexpectedRun, Job: k.task.Job, Task: k.task.String(), Attempt: k.attempt, Minion: m.ID})
	s.dropLeftover(k)
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

// stopRetryInterval is the time after which a stop without effect is sent again.
const stopRetryInterval = 400 * time.Millisecond

// sendStop queues a stop order for a run that is to end.
func (s *State) sendStop(now time.Time, m *minion, r *run) {
	if !r.stopping || r.state == unsent || r.state == cancelled || now.Sub(r.stopSentAt) < stopRetryInterval {
		return
	}
	r.stopSentAt = now
	s.actions.Stops = append(s.actions.Stops, StopOrder{m.Minion, r.key.task, r.key.attempt, m.token})
}

// handleEnd processes the end of a run.
func (s *State) handleEnd(now time.Time, m *minion, e work.End) {
	r := m.runs[runKey{e.Task, e.Attempt}]
	if r != nil {
		if r.copied && (e.How == work.Done || e.How == work.Failed) {
			s.copyBudget.needless++
			r.copied = false
		}
		s.remove(m, r)
	}
	p := s.stepOf(e.Task)
	if p == nil || e.Task.Index < 0 || e.Task.Index >= len(p.tasks) {
		return
	}
	t := p.tasks[e.Task.Index]
	s.dropLeftover(runKey{t.id, e.Attempt})
	s.closeOpenCopy(p, runKey{t.id, e.Attempt})
	s.markBegun(p.job)
	if t.phase != Placed || t.attempt != e.Attempt || t.incarnation != m.Incarnation {
		s.handleStaleEnd(now, m, p, t, e)
		return
	}
	s.note(Note{What: RunEnded, Job: t.id.Job, Task: t.id.String(), Attempt: t.attempt, Minion: m.ID, Why: string(e.How)})
	if e.Saved != "" {
		t.checkpoint = e.Saved
	}
	s.markChanged(p.job)
	switch {
	case e.How == work.Done && !p.Lasting:
		if r != nil {
			m.recordSuccess(p, t)
			s.recordRunTime(now, m, r)
		}
		s.finishTask(now, p, t)
	case e.How == work.Failed:
		s.beginAbsence(now, now, p, t, RunFailed)
		s.handleFailure(now, m, p, t, r)
	default:
		s.beginAbsence(now, now, p, t, stoppedBy(m))
		s.requeue(p, t)
		s.stopGang(now, p)
	}
}

// handleStaleEnd processes the end of a run that its task does not wait for: one
// that was given up, or the original of a copy. If it succeeded, the task is
// finished and any other run of it is stopped.
func (s *State) handleStaleEnd(now time.Time, m *minion, p *step, t *task, e work.End) {
	if p.Lasting || t.phase == Finished || e.Attempt > t.attempt || p.job.state.Terminal() {
		return
	}
	switch {
	case e.How == work.Done:
		s.note(Note{What: RunEnded, Job: t.id.Job, Task: t.id.String(), Attempt: e.Attempt, Minion: m.ID, Why: "done, after it was given up"})
		if p.Gang {
			s.stopGang(now, p)
		} else {
			s.stopTask(now, t)
		}
		s.markChanged(p.job)
		s.finishTask(now, p, t)
	case e.How == work.Failed && t.closeAttempt(e.Attempt):
		s.markChanged(p.job)
		t.failures++
		p.failures++
		s.failExhausted(now, p, t)
	}
}

// closeAttempt records the end of a run that was left running for a copy, and
// reports whether it was one. The ends of other runs have already been counted.
func (t *task) closeAttempt(attempt int) bool {
	i := slices.Index(t.openAttempts, attempt)
	if i < 0 {
		return false
	}
	t.openAttempts = slices.Delete(t.openAttempts, i, i+1)
	return true
}

// finishTask marks a task as finished, together with its whole gang.
func (s *State) finishTask(now time.Time, p *step, t *task) {
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
		t.phase, t.checkpoint = Finished, ""
		p.unfinished--
	}
	s.stopCopies(now, p.job)
	if p.unfinished > 0 {
		return
	}
	for _, q := range p.round.steps {
		if q.waiting > 0 {
			s.enqueue(q) // it may be ready now
		}
	}
	p.round.unfinished--
	if p.round.unfinished > 0 {
		return
	}
	p.job.finished++
	if p.job.finished == p.job.Rounds() && !p.job.state.Terminal() {
		s.finishJob(now, p.job, Completed)
	}
}

// handleFailure counts a failed run. r is nil if it is not known. A lasting run
// may fail at any time, which tells nothing about its minion after it has lasted
// for long.
func (s *State) handleFailure(now time.Time, m *minion, p *step, t *task, r *run) {
	if r == nil || !r.survived {
		s.recordFailure(now, m, failure{p, t})
	}
	if !p.Gang || p.failedAttempt != t.attempt {
		p.failedAttempt = t.attempt
		t.failures++
		p.failures++
	}
	s.requeue(p, t)
	s.stopGang(now, p)
	s.failExhausted(now, p, t)
}

// failExhausted fails a job when a task, or a gang, has failed too often.
func (s *State) failExhausted(now time.Time, p *step, t *task) {
	if p.Lasting || p.job.state.Terminal() {
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
		s.finishJob(now, p.job, JobFailed)
	}
}
