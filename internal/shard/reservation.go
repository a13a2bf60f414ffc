package shard

import (
	"cmp"
	"slices"
	"time"

	"jasminestep/internal/work"
)

// A gang that does not fit, and a task of half a minion or more, book room:
// minions on which enough will be free soonest, by what their runs report of
// their progress. Nothing else is placed in that room. Without this a large
// task waits for as long as smaller ones come; with it part of the room stands
// idle while the minions empty, so no more than a share of all room is booked; what is more
// than that is booked only if nothing else is.

// bookGain is how much sooner another choice of minions has to be free before a
// step changes its mind.
const minReservationGain = 300 * time.Millisecond

// pressedFor is the time that a small step has left when it may use room that
// others have booked.
const urgentSlack = time.Second

// booking is room on a minion that is kept for tasks of a step.
type reservation struct {
	step *step
	n    int // tasks
}

// place is a booking as its step knows it.
type stepReservation struct {
	minion *minion
	n      int // tasks
}

// kept is the room of a minion that is booked by other steps than p.
func (m *minion) reservedByOthers(p *step) work.Size {
	var s work.Size
	for _, b := range m.reservations {
		if b.step != p {
			s = s.Plus(b.step.Reserved().Times(int64(b.n)))
		}
	}
	return s
}

// books says whether the step books room when it does not fit.
func (v *view) mayReserve(p *step) bool {
	if v.s.Policy.MaxReserved == 0 {
		return false
	}
	return p.Gang || 2*p.Size.GPU >= v.largest.GPU && p.Size.GPU > 0 || 2*p.Size.CPU >= v.largest.CPU
}

// unbook drops the bookings of steps that no longer wait and on minions that
// take nothing, and counts the rest.
func (v *view) pruneReservations() {
	for _, m := range v.ms {
		v.totalRoom += roomWeight(m.Room)
		v.largest = work.Size{CPU: max(v.largest.CPU, m.Room.CPU), GPU: max(v.largest.GPU, m.Room.GPU)}
		if len(m.reservations) == 0 {
			continue
		}
		for i := len(m.reservations) - 1; i >= 0; i-- {
			if p := m.reservations[i].step; !p.runnable() || p.job.state.Terminal() || !m.usable(v.now) {
				p.cancelReservation(m)
				v.s.wakeSteps(m)
			}
		}
		v.reservedRoom += roomWeight(m.reservedByOthers(nil))
	}
}

// slot is room for one task of a step on a minion, from a time on.
type slot struct {
	*minion
	freeIn time.Duration // until it is free
}

// slots lists where tasks of the step could run, soonest first.
func (v *view) slots(p *step) []slot {
	var out []slot
	need := p.Reserved()
	for _, m := range v.s.eligibleMinions(p) {
		if !m.usable(v.now) || !p.suits(m) || p.conflicts(m) || m.probing() {
			continue
		}
		room := m.free().Minus(m.reservedByOthers(p)).Minus(m.heldRoom)
		es := v.expectedEnds(m)
		in := time.Duration(0)
		for k := range p.maxOnEmpty(m) {
			want := need.Times(int64(k + 1))
			for len(es) > 0 && !room.Fits(want) {
				room, in, es = room.Plus(es[0].size), es[0].in, es[1:]
			}
			if !room.Fits(want) {
				break
			}
			out = append(out, slot{m, in})
		}
	}
	slices.SortStableFunc(out, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.freeIn, b.freeIn), cmp.Compare(a.slownessClass(), b.slownessClass()))
	})
	return out
}

// book keeps room for the tasks of a step that wait: for all of a gang or none,
// so that no two gangs wait for each other's. It returns when the last of the
// room is expected to be free; ok is false if nothing is kept.
func (v *view) reserve(p *step) (ready time.Duration, ok bool) {
	if p.Gang && !p.hasRoom && v.exceedsReservable(p, p.waiting) {
		return 0, false
	}
	all := v.slots(p)
	if p.Gang && len(all) < p.waiting {
		v.releaseReservations(p)
		return 0, false
	}
	chosen := all[:min(len(all), p.waiting)]
	if old := v.reservedSlots(p, all); len(old) == len(chosen) && len(old) > 0 && old[len(old)-1].freeIn < chosen[len(chosen)-1].freeIn+minReservationGain {
		return old[len(old)-1].freeIn, true
	}
	v.releaseReservations(p)
	if len(chosen) == 0 {
		return 0, false
	}
	if v.exceedsReservable(p, len(chosen)) {
		return 0, false
	}
	for _, sl := range chosen {
		v.addReservation(p, sl.minion)
	}
	return chosen[len(chosen)-1].freeIn, true
}

