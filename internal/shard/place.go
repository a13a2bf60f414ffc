package shard

import (
	"slices"
	"time"
)

// checkInterval is the usual time between two checks of all minions for expired
// leases, evacuations and runs that need a copy.
const checkInterval = 20 * time.Millisecond

// Decide places waiting tasks and gives up runs whose leases have expired. wall
// is the time of day.
func (s *State) Decide(now, wall time.Time, free QueryCapacity) {
	s.queryCapacity, s.decidedAt = free, now
	if now.Sub(s.checkedAt) >= checkInterval || now.Before(s.checkedAt) {
		s.checkedAt = now
		s.expire(now)
		s.evacuate(now)
		s.findLeaving(now)
		s.startCopies(now)
		s.ignoreCommonFailures()
		s.sampleAbsences(now)
	}
	s.endTrials(now)
	s.judge(now)
	s.dropForgotten(now)
	s.beginRounds(wall)
	v := &view{s: s, now: now, send: now.Add(s.writeTime), ms: s.minionsByID()}
	v.pruneReservations()
	due := s.due(now, wall)
	s.weighAccounts()
	v.placeAhead()
	v.placeAll(s.longestWaitFirst(now, due))
	v.queryAhead()
}

// placeAll considers candidates in order, but within a tier those last whose
// accounts run their share already.
func (v *view) placeAll(cs []candidate) {
	var deferred []candidate
	for i, c := range cs {
		if v.runsItsShare(c.job.account) {
			deferred = append(deferred, c)
		} else {
			v.check(c)
		}
		if i+1 < len(cs) && cs[i+1].tier == c.tier {
			continue
		}
		for _, c := range deferred {
			v.check(c)
		}
		deferred = deferred[:0]
	}
}

// check considers a candidate unless it only waits for a query that is not
// possible.
func (v *view) check(c candidate) {
	if c.due || v.s.queryCapacity.allows(c.deferredCost) {
		v.placeOrYield(c)
		v.s.passTurn(v.now, c.step)
	}
}

// placeOrYield places tasks of a step, unless it leaves its room to others.
func (v *view) placeOrYield(c candidate) {
	c.valued = c.tier == timely || c.tier == late
	if !v.yields(c) {
		v.place(c)
		return
	}
	c.markChecked(v.now)
	v.s.releaseTicketHolds(c.step)
	v.releaseReservations(c.step)
}

// view is the state of the minions during one decision.
type view struct {
	s            *State
	send         time.Time // when a start decided now is expected to be sent
	now          time.Time
	ms           []*minion
	reservedRoom float64                   // room reserved by waiting steps, by roomWeight
	sums         *roomSums                 // computed on first use
	endCache     map[*minion][]expectedEnd // computed on first use
	zones        []*zoneRoom               // computed on first use
}

// place places as many tasks of a step as it can, or queries the advice that is
// missing.
func (v *view) place(c candidate) {
	p := c.step
	p.markChecked(v.now)
	v.s.releaseTicketHolds(p)
	p.missesObjective = c.tier >= late
	p.urgent = v.isUrgent(c)
	n := p.job.account.startable(p)
	if p.overQuota = n < p.waiting; n == 0 && !p.incomplete {
		v.releaseReservations(p)
		return
	}
	scored := v.scoreMinions(p)
	if p.incomplete {
		v.completeGang(p, scored)
		return
	}
	if p.Gang && slices.ContainsFunc(p.tasks, (*task).held) {
		return
	}
	if p.Gang && p.OneRack {
		scored = sameRack(p, scored)
	}
	clean, suspects := p.waitingTasks()
	trials, scored := planTrials(v.now, p, scored, min(len(suspects), n))
	plan := planTasks(p, scored, min(len(clean), n-len(trials)))
	if p.Gang && (len(plan) < p.waiting || slices.ContainsFunc(plan, lacksTicket) || v.s.PlacementPaused) {
		if v.reserveRoom(p, plan); !p.hasReservations {
			v.queryMore(c)
		}
		if v.evictsFor(p) && !v.s.PlacementPaused {
			v.makeRoom(p)
		}
		return
	}
	if len(trials)+len(plan) < min(len(suspects)+len(clean), n) {
		v.queryMore(c)
	}
	all := slices.Concat(trials, plan)
	v.renewTickets(p, all)
	if v.s.PlacementPaused {
		v.holdForTickets(p, all)
		return
	}
	v.start(p, suspects, trials)
	v.start(p, clean, plan)
	if p.waiting > 0 && v.mayReserve(p) && v.startsEnough(p) {
		v.reserveRoom(p, nil)
		if len(clean)+len(suspects) > 0 && v.evictsFor(p) {
			v.makeRoom(p)
		}
	}
}

