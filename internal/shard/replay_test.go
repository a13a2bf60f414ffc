package shard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"jasminestep/internal/work"
)

// A replay feeds arrivals shaped like those of a site to the deciding functions,
// in false time, and counts what the jobs earn. Minions, the store and the
// placement service are as fast as they usually are and never fail.

// draw is a distribution: lognormal about a mean, with a greatest value.
type draw struct{ mean, spread, most float64 }

func (d draw) from(r *rand.Rand) float64 {
	s := math.Sqrt(math.Log(1 + d.spread*d.spread))
	v := d.mean * math.Exp(s*r.NormFloat64()-s*s/2)
	if d.most > 0 {
		v = min(v, d.most)
	}
	return v
}

func (d draw) count(r *rand.Rand) int { return max(1, int(math.Round(d.from(r)))) }

// kind is a kind of job.
type kind struct {
	name    string
	perS    float64
	steps   draw
	tasks   draw
	cpu     draw // thousandths of a core
	mem     draw
	gpus    []int64
	ms      draw // work of a task
	off     float64
	gang    bool
	apart   float64 // share of steps with one task a minion
	copies  float64 // share of steps that are speculative
	fails   float64 // share of runs
	slack   float64
	target  time.Duration
	worth   float64
	advice  work.AdviceTiming
	allowed float64 // share of the minions that may run a step
}

// shape is a service's load and room.
type shape struct {
	name    string
	minions int
	room    work.Size
	zones   int
	askers  int
	kinds   []kind
	speeds  []float64 // of minions, in turn; none: all are alike
	burst   float64   // the first kind comes so many times as often, for burstFor
}

// Times of a replay.
const (
	replayFor  = 45 * time.Second
	replayEnd  = 75 * time.Second
	burstAt    = 10 * time.Second
	burstFor   = 4 * time.Second
	tick       = 20 * time.Millisecond
	writeTime  = 20 * time.Millisecond
	answerTime = 10 * time.Millisecond
	reportEach = 50 // ticks between two reports of a minion on which nothing ends
)

// liveRun is a run on a minion of a replay.
type liveRun struct {
	start work.Start
	began time.Time
	ends  time.Time
	how   work.Outcome
	gang  *gangRun
}

// gangRun is a gang of which members may be missing.
type gangRun struct {
	need, here int
	runs       []*liveRun
	work       time.Duration
	fails      bool // halfway: its first member fails, the others are broken
}

// patience is how long members of a gang wait for the others.
const patience = 4 * time.Second

type liveMinion struct {
	work.Minion
	runs []*liveRun
	n    int64
	wake bool
	ends []work.End

	speed float64
}

// arrival is what the replay knows of a job.
type arrival struct {
	kind     *kind
	at       time.Time
	job      *work.Job
	work     [][]time.Duration // of each task of each step
	fails    [][]bool          // whether the first run of a task fails
	failed   map[string]bool   // tasks whose first run has failed
	allowed  []map[string]bool // by step
	coreSecs float64
	over     time.Duration
}

type event struct {
	at time.Time
	f  func()
}

// play is a replay under way.
type play struct {
	r       *rand.Rand
	sh      shape
	now     time.Time
	st      *State
	ms      map[string]*liveMinion
	order   []string
	jobs    map[string]*arrival
	list    []*arrival
	events  []event
	gangs   map[string]*gangRun
	asking  int
	writing bool
	seen    map[work.Incarnation]int64
	tickets map[string]time.Time // ends of tickets, by step and minion
	used    float64              // core-seconds of done work
	each    func()               // called at the end of each tick, if there
	asked   func(Ask)            // called for each question, if there
	stopped int
}

func (p *play) later(d time.Duration, f func()) { p.events = append(p.events, event{p.now.Add(d), f}) }

