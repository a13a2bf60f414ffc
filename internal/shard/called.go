package shard

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// A call that gets no reply may be carried out seconds later, by the next
// incarnation of its minion, which has the same ID. What keeps such calls from having
// an effect is a higher token, once that incarnation has seen it: then it has answered
// its owner. Until then they count, and the lease that they ask for is a time on
// another clock, which may lie far ahead there. So from the first answer on, an
// incarnation may hold leases of the longest kind that nobody has sent it.
//
// Who is called is recorded before any lease is extended: an owner that finds an
// incarnation in the record knows by when such leases end, one that finds
// another incarnation knows that there may be some, and one that finds none
// knows that the ID was never called.

// CalledTable has the rows of the incarnations that owners call, in the part of
// their service.
const CalledTable = "called"

// calledRows is the number of rows, so that one minion more or less rewrites a part of
// the record.
const calledRows = 16

// calledRow returns which row lists a minion.
func calledRow(id string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return int(h.Sum32() % calledRows)
}

// savedCalled is the encoding of an incarnation that is called.
type savedCalled struct {
	ID    string `json:"i"`
	Born  int64  `json:"b"`
	Until int64  `json:"u,omitempty"` // strayEnd, on the store's clock in ms; 0: there are no such leases
}

// called is an entry of the record: the last incarnation of an ID that has answered.
type called struct {
	Born      int64
	strayEnd  time.Time // when leases have ended that calls for former incarnations gave it; zero if there are none
	sentUntil int64     // the latest lease that this owner has sent to former incarnations, on their clocks
	goneAt    time.Time // when it was forgotten; zero while its minion is known
	durable   bool      // the entry is in the store
	writing   bool      // it is in the batch that is being written
}

// callRecord is the record of the incarnations that are called.
type callRecord struct {
	entries  map[string]*called // by minion ID
	changed  [calledRows]bool   // rows to be written
	tokens   map[string]int64   // those used for minions that were forgotten, by ID, if they had been raised
	complete bool               // an ID without an entry has never been called, or so long ago that the leases have ended that calls to it gave
	told     bool               // complete, as the write says that is being prepared
}

// strayEnd is when leases have ended that an incarnation got from calls for former
// ones, as far as is known; zero if there are none.
func (r *callRecord) strayEnd(l work.Incarnation) time.Time {
	if e := r.entries[l.ID]; e != nil && e.Born == l.Born {
		return e.strayEnd
	}
	return time.Time{}
}

// has reports whether an incarnation is in the record in the store.
func (r *callRecord) has(l work.Incarnation) bool {
	e := r.entries[l.ID]
	return e != nil && e.Born == l.Born && e.durable
}

// put replaces the entry of a minion, to be written next.
func (r *callRecord) put(id string, e *called) {
	if r.entries == nil {
		r.entries = map[string]*called{}
	}
	r.entries[id] = e
	r.changed[calledRow(id)] = true
}

// recordAnswer enters an incarnation at its first answer to this owner, which it gave
// to a higher token than calls for former ones carry.
func (s *State) recordAnswer(now time.Time, m *minion) {
	e := s.record.entries[m.ID]
	if e != nil && e.Born == m.Born {
		e.goneAt = time.Time{}
		return
	}
	next := &called{Born: m.Born}
	if e != nil || !s.record.complete {
		next.strayEnd = s.strayEndFrom(now, m, e)
	}
	if e != nil {
		next.sentUntil = e.sentUntil
	}
	s.record.put(m.ID, next)
}

// strayEndFrom is when leases have ended that calls for former incarnations may have
// given to one that answers now. A lease that a call asks for lies ahead on
// this incarnation's clock, or it gives none.
func (s *State) strayEndFrom(now time.Time, m *minion, former *called) time.Time {
	longest := s.Limits.MaxLease.Milliseconds()
	if former != nil && s.formerCallsEnded(now) {
		longest = min(longest, former.sentUntil-m.clock)
	}
	if longest <= 0 {
		return time.Time{}
	}
	return now.Add(s.slowClock(time.Duration(longest)*time.Millisecond) + leaseMargin)
}

// formerCallsEnded reports whether no call of former owners can be in flight any more,
// and the leases have ended that they gave.
func (s *State) formerCallsEnded(now time.Time) bool {
	return s.Term <= 1 || now.After(s.lateEnd(s.formerEnd))
}

// recordSent notes which leases were sent to an incarnation that ends.
func (s *State) recordSent(m *minion) {
	if e := s.record.entries[m.ID]; e != nil && m.answered() {
		e.sentUntil = max(e.sentUntil, m.leaseUntil)
	}
}

