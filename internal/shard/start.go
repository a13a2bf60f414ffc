package shard

import (
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// gangAttempt is the attempt number for starting members of a gang: a new one,
// unless some members already wait for the others.
func (p *step) gangAttempt() int {
	attempt, next := 0, 1
	for _, t := range p.tasks {
		attempt = max(attempt, t.attempt)
		if t.phase == Placed {
			next = 0
		}
	}
	return attempt + next
}

// start places waiting tasks of the step, in order, according to the plan.
func (v *view) start(p *step, ts []*task, plan []*scoredMinion) {
	next := 0
	attempt := 0
	if p.Gang {
		attempt = p.gangAttempt()
		if p.waiting == p.unfinished {
			p.gangPlacedAt = v.now
		}
	}
	for _, sm := range plan {
		if sm.eligibility != eligible {
			if v.mayHoldForTickets(p) {
				v.holdForTickets(p, []*scoredMinion{sm})
			}
			continue
		}
		t := ts[next]
		next++
		if !p.Gang {
			attempt = t.attempt + 1
		}
		v.placeTask(p, t, attempt, sm)
	}
}

// placeTask places a task; its start is sent once the placement is durable.
func (v *view) placeTask(p *step, t *task, attempt int, sm *scoredMinion) {
	s := v.s
	m := sm.minion
	j := p.job
	t.phase, t.attempt, t.incarnation = Placed, attempt, m.Incarnation
	p.waiting--
	p.waitsSince = time.Time{}
	if p.waiting == 0 {
		p.shortSince = time.Time{}
	}
	r := &run{key: runKey{t.id, attempt}, size: p.Reserved(), step: p, task: t, state: unsent, renewalMark: s.renewalSeq + 1, placedAt: v.now, speed: fullSpeed, speedKnown: true}
	m.add(r)
	s.throttleRuns(v.now, m)
	s.markChanged(j)
	if j.state == Queued {
		j.state = Active
	}
	s.note(Note{What: TaskPlaced, Job: t.id.Job, Task: t.id.String(), Attempt: attempt, Minion: m.ID})
	if attempt == 1 {
		s.copyBudget.allow()
	}
	if t.needsTrial() {
		s.beginTrial(v.now, m, r)
	}
	saved := ""
	if p.Checkpoints {
		saved = p.checkpoint(t)
	}
	s.batch.Starts = append(s.batch.Starts, StartOrder{m.Minion, work.Start{
		Task: t.id, Attempt: attempt, Spec: j.Spec, Saved: saved, Ticket: sm.ticket.text,
	}, sm.ticket.expires})
}

// checkpoint is where a run resumes; all members of a gang use the same one.
func (p *step) checkpoint(t *task) string {
	if !p.Gang {
		return t.checkpoint
	}
	return p.tasks[0].checkpoint
}

// reasonNotToSend returns why a start should no longer be sent, or an empty string.
func (s *State) reasonNotToSend(now time.Time, m *minion, r *run, o *StartOrder) string {
	switch {
	case r.state == cancelled:
		return "stopped before it was sent"
	case m.clockAt.IsZero() || !m.silentSince.IsZero():
		return "its minion stopped answering before it was sent"
	case !s.mayExtend(m):
		return "its minion's leases are not extended yet"
	case now.After(m.rowValidUntil):
		return "its minion's row is too old"
	case !m.Capacity.CanFit(m.used):
		return "its minion has less room than before"
	case o.Start.Ticket != "" && now.After(o.ticketExpires):
		return "its ticket expired before it was sent"
	}
	return ""
}

// PrepareStart completes a start whose placement is durable. It returns false if
// the start should no longer be sent.
func (s *State) PrepareStart(now time.Time, o *StartOrder) bool {
	m, r := s.runAt(o.Minion.Incarnation, runKey{o.Start.Task, o.Start.Attempt})
	if r == nil {
		return false
	}
	if why := s.reasonNotToSend(now, m, r, o); why != "" {
		s.remove(m, r)
		s.requeueLost(now, r, why)
		return false
	}
	r.state, r.sentAt = sent, now
	if r.onTrial {
		m.trialAt = now
	}
	o.Minion = m.Minion
	m.outrunAck()
	o.Start.Token = m.token
	o.Start.Until = s.extendLease(now, m)
	return true
}

// HandleStartReply processes the reply to a start. A non-nil err means that
// there was none.
func (s *State) HandleStartReply(now time.Time, o StartOrder, why work.Refusal, err error) {
	m, r := s.runAt(o.Minion.Incarnation, runKey{o.Start.Task, o.Start.Attempt})
	if r == nil {
		return
	}
	r.renewalMark, r.token = s.renewalSeq, o.Start.Token
	if err == nil {
		s.zoneAnswered(now, m)
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
		s.endAbsence(now, r)
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
