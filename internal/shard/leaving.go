package shard

import (
	"slices"
	"time"
)

// Lasting tasks whose minions drain, or are lost, look for their next places before
// they need them: what is to be known of minions is asked for, room is reserved and
// tickets are kept valid. A task on a lost minion starts again when its leases
// have ended. One on a minion that drains is stopped when its next place is ready,
// or, if there is none, as late as its end can still be reported.

// Times of a move.
const (
	slowStop       = 900 * time.Millisecond           // that a stop may take
	lastStop       = slowStop + 2*evacuationMargin    // before a draining minion leaves, for its lasting runs to be stopped and reported
	drainEvictLead = lastStop + 1200*time.Millisecond // before a draining minion leaves, from which on other work makes room for its lasting runs
	aheadInterval  = 30 * time.Millisecond            // between two looks for the places of a step, and for those of lost work
)

// leavingStep is a step with lasting runs on minions that drain, or whose leases end
// soon.
type leavingStep struct {
	*step
	drained  []drainedRun // of these runs, those that can still be moved
	evictsAt time.Time    // from when on other work makes room
}

// drainedRun is a lasting run on a minion that drains.
type drainedRun struct {
	*run
	minion *minion
	stopBy time.Time // when it is stopped in any case
}

// findLeaving determines which steps have lasting runs on minions that drain, or
// whose leases end soon.
func (s *State) findLeaving(now time.Time) {
	for _, l := range s.leaving {
		l.leaving = 0
	}
	s.leaving = s.leaving[:0]
	for _, m := range s.minionsByID() {
		lost := m.closed && s.givenUpAt(m).Sub(now) < lostLead
		if len(m.runs) > 0 && (lost || m.Draining && !m.closed) {
			s.addLeaving(m)
		}
	}
	slices.SortFunc(s.leaving, func(a, b *leavingStep) int { return a.key().compare(b.key()) })
}

// addLeaving adds the lasting runs of a minion.
func (s *State) addLeaving(m *minion) {
	for _, r := range m.runs {
		if !r.isCurrent(m) || !r.step.mustRun() || r.step.job.state.Terminal() {
			continue
		}
		i := slices.IndexFunc(s.leaving, func(l *leavingStep) bool { return l.step == r.step })
		if i < 0 {
			i = len(s.leaving)
			s.leaving = append(s.leaving, &leavingStep{step: r.step})
		}
		l := s.leaving[i]
		l.leaving++
		if m.Draining && !m.closed && !r.stopping {
			l.addDrained(m, r)
		}
	}
}

func (l *leavingStep) key() runKey { return runKey{task: l.id()} }

func (l *leavingStep) addDrained(m *minion, r *run) {
	l.drained = append(l.drained, drainedRun{r, m, m.leavesAt.Add(-lastStop)})
	if at := m.leavesAt.Add(-drainEvictLead); l.evictsAt.IsZero() || at.Before(l.evictsAt) {
		l.evictsAt = at
	}
}

// placeAhead looks for the next places of lasting tasks that still run, and stops
// those that drain once they have one.
func (v *view) placeAhead() {
	for _, l := range v.s.leaving {
		if l.job.state.Terminal() {
			continue
		}
		if !v.s.PlacementPaused {
			v.prepare(l)
		}
		v.moveDrained(l)
	}
}

// prepare asks for what is to be known of further minions, reserves room with valid
// tickets for the tasks of the step that want it, and has other work make room if
// their minions leave soon.
func (v *view) prepare(l *leavingStep) {
	if l.waiting == 0 && !v.now.Before(l.aheadAt) {
		l.aheadAt = v.now.Add(aheadInterval)
		v.queryMore(candidate{step: l.step})
		v.reserveRoom(l.step, nil)
	}
	if !l.evictsAt.IsZero() && !v.now.Before(l.evictsAt) {
		v.makeRoom(l.step)
	}
}

// moveDrained stops as many draining runs of a step as it has places that are
// ready, and those that can't wait any longer.
func (v *view) moveDrained(l *leavingStep) {
	ready := v.readyPlaces(l.step) - l.waiting - v.s.stoppingRuns(l.step)
	if v.s.PlacementPaused || l.Gang && (ready < l.leaving || !v.hasTickets(l.step)) {
		ready = 0
	}
	slices.SortFunc(l.drained, func(a, b drainedRun) int { return a.compare(b) })
	for _, r := range l.drained {
		if r.stopping || r.state != live || r.minion.runs[r.key] != r.run {
			continue
		}
		if ready <= 0 && v.now.Before(r.stopBy) {
			continue
		}
		ready--
		v.s.noteEvacuation(v.now, r.minion, r.run)
		v.s.evict(v.now, r.minion, r.run)
	}
}

// compare orders runs by when they are stopped in any case.
func (r drainedRun) compare(o drainedRun) int {
	if n := r.stopBy.Compare(o.stopBy); n != 0 {
		return n
	}
	return r.key.compare(o.key)
}

// readyPlaces is how many tasks of the step could start now in the room that it has
// reserved.
func (v *view) readyPlaces(p *step) int {
	n := 0
	for _, r := range p.reservations {
		if !v.hasTicket(p, r.minion) || p.obstacle(v.now, v.send, r.minion) != noObstacle {
			continue
		}
		n += countFitting(r.minion.free().Minus(r.minion.reservedByOthers(p)), p.Reserved(), r.n)
	}
	return n
}

// hasTicket reports whether tasks of the step that are stopped now could start on
// the minion.
func (v *view) hasTicket(p *step, m *minion) bool {
	elig, t := p.eligibility(v.now, m)
	if elig != eligible || p.job.Advice == nil {
		return elig == eligible
	}
	need := min(slowStop+evacuationMargin, time.Duration(queryAheadShare*float64(p.job.Advice.Valid)))
	return !t.expires.Before(v.now.Add(need))
}

// hasTickets reports whether a gang that is stopped now could start again as a whole.
func (v *view) hasTickets(p *step) bool {
	return !slices.ContainsFunc(v.s.stayingMinions(p), func(m *minion) bool { return !v.hasTicket(p, m) })
}

// stayingMinions lists the minions, other than those that drain or are lost, that have
// runs of a gang, members of which have to move. All of it starts again then.
func (s *State) stayingMinions(p *step) []*minion {
	if !p.Gang || p.leaving == 0 {
		return nil
	}
	var out []*minion
	for _, t := range p.tasks {
		m := s.current(t.incarnation)
		if t.phase == Placed && m != nil && !m.Draining && !m.closed && !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

// stoppingRuns is the number of placed tasks of a step whose runs are being stopped.
func (s *State) stoppingRuns(p *step) int {
	n := 0
	for _, t := range p.tasks {
		if t.phase != Placed {
			continue
		}
		if _, r := s.runAt(t.incarnation, runKey{t.id, t.attempt}); r != nil && r.stopping {
			n++
		}
	}
	return n
}
