package shard

import (
	"slices"
	"strings"
	"time"
)

// A minion whose runs fail or make no progress is a suspect: it is paused for
// increasing times, and then gets one run at a time until one succeeds. A task
// that has failed is kept away from suspects: the failure may have been the
// minion's fault, and a job has a limited number of attempts.
//
// A failure may also be the task's own fault. It does not count against the
// minion if the task has failed on others too, or if its step has and none of
// its tasks has succeeded anywhere. That may turn out later, so it is decided
// when failures are counted.

// Limits of suspicion.
const (
	failuresBeforePause = 2
	minPause            = time.Second
	maxPause            = 8 * time.Second
	noReplyPause        = 300 * time.Millisecond // after a start without a reply, to leave time for a report
	probeTime           = 10 * time.Second       // after which a suspect may get another run although the last one has not ended
	maxFailures         = 8                      // that are kept of a minion
	minionsForOwnFault  = 2                      // on which a task has to fail for the fault to be its own
	maxSuspectShare     = 0.5                    // of the minions; if more are suspects the cause is a common one
)

// failure is the failure of a run. The zero value is a refusal, which is the
// minion's own fault.
type failure struct {
	step *step
	task *task
}

// ownFault reports whether the failure was probably the fault of the task.
func (f failure) ownFault() bool {
	switch {
	case f.task == nil || f.task.phase == Finished:
		return false
	case len(f.task.failedOn) >= minionsForOwnFault:
		return true
	}
	return len(f.step.failedOn) >= minionsForOwnFault && !f.step.succeeded
}

// addMinion adds a minion to those on which something has failed, as far as
// they matter.
func addMinion(ids []string, id string) []string {
	if len(ids) >= minionsForOwnFault || slices.Contains(ids, id) {
		return ids
	}
	return append(ids, id)
}

// recordFailure counts a failure on a minion. Failures of earlier runs that
// arrive while the minion is paused are not counted against it again.
func (s *State) recordFailure(now time.Time, m *minion, f failure) {
	if f.task != nil {
		f.task.failedOn = addMinion(f.task.failedOn, m.ID)
		f.step.failedOn = addMinion(f.step.failedOn, m.ID)
	}
	if now.Before(m.pausedUntil) || m.pausedForFailures(now) {
		return
	}
	if len(m.failed) == maxFailures {
		m.failed = slices.Delete(m.failed, 0, 1)
	}
	m.failed, m.failedAt = append(m.failed, f), now
	n := m.failures()
	if n < failuresBeforePause {
		return
	}
	d := min(minPause<<min(n-failuresBeforePause, 3), maxPause)
	m.failurePauseUntil = now.Add(d)
	s.note(Note{What: MinionPaused, Minion: m.ID, Why: d.String() + ", after failures of " + m.failedTasks()})
}

// recordSuccess records that a run shows its minion and its task to be sound.
func (m *minion) recordSuccess(p *step, t *task) {
	m.failed = nil
	p.succeeded, p.failedOn, t.failedOn = true, nil, nil
}

// recordSurvival counts a lasting run as a success, since it never ends as one,
// once it has lasted for long enough.
func (m *minion) recordSurvival(now time.Time, r *run) {
	if r.survived || r.task == nil || !r.step.Lasting || r.age(now) < lastingProof {
		return
	}
	r.survived = true
	if !r.placedAt.Before(m.failedAt) {
		m.recordSuccess(r.step, r.task)
	}
}

// failures returns the number of failures since the last success that count
// against the minion.
func (m *minion) failures() int {
	n := 0
	for _, f := range m.failed {
		if !f.ownFault() {
			n++
		}
	}
	return n
}

// failedTasks lists the tasks behind the failures that count against the minion.
func (m *minion) failedTasks() string {
	var out []string
	for _, f := range m.failed {
		switch {
		case f.ownFault():
		case f.task == nil:
			out = append(out, "a start that it refused")
		default:
			out = append(out, f.task.id.String())
		}
	}
	return strings.Join(out, ", ")
}

// suspect reports whether the minion has failed too often to be given more than
// one run.
func (m *minion) suspect() bool { return !m.suspicionIgnored && m.failures() >= failuresBeforePause }

// resting reports whether the minion is a suspect and paused.
func (m *minion) pausedForFailures(now time.Time) bool {
	return now.Before(m.failurePauseUntil) && m.suspect()
}

// probing reports whether the minion is a suspect and has the one run that it
// may have: one that was placed after its last failure, and not long ago, since
// some runs take long to end.
func (m *minion) probing(now time.Time) bool {
	if !m.suspect() {
		return false
	}
	for _, r := range m.runs {
		if r.placedAt.After(m.failedAt) && r.age(now) < probeTime {
			return true
		}
	}
	return false
}

// ignoreCommonFailures treats no minion as a suspect while most are: then the cause is
// a common one, and other work would have nowhere to go.
func (s *State) ignoreCommonFailures() {
	n := 0
	for _, m := range s.minionsByID() {
		if m.failures() >= failuresBeforePause {
			n++
		}
	}
	common := float64(n) > maxSuspectShare*float64(len(s.minions))
	for _, m := range s.minionsByID() {
		m.suspicionIgnored = common
	}
	if common != s.commonFailures {
		s.commonFailures, s.roomFreed = common, true
	}
}

// failurePenalty ranks minions for a task of the step: a step with failures
// should not go to a minion with failures, least of all of its own tasks.
func (p *step) failurePenalty(m *minion) float64 {
	if p.failures == 0 || len(m.failed) == 0 {
		return 0
	}
	if m.failures() > 0 || slices.ContainsFunc(m.failed, func(f failure) bool { return f.step == p }) {
		return 3
	}
	return 0
}
