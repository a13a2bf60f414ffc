package shard

import (
	"math"
	"slices"
	"strings"
	"time"

	"jasminestep/internal/work"
)

// checkInterval is the usual time between two checks of all minions for expired
// leases, evacuations and runs that need a copy.
const checkInterval = 20 * time.Millisecond

// Decide places waiting tasks and gives up runs whose leases have expired. wall
// is the time of day.
func (s *State) Decide(now, wall time.Time, free QueryCapacity) {
	s.queryCapacity = free
	if now.Sub(s.checkedAt) >= checkInterval || now.Before(s.checkedAt) {
		s.checkedAt = now
		s.expire(now)
		s.evacuate(now)
		s.startCopies()
	}
	s.dropForgotten(now)
	s.beginRounds(wall)
	v := &view{s: s, now: now, send: now.Add(s.writeTime), ms: s.minionsByID()}
	v.pruneReservations()
	for _, c := range s.due(now, wall) {
		if c.due || s.queryCapacity.allows(c.deferredCost) {
			v.place(c)
		}
	}
	v.queryAhead()
}

// view is the state of the minions during one decision.
type view struct {
	s            *State
	send         time.Time // when a start decided now is expected to be sent
	now          time.Time
	ms           []*minion
	reservedRoom float64                   // room reserved by waiting steps, by roomWeight
	totalRoom    float64                   // all room, by roomWeight
	largest      work.Size                 // greatest room of any minion, by dimension
	endCache     map[*minion][]expectedEnd // computed on first use
	zones        []*zoneRoom               // computed on first use
}

// suits reports whether a task of the step could run on m if m were empty.
func (p *step) suits(m *minion) bool {
	return m.Capacity.CanFit(p.Size) && (p.Label == "" || slices.Contains(m.Labels, p.Label))
}

// conflicts reports whether tasks of the step must not run beside those on m:
// fill tasks disturb tasks that have a bound on their response times.
func (p *step) conflicts(m *minion) bool {
	if p.Fill {
		return m.targetRuns > 0
	}
	return p.Target > 0 && m.fillRuns > 0
}

// scoredMinion is a minion that can take tasks of a step, with its score.
type scoredMinion struct {
	*minion
	eligibility  eligibility
	ticket       ticket
	roomLeft     work.Size // room left after the placements of this decision
	taskCount    int       // tasks of the step on the minion
	usesReserved bool      // uses room that other steps have reserved
	score        [5]float64
}

// eligibleMinions lists the minions that may run tasks of the step, by ID.
func (s *State) eligibleMinions(p *step) []*minion {
	if p.job.Advice == nil {
		return s.minionsByID()
	}
	a := &p.advice
	if a.unsorted || a.epoch != s.epoch {
		a.sorted = a.sorted[:0]
		for id := range a.eligible {
			if m := s.minions[id]; m != nil {
				a.sorted = append(a.sorted, m)
				m.addEligibleStep(p)
			}
		}
		slices.SortFunc(a.sorted, func(x, y *minion) int { return strings.Compare(x.ID, y.ID) })
		a.unsorted, a.epoch = false, s.epoch
	}
	return a.sorted
}

// runsOn returns the number of runs of the step on m, or 0 if the step has no
// limit per minion.
func (p *step) runsOn(m *minion) int {
	if p.PerMinion == 0 {
		return 0
	}
	n := 0
	for _, r := range m.runs {
		if r.step == p {
			n++
		}
	}
	return n
}

func (v *view) scoreMinions(p *step) []*scoredMinion {
	need := p.Reserved()
	ms := v.s.eligibleMinions(p)
	all := make([]scoredMinion, 0, len(ms))
	for _, m := range ms {
		if !m.usable(v.now) || !p.suits(m) || p.conflicts(m) || m.probing() {
			continue
		}
		elig, text := p.eligibility(v.send, m)
		if elig == ineligible {
			continue
		}
		sp := scoredMinion{minion: m, eligibility: elig, ticket: text, roomLeft: m.free().Minus(m.reservedByOthers(p)).Minus(m.heldRoom), taskCount: p.runsOn(m)}
		if !sp.roomLeft.CanFit(need) && p.urgent {
			sp.roomLeft = m.free().Minus(m.heldRoom)
			sp.usesReserved = true
		}
		if sp.roomLeft.CanFit(need) {
			all = append(all, sp)
		}
	}
	out := make([]*scoredMinion, len(all))
	for i := range all {
		out[i] = &all[i]
	}
	v.chooseZone(p, out)
	for _, sp := range out {
		sp.setScore(p)
	}
	slices.SortStableFunc(out, func(a, b *scoredMinion) int { return slices.Compare(a.score[:], b.score[:]) })
	return out
}

