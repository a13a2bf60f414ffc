package place

import (
	"slices"
	"time"

	"jasminestep/pkg/operator"
)

// Item is what is placed as one: a single task, or all waiting tasks of a gang.
type Item struct {
	Requests []*TaskRequest // never empty
	Gang     bool

	rank                float64
	failedVersion       uint64       // cluster version at which it last did not fit
	reservation         *Reservation // capacity being kept for it
	nextReservation     time.Time    // a gang whose reservation lapsed makes none before this
	expiredReservations int          // reservations that lapsed
}

// Key is the name under which the item waits.
func (it *Item) Key() string {
	if it.Gang {
		return it.Requests[0].Job
	}
	return it.Requests[0].Task
}

// shape is what makes two single asks alike to a search.
type shape struct {
	size operator.Size
	rack string
}

// Queue is what waits. The zero value is empty.
type Queue struct {
	sorted       []*Item // by falling rank as of ranked
	unranked     []*Item // not ranked yet
	byKey        map[string]*Item
	reservations []*Reservation
	rankedAt     time.Time
}

// rerank is how old an order may be: shares and ages change slowly.
const rerankInterval = 200 * time.Millisecond

// Len is the number of items waiting.
func (q *Queue) Len() int { return len(q.byKey) }

// Find returns the waiting item of that key, nil if there is none.
func (q *Queue) Get(key string) *Item { return q.byKey[key] }

// Add lets an item wait; one that waits already is replaced.
func (q *Queue) Add(it *Item) {
	if q.byKey == nil {
		q.byKey = map[string]*Item{}
	}
	q.Remove(it.Key())
	q.byKey[it.Key()] = it
	q.unranked = append(q.unranked, it)
}

// Drop removes an item and gives its reservation back.
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

// Position is how many items are ranked before it; -1 if it does not wait.
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

// order brings items into falling order of rank.
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

func compareRank(a, b *Item) int {
	switch {
	case a.rank > b.rank:
		return -1
	case a.rank < b.rank:
		return 1
	}
	return 0
}

// merge joins two lists in order; what was in a goes first among equals.
func mergeByRank(a, b []*Item) []*Item {
	if len(b) == 0 {
		return a
	}
	out := make([]*Item, 0, len(a)+len(b))
	for len(a) > 0 && len(b) > 0 {
		if a[0].rank >= b[0].rank {
			out, a = append(out, a[0]), a[1:]
		} else {
			out, b = append(out, b[0]), b[1:]
		}
	}
	return append(append(out, a...), b...)
}

// Items returns what waits, in no particular order.
func (q *Queue) Items() []*Item {
	out := make([]*Item, 0, len(q.byKey))
	for _, it := range q.byKey {
		out = append(out, it)
	}
	return out
}
