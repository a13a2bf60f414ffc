package shard

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// What an owner knows of leases outlasts it in two ways, neither of which costs a
// write for each renewal. Every write of an owner carries the time by which all
// leases have ended that owners may send until the next write, its promise. And one
// row lists the silent minions whose leases end sooner: it changes when a minion
// with runs falls silent or answers again. No lease is extended while the row, as
// it is stored or being written, lists its minion. Both are times of the store's
// clock, so they hold for each later owner, however many follow one another.

// LeaseTable has the row of the silent minions of each shard, in the part of its
// service.
const LeaseTable = "lease"

// LeaseKey names that row.
func LeaseKey(service string) table.Key {
	return table.Key{Table: LeaseTable, Part: service, Name: "lease"}
}

// maxLeaseBytes limits the row. Of further minions the next owner knows only what
// the former one promised.
const maxLeaseBytes = 40 << 10

// savedLease is the encoding of the end of a silent minion's leases.
type savedLease struct {
	ID    string `json:"i"`
	Born  int64  `json:"b"`
	Until int64  `json:"u"` // by when all its leases have ended, on the store's clock in ms

	Silent int64 `json:"s,omitempty"` // when it fell silent, likewise

	Fresh []string `json:"f,omitempty"` // runs that had not certainly begun for freshWindow when it fell silent
}

// leaseRow is what is known of the row in the store.
type leaseRow struct {
	changed bool                      // minions have fallen silent or answered since it was encoded
	stored  map[work.Incarnation]bool // that it lists; no lease of theirs is extended
	writing map[work.Incarnation]bool // that it will list once the batch is written, nil if that leaves it alone
}

// lists reports whether the row lists a minion, as stored or being written.
func (r *leaseRow) lists(l work.Incarnation) bool { return r.stored[l] || r.writing[l] }

// saveLeases adds the row of silent minions to the batch if it has changed.
func (s *State) saveLeases() error {
	if !s.leaseRow.changed {
		return nil
	}
	s.leaseRow.writing = map[work.Incarnation]bool{}
	row := []byte("[")
	for _, m := range s.minionsByID() {
		until, ok := s.StoreClock.Latest(s.leaseExpiry(m))
		if !m.closed || len(m.runs) == 0 || !ok {
			continue
		}
		b, err := json.Marshal(savedLease{m.ID, m.Born, until, s.silentAt(m), m.freshRuns()})
		if err != nil {
			return fmt.Errorf("encode leases: %w", err)
		}
		if len(row)+len(b) > maxLeaseBytes {
			break
		}
		if len(row) > 1 {
			row = append(row, ',')
		}
		row = append(row, b...)
		s.leaseRow.writing[m.Incarnation] = true
	}
	s.leaseRow.changed = false
	s.batch.Rows = append(s.batch.Rows, table.Row{Key: LeaseKey(s.Service), Value: append(row, ']')})
	return nil
}

// silentAt is when a minion fell silent, on the store's clock in ms; 0 if that is
// unknown.
func (s *State) silentAt(m *minion) int64 {
	since := m.lostSince(time.Time{})
	at, ok := s.StoreClock.Latest(since)
	if since.IsZero() || !ok {
		return 0
	}
	return at
}

// freshRuns names the runs that are suspected if the minion has crashed.
func (m *minion) freshRuns() []string {
	var out []string
	for k, r := range m.runs {
		if r.fateOpen || r.confirmedAt.IsZero() {
			out = append(out, k.String())
		}
	}
	slices.Sort(out)
	return out
}

// confirmOtherRuns records that the runs that are not fresh had certainly begun
// long before the minion fell silent.
func (m *minion) confirmOtherRuns(fresh []string, termStart time.Time) {
	for k, r := range m.runs {
		if !slices.Contains(fresh, k.String()) {
			r.confirmedAt = termStart.Add(-freshWindow)
		}
	}
}

// HandleWritten records that a write that started at began is now durable, with
// the promise that was made then: it has to be called before the next TakeBatch.
func (s *State) HandleWritten(now, began time.Time) {
	s.writeTime += time.Duration(writeWeight * float64(now.Sub(began)-s.writeTime))
	s.promised = maxTime(s.promised, s.PromisedEnd(began))
	s.record.handleWritten()
	if s.leaseRow.writing != nil {
		s.leaseRow.stored, s.leaseRow.writing = s.leaseRow.writing, nil
	}
}

// LoadLeases takes over what the row of a former owner says; row is nil if there
// is none. The minions and their runs must be known.
func (s *State) LoadLeases(row []byte) error {
	s.closeUnreachable()
	if row == nil {
		return nil
	}
	var in []savedLease
	if err := json.Unmarshal(row, &in); err != nil {
		s.leaseRow.changed = true // what it lists is unknown
		return fmt.Errorf("decode leases: %w", err)
	}
	s.leaseRow.changed = s.leaseRow.changed || len(in) > 0
	s.leaseRow.stored = map[work.Incarnation]bool{}
	for _, l := range in {
		inc := work.Incarnation{ID: l.ID, Born: l.Born}
		s.leaseRow.stored[inc] = true
		if m := s.current(inc); m != nil {
			m.closed = true
			s.inheritLease(m, l)
		}
	}
	return nil
}

// inheritLease takes over what the row says of one minion. It means nothing if
// the last owner was of a former version, which leaves the row alone.
func (s *State) inheritLease(m *minion, l savedLease) {
	end, ok := s.StoreClock.Reached(l.Until)
	if !ok || !s.promiseKnown {
		return
	}
	m.confirmOtherRuns(l.Fresh, s.termStart)
	if at, ok := s.StoreClock.Reached(l.Silent); ok && l.Silent > 0 {
		m.formerSilence = minTime(at, s.termStart)
	}
	if end.After(m.formerEnd) {
		m.lateEnd = end
	} else {
		m.formerEnd = end
	}
}

// closeUnreachable closes the leases of minions without a known address. Nobody
// calls them, so they never fall silent.
func (s *State) closeUnreachable() {
	for _, m := range s.minions {
		if m.Address == "" {
			s.closeLeases(m)
		}
	}
}

// unrecordedWindow is how long owners of former versions renew without the store.
// Their writes carry no promise.
const unrecordedWindow = 3 * time.Second

// Inherit takes over the promise of the former owner, which is 0 if it made none.
// No promise means a longer wait than none does. It has to be called before
// minions are known.
func (s *State) Inherit(promise int64) {
	end, ok := s.StoreClock.Reached(promise)
	s.promiseKnown = ok && promise > 0
	if s.promiseKnown && end.Before(s.formerEnd) {
		s.formerEnd = end
	}
}

// PromisedEnd returns when all leases have ended that former owners have sent, and
// that this one sends under a write that starts at began: the promise that this
// write has to carry. It never goes back below what a durable write has promised:
// longer leases may have been sent under that one. What it depends on changes only in
// TakeBatch, HandleWritten and Inherit, so it may be called from any goroutine from
// TakeBatch until HandleWritten.
func (s *State) PromisedEnd(began time.Time) time.Time {
	lease := max(s.Limits.Lease, s.promiseLease)
	return maxTime(s.formerEnd, maxTime(s.promised, began.Add(s.slowClock(lease+s.Limits.RenewWindow)+leaseMargin)))
}
