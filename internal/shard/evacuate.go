package shard

import (
	"time"
)

// A draining minion announces the least time that it stays. Runs that will not
// end in that time are stopped while the minion can still report their ends, so
// that their tasks continue elsewhere, from a checkpoint if there is one.
// Otherwise the tasks would have to wait for the end of the minion's lease.

// Time limits of an evacuation.
const (
	evacuationMargin = 300 * time.Millisecond // before the minion leaves, so that it can report the last ends
	overrunTolerance = 500 * time.Millisecond // how far a run without checkpoints may exceed the minion's time: most minions stay longer than announced
)

// evacuate stops runs that will not end before their minions leave.
func (s *State) evacuate(now time.Time) {
	for _, m := range s.minionsByID() {
		if !m.Draining || len(m.runs) == 0 {
			continue
		}
		left := m.leavesAt.Sub(now) - evacuationMargin
		for _, r := range m.runs {
			if r.stopping || r.step == nil || r.state != live {
				continue
			}
			need := r.remaining(now)
			switch {
			case r.step.mustRun():
				continue // see moveDrained
			case r.step.Lasting:
			case r.step.Checkpoints && need > left:
			case need > left+overrunTolerance:
			default:
				continue
			}
			s.noteEvacuation(now, m, r)
			s.evict(now, m, r)
		}
	}
}

func (s *State) noteEvacuation(now time.Time, m *minion, r *run) {
	left := m.leavesAt.Sub(now) - evacuationMargin
	s.note(Note{What: RunEvacuated, Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID, Why: left.Round(time.Millisecond).String()})
}

// evict stops a run and the rest of its gang.
func (s *State) evict(now time.Time, m *minion, r *run) {
	r.stopping = true
	s.sendStop(now, m, r)
	if r.task != nil {
		s.stopGang(now, r.step)
	}
}
