package shard

import (
	"slices"
	"strings"

	"jasminestep/internal/work"
)

// suits reports whether a task of the step could run on m if m were empty.
func (p *step) suits(m *minion) bool {
	return m.Capacity.CanFit(p.Size) && (p.Label == "" || slices.Contains(m.Labels, p.Label))
}

// scoredMinion is a minion that can take tasks of a step, with its score.
type scoredMinion struct {
	*minion
	eligibility  eligibility
	ticket       ticket
	roomLeft     work.Size // room left after the placements of this decision
	taskCount    int       // tasks of the step on the minion
	planned      int       // of these, those of this decision
	usesReserved bool      // uses room that other steps have reserved
	strayLeases  bool      // may hold leases that calls for former incarnations gave it, so that lost runs would wait longer
	score        [5]float64
}

// eligibleMinions lists the minions that may run tasks of the step, by ID.
func (s *State) eligibleMinions(p *step) []*minion {
	if p.job.Advice == nil {
		return s.minionsByID()
	}
	a := &p.advice
	if a.unsorted || a.epoch != s.epoch {
		s.pruneAdvice(a)
		a.sorted = a.sorted[:0]
		for id := range a.eligible {
			m := s.minions[id]
			a.sorted = append(a.sorted, m)
			m.addEligibleStep(p)
		}
		slices.SortFunc(a.sorted, func(x, y *minion) int { return strings.Compare(x.ID, y.ID) })
		a.unsorted, a.epoch = false, s.epoch
	}
	return a.sorted
}

// runsOn returns the number of runs of the step on m, or 0 if the step has no
// limit per minion.
func (p *step) runsOn(m *minion) int {
	if p.PerMinion == 0 {
		return 0
	}
	n := 0
	for _, r := range m.runs {
		if r.step == p {
			n++
		}
	}
	return n
}

func (v *view) scoreMinions(p *step) []*scoredMinion {
	need := p.Reserved()
	ms := v.s.eligibleMinions(p)
	all := make([]scoredMinion, 0, len(ms))
	for _, m := range ms {
		if !m.free().CanFit(need) || p.obstacle(v.now, v.send, m) != noObstacle {
			continue
		}
		elig, t := p.eligibility(v.send, m)
		if elig == ineligible {
			continue
		}
		sm := scoredMinion{minion: m, eligibility: elig, ticket: t, roomLeft: m.free().Minus(m.reservedByOthers(p)).Minus(m.heldRoom), taskCount: p.runsOn(m)}
		sm.strayLeases = v.now.Before(v.s.record.strayEnd(m.Incarnation))
		if !sm.roomLeft.CanFit(need) && p.urgent {
			sm.roomLeft = m.free().Minus(m.reservedByLasting(p))
			if !p.mustRun() {
				sm.roomLeft = sm.roomLeft.Minus(m.heldRoom)
			}
			sm.usesReserved = true
		}
		if sm.roomLeft.CanFit(need) {
			all = append(all, sm)
		}
	}
	out := make([]*scoredMinion, len(all))
	for i := range all {
		out[i] = &all[i]
	}
	v.chooseZone(p, out)
	for _, sm := range out {
		sm.setScore(p)
	}
	slices.SortStableFunc(out, func(a, b *scoredMinion) int { return slices.Compare(a.score[:], b.score[:]) })
	return out
}

// setScore sets the sort key of the minion: first whether fill tasks and targets
// stay apart, then the rack of the data, then the zone of the step's other
// tasks, then the fullest minion, so that large tasks find room. Fill tasks go
// where most room is left, urgent tasks to the fastest minions. Lasting tasks,
// which have no zone, go where they need not wait for a ticket, and would not wait
// long for the end of leases.
func (sm *scoredMinion) setScore(p *step) {
	if p.shares(sm.minion) {
		sm.score[0] = sharingPenalty
	}
	if sm.usesReserved || p.hasReservations && !sm.hasReservation(p) {
		sm.score[0] += 2
	}
	if p.Rack != "" && !slices.Contains(sm.Labels, p.Rack) {
		sm.score[0]++
	}
	sm.score[1] = sm.slownessClass() + p.failurePenalty(sm.minion)
	if p.urgent {
		sm.score[1] += sm.speedRank()
	}
	switch {
	case p.Lasting && (sm.eligibility != eligible || sm.strayLeases):
		sm.score[2] = 1
	case p.preferredZone != "" && sm.Zone != p.preferredZone:
		sm.score[2] = 1
	}
	if p.Fill {
		sm.score[3] = -float64(sm.roomLeft.CPU) / float64(1+sm.fillRuns)
		return
	}
	if sm.Capacity.GPU > 0 {
		sm.score[3] = float64(sm.roomLeft.GPU - p.Size.GPU)
	}
	sm.score[4] = float64(sm.roomLeft.CPU - p.Size.CPU)
}

// sharingPenalty exceeds all else in the first key of a score.
const sharingPenalty = 4

// takeRoom reports whether one more task fits, and subtracts its room.
func (sm *scoredMinion) takeRoom(p *step) bool {
	if sm.suspect() && sm.planned > 0 || !sm.roomLeft.CanFit(p.Reserved()) || p.PerMinion > 0 && sm.taskCount >= p.PerMinion {
		return false
	}
	sm.roomLeft = sm.roomLeft.Minus(p.Reserved())
	sm.taskCount++
	sm.planned++
	return true
}

// mostMore is how many further tasks of the step a minion can take once nothing else
// is there.
func (p *step) mostMore(m *minion) int {
	if p.PerMinion > 0 {
		return min(p.maxOnEmpty(m), p.PerMinion-p.runsOn(m))
	}
	return p.maxOnEmpty(m)
}

// maxOnEmpty is how many tasks of the step an empty minion can take.
func (p *step) maxOnEmpty(m *minion) int {
	n := countFitting(m.Capacity, p.Reserved(), p.wanted())
	if p.PerMinion > 0 {
		n = min(n, p.PerMinion)
	}
	return max(n, 1)
}
