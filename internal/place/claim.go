package place

import (
	"cmp"
	"slices"
	"time"

	"jasminestep/pkg/operator"
)

// claim keeps room on a worker for a task that ran and has to run on: it lost
// its place, or has to leave it. Other tasks get only what is free there beyond
// all claims, so that room which frees up a little at a time adds up. Batch
// tasks that are still in the way when the claim is due are checkpointed.
type claim struct {
	request *TaskRequest
	worker  *Worker
	due     time.Time
}

// unclaimed returns the free capacity that is not claimed.
func (w *Worker) unclaimed() operator.Size { return w.Free().Sub(w.claimed) }

// roomFor returns what a may use of the worker.
func (c *Cluster) roomFor(a *TaskRequest, w *Worker) operator.Size {
	if cl := c.claims[a.Task]; cl != nil && cl.worker == w {
		return w.Free()
	}
	return w.unclaimed()
}

// Claim claims room for each of the requests that has no claim, or one that
// cannot be met any more. It reports whether all of them have one; otherwise
// none has.
func (c *Cluster) Claim(requests []*TaskRequest, now time.Time) bool {
	c.init()
	had := slices.ContainsFunc(requests, func(a *TaskRequest) bool { return c.claims[a.Task] != nil })
	for _, a := range requests {
		if c.claimHolds(a.Task) {
			continue
		}
		c.unclaim(a.Task)
		w := c.claimable(a, now)
		if w == nil {
			version := c.version
			c.unclaimAll(requests)
			if !had {
				c.version = version // nothing was claimed before, so nothing new may fit
			}
			return false
		}
		c.claims[a.Task] = &claim{a, w, now.Add(reclaimDelay)}
		w.claimed = w.claimed.Add(a.Size)
	}
	return true
}

// ClaimReady reports whether the room that is claimed for the task is free.
func (c *Cluster) ClaimReady(task string) bool {
	cl := c.claims[task]
	return cl != nil && !cl.worker.Unschedulable && cl.worker.claimed.Fits(cl.worker.Free())
}

// KeepClaims drops the claims of all tasks for which keep is false.
func (c *Cluster) KeepClaims(keep func(task string) bool) {
	for task := range c.claims {
		if !keep(task) {
			c.unclaim(task)
		}
	}
}

func (c *Cluster) unclaim(task string) {
	cl := c.claims[task]
	if cl == nil {
		return
	}
	delete(c.claims, task)
	cl.worker.claimed = cl.worker.claimed.Sub(cl.request.Size)
	c.version++ // other tasks may fit now
}

func (c *Cluster) unclaimAll(requests []*TaskRequest) {
	for _, a := range requests {
		c.unclaim(a.Task)
	}
}

// claimHolds reports whether the task has a claim that can still be met.
func (c *Cluster) claimHolds(task string) bool {
	cl := c.claims[task]
	if cl == nil || cl.worker.Unschedulable || c.Workers[cl.worker.ID] != cl.worker {
		return false
	}
	_, ok := yielding(cl.worker, cl.worker.claimed)
	return ok
}

// claimable compares up to maxCandidates workers, those with most free
// processors first, and returns the one on which room for a can be made at the
// least cost, or nil if there is none.
func (c *Cluster) claimable(a *TaskRequest, now time.Time) *Worker {
	var best *Worker
	var least float64
	found := 0
	for class := cpuClasses - 1; class >= 0; class-- {
		for accel := range accelClasses {
			for _, w := range c.index[accel*cpuClasses+class] {
				cost, ok := c.claimCost(a, w, now)
				if !ok {
					continue
				}
				if best == nil || cost < least {
					best, least = w, cost
				}
				if found++; found >= maxCandidates {
					return best
				}
			}
		}
	}
	return best
}

// claimCost returns the worth of what has to leave w for a, and whether that
// makes enough room.
func (c *Cluster) claimCost(a *TaskRequest, w *Worker, now time.Time) (cost float64, ok bool) {
	if w.Unschedulable || a.Rack != "" && a.Rack != w.Rack || w.reservation != nil && !w.reservation.admits(a, now) {
		return 0, false
	}
	allocs, ok := yielding(w, w.claimed.Add(a.Size))
	cost = avoidPenalty(c, w, a)
	for _, al := range allocs {
		cost += al.Request.Worth
	}
	return cost, ok
}

// yielding returns the batch tasks that have to leave the worker so that need is
// free, and whether that is enough. It spares tasks of high worth first.
func yielding(w *Worker, need operator.Size) (out []*Alloc, ok bool) {
	lacking := need.Sub(w.Free())
	if lacking.Fits(operator.Size{}) {
		return nil, true
	}
	for _, al := range w.Tasks {
		if al.Request.Kind == operator.Batch && al.Request.Urgency <= operator.Normal {
			out = append(out, al)
			lacking = lacking.Sub(al.Size)
		}
	}
	if !lacking.Fits(operator.Size{}) {
		return nil, false
	}
	slices.SortFunc(out, func(x, y *Alloc) int { return compareWorth(y, x) })
	return slices.DeleteFunc(out, func(al *Alloc) bool {
		without := lacking.Add(al.Size)
		if !without.Fits(operator.Size{}) {
			return false
		}
		lacking = without
		return true
	}), true
}

// compareWorth orders allocations by worth.
func compareWorth(x, y *Alloc) int {
	return cmp.Or(cmp.Compare(x.Request.Worth, y.Request.Worth), cmp.Compare(x.Request.Task, y.Request.Task))
}

// ReclaimClaimed returns which batch tasks to checkpoint for the claims that
// are due.
func ReclaimClaimed(c *Cluster, now time.Time) []Mitigation {
	due := map[*Worker]operator.Size{}
	for _, cl := range c.claims {
		if !now.Before(cl.due) && !cl.worker.Unschedulable {
			due[cl.worker] = due[cl.worker].Add(cl.request.Size)
		}
	}
	var out []Mitigation
	for w, need := range due {
		allocs, _ := yielding(w, need)
		for _, al := range allocs {
			out = append(out, Mitigation{al.Request.Task, Checkpoint})
		}
	}
	slices.SortFunc(out, func(a, b Mitigation) int { return cmp.Compare(a.Task, b.Task) })
	return out
}
