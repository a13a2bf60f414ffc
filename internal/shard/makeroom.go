package shard

import (
	"cmp"
	"slices"
	"time"

	"jasminestep/internal/work"
)

// Work that may wait makes room for lasting tasks that have waited for evictAfter,
// where room is reserved for them. What ends soon has ended by then.

// evictAfter is how long a lasting task waits before other work makes room for it.
const evictAfter = 500 * time.Millisecond

// makeRoom stops runs that may wait where a step has reserved room that is not
// free.
func (v *view) makeRoom(p *step) {
	if !v.s.Policy.Evict {
		return
	}
	for _, r := range p.reservations {
		v.makeRoomOn(r.minion, p)
	}
}

// makeRoomOn stops the runs on a minion whose loss is smallest until the room that p
// has reserved there fits, beside that of the lasting steps that it does not go before.
func (v *view) makeRoomOn(m *minion, p *step) {
	need := m.reserved(func(q *step) bool { return q == p || q.mustRun() && !p.goesBefore(q) })
	room := m.free()
	for _, r := range m.runs {
		if r.stopping {
			room = room.Plus(r.size)
		}
	}
	if room.CanFit(need) {
		return
	}
	for _, r := range smallestLoss(v.evictable(m), room, need) {
		v.s.note(Note{What: RunEvicted, Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID, Why: "for " + p.id().StepID()})
		v.s.evict(v.now, m, r)
	}
}

// smallestLoss selects the first of the runs with which need fits into the room, without
// those that it does not take; none if need does not fit at all.
func smallestLoss(rs []*run, room, need work.Size) []*run {
	n := 0
	for n < len(rs) && !room.CanFit(need) {
		room = room.Plus(rs[n].size)
		n++
	}
	if !room.CanFit(need) {
		return nil
	}
	out := slices.Clone(rs[:n])
	for i := n - 1; i >= 0; i-- {
		if left := room.Minus(out[i].size); left.CanFit(need) {
			room, out = left, slices.Delete(out, i, i+1)
		}
	}
	return out
}

// evictable lists the runs of a minion that may wait, those first whose stop
// loses least. Lasting fill tasks may have a limit on how many are interrupted.
func (v *view) evictable(m *minion) []*run {
	var out []*run
	for _, r := range m.runs {
		if r.step != nil && !r.step.mustRun() && !r.stopping && r.state == live && r.step.MayMiss == 0 {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int {
		return cmp.Or(cmp.Compare(a.evictionCost(v.now), b.evictionCost(v.now)), a.key.compare(b.key))
	})
	return out
}

// gangEvictionCost exceeds the cost of any run that is not of a gang.
const gangEvictionCost = 1e9

// evictionCost is the work that a stop of the run loses, in core-seconds.
func (r *run) evictionCost(now time.Time) float64 {
	cores := float64(r.size.CPU)/1000 + coresPerGPU*float64(r.size.GPU)
	cost := cores * now.Sub(r.placedAt).Seconds()
	switch {
	case r.placedAt.IsZero():
		cost = cores * r.step.runTime.Seconds()
	case r.step.Checkpoints:
		cost /= checkpointSaving
	}
	if r.step.Gang {
		cost += gangEvictionCost
	}
	return cost
}

// checkpointSaving is by how much less is lost of a run that saves checkpoints.
const checkpointSaving = 4

// evictsFor reports whether a step has waited so long that other work makes room.
func (v *view) evictsFor(p *step) bool {
	return p.mustRun() && !p.shortSince.IsZero() && v.now.Sub(p.shortSince) >= evictAfter
}
