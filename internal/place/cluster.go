// Package place decides what runs where.
//
// Cluster is the capacity of a zone's workers and what is placed on them; Queue
// holds what waits; Decide takes both, a policy and the present time, and says
// what to place. Nothing here does input or output, so that the same code runs
// in the scheduler, in the fuzzers and in the benchmarks.
package place

import (
	"math/bits"
	"time"

	"jasminestep/pkg/operator"
)

// Worker is a VM that runs tasks.
type Worker struct {
	ID       string
	Rack     string
	Capacity operator.Size
	// Used is the sum over Tasks of max(declared, observed peak). The cluster
	// places a task only where Used stays within Cap; usage that grows
	// afterwards may exceed it, which Squeeze then mends.
	Used          operator.Size
	Tasks         map[string]*Alloc
	Unschedulable bool // takes nothing new: quarantined, leaving or out of reach

	resv   *Reservation // at most one gang is waiting for this worker
	bucket int          // position in the cluster's index
	pos    int
}

// Free is what is left of the worker's capacity; fields may be negative.
func (w *Worker) Free() operator.Size { return w.Capacity.Sub(w.Used) }

// Alloc is what one task takes of its worker.
type Alloc struct {
	Request     *TaskRequest
	Worker      *Worker
	Size        operator.Size // max(declared, observed peak)
	ExpectedEnd time.Time     // when it is expected to end; zero for services
	Throttled   bool          // already throttled
}

// Ask is one task that wants a place.
type TaskRequest struct {
	Task            string
	Job             string
	Member          string
	Kind            operator.Kind
	Size            operator.Size
	Worth           float64
	Urgency         operator.Urgency
	Submitted       time.Time
	NotBefore       time.Time     // not before
	ExpectedRuntime time.Duration // expected run time, zero if there is no telling
	Rack            string        // only there; empty: any
	Spread          bool
	Avoid           []string // workers to shun while others will do
}

// The index sorts workers by what they have free: accelerators, then
// processors on a logarithmic scale. A search walks the classes that can fit,
// so its cost follows the classes and the candidates looked at, not the workers.
const (
	accelClasses = 9   // 0 to 8 and more free accelerators
	cpuClasses   = 16  // powers of two of cpuGrain
	cpuGrain     = 250 // millicores
	lookAt       = 24  // fitting candidates that are compared
	visitAtMost  = 256 // workers looked at before a search goes exhaustive
)

// Cluster is the workers of a zone. The zero value is empty.
type Cluster struct {
	Workers map[string]*Worker
	Allocs  map[string]*Alloc // by task
	Total   operator.Size     // capacity of the workers not held
	// Shares is what each member has placed; its dominant share of Total
	// decides fairness.
	MemberUsage map[string]operator.Size

	index   [accelClasses * cpuClasses][]*Worker
	racks   map[string]map[string]int // job → rack → tasks, for spread
	version uint64                    // grows whenever something may fit that did not
	turn    int                       // where the next search begins within a class
}

func (c *Cluster) init() {
	if c.Workers == nil {
		c.Workers = map[string]*Worker{}
		c.Allocs = map[string]*Alloc{}
		c.MemberUsage = map[string]operator.Size{}
		c.racks = map[string]map[string]int{}
	}
}

func cpuClass(milli int64) int {
	if milli < cpuGrain {
		return 0
	}
	return min(bits.Len64(uint64(milli/cpuGrain)), cpuClasses-1)
}

func bucketOf(free operator.Size) int {
	a := min(max(free.Accel, 0), accelClasses-1)
	return int(a)*cpuClasses + cpuClass(free.CPU)
}

// Put adds a worker, or changes the capacity, rack or availability of one that
// is there already.
func (c *Cluster) SetWorker(id, rack string, size operator.Size, held bool) *Worker {
	c.init()
	w := c.Workers[id]
	if w == nil {
		w = &Worker{ID: id, Tasks: map[string]*Alloc{}, bucket: -1, Unschedulable: true}
		c.Workers[id] = w
	}
	if w.bucket >= 0 && w.Rack == rack && w.Capacity == size && w.Unschedulable == held {
		return w
	}
	if !w.Unschedulable {
		c.Total = c.Total.Sub(w.Capacity)
	}
	w.Rack, w.Capacity, w.Unschedulable = rack, size, held
	if !held {
		c.Total = c.Total.Add(size)
	}
	c.version++
	c.reindex(w)
	return w
}

// Remove forgets a worker on which nothing is placed; others stay, held.
func (c *Cluster) RemoveWorker(id string) {
	w := c.Workers[id]
	if w == nil {
		return
	}
	if len(w.Tasks) > 0 {
		c.SetWorker(id, w.Rack, w.Capacity, true)
		return
	}
	c.SetWorker(id, w.Rack, w.Capacity, true)
	c.unindex(w)
	w.resv.drop(w)
	delete(c.Workers, id)
}

