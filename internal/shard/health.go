package shard

import (
	"math"
	"time"

	"jasminestep/internal/work"
)

// Weights of the newest sample in the moving averages of run times.
const (
	baselineWeight = 0.05
	slownessWeight = 0.25
)

// recordRunTime updates the run time averages with a run that succeeded.
func (s *State) recordRunTime(now time.Time, m *minion, r *run) {
	if r.step.Estimate <= 0 || r.placedAt.IsZero() || r.step.Fill {
		return
	}
	s.observeRunTime(r.step, time.Duration(float64(now.Sub(r.placedAt))/m.speedFactor()))
	ratio := float64(now.Sub(r.placedAt)) / float64(r.step.runTime)
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

// maxSpeedFactor bounds how much of a run time is put down to its minion.
const maxSpeedFactor = 4

// speedFactor is the slowness of the minion, as far as it is known.
func (m *minion) speedFactor() float64 {
	if m.slowness == 0 {
		return 1
	}
	return max(1.0/maxSpeedFactor, min(m.slowness, maxSpeedFactor))
}

// Thresholds for the slowness of a minion, relative to the average.
const (
	slowThreshold     = 1.8
	verySlowThreshold = 3.5
)

// slownessClass ranks minions by how slow they are.
func (m *minion) slownessClass() float64 {
	switch {
	case m.slowness < slowThreshold:
		return 0
	case m.slowness < verySlowThreshold:
		return 1
	}
	return 2
}

// speedLevels is the resolution of speedRank: the number of levels between the
// average run time and zero.
const speedLevels = 8

// speedRank ranks minions of the same slowness class by their run times:
// negative for fast ones, positive for slow ones.
func (m *minion) speedRank() float64 {
	if m.slowness == 0 {
		return 0
	}
	return max(-1, min(math.Round((m.slowness-1)*speedLevels)/speedLevels, 0.9))
}

// Limits on how long a run may make no progress.
const (
	minStall   = 2 * time.Second
	stallShare = 0.4 // of the run's estimated time
)

// checkProgress stops a run that makes no progress.
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
	s.recordFailure(now, m, failure{p, r.task})
	s.note(Note{What: RunStalled, Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID, Why: now.Sub(r.progressAt).String()})
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