// startsEnough reports whether the account of a step may start enough of it to
// reserve room: any task that must run, else all that wait.
func (v *view) startsEnough(p *step) bool {
	n := p.job.account.startable(p)
	return n >= p.waiting || p.mustRun() && n > 0
}

// isUrgent reports whether a step may use room that others have reserved.
func (v *view) isUrgent(c candidate) bool {
	switch {
	case c.incomplete:
		return true
	case c.Lasting:
		return !c.Gang && !c.waitsSince.IsZero() && v.now.Sub(c.waitsSince) > urgentSlack
	}
	return c.tier == timely && c.slack < urgentSlack && !v.mayReserve(c.step)
}

// reserveRoom reserves room for the waiting tasks of a step, that of a complete
// plan if there is one, and requests the tickets in time for when the room is
// expected to be free. While a query is in flight the reservation does not
// change, since the query is about it. If no query is possible nothing is
// reserved, because the room would be idle until the step can query.
func (v *view) reserveRoom(p *step, plan []*scoredMinion) {
	if p.hasReservations && p.advice.inFlight > 0 {
		return
	}
	ready, ok := time.Duration(0), true
	if len(plan) > 0 && len(plan) == p.waiting {
		if len(v.reservedSlots(p, slotsOf(plan))) < len(plan) {
			v.releaseReservations(p)
			for _, sm := range plan {
				v.addReservation(p, sm.minion)
			}
		}
	} else {
		ready, ok = v.reserve(p)
	}
	if ok && !v.renewReservedTickets(p, ready) && !p.mustRun() {
		v.releaseReservations(p)
	}
}

// slotsOf returns the plan as slots that are free now.
func slotsOf(plan []*scoredMinion) []slot {
	out := make([]slot, len(plan))
	for i, sm := range plan {
		out[i] = slot{sm.minion, 0}
	}
	return out
}

// planTasks returns a minion for each of n tasks, as far as they fit.
func planTasks(p *step, scored []*scoredMinion, n int) []*scoredMinion {
	var plan []*scoredMinion
	for _, sm := range scored {
		for len(plan) < n && sm.takeRoom(p) {
			plan = append(plan, sm)
		}
	}
	return plan
}

// sameRack restricts the minions to those of one rack if the whole gang fits
// there.
func sameRack(p *step, scored []*scoredMinion) []*scoredMinion {
	racks := map[string][]*scoredMinion{}
	for _, sm := range scored {
		c := *sm
		racks[sm.Rack()] = append(racks[sm.Rack()], &c)
	}
	for _, sm := range scored {
		trial := make([]*scoredMinion, 0, len(racks[sm.Rack()]))
		for _, o := range racks[sm.Rack()] {
			c := *o
			trial = append(trial, &c)
		}
		if len(planTasks(p, trial, p.waiting)) == p.waiting {
			return racks[sm.Rack()]
		}
	}
	return scored
}

// mayHoldForTickets reports whether the step may keep room while it waits for tickets: not
// while it cannot even query, since that room would be idle, and not if it reserves room.
func (v *view) mayHoldForTickets(p *step) bool {
	return p.advice.inFlight > 0 && (!p.mustRun() || !v.mayReserve(p))
}

// holdForTickets holds room for planned tasks that wait for their tickets.
func (v *view) holdForTickets(p *step, plan []*scoredMinion) {
	for _, sm := range plan {
		p.ticketHolds = append(p.ticketHolds, sm.minion)
		sm.heldRoom = sm.heldRoom.Plus(p.Reserved())
	}
}
