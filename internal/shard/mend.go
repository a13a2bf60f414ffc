package shard

import (
	"slices"
	"time"
)

// A gang of which one member is refused is not taken apart: the others wait at
// their minions, for a time, and the start that was refused has certainly not
// begun. So the member is started elsewhere with the same attempt.

// mendFor is how long after a gang was placed its missing members may still be
// started. Minions give a gang up some time after that.
const mendFor = 1800 * time.Millisecond

// mend has the missing members of a gang placed again, if there is time, and
// says whether it does.
func (s *State) mend(now time.Time, p *step) bool {
	if p.waiting >= p.left || p.startAt.IsZero() || now.Sub(p.startAt) > mendFor || p.job.state.Over() {
		return false
	}
	if slices.ContainsFunc(p.tasks, func(t *task) bool { return t.phase == Placed && s.ending(t) }) {
		return false
	}
	p.short = true
	s.enqueue(p)
	return true
}

// ending says that the run of a placed task is to end.
func (s *State) ending(t *task) bool {
	m := s.minions[t.life.ID]
	if m == nil || m.Incarnation != t.life {
		return true
	}
	r := m.runs[runKey{t.id, t.attempt}]
	return r == nil || r.stop
}

// complete places the missing members of a gang, all of them now or none, and
// gives the gang up once there is no more time for it.
func (v *view) complete(p *step, spots []*spot) {
	plan := fill(p, slices.DeleteFunc(spots, stalePass))
	switch {
	case !v.s.mend(v.now, p):
		p.short = false
		v.s.breakGang(v.now, p)
	case len(plan) == p.waiting:
		p.short = false
		v.start(p, plan)
	}
}
