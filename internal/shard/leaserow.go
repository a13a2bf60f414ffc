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

// maxSavedLeases limits the row. Of further minions the next owner knows only
// what the former one promised.
const maxSavedLeases = 600

// savedLease is the encoding of the end of a silent minion's leases.
type savedLease struct {
	ID    string `json:"i"`
	Born  int64  `json:"b"`
	Until int64  `json:"u"` // by when all its leases have ended, on the store's clock in ms

	Fresh []string `json:"f,omitempty"` // runs that had not certainly begun for freshWindow when it fell silent
}

// leaseRecord tells which minions the row lists.
type leaseRecord struct {
	changed bool      // minions have fallen silent or answered since the row was encoded
	leaving []*minion // that the row being written no longer lists
}

// saveLeases adds the row of silent minions to the batch if it has changed.
func (s *State) saveLeases() error {
	if !s.leases.changed {
		return nil
	}
	rows := []savedLease{}
	for _, m := range s.minionsByID() {
		until, ok := s.StoreClock.Latest(s.leaseExpiry(m))
		if m.closed && len(m.runs) > 0 && ok && len(rows) < maxSavedLeases {
			rows = append(rows, savedLease{m.ID, m.Born, until, m.freshRuns()})
			m.recorded = true
		} else if m.recorded {
			s.leases.leaving = append(s.leases.leaving, m)
		}
	}
	b, err := json.Marshal(rows)
	if err != nil {
		return fmt.Errorf("encode leases: %w", err)
	}
	s.leases.changed = false
	s.batch.Rows = append(s.batch.Rows, table.Row{Key: LeaseKey(s.Service), Value: b})
	return nil
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
// the promise that was made then.
func (s *State) HandleWritten(now, began time.Time) {
	s.writeTime += time.Duration(writeWeight * float64(now.Sub(began)-s.writeTime))
	s.promised = maxTime(s.promised, s.PromisedEnd(began))
	for _, m := range s.leases.leaving {
		m.recorded = false
	}
	s.leases.leaving = s.leases.leaving[:0]
}

// LoadLeases takes over what the row of a former owner says. The minions and
// their runs must be known.
func (s *State) LoadLeases(row []byte) error {
	var in []savedLease
	if err := json.Unmarshal(row, &in); err != nil {
		return fmt.Errorf("decode leases: %w", err)
	}
	s.leases.changed = len(in) > 0
	for _, l := range in {
		m := s.current(work.Incarnation{ID: l.ID, Born: l.Born})
		if m == nil {
			continue
		}
		m.closed, m.recorded = true, true
		m.confirmOtherRuns(l.Fresh, s.termStart)
		if end, ok := s.StoreClock.Reached(l.Until); ok && end.Before(m.formerEnd) {
			m.formerEnd = end
		}
	}
	return nil
}

// unrecordedWindow is how long owners of former versions renew without the store.
// Their writes carry no promise.
const unrecordedWindow = 3 * time.Second

// Inherit takes over the promise of the former owner, which is 0 if it made none.
// It has to be called before minions are known.
func (s *State) Inherit(promise int64) {
	if end, ok := s.StoreClock.Reached(promise); ok && promise > 0 {
		s.formerEnd = end
	}
}

// PromisedEnd returns when all leases have ended that former owners have sent, and
// that this one sends under a write that starts at began: the promise that this
// write has to carry. It may be called from any goroutine.
func (s *State) PromisedEnd(began time.Time) time.Time {
	return maxTime(s.formerEnd, began.Add(s.slowClock(s.Limits.Lease+s.Limits.RenewWindow)+leaseMargin))
}
