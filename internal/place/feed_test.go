package place

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jasminestep/pkg/operator"
)

// A feed gives arrivals, ends and failures straight to Decide, with the time as
// an argument. It measures decisions and nothing else: there are no sockets, no
// processes and no delays but those that the decisions make.

// fleet is the workers of a feed and the members that share them.
type fleet struct {
	name    string
	kinds   []fleetKind
	members int
	gangs   float64 // share of jobs
	mean    float64 // run time of a task, seconds
}

type fleetKind struct {
	n, perRack int
	size       operator.Size
}

// One zone of each site, and the whole of the two-year target.
var fleets = []fleet{
	{"oshana", []fleetKind{{9, 4, operator.Size{CPU: 16000, Memory: 64 << 10}}, {3, 3, operator.Size{CPU: 128000, Memory: 256 << 10, Accel: 8}}}, 4, 0.05, 20},
	{"compas", []fleetKind{{12, 5, operator.Size{CPU: 64000, Memory: 128 << 10}}, {4, 3, operator.Size{CPU: 64000, Memory: 256 << 10, Accel: 8}}}, 3, 0.05, 20},
	{"target", []fleetKind{{565, 5, operator.Size{CPU: 64000, Memory: 128 << 10}}, {175, 3, operator.Size{CPU: 128000, Memory: 256 << 10, Accel: 8}}}, 190, 0.03, 60},
}

func (f fleet) cluster() *Cluster {
	c := &Cluster{}
	for k, kind := range f.kinds {
		for i := range kind.n {
			c.SetWorker(fmt.Sprintf("w%d-%d", k, i), fmt.Sprintf("r%d-%d", k, i/kind.perRack), kind.size, false)
		}
	}
	return c
}

func (f fleet) weights() map[string]operator.Member {
	ms := map[string]operator.Member{}
	for i := range f.members {
		name := fmt.Sprintf("m%d", i)
		ms[name] = operator.Member{Name: name, Weight: float64(1 + i%3)}
	}
	return ms
}

// work is one task as it really is; the scheduler sees only its ask.
type work struct {
	ask   *TaskRequest
	run   time.Duration
	usage operator.Size
	fails int
	item  *feedItem
}

type feedItem struct {
	works   []*work
	arrived time.Time
	left    int // to be placed
	urgent  bool
	large   bool
}

// generate makes the jobs of a feed for a span of time at a load: the share of
// the fleet's scarcest resource that they ask for on average.
func generate(f fleet, load float64, span time.Duration, seed uint64) []*feedItem {
	rnd := rand.New(rand.NewPCG(seed, 7))
	total := f.cluster().Total
	var out []*feedItem
	asked := operator.Size{}
	sec := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	var sum [3]float64 // resource-seconds
	for n := 0; ; n++ {
		it := f.job(rnd, n)
		for _, w := range it.works {
			s := w.run.Seconds()
			sum[0] += s * float64(w.ask.Size.CPU)
			sum[1] += s * float64(w.ask.Size.Memory)
			sum[2] += s * float64(w.ask.Size.Accel)
			asked = asked.Add(w.ask.Size)
		}
		out = append(out, it)
		most := max(sum[0]/float64(total.CPU), sum[1]/float64(total.Memory), sum[2]/float64(total.Accel))
		if most >= load*span.Seconds() {
			break
		}
	}
	// Arrivals come in bursts: a quarter of them within one tenth of the time.
	for _, it := range out {
		at := rnd.Float64()
		if rnd.IntN(4) == 0 {
			at = math.Floor(at*10)/10 + math.Mod(at, 0.01)
		}
		it.arrived = epoch.Add(sec(at * span.Seconds()))
		for _, w := range it.works {
			w.ask.Submitted = it.arrived
		}
	}
	slices.SortFunc(out, func(a, b *feedItem) int { return a.arrived.Compare(b.arrived) })
	return out
}

var epoch = time.Unix(1_800_000_000, 0)

// job makes one job: mostly small batches, some large tasks, some gangs on
// accelerators, a few urgent ones. Declared run times and sizes are off.
func (f fleet) job(rnd *rand.Rand, n int) *feedItem {
	it := &feedItem{}
	kind, tasks, size := operator.Batch, 1+rnd.IntN(6), operator.Size{CPU: int64(250 * (1 + rnd.IntN(12))), Memory: int64(512 * (1 + rnd.IntN(10)))}
	run := f.mean / 4 * rnd.ExpFloat64()
	urgency := operator.Normal
	switch p := rnd.Float64(); {
	case p < f.gangs:
		kind, tasks, size, run = operator.Gang, 2+rnd.IntN(7), operator.Size{CPU: 4000, Memory: 8 << 10, Accel: 1}, f.mean*rnd.ExpFloat64()
	case p < f.gangs+0.08:
		tasks, size, run, it.large = 1, operator.Size{CPU: 8000 + int64(rnd.IntN(8))*1000, Memory: 32 << 10}, f.mean*rnd.ExpFloat64(), true
	case p < f.gangs+0.13:
		tasks, size = 1, operator.Size{CPU: 2000, Memory: 8 << 10, Accel: int64(1 + rnd.IntN(2))}
	case p < f.gangs+0.18:
		tasks, urgency, run, it.urgent = 1, operator.Urgent, 1, true
	}
	run = max(run, 0.05)
	off := []float64{0.1, 0.5, 1, 1, 2, 10}[rnd.IntN(6)]
	family := fmt.Sprintf("f%d-%d", n%40, int(math.Log2(run*8+1)))
	worth := float64(1 + rnd.IntN(5))
	member := fmt.Sprintf("m%d", rnd.IntN(f.members))
	for i := range tasks {
		r := time.Duration(run * (0.7 + 0.6*rnd.Float64()) * float64(time.Second))
		w := &work{item: it, run: r, usage: size, ask: &TaskRequest{
			Task: fmt.Sprintf("j%d#%d", n, i), Job: fmt.Sprintf("j%d", n), Member: member, Kind: kind, Size: size,
			Worth: worth, Urgency: urgency, ExpectedRuntime: time.Duration(off * float64(r)), Rack: "", Avoid: []string{family},
		}}
		if rnd.IntN(50) == 0 {
			w.fails = 1
		}
		it.works = append(it.works, w)
	}
	it.left = tasks
	return it
}

