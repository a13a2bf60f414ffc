// Package fair implements a bounded queue that is shared fairly, by weight,
// among its users, however many items each of them adds.
package fair

import "container/heap"

// Queue implements self-clocked fair queueing. Each item gets a finish tag that
// is 1/weight greater than the user's previous tag or the virtual time,
// whichever is greater. Pop returns the item with the lowest tag. The zero
// value is empty and unbounded.
type Queue[T any] struct {
	Max         int // maximum number of items; zero: unbounded
	items       itemHeap[T]
	lastTags    map[string]float64 // finish tag of each user's latest item
	virtualTime float64            // finish tag of the last item popped
	lastSeq     uint64
}

// Item is an item of a Queue.
type Item[T any] struct {
	Value     T
	User      string
	finishTag float64
	seq       uint64
	heapIndex int // -1 once removed
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds v for user. It returns nil if the queue is full. A weight of zero
// or less counts as one.
func (q *Queue[T]) Push(v T, user string, weight float64) *Item[T] {
	if q.Max > 0 && len(q.items) >= q.Max {
		return nil
	}
	if weight <= 0 {
		weight = 1
	}
	if q.lastTags == nil {
		q.lastTags = map[string]float64{}
	}
	q.lastSeq++
	it := &Item[T]{Value: v, User: user, finishTag: max(q.virtualTime, q.lastTags[user]) + 1/weight, seq: q.lastSeq}
	q.lastTags[user] = it.finishTag
	heap.Push(&q.items, it)
	return it
}

// Pop removes and returns the item with the lowest finish tag, or nil if the
// queue is empty.
func (q *Queue[T]) Pop() *Item[T] {
	if len(q.items) == 0 {
		return nil
	}
	it := heap.Pop(&q.items).(*Item[T])
	q.virtualTime = it.finishTag
	if len(q.items) == 0 {
		q.virtualTime = 0
		clear(q.lastTags)
	}
	return it
}

// Remove removes an item and reports whether it was still queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.heapIndex < 0 {
		return false
	}
	heap.Remove(&q.items, it.heapIndex)
	return true
}

type itemHeap[T any] []*Item[T]

// Len implements heap.Interface.
func (h itemHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	it.heapIndex = -1
	*h = old[:len(old)-1]
	return it
}
