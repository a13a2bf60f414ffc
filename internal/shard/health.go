package shard

import (
	"math"
	"time"

	"jasminestep/internal/work"
)

// A minion that fails what it is given, or lets it stand still, gets a pause
// that grows, and after it one run at a time until one succeeds. A task that has
// failed is kept away from minions under suspicion: the failure may have been
// the minion's, and a job has only so many attempts.

// Pauses of minions.
const (
	failuresBeforePause = 2
	minPause            = time.Second
	maxPause            = 8 * time.Second
	noReplyPause        = 300 * time.Millisecond // after a start without an answer, for a report to come
)

// strike counts a failure of a minion; failures while it is paused anyway, of
// runs that were there before, count as one.
func (s *State) recordFailure(now time.Time, m *minion) {
	if now.Before(m.pausedUntil) {
		return
	}
	m.failures++
	if m.failures < failuresBeforePause {
		return
	}
	d := min(minPause<<min(m.failures-failuresBeforePause, 3), maxPause)
	m.pausedUntil = now.Add(d)
	s.note(Note{What: "paused", Minion: m.ID, Why: d.String()})
}

// suspect says that a minion has failed too often to be given much.
func (m *minion) suspect() bool { return m.failures >= failuresBeforePause }

// probed says that a minion under suspicion has the one run it is given.
func (m *minion) probing() bool { return m.suspect() && len(m.runs) > 0 }

// distrust ranks minions for a task of the step: one that has failed should not
// go to a minion that has.
func (p *step) failurePenalty(m *minion) float64 {
	if m.failures == 0 || p.failures == 0 {
		return 0
	}
	return 3
}

// Weights of the newest time in what is learned of run times.
const (
	baselineWeight = 0.05
	slownessWeight = 0.25
)

// learn takes in the time of a run that ended well.
func (s *State) recordRunTime(now time.Time, m *minion, r *run) {
	m.failures = 0
	if r.step.Estimate <= 0 || r.placedAt.IsZero() || r.step.Fill {
		return
	}
	ratio := float64(now.Sub(r.placedAt)) / float64(r.step.Estimate)
	q := r.step.job.Queue
	if s.baseline[q] == 0 {
		s.baseline[q] = ratio
	}
	s.baseline[q] += baselineWeight * (ratio - s.baseline[q])
	slow := ratio / s.baseline[q]
	if m.slowness == 0 {
		m.slowness = 1
	}
	m.slowness += slownessWeight * (slow - m.slowness)
}

// Bounds on the slowness of a minion, in times of the usual.
const (
	slowThreshold     = 1.8
	verySlowThreshold = 3.5
)

// pace sorts minions by how slow they are.
func (m *minion) slownessClass() float64 {
	switch {
	case m.slowness < slowThreshold:
		return 0
	case m.slowness < verySlowThreshold:
		return 1
	}
	return 2
}

// speedSteps is how finely minions are told apart by their speed: this many
// steps between the usual time and none.
const speedLevels = 8

// speed sorts minions of the same pace by how long runs take there: below 0 on
// fast ones, above on slow ones.
func (m *minion) speedRank() float64 {
	if m.slowness == 0 {
		return 0
	}
	return max(-1, min(math.Round((m.slowness-1)*speedLevels)/speedLevels, 0.9))
}

// Bounds on how long a run may stand still.
const (
	minStall   = 2 * time.Second
	stallShare = 0.4 // of the run's estimated time
)

// watch ends a run whose work stands still.
func (s *State) checkProgress(now time.Time, m *minion, r *run, w work.Run) {
	if w.Percent != r.percent || r.progressAt.IsZero() {
		r.percent, r.progressAt = w.Percent, now
		return
	}
	p := r.step
	if r.task == nil || r.stopping || p.Lasting || p.Fill || p.Gang {
		return
	}
	if now.Sub(r.progressAt) < max(minStall, time.Duration(stallShare*float64(p.Estimate))) {
		return
	}
	r.stopping = true
	p.failures++
	s.recordFailure(now, m)
	s.note(Note{What: "still", Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID, Why: now.Sub(r.progressAt).String()})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
