package shard

import (
	"fmt"
	"time"

	"jasminestep/internal/work"
)

// Fill tasks take the capacity that other tasks leave, and disturb tasks beside
// them whose response times have a bound (a target). The two are kept apart
// while other minions can take them. Where none can, they share a minion, and
// the fill tasks work at a part of their speed, which follows the response times
// that the minion reports. So fill tasks never keep others waiting.
//
// A speed is known only once the minion has confirmed it. An owner does not know
// the speeds of the runs that it inherits, so it sets them anew.

// Speeds of fill runs, in percent.
const (
	fullSpeed    = 100 // of every run at its start
	initialSpeed = 20  // where runs begin to share a minion
	minSpeed     = 5   // below it, the runs are suspended
	speedStep    = 10  // by which the speed rises
)

// Response times, as shares of the target, at which the speed changes.
const (
	easyResponse  = 0.6 // below it, fill runs may work faster
	tightResponse = 0.8 // above it, they are slowed down
)

// Timing of speeds.
const (
	slowDownInterval = 600 * time.Millisecond // reports show the response times of the last half second
	speedUpInterval  = 2 * time.Second
	throttleTimeout  = time.Second // for the reply to an order
)

// shares reports whether a task of the step on m would make fill tasks and tasks
// with a target share the minion.
func (p *step) shares(m *minion) bool {
	if p.Fill {
		return m.targetRuns > 0
	}
	return p.Target > 0 && m.fillRuns > 0
}

// sharing is the state of a minion on which fill tasks and tasks with a target
// run. The zero value is that of any other minion.
type sharing struct {
	active    bool
	speed     int // that the fill runs may have, in percent
	changedAt time.Time
	response  float64 // highest response time as a share of the target; 0 if unknown
}

// updateSharing records whether fill tasks and tasks with a target share the
// minion now, and returns the speed that its fill runs may have.
func (m *minion) updateSharing(now time.Time) int {
	shared := m.fillRuns > 0 && m.targetRuns > 0
	switch {
	case !shared:
		m.sharing = sharing{}
		return fullSpeed
	case !m.sharing.active:
		m.sharing = sharing{active: true, speed: initialSpeed, changedAt: now}
	}
	return m.sharing.speed
}

// adapt changes the speed according to the response times in a report. At a
// response time above the target the fill runs are suspended at once.
func (h *sharing) adapt(now time.Time, response float64) {
	h.response = response
	since := now.Sub(h.changedAt)
	old := h.speed
	switch {
	case response >= 1:
		h.speed = 0
	case response > tightResponse && since >= slowDownInterval:
		if h.speed /= 2; h.speed < minSpeed {
			h.speed = 0
		}
	case response > 0 && response < easyResponse && since >= speedUpInterval:
		h.speed = min(h.speed+speedStep, fullSpeed)
	}
	if h.speed != old {
		h.changedAt = now
	}
}

// adaptSpeed processes the response times that a minion reports.
func (s *State) adaptSpeed(now time.Time, m *minion, rs []work.Run) {
	old := m.updateSharing(now)
	if m.sharing.active {
		m.sharing.adapt(now, m.highestResponse(rs))
		if n := m.sharing.speed; n != old {
			s.note(Note{What: FillThrottled, Minion: m.ID, Why: fmt.Sprintf("%d %%, response times are at %.2f of the target", n, m.sharing.response)})
		}
	}
	s.throttleRuns(now, m)
}

// highestResponse returns the highest reported response time as a share of its
// target, or 0 if none is known.
func (m *minion) highestResponse(rs []work.Run) float64 {
	highest := 0.0
	for _, w := range rs {
		r := m.runs[runKey{w.Task, w.Attempt}]
		if r != nil && r.step != nil && r.step.Target > 0 && !r.step.Fill {
			highest = max(highest, float64(w.Figure)/float64(r.step.Target.Milliseconds()))
		}
	}
	return highest
}

// throttleRuns orders the speeds that the fill runs of a minion do not have yet.
func (s *State) throttleRuns(now time.Time, m *minion) {
	speed := m.updateSharing(now)
	for _, r := range m.runs {
		if r.step == nil || !r.step.Fill || r.stopping || r.state != live || r.hasSpeed(speed) || now.Sub(r.throttledAt) < throttleTimeout {
			continue
		}
		r.throttledAt = now
		s.actions.Throttles = append(s.actions.Throttles, ThrottleOrder{m.Minion, r.key.task, r.key.attempt, speed, m.token})
	}
}

// hasSpeed reports whether the run certainly works at the speed.
func (r *run) hasSpeed(percent int) bool { return r.speedKnown && r.speed == percent }

// HandleThrottleReply processes the reply to a throttle order. A non-nil err
// means that there was none, or that the minion refused: a later order has a
// higher token, so that this one has no effect any more.
func (s *State) HandleThrottleReply(now time.Time, o ThrottleOrder, err error) {
	m, r := s.runAt(o.Minion.Incarnation, runKey{o.Task, o.Attempt})
	if r == nil {
		return
	}
	r.speed, r.speedKnown, r.throttledAt = o.Speed, err == nil, time.Time{}
	if err != nil {
		m.token = max(m.token, o.Token+1)
		return // the next report has it sent again
	}
	s.throttleRuns(now, m)
}
