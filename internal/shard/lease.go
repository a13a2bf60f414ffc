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
	Seq    int64
	Wait   bool // the minion answers when a run ends instead of at once
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
	n = Renewal{Minion: m.Minion, Token: m.token, Seq: s.renewalSeq}
	if m.clockAt.IsZero() || !m.silentSince.IsZero() || now.Sub(s.lastDurable) > s.Limits.RenewWindow {
		// A minion that does not answer only gets a query: a lease extension
		// that may or may not reach it would delay the time from which its tasks
		// can start elsewhere.
		return n, true
	}
	n.Wait = true
	n.Until = m.lease(now, s.Limits)
	return n, true
}

// lease returns the end of a lease granted now, on the minion's clock.
func (m *minion) lease(now time.Time, l Limits) int64 {
	until := m.clock + (now.Sub(m.clockAt) + l.Lease).Milliseconds()
	m.leaseUntil = max(m.leaseUntil, until)
	return m.leaseUntil
}

// leaseExpiry is the time at which all leases ever sent to the minion have
// certainly ended.
func (s *State) leaseExpiry(m *minion) time.Time {
	if m.clockAt.IsZero() {
		// A previous owner that does not know of this term may have renewed for
		// RenewWindow.
		end := m.knownSince.Add(s.Limits.RenewWindow + s.slowClock(s.Limits.Lease) + leaseMargin)
		if m.hasCarriedRuns {
			end = end.Add(s.Limits.MaxOrderDelay)
		}
		return end
	}
	return m.clockAt.Add(s.slowClock(time.Duration(m.leaseUntil-m.clock)*time.Millisecond) + leaseMargin)
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
	source := "sent by this owner"
	if !m.answered() {
		source = "assumed, since it has not answered this owner"
	}
	left := max(s.leaseExpiry(m).Sub(now), 0).Round(time.Millisecond)
	return fmt.Sprintf("%d runs, %d of them lasting, wait %v for the end of its leases, %s", len(m.runs), lasting, left, source)
}

// expire gives up the runs on minions whose leases have all ended, and removes
// minions that are gone.
func (s *State) expire(now time.Time) {
	s.expireLeftovers(now)
	for id, m := range s.minions {
		if m.silentSince.IsZero() && !m.clockAt.IsZero() || now.Before(s.leaseExpiry(m)) {
			continue
		}
		if m.clockAt.IsZero() && m.listed && len(m.runs) == 0 {
			continue
		}
		if len(m.runs) > 0 {
			doubted := s.doubtRuns(now, m)
			s.dropRuns(now, m, "its lease ended while its minion did not answer")
			s.accuse(now, doubted)
			m.keepUnsettled(doubted)
		}
		m.synced = false
		if now.Sub(m.silentSince) >= fateTimeout {
			m.dropUnsettled()
		}
		if m.restart != nil {
			m.dropUnsettled() // a row proves no crash
			s.adoptIncarnation(now, m, m.restart.Born)
			continue
		}
		if !m.listed && len(m.unsettled) == 0 {
			delete(s.minions, id)
			m.leaveZone()
			s.cancelReservations(m)
			s.sortedMinions = nil
			s.epoch++
			s.note(Note{What: MinionForgotten, Minion: id})
		}
	}
}