// setScore sets the sort key of the minion: first the rack of the data, then the
// zone of the step's other tasks, then the fullest minion, so that large tasks
// find room. Fill tasks go where most room is left, urgent tasks to the fastest
// minions.
func (sp *scoredMinion) setScore(p *step) {
	if sp.usesReserved || p.hasReservations && !sp.hasReservation(p) {
		sp.score[0] = 2
	}
	if p.Rack != "" && !slices.Contains(sp.Labels, p.Rack) {
		sp.score[0]++
	}
	sp.score[1] = sp.slownessClass() + p.failurePenalty(sp.minion)
	if p.urgent {
		sp.score[1] += sp.speedRank()
	}
	if p.preferredZone != "" && sp.Zone != p.preferredZone {
		sp.score[2] = 1
	}
	if p.Fill {
		sp.score[3] = -float64(sp.roomLeft.CPU) / float64(1+sp.fillRuns)
		return
	}
	if sp.Capacity.GPU > 0 {
		sp.score[3] = float64(sp.roomLeft.GPU - p.Size.GPU)
	}
	sp.score[4] = float64(sp.roomLeft.CPU - p.Size.CPU)
}

// takeRoom reports whether one more task fits, and subtracts its room.
func (sp *scoredMinion) takeRoom(p *step) bool {
	if sp.suspect() && sp.taskCount > 0 || !sp.roomLeft.CanFit(p.Reserved()) || p.PerMinion > 0 && sp.taskCount >= p.PerMinion {
		return false
	}
	sp.roomLeft = sp.roomLeft.Minus(p.Reserved())
	sp.taskCount++
	return true
}

// place places as many tasks of a step as it can, or queries the advice that is
// missing.
func (v *view) place(c candidate) {
	p := c.step
	p.markChecked(v.now)
	v.s.releaseTicketHolds(p)
	p.missesObjective = c.tier >= late
	p.urgent = c.tier == timely && c.slack < urgentSlack && !v.mayReserve(p) || p.incomplete
	scored := v.scoreMinions(p)
	if p.incomplete {
		v.completeGang(p, scored)
		return
	}
	if p.Gang && p.OneRack {
		scored = sameRack(p, scored)
	}
	plan := planTasks(p, scored)
	if p.Gang && (len(plan) < p.waiting || slices.ContainsFunc(plan, lacksTicket) || v.s.PlacementPaused) {
		if v.reserveRoom(p, plan); !p.hasReservations {
			v.queryMore(c)
		}
		return
	}
	if len(plan) < p.waiting {
		v.queryMore(c)
	}
	v.renewTickets(p, plan)
	if v.s.PlacementPaused {
		v.holdForTickets(p, plan)
		return
	}
	v.start(p, plan)
	if p.waiting > 0 && v.mayReserve(p) {
		v.reserveRoom(p, nil)
	}
}

func lacksTicket(sp *scoredMinion) bool { return sp.eligibility != eligible }

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
			for _, sp := range plan {
				v.addReservation(p, sp.minion)
			}
		}
	} else {
		ready, ok = v.reserve(p)
	}
	if ok && !v.renewReservedTickets(p, ready) {
		v.releaseReservations(p)
	}
}

// slotsOf returns the plan as slots that are free now.
func slotsOf(plan []*scoredMinion) []slot {
	out := make([]slot, len(plan))
	for i, sp := range plan {
		out[i] = slot{sp.minion, 0}
	}
	return out
}

