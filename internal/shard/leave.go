package shard

import (
	"time"

	"jasminestep/internal/work"
)

// A minion that drains tells how long it stays at least. What will not end there
// in time is stopped while its end can still be listed, so that it goes on
// elsewhere: from its checkpoint, if it has one. Otherwise its tasks would wait
// for the end of the minion's lease.

// Times of an evacuation.
const (
	leaveMargin = 300 * time.Millisecond // before a minion leaves, for the last ends to be listed
	hopeFor     = 500 * time.Millisecond // that a run without checkpoints may be over its minion's time: most stay longer than they say
)

// evacuate stops runs that will not end before their minions leave.
func (s *State) evacuate(now time.Time) {
	for _, m := range s.sorted() {
		if !m.Draining || len(m.runs) == 0 {
			continue
		}
		left := m.leaves.Sub(now) - leaveMargin
		for _, r := range m.runs {
			if r.stop || r.step == nil || r.state != live {
				continue
			}
			need := r.remaining(now)
			switch {
			case r.step.Lasting:
			case r.step.Checkpoints && need > left:
			case need > left+hopeFor:
			default:
				continue
			}
			s.note(Note{What: "evacuated", Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID, Why: left.Round(time.Millisecond).String()})
			s.evict(now, m, r)
		}
	}
}

// evict stops a run, with the rest of its gang.
func (s *State) evict(now time.Time, m *minion, r *run) {
	r.stop = true
	s.halt(now, m, r)
	if r.task != nil {
		s.breakGang(now, r.step)
	}
}

// Gone takes in that another minion has the address of a minion: its life is
// over, and nothing runs there any more.
func (s *State) Gone(now time.Time, l work.Incarnation) {
	m := s.minions[l.ID]
	if m == nil || m.Incarnation != l {
		return
	}
	if len(m.runs) > 0 || m.known {
		s.note(Note{What: "gone", Minion: m.ID})
	}
	m.known = false
	if m.silent.IsZero() {
		m.silent = now
	}
	s.drop(now, m, "another minion has its address")
}
