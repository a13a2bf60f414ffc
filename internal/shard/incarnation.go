package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"jasminestep/internal/work"
)

// replaceIncarnation starts a new incarnation of a minion. The runs that the old one
// had reported are gone. But a start in flight may have reached the new
// incarnation, which has the same ID and has seen no token; the first report of
// the new incarnation settles that.
func (s *State) replaceIncarnation(now time.Time, m *minion, w work.Minion) {
	s.note(Note{What: MinionRestarted, Minion: m.ID, Why: m.describe()})
	accused := s.accuseRuns(now, m)
	s.settle(now, m, true)
	var carriedOver []*run
	for _, r := range m.runs {
		s.remove(m, r)
		if r.listed || r.state == unsent || r.state == cancelled {
			s.requeueLost(now, r, "its minion restarted")
			continue
		}
		carriedOver = append(carriedOver, r)
	}
	s.recordSent(m)
	m.Minion = w
	s.announce(m)
	s.zoneOf(m)
	m.synced, m.listed, m.rowValidUntil, m.restart = false, false, time.Time{}, nil
	m.token = max(m.token, s.Term*tokensPerTerm) + 1
	m.clock, m.leaseUntil, m.lastEnd = 0, 0, 0
	m.durableEnd, m.listedEnd, m.ackSeq, m.acksHeldSince = 0, 0, 0, time.Time{}
	m.clockAt, m.silentSince, m.pausedUntil = time.Time{}, time.Time{}, now
	m.failed, m.slowness = nil, 0
	m.formerEnd, m.lateEnd, m.closed, m.formerSilence = s.formerEnd, time.Time{}, false, time.Time{}
	s.cancelReservations(m)
	for _, r := range carriedOver {
		sent := now
		if !r.sentAt.IsZero() {
			sent = r.sentAt
		}
		s.carryOver(sent, m, r)
	}
	s.accuse(now, s.postponeCarried(accused))
}

// describe tells for the log what an incarnation was told, and what it said last.
func (m *minion) describe() string {
	if !m.answered() {
		return fmt.Sprintf("born %d, which never answered", m.Born)
	}
	return fmt.Sprintf("born %d, clock %d ms, leases sent to %d ms, ends read to %d, token %d", m.Born, m.clock, m.leaseUntil, m.lastEnd, m.token)
}

// carryOver adds a run that the minion's new incarnation may have, with a start
// that was sent until sent; its next report settles it.
func (s *State) carryOver(sent time.Time, m *minion, r *run) {
	r.state, r.renewalMark, r.token, r.fenced = uncertain, max(s.renewalSeq, 1), m.token-1, false
	r.confirmedAt, r.speedKnown = time.Time{}, false
	m.lateEnd = maxTime(m.lateEnd, s.lateEnd(sent))
	m.add(r)
	if t := r.task; t != nil && t.phase == Placed && t.attempt == r.key.attempt {
		t.incarnation = m.Incarnation
		s.markChanged(r.step.job)
	}
}

// HandleReplaced records that another minion now has the address of a minion:
// this incarnation has ended, and nothing runs there any more.
func (s *State) HandleReplaced(now time.Time, l work.Incarnation) {
	m := s.minions[l.ID]
	if m != nil && m.restartsAs(l) {
		m.dropRestart()
	}
	if m == nil || m.Incarnation != l {
		return
	}
	if len(m.runs) > 0 || m.synced {
		s.note(Note{What: MinionReplaced, Minion: m.ID})
	}
	m.synced = false
	if m.silentSince.IsZero() {
		m.silentSince = now
	}
	accused := s.accuseRuns(now, m)
	s.dropRuns(now, m, slices.Collect(maps.Values(m.runs)), "another minion has its address")
	s.settle(now, m, true)
	s.accuse(now, accused)
}
