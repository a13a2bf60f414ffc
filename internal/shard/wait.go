package shard

import (
	"fmt"
	"time"
)

// waitNoteInterval is the time after which a step that waits, although the steps
// before it are done, is noted, and noted again.
const waitNoteInterval = 5 * time.Second

// noteWait notes why a step with runnable tasks still waits.
func (s *State) noteWait(now time.Time, p *step) {
	if p.shortSince.IsZero() {
		p.shortSince = now
	}
	if p.waitsSince.IsZero() {
		p.waitsSince, p.waitNotedAt = now, now
	}
	if now.Sub(p.waitNotedAt) < waitNoteInterval {
		return
	}
	p.waitNotedAt = now
	s.note(Note{What: StepWaits, Job: p.job.ID, Task: p.id().StepID(), Why: s.waitState(now, p).String()})
}

// Limits on how long queries for other steps may hold up a step.
const (
	longWait   = 5 * time.Second
	queryTurns = 8 // of the queries that use up the capacity, one in so many goes to the step that has waited longest
)

// longestWaitFirst puts the step that has waited longest first when it is its
// turn. Otherwise a step whose job is late would never be queried about while
// more urgent or smaller ones use up the capacity for queries.
func (s *State) longestWaitFirst(now time.Time, cs []candidate) []candidate {
	s.turnOf = nil
	if s.contendedQueries < queryTurns {
		return cs
	}
	oldest := -1
	for i, c := range cs {
		if now.Sub(c.waitsSince) < longWait || !c.takesTurn(now) {
			continue
		}
		if oldest < 0 || c.waitsSince.Before(cs[oldest].waitsSince) {
			oldest = i
		}
	}
	if oldest < 0 {
		return cs
	}
	c := cs[oldest]
	s.turnOf = c.step
	copy(cs[1:oldest+1], cs[:oldest])
	cs[0] = c
	return cs
}

// takesTurn reports whether the step may have something to query about.
func (p *step) takesTurn(now time.Time) bool {
	a := &p.advice
	return p.job.Advice != nil && a.inFlight == 0 && !now.Before(a.nextQuery) && !now.Before(a.retryAfter) && !now.Before(p.noTurnBefore)
}

// passTurn lets other steps have the turn if the step did not use it although a
// query could be issued.
func (s *State) passTurn(now time.Time, p *step) {
	if p == s.turnOf && s.queryCapacity.Total > 0 && p.deferredCost == 0 {
		p.noTurnBefore = now.Add(longWait)
	}
}

// waitState is what decides whether the waiting tasks of a step can be placed or
// a query for them be issued.
type waitState struct {
	waiting, tasks   int
	allowed          int // minions that may run the step, as far as is known
	allowedPresent   int // of these, those that still exist
	allowedWithRoom  int // of these, those that could take a task now
	reservedByOthers int // of these, those whose room is reserved or held for other steps
	unqueried        int // minions that no query has named
	unqueriedRoom    int // of these, those that could take a task now
	queriesInFlight  int
	queryCapacity    QueryCapacity
	account          string         // what limits the account of the job; empty if nothing does
	obstacles        obstacleCounts // of the minions that are allowed or have not been queried
}

func (s *State) waitState(now time.Time, p *step) waitState {
	w := waitState{waiting: p.waiting, tasks: p.Tasks, allowed: len(p.advice.eligible), queriesInFlight: p.advice.inFlight, queryCapacity: s.queryCapacity}
	if a := p.job.account; a != nil && p.overQuota {
		w.account = fmt.Sprintf("account %s uses %v and may use %v here", a.Name, a.used, a.allowance)
	}
	for _, m := range s.minionsByID() {
		_, allowed := p.advice.eligible[m.ID]
		allowed = allowed || p.job.Advice == nil
		if !allowed && p.advice.queried[m.ID] {
			continue
		}
		o := p.obstacle(now, now.Add(s.writeTime), m)
		w.obstacles[o]++
		fits := o == noObstacle && m.free().CanFit(p.Reserved())
		switch {
		case allowed:
			w.allowedPresent++
			if fits {
				w.allowedWithRoom++
				if !m.free().Minus(m.reservedByOthers(p)).Minus(m.heldRoom).CanFit(p.Reserved()) {
					w.reservedByOthers++
				}
			}
		default:
			w.unqueried++
			if fits {
				w.unqueriedRoom++
			}
		}
	}
	return w
}

func (w waitState) String() string {
	text := fmt.Sprintf("%d of %d tasks wait; %d minions are allowed, of which %d exist, %d have room, %d have it reserved for others; %d have not been queried, of which %d have room; %d queries in flight, %d more can be issued (%d slow)",
		w.waiting, w.tasks, w.allowed, w.allowedPresent, w.allowedWithRoom, w.reservedByOthers, w.unqueried, w.unqueriedRoom, w.queriesInFlight, w.queryCapacity.Total, w.queryCapacity.Slow)
	if w.account != "" {
		text += "; " + w.account
	}
	if o := w.obstacles.String(); o != "" {
		text += "; " + o
	}
	return text
}
