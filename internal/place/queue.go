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

	rank  float64
	tried uint64       // cluster version at which it last did not fit
	resv  *Reservation // capacity being kept for it
	rest  time.Time    // a gang whose reservation lapsed makes none before this
	tries int          // reservations that lapsed
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
	items  []*Item // by falling rank as of ranked
	fresh  []*Item // not ranked yet
	keys   map[string]*Item
	resvs  []*Reservation
	ranked time.Time
}

// rerank is how old an order may be: shares and ages change slowly.
const rerank = 200 * time.Millisecond

// Len is the number of items waiting.
func (q *Queue) Len() int { return len(q.keys) }

// Find returns the waiting item of that key, nil if there is none.
func (q *Queue) Get(key string) *Item { return q.keys[key] }

// Add lets an item wait; one that waits already is replaced.
func (q *Queue) Add(it *Item) {
	if q.keys == nil {
		q.keys = map[string]*Item{}
	}
	q.Remove(it.Key())
	q.keys[it.Key()] = it
	q.fresh = append(q.fresh, it)
}

// Drop removes an item and gives its reservation back.
func (q *Queue) Remove(key string) {
	it := q.keys[key]
	if it == nil {
		return
	}
	delete(q.keys, key)
	q.release(it)
}

func (q *Queue) release(it *Item) {
	if it.resv == nil {
		return
	}
	it.resv.close()
	q.resvs = slices.DeleteFunc(q.resvs, func(r *Reservation) bool { return r == it.resv })
	it.resv = nil
}

// Position is how many items are ranked before it; -1 if it does not wait.
func (q *Queue) Position(key string) int {
	it := q.keys[key]
	if it == nil {
		return -1
	}
	if i := slices.Index(q.items, it); i >= 0 {
		return i
	}
	return len(q.items)
}

// order brings items into falling order of rank.
func order[P Policy](q *Queue, p P, v *PolicyView) {
	stale := v.Now.Sub(q.ranked) >= rerank || v.Now.Before(q.ranked)
	if !stale && len(q.fresh) == 0 {
		return
	}
	fresh := slices.DeleteFunc(q.fresh, func(it *Item) bool { return q.keys[it.Key()] != it })
	for _, it := range fresh {
		it.rank = p.Rank(v, it)
	}
	if stale {
		q.items = slices.DeleteFunc(q.items, func(it *Item) bool { return q.keys[it.Key()] != it })
		for _, it := range q.items {
			it.rank = p.Rank(v, it)
		}
		slices.SortStableFunc(q.items, byRank)
		q.ranked = v.Now
	}
	slices.SortStableFunc(fresh, byRank)
	q.items = merge(q.items, fresh)
	q.fresh = nil
}

func byRank(a, b *Item) int {
	switch {
	case a.rank > b.rank:
		return -1
	case a.rank < b.rank:
		return 1
	}
	return 0
}

// merge joins two lists in order; what was in a goes first among equals.
func merge(a, b []*Item) []*Item {
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
	out := make([]*Item, 0, len(q.keys))
	for _, it := range q.keys {
		out = append(out, it)
	}
	return out
}
