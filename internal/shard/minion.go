package shard

import (
	"time"

	"jasminestep/internal/work"
)

// minion is the known state of one incarnation of a minion.
type minion struct {
	work.Minion
	restart           *restart  // that a row tells of; nil if there is none
	listed            bool      // has a row in the store
	unlistedAt        time.Time // since when it has no row
	rowValidUntil     time.Time // until when a start may rely on its row; zero if that is of an earlier incarnation
	synced            bool      // has answered under this term's token, so that its reports are complete
	token             int64     // token for the next order
	clock             int64     // its clock in ms at clockAt
	clockAt           time.Time
	leaseUntil        int64     // end of the longest lease it was sent, on its clock
	lastEnd           int64     // number of the last end that was processed
	durableEnd        int64     // number of the last end of which this is durable; 0 if there is none
	listedEnd         int64     // number of the last end in the answer to the latest renewal; 0 if that listed none or has no answer
	listFull          bool      // the latest report listed as many ends as fit; there may be more
	ackSeq            int64     // number of the latest renewal if it lets ends be discarded and has no answer, else 0
	ackToken          int64     // the token of that renewal
	acksHeldSince     time.Time // since when open starts have kept it from discarding ends; zero if they do not
	runs              map[runKey]*run
	used              work.Size
	formerEnd         time.Time     // when all leases that former owners sent it have ended
	lateEnd           time.Time     // when runs meant for its previous incarnation have ended, if it never answers; zero if there are none
	closed            bool          // its leases are not extended, because it has fallen silent
	silentSince       time.Time     // first unanswered renewal since the last reply
	formerSilence     time.Time     // when it fell silent, if that was under a former owner and it has not answered since
	pausedUntil       time.Time     // gets no new work before this time
	failed            []failure     // since the last success, oldest first, at most maxFailures
	failedAt          time.Time     // when the last of them was recorded
	failurePauseUntil time.Time     // while it is a suspect it gets no new work before this time
	suspicionIgnored  bool          // it is no suspect, since most minions would be
	slowness          float64       // run times here relative to those elsewhere; 0 if unknown
	fillRuns          int           // runs of fill tasks
	targetRuns        int           // runs with a bound on their response times
	sharing           sharing       // how its fill runs and those with a bound share it
	leavesAt          time.Time     // while it drains: when it may leave
	reservations      []reservation // room reserved for waiting steps
	heldRoom          work.Size     // room held for starts that wait for tickets
	eligibleSteps     []*step       // steps that may run here; some may have ended
	zone              *zone         // maintained by State.zoneOf
	trial             *step         // step with runs on trial here; nothing else is started meanwhile
	unsettled         []accusation  // of runs whose lease has ended; whether the minion has crashed is unknown
	trialAt           time.Time     // when the last of them was placed or sent
}

func (s *State) newMinion(w work.Minion) *minion {
	m := &minion{Minion: w, token: s.firstToken(w.ID), runs: map[runKey]*run{}, formerEnd: s.formerEnd}
	s.minions[w.ID] = m
	s.sortedMinions = nil
	s.epoch++
	s.announce(m)
	s.zoneOf(m)
	return m
}

// current returns the minion with the incarnation, or nil if that has ended or is
// unknown.
func (s *State) current(l work.Incarnation) *minion {
	if m := s.minions[l.ID]; m != nil && m.Incarnation == l {
		return m
	}
	return nil
}

// runAt returns a run and its minion. The run is nil if there is none on that
// incarnation.
func (s *State) runAt(l work.Incarnation, k runKey) (*minion, *run) {
	m := s.current(l)
	if m == nil {
		return nil, nil
	}
	return m, m.runs[k]
}

func (m *minion) add(r *run) {
	m.runs[r.key] = r
	m.used = m.used.Plus(r.size)
	m.countRun(r, 1)
}

