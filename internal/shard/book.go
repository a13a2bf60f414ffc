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
const bookGain = 300 * time.Millisecond

// pressedFor is the time that a small step has left when it may use room that
// others have booked.
const pressedFor = time.Second

// booking is room on a minion that is kept for tasks of a step.
type booking struct {
	step *step
	n    int // tasks
}

// place is a booking as its step knows it.
type place struct {
	minion *minion
	n      int // tasks
}

// kept is the room of a minion that is booked by other steps than p.
func (m *minion) kept(p *step) work.Size {
	var s work.Size
	for _, b := range m.booked {
		if b.step != p {
			s = s.Plus(b.step.Reserved().Times(int64(b.n)))
		}
	}
	return s
}

// books says whether the step books room when it does not fit.
func (v *view) books(p *step) bool {
	if v.s.Policy.Booked == 0 {
		return false
	}
	return p.Gang || 2*p.Size.GPU >= v.largest.GPU && p.Size.GPU > 0 || 2*p.Size.CPU >= v.largest.CPU
}

// unbook drops the bookings of steps that no longer wait and on minions that
// take nothing, and counts the rest.
func (v *view) unbook() {
	for _, m := range v.ms {
		v.room += weigh(m.Capacity)
		v.largest = work.Size{CPU: max(v.largest.CPU, m.Capacity.CPU), GPU: max(v.largest.GPU, m.Capacity.GPU)}
		if len(m.booked) == 0 {
			continue
		}
		for i := len(m.booked) - 1; i >= 0; i-- {
			if p := m.booked[i].step; !p.runnable() || p.job.state.Over() || !m.usable(v.now) {
				p.unbook(m)
				v.s.wake(m)
			}
		}
		v.booked += weigh(m.kept(nil))
	}
}

// slot is room for one task of a step on a minion, from a time on.
type slot struct {
	*minion
	in time.Duration // until it is free
}

// slots lists where tasks of the step could run, soonest first.
func (v *view) slots(p *step) []slot {
	var out []slot
	need := p.Reserved()
	for _, m := range v.s.possible(p) {
		if !m.usable(v.now) || !p.suits(m) || p.apart(m) || m.probed() {
			continue
		}
		room := m.free().Minus(m.kept(p)).Minus(m.shade)
		es := v.endings(m)
		in := time.Duration(0)
		for k := range p.most(m) {
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
		return cmp.Or(cmp.Compare(a.in, b.in), cmp.Compare(a.pace(), b.pace()))
	})
	return out
}

// book keeps room for the tasks of a step that wait: for all of a gang or none,
// so that no two gangs wait for each other's. It returns when the last of the
// room is expected to be free; ok is false if nothing is kept.
func (v *view) book(p *step) (ready time.Duration, ok bool) {
	if p.Gang && !p.booked && v.crowded(p, p.waiting) {
		return 0, false
	}
	all := v.slots(p)
	if p.Gang && len(all) < p.waiting {
		v.release(p)
		return 0, false
	}
	best := all[:min(len(all), p.waiting)]
	if old := v.standing(p, all); len(old) == len(best) && len(old) > 0 && old[len(old)-1].in < best[len(best)-1].in+bookGain {
		return old[len(old)-1].in, true
	}
	v.release(p)
	if len(best) == 0 {
		return 0, false
	}
	if v.crowded(p, len(best)) {
		return 0, false
	}
	for _, sl := range best {
		v.take(p, sl.minion)
	}
	return best[len(best)-1].in, true
}

// crowded says that others have booked too much for n tasks of the step to book.
func (v *view) crowded(p *step, n int) bool {
	more := weigh(p.Reserved()) * float64(n)
	share := v.s.Policy.Booked
	if p.late {
		share *= v.s.Policy.Late
	}
	return v.booked > 0 && v.booked+more > share*v.room
}

// standing picks those of all slots that the step has booked.
func (v *view) standing(p *step, all []slot) []slot {
	if !p.booked {
		return nil
	}
	left := make(map[*minion]int, len(p.places))
	for _, pl := range p.places {
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
func (v *view) take(p *step, m *minion) {
	if !p.booked {
		p.booked, p.bookedAt = true, v.now
	}
	v.booked += weigh(p.Reserved())
	if i := slices.IndexFunc(p.places, func(pl place) bool { return pl.minion == m }); i >= 0 {
		p.places[i].n++
		m.booked[slices.IndexFunc(m.booked, func(b booking) bool { return b.step == p })].n++
		return
	}
	p.places = append(p.places, place{m, 1})
	m.booked = append(m.booked, booking{p, 1})
}

// unbook gives up what a step has booked on a minion.
func (p *step) unbook(m *minion) {
	p.places = slices.DeleteFunc(p.places, func(pl place) bool { return pl.minion == m })
	m.booked = slices.DeleteFunc(m.booked, func(b booking) bool { return b.step == p })
	p.booked = len(p.places) > 0
}

// unbookAll gives up all that is booked on a minion.
func (s *State) unbookAll(m *minion) {
	for len(m.booked) > 0 {
		m.booked[0].step.unbook(m)
	}
	s.wake(m)
}

// release gives up what a step has booked.
func (v *view) release(p *step) {
	for len(p.places) > 0 {
		pl := p.places[0]
		v.booked -= weigh(p.Reserved()) * float64(pl.n)
		p.unbook(pl.minion)
		if p.bookedAt.Before(v.now) {
			v.s.wake(pl.minion) // others have been refused that room
		}
	}
}

// bookedIDs lists the minions on which the step has booked room.
func (p *step) bookedIDs() []string {
	ids := make([]string, len(p.places))
	for i, pl := range p.places {
		ids[i] = pl.minion.ID
	}
	return ids
}

// bookedBy says whether the step has booked room on the minion.
func (m *minion) bookedBy(p *step) bool {
	return slices.ContainsFunc(m.booked, func(b booking) bool { return b.step == p })
}

// ending is the expected end of a run.
type ending struct {
	in   time.Duration
	size work.Size
}

// endings lists when the runs of a minion are expected to end, soonest first;
// those that last are left out.
func (v *view) endings(m *minion) []ending {
	if es, ok := v.ends[m]; ok {
		return es
	}
	if v.ends == nil {
		v.ends = map[*minion][]ending{}
	}
	es := make([]ending, 0, len(m.runs))
	for _, r := range m.runs {
		if r.step != nil && !r.step.Lasting {
			es = append(es, ending{r.remaining(v.now), r.size})
		}
	}
	slices.SortFunc(es, func(a, b ending) int { return cmp.Compare(a.in, b.in) })
	v.ends[m] = es
	return es
}

// remaining estimates how long a run goes on: by its reported progress, or by
// the client's estimate as long as there is none.
func (r *run) remaining(now time.Time) time.Duration {
	if r.placed.IsZero() {
		return max(r.step.Estimate, 0) // from a former owner; nothing is known of its beginning
	}
	if done := r.moved.Sub(r.placed); r.percent > 0 && done > 0 {
		left := time.Duration(float64(done) * float64(100-r.percent) / float64(r.percent))
		return max(left-now.Sub(r.moved), 0)
	}
	return max(r.step.Estimate-now.Sub(r.placed), 0)
}
