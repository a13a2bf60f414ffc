package place

import (
	"slices"
	"strings"
	"time"

	"jasminestep/pkg/operator"
)

// Reservation keeps workers for a gang until enough of them are free. Others
// are placed there only if they are expected to end before the gang can start.
//
// Expectations are often wrong, so a reservation ends by itself. The gang may
// then make another after a rest, and each lasts twice as long as the one
// before: work that keeps overrunning cannot starve the gang, and a gang whose
// workers never come free does not keep them idle for ever.
type Reservation struct {
	Item          *Item
	Workers       []*Worker
	ExpectedStart time.Time // when the gang is expected to fit
	Expires       time.Time // when the reservation ends in any case

	cluster *Cluster
}

// Bounds on reservations.
const (
	maxReservations = 1                // at a time, so that most of the zone stays open
	minHold         = 5 * time.Second  // shortest reservation
	maxHold         = 10 * time.Minute // longest
	maxShare        = 0.5              // of a zone's workers reserved by one gang that could use fewer
	gangPatience    = 5 * time.Second  // waiting time before a gang reserves
)

// admits reports whether a may use a reserved worker: it is the gang's own, or
// is expected to be gone before the gang starts.
func (r *Reservation) admits(a *TaskRequest, now time.Time) bool {
	if a.Job == r.Item.Requests[0].Job || a.Urgency > r.Item.Requests[0].Urgency {
		return true
	}
	return a.Kind != operator.Service && a.ExpectedRuntime > 0 && now.Add(a.ExpectedRuntime).Before(r.ExpectedStart)
}

func (r *Reservation) close() {
	r.cluster.version++ // others may fit now
	for _, w := range r.Workers {
		if w.resv == r {
			w.resv = nil
		}
	}
}

func (r *Reservation) drop(w *Worker) {
	if r == nil {
		return
	}
	w.resv = nil
	r.Workers = slices.DeleteFunc(r.Workers, func(x *Worker) bool { return x == w })
}

// expire ends the reservations whose time is over.
func (q *Queue) expire(now time.Time) {
	for _, r := range slices.Clone(q.resvs) {
		if now.Before(r.Expires) {
			continue
		}
		it := r.Item
		q.release(it)
		it.tries++
		it.rest = now.Add(r.Expires.Sub(r.ExpectedStart) / 2)
		if it.rest.Before(now.Add(minHold)) {
			it.rest = now.Add(minHold)
		}
	}
}

// reserve keeps the workers that are expected to be free soonest for it.
func (q *Queue) reserve(c *Cluster, it *Item, now time.Time) {
	a := it.Requests[0]
	if it.resv != nil || len(q.resvs) >= maxReservations || now.Before(it.rest) || now.Sub(a.Submitted) < gangPatience {
		return
	}
	type cand struct {
		w    *Worker
		at   time.Time
		room int64 // gang tasks that fit once it is free
	}
	var cs []cand
	for _, w := range c.Workers {
		if w.Unschedulable || w.resv != nil || a.Rack != "" && a.Rack != w.Rack {
			continue
		}
		if at, room := clears(w, a.Size, now); room > 0 {
			cs = append(cs, cand{w, at, room})
		}
	}
	slices.SortFunc(cs, func(x, y cand) int {
		if d := x.at.Compare(y.at); d != 0 {
			return d
		}
		if x.room != y.room {
			return int(y.room - x.room)
		}
		return strings.Compare(x.w.ID, y.w.ID)
	})
	r := &Reservation{Item: it, ExpectedStart: now, cluster: c}
	need := int64(len(it.Requests))
	for _, x := range cs {
		if need <= 0 {
			break
		}
		need -= x.room
		r.Workers = append(r.Workers, x.w)
		if x.at.After(r.ExpectedStart) {
			r.ExpectedStart = x.at
		}
	}
	if need > 0 {
		return // not even all of them would do
	}
	hold := min(max(2*r.ExpectedStart.Sub(now), minHold)<<min(it.tries, 6), maxHold)
	r.Expires = now.Add(hold)
	for _, w := range r.Workers {
		w.resv = r
	}
	it.resv = r
	q.resvs = append(q.resvs, r)
}

// clears tells when all of w's tasks that end by themselves are expected to
// have ended, and how many tasks of that size fit then.
func clears(w *Worker, size operator.Size, now time.Time) (at time.Time, room int64) {
	free, at := w.Free(), now
	if n := TasksThatFit(free, size); n > 0 {
		return now, n
	}
	for _, al := range w.Tasks {
		if al.ExpectedEnd.IsZero() {
			continue
		}
		free = free.Add(al.Size)
		end := al.ExpectedEnd
		if end.Before(now) {
			// It has overrun; there is no telling, so assume as long again.
			end = now.Add(now.Sub(end))
		}
		if end.After(at) {
			at = end
		}
	}
	return at, TasksThatFit(free, size)
}

// Room is how many tasks of that size fit into free.
func TasksThatFit(free, size operator.Size) int64 {
	const unlimited = 1 << 30
	n := int64(unlimited)
	for _, p := range [3][2]int64{{free.CPU, size.CPU}, {free.Memory, size.Memory}, {free.Accel, size.Accel}} {
		if p[1] > 0 {
			n = min(n, max(0, p[0])/p[1])
		}
	}
	return n
}
