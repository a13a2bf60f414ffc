package shard

import (
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// leaseMargin is added to every bound on the end of a lease.
const leaseMargin = 150 * time.Millisecond

func (s *State) newMinion(w work.Minion) *minion {
	m := &minion{Minion: w, token: s.Term * tokensPerTerm, runs: map[runKey]*run{}, knownSince: s.termStart}
	s.minions[w.ID] = m
	s.sortedMinions = nil
	s.epoch++
	s.announce(m)
	s.zoneOf(m)
	return m
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
	r.closeFate()
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

// unlistedGrace is how long a minion that answers is usable without an entry:
// entries that expired while the store was unavailable come back.
const unlistedGrace = 2500 * time.Millisecond

// present reports whether the minion has an entry, or had one within
// unlistedGrace.
func (m *minion) present(now time.Time) bool {
	return m.listed || now.Sub(m.unlistedAt) < unlistedGrace
}

// UpdateMinion processes a minion's entry in the store. It was written after
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
		s.addClaim(m, w, validUntil)
		return
	case w.Born < m.Born && m.answered():
		return // an entry of an earlier incarnation
	case w.Born != m.Born:
		s.replaceLife(now, m, w)
	}
	m.claim = nil
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
	m.Minion = w
	m.leavesAt = now.Add(w.Remaining)
	m.listed = true
	m.rowValidUntil = maxTime(m.rowValidUntil, validUntil)
	s.zoneOf(m)
	s.wakeSteps(m)
}

// UnlistMinion records that a minion's entry is gone. The minion may still run
// and answer.
func (s *State) UnlistMinion(now time.Time, id string) {
	m := s.minions[id]
	if m == nil || !m.listed {
		return
	}
	m.listed, m.unlistedAt, m.claim = false, now, nil
	s.note(Note{What: MinionUnlisted, Minion: id})
}

// UnlistMissing unlists every minion that is not in listed, the full list of
// entries.
func (s *State) UnlistMissing(now time.Time, listed map[string]bool) {
	for _, m := range s.minionsByID() {
		if !listed[m.ID] {
			s.UnlistMinion(now, m.ID)
		}
	}
}

// replaceLife starts a new incarnation of a minion. The runs that the old one
// had reported are gone. But a start in flight may have reached the new
// incarnation, which has the same ID and has seen no token; the first report of
// the new incarnation settles that.
func (s *State) replaceLife(now time.Time, m *minion, w work.Minion) {
	s.note(Note{What: MinionRestarted, Minion: m.ID})
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
	m.Minion = w
	s.announce(m)
	s.zoneOf(m)
	m.synced, m.listed, m.rowValidUntil, m.claim = false, false, time.Time{}, nil
	m.token = max(m.token, s.Term*tokensPerTerm) + 1
	m.clock, m.leaseUntil, m.lastEnd = 0, 0, 0
	m.clockAt, m.silentSince, m.pausedUntil = time.Time{}, time.Time{}, now
	m.knownSince, m.failed, m.slowness = now, nil, 0
	s.cancelReservations(m)
	for _, r := range carriedOver {
		s.carryOver(m, r)
	}
	s.accuse(now, s.postponeCarried(accused))
}

// carryOver adds a run that the minion's new incarnation may have; its next
// report settles it.
func (s *State) carryOver(m *minion, r *run) {
	r.state, r.renewalMark, r.token = uncertain, max(s.renewalSeq, 1), m.token-1
	r.confirmedAt, r.speedKnown = time.Time{}, false
	m.hasCarriedRuns = true
	m.add(r)
	if t := r.task; t != nil && t.phase == Placed && t.attempt == r.key.attempt {
		t.incarnation = m.Incarnation
		s.markChanged(r.step.job)
	}
}

// dropRuns gives up all runs of a minion after they have certainly ended.
func (s *State) dropRuns(now time.Time, m *minion, why string) {
	for _, r := range m.runs {
		s.remove(m, r)
		s.requeueLost(now, r, why)
	}
}

