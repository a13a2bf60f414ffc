package shard

import (
	"cmp"
	"slices"
	"time"

	"jasminestep/internal/work"
)

// A lasting task or a gang that does not fit, and a task of half a minion or more,
// reserve room on the minions that are expected to have enough of it free soonest,
// judging by the progress that their runs report. Nothing else is placed in that
// room, but for lasting tasks, which may use what others have reserved.
// Without reservations a large task waits for as long as smaller ones keep
// arriving. With them part of the room is idle while the minions drain, so only
// a share of all room is reserved; more than that only if there is no other
// reservation. The share is smaller for gangs of small tasks: several of them fit
// on a minion, so they find room whenever a run ends. Lasting tasks reserve what
// they need, since their work would otherwise be lost to what may wait.

// minReservationGain is how much sooner another choice of minions has to be free
// before a step moves its reservation.
const minReservationGain = 300 * time.Millisecond

// urgentSlack is the slack below which a small step may use room that others
// have reserved, and the time for which a lasting one waits before it uses room
// that is held for tickets.
const urgentSlack = time.Second

// reservation is room on a minion that is reserved for tasks of a step.
type reservation struct {
	step *step
	n    int // tasks
}

// stepReservation is a reservation as its step records it.
type stepReservation struct {
	minion *minion
	n      int // tasks
}

// goesBefore reports whether the step may use what another has reserved: it must run,
// and the other may wait, or none of its tasks is away yet.
func (p *step) goesBefore(q *step) bool {
	return p.mustRun() && (!q.mustRun() || p.waiting > 0 && q.waiting == 0)
}

// reservedByOthers is the room of the minion that steps other than p have reserved
// and p may not use.
func (m *minion) reservedByOthers(p *step) work.Size {
	return m.reserved(func(q *step) bool { return q != p && !p.goesBefore(q) })
}

// reservedByLasting is the room of the minion that lasting steps other than p have
// reserved.
func (m *minion) reservedByLasting(p *step) work.Size {
	return m.reserved(func(q *step) bool { return q != p && q.mustRun() })
}

// reserved is the room of the minion that steps have reserved for which by holds.
func (m *minion) reserved(by func(*step) bool) work.Size {
	var s work.Size
	for _, r := range m.reservations {
		if by(r.step) {
			s = s.Plus(r.step.Reserved().Times(int64(r.n)))
		}
	}
	return s
}

// limitedRoom is the weight of room that n tasks of the step reserve, as far as
// the share that may be reserved limits it.
func (p *step) limitedRoom(n int) float64 {
	if p.mustRun() {
		return 0
	}
	return roomWeight(p.Reserved()) * float64(n)
}

// mayReserve reports whether the step reserves room when it does not fit.
func (v *view) mayReserve(p *step) bool {
	if v.s.Policy.MaxReserved == 0 {
		return false
	}
	return p.mustRun() || p.Gang || 2*p.Size.GPU >= v.room().largest.GPU && p.Size.GPU > 0 || 2*p.Size.CPU >= v.room().largest.CPU
}

// wantsRoom reports whether the step may have reservations. A gang that must run keeps
// them while the rest of it is being stopped.
func (p *step) wantsRoom() bool {
	return p.runnable() || p.leaving > 0 || p.mustRun() && p.waiting > 0 && p.ready()
}

// pruneReservations cancels the reservations of steps that no longer wait and
// those on unusable minions, and sums up the rest.
func (v *view) pruneReservations() {
	for _, m := range v.ms {
		if len(m.reservations) == 0 {
			continue
		}
		for i := len(m.reservations) - 1; i >= 0; i-- {
			if p := m.reservations[i].step; !p.wantsRoom() || p.job.state.Terminal() || !m.usable(v.now) {
				p.cancelReservation(m)
				v.s.wakeSteps(m)
			}
		}
		for _, r := range m.reservations {
			v.reservedRoom += r.step.limitedRoom(r.n)
		}
	}
}

// roomSums are sums over the minions that have answered this owner.
type roomSums struct {
	weight  float64   // all room, by roomWeight
	total   work.Size // all room
	largest work.Size // greatest room of any minion, by dimension
	used    float64   // room in use or unusable, by roomWeight
}

