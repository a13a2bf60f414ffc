// Package place implements the scheduler's placement decisions.
//
// Cluster tracks the capacity of a zone's workers and the tasks placed on them.
// Queue holds the tasks that wait. Decide takes both, a policy and the current
// time, and returns the placements to make. The package does no I/O, so the
// same code runs in the scheduler, in the fuzz tests and in the benchmarks.
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
	// Used is the sum over Tasks of max(declared, observed peak). A task is
	// placed only if Used stays within Capacity. Usage that grows after
	// placement may exceed Capacity; MitigateOvercommit handles that case.
	Used          operator.Size
	Tasks         map[string]*Alloc
	Unschedulable bool // accepts no new tasks: quarantined, leaving or unreachable

	claimed     operator.Size // sum of the claims
	reservation *Reservation  // at most one gang reserves a worker
	bucket      int           // bucket in Cluster.index, -1 if not indexed
	bucketPos   int
}

// Free returns the unused capacity of the worker. Fields are negative if the
// worker is overcommitted.
func (w *Worker) Free() operator.Size { return w.Capacity.Sub(w.Used) }

// Alloc is the allocation of one task on its worker.
type Alloc struct {
	Request     *TaskRequest
	Worker      *Worker
	Size        operator.Size // max(declared, observed peak)
	ExpectedEnd time.Time     // zero for services
	Throttled   bool          // whether it has been throttled
}

// TaskRequest is one task that is to be placed.
type TaskRequest struct {
	Task            string
	Job             string
	Member          string
	Kind            operator.Kind
	Size            operator.Size
	Worth           float64
	Urgency         operator.Urgency
	Submitted       time.Time
	Resumes         bool          // it ran, and stopped for no reason of its own
	NotBefore       time.Time     // earliest time of placement
	ExpectedRuntime time.Duration // zero if unknown
	Rack            string        // required rack; empty: any
	Spread          bool
	Avoid           []string // workers to use only if no other fits
}

// The index groups workers into buckets by free accelerators and, on a
// logarithmic scale, by free CPU. A search visits only buckets that can fit the
// request, so its cost depends on the number of buckets and candidates, not on
// the number of workers.
const (
	accelClasses  = 9   // 0 to 7, and 8 or more free accelerators
	cpuClasses    = 16  // powers of two of cpuClassUnit
	cpuClassUnit  = 250 // millicores
	maxCandidates = 24  // fitting workers that one search compares
	maxVisited    = 256 // workers visited before a search falls back to a full scan
)

// Cluster is the set of workers of a zone. The zero value is empty.
type Cluster struct {
	Workers map[string]*Worker
	Allocs  map[string]*Alloc // by task
	Total   operator.Size     // capacity of the workers that are not Unschedulable
	// MemberUsage is the total allocation of each member. Fairness is based on
	// its dominant share of Total.
	MemberUsage map[string]operator.Size

	index      [accelClasses * cpuClasses][]*Worker
	claims     map[string]*claim         // by task
	rackTasks  map[string]map[string]int // job → rack → number of tasks, for Spread
	version    uint64                    // incremented when a task may fit that did not fit before
	scanOffset int                       // rotates the start of the scan within a bucket
}

func (c *Cluster) init() {
	if c.Workers == nil {
		c.Workers = map[string]*Worker{}
		c.Allocs = map[string]*Alloc{}
		c.claims = map[string]*claim{}
		c.MemberUsage = map[string]operator.Size{}
		c.rackTasks = map[string]map[string]int{}
	}
}

func cpuClass(milli int64) int {
	if milli < cpuClassUnit {
		return 0
	}
	return min(bits.Len64(uint64(milli/cpuClassUnit)), cpuClasses-1)
}

func bucketOf(free operator.Size) int {
	a := min(max(free.Accel, 0), accelClasses-1)
	return int(a)*cpuClasses + cpuClass(free.CPU)
}

// SetWorker adds a worker, or updates the capacity, rack or availability of an
// existing one.
func (c *Cluster) SetWorker(id, rack string, size operator.Size, unschedulable bool) *Worker {
	c.init()
	w := c.Workers[id]
	if w == nil {
		w = &Worker{ID: id, Tasks: map[string]*Alloc{}, bucket: -1, Unschedulable: true}
		c.Workers[id] = w
	}
	if w.bucket >= 0 && w.Rack == rack && w.Capacity == size && w.Unschedulable == unschedulable {
		return w
	}
	if !w.Unschedulable {
		c.Total = c.Total.Sub(w.Capacity)
	}
	w.Rack, w.Capacity, w.Unschedulable = rack, size, unschedulable
	if !unschedulable {
		c.Total = c.Total.Add(size)
	}
	c.version++
	c.reindex(w)
	return w
}

// RemoveWorker removes a worker without tasks. A worker with tasks is kept and
// made unschedulable.
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
	w.reservation.removeWorker(w)
	delete(c.Workers, id)
}