// recordGone keeps the entry of a minion that is forgotten for as long as calls to it
// may give leases.
func (s *State) recordGone(now time.Time, m *minion) {
	s.recordSent(m)
	if e := s.record.entries[m.ID]; e != nil {
		e.goneAt = now
	}
	if m.token > s.Term*tokensPerTerm {
		if s.record.tokens == nil {
			s.record.tokens = map[string]int64{}
		}
		s.record.tokens[m.ID] = m.token
	}
}

// firstToken is the token for the first order to a minion that this owner has not
// known, or has forgotten: no lower one than it has seen, and a higher one than calls to it
// have that may be in flight.
func (s *State) firstToken(id string) int64 {
	token := max(s.Term*tokensPerTerm, s.record.tokens[id]+1)
	if e := s.record.entries[id]; e != nil && !e.goneAt.IsZero() {
		token = max(token, s.Term*tokensPerTerm+1)
	}
	return token
}

// ageRecord drops entries of minions that are gone, which former owners may have
// called until the end of their leases, and learns when calls of a former owner
// that kept no record give no lease any more. The rows are written with the next
// change.
func (s *State) ageRecord(now time.Time) {
	for id, e := range s.record.entries {
		if !e.goneAt.IsZero() && now.After(s.lateEnd(maxTime(e.goneAt, s.formerEnd))) {
			delete(s.record.entries, id)
		}
	}
	s.record.complete = s.record.complete || s.formerCallsEnded(now)
}

// saveCalled adds the changed rows of the record to the batch.
func (s *State) saveCalled() error {
	s.record.told = s.record.complete
	if s.record.changed == [calledRows]bool{} {
		return nil
	}
	lists, ok := s.encodeCalled()
	if !ok {
		return nil // the store's clock is not known yet
	}
	for n, list := range lists {
		if !s.record.changed[n] {
			continue
		}
		b, err := json.Marshal(list)
		if err != nil {
			return fmt.Errorf("encode called incarnations: %w", err)
		}
		key := table.Key{Table: CalledTable, Part: s.Service, Name: fmt.Sprintf("%02d", n)}
		s.batch.Rows = append(s.batch.Rows, table.Row{Key: key, Value: b})
		for _, c := range list {
			s.record.entries[c.ID].writing = true
		}
	}
	s.record.changed = [calledRows]bool{}
	return nil
}

// encodeCalled returns the entries by row, in order of ID. ok is false if a time
// cannot be told on the store's clock.
func (s *State) encodeCalled() (lists [calledRows][]savedCalled, ok bool) {
	for _, id := range slices.Sorted(maps.Keys(s.record.entries)) {
		e := s.record.entries[id]
		c := savedCalled{ID: id, Born: e.Born}
		if !e.strayEnd.IsZero() {
			until, known := s.StoreClock.Latest(e.strayEnd)
			if !known {
				return lists, false
			}
			c.Until = until
		}
		n := calledRow(id)
		lists[n] = append(lists[n], c)
	}
	return lists, true
}

// handleWritten records that the rows of the last batch are in the store.
func (r *callRecord) handleWritten() {
	for _, e := range r.entries {
		e.durable = e.durable || e.writing
		e.writing = false
	}
}

// RecordComplete reports whether the record that is being written is complete: the
// write has to say so, and the next owner passes it to LoadCalled. It may be called
// from any goroutine from TakeBatch until HandleWritten.
func (s *State) RecordComplete() bool { return s.record.told }

// LoadCalled takes over the record of former owners. The minions must be known.
func (s *State) LoadCalled(rows []table.Row, complete bool) error {
	s.record.complete = s.record.complete || complete
	var failed error
	for _, r := range rows {
		var list []savedCalled
		if err := json.Unmarshal(r.Value, &list); err != nil {
			s.record.complete = false
			failed = errors.Join(failed, fmt.Errorf("decode called incarnations %s: %w", r.Name, err))
		}
		for _, c := range list {
			s.inheritCalled(c)
		}
	}
	for _, m := range s.minions {
		s.expectLateStarts(m)
	}
	return failed
}

// expectLateStarts keeps the runs on an incarnation that has answered no owner for as
// long as a start for a former one may have begun them there. The former
// owner has placed them there when it heard of the restart.
func (s *State) expectLateStarts(m *minion) {
	e := s.record.entries[m.ID]
	if len(m.runs) == 0 || e == nil && s.record.complete || e != nil && e.Born == m.Born {
		return
	}
	m.lateEnd = maxTime(m.lateEnd, s.lateEnd(s.termStart))
}

func (s *State) inheritCalled(c savedCalled) {
	e := &called{Born: c.Born, durable: true}
	if c.Until > 0 {
		var ok bool
		if e.strayEnd, ok = s.StoreClock.Reached(c.Until); !ok {
			e.strayEnd = s.lateEnd(s.termStart)
		}
	}
	if s.minions[c.ID] == nil {
		e.goneAt = s.termStart
	}
	if s.record.entries == nil {
		s.record.entries = map[string]*called{}
	}
	s.record.entries[c.ID] = e
}
