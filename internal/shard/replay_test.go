package shard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"jasminestep/internal/work"
)

// A replay feeds arrivals like those of a real site to the scheduler in
// simulated time, and adds up the value that the jobs earn. Minions, the store
// and the placement service respond with their usual latency and never fail.

// distribution is a lognormal distribution with a given mean and an upper limit.
type distribution struct{ mean, spread, limit float64 }

func (d distribution) from(r *rand.Rand) float64 {
	s := math.Sqrt(math.Log(1 + d.spread*d.spread))
	v := d.mean * math.Exp(s*r.NormFloat64()-s*s/2)
	if d.limit > 0 {
		v = min(v, d.limit)
	}
	return v
}

func (d distribution) count(r *rand.Rand) int { return max(1, int(math.Round(d.from(r)))) }

// jobKind describes one kind of job in a workload.
type jobKind struct {
	name              string
	perSecond         float64
	steps             distribution
	tasks             distribution
	cpu               distribution // thousandths of a core
	mem               distribution
	gpus              []int64
	runMs             distribution // run time of a task
	estimateError     float64
	gang              bool
	onePerMinionShare float64 // share of steps with at most one task per minion
	speculativeShare  float64 // share of steps that are speculative
	failureShare      float64 // share of runs that fail
	slack             float64
	target            time.Duration
	worth             float64
	advice            work.AdviceTiming
	eligibleShare     float64 // share of the minions that may run a step
}

// workload is a service's load and capacity.
type workload struct {
	name       string
	minions    int
	room       work.Size
	zones      int
	queryLimit int
	kinds      []jobKind
	speeds     []float64 // relative speeds of the minions, in turn; empty: all are equal
	burst      float64   // rate factor of the first job kind during burstFor
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
	reportEach = 50 // ticks between two reports of a minion without ended runs
)

// replayRun is a run on a minion of a replay.
type replayRun struct {
	start work.Start
	began time.Time
	ends  time.Time
	how   work.Outcome
	gang  *replayGang
}

// replayGang is a gang that may lack members.
type replayGang struct {
	need, here int
	runs       []*replayRun
	work       time.Duration
	fails      bool // halfway through, its first member fails and the others are broken off
}

// gangTimeout is how long members of a gang wait for the others.
const gangTimeout = 4 * time.Second

type replayMinion struct {
	work.Minion
	runs      []*replayRun
	lastEnd   int64
	reportDue bool
	ends      []work.End

	speed float64
}

// arrival is a submitted job and the behaviour of its tasks.
type arrival struct {
	kind       *jobKind
	at         time.Time
	job        *work.Job
	work       [][]time.Duration // run time of each task of each step
	firstFails [][]bool          // whether the first run of a task fails
	failed     map[string]bool   // tasks whose first run has failed
	eligible   []map[string]bool // by step
	coreSecs   float64
	duration   time.Duration
}

type event struct {
	at time.Time
	f  func()
}

// replay is the state of a replay.
type replay struct {
	rng             *rand.Rand
	load            workload
	now             time.Time
	st              *State
	minions         map[string]*replayMinion
	order           []string
	jobs            map[string]*arrival
	arrivals        []*arrival
	events          []event
	gangs           map[string]*replayGang
	queriesInFlight int
	writing         bool
	seen            map[work.Incarnation]int64
	tickets         map[string]time.Time // expiry of tickets, by step and minion
	used            float64              // core-seconds of finished work
	onTick          func()               // called at the end of each tick, if set
	onQuery         func(AdviceQuery)    // called for each query, if set
	stopped         int
	startDelay      func() time.Duration // until a start is answered, if set; answerTime otherwise
	firstStarts     int                  // starts of a task that had not started before, during the fault
}

func (p *replay) schedule(d time.Duration, f func()) {
	p.events = append(p.events, event{p.now.Add(d), f})
}

func newReplay(sh workload, seed uint64) *replay {
	p := &replay{
		rng: rand.New(rand.NewPCG(seed, 1)), load: sh, now: epoch, minions: map[string]*replayMinion{}, jobs: map[string]*arrival{},
		gangs: map[string]*replayGang{}, seen: map[work.Incarnation]int64{}, tickets: map[string]time.Time{},
	}
	l := DefaultLimits
	l.Lease = 8500 * time.Millisecond
	p.st = New("s", 1, p.now, l)
	for i := range sh.minions {
		m := work.Minion{
			Incarnation: work.Incarnation{ID: fmt.Sprintf("m%03d", i), Born: 1}, Service: "s", Address: "a", Capacity: sh.room,
			Zone: fmt.Sprintf("z%d", i%sh.zones), Labels: []string{"a", fmt.Sprintf("r%d", i/8)},
		}
		p.minions[m.ID] = &replayMinion{Minion: m, reportDue: true, speed: 1}
		if len(sh.speeds) > 0 {
			p.minions[m.ID].speed = sh.speeds[i%len(sh.speeds)]
		}
		p.order = append(p.order, m.ID)
	}
	p.writeRows()
	return p
}

