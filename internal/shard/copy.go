package shard

import (
	"slices"
	"time"
)

// Tasks of speculative steps may run more than once at a time. When the minion
// of such a run stops answering, a copy is started elsewhere, and the first run
// that succeeds counts. A run of any other task has to end, or its lease to
// expire, before the task starts again.
//
// Most silences end by themselves, and a run whose task is done after it was
// copied has cost twice its room. So copies wait for as long as most silences
// last, and they are a share of all starts: each first start allows for some, and
// only copies that were needed give back what they took. Thus copies never become
// what keeps minions from answering.

// Limits on copies.
const (
	copiesPerStart  = 0.05 // copies that each first start of a task allows for
	minCopyBurst    = 16   // copies that may be due at once
	copyBurstShare  = 0.25 // the same, for each minion
	silenceQuantile = 0.9  // share of the silences that end by themselves before copies start
	silenceStep     = 50 * time.Millisecond
	maxCopyDelay    = 2 * time.Second
)

// copyBudget limits copies. The zero value allows for as many as may be due at
// once, without delay.
type copyBudget struct {
	taken    float64       // copies that starts have not allowed for yet
	delay    time.Duration // silence of a minion from which on copies start
	started  int           // copies in this term
	needless int           // of these, those whose originals ended by themselves
}

// allow records the first start of a task.
func (b *copyBudget) allow() { b.taken = max(b.taken-copiesPerStart, 0) }

// needed records that a copy has not been in vain.
func (b *copyBudget) needed() { b.taken = max(b.taken-1, 0) }

// take reports whether one more copy may start in a shard with a number of minions.
func (b *copyBudget) take(minions int) bool {
	if b.taken+1 > max(minCopyBurst, copyBurstShare*float64(minions)) {
		return false
	}
	b.taken++
	b.started++
	return true
}

// observeSilence learns from a silence that has ended by itself. The delay rises
// or falls in such steps that it settles where silenceQuantile of them are shorter.
func (b *copyBudget) observeSilence(d time.Duration) {
	if d > b.delay {
		b.delay = min(b.delay+time.Duration(silenceQuantile*float64(silenceStep)), maxCopyDelay)
		return
	}
	b.delay = max(b.delay-time.Duration((1-silenceQuantile)*float64(silenceStep)), 0)
}

// copiedRun is a run that was left running for a copy.
type copiedRun struct {
	minion *minion
	run    *run
}

// exists reports whether the run may still be there.
func (c copiedRun) exists() bool { return c.minion.runs[c.run.key] == c.run }

// startCopies requeues tasks for a copy whose runs are on minions that do not
// answer.
func (s *State) startCopies(now time.Time) {
	if !s.Policy.SpeculativeCopies {
		return
	}
	for _, m := range s.minionsByID() {
		since := m.unansweredSince(now)
		if since.IsZero() || now.Sub(since) < s.copyBudget.delay {
			continue
		}
		for _, r := range m.runs {
			s.startCopy(now, m, r, "its minion does not answer")
		}
	}
}

// unansweredSince is since when the minion, or its whole zone, has not answered;
// zero if it answers.
func (m *minion) unansweredSince(now time.Time) time.Time {
	switch {
	case !m.silentSince.IsZero():
		return m.silentSince
	case m.zone.unreachable(now):
		return m.zone.answeredAt
	}
	return time.Time{}
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
	if !s.copyBudget.take(len(s.minions)) {
		return
	}
	s.note(Note{What: CopyQueued, Job: t.id.Job, Task: t.id.String(), Attempt: t.attempt, Minion: m.ID, Why: why})
	j := r.step.job
	j.copied = append(slices.DeleteFunc(j.copied, func(c copiedRun) bool { return !c.exists() }), copiedRun{m, r})
	r.copied = true
	t.openAttempts = append(t.openAttempts, t.attempt)
	s.requeue(r.step, t)
}

// isCurrent reports whether the run is the one that its task waits for.
func (r *run) isCurrent(m *minion) bool {
	t := r.task
	return t != nil && t.phase == Placed && t.attempt == r.key.attempt && t.incarnation == m.Incarnation
}

// stopCopies stops the runs of a job that were left running for copies and that no
// task waits for any more: all of them if the job has ended, otherwise those of
// finished tasks.
func (s *State) stopCopies(now time.Time, j *job) {
	for _, c := range j.copied {
		m, r := c.minion, c.run
		if r.stopping || !c.exists() || r.isCurrent(m) {
			continue
		}
		if j.state.Terminal() || r.task.phase == Finished {
			r.stopping = true
			s.sendStop(now, m, r)
		}
	}
}