func (s *State) remove(m *minion, r *run) {
	if m.runs[r.key] != r {
		return
	}
	delete(m.runs, r.key)
	s.closeFate(r)
	if r.copied {
		s.copyBudget.needed()
	}
	m.used = m.used.Minus(r.size)
	m.countRun(r, -1)
	s.wakeSteps(m)
	if r.step != nil {
		s.forgetIfArchived(r.step.job)
	}
}

func (m *minion) countRun(r *run, n int) {
	if r.step == nil {
		return
	}
	r.step.job.runs += n
	r.step.job.account.count(r.step, int64(n))
	if r.step.Fill {
		m.fillRuns += n
	}
	if r.step.Target > 0 && !r.step.Fill {
		m.targetRuns += n
	}
}

// answered reports whether this incarnation has answered this owner.
func (m *minion) answered() bool { return !m.clockAt.IsZero() }

// free is the unused room.
func (m *minion) free() work.Size { return m.Capacity.Minus(m.used) }

// unlistedGrace is how long a minion that answers is usable without a row:
// rows that expired while the store was unavailable come back.
const unlistedGrace = 2500 * time.Millisecond

// present reports whether the minion has a row, or had one within
// unlistedGrace.
func (m *minion) present(now time.Time) bool {
	return m.listed || now.Sub(m.unlistedAt) < unlistedGrace
}

// UpdateMinion processes a minion's row in the store. It was written after
// writtenAfter, which is zero if it may be of any age.
func (s *State) UpdateMinion(now time.Time, w work.Minion, writtenAfter time.Time) {
	m := s.minions[w.ID]
	validUntil := writtenAfter.Add(s.Limits.MaxRowAge)
	switch {
	case m == nil && w.Service != s.Service:
		return
	case m == nil:
		m = s.newMinion(w)
		s.note(Note{What: MinionAdded, Minion: w.ID, Why: w.Zone})
	case w.Born > m.Born && m.answered():
		s.addRestart(m, w, validUntil)
		return
	case w.Born < m.Born && m.answered():
		return // a row of an earlier incarnation
	case w.Born != m.Born:
		s.replaceIncarnation(now, m, w)
	}
	m.dropRestart()
	if w.Service != s.Service {
		s.UnlistMinion(now, m.ID)
		return
	}
	if w.Draining {
		s.checkedAt = time.Time{}
	}
	if w.Draining && !m.Draining {
		s.note(Note{What: MinionDraining, Minion: w.ID})
	}
	if m.Address == "" {
		defer s.announce(m)
	}
	if !m.Draining || m.Remaining != w.Remaining { // else it is the same row, read again
		m.leavesAt = now.Add(w.Remaining)
	}
	m.Minion = w
	m.listed = true
	m.rowValidUntil = maxTime(m.rowValidUntil, validUntil)
	s.zoneOf(m)
	s.wakeSteps(m)
}

// UnlistMinion records that a minion's row is gone. The minion may still run
// and answer.
func (s *State) UnlistMinion(now time.Time, id string) {
	m := s.minions[id]
	if m == nil || !m.listed {
		return
	}
	m.listed, m.unlistedAt = false, now
	m.dropRestart()
	s.note(Note{What: MinionUnlisted, Minion: id})
}

// UnlistMissing unlists every minion that is not in listed, the full list of
// rows.
func (s *State) UnlistMissing(now time.Time, listed map[string]bool) {
	for _, m := range s.minionsByID() {
		if !listed[m.ID] {
			s.UnlistMinion(now, m.ID)
		}
	}
}

// announce queues the minion's incarnation for TakeNewIncarnations.
func (s *State) announce(m *minion) {
	if m.Address != "" {
		s.newIncarnations = append(s.newIncarnations, m.Incarnation)
	}
}

// TakeNewIncarnations returns the incarnations that have to be polled for
// reports from now on. Each is returned once.
func (s *State) TakeNewIncarnations() []work.Incarnation {
	out := s.newIncarnations
	s.newIncarnations = nil
	return out
}
