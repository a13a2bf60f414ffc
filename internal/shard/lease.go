package shard

import (
	"fmt"
	"time"

	"jasminestep/internal/work"
)

// leaseMargin is added to every bound on the end of a lease.
const leaseMargin = 150 * time.Millisecond

// Renewal describes the next renewal request to a minion.
type Renewal struct {
	Minion work.Minion
	Token  int64
	Until  int64 // 0: does not extend the lease
	Closed bool  // the lease may not be extended at present
	Seq    int64
	Wait   bool  // the minion answers when a run ends instead of at once
	Ack    int64 // the minion may discard its ends up to this number; 0: none
}

// NextRenewal returns the next renewal for an incarnation of a minion. ok is
// false once that incarnation has ended or is unknown.
func (s *State) NextRenewal(now time.Time, l work.Incarnation) (n Renewal, ok bool) {
	m := s.minions[l.ID]
	if m != nil && m.restartsAs(l) {
		s.renewalSeq++
		return Renewal{Minion: m.restart.Minion, Token: m.token + 1, Seq: s.renewalSeq}, true
	}
	if m == nil || m.Incarnation != l {
		return n, false
	}
	s.renewalSeq++
	ack := m.nextAck(now, s.renewalSeq) // may raise the token
	n = Renewal{Minion: m.Minion, Token: m.token, Seq: s.renewalSeq, Ack: ack}
	if m.clockAt.IsZero() || !m.silentSince.IsZero() {
		// A minion that does not answer only gets a query: a lease extension
		// that may or may not reach it would delay the time from which its tasks
		// can start elsewhere.
		return n, true
	}
	n.Wait = true
	n.Closed = !s.mayExtend(m)
	if !n.Closed {
		n.Until = s.extendLease(now, m)
	}
	return n, true
}

// mayExtend reports whether a lease of the minion may be extended: a former or
// next owner does not take it for ended sooner.
func (s *State) mayExtend(m *minion) bool {
	return !m.closed && !s.leaseRow.lists(m.Incarnation) && !s.promised.IsZero() && s.record.has(m.Incarnation)
}

// extendLease returns the end of a lease granted now, on the minion's clock. It
// ends within the time that the last durable write promises, even if that clock
// is slow. It is 0, which extends nothing, after that time: a time in the past may be
// far ahead on the clock of the next incarnation.
func (s *State) extendLease(now time.Time, m *minion) int64 {
	if !now.Before(s.promised) {
		return 0
	}
	d := now.Sub(m.clockAt) + s.leaseFor(now, m)
	promised := float64(s.promised.Sub(m.clockAt)-leaseMargin) * (1 - s.Limits.MaxClockDrift)
	until := m.clock + min(d, time.Duration(promised)).Milliseconds()
	m.leaseUntil = max(m.leaseUntil, until)
	return m.leaseUntil
}

// minDrainLease is the shortest lease of a minion that drains: it may stay for longer
// than it has said, and is renewed each second.
const minDrainLease = 2 * time.Second

// lease is the duration of leases at present: short while tasks that must run would
// wait for their end, else long enough to outlast a cut of a zone.
func (s *State) lease() time.Duration {
	for _, j := range s.lastingJobs {
		if j.awaitsLasting() {
			return s.Limits.Lease
		}
	}
	return max(s.Limits.Lease, s.Limits.BatchLease)
}

// leaseFor is the duration of a lease granted now. That of a minion that drains ends
// soon after it may leave, so that its runs are not waited for any longer.
func (s *State) leaseFor(now time.Time, m *minion) time.Duration {
	if !m.Draining {
		return s.lease()
	}
	return min(s.lease(), max(m.leavesAt.Add(overrunTolerance).Sub(now), minDrainLease))
}

// leaseExpiry is when all leases of the minion have certainly ended: those that this
// owner sent, that former owners sent (formerEnd), that calls for former incarnations
// gave it (strayEnd) and, before its first answer, that starts for the former
// one give if it carries them out late (lateEnd).
func (s *State) leaseExpiry(m *minion) time.Time {
	former := maxTime(m.formerEnd, s.record.strayEnd(m.Incarnation))
	if !m.answered() {
		return maxTime(former, m.lateEnd)
	}
	own := m.clockAt.Add(s.slowClock(time.Duration(m.leaseUntil-m.clock)*time.Millisecond) + leaseMargin)
	return maxTime(own, former)
}

