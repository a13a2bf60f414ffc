package shard

import (
	"slices"
	"time"
)

// When one member of a gang is refused, the gang is not stopped: the other
// members wait at their minions for a limited time, and the refused start has
// certainly not begun. The member is therefore started elsewhere with the same
// attempt number.

// gangRepairWindow is how long after the placement of a gang its missing members
// may still be started. Minions give up an incomplete gang some time after that.
const gangRepairWindow = 1800 * time.Millisecond

// repairGang requeues the missing members of a gang if there is time left, and
// reports whether it does.
func (s *State) repairGang(now time.Time, p *step) bool {
	if p.waiting >= p.unfinished || p.gangPlacedAt.IsZero() || now.Sub(p.gangPlacedAt) > gangRepairWindow || p.job.state.Terminal() {
		return false
	}
	if slices.ContainsFunc(p.tasks, func(t *task) bool { return t.phase == Placed && s.runEnding(t) }) {
		return false
	}
	p.incomplete = true
	s.enqueue(p)
	return true
}

// runEnding reports whether the run of a placed task has ended or is being
// stopped.
func (s *State) runEnding(t *task) bool {
	_, r := s.runAt(t.incarnation, runKey{t.id, t.attempt})
	return r == nil || r.stopping
}

// completeGang places the missing members of a gang, all of them or none, and
// gives up the gang once its time is over.
func (v *view) completeGang(p *step, scored []*scoredMinion) {
	plan := planTasks(p, slices.DeleteFunc(scored, lacksTicket), p.waiting)
	missing, _ := p.waitingTasks()
	switch {
	case !v.s.repairGang(v.now, p):
		p.incomplete = false
		v.s.stopGang(v.now, p)
	case len(plan) == p.waiting && p.job.account.startable(p) >= p.waiting:
		p.incomplete = false
		v.start(p, missing, plan)
	}
}

// brokenUp reports whether some members of a gang wait while others may still run,
// which are stopped so that all start again. A former owner may not have done so.
func (p *step) brokenUp() bool {
	return p.Gang && 0 < p.waiting && p.waiting < p.unfinished && !p.incomplete && p.ready()
}
