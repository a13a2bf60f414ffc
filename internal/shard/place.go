package shard

import (
	"slices"
	"strings"
	"time"

	"jasminestep/internal/work"
)

// checkGap is the usual time between two looks at all minions for leases that
// have ended, minions that leave and runs that need a copy.
const checkGap = 20 * time.Millisecond

// Decide places what waits, and gives up what has lapsed. wall is the time of day.
func (s *State) Decide(now, wall time.Time, free Askers) {
	s.askers = free
	if now.Sub(s.checked) >= checkGap || now.Before(s.checked) {
		s.checked = now
		s.expire(now)
		s.evacuate(now)
		s.copies()
	}
	s.sweep(now)
	s.beginRounds(wall)
	v := &view{s: s, now: now, send: now.Add(s.writing), ms: s.sorted()}
	v.unbook()
	for _, c := range s.due(now, wall) {
		if c.due || s.askers.could(c.wants) {
			v.place(c)
		}
	}
	v.askAhead()
}

// view is what one decision sees of the minions.
type view struct {
	s       *State
	send    time.Time // when a start that is decided now is expected to be sent
	now     time.Time
	ms      []*minion
	booked  float64              // room that is kept for steps that wait, as weighed
	room    float64              // all room, as weighed
	largest work.Size            // greatest room of a minion, by dimension
	ends    map[*minion][]ending // made when first needed
	zones   []*room              // made when first needed
}

// suits says whether a task of the step could run on m if m were empty.
func (p *step) suits(m *minion) bool {
	return m.Capacity.CanFit(p.Size) && (p.Label == "" || slices.Contains(m.Labels, p.Label))
}

// apart says whether tasks of the step and those on m may run side by side:
// tasks that fill what others leave disturb those with a bound on their times.
func (p *step) apart(m *minion) bool {
	if p.Fill {
		return m.serves > 0
	}
	return p.Target > 0 && m.fills > 0
}

// spot is a minion for some tasks of a step.
type spot struct {
	*minion
	pass   pass
	ticket ticket
	left   work.Size // room after what this decision has placed
	here   int       // tasks of the step there
	others bool      // the room is kept for other steps
	order  [5]float64
}

// possible lists the minions that may run tasks of the step, by id.
func (s *State) possible(p *step) []*minion {
	if p.job.Advice == nil {
		return s.sorted()
	}
	a := &p.advice
	if a.changed || a.epoch != s.epoch {
		a.list = a.list[:0]
		for id := range a.good {
			if m := s.minions[id]; m != nil {
				a.list = append(a.list, m)
				m.soughtBy(p)
			}
		}
		slices.SortFunc(a.list, func(x, y *minion) int { return strings.Compare(x.ID, y.ID) })
		a.changed, a.epoch = false, s.epoch
	}
	return a.list
}

