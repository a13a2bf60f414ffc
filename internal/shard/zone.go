package shard

import (
	"sort"
	"time"

	"jasminestep/internal/work"
)

// The tasks of a step go to one availability zone if it has room for them: when
// a zone is cut off, the jobs with a task there have to wait for it, so the
// fewer jobs are affected the better. Lasting tasks are excluded, because they
// lose no more when they are spread.

// zone is the known state of one availability zone.
type zone struct {
	name        string
	slowMinions map[string]bool // minions with a slow call since any minion of the zone last answered
	answeredAt  time.Time       // when any minion of the zone last answered
	size        int             // minions in the zone
}

// When a zone counts as unreachable.
const (
	unreachableMinions = 2                      // that have to be slow to answer
	unreachableSilence = 150 * time.Millisecond // without an answer from any minion, since in a large zone some are always slow
)

// unreachable reports whether calls to the zone get no replies.
func (z *zone) unreachable(now time.Time) bool {
	return z != nil && len(z.slowMinions) > 0 && len(z.slowMinions) >= min(unreachableMinions, z.size) && now.Sub(z.answeredAt) >= unreachableSilence
}

// answered records that a minion of the zone has answered, and returns for how long
// the zone had been unreachable.
func (z *zone) answered(now time.Time) (silence time.Duration) {
	if z == nil {
		return 0
	}
	if z.unreachable(now) {
		silence = now.Sub(z.answeredAt)
	}
	z.answeredAt = now
	if len(z.slowMinions) > 0 {
		clear(z.slowMinions)
	}
	return silence
}

// zoneAnswered records that a minion has answered.
func (s *State) zoneAnswered(now time.Time, m *minion) {
	if d := m.zone.answered(now); d > 0 {
		s.copyBudget.observeSilence(d)
	}
}

// HandleSlowReply records that a call to a minion has had no reply for longer
// than usual.
func (s *State) HandleSlowReply(now time.Time, l work.Incarnation) {
	m := s.current(l)
	if m == nil {
		return
	}
	m.pausedUntil = maxTime(m.pausedUntil, now.Add(noReplyPause))
	z := s.zoneOf(m)
	if z.slowMinions[l.ID] {
		return
	}
	was := z.unreachable(now)
	z.slowMinions[l.ID] = true
	if !was && z.unreachable(now) {
		s.checkedAt = time.Time{}
		s.note(Note{What: ZoneUnreachable, Minion: l.ID, Why: "no answers from " + z.name})
	}
}

// zoneOf returns the zone of a minion and moves the minion there if its zone has
// changed.
func (s *State) zoneOf(m *minion) *zone {
	if m.zone != nil && m.zone.name == m.Zone {
		return m.zone
	}
	z := s.zones[m.Zone]
	if z == nil {
		z = &zone{name: m.Zone, slowMinions: map[string]bool{}}
		s.zones[m.Zone] = z
	}
	if m.zone != nil {
		m.zone.size--
	}
	z.size++
	m.zone = z
	return z
}

// leaveZone removes a minion from its zone.
func (m *minion) leaveZone() {
	if m.zone != nil {
		m.zone.size--
		delete(m.zone.slowMinions, m.ID)
	}
}

// zoneRoom is the room of a zone during one decision.
type zoneRoom struct {
	name string
	free work.Size
	ms   []*minion // by id
}

// zoneRooms returns the zones with their usable room.
func (v *view) zoneRooms() []*zoneRoom {
	if v.zones != nil {
		return v.zones
	}
	by := map[string]*zoneRoom{}
	v.zones = []*zoneRoom{}
	for _, m := range v.ms {
		r := by[m.Zone]
		if r == nil {
			r = &zoneRoom{name: m.Zone}
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

// zonesFor returns the zones, the one with the most room for the step first.
func (v *view) zonesFor(p *step) []*zoneRoom {
	zs := append([]*zoneRoom{}, v.zoneRooms()...)
	sort.SliceStable(zs, func(a, b int) bool {
		if p.Size.GPU > 0 && zs[a].free.GPU != zs[b].free.GPU {
			return zs[a].free.GPU > zs[b].free.GPU
		}
		return zs[a].free.CPU > zs[b].free.CPU
	})
	return zs
}

// sharesZone reports whether the step's tasks should share a zone.
func (v *view) sharesZone(p *step) bool { return v.s.Policy.ShareZone && !p.Lasting }

// chooseZone chooses the preferred zone of a step from those with room for it:
// the one that fits most of its tasks, among equals the one with the most free
// room.
func (v *view) chooseZone(p *step, scored []*scoredMinion) {
	if !v.sharesZone(p) || len(scored) == 0 {
		p.preferredZone = ""
		return
	}
	fits := map[string]int{}
	for _, sm := range scored {
		fits[sm.Zone] = min(fits[sm.Zone]+sm.fitCount(p), p.waiting)
	}
	if p.preferredZone != "" && fits[p.preferredZone] == p.waiting {
		return
	}
	p.preferredZone = ""
	for _, r := range v.zonesFor(p) {
		if p.preferredZone == "" || fits[r.name] > fits[p.preferredZone] {
			p.preferredZone = r.name
		}
	}
}

// fitCount is how many tasks of the step fit on the minion.
func (sm *scoredMinion) fitCount(p *step) int {
	n := countFitting(sm.roomLeft, p.Reserved(), p.waiting)
	if p.PerMinion > 0 {
		n = min(n, p.PerMinion-sm.taskCount)
	}
	return max(n, 0)
}

// countFitting returns how many items of size fit in room, at most n.
func countFitting(room, size work.Size, n int) int {
	for _, d := range [][2]int64{{room.CPU, size.CPU}, {room.Mem, size.Mem}, {room.GPU, size.GPU}} {
		if d[1] > 0 {
			n = min(n, int(d[0]/d[1]))
		}
	}
	return n
}
