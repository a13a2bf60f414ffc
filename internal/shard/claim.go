package shard

import (
	"time"

	"jasminestep/internal/work"
)

// claim is a row that tells of a new incarnation of a minion that has answered
// as an earlier one. Other writers may write such rows, so it proves nothing: if
// it were believed, runs that continue would start elsewhere. The incarnation is
// polled at the address in the row, and gets the minion's place once it answers,
// once the minion itself says so at its former address, or once all leases
// there have ended. Until then nothing is started on the minion. A later row of
// the incarnation that is known ends the claim.
type claim struct {
	work.Minion
	rowValidUntil time.Time
}

// addClaim records or renews a claim.
func (s *State) addClaim(m *minion, w work.Minion, rowValidUntil time.Time) {
	known := m.claim != nil && m.claim.Incarnation == w.Incarnation
	m.claim = &claim{w, rowValidUntil}
	if !known {
		s.note(Note{What: RestartClaimed, Minion: m.ID, Why: w.Address})
		s.newIncarnations = append(s.newIncarnations, w.Incarnation)
	}
}

// claimed reports whether l is the incarnation that a row of the minion claims.
func (m *minion) claimed(l work.Incarnation) bool {
	return m.claim != nil && m.claim.Incarnation == l
}

// handleClaimReport processes what the process at the address of a claim says.
func (s *State) handleClaimReport(now time.Time, m *minion, born int64) {
	if born <= m.Born {
		m.claim = nil
		return
	}
	s.adoptLife(now, m, born)
}

// adoptLife replaces the incarnation of a minion by one that the minion itself
// has told of, or that is left because the other has certainly ended. Unless a
// row of it has been read, nothing more is known of it.
func (s *State) adoptLife(now time.Time, m *minion, born int64) {
	w, listed, valid := m.Minion, m.listed, time.Time{}
	if c := m.claim; c != nil && c.Born == born {
		w, listed, valid = c.Minion, c.Service == s.Service, c.rowValidUntil
	}
	w.Born = born
	s.replaceLife(now, m, w)
	m.listed, m.rowValidUntil = listed, valid
}