// count is how many runs of the step there may be on m, if the step has a limit.
func (p *step) count(m *minion) int {
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

func (v *view) spots(p *step) []*spot {
	need := p.Reserved()
	ms := v.s.possible(p)
	all := make([]spot, 0, len(ms))
	for _, m := range ms {
		if !m.usable(v.now) || !p.suits(m) || p.apart(m) || m.probed() {
			continue
		}
		pass, text := p.pass(v.send, m)
		if pass == barred {
			continue
		}
		sp := spot{minion: m, pass: pass, ticket: text, left: m.free().Minus(m.kept(p)).Minus(m.shade), here: p.count(m)}
		if !sp.left.CanFit(need) && p.pressed {
			sp.left = m.free().Minus(m.shade)
			sp.others = true
		}
		if sp.left.CanFit(need) {
			all = append(all, sp)
		}
	}
	out := make([]*spot, len(all))
	for i := range all {
		out[i] = &all[i]
	}
	v.settle(p, out)
	for _, sp := range out {
		sp.rank(p)
	}
	slices.SortStableFunc(out, func(a, b *spot) int { return slices.Compare(a.order[:], b.order[:]) })
	return out
}

// rank sets the order in which spots are used: the data's rack first; then the
// zone of the other tasks; then the fullest minion, so that large tasks find
// room. Tasks that fill go where most is left, urgent ones to the fastest.
func (sp *spot) rank(p *step) {
	if sp.others || p.booked && !sp.bookedBy(p) {
		sp.order[0] = 2
	}
	if p.Rack != "" && !slices.Contains(sp.Labels, p.Rack) {
		sp.order[0]++
	}
	sp.order[1] = sp.pace() + p.distrust(sp.minion)
	if p.pressed {
		sp.order[1] += sp.speed()
	}
	if p.home != "" && sp.Zone != p.home {
		sp.order[2] = 1
	}
	if p.Fill {
		sp.order[3] = -float64(sp.left.CPU) / float64(1+sp.fills)
		return
	}
	if sp.Capacity.GPU > 0 {
		sp.order[3] = float64(sp.left.GPU - p.Size.GPU)
	}
	sp.order[4] = float64(sp.left.CPU - p.Size.CPU)
}

// take says whether one more task fits, and takes its room.
func (sp *spot) take(p *step) bool {
	if sp.suspect() && sp.here > 0 || !sp.left.CanFit(p.Reserved()) || p.PerMinion > 0 && sp.here >= p.PerMinion {
		return false
	}
	sp.left = sp.left.Minus(p.Reserved())
	sp.here++
	return true
}

// place places what it can of one step, or asks for the advice that it lacks.
func (v *view) place(c candidate) {
	p := c.step
	p.looked(v.now)
	v.s.unshade(p)
	p.late = c.tier >= late
	p.pressed = c.tier == timely && c.slack < pressedFor && !v.books(p) || p.short
	spots := v.spots(p)
	if p.short {
		v.complete(p, spots)
		return
	}
	if p.Gang && p.OneRack {
		spots = oneRack(p, spots)
	}
	plan := fill(p, spots)
	if p.Gang && (len(plan) < p.waiting || slices.ContainsFunc(plan, stalePass) || v.s.Held) {
		if v.hold(p, plan); !p.booked {
			v.askMore(c)
		}
		return
	}
	if len(plan) < p.waiting {
		v.askMore(c)
	}
	v.renew(p, plan)
	if v.s.Held {
		v.keep(p, plan)
		return
	}
	v.start(p, plan)
	if p.waiting > 0 && v.books(p) {
		v.hold(p, nil)
	}
}

func stalePass(sp *spot) bool { return sp.pass != allowed }

// hold keeps room for what waits of a step, that of a complete plan if there is
// one, and asks for the tickets in time for when the room is expected to be free.
// While a question is under way the room stays the one that it is about; without
// one none is kept, since it would stand idle for as long as the step cannot ask.
func (v *view) hold(p *step, plan []*spot) {
	if p.booked && p.advice.asking {
		return
	}
	ready, ok := time.Duration(0), true
	if len(plan) > 0 && len(plan) == p.waiting {
		if len(v.standing(p, planned(plan))) < len(plan) {
			v.release(p)
			for _, sp := range plan {
				v.take(p, sp.minion)
			}
		}
	} else {
		ready, ok = v.book(p)
	}
	if ok && !v.renewBooked(p, ready) {
		v.release(p)
	}
}

// planned is the plan as slots that are free at present.
func planned(plan []*spot) []slot {
	out := make([]slot, len(plan))
	for i, sp := range plan {
		out[i] = slot{sp.minion, 0}
	}
	return out
}

// renewBooked asks anew for the tickets of the minions that the step has booked,
// and of a few to spare, unless they are valid for long enough: when an answer
// that is asked for now comes, or when the room is free. It returns whether there
// is a use in keeping the room.
func (v *view) renewBooked(p *step, ready time.Duration) bool {
	a := p.job.Advice
	if a == nil || p.advice.asking {
		return true
	}
	ids := p.bookedIDs()
	cost := a.Decide + a.Each*time.Duration(len(ids)+renewSpare)
	if ready > cost {
		p.rest = v.now.Add(min(ready-cost, lookAgain))
		return true
	}
	if !slices.ContainsFunc(ids, func(id string) bool {
		pass, t := p.pass(v.send, v.s.minions[id])
		return pass != allowed || t.until.Before(v.send.Add(max(cost, ready)))
	}) {
		return true
	}
	spare := renewSpare
	for _, sl := range v.slots(p) {
		if spare > 0 && !slices.Contains(ids, sl.ID) {
			ids = append(ids, sl.ID)
			spare--
		}
	}
	return v.s.ask(v.now, p, ids)
}

// askMore asks about further minions for a step that the known ones do not
// take. Once some are known to be allowed, only minions with room are of use.
func (v *view) askMore(c candidate) {
	p := c.step
	if p.job.Advice == nil || p.advice.asking || v.s.askers.All == 0 || v.now.Before(p.advice.wait) {
		return
	}
	ids := v.unasked(p, len(p.advice.good) > 0)
	if len(p.advice.good) >= enoughKnown*p.waiting && len(ids) < worthAsking {
		return
	}
	v.s.ask(v.now, p, ids)
}

// A step that has this many minions to choose from, for each task that waits, is
// asked about again only if that may bring a few more.
const (
	enoughKnown = 3
	worthAsking = 8
)

// fill returns a spot for each task that finds one.
func fill(p *step, spots []*spot) []*spot {
	var plan []*spot
	for _, sp := range spots {
		for len(plan) < p.waiting && sp.take(p) {
			plan = append(plan, sp)
		}
	}
	return plan
}

// oneRack keeps the spots of one rack if the whole gang fits there.
func oneRack(p *step, spots []*spot) []*spot {
	racks := map[string][]*spot{}
	for _, sp := range spots {
		c := *sp
		racks[sp.Rack()] = append(racks[sp.Rack()], &c)
	}
	for _, sp := range spots {
		trial := make([]*spot, 0, len(racks[sp.Rack()]))
		for _, o := range racks[sp.Rack()] {
			c := *o
			trial = append(trial, &c)
		}
		if len(fill(p, trial)) == p.waiting {
			return racks[sp.Rack()]
		}
	}
	return spots
}

// renew asks anew for the tickets that the plan lacks. Naming one more minion
// costs far less than one more question, so if the plan leaves tasks over, other
// minions that the step may use are named too: room there may be free next.
func (v *view) renew(p *step, plan []*spot) {
	var ids []string
	for _, sp := range plan {
		if sp.pass == stale && !slices.Contains(ids, sp.ID) {
			ids = append(ids, sp.ID)
		}
	}
	if len(ids) == 0 {
		return
	}
	most := min(len(ids)+renewOthers*(p.waiting-len(plan)), leastNamed)
	for _, m := range v.s.possible(p) {
		if len(ids) >= most {
			break
		}
		if pass, _ := p.pass(v.send, m); pass == stale && m.usable(v.now) && !slices.Contains(ids, m.ID) {
			ids = append(ids, m.ID)
		}
	}
	v.s.ask(v.now, p, ids)
}

// keep holds room for a plan that waits for its tickets.
func (v *view) keep(p *step, plan []*spot) {
	for _, sp := range plan {
		p.shades = append(p.shades, sp.minion)
		sp.shade = sp.shade.Plus(p.Reserved())
	}
}

// most is how many tasks of the step an empty minion takes.
func (p *step) most(m *minion) int {
	n := fitting(m.Capacity, p.Reserved(), p.waiting)
	if p.PerMinion > 0 {
		n = min(n, p.PerMinion)
	}
	return max(n, 1)
}

// gangAttempt is the attempt with which members of a gang are to be started: a
// new one, unless some of them wait for the others.
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
func (v *view) start(p *step, plan []*spot) {
	next := 0
	attempt := 0
	if p.Gang {
		attempt = p.gangAttempt()
		if p.waiting == p.left {
			p.startAt = v.now
		}
	}
	for _, sp := range plan {
		if sp.pass != allowed {
			v.keep(p, []*spot{sp})
			continue
		}
		for p.tasks[next].phase != Waiting {
			next++
		}
		t := p.tasks[next]
		if !p.Gang {
			attempt = t.attempt + 1
		}
		v.begin(p, t, attempt, sp)
	}
}

// begin places a task and has its start sent once that is durable.
func (v *view) begin(p *step, t *task, attempt int, sp *spot) {
	s := v.s
	m := sp.minion
	j := p.job
	t.phase, t.attempt, t.life = Placed, attempt, m.Incarnation
	p.waiting--
	m.add(&run{key: runKey{t.id, attempt}, size: p.Reserved(), step: p, task: t, state: unsent, mark: s.seq + 1, placed: v.now})
	s.touch(j)
	if j.state == Queued {
		j.state = Active
	}
	s.note(Note{What: "placed", Job: t.id.Job, Task: t.id.String(), Attempt: attempt, Minion: m.ID})
	saved := ""
	if p.Checkpoints {
		saved = p.checkpoint(t)
	}
	s.batch.Starts = append(s.batch.Starts, Order{m.Minion, work.Start{
		Task: t.id, Attempt: attempt, Spec: j.Spec, Saved: saved, Ticket: sp.ticket.text,
	}, sp.ticket.until})
}

// checkpoint is where a run resumes; all members of a gang carry the same.
func (p *step) checkpoint(t *task) string {
	if !p.Gang {
		return t.saved
	}
	return p.tasks[0].saved
}

// pointless says why a start is not worth sending any more, if so.
func (s *State) pointless(now time.Time, m *minion, r *run, o *Order) string {
	switch {
	case r.state == cancelled:
		return "given up before it was sent"
	case m.at.IsZero() || !m.silent.IsZero():
		return "its minion fell silent before it was sent"
	case o.Start.Ticket != "" && now.After(o.valid):
		return "its ticket ended before it was sent"
	}
	return ""
}

// Send completes a start that is durable now. ok is false if it is not to be
// sent any more.
func (s *State) Send(now time.Time, o *Order) bool {
	m := s.minions[o.Minion.ID]
	if m == nil || m.Incarnation != o.Minion.Incarnation {
		return false
	}
	r := m.runs[runKey{o.Start.Task, o.Start.Attempt}]
	if r == nil {
		return false
	}
	if why := s.pointless(now, m, r, o); why != "" {
		s.remove(m, r)
		s.lost(now, r, why)
		return false
	}
	r.state = sent
	o.Minion = m.Minion
	o.Start.Token = m.token
	o.Start.Until = m.lease(now, s.Limits)
	return true
}