// crowded says that others have booked too much for n tasks of the step to book.
func (v *view) exceedsReservable(p *step, n int) bool {
	more := roomWeight(p.Reserved()) * float64(n)
	share := v.s.Policy.MaxReserved
	if p.missesObjective {
		share *= v.s.Policy.LateFactor
	}
	return v.reservedRoom > 0 && v.reservedRoom+more > share*v.totalRoom
}

// standing picks those of all slots that the step has booked.
func (v *view) reservedSlots(p *step, all []slot) []slot {
	if !p.hasRoom {
		return nil
	}
	left := make(map[*minion]int, len(p.reservations))
	for _, pl := range p.reservations {
		left[pl.minion] = pl.n
	}
	var out []slot
	for _, sl := range all {
		if left[sl.minion] > 0 {
			left[sl.minion]--
			out = append(out, sl)
		}
	}
	return out
}

// take books room for one task on a minion.
func (v *view) addReservation(p *step, m *minion) {
	if !p.hasRoom {
		p.hasRoom, p.reservedAt = true, v.now
	}
	v.reservedRoom += roomWeight(p.Reserved())
	if i := slices.IndexFunc(p.reservations, func(pl stepReservation) bool { return pl.minion == m }); i >= 0 {
		p.reservations[i].n++
		m.reservations[slices.IndexFunc(m.reservations, func(b reservation) bool { return b.step == p })].n++
		return
	}
	p.reservations = append(p.reservations, stepReservation{m, 1})
	m.reservations = append(m.reservations, reservation{p, 1})
}

// unbook gives up what a step has booked on a minion.
func (p *step) cancelReservation(m *minion) {
	p.reservations = slices.DeleteFunc(p.reservations, func(pl stepReservation) bool { return pl.minion == m })
	m.reservations = slices.DeleteFunc(m.reservations, func(b reservation) bool { return b.step == p })
	p.hasRoom = len(p.reservations) > 0
}

// unbookAll gives up all that is booked on a minion.
func (s *State) cancelReservations(m *minion) {
	for len(m.reservations) > 0 {
		m.reservations[0].step.cancelReservation(m)
	}
	s.wakeSteps(m)
}

// release gives up what a step has booked.
func (v *view) releaseReservations(p *step) {
	for len(p.reservations) > 0 {
		pl := p.reservations[0]
		v.reservedRoom -= roomWeight(p.Reserved()) * float64(pl.n)
		p.cancelReservation(pl.minion)
		if p.reservedAt.Before(v.now) {
			v.s.wakeSteps(pl.minion) // others have been refused that room
		}
	}
}

// bookedIDs lists the minions on which the step has booked room.
func (p *step) reservedIDs() []string {
	ids := make([]string, len(p.reservations))
	for i, pl := range p.reservations {
		ids[i] = pl.minion.ID
	}
	return ids
}

// bookedBy says whether the step has booked room on the minion.
func (m *minion) hasReservation(p *step) bool {
	return slices.ContainsFunc(m.reservations, func(b reservation) bool { return b.step == p })
}

// ending is the expected end of a run.
type expectedEnd struct {
	in   time.Duration
	size work.Size
}

// endings lists when the runs of a minion are expected to end, soonest first;
// those that last are left out.
func (v *view) expectedEnds(m *minion) []expectedEnd {
	if es, ok := v.endCache[m]; ok {
		return es
	}
	if v.endCache == nil {
		v.endCache = map[*minion][]expectedEnd{}
	}
	es := make([]expectedEnd, 0, len(m.runs))
	for _, r := range m.runs {
		if r.step != nil && !r.step.Lasting {
			es = append(es, expectedEnd{r.remaining(v.now), r.size})
		}
	}
	slices.SortFunc(es, func(a, b expectedEnd) int { return cmp.Compare(a.in, b.in) })
	v.endCache[m] = es
	return es
}

// remaining estimates how long a run goes on: by its reported progress, or by
// the client's estimate as long as there is none.
func (r *run) remaining(now time.Time) time.Duration {
	if r.placedAt.IsZero() {
		return max(r.step.Estimate, 0) // from a former owner; nothing is known of its beginning
	}
	if done := r.progressAt.Sub(r.placedAt); r.percent > 0 && done > 0 {
		left := time.Duration(float64(done) * float64(100-r.percent) / float64(r.percent))
		return max(left-now.Sub(r.progressAt), 0)
	}
	return max(r.step.Estimate-now.Sub(r.placedAt), 0)
}
