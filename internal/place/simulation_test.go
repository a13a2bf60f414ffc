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

// The simulation feeds arrivals, completions and failures to Decide with a
// simulated clock. It measures only the effect of the decisions: there are no
// sockets, processes or delays other than those that follow from the decisions.

// fleet describes the workers of a simulation, the members that share them and
// the jobs that they submit.
type fleet struct {
	name        string
	classes     []workerClass
	members     int
	gangShare   float64 // fraction of the jobs
	meanRuntime float64 // of a task, seconds
}

type workerClass struct {
	n, perRack int
	size       operator.Size
}

// One zone of each site, and the full size that is planned for in two years.
var fleets = []fleet{
	{"oshana", []workerClass{{9, 4, operator.Size{CPU: 16000, Memory: 64 << 10}}, {3, 3, operator.Size{CPU: 128000, Memory: 256 << 10, Accel: 8}}}, 4, 0.05, 20},
	{"compas", []workerClass{{12, 5, operator.Size{CPU: 64000, Memory: 128 << 10}}, {4, 3, operator.Size{CPU: 64000, Memory: 256 << 10, Accel: 8}}}, 3, 0.05, 20},
	{"target", []workerClass{{565, 5, operator.Size{CPU: 64000, Memory: 128 << 10}}, {175, 3, operator.Size{CPU: 128000, Memory: 256 << 10, Accel: 8}}}, 190, 0.03, 60},
}

func (f fleet) cluster() *Cluster {
	c := &Cluster{}
	for k, kind := range f.classes {
		for i := range kind.n {
			c.SetWorker(fmt.Sprintf("w%d-%d", k, i), fmt.Sprintf("r%d-%d", k, i/kind.perRack), kind.size, false)
		}
	}
	return c
}

func (f fleet) memberWeights() map[string]operator.Member {
	ms := map[string]operator.Member{}
	for i := range f.members {
		name := fmt.Sprintf("m%d", i)
		ms[name] = operator.Member{Name: name, Weight: float64(1 + i%3)}
	}
	return ms
}

// simTask is a task with its actual run time and usage. The scheduler sees only
// the request.
type simTask struct {
	request  *TaskRequest
	runtime  time.Duration
	usage    operator.Size
	failures int
	job      *simJob
}

type simJob struct {
	tasks    []*simTask
	arrived  time.Time
	unplaced int // number of tasks not placed yet
	urgent   bool
	large    bool
}

// generateJobs generates the jobs that arrive within span. load is the average
// demand as a fraction of the fleet's scarcest resource.
func generateJobs(f fleet, load float64, span time.Duration, seed uint64) []*simJob {
	rnd := rand.New(rand.NewPCG(seed, 7))
	total := f.cluster().Total
	var out []*simJob
	asked := operator.Size{}
	sec := func(x float64) time.Duration { return time.Duration(x * float64(time.Second)) }
	var sum [3]float64 // resource-seconds
	for n := 0; ; n++ {
		it := f.randomJob(rnd, n)
		for _, w := range it.tasks {
			s := w.runtime.Seconds()
			sum[0] += s * float64(w.request.Size.CPU)
			sum[1] += s * float64(w.request.Size.Memory)
			sum[2] += s * float64(w.request.Size.Accel)
			asked = asked.Add(w.request.Size)
		}
		out = append(out, it)
		most := max(sum[0]/float64(total.CPU), sum[1]/float64(total.Memory), sum[2]/float64(total.Accel))
		if most >= load*span.Seconds() {
			break
		}
	}
	// Arrivals are bursty: a quarter of them fall into the first tenth of an
	// interval of span/10.
	for _, it := range out {
		at := rnd.Float64()
		if rnd.IntN(4) == 0 {
			at = math.Floor(at*10)/10 + math.Mod(at, 0.01)
		}
		it.arrived = epoch.Add(sec(at * span.Seconds()))
		for _, w := range it.tasks {
			w.request.Submitted = it.arrived
		}
	}
	slices.SortFunc(out, func(a, b *simJob) int { return a.arrived.Compare(b.arrived) })
	return out
}

var epoch = time.Unix(1_800_000_000, 0)

// randomJob generates one job. Most are small batch jobs; some are large tasks,
// gangs on accelerators or urgent tasks. Declared run times differ from the
// actual ones by up to a factor of ten.
func (f fleet) randomJob(rnd *rand.Rand, n int) *simJob {
	it := &simJob{}
	kind, tasks, size := operator.Batch, 1+rnd.IntN(6), operator.Size{CPU: int64(250 * (1 + rnd.IntN(12))), Memory: int64(512 * (1 + rnd.IntN(10)))}
	run := f.meanRuntime / 4 * rnd.ExpFloat64()
	urgency := operator.Normal
	switch p := rnd.Float64(); {
	case p < f.gangShare:
		kind, tasks, size, run = operator.Gang, 2+rnd.IntN(7), operator.Size{CPU: 4000, Memory: 8 << 10, Accel: 1}, f.meanRuntime*rnd.ExpFloat64()
	case p < f.gangShare+0.08:
		tasks, size, run, it.large = 1, operator.Size{CPU: 8000 + int64(rnd.IntN(8))*1000, Memory: 32 << 10}, f.meanRuntime*rnd.ExpFloat64(), true
	case p < f.gangShare+0.13:
		tasks, size = 1, operator.Size{CPU: 2000, Memory: 8 << 10, Accel: int64(1 + rnd.IntN(2))}
	case p < f.gangShare+0.18:
		tasks, urgency, run, it.urgent = 1, operator.Urgent, 1, true
	}
	run = max(run, 0.05)
	estimateError := []float64{0.1, 0.5, 1, 1, 2, 10}[rnd.IntN(6)]
	family := fmt.Sprintf("f%d-%d", n%40, int(math.Log2(run*8+1)))
	worth := float64(1 + rnd.IntN(5))
	member := fmt.Sprintf("m%d", rnd.IntN(f.members))
	for i := range tasks {
		r := time.Duration(run * (0.7 + 0.6*rnd.Float64()) * float64(time.Second))
		w := &simTask{job: it, runtime: r, usage: size, request: &TaskRequest{
			Task: fmt.Sprintf("j%d#%d", n, i), Job: fmt.Sprintf("j%d", n), Member: member, Kind: kind, Size: size,
			Worth: worth, Urgency: urgency, ExpectedRuntime: time.Duration(estimateError * float64(r)), Rack: "", Avoid: []string{family},
		}}
		if rnd.IntN(50) == 0 {
			w.failures = 1
		}
		it.tasks = append(it.tasks, w)
	}
	it.unplaced = tasks
	return it
}

