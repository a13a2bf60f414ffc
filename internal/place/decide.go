package place

import (
	"time"

	"jasminestep/pkg/operator"
)

// Placement gives a task to a worker.
type Placement struct {
	Task   string
	Worker string
}

// lookInto is how many waiting items one call tries before it leaves the rest
// to the next: what is ranked so far down seldom fits when all before it did not.
const maxTried = 4000

// Decide places up to most tasks of q on c, in the order and on the workers
// that P prefers, and takes them off the queue. Gangs are placed whole or not
// at all; one that does not fit may get a reservation.
func Decide[P Policy](c *Cluster, q *Queue, members map[string]operator.Member, now time.Time, limit int) []Placement {
	var p P
	c.init()
	v := &PolicyView{Cluster: c, Members: members, Now: now}
	q.expireReservations(now)
	sortQueue(q, p, v)
	var out []Placement
	failed := map[shape]bool{} // shapes that fitted nowhere in this call
	remaining := q.sorted[:0]
	for i, it := range q.sorted {
		if q.byKey[it.Key()] != it {
			continue // dropped meanwhile
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
		out = append(out, placed...)
	}
	q.sorted = remaining
	return out
}

// try places one item, or returns nil.
func placeItem[P Policy](c *Cluster, q *Queue, p P, it *Item, failed map[shape]bool, now time.Time) []Placement {
	if it.failedVersion == c.version+1 && it.reservation == nil || it.Requests[0].NotBefore.After(now) {
		return nil
	}
	if it.Gang {
		return placeGang(c, q, p, it, now)
	}
	a := it.Requests[0]
	sh := shape{a.Size, a.Rack}
	if failed[sh] {
		return nil
	}
	w := c.findWorker(a, now, p.FullestFirst(), func(w *Worker) float64 { return p.Score(c, w, a) })
	if w == nil {
		// A short task may yet slip in front of a reservation, so only a
		// search without reservations speaks for its shape and for later.
		if len(q.reservations) == 0 {
			failed[sh] = true
			it.failedVersion = c.version + 1
		}
		return nil
	}
	c.Allocate(a, w, expectedEnd(a, now))
	return []Placement{{a.Task, w.ID}}
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
			c.version = version // what was given back had been free
			it.failedVersion = c.version + 1
			q.reserve(c, it, now)
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