func newPlay(sh shape, seed uint64) *play {
	p := &play{
		r: rand.New(rand.NewPCG(seed, 1)), sh: sh, now: epoch, ms: map[string]*liveMinion{}, jobs: map[string]*arrival{},
		gangs: map[string]*gangRun{}, seen: map[work.Incarnation]int64{}, tickets: map[string]time.Time{},
	}
	l := Defaults
	l.Lease = 8500 * time.Millisecond
	p.st = New("s", 1, p.now, l)
	for i := range sh.minions {
		m := work.Minion{
			Incarnation: work.Incarnation{ID: fmt.Sprintf("m%03d", i), Born: 1}, Service: "s", Address: "a", Capacity: sh.room,
			Zone: fmt.Sprintf("z%d", i%sh.zones), Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
		}
		p.ms[m.ID] = &liveMinion{Minion: m, wake: true, speed: 1}
		if len(sh.speeds) > 0 {
			p.ms[m.ID].speed = sh.speeds[i%len(sh.speeds)]
		}
		p.order = append(p.order, m.ID)
		p.st.See(p.now, m)
	}
	return p
}

func (p *play) arrive(k *kind) {
	n := len(p.list)
	s := &arrival{kind: k, at: p.now, failed: map[string]bool{}}
	j := &work.Job{
		ID: fmt.Sprintf("%016x", n), Queue: k.name, Service: "s", Attempts: 3, Slack: k.slack, Target: k.target,
	}
	if k.advice.Decide > 0 {
		a := k.advice
		j.Advice = &a
	}
	for i := range k.steps.count(p.r) {
		st := work.Step{Tasks: k.tasks.count(p.r), Size: work.Size{CPU: int64(k.cpu.from(p.r)), Mem: int64(k.mem.from(p.r))}, Gang: k.gang}
		if len(k.gpus) > 0 {
			st.Size.GPU = k.gpus[p.r.IntN(len(k.gpus))]
		}
		if i > 0 {
			st.After = []int{i - 1}
		}
		if !k.gang && p.r.Float64() < k.apart {
			st.PerMinion = 1
		}
		st.Speculative = p.r.Float64() < k.copies
		base := k.ms.from(p.r)
		st.Estimate = time.Duration(base * (1 + k.off*(2*p.r.Float64()-1)) * float64(time.Millisecond))
		var ws []time.Duration
		var fs []bool
		for range st.Tasks {
			w := base
			if !k.gang {
				w *= 1 + 0.15*p.r.NormFloat64()
			}
			ws = append(ws, time.Duration(max(50, w))*time.Millisecond)
			fs = append(fs, p.r.Float64() < k.fails)
			s.coreSecs += max(50, w) / 1000 * (float64(st.Size.CPU)/1000 + gpuCores*float64(st.Size.GPU))
		}
		s.work, s.fails = append(s.work, ws), append(s.fails, fs)
		ok := map[string]bool{}
		for _, id := range p.order {
			if p.r.Float64() < k.allowed || k.advice.Decide == 0 {
				ok[id] = true
			}
		}
		s.allowed = append(s.allowed, ok)
		j.Steps = append(j.Steps, st)
	}
	s.job = j
	p.jobs[j.ID], p.list = s, append(p.list, s)
	p.later(writeTime, func() { p.st.Submit(p.now, j) })
}

// start begins a run on a minion.
func (p *play) start(o Order) {
	m := p.ms[o.Minion.ID]
	s := p.jobs[o.Start.Task.Job]
	st := &s.job.Steps[o.Start.Task.Step]
	if s.job.Advice != nil && p.now.After(p.tickets[o.Start.Task.StepID()+"/"+m.ID]) {
		p.st.Started(p.now, o, work.BadTicket, nil)
		return
	}
	w := time.Duration(float64(s.work[o.Start.Task.Step][o.Start.Task.Index]) / m.speed)
	run := &liveRun{start: o.Start, began: p.now, how: work.Done, ends: p.now.Add(w)}
	name := o.Start.Task.String()
	if s.fails[o.Start.Task.Step][o.Start.Task.Index] && !s.failed[name] {
		s.failed[name] = true
		run.how, run.ends = work.Failed, p.now.Add(w/2)
	}
	m.runs = append(m.runs, run)
	if st.Gang {
		key := fmt.Sprint(o.Start.Task.StepID(), "/", o.Start.Attempt)
		g := p.gangs[key]
		if g == nil {
			g = &gangRun{need: st.Tasks, work: w, fails: s.fails[o.Start.Task.Step][0] && o.Start.Attempt == 1}
			p.gangs[key] = g
		}
		g.here++
		g.runs = append(g.runs, run)
		run.gang, run.how, run.ends = g, work.GangIncomplete, p.now.Add(patience)
		if g.here == g.need {
			g.begin(p.now)
		}
	}
	p.st.Started(p.now, o, work.Accepted, nil)
	m.wake = true
}