// writeRows shows the rows of all minions, as they have just been written.
func (p *replay) writeRows() {
	for _, id := range p.order {
		p.st.UpdateMinion(p.now, p.minions[id].Minion, p.now)
	}
}

func (p *replay) arrive(k *jobKind) {
	n := len(p.arrivals)
	s := &arrival{kind: k, at: p.now, failed: map[string]bool{}}
	j := &work.Job{
		ID: fmt.Sprintf("%016x", n), Queue: k.name, Service: "s", Attempts: 3, Slack: k.slack, Target: k.target,
	}
	if k.advice.Decide > 0 {
		a := k.advice
		j.Advice = &a
	}
	for i := range k.steps.count(p.rng) {
		st := work.Step{Tasks: k.tasks.count(p.rng), Size: work.Size{CPU: int64(k.cpu.from(p.rng)), Mem: int64(k.mem.from(p.rng))}, Gang: k.gang}
		if len(k.gpus) > 0 {
			st.Size.GPU = k.gpus[p.rng.IntN(len(k.gpus))]
		}
		if i > 0 {
			st.After = []int{i - 1}
		}
		if !k.gang && p.rng.Float64() < k.onePerMinionShare {
			st.PerMinion = 1
		}
		st.Speculative = p.rng.Float64() < k.speculativeShare
		base := k.runMs.from(p.rng)
		st.Estimate = time.Duration(base * (1 + k.estimateError*(2*p.rng.Float64()-1)) * float64(time.Millisecond))
		var ws []time.Duration
		var fs []bool
		for range st.Tasks {
			w := base
			if !k.gang {
				w *= 1 + 0.15*p.rng.NormFloat64()
			}
			ws = append(ws, time.Duration(max(50, w))*time.Millisecond)
			fs = append(fs, p.rng.Float64() < k.failureShare)
			s.coreSecs += max(50, w) / 1000 * (float64(st.Size.CPU)/1000 + coresPerGPU*float64(st.Size.GPU))
		}
		s.work, s.firstFails = append(s.work, ws), append(s.firstFails, fs)
		ok := map[string]bool{}
		for _, id := range p.order {
			if p.rng.Float64() < k.eligibleShare || k.advice.Decide == 0 {
				ok[id] = true
			}
		}
		s.eligible = append(s.eligible, ok)
		j.Steps = append(j.Steps, st)
	}
	s.job = j
	p.jobs[j.ID], p.arrivals = s, append(p.arrivals, s)
	p.schedule(writeTime, func() { p.st.Submit(p.now, j) })
}

// send sends a start, and tells the owner if it is answered late.
func (p *replay) send(o StartOrder) {
	d := answerTime
	if p.startDelay != nil {
		d = p.startDelay()
	}
	if o.Start.Attempt == 1 && p.fault() {
		p.firstStarts++
	}
	if d > slowAfter {
		p.schedule(slowAfter, func() { p.st.HandleSlowReply(p.now, o.Minion.Incarnation) })
	}
	p.schedule(d, func() { p.start(o) })
}

// start begins a run on a minion.
func (p *replay) start(o StartOrder) {
	m := p.minions[o.Minion.ID]
	s := p.jobs[o.Start.Task.Job]
	st := &s.job.Steps[o.Start.Task.Step]
	if s.job.Advice != nil && p.now.After(p.tickets[o.Start.Task.StepID()+"/"+m.ID]) {
		p.st.HandleStartReply(p.now, o, work.BadTicket, nil)
		return
	}
	w := time.Duration(float64(s.work[o.Start.Task.Step][o.Start.Task.Index]) / m.speed)
	run := &replayRun{start: o.Start, began: p.now, how: work.Done, ends: p.now.Add(w)}
	name := o.Start.Task.String()
	if s.firstFails[o.Start.Task.Step][o.Start.Task.Index] && !s.failed[name] {
		s.failed[name] = true
		run.how, run.ends = work.Failed, p.now.Add(w/2)
	}
	m.runs = append(m.runs, run)
	if st.Gang {
		key := fmt.Sprint(o.Start.Task.StepID(), "/", o.Start.Attempt)
		g := p.gangs[key]
		if g == nil {
			g = &replayGang{need: st.Tasks, work: w, fails: s.firstFails[o.Start.Task.Step][0] && o.Start.Attempt == 1}
			p.gangs[key] = g
		}
		g.here++
		g.runs = append(g.runs, run)
		run.gang, run.how, run.ends = g, work.GangIncomplete, p.now.Add(gangTimeout)
		if g.here == g.need {
			g.begin(p.now)
		}
	}
	p.st.HandleStartReply(p.now, o, work.Accepted, nil)
	m.reportDue = true
}

