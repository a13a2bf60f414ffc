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
	strikesAllowed  = 2
	pauseFirst      = time.Second
	pauseMost       = 8 * time.Second
	unansweredPause = 300 * time.Millisecond // after a start without an answer, for a report to come
)

// strike counts a failure of a minion; failures while it is paused anyway, of
// runs that were there before, count as one.
func (s *State) strike(now time.Time, m *minion) {
	if now.Before(m.paused) {
		return
	}
	m.strikes++
	if m.strikes < strikesAllowed {
		return
	}
	d := min(pauseFirst<<min(m.strikes-strikesAllowed, 3), pauseMost)
	m.paused = now.Add(d)
	s.note(Note{What: "paused", Minion: m.ID, Why: d.String()})
}

// suspect says that a minion has failed too often to be given much.
func (m *minion) suspect() bool { return m.strikes >= strikesAllowed }

// probed says that a minion under suspicion has the one run it is given.
func (m *minion) probed() bool { return m.suspect() && len(m.runs) > 0 }

// distrust ranks minions for a task of the step: one that has failed should not
// go to a minion that has.
func (p *step) distrust(m *minion) float64 {
	if m.strikes == 0 || p.failures == 0 {
		return 0
	}
	return 3
}

// Weights of the newest time in what is learned of run times.
const (
	usualWeight = 0.05
	slowWeight  = 0.25
)

// learn takes in the time of a run that ended well.
func (s *State) learn(now time.Time, m *minion, r *run) {
	m.strikes = 0
	if r.step.Estimate <= 0 || r.placed.IsZero() || r.step.Fill {
		return
	}
	ratio := float64(now.Sub(r.placed)) / float64(r.step.Estimate)
	q := r.step.job.Queue
	if s.usual[q] == 0 {
		s.usual[q] = ratio
	}
	s.usual[q] += usualWeight * (ratio - s.usual[q])
	slow := ratio / s.usual[q]
	if m.slow == 0 {
		m.slow = 1
	}
	m.slow += slowWeight * (slow - m.slow)
}

// Bounds on the slowness of a minion, in times of the usual.
const (
	slowFrom     = 1.8
	verySlowFrom = 3.5
)

// pace sorts minions by how slow they are.
func (m *minion) pace() float64 {
	switch {
	case m.slow < slowFrom:
		return 0
	case m.slow < verySlowFrom:
		return 1
	}
	return 2
}

// speedSteps is how finely minions are told apart by their speed: this many
// steps between the usual time and none.
const speedSteps = 8

// speed sorts minions of the same pace by how long runs take there: below 0 on
// fast ones, above on slow ones.
func (m *minion) speed() float64 {
	if m.slow == 0 {
		return 0
	}
	return max(-1, min(math.Round((m.slow-1)*speedSteps)/speedSteps, 0.9))
}

// Bounds on how long a run may stand still.
const (
	stillLeast = 2 * time.Second
	stillShare = 0.4 // of the run's estimated time
)

// watch ends a run whose work stands still.
func (s *State) watch(now time.Time, m *minion, r *run, w work.Run) {
	if w.Percent != r.percent || r.moved.IsZero() {
		r.percent, r.moved = w.Percent, now
		return
	}
	p := r.step
	if r.task == nil || r.stop || p.Lasting || p.Fill || p.Gang {
		return
	}
	if now.Sub(r.moved) < max(stillLeast, time.Duration(stillShare*float64(p.Estimate))) {
		return
	}
	r.stop = true
	p.failures++
	s.strike(now, m)
	s.note(Note{What: "still", Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID, Why: now.Sub(r.moved).String()})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