// room returns the sums as of their first use in the decision, since many decisions do
// without them.
func (v *view) room() *roomSums {
	if v.sums == nil {
		v.sums = &roomSums{}
		for _, m := range v.ms {
			if m.answered() {
				v.sums.add(v.now, m)
			}
		}
	}
	return v.sums
}

func (s *roomSums) add(now time.Time, m *minion) {
	weight := roomWeight(m.Capacity)
	s.weight += weight
	s.total = s.total.Plus(m.Capacity)
	s.largest = s.largest.AtLeast(m.Capacity)
	if m.usable(now) {
		s.used += roomWeight(m.used)
	} else {
		s.used += weight
	}
}

// slot is room on a minion for one task of a step, from a given time on.
type slot struct {
	*minion
	freeIn time.Duration // time until it is free
}

// shared is 1 if fill tasks and targets would share the minion of the slot.
func (sl *slot) shared(p *step) int {
	if p.shares(sl.minion) {
		return 1
	}
	return 0
}

// slotObstacle returns why no room is reserved for the step on a minion. A task that
// must run does not wait for an obstacle to end.
func (v *view) slotObstacle(p *step, m *minion) obstacle {
	if p.mustRun() {
		return p.obstacle(v.now, v.send, m)
	}
	return p.persistentObstacle(v.now, m)
}

// slots lists where tasks of the step could run, earliest first.
func (v *view) slots(p *step) []slot {
	var out []slot
	need := p.Reserved()
	for _, m := range v.s.eligibleMinions(p) {
		if v.slotObstacle(p, m) != noObstacle {
			continue
		}
		room := m.free().Minus(m.reservedByOthers(p)).Minus(m.heldRoom)
		es := v.expectedEnds(m)
		in := time.Duration(0)
		for k := range p.mostMore(m) {
			want := need.Times(int64(k + 1))
			for len(es) > 0 && !room.CanFit(want) {
				room, in, es = room.Plus(es[0].size), es[0].in, es[1:]
			}
			if !room.CanFit(want) {
				break
			}
			out = append(out, slot{m, in})
		}
	}
	slices.SortStableFunc(out, func(a, b slot) int {
		return cmp.Or(cmp.Compare(a.freeIn, b.freeIn), cmp.Compare(a.shared(p), b.shared(p)), cmp.Compare(a.slownessClass(), b.slownessClass()))
	})
	return out
}