// requeueLost requeues the task of a run that no longer exists.
func (s *State) requeueLost(now time.Time, r *run, why string) {
	t := r.task
	if t == nil || t.phase != Placed || t.attempt != r.key.attempt {
		return
	}
	s.note(Note{What: RunLost, Job: t.id.Job, Task: t.id.String(), Attempt: t.attempt, Minion: t.incarnation.ID, Why: why})
	s.requeue(r.step, t)
	if r.step.Gang && (r.state == unsent || r.state == sent) && s.repairGang(now, r.step) {
		return // the run has certainly not begun
	}
	s.stopGang(now, r.step)
}

// requeue makes a placed task wait again.
func (s *State) requeue(p *step, t *task) {
	t.phase = Waiting
	t.incarnation = work.Incarnation{}
	p.waiting++
	s.enqueue(p)
	s.markChanged(p.job)
}

// stopGang stops the other runs of a gang that has lost one.
func (s *State) stopGang(now time.Time, p *step) {
	if !p.Gang {
		return
	}
	for _, t := range p.tasks {
		s.stopTask(now, t)
	}
}

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
	if m != nil && m.claimed(l) {
		s.renewalSeq++
		return Renewal{Minion: m.claim.Minion, Token: m.token + 1, Seq: s.renewalSeq}, true
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
	slow := func(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - s.Limits.MaxClockDrift)) }
	if m.clockAt.IsZero() {
		// A previous owner that does not know of this term may have renewed for
		// RenewWindow.
		end := m.knownSince.Add(s.Limits.RenewWindow + slow(s.Limits.Lease) + leaseMargin)
		if m.hasCarriedRuns {
			end = end.Add(s.Limits.MaxOrderDelay)
		}
		return end
	}
	return m.clockAt.Add(slow(time.Duration(m.leaseUntil-m.clock)*time.Millisecond) + leaseMargin)
}

// HandleNoReply records that a renewal got no reply.
func (s *State) HandleNoReply(now time.Time, l work.Incarnation) {
	m := s.minions[l.ID]
	if m == nil || m.Incarnation != l {
		return
	}
	if m.silentSince.IsZero() {
		m.silentSince, s.checkedAt = now, time.Time{}
		m.openFates(now)
		s.note(Note{What: MinionSilent, Minion: l.ID})
	}
}

// HandleStartReply processes the reply to a start. A non-nil err means that
// there was none.
func (s *State) HandleStartReply(now time.Time, o StartOrder, why work.Refusal, err error) {
	m := s.minions[o.Minion.ID]
	if m == nil || m.Incarnation != o.Minion.Incarnation {
		return
	}
	r := m.runs[runKey{o.Start.Task, o.Start.Attempt}]
	if r == nil {
		return
	}
	r.renewalMark, r.token = s.renewalSeq, o.Start.Token
	if err == nil {
		m.zone.answered()
	}
	switch {
	case err != nil:
		r.unreached = errors.Is(err, table.ErrNotApplied)
		if r.state == sent {
			r.state = uncertain
		}
		m.token = max(m.token, o.Start.Token+1)
		m.pausedUntil = maxTime(m.pausedUntil, now.Add(noReplyPause))
		s.note(Note{What: StartUnanswered, Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID, Why: err.Error()})
	case why == work.Accepted:
		if r.state == sent {
			r.state = live
		}
		r.confirm(now)
		if r.step != nil {
			s.markBegun(r.step.job)
		}
		s.sendStop(now, m, r)
		s.throttleRuns(now, m)
	default:
		s.handleRefusal(now, m, r, why)
	}
}

func (s *State) handleRefusal(now time.Time, m *minion, r *run, why work.Refusal) {
	s.note(Note{What: StartRefused, Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID, Why: string(why)})
	s.remove(m, r)
	switch why {
	case work.BadTicket:
		if r.step != nil {
			r.step.advice.expireTicket(m.ID)
		}
	case work.Unhealthy, work.NoCapacity:
		s.recordFailure(now, m, failure{})
	}
	s.requeueLost(now, r, "refused: "+string(why))
}

// expire gives up the runs on minions whose leases have all ended, and removes
// minions that are gone.
func (s *State) expire(now time.Time) {
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
		if m.claim != nil {
			s.adoptLife(now, m, m.claim.Born)
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