func (c *Cluster) unindex(w *Worker) {
	if w.bucket < 0 {
		return
	}
	b := c.index[w.bucket]
	last := b[len(b)-1]
	b[w.bucketPos], last.bucketPos = last, w.bucketPos
	c.index[w.bucket] = b[:len(b)-1]
	w.bucket = -1
}

func (c *Cluster) reindex(w *Worker) {
	to := bucketOf(w.Free())
	if to == w.bucket {
		return
	}
	c.unindex(w)
	w.bucket, w.bucketPos = to, len(c.index[to])
	c.index[to] = append(c.index[to], w)
}

// Allocate places a task without checking that it fits: tasks found running on
// a worker have to be accounted for even if they exceed its capacity.
func (c *Cluster) Allocate(a *TaskRequest, w *Worker, end time.Time) *Alloc {
	al := &Alloc{Request: a, Worker: w, Size: a.Size, ExpectedEnd: end}
	w.Tasks[a.Task] = al
	c.Allocs[a.Task] = al
	c.adjustUsage(al, a.Size)
	if a.Spread {
		if c.rackTasks[a.Job] == nil {
			c.rackTasks[a.Job] = map[string]int{}
		}
		c.rackTasks[a.Job][w.Rack]++
	}
	return al
}

func (c *Cluster) adjustUsage(al *Alloc, delta operator.Size) {
	al.Worker.Used = al.Worker.Used.Add(delta)
	m := al.Request.Member
	c.MemberUsage[m] = c.MemberUsage[m].Add(delta)
	c.reindex(al.Worker)
}

// Release removes a task from its worker. It does nothing if the task is not
// placed.
func (c *Cluster) Release(task string) {
	al := c.Allocs[task]
	if al == nil {
		return
	}
	delete(c.Allocs, task)
	delete(al.Worker.Tasks, task)
	c.adjustUsage(al, operator.Size{}.Sub(al.Size))
	c.version++
	if !al.Request.Spread {
		return
	}
	r := c.rackTasks[al.Request.Job]
	if r[al.Worker.Rack]--; r[al.Worker.Rack] <= 0 {
		delete(r, al.Worker.Rack)
	}
	if len(r) == 0 {
		delete(c.rackTasks, al.Request.Job)
	}
}

// ObserveUsage records the measured usage of a task. The allocation only grows,
// since a peak may recur.
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
	c.adjustUsage(al, by)
}

// fits reports whether a can be placed on w now.
func (c *Cluster) fits(a *TaskRequest, w *Worker, now time.Time) bool {
	if w.Unschedulable || !a.Size.Fits(c.roomFor(a, w)) || a.Rack != "" && a.Rack != w.Rack {
		return false
	}
	return w.reservation == nil || w.reservation.admits(a, now)
}

// findWorker compares up to maxCandidates workers that fit a and returns the
// one with the highest score. fullestFirst starts with the fullest buckets,
// otherwise the search starts with the emptiest.
func (c *Cluster) findWorker(a *TaskRequest, now time.Time, fullestFirst bool, score func(*Worker) float64) *Worker {
	s := workerSearch{cluster: c, request: a, now: now, score: score}
	c.scanOffset++
	accel := int(min(a.Size.Accel, accelClasses-1))
	cpu := cpuClass(a.Size.CPU)
	for i := accel; i < accelClasses && !s.done(); i++ {
		for j := cpu; j < cpuClasses && !s.done(); j++ {
			k := j
			if !fullestFirst {
				k = cpuClasses - 1 - (j - cpu)
			}
			s.scan(c.index[i*cpuClasses+k])
		}
	}
	if s.best == nil && s.visited >= maxVisited {
		// Most workers of the matching buckets lack something that the index
		// does not cover, such as memory or the rack. Fall back to a full scan.
		s.visited = -len(c.Workers)
		for i := accel * cpuClasses; i < len(c.index) && s.best == nil; i++ {
			s.scan(c.index[i])
		}
	}
	return s.best
}

// workerSearch is the state of one findWorker call.
type workerSearch struct {
	cluster   *Cluster
	request   *TaskRequest
	now       time.Time
	score     func(*Worker) float64
	best      *Worker
	bestScore float64
	fitting   int // number of workers that fit
	visited   int
}

func (s *workerSearch) done() bool { return s.fitting >= maxCandidates || s.visited >= maxVisited }

func (s *workerSearch) scan(ws []*Worker) {
	for i := range ws {
		if s.done() {
			return
		}
		w := ws[(i+s.cluster.scanOffset)%len(ws)]
		s.visited++
		if !s.cluster.fits(s.request, w, s.now) {
			continue
		}
		s.fitting++
		if v := s.score(w); s.best == nil || v > s.bestScore {
			s.best, s.bestScore = w, v
		}
	}
}
