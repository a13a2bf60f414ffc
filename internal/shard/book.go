package shard

import "sort"

// A gang that does not fit books minions: nothing else that wants accelerators
// is placed there until the gang is, or is over. Without this a gang of whole
// minions waits for as long as smaller work comes; with it part of the room
// stands idle while the minions empty. So the minions that are nearest to empty
// are booked, and no more than a share of all.

// bookedShare is the share of the minions that may be booked at once. A gang
// that needs more books alone.
const bookedShare = 0.1

// unbook frees the minions of gangs that no longer wait, and counts the rest.
func (v *view) unbook() {
	for _, m := range v.ms {
		if p := m.booked; p != nil && (!p.runnable() || p.job.state.Over() || !m.usable(v.now)) {
			m.booked = nil
		}
		if m.booked != nil {
			v.booked++
		}
	}
}

// book keeps minions for a gang that does not fit: as many as it needs, or
// none, so that two gangs never wait for each other's.
func (v *view) book(p *step) {
	v.release(p)
	var ms []*minion
	for _, m := range v.possible(p) {
		if m.booked == nil && m.usable(v.now) && p.suits(m) {
			ms = append(ms, m)
		}
	}
	sort.SliceStable(ms, func(a, b int) bool { return v.busy(ms[a]) < v.busy(ms[b]) })
	have := 0
	var pick []*minion
	for _, m := range ms {
		if have >= p.waiting {
			break
		}
		pick = append(pick, m)
		have += p.most(m)
	}
	if have < p.waiting || v.booked > 0 && float64(v.booked+len(pick)) > bookedShare*float64(len(v.ms)) {
		return
	}
	v.take(p, pick)
}

// take books minions.
func (v *view) take(p *step, ms []*minion) {
	for _, m := range ms {
		if m.booked == nil {
			v.booked++
		}
		m.booked = p
	}
	p.booked = true
}

// release gives up what a gang has booked.
func (v *view) release(p *step) {
	if !p.booked {
		return
	}
	p.booked = false
	for _, m := range v.ms {
		if m.booked == p {
			m.booked = nil
			v.booked--
		}
	}
}

// busy estimates the work that still runs on a minion, in device seconds.
func (v *view) busy(m *minion) float64 {
	var sum float64
	for _, r := range m.runs {
		if r.step == nil || r.step.Lasting {
			sum += lastsLong
			continue
		}
		left := max(r.step.Estimate-v.now.Sub(r.placed), 0)
		sum += left.Seconds() * float64(1+r.size.GPU)
	}
	return sum
}

// lastsLong stands for the time of a run that does not end by itself, in seconds.
const lastsLong = 1000