// begin begins the work of a gang that is complete.
func (g *gangRun) begin(now time.Time) {
	for i, x := range g.runs {
		x.how, x.ends = work.Done, now.Add(g.work)
		if g.fails {
			x.how, x.ends = work.GangBroken, now.Add(g.work/2)
			if i == 0 {
				x.how = work.Failed
			}
		}
	}
}

// finish ends what is over, and has the minion report.
func (p *play) finish(m *liveMinion) {
	kept := m.runs[:0]
	for _, x := range m.runs {
		if x.ends.After(p.now) {
			kept = append(kept, x)
			continue
		}
		m.n++
		m.ends = append(m.ends, work.End{N: m.n, Task: x.start.Task, Attempt: x.start.Attempt, How: x.how})
		m.wake = true
	}
	m.runs = kept
}

func (p *play) stop(o StopOrder) {
	m := p.ms[o.Minion.ID]
	for _, x := range m.runs {
		if x.start.Task == o.Task && x.start.Attempt == o.Attempt {
			x.how, x.ends = work.Stopped, p.now
			p.stopped++
			p.breakGang(x)
		}
	}
}

// breakGang ends the other members of a gang of which one was stopped.
func (p *play) breakGang(x *liveRun) {
	if x.gang == nil {
		return
	}
	for _, o := range x.gang.runs {
		if o != x && o.ends.After(p.now) {
			o.how, o.ends = work.GangBroken, p.now
		}
	}
}

// report carries a minion's lists to the owner.
func (p *play) report(m *liveMinion) {
	n, ok := p.st.Renew(p.now, m.Incarnation)
	if !ok {
		return
	}
	rep := work.Report{Born: m.Born, Clock: p.now.Sub(epoch).Milliseconds()}
	for _, e := range m.ends {
		if e.N > p.seen[m.Incarnation] {
			rep.Ended = append(rep.Ended, e)
		}
	}
	for _, x := range m.runs {
		total := x.ends.Sub(x.began)
		rep.Running = append(rep.Running, work.Run{Task: x.start.Task, Attempt: x.start.Attempt, Percent: int(100 * p.now.Sub(x.began) / max(total, 1))})
	}
	p.st.Reported(p.now, n, rep)
}

func (p *play) decide() {
	p.st.Decide(p.now, p.now, Askers{All: p.sh.askers - p.asking, Long: p.sh.askers - p.asking - 1, From: 100 * time.Millisecond})
	o := p.st.Orders()
	for _, x := range o.Stops {
		p.later(answerTime, func() { p.stop(x) })
	}
	for _, a := range o.Asks {
		if p.asked != nil {
			p.asked(a)
		}
		p.asking++
		s := p.jobs[a.Step.Job]
		p.later(a.Cost+answerTime, func() {
			p.asking--
			got := map[string]string{}
			for _, id := range a.IDs {
				if s.allowed[a.Step.Step][id] {
					got[id] = "t"
					p.tickets[a.Step.StepID()+"/"+id] = p.now.Add(s.kind.advice.Valid)
				}
			}
			p.st.Advised(p.now, p.now, a, got, s.kind.advice.Valid, nil)
		})
	}
	for _, n := range p.st.Notes {
		if n.What == "over" {
			if s := p.jobs[n.Job]; s != nil && n.Why == string(Completed) {
				s.over = p.now.Sub(s.at) + writeTime
			}
		}
	}
	p.st.Notes = p.st.Notes[:0]
	if p.writing {
		return
	}
	b, err := p.st.Take()
	if err != nil {
		panic(err)
	}
	if !b.NeedsWrite() {
		return
	}
	p.writing = true
	began := p.now
	p.later(writeTime, func() {
		p.writing = false
		p.st.Durable(p.now, began)
		for _, x := range b.Starts {
			if p.st.Send(p.now, &x) {
				p.later(answerTime, func() { p.start(x) })
			}
		}
		for l, n := range b.Seen {
			p.seen[l] = max(p.seen[l], n)
			m := p.ms[l.ID]
			kept := m.ends[:0]
			for _, e := range m.ends {
				if e.N > n {
					kept = append(kept, e)
				}
			}
			m.ends = kept
		}
	})
}

