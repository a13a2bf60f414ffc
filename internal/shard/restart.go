package shard

import (
	"time"

	"jasminestep/internal/work"
)

// restart is a new incarnation that a row tells of, of a minion that has answered
// as an earlier one. Other writers may write such rows, so it proves nothing: if
// it were believed, runs that continue would start elsewhere. The incarnation is
// polled at the address in the row, and gets the minion's place once it answers,
// once the minion itself says so at its former address, or once all leases
// there have ended. Until then the restart is unconfirmed, and nothing is started
// on the minion. A later row of the incarnation that is known refutes it.
type restart struct {
	work.Minion
	rowValidUntil time.Time
}

// addRestart records an unconfirmed restart, or a newer row of it.
func (s *State) addRestart(m *minion, w work.Minion, rowValidUntil time.Time) {
	known := m.restart != nil && m.restart.Incarnation == w.Incarnation
	m.restart = &restart{w, rowValidUntil}
	if !known {
		s.note(Note{What: RestartUnconfirmed, Minion: m.ID, Why: w.Address})
		s.newIncarnations = append(s.newIncarnations, w.Incarnation)
	}
}

// restartsAs reports whether l is the incarnation of an unconfirmed restart.
func (m *minion) restartsAs(l work.Incarnation) bool {
	return m.restart != nil && m.restart.Incarnation == l
}

// dropRestart ends an unconfirmed restart that was refuted. The minion may have seen the
// token of its polls, which is one higher.
func (m *minion) dropRestart() {
	if m.restart != nil {
		m.restart = nil
		m.token++
	}
}

// handleRestartReport processes what is said at the address of an unconfirmed
// restart.
func (s *State) handleRestartReport(now time.Time, m *minion, born int64) {
	if born <= m.Born {
		m.dropRestart()
		return
	}
	s.adoptIncarnation(now, m, born)
}

// adoptIncarnation replaces the incarnation of a minion by one that the minion itself
// has told of, or that is left because the other has certainly ended. Unless a
// row of it has been read, nothing more is known of it.
func (s *State) adoptIncarnation(now time.Time, m *minion, born int64) {
	w, listed, valid := m.Minion, m.listed, time.Time{}
	if c := m.restart; c != nil && c.Born == born {
		w, listed, valid = c.Minion, c.Service == s.Service, c.rowValidUntil
	}
	w.Born = born
	s.replaceIncarnation(now, m, w)
	m.listed, m.rowValidUntil = listed, valid
}
