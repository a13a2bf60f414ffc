package shard

import (
	"time"

	"jasminestep/internal/work"
)

// margin is added to every bound on when a lease has ended.
const margin = 150 * time.Millisecond

func (s *State) newMinion(w work.Minion) *minion {
	m := &minion{Minion: w, token: s.Term * tokensPerTerm, runs: map[runKey]*run{}, since: s.taken}
	s.minions[w.ID] = m
	s.order = nil
	s.epoch++
	s.news(m)
	s.zoneOf(m)
	return m
}

func (m *minion) add(r *run) {
	m.runs[r.key] = r
	m.used = m.used.Plus(r.size)
	m.count(r, 1)
}

func (s *State) remove(m *minion, r *run) {
	if m.runs[r.key] != r {
		return
	}
	delete(m.runs, r.key)
	m.used = m.used.Minus(r.size)
	m.count(r, -1)
	s.wake(m)
}

func (m *minion) count(r *run, n int) {
	if r.step == nil {
		return
	}
	if r.step.Fill {
		m.fills += n
	}
	if r.step.Target > 0 {
		m.serves += n
	}
}

// free is the room that is left.
func (m *minion) free() work.Size { return m.Capacity.Minus(m.used) }

// usable says that new work may be sent.
func (m *minion) usable(now time.Time) bool {
	return m.present(now) && m.known && !m.Draining && m.silent.IsZero() && !now.Before(m.paused) && !m.zone.doubted()
}

// missedFor is how long a minion that answers may do without an entry: entries
// that lapsed while the store was away come back.
const missedFor = 2500 * time.Millisecond

// present says that the minion has an entry, or had one a moment ago.
func (m *minion) present(now time.Time) bool {
	return m.listed || now.Sub(m.missed) < missedFor
}

// See takes in a minion's entry in the store.
func (s *State) See(now time.Time, w work.Minion) {
	m := s.minions[w.ID]
	if w.Service != s.Service {
		if m != nil && w.Born > m.Born {
			s.reborn(now, m, w)
			m.listed = false
		}
		return
	}
	switch {
	case m == nil:
		m = s.newMinion(w)
		s.note(Note{What: "minion", Minion: w.ID, Why: w.Zone})
	case w.Born > m.Born:
		s.reborn(now, m, w)
	case w.Born < m.Born:
		return // an entry of a former life
	}
	if w.Draining {
		s.checked = time.Time{}
	}
	if w.Draining && !m.Draining {
		s.note(Note{What: "draining", Minion: w.ID})
	}
	if m.Address == "" {
		defer s.news(m)
	}
	m.Minion = w
	m.leaves = now.Add(w.Remaining)
	m.listed = true
	s.zoneOf(m)
	s.wake(m)
}

// Unlist takes in that a minion's entry is gone. It may still run and answer.
func (s *State) Unlist(now time.Time, id string) {
	m := s.minions[id]
	if m == nil || !m.listed {
		return
	}
	m.listed, m.missed = false, now
	s.note(Note{What: "unlisted", Minion: id})
}

// Unlisted tells which minions have an entry, for a reader that has the whole list.
func (s *State) Unlisted(now time.Time, listed map[string]bool) {
	for _, m := range s.sorted() {
		if !listed[m.ID] {
			s.Unlist(now, m.ID)
		}
	}
}

// reborn replaces a minion's former life. What was listed there runs no more;
// but a start that was on its way may have reached the new life, which has the
// same id and has seen no token: it is settled by the first report of that life.
func (s *State) reborn(now time.Time, m *minion, w work.Minion) {
	s.note(Note{What: "reborn", Minion: m.ID})
	var carried []*run
	for _, r := range m.runs {
		s.remove(m, r)
		if r.listed || r.state == unsent || r.state == cancelled {
			s.lost(now, r, "its minion started anew")
			continue
		}
		carried = append(carried, r)
	}
	m.Minion = w
	s.news(m)
	s.zoneOf(m)
	m.known, m.listed = false, false
	m.token = max(m.token, s.Term*tokensPerTerm) + 1
	m.clock, m.until, m.seen = 0, 0, 0
	m.at, m.silent, m.paused = time.Time{}, time.Time{}, now
	m.since, m.strikes, m.slow = now, 0, 0
	s.unbookAll(m)
	for _, r := range carried {
		s.carry(m, r)
	}
}

// carry makes a run that may be in a minion's new life one that is to be settled.
func (s *State) carry(m *minion, r *run) {
	r.state, r.mark, r.token = unsure, max(s.seq, 1), m.token-1
	m.carried = true
	m.add(r)
	if t := r.task; t != nil && t.phase == Placed && t.attempt == r.key.attempt {
		t.life = m.Incarnation
		s.touch(r.step.job)
	}
}

// drop gives up all runs of a minion, which certainly exist no more.
func (s *State) drop(now time.Time, m *minion, why string) {
	for _, r := range m.runs {
		s.remove(m, r)
		s.lost(now, r, why)
	}
}

// lost puts the task of a run that is gone back into the queue.
func (s *State) lost(now time.Time, r *run, why string) {
	t := r.task
	if t == nil || t.phase != Placed || t.attempt != r.key.attempt {
		return
	}
	s.note(Note{What: "lost", Job: t.id.Job, Task: t.id.String(), Attempt: t.attempt, Minion: t.life.ID, Why: why})
	s.requeue(r.step, t)
	if r.step.Gang && (r.state == unsent || r.state == sent) && s.mend(now, r.step) {
		return // it has certainly not begun
	}
	s.breakGang(now, r.step)
}

