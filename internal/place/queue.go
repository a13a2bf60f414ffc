package place

import (
	"cmp"
	"slices"
	"time"

	"jasminestep/pkg/operator"
)

// Item is the unit of placement: a single task, or all waiting tasks of a gang.
type Item struct {
	Requests []*TaskRequest // never empty
	Gang     bool

	rank                float64
	failedVersion       uint64       // 1 + Cluster.version at the last failed attempt
	reservation         *Reservation // workers reserved for it
	nextReservation     time.Time    // earliest time of the next reservation after one has expired
	expiredReservations int          // number of reservations that have expired
}

// Key returns the key of the item in the queue: the job of a gang, otherwise
// the task.
func (it *Item) Key() string {
	if it.Gang {
		return it.Requests[0].Job
	}
	return it.Requests[0].Task
}

// resumes reports whether all tasks of the item ran before.
func (it *Item) resumes() bool {
	return !slices.ContainsFunc(it.Requests, func(a *TaskRequest) bool { return !a.Resumes })
}

// shape identifies single-task requests for which a search has the same result.
type shape struct {
	size  operator.Size
	rack  string
	claim bool // a search for room to claim
}

// Queue holds the items that wait for placement. The zero value is empty.
type Queue struct {
	sorted       []*Item // in descending order of rank as of rankedAt
	unranked     []*Item // added since the last call of Decide
	byKey        map[string]*Item
	reservations []*Reservation
	rankedAt     time.Time
}

// rerankInterval is the time after which all items are ranked again. Shares and
// ages change slowly, so older ranks are good enough until then.
const rerankInterval = 200 * time.Millisecond

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.byKey) }

// Get returns the queued item with that key, or nil.
func (q *Queue) Get(key string) *Item { return q.byKey[key] }

// Add queues an item. It replaces a queued item with the same key.
func (q *Queue) Add(it *Item) {
	if q.byKey == nil {
		q.byKey = map[string]*Item{}
	}
	q.Remove(it.Key())
	q.byKey[it.Key()] = it
	q.unranked = append(q.unranked, it)
}

// Remove removes an item and releases its reservation.
func (q *Queue) Remove(key string) {
	it := q.byKey[key]
	if it == nil {
		return
	}
	delete(q.byKey, key)
	q.releaseReservation(it)
}

func (q *Queue) releaseReservation(it *Item) {
	if it.reservation == nil {
		return
	}
	it.reservation.release()
	q.reservations = slices.DeleteFunc(q.reservations, func(r *Reservation) bool { return r == it.reservation })
	it.reservation = nil
}

// Position returns the number of items ranked before the given one, or -1 if it
// is not queued. An item that is not ranked yet counts as last.
func (q *Queue) Position(key string) int {
	it := q.byKey[key]
	if it == nil {
		return -1
	}
	if i := slices.Index(q.sorted, it); i >= 0 {
		return i
	}
	return len(q.sorted)
}

// sortQueue ranks new items, and all items every rerankInterval, and sorts them
// in descending order of rank.
func sortQueue[P Policy](q *Queue, p P, v *PolicyView) {
	stale := v.Now.Sub(q.rankedAt) >= rerankInterval || v.Now.Before(q.rankedAt)
	if !stale && len(q.unranked) == 0 {
		return
	}
	fresh := slices.DeleteFunc(q.unranked, func(it *Item) bool { return q.byKey[it.Key()] != it })
	for _, it := range fresh {
		it.rank = p.Rank(v, it)
	}
	if stale {
		q.sorted = slices.DeleteFunc(q.sorted, func(it *Item) bool { return q.byKey[it.Key()] != it })
		for _, it := range q.sorted {
			it.rank = p.Rank(v, it)
		}
		slices.SortStableFunc(q.sorted, compareRank)
		q.rankedAt = v.Now
	}
	slices.SortStableFunc(fresh, compareRank)
	q.sorted = mergeByRank(q.sorted, fresh)
	q.unranked = nil
}

// compareRank orders items by urgency, then those that resume before those that
// have not begun, then by rank.
func compareRank(a, b *Item) int {
	if d := cmp.Compare(b.Requests[0].Urgency, a.Requests[0].Urgency); d != 0 {
		return d
	}
	if x := a.resumes(); x != b.resumes() {
		if x {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.rank, a.rank)
}

// mergeByRank merges two sorted lists. Items of a precede items of b with the
// same rank.
func mergeByRank(a, b []*Item) []*Item {
	if len(b) == 0 {
		return a
	}
	out := make([]*Item, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if compareRank(a[0], b[0]) <= 0 {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return append(append(out, a...), b...)
}

// Items returns the queued items in no particular order.
func (q *Queue) Items() []*Item {
	out := make([]*Item, 0, len(q.byKey))
	for _, it := range q.byKey {
		out = append(out, it)
	}
	return out
}