type ending struct {
	at time.Time
	w  *work
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// result is what a feed measured.
type result struct {
	wait, urgent, gang, large []time.Duration
	worth                     float64 // of tasks completed within the span
	idle                      float64 // share of the scarcest resource free while something waited
	packed                    float64 // share in use
	fair                      float64 // Jain's index of worth-free service by weight
	decide                    []time.Duration
	placed                    int
	spent                     time.Duration
	left                      int // items that never started
}

func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[min(len(ds)-1, int(q*float64(len(ds))))]
}

// run feeds items to a policy until all have ended or the limit is reached.
func (f fleet) run(p NamedPolicy, items []*feedItem, span time.Duration) *result {
	const step = 50 * time.Millisecond
	c, q, rt, r := f.cluster(), &Queue{}, &RuntimeEstimator{}, &result{}
	members := f.weights()
	works := map[string]*work{}
	var ends endings
	served := map[string]float64{}
	var idleSum, packSum float64
	var idleN, packN int
	limit := epoch.Add(3 * span)
	next := 0
	for now := epoch; now.Before(limit) && (next < len(items) || len(ends) > 0 || q.Len() > 0); now = now.Add(step) {
		for ; next < len(items) && !items[next].arrived.After(now); next++ {
			f.arrive(c, q, rt, works, items[next])
		}
		for len(ends) > 0 && !ends[0].at.After(now) {
			e := heap.Pop(&ends).(ending)
			c.Release(e.w.ask.Task)
			if e.w.fails > 0 {
				e.w.fails--
				q.Add(&Item{Requests: []*TaskRequest{e.w.ask}})
				continue
			}
			rt.Record(e.w.ask.Avoid[0], e.w.run)
			if now.Before(epoch.Add(span)) {
				r.worth += e.w.ask.Worth
			}
			served[e.w.ask.Member] += e.w.run.Seconds() * e.w.ask.Size.Share(c.Total)
		}
		began := time.Now()
		got := p.Decide(c, q, members, now, 1000)
		took := time.Since(began)
		r.spent += took
		r.placed += len(got)
		for range got {
			r.decide = append(r.decide, took/time.Duration(len(got)))
		}
		for _, pl := range got {
			w := works[pl.Task]
			heap.Push(&ends, ending{now.Add(w.run), w})
			if w.item.left--; w.item.left == 0 {
				r.started(w.item, now)
			}
		}
		if now.Before(epoch.Add(span)) {
			share := usedShare(c)
			packSum, packN = packSum+share, packN+1
			if q.Len() > 0 {
				idleSum, idleN = idleSum+1-share, idleN+1
			}
		}
	}
	r.left = q.Len()
	r.idle, r.packed = idleSum/max(1, float64(idleN)), packSum/max(1, float64(packN))
	r.fair = jain(served, members)
	return r
}

func (f fleet) arrive(_ *Cluster, q *Queue, rt *RuntimeEstimator, works map[string]*work, it *feedItem) {
	item := &Item{Gang: it.works[0].ask.Kind == operator.Gang}
	for _, w := range it.works {
		works[w.ask.Task] = w
		a := *w.ask
		a.ExpectedRuntime = rt.Estimate(a.Avoid[0], a.ExpectedRuntime)
		if item.Gang {
			item.Requests = append(item.Requests, &a)
			continue
		}
		q.Add(&Item{Requests: []*TaskRequest{&a}})
	}
	if item.Gang {
		q.Add(item)
	}
}

func (r *result) started(it *feedItem, now time.Time) {
	w := now.Sub(it.arrived)
	r.wait = append(r.wait, w)
	switch {
	case it.urgent:
		r.urgent = append(r.urgent, w)
	case it.large:
		r.large = append(r.large, w)
	case it.works[0].ask.Kind == operator.Gang:
		r.gang = append(r.gang, w)
	}
}

// usedShare is the share in use of the resource that is scarcest just now.
func usedShare(c *Cluster) float64 {
	var used operator.Size
	for _, w := range c.Workers {
		used = used.Add(w.Used)
	}
	return used.Share(c.Total)
}

// jain is Jain's index of what members got by weight: one is equal.
func jain(served map[string]float64, members map[string]operator.Member) float64 {
	var sum, sq float64
	for name, m := range members {
		x := served[name] / m.Share()
		sum += x
		sq += x * x
	}
	if sq == 0 {
		return 1
	}
	return sum * sum / (float64(len(members)) * sq)
}
