package shard

import (
	"cmp"
	"slices"
	"time"
)

// beginTrial puts a run on trial at the minion where it has been placed.
func (s *State) beginTrial(now time.Time, m *minion, r *run) {
	r.onTrial = true
	m.trialAt = now
	if m.trial == nil {
		m.trial = r.step
		s.trials = append(s.trials, m)
	}
	s.note(Note{What: TrialBegun, Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID})
}

// endTrials ends the trials whose runs have ended or survived.
func (s *State) endTrials(now time.Time) {
	s.trials = slices.DeleteFunc(s.trials, func(m *minion) bool {
		if s.trialOpen(now, m) && now.Sub(m.trialAt) < trialTimeout {
			return false
		}
		m.trial = nil
		s.wakeSteps(m)
		return true
	})
}

// trialOpen acquits the runs that have survived, and reports whether there are
// others.
func (s *State) trialOpen(now time.Time, m *minion) bool {
	open := false
	for _, r := range m.runs {
		switch {
		case !r.onTrial:
		case r.state == live && m.silentSince.IsZero() && r.age(now) >= freshWindow:
			r.onTrial = false
			c := &r.task.crash
			c.Suspect, c.Proven = false, false
			r.task.clearDoubts()
			s.markChanged(r.step.job)
			s.note(Note{What: TrialSurvived, Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: m.ID})
		default:
			open = true
		}
	}
	return open
}

// closedTo reports whether a trial keeps the step off the minion. Members of a
// gang may join each other, since they run together anyway.
func (m *minion) closedTo(p *step) bool {
	return m.trial != nil && (m.trial != p || !p.Gang)
}

// waitingTasks lists the tasks of a step that can be placed, those that need a
// trial apart.
func (p *step) waitingTasks() (clean, suspects []*task) {
	if p.Gang && slices.ContainsFunc(p.tasks, (*task).guilty) {
		return nil, nil
	}
	for _, t := range p.tasks {
		switch {
		case t.phase != Waiting:
		case p.Gang:
			clean = append(clean, t)
		case t.held():
		case t.needsTrial():
			suspects = append(suspects, t)
		default:
			clean = append(clean, t)
		}
	}
	return clean, suspects
}

// planTrials returns a minion for each suspect that fits, and the minions that
// are left for other tasks. Trials go where they put the least at risk, and
// where no other run is fresh, so that a crash has one possible cause.
func planTrials(now time.Time, p *step, scored []*scoredMinion, n int) (plan, rest []*scoredMinion) {
	if n == 0 {
		return nil, scored
	}
	order := byTrialRisk(now, p, scored)
	plan = planTasks(p, order, n)
	rest = slices.DeleteFunc(slices.Clone(scored), func(sm *scoredMinion) bool { return slices.Contains(plan, sm) })
	return plan, rest
}

// byTrialRisk sorts minions for a trial, the least risk first.
func byTrialRisk(now time.Time, p *step, scored []*scoredMinion) []*scoredMinion {
	type ranked struct {
		*scoredMinion
		risk [5]int
	}
	rs := make([]ranked, len(scored))
	for i, sm := range scored {
		rs[i] = ranked{sm, sm.trialRisk(now, p)}
	}
	slices.SortStableFunc(rs, func(a, b ranked) int { return slices.Compare(a.risk[:], b.risk[:]) })
	out := make([]*scoredMinion, len(rs))
	for i := range rs {
		out[i] = rs[i].scoredMinion
	}
	return out
}

// trialRisk ranks minions for a trial.
func (sm *scoredMinion) trialRisk(now time.Time, p *step) [5]int {
	fresh := 0
	for _, r := range sm.runs {
		if r.age(now) < freshWindow {
			fresh = 1
		}
	}
	others := 0
	if len(sm.reservations) > 0 && !sm.hasReservation(p) {
		others = 1
	}
	return [5]int{cmp.Compare(sm.score[0], 1), -int(sm.eligibility), others, fresh, len(sm.runs)}
}