// requeue makes a placed task wait again.
func (s *State) requeue(p *step, t *task) {
	t.phase = Waiting
	t.life = work.Incarnation{}
	p.waiting++
	s.enqueue(p)
	s.touch(p.job)
}

// breakGang stops the other runs of a gang that has lost one.
func (s *State) breakGang(now time.Time, p *step) {
	if !p.Gang {
		return
	}
	for _, t := range p.tasks {
		s.giveUp(now, t)
	}
}

// Renewal says how a minion is to be asked next.
type Renewal struct {
	Minion work.Minion
	Token  int64
	Until  int64 // 0: prolongs nothing
	Seq    int64
	Wait   bool // for an end, rather than answer at once
}

// Renew returns the next renewal of a minion's life. ok is false once the life
// is over or of no interest.
func (s *State) Renew(now time.Time, l work.Incarnation) (n Renewal, ok bool) {
	m := s.minions[l.ID]
	if m == nil || m.Incarnation != l {
		return n, false
	}
	s.seq++
	n = Renewal{Minion: m.Minion, Token: m.token, Seq: s.seq}
	if m.at.IsZero() || !m.silent.IsZero() || now.Sub(s.durable) > s.Limits.RenewFor {
		// A silent minion is only asked: a lease that may or may not have
		// reached it would put off the moment at which its tasks start elsewhere.
		return n, true
	}
	n.Wait = true
	n.Until = m.lease(now, s.Limits)
	return n, true
}

// lease returns the end of a lease from now, on the minion's clock.
func (m *minion) lease(now time.Time, l Limits) int64 {
	until := m.clock + (now.Sub(m.at) + l.Lease).Milliseconds()
	m.until = max(m.until, until)
	return m.until
}

// lapsed is when all leases that the minion was ever sent have ended for sure.
func (s *State) lapsed(m *minion) time.Time {
	slow := func(d time.Duration) time.Duration { return time.Duration(float64(d) / (1 - s.Limits.Drift)) }
	if m.at.IsZero() {
		// A predecessor that cannot know of this term may have renewed for RenewFor.
		end := m.since.Add(s.Limits.RenewFor + slow(s.Limits.Lease) + margin)
		if m.carried {
			end = end.Add(s.Limits.LateOrder)
		}
		return end
	}
	return m.at.Add(slow(time.Duration(m.until-m.clock)*time.Millisecond) + margin)
}

// Silent takes in that a renewal got no answer.
func (s *State) Silent(now time.Time, l work.Incarnation) {
	m := s.minions[l.ID]
	if m == nil || m.Incarnation != l {
		return
	}
	if m.silent.IsZero() {
		m.silent, s.checked = now, time.Time{}
		s.note(Note{What: "silent", Minion: l.ID})
	}
}

// Started takes in the answer to a start. err means that there was none.
func (s *State) Started(now time.Time, o Order, why work.Refusal, err error) {
	m := s.minions[o.Minion.ID]
	if m == nil || m.Incarnation != o.Minion.Incarnation {
		return
	}
	r := m.runs[runKey{o.Start.Task, o.Start.Attempt}]
	if r == nil {
		return
	}
	r.mark, r.token = s.seq, o.Start.Token
	if err == nil {
		m.zone.heard()
	}
	switch {
	case err != nil:
		if r.state == sent {
			r.state = unsure
		}
		m.token = max(m.token, o.Start.Token+1)
		m.paused = maxTime(m.paused, now.Add(unansweredPause))
		s.note(Note{What: "unanswered", Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID, Why: err.Error()})
	case why == work.Accepted:
		if r.state == sent {
			r.state = live
		}
		if r.step != nil {
			s.began(r.step.job)
		}
		s.halt(now, m, r)
	default:
		s.refused(now, m, r, why)
	}
}

func (s *State) refused(now time.Time, m *minion, r *run, why work.Refusal) {
	s.note(Note{What: "refused", Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID, Why: string(why)})
	s.remove(m, r)
	switch why {
	case work.BadTicket:
		if r.step != nil {
			r.step.advice.forget(m.ID)
		}
	case work.Unhealthy, work.NoCapacity:
		s.strike(now, m)
	}
	s.lost(now, r, "refused: "+string(why))
}

// expire gives up what ran on minions whose leases have all ended, and forgets
// minions that have gone.
func (s *State) expire(now time.Time) {
	for id, m := range s.minions {
		if m.silent.IsZero() && !m.at.IsZero() || now.Before(s.lapsed(m)) {
			continue
		}
		if m.at.IsZero() && m.listed && len(m.runs) == 0 {
			continue
		}
		if len(m.runs) > 0 {
			s.drop(now, m, "its lease ended while its minion was silent")
		}
		m.known = false
		if !m.listed {
			delete(s.minions, id)
			m.leaveZone()
			s.unbookAll(m)
			s.order = nil
			s.epoch++
			s.note(Note{What: "forgotten", Minion: id})
		}
	}
}

// news notes a life that Fresh has to tell of.
func (s *State) news(m *minion) {
	if m.Address != "" {
		s.fresh = append(s.fresh, m.Incarnation)
	}
}

// Fresh returns the lives of minions that are to be asked for reports from now
// on. Each is told of once.
func (s *State) Fresh() []work.Incarnation {
	out := s.fresh
	s.fresh = nil
	return out
}
