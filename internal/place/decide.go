package place

import (
	"time"

	"jasminestep/pkg/operator"
)

// Placement assigns a task to a worker.
type Placement struct {
	Task   string
	Worker string
}

// maxTried limits the number of queued items that one call of Decide tries.
// Items ranked further down rarely fit if none of those before them did; they
// are left to the next call.
const maxTried = 4000

// Decide places up to limit tasks of q on c and removes them from the queue.
// Policy P determines the order of the items and the choice of workers. Gangs
// are placed as a whole or not at all; a gang that does not fit may get a
// reservation, and an item that resumes claims room.
func Decide[P Policy](c *Cluster, q *Queue, members map[string]operator.Member, now time.Time, limit int) []Placement {
	var p P
	c.init()
	v := &PolicyView{Cluster: c, Members: members, Now: now}
	q.expireReservations(now)
	sortQueue(q, p, v)
	var out []Placement
	failed := map[shape]bool{} // shapes that fit on no worker in this call
	remaining := q.sorted[:0]
	for i, it := range q.sorted {
		if q.byKey[it.Key()] != it {
			continue // removed from the queue since the last sort
		}
		if len(out) >= limit || i >= maxTried {
			remaining = append(remaining, it)
			continue
		}
		placed := placeItem(c, q, p, it, failed, now)
		if placed == nil {
			remaining = append(remaining, it)
			if p.StrictOrder() && !it.Requests[0].NotBefore.After(now) {
				remaining = append(remaining, q.sorted[i+1:]...)
				break
			}
			continue
		}
		q.Remove(it.Key())
		c.unclaimAll(it.Requests)
		out = append(out, placed...)
	}
	q.sorted = remaining
	return out
}

// placeItem places one item. It returns nil if the item cannot be placed now.
func placeItem[P Policy](c *Cluster, q *Queue, p P, it *Item, failed map[shape]bool, now time.Time) []Placement {
	if it.failedVersion == c.version+1 && it.reservation == nil || it.Requests[0].NotBefore.After(now) {
		return nil
	}
	if it.Gang {
		return placeGang(c, q, p, it, now)
	}
	a := it.Requests[0]
	sh := shape{size: a.Size, rack: a.Rack}
	search := !failed[sh] || c.claims[a.Task] != nil
	var w *Worker
	if search {
		w = c.findWorker(a, now, p.FullestFirst(), func(w *Worker) float64 { return p.Score(c, w, a) })
	}
	if w != nil {
		c.Allocate(a, w, expectedEnd(a, now))
		return []Placement{{a.Task, w.ID}}
	}
	toClaim := shape{size: a.Size, rack: a.Rack, claim: true}
	if a.Resumes && (c.claims[a.Task] != nil || !failed[toClaim]) {
		failed[toClaim] = !c.Claim(it.Requests, now) || failed[toClaim]
	}
	// A short task may still be placed on reserved workers before the gang
	// starts. A failed search therefore rules out other requests of the
	// same shape, and later attempts, only if there are no reservations.
	if search && len(q.reservations) == 0 {
		failed[sh] = true
		it.failedVersion = c.version + 1
	}
	return nil
}

func placeGang[P Policy](c *Cluster, q *Queue, p P, it *Item, now time.Time) []Placement {
	out := make([]Placement, 0, len(it.Requests))
	for _, a := range it.Requests {
		w := c.findWorker(a, now, p.FullestFirst(), func(w *Worker) float64 { return p.Score(c, w, a) })
		if w == nil {
			version := c.version
			for _, pl := range out {
				c.Release(pl.Task)
			}
			c.version = version // the released capacity was free before, so nothing new may fit
			it.failedVersion = c.version + 1
			if !it.resumes() || !c.Claim(it.Requests, now) {
				q.reserve(c, it, now)
			}
			return nil
		}
		c.Allocate(a, w, expectedEnd(a, now))
		out = append(out, Placement{a.Task, w.ID})
	}
	return out
}

func expectedEnd(a *TaskRequest, now time.Time) time.Time {
	if a.Kind == operator.Service {
		return time.Time{}
	}
	return now.Add(expectedRuntime(a))
}