// renewReservedTickets requests new tickets for the minions that the step has
// reserved room on, and for a few spare ones, unless the tickets are valid for
// long enough: until the reply to a query issued now would arrive, or until the
// room is free. It reports whether the reservation is worth keeping.
func (v *view) renewReservedTickets(p *step, ready time.Duration) bool {
	a := p.job.Advice
	if a == nil || p.advice.inFlight > 0 {
		return true
	}
	ids := p.reservedIDs()
	cost := a.Decide + a.Each*time.Duration(len(ids)+spareTicketMinions)
	if ready > cost {
		p.notBefore = v.now.Add(min(ready-cost, recheckInterval))
		return true
	}
	if !slices.ContainsFunc(ids, func(id string) bool {
		elig, t := p.eligibility(v.send, v.s.minions[id])
		return elig != eligible || t.expires.Before(v.send.Add(max(cost, ready)))
	}) {
		return true
	}
	spare := spareTicketMinions
	for _, sl := range v.slots(p) {
		if spare > 0 && !slices.Contains(ids, sl.ID) {
			ids = append(ids, sl.ID)
			spare--
		}
	}
	return v.s.query(v.now, p, ids)
}

// queryMore queries further minions for a step that does not fit on the known
// ones. Once some are known to be eligible, only minions with room are useful.
func (v *view) queryMore(c candidate) {
	p := c.step
	if p.job.Advice == nil || p.advice.inFlight > 0 || v.s.queryCapacity.Total == 0 || v.now.Before(p.advice.nextQuery) {
		return
	}
	for n := v.s.parallelQueries(p); n > 0 && v.queryUnqueried(p); n-- {
		continue
	}
}

// queryUnqueried queries minions that no query has named yet, and reports whether
// it did.
func (v *view) queryUnqueried(p *step) bool {
	ids := v.unqueriedMinions(p, len(p.advice.eligible) > 0)
	if len(p.advice.eligible) >= enoughEligible*p.waiting && len(ids) < minUsefulQuery {
		return false
	}
	return v.s.query(v.now, p, ids)
}

// parallelQueries returns how many queries about a step are issued at once. A
// gang needs room on all its minions at the same time. With enough minions to
// choose from it often finds that when the first answers arrive; otherwise it
// has to reserve room and leave it idle while its tickets are renewed.
func (s *State) parallelQueries(p *step) int {
	if !p.Gang || !s.Policy.ParallelQueries {
		return 1
	}
	names := enoughEligible * float64(p.waiting) / s.eligibleShares[p.job.Queue].share()
	return max(1, int(math.Ceil(names/float64(s.queryLimit(p)))))
}

// A step that already has this many eligible minions for each waiting task
// issues another query only if that can add at least a few more.
const (
	enoughEligible = 3
	minUsefulQuery = 8
)

// planTasks returns a minion for each task that fits.
func planTasks(p *step, scored []*scoredMinion) []*scoredMinion {
	var plan []*scoredMinion
	for _, sp := range scored {
		for len(plan) < p.waiting && sp.takeRoom(p) {
			plan = append(plan, sp)
		}
	}
	return plan
}

// sameRack restricts the minions to those of one rack if the whole gang fits
// there.
func sameRack(p *step, scored []*scoredMinion) []*scoredMinion {
	racks := map[string][]*scoredMinion{}
	for _, sp := range scored {
		c := *sp
		racks[sp.Rack()] = append(racks[sp.Rack()], &c)
	}
	for _, sp := range scored {
		trial := make([]*scoredMinion, 0, len(racks[sp.Rack()]))
		for _, o := range racks[sp.Rack()] {
			c := *o
			trial = append(trial, &c)
		}
		if len(planTasks(p, trial)) == p.waiting {
			return racks[sp.Rack()]
		}
	}
	return scored
}