// run plays the whole load.
func (p *play) run() {
	for p.now.Sub(epoch) < replayEnd {
		p.now = p.now.Add(tick)
		due := p.events
		p.events = nil
		for _, e := range due {
			if e.at.After(p.now) {
				p.events = append(p.events, e)
				continue
			}
			e.f()
		}
		at := p.now.Sub(epoch)
		if at < replayFor {
			for i := range p.sh.kinds {
				k := &p.sh.kinds[i]
				rate := k.perS
				if i == 0 && p.sh.burst > 0 && at >= burstAt && at < burstAt+burstFor {
					rate *= p.sh.burst
				}
				for range poisson(p.r, rate*tick.Seconds()) {
					p.arrive(k)
				}
			}
		}
		for i, id := range p.order {
			m := p.ms[id]
			p.finish(m)
			if m.wake || (int(p.now.Sub(epoch)/tick)+i)%reportEach == 0 {
				m.wake = false
				p.report(m)
			}
		}
		p.decide()
		if p.each != nil {
			p.each()
		}
	}
}

func poisson(r *rand.Rand, mean float64) int {
	l, n := math.Exp(-mean), 0
	for x := r.Float64(); x > l; x *= r.Float64() {
		n++
	}
	return n
}

// earned is what one kind earned.
type earned struct {
	name                  string
	jobs, inTime, late    int
	worth, owed           float64
	large, largeOwed      float64
	p50, p95              time.Duration
	smallWorth, smallOwed float64
}

func (e earned) share() float64 { return e.worth / e.owed }

// earned counts by kind; what a job is worth grows with its work.
func (p *play) earned() []earned {
	var out []earned
	for i := range p.sh.kinds {
		k := &p.sh.kinds[i]
		e := earned{name: k.name}
		var mean float64
		var all []*arrival
		for _, s := range p.list {
			if s.kind == k {
				all = append(all, s)
				mean += s.coreSecs
			}
		}
		if len(all) == 0 {
			continue
		}
		mean /= float64(len(all))
		var times []time.Duration
		for _, s := range all {
			obj := s.objective()
			w := min(k.worth*(0.3+0.7*s.coreSecs/mean), 4*k.worth)
			e.jobs++
			e.owed += w
			t := s.over
			if t == 0 {
				t = replayEnd
			}
			times = append(times, t)
			switch {
			case s.over > 0 && t <= obj:
				e.inTime++
				e.worth += w
			case s.over > 0 && t <= lateLimit*obj:
				e.late++
				e.worth += w / 5
			}
		}
		sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
		e.p50, e.p95 = times[len(times)/2], times[len(times)*95/100]
		out = append(out, e)
	}
	return out
}

// objective is that of the work as it really is.
func (s *arrival) objective() time.Duration {
	var chain time.Duration
	for i, ws := range s.work {
		var longest time.Duration
		for x, w := range ws {
			if s.fails[i][x] && !s.job.Steps[i].Gang {
				w += w / 2
			}
			longest = max(longest, w)
		}
		chain += longest + s.kind.advice.Decide + 30*s.kind.advice.Each
	}
	return time.Duration(s.kind.slack*float64(chain)) + s.kind.target
}