func (c *Cluster) unindex(w *Worker) {
	if w.bucket < 0 {
		return
	}
	b := c.index[w.bucket]
	last := b[len(b)-1]
	b[w.pos], last.pos = last, w.pos
	c.index[w.bucket] = b[:len(b)-1]
	w.bucket = -1
}

func (c *Cluster) reindex(w *Worker) {
	to := bucketOf(w.Free())
	if to == w.bucket {
		return
	}
	c.unindex(w)
	w.bucket, w.pos = to, len(c.index[to])
	c.index[to] = append(c.index[to], w)
}

// Take places a task. It does not ask whether it fits: what a worker already
// runs is a fact, however it came about.
func (c *Cluster) Allocate(a *TaskRequest, w *Worker, until time.Time) *Alloc {
	al := &Alloc{Request: a, Worker: w, Size: a.Size, ExpectedEnd: until}
	w.Tasks[a.Task] = al
	c.Allocs[a.Task] = al
	c.grow(al, a.Size)
	if a.Spread {
		if c.racks[a.Job] == nil {
			c.racks[a.Job] = map[string]int{}
		}
		c.racks[a.Job][w.Rack]++
	}
	return al
}

func (c *Cluster) grow(al *Alloc, by operator.Size) {
	al.Worker.Used = al.Worker.Used.Add(by)
	m := al.Request.Member
	c.MemberUsage[m] = c.MemberUsage[m].Add(by)
	c.reindex(al.Worker)
}

// Release takes a task off its worker. Releasing one that is not placed does nothing.
func (c *Cluster) Release(task string) {
	al := c.Allocs[task]
	if al == nil {
		return
	}
	delete(c.Allocs, task)
	delete(al.Worker.Tasks, task)
	c.grow(al, operator.Size{}.Sub(al.Size))
	c.version++
	if !al.Request.Spread {
		return
	}
	r := c.racks[al.Request.Job]
	if r[al.Worker.Rack]--; r[al.Worker.Rack] <= 0 {
		delete(r, al.Worker.Rack)
	}
	if len(r) == 0 {
		delete(c.racks, al.Request.Job)
	}
}

// Observe records what a task was seen to use. Its allocation only ever grows:
// a peak may come again.
func (c *Cluster) ObserveUsage(task string, usage operator.Size) {
	al := c.Allocs[task]
	if al == nil {
		return
	}
	peak := al.Size.Max(usage)
	if peak == al.Size {
		return
	}
	by := peak.Sub(al.Size)
	al.Size = peak
	c.grow(al, by)
}

// fits reports whether a can be placed on w now.
func (c *Cluster) fits(a *TaskRequest, w *Worker, now time.Time) bool {
	if w.Unschedulable || !a.Size.Fits(w.Free()) || a.Rack != "" && a.Rack != w.Rack {
		return false
	}
	return w.resv == nil || w.resv.admits(a, now)
}

// seek finds up to lookAt workers that fit a and returns the one that score
// prefers. tight searches from the fullest classes, otherwise from the emptiest.
func (c *Cluster) seek(a *TaskRequest, now time.Time, tight bool, score func(*Worker) float64) *Worker {
	s := search{c: c, a: a, now: now, score: score}
	c.turn++
	accel := int(min(a.Size.Accel, accelClasses-1))
	cpu := cpuClass(a.Size.CPU)
	for i := accel; i < accelClasses && !s.enough(); i++ {
		for j := cpu; j < cpuClasses && !s.enough(); j++ {
			k := j
			if !tight {
				k = cpuClasses - 1 - (j - cpu)
			}
			s.class(c.index[i*cpuClasses+k])
		}
	}
	if s.best == nil && s.visited >= visitAtMost {
		// Most workers of the right classes lack something that the index does
		// not know: memory, a rack. Look everywhere before giving up.
		s.visited = -len(c.Workers)
		for i := accel * cpuClasses; i < len(c.index) && s.best == nil; i++ {
			s.class(c.index[i])
		}
	}
	return s.best
}

// search is one run of seek.
type search struct {
	c       *Cluster
	a       *TaskRequest
	now     time.Time
	score   func(*Worker) float64
	best    *Worker
	top     float64
	seen    int // workers that fit
	visited int
}

func (s *search) enough() bool { return s.seen >= lookAt || s.visited >= visitAtMost }

func (s *search) class(ws []*Worker) {
	for i := range ws {
		if s.enough() {
			return
		}
		w := ws[(i+s.c.turn)%len(ws)]
		s.visited++
		if !s.c.fits(s.a, w, s.now) {
			continue
		}
		s.seen++
		if v := s.score(w); s.best == nil || v > s.top {
			s.best, s.top = w, v
		}
	}
}