// begin starts the work of a complete gang.
func (g *replayGang) begin(now time.Time) {
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

// finish ends the runs whose time has come and schedules a report.
func (p *replay) finish(m *replayMinion) {
	kept := m.runs[:0]
	for _, x := range m.runs {
		if x.ends.After(p.now) {
			kept = append(kept, x)
			continue
		}
		m.lastEnd++
		m.ends = append(m.ends, work.End{N: m.lastEnd, Task: x.start.Task, Attempt: x.start.Attempt, How: x.how})
		m.reportDue = true
	}
	m.runs = kept
}

func (p *replay) stop(o StopOrder) {
	m := p.minions[o.Minion.ID]
	for _, x := range m.runs {
		if x.start.Task == o.Task && x.start.Attempt == o.Attempt {
			x.how, x.ends = work.Stopped, p.now
			p.stopped++
			p.breakGang(x)
		}
	}
}

// breakGang ends the other members of a gang when one was stopped.
func (p *replay) breakGang(x *replayRun) {
	if x.gang == nil {
		return
	}
	for _, o := range x.gang.runs {
		if o != x && o.ends.After(p.now) {
			o.how, o.ends = work.GangBroken, p.now
		}
	}
}

// report passes a minion's report to the owner.
func (p *replay) report(m *replayMinion) {
	n, ok := p.st.NextRenewal(p.now, m.Incarnation)
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
	p.st.HandleReport(p.now, n, rep)
}

func (p *replay) decide() {
	p.st.Decide(p.now, p.now, QueryCapacity{Total: p.load.queryLimit - p.queriesInFlight, Slow: p.load.queryLimit - p.queriesInFlight - 1, SlowFrom: 100 * time.Millisecond})
	o := p.st.TakeActions()
	for _, x := range o.Stops {
		p.schedule(answerTime, func() { p.stop(x) })
	}
	for _, a := range o.Queries {
		if p.onQuery != nil {
			p.onQuery(a)
		}
		p.queriesInFlight++
		s := p.jobs[a.Step.Job]
		p.schedule(a.Cost+answerTime, func() {
			p.queriesInFlight--
			got := map[string]string{}
			for _, id := range a.IDs {
				if s.eligible[a.Step.Step][id] {
					got[id] = "t"
					p.tickets[a.Step.StepID()+"/"+id] = p.now.Add(s.kind.advice.Valid)
				}
			}
			p.st.HandleAdvice(p.now, p.now, a, got, s.kind.advice.Valid, nil)
		})
	}
	for _, n := range p.st.Notes {
		if n.What == JobEnded {
			if s := p.jobs[n.Job]; s != nil && n.Why == string(Completed) {
				s.duration = p.now.Sub(s.at) + writeTime
			}
		}
	}
	p.st.Notes = p.st.Notes[:0]
	if p.writing {
		return
	}
	b, err := p.st.TakeBatch()
	if err != nil {
		panic(err)
	}
	if !b.NeedsWrite() {
		return
	}
	p.writing = true
	began := p.now
	p.schedule(writeTime, func() {
		p.writing = false
		p.st.HandleWritten(p.now, began)
		for _, x := range b.Starts {
			if p.st.PrepareStart(p.now, &x) {
				p.send(x)
			}
		}
		for l, n := range b.AckedEnds {
			p.seen[l] = max(p.seen[l], n)
			m := p.minions[l.ID]
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

// run replays the whole load.
func (p *replay) run() {
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
		if at%rowInterval == 0 {
			p.writeRows()
		}
		if at < replayFor {
			for i := range p.load.kinds {
				k := &p.load.kinds[i]
				rate := k.perSecond
				if i == 0 && p.load.burst > 0 && at >= burstAt && at < burstAt+burstFor {
					rate *= p.load.burst
				}
				for range poisson(p.rng, rate*tick.Seconds()) {
					p.arrive(k)
				}
			}
		}
		for i, id := range p.order {
			m := p.minions[id]
			p.finish(m)
			if m.reportDue || (int(p.now.Sub(epoch)/tick)+i)%reportEach == 0 {
				m.reportDue = false
				p.report(m)
			}
		}
		p.decide()
		if p.onTick != nil {
			p.onTick()
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