// renewTickets requests the tickets that the plan lacks. Naming one more minion
// costs far less than another query, so if the plan leaves tasks unplaced, other
// eligible minions are named too: they may have room next.
func (v *view) renewTickets(p *step, plan []*scoredMinion) {
	if p.advice.inFlight > 0 {
		return
	}
	var ids []string
	for _, sp := range plan {
		if sp.eligibility == ticketExpired && !slices.Contains(ids, sp.ID) {
			ids = append(ids, sp.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	most := min(len(ids)+extraMinionsPerTask*(p.waiting-len(plan)), minQueryMinions)
	for _, m := range v.s.eligibleMinions(p) {
		if len(ids) >= most {
			break
		}
		if elig, _ := p.eligibility(v.send, m); elig == ticketExpired && m.usable(v.now) && !slices.Contains(ids, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	v.s.query(v.now, p, ids)
}

// holdForTickets holds room for planned tasks that wait for their tickets.
func (v *view) holdForTickets(p *step, plan []*scoredMinion) {
	for _, sp := range plan {
		p.ticketHolds = append(p.ticketHolds, sp.minion)
		sp.heldRoom = sp.heldRoom.Plus(p.Reserved())
	}
}

// maxOnEmpty is how many tasks of the step an empty minion can take.
func (p *step) maxOnEmpty(m *minion) int {
	n := countFitting(m.Capacity, p.Reserved(), p.waiting)
	if p.PerMinion > 0 {
		n = min(n, p.PerMinion)
	}
	return max(n, 1)
}

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

// start places tasks of the step according to the plan.
func (v *view) start(p *step, plan []*scoredMinion) {
	next := 0
	attempt := 0
	if p.Gang {
		attempt = p.gangAttempt()
		if p.waiting == p.unfinished {
			p.gangPlacedAt = v.now
		}
	}
	for _, sp := range plan {
		if sp.eligibility != eligible {
			v.holdForTickets(p, []*scoredMinion{sp})
			continue
		}
		for p.tasks[next].phase != Waiting {
			next++
		}
		t := p.tasks[next]
		if !p.Gang {
			attempt = t.attempt + 1
		}
		v.placeTask(p, t, attempt, sp)
	}
}

// placeTask places a task; its start is sent once the placement is durable.
func (v *view) placeTask(p *step, t *task, attempt int, sp *scoredMinion) {
	s := v.s
	m := sp.minion
	j := p.job
	t.phase, t.attempt, t.incarnation = Placed, attempt, m.Incarnation
	p.waiting--
	m.add(&run{key: runKey{t.id, attempt}, size: p.Reserved(), step: p, task: t, state: unsent, renewalMark: s.renewalSeq + 1, placedAt: v.now})
	s.markChanged(j)
	if j.state == Queued {
		j.state = Active
	}
	s.note(Note{What: "placed", Job: t.id.Job, Task: t.id.String(), Attempt: attempt, Minion: m.ID})
	saved := ""
	if p.Checkpoints {
		saved = p.checkpoint(t)
	}
	s.batch.Starts = append(s.batch.Starts, StartOrder{m.Minion, work.Start{
		Task: t.id, Attempt: attempt, Spec: j.Spec, Saved: saved, Ticket: sp.ticket.text,
	}, sp.ticket.expires})
}

// checkpoint is where a run resumes; all members of a gang use the same one.
func (p *step) checkpoint(t *task) string {
	if !p.Gang {
		return t.checkpoint
	}
	return p.tasks[0].checkpoint
}

// sendObstacle returns why a start should no longer be sent, or an empty string.
func (s *State) sendObstacle(now time.Time, m *minion, r *run, o *StartOrder) string {
	switch {
	case r.state == cancelled:
		return "stopped before it was sent"
	case m.clockAt.IsZero() || !m.silentSince.IsZero():
		return "its minion stopped answering before it was sent"
	case o.Start.Ticket != "" && now.After(o.ticketExpires):
		return "its ticket expired before it was sent"
	}
	return ""
}

// PrepareStart completes a start whose placement is durable. It returns false if
// the start should no longer be sent.
func (s *State) PrepareStart(now time.Time, o *StartOrder) bool {
	m := s.minions[o.Minion.ID]
	if m == nil || m.Incarnation != o.Minion.Incarnation {
		return false
	}
	r := m.runs[runKey{o.Start.Task, o.Start.Attempt}]
	if r == nil {
		return false
	}
	if why := s.sendObstacle(now, m, r, o); why != "" {
		s.remove(m, r)
		s.requeueLost(now, r, why)
		return false
	}
	r.state = sent
	o.Minion = m.Minion
	o.Start.Token = m.token
	o.Start.Until = m.lease(now, s.Limits)
	return true
}
