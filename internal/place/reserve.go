package place

import (
	"slices"
	"strings"
	"time"

	"jasminestep/pkg/operator"
)

// Reservation keeps workers for a gang until enough of them are free. Other
// tasks are placed on these workers only if they are expected to end before the
// gang can start.
//
// Run time estimates are often wrong, so a reservation expires. After a pause
// the gang may reserve again, each time for twice as long as before. Tasks that
// overrun their estimates thus cannot starve the gang, and a gang whose workers
// never become free does not keep them idle forever.
type Reservation struct {
	Item          *Item
	Workers       []*Worker
	ExpectedStart time.Time // when the gang is expected to fit
	Expires       time.Time // when the reservation expires

	cluster *Cluster
}

// Limits of reservations.
const (
	maxReservations    = 1                // at a time, so that most of the zone stays available
	minReservationTime = 5 * time.Second  // shortest reservation
	maxReservationTime = 10 * time.Minute // longest reservation
	maxReservedShare   = 0.5              // of a zone's workers that one gang may reserve if it could use fewer; not enforced
	reserveDelay       = 5 * time.Second  // waiting time before a gang reserves workers
)

// admits reports whether a may use a reserved worker: it belongs to the gang,
// precedes the gang, or is expected to end before the gang starts.
func (r *Reservation) admits(a *TaskRequest, now time.Time) bool {
	g := r.Item.Requests[0]
	if a.Job == g.Job || a.Urgency > g.Urgency || a.Urgency == g.Urgency && a.Resumes && !g.Resumes {
		return true
	}
	return a.Kind != operator.Service && a.ExpectedRuntime > 0 && now.Add(a.ExpectedRuntime).Before(r.ExpectedStart)
}

func (r *Reservation) release() {
	r.cluster.version++ // other tasks may fit now
	for _, w := range r.Workers {
		if w.reservation == r {
			w.reservation = nil
		}
	}
}

func (r *Reservation) removeWorker(w *Worker) {
	if r == nil {
		return
	}
	w.reservation = nil
	r.Workers = slices.DeleteFunc(r.Workers, func(x *Worker) bool { return x == w })
}

// expireReservations releases the expired reservations.
func (q *Queue) expireReservations(now time.Time) {
	for _, r := range slices.Clone(q.reservations) {
		if now.Before(r.Expires) {
			continue
		}
		it := r.Item
		q.releaseReservation(it)
		it.expiredReservations++
		it.nextReservation = now.Add(r.Expires.Sub(r.ExpectedStart) / 2)
		if it.nextReservation.Before(now.Add(minReservationTime)) {
			it.nextReservation = now.Add(minReservationTime)
		}
	}
}

// reserve reserves the workers that are expected to be free soonest for it.
func (q *Queue) reserve(c *Cluster, it *Item, now time.Time) {
	a := it.Requests[0]
	if it.reservation != nil || len(q.reservations) >= maxReservations || now.Before(it.nextReservation) || now.Sub(a.Submitted) < reserveDelay {
		return
	}
	type candidate struct {
		w    *Worker
		at   time.Time
		room int64 // number of the gang's tasks that fit then
	}
	var cs []candidate
	for _, w := range c.Workers {
		if w.Unschedulable || w.reservation != nil || a.Rack != "" && a.Rack != w.Rack {
			continue
		}
		if at, room := freeAt(w, a.Size, now); room > 0 {
			cs = append(cs, candidate{w, at, room})
		}
	}
	slices.SortFunc(cs, func(x, y candidate) int {
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
		return // even all workers together are too small
	}
	duration := min(max(2*r.ExpectedStart.Sub(now), minReservationTime)<<min(it.expiredReservations, 6), maxReservationTime)
	r.Expires = now.Add(duration)
	for _, w := range r.Workers {
		w.reservation = r
	}
	it.reservation = r
	q.reservations = append(q.reservations, r)
}

// freeAt returns when tasks of the given size are expected to fit on w, and how
// many. Unless some fit now, this is when all tasks of w but services are
// expected to have ended.
func freeAt(w *Worker, size operator.Size, now time.Time) (at time.Time, room int64) {
	free, at := w.unclaimed(), now
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
			// It has overrun its estimate; assume that it takes as long again
			// as it is overdue.
			end = now.Add(now.Sub(end))
		}
		if end.After(at) {
			at = end
		}
	}
	return at, TasksThatFit(free, size)
}

// TasksThatFit returns the number of tasks of the given size that fit into
// free.
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