// reserve reserves room for the tasks of a step that want it: for a whole gang or
// none of it, so that two gangs never wait for each other's room. It returns
// when the last of the room is expected to be free; ok is false if nothing is
// reserved.
func (v *view) reserve(p *step) (ready time.Duration, ok bool) {
	wanted := p.wanted()
	if p.Gang && !p.hasReservations && v.exceedsReservable(p, wanted) {
		return 0, false
	}
	all := v.slots(p)
	if p.Gang && len(all) < wanted {
		v.releaseReservations(p)
		return 0, false
	}
	chosen := all[:min(len(all), wanted)]
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

// exceedsReservable reports whether other reservations leave too little for n
// tasks of the step.
func (v *view) exceedsReservable(p *step, n int) bool {
	if p.mustRun() {
		return false
	}
	more := p.limitedRoom(n)
	share := v.s.Policy.MaxReserved
	if p.Gang && v.s.Policy.ReserveByTaskSize {
		share /= float64(v.perLargest(p))
	}
	if p.missesObjective {
		share *= v.s.Policy.LateFactor
	}
	return v.reservedRoom > 0 && v.reservedRoom+more > share*v.room().weight
}

// perLargest is how many tasks of the step the largest minion can take.
func (v *view) perLargest(p *step) int {
	return max(countFitting(v.room().largest, p.Reserved(), p.Tasks), 1)
}

// reservedSlots selects from all slots those that the step has reserved.
func (v *view) reservedSlots(p *step, all []slot) []slot {
	if !p.hasReservations {
		return nil
	}
	left := make(map[*minion]int, len(p.reservations))
	for _, r := range p.reservations {
		left[r.minion] = r.n
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

// addReservation reserves room for one task on a minion.
func (v *view) addReservation(p *step, m *minion) {
	if !p.hasReservations {
		p.hasReservations, p.reservedAt = true, v.now
	}
	v.reservedRoom += p.limitedRoom(1)
	if i := slices.IndexFunc(p.reservations, func(r stepReservation) bool { return r.minion == m }); i >= 0 {
		p.reservations[i].n++
		m.reservations[slices.IndexFunc(m.reservations, func(r reservation) bool { return r.step == p })].n++
		return
	}
	p.reservations = append(p.reservations, stepReservation{m, 1})
	m.reservations = append(m.reservations, reservation{p, 1})
}

// cancelReservation cancels the step's reservation on a minion.
func (p *step) cancelReservation(m *minion) {
	p.reservations = slices.DeleteFunc(p.reservations, func(r stepReservation) bool { return r.minion == m })
	m.reservations = slices.DeleteFunc(m.reservations, func(r reservation) bool { return r.step == p })
	p.hasReservations = len(p.reservations) > 0
}

// cancelReservations cancels all reservations on a minion.
func (s *State) cancelReservations(m *minion) {
	for len(m.reservations) > 0 {
		m.reservations[0].step.cancelReservation(m)
	}
	s.wakeSteps(m)
}

// releaseReservations cancels all reservations of a step.
func (v *view) releaseReservations(p *step) {
	for len(p.reservations) > 0 {
		r := p.reservations[0]
		v.reservedRoom -= p.limitedRoom(r.n)
		p.cancelReservation(r.minion)
		if p.reservedAt.Before(v.now) {
			v.s.wakeSteps(r.minion) // other steps have been refused that room
		}
	}
}

// reservedIDs lists the minions on which the step has reserved room.
func (p *step) reservedIDs() []string {
	ids := make([]string, len(p.reservations))
	for i, r := range p.reservations {
		ids[i] = r.minion.ID
	}
	return ids
}

// hasReservation reports whether the step has reserved room on the minion.
func (m *minion) hasReservation(p *step) bool {
	return slices.ContainsFunc(m.reservations, func(r reservation) bool { return r.step == p })
}

// expectedEnd is the expected end of a run.
type expectedEnd struct {
	in   time.Duration
	size work.Size
}

// expectedEnds lists when the runs of a minion are expected to end, earliest
// first. Runs that must go on are left out.
func (v *view) expectedEnds(m *minion) []expectedEnd {
	if es, ok := v.endCache[m]; ok {
		return es
	}
	if v.endCache == nil {
		v.endCache = map[*minion][]expectedEnd{}
	}
	es := make([]expectedEnd, 0, len(m.runs))
	for _, r := range m.runs {
		if r.step != nil && !r.step.mustRun() {
			es = append(es, expectedEnd{r.expectedIn(v.now), r.size})
		}
	}
	slices.SortFunc(es, func(a, b expectedEnd) int { return cmp.Compare(a.in, b.in) })
	v.endCache[m] = es
	return es
}

// stopTime is how long a run that is stopped usually takes to end.
const stopTime = 400 * time.Millisecond

// expectedIn is the time until the run is expected to end, by itself or because it
// is stopped.
func (r *run) expectedIn(now time.Time) time.Duration {
	left := r.remaining(now)
	if r.stopping {
		return min(left, stopTime)
	}
	return left
}

// remaining estimates how long a run continues, from its reported progress or,
// before there is any, from the client's estimate.
func (r *run) remaining(now time.Time) time.Duration {
	if r.placedAt.IsZero() {
		return max(r.step.runTime, 0) // inherited from a previous owner: its start time is unknown
	}
	if done := r.progressAt.Sub(r.placedAt); r.percent > 0 && done > 0 {
		left := time.Duration(float64(done) * float64(100-r.percent) / float64(r.percent))
		return max(left-now.Sub(r.progressAt), 0)
	}
	return max(r.step.runTime-now.Sub(r.placedAt), 0)
}