// answerGrace is how long a new owner waits for the first answer of a minion whose
// leases have ended: it may have ends to report.
const answerGrace = 700 * time.Millisecond

// givenUpAt is when the runs on a silent minion are given up.
func (s *State) givenUpAt(m *minion) time.Time {
	if m.answered() {
		return s.leaseExpiry(m)
	}
	return maxTime(s.leaseExpiry(m), s.termStart.Add(answerGrace))
}

// closeLeases keeps the leases of a silent minion from being extended, and has
// the next owner told when they end.
func (s *State) closeLeases(m *minion) {
	if !m.closed {
		m.closed = true
		s.leaseRow.changed = s.leaseRow.changed || len(m.runs) > 0
	}
}

// reopenLeases lets the leases of a minion that answers be extended, once no
// next owner relies on their end any more.
func (s *State) reopenLeases(m *minion) {
	if m.closed {
		m.closed = false
		s.leaseRow.changed = s.leaseRow.changed || s.leaseRow.lists(m.Incarnation)
	}
}

// HandleFenced records that a renewal was refused because its minion has seen a higher
// token. That is no silence if this owner may have sent one since.
func (s *State) HandleFenced(now time.Time, n Renewal) {
	m := s.current(n.Minion.Incarnation)
	if m == nil || m.silentSince.IsZero() && n.Token < m.token {
		return
	}
	s.HandleNoReply(now, m.Incarnation)
}

// HandleNoReply records that a renewal got no reply.
func (s *State) HandleNoReply(now time.Time, l work.Incarnation) {
	m := s.current(l)
	if m == nil {
		return
	}
	if m.silentSince.IsZero() {
		m.silentSince, s.checkedAt = now, time.Time{}
		m.openFates(now)
		s.beginAbsences(now, m)
		s.closeLeases(m)
		s.note(Note{What: MinionSilent, Minion: l.ID, Why: s.awaited(now, m)})
	}
}

// awaited describes for the log what waits for the leases of a silent minion to
// end, and for how long.
func (s *State) awaited(now time.Time, m *minion) string {
	lasting := 0
	for _, r := range m.runs {
		if r.step != nil && r.step.Lasting {
			lasting++
		}
	}
	expiry := s.leaseExpiry(m)
	source := "sent by this owner"
	switch {
	case expiry.Equal(s.record.strayEnd(m.Incarnation)):
		source = "sent to its former incarnation"
	case !m.answered() || expiry.Equal(m.formerEnd):
		source = "sent by former owners"
	}
	left := max(expiry.Sub(now), 0).Round(time.Millisecond)
	return fmt.Sprintf("%d runs, %d of them lasting, wait %v for the end of its leases, %s", len(m.runs), lasting, left, source)
}

// expire gives up the runs on minions whose leases have all ended, except those that
// their next incarnations may still begin, and removes minions that are gone.
func (s *State) expire(now time.Time) {
	s.expireLeftovers(now)
	s.ageRecord(now)
	for id, m := range s.minions {
		if m.silentSince.IsZero() && !m.clockAt.IsZero() || now.Before(s.givenUpAt(m)) {
			continue
		}
		if m.clockAt.IsZero() && m.listed && len(m.runs) == 0 && !m.fateAwaited() {
			continue
		}
		if ended := s.runsWithoutLease(now, m); len(ended) > 0 {
			doubted := s.doubtRuns(now, m, ended)
			s.dropRuns(now, m, ended, "its lease ended while its minion did not answer")
			s.leaseRow.changed = s.leaseRow.changed || s.leaseRow.lists(m.Incarnation)
			s.accuse(now, doubted)
			m.keepUnsettled(doubted)
		}
		m.synced = false
		if now.Sub(m.silentSince) >= fateTimeout {
			m.endWaits()
		}
		if m.restart != nil {
			m.dropUnsettled() // a row proves no crash
			s.adoptIncarnation(now, m, m.restart.Born)
			continue
		}
		if !m.listed && !m.fateAwaited() && len(m.runs) == 0 {
			s.recordGone(now, m)
			delete(s.minions, id)
			m.leaveZone()
			s.cancelReservations(m)
			s.sortedMinions = nil
			s.epoch++
			s.note(Note{What: MinionForgotten, Minion: id})
		}
	}
}
