package shard

import (
	"sort"
	"time"

	"jasminestep/internal/work"
)

// The tasks of a step go to one availability zone, if it has room for them: when
// a zone is cut off, the jobs that had a task there wait for it, and the fewer
// jobs these are the better. Lasting tasks are left out, since they lose no more
// by being apart.

// zone is what the shard knows of one availability zone.
type zone struct {
	name string
	late map[string]bool // minions that let a call wait for long since any minion of the zone has answered
	size int             // minions there
}

// lateMinions is how many minions have to keep a call waiting before the zone
// counts as cut off.
const lateMinions = 2

// doubted says that calls to the zone get no answers.
func (z *zone) doubted() bool {
	return z != nil && len(z.late) > 0 && len(z.late) >= min(lateMinions, z.size)
}

// heard takes in that a minion of the zone has answered.
func (z *zone) heard() {
	if z != nil && len(z.late) > 0 {
		clear(z.late)
	}
}

// Late takes in that a call to a minion has had no answer for longer than usual.
func (s *State) Late(now time.Time, l work.Incarnation) {
	m := s.minions[l.ID]
	if m == nil || m.Incarnation != l {
		return
	}
	m.paused = maxTime(m.paused, now.Add(unansweredPause))
	z := s.zoneOf(m)
	if z.late[l.ID] {
		return
	}
	was := z.doubted()
	z.late[l.ID] = true
	if !was && z.doubted() {
		s.checked = time.Time{}
		s.note(Note{What: "doubted", Minion: l.ID, Why: "no answers from " + z.name})
	}
}

// zoneOf returns the zone of a minion.
func (s *State) zoneOf(m *minion) *zone {
	if m.zone != nil && m.zone.name == m.Zone {
		return m.zone
	}
	z := s.zones[m.Zone]
	if z == nil {
		z = &zone{name: m.Zone, late: map[string]bool{}}
		s.zones[m.Zone] = z
	}
	if m.zone != nil {
		m.zone.size--
	}
	z.size++
	m.zone = z
	return z
}

// leaveZone takes a minion that is forgotten out of its zone.
func (m *minion) leaveZone() {
	if m.zone != nil {
		m.zone.size--
		delete(m.zone.late, m.ID)
	}
}

// room is what a decision knows of a zone.
type room struct {
	name string
	free work.Size
	ms   []*minion // by id
}

// rooms returns the zones with their usable room.
func (v *view) rooms() []*room {
	if v.zones != nil {
		return v.zones
	}
	by := map[string]*room{}
	v.zones = []*room{}
	for _, m := range v.ms {
		r := by[m.Zone]
		if r == nil {
			r = &room{name: m.Zone}
			by[m.Zone] = r
			v.zones = append(v.zones, r)
		}
		r.ms = append(r.ms, m)
		if m.usable(v.now) {
			r.free = r.free.Plus(m.free())
		}
	}
	return v.zones
}

// zonesFor returns the zones with the one that has most room for the step first.
func (v *view) zonesFor(p *step) []*room {
	zs := append([]*room{}, v.rooms()...)
	sort.SliceStable(zs, func(a, b int) bool {
		if p.Size.GPU > 0 && zs[a].free.GPU != zs[b].free.GPU {
			return zs[a].free.GPU > zs[b].free.GPU
		}
		return zs[a].free.CPU > zs[b].free.CPU
	})
	return zs
}

// together says whether the step's tasks should share a zone.
func (v *view) together(p *step) bool { return v.s.Policy.Together && !p.Lasting }

// settle chooses the zone of a step from those that have spots for it: the one
// that takes most of its tasks, of these the one where most is free.
func (v *view) settle(p *step, spots []*spot) {
	if !v.together(p) || len(spots) == 0 {
		p.home = ""
		return
	}
	fits := map[string]int{}
	for _, sp := range spots {
		fits[sp.Zone] = min(fits[sp.Zone]+sp.takes(p), p.waiting)
	}
	if p.home != "" && fits[p.home] == p.waiting {
		return
	}
	p.home = ""
	for _, r := range v.zonesFor(p) {
		if p.home == "" || fits[r.name] > fits[p.home] {
			p.home = r.name
		}
	}
}

// takes is how many tasks of the step fit in the spot.
func (sp *spot) takes(p *step) int {
	n := fitting(sp.left, p.Reserved(), p.waiting)
	if p.PerMinion > 0 {
		n = min(n, p.PerMinion-sp.here)
	}
	return max(n, 0)
}

// fitting is how many of size fit in room, at most n.
func fitting(room, size work.Size, n int) int {
	for _, d := range [][2]int64{{room.CPU, size.CPU}, {room.Mem, size.Mem}, {room.GPU, size.GPU}} {
		if d[1] > 0 {
			n = min(n, int(d[0]/d[1]))
		}
	}
	return n
}
