// Package fair is a bounded queue that shares what leaves it among its users
// by weight, whatever each of them puts in.
package fair

import "container/heap"

// Queue is start-time fair queueing: each item gets a finish tag that lies
// 1/weight behind its user's last one, and the lowest tag leaves first. The
// zero value is empty and unbounded.
type Queue[T any] struct {
	Max         int // items at most; zero: no bound
	items       itemHeap[T]
	lastTags    map[string]float64 // finish tag of each user's latest item
	virtualTime float64            // tag of the item that left last
	lastSeq     uint64
}

// Item is a place in a Queue.
type Item[T any] struct {
	Value     T
	User      string
	finishTag float64
	seq       uint64
	heapIndex int // -1 once it has left
}

// Len is the number of items waiting.
func (q *Queue[T]) Len() int { return len(q.items) }

// Push adds v for user; nil if the queue is full. A weight of zero counts one.
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

// Pop removes the item that is next; nil if there is none.
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

// Remove takes it out of the queue and reports whether it was still there.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.heapIndex < 0 {
		return false
	}
	heap.Remove(&q.items, it.heapIndex)
	return true
}

type itemHeap[T any] []*Item[T]

// Len is for package heap.
func (h itemHeap[T]) Len() int { return len(h) }

// Less is for package heap.
func (h itemHeap[T]) Less(i, j int) bool {
	if h[i].finishTag != h[j].finishTag {
		return h[i].finishTag < h[j].finishTag
	}
	return h[i].seq < h[j].seq
}

// Swap is for package heap.
func (h itemHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push is for package heap.
func (h *itemHeap[T]) Push(x any) {
	it := x.(*Item[T])
	it.heapIndex = len(*h)
	*h = append(*h, it)
}

// Pop is for package heap.
func (h *itemHeap[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	it.heapIndex = -1
	*h = old[:len(old)-1]
	return it
}
