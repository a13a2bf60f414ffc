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
const lookInto = 4000

// Decide places up to most tasks of q on c, in the order and on the workers
// that P prefers, and takes them off the queue. Gangs are placed whole or not
// at all; one that does not fit may get a reservation.
func Decide[P Policy](c *Cluster, q *Queue, members map[string]operator.Member, now time.Time, most int) []Placement {
	var p P
	c.init()
	v := &PolicyView{Cluster: c, Members: members, Now: now}
	q.expire(now)
	order(q, p, v)
	var out []Placement
	failed := map[shape]bool{} // shapes that fitted nowhere in this call
	kept := q.items[:0]
	for i, it := range q.items {
		if q.keys[it.Key()] != it {
			continue // dropped meanwhile
		}
		if len(out) >= most || i >= lookInto {
			kept = append(kept, it)
			continue
		}
		got := try(c, q, p, it, failed, now)
		if got == nil {
			kept = append(kept, it)
			if p.StrictOrder() && !it.Requests[0].NotBefore.After(now) {
				kept = append(kept, q.items[i+1:]...)
				break
			}
			continue
		}
		q.Remove(it.Key())
		out = append(out, got...)
	}
	q.items = kept
	return out
}

// try places one item, or returns nil.
func try[P Policy](c *Cluster, q *Queue, p P, it *Item, failed map[shape]bool, now time.Time) []Placement {
	if it.tried == c.version+1 && it.resv == nil || it.Requests[0].NotBefore.After(now) {
		return nil
	}
	if it.Gang {
		return tryGang(c, q, p, it, now)
	}
	a := it.Requests[0]
	sh := shape{a.Size, a.Rack}
	if failed[sh] {
		return nil
	}
	w := c.seek(a, now, p.FullestFirst(), func(w *Worker) float64 { return p.Score(c, w, a) })
	if w == nil {
		// A short task may yet slip in front of a reservation, so only a
		// search without reservations speaks for its shape and for later.
		if len(q.resvs) == 0 {
			failed[sh] = true
			it.tried = c.version + 1
		}
		return nil
	}
	c.Allocate(a, w, until(a, now))
	return []Placement{{a.Task, w.ID}}
}

func tryGang[P Policy](c *Cluster, q *Queue, p P, it *Item, now time.Time) []Placement {
	out := make([]Placement, 0, len(it.Requests))
	for _, a := range it.Requests {
		w := c.seek(a, now, p.FullestFirst(), func(w *Worker) float64 { return p.Score(c, w, a) })
		if w == nil {
			version := c.version
			for _, pl := range out {
				c.Release(pl.Task)
			}
			c.version = version // what was given back had been free
			it.tried = c.version + 1
			q.reserve(c, it, now)
			return nil
		}
		c.Allocate(a, w, until(a, now))
		out = append(out, Placement{a.Task, w.ID})
	}
	return out
}

func until(a *TaskRequest, now time.Time) time.Time {
	if a.Kind == operator.Service {
		return time.Time{}
	}
	return now.Add(est(a))
}