type completion struct {
	at   time.Time
	task *simTask
}

type completionHeap []completion

func (e completionHeap) Len() int           { return len(e) }
func (e completionHeap) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e completionHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(x any)        { *e = append(*e, x.(completion)) }
func (e *completionHeap) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// simResult holds the measurements of a simulation.
type simResult struct {
	wait, urgent, gang, large []time.Duration
	worth                     float64 // of tasks completed within the span
	idle                      float64 // unused fraction of the scarcest resource while items were queued
	utilization               float64 // used fraction of the scarcest resource
	fairness                  float64 // Jain's index of the weighted service of the members, regardless of worth
	decideLatencies           []time.Duration
	placed                    int
	decideTime                time.Duration
	unstarted                 int // items that never started
}

func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	slices.Sort(ds)
	return ds[min(len(ds)-1, int(q*float64(len(ds))))]
}

// simulate runs the jobs under a policy until all have ended or three times the
// span has passed.
func (f fleet) simulate(p NamedPolicy, items []*simJob, span time.Duration) *simResult {
	const step = 50 * time.Millisecond
	c, q, rt, r := f.cluster(), &Queue{}, &RuntimeEstimator{}, &simResult{}
	members := f.memberWeights()
	tasks := map[string]*simTask{}
	var completions completionHeap
	served := map[string]float64{}
	var idleSum, packSum float64
	var idleN, packN int
	limit := epoch.Add(3 * span)
	next := 0
	for now := epoch; now.Before(limit) && (next < len(items) || len(completions) > 0 || q.Len() > 0); now = now.Add(step) {
		for ; next < len(items) && !items[next].arrived.After(now); next++ {
			f.submit(c, q, rt, tasks, items[next])
		}
		for len(completions) > 0 && !completions[0].at.After(now) {
			e := heap.Pop(&completions).(completion)
			c.Release(e.task.request.Task)
			if e.task.failures > 0 {
				e.task.failures--
				q.Add(&Item{Requests: []*TaskRequest{e.task.request}})
				continue
			}
			rt.Record(e.task.request.Avoid[0], e.task.runtime)
			if now.Before(epoch.Add(span)) {
				r.worth += e.task.request.Worth
			}
			served[e.task.request.Member] += e.task.runtime.Seconds() * e.task.request.Size.Share(c.Total)
		}
		start := time.Now()
		got := p.Decide(c, q, members, now, 1000)
		took := time.Since(start)
		r.decideTime += took
		r.placed += len(got)
		for range got {
			r.decideLatencies = append(r.decideLatencies, took/time.Duration(len(got)))
		}
		for _, pl := range got {
			w := tasks[pl.Task]
			heap.Push(&completions, completion{now.Add(w.runtime), w})
			if w.job.unplaced--; w.job.unplaced == 0 {
				r.recordStart(w.job, now)
			}
		}
		if now.Before(epoch.Add(span)) {
			share := scarcestShare(c)
			packSum, packN = packSum+share, packN+1
			if q.Len() > 0 {
				idleSum, idleN = idleSum+1-share, idleN+1
			}
		}
	}
	r.unstarted = q.Len()
	r.idle, r.utilization = idleSum/max(1, float64(idleN)), packSum/max(1, float64(packN))
	r.fairness = jainIndex(served, members)
	return r
}

func (f fleet) submit(_ *Cluster, q *Queue, rt *RuntimeEstimator, tasks map[string]*simTask, it *simJob) {
	item := &Item{Gang: it.tasks[0].request.Kind == operator.Gang}
	for _, w := range it.tasks {
		tasks[w.request.Task] = w
		a := *w.request
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

func (r *simResult) recordStart(it *simJob, now time.Time) {
	w := now.Sub(it.arrived)
	r.wait = append(r.wait, w)
	switch {
	case it.urgent:
		r.urgent = append(r.urgent, w)
	case it.large:
		r.large = append(r.large, w)
	case it.tasks[0].request.Kind == operator.Gang:
		r.gang = append(r.gang, w)
	}
}

// scarcestShare returns the used fraction of the resource that is scarcest at
// the moment.
func scarcestShare(c *Cluster) float64 {
	var used operator.Size
	for _, w := range c.Workers {
		used = used.Add(w.Used)
	}
	return used.Share(c.Total)
}

// jainIndex returns Jain's fairness index of the members' service by weight; 1
// is perfectly fair.
func jainIndex(served map[string]float64, members map[string]operator.Member) float64 {
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
