// Package fair is a bounded queue that shares what leaves it among its users
// by weight, whatever each of them puts in.
package fair

import "container/heap"

// Queue is start-time fair queueing: each item gets a finish tag that lies
// 1/weight behind its user's last one, and the lowest tag leaves first. The
// zero value is empty and unbounded.
type Queue[T any] struct {
	Max  int // items at most; zero: no bound
	h    items[T]
	last map[string]float64 // finish tag of each user's latest item
	now  float64            // tag of the item that left last
	n    uint64
}

// Item is a place in a Queue.
type Item[T any] struct {
	Value T
	User  string
	tag   float64
	n     uint64
	pos   int // -1 once it has left
}

// Len is the number of items waiting.
func (q *Queue[T]) Len() int { return len(q.h) }

// Push adds v for user; nil if the queue is full. A weight of zero counts one.
func (q *Queue[T]) Push(v T, user string, weight float64) *Item[T] {
	if q.Max > 0 && len(q.h) >= q.Max {
		return nil
	}
	if weight <= 0 {
		weight = 1
	}
	if q.last == nil {
		q.last = map[string]float64{}
	}
	q.n++
	it := &Item[T]{Value: v, User: user, tag: max(q.now, q.last[user]) + 1/weight, n: q.n}
	q.last[user] = it.tag
	heap.Push(&q.h, it)
	return it
}

// Pop removes the item that is next; nil if there is none.
func (q *Queue[T]) Pop() *Item[T] {
	if len(q.h) == 0 {
		return nil
	}
	it := heap.Pop(&q.h).(*Item[T])
	q.now = it.tag
	if len(q.h) == 0 {
		q.now = 0
		clear(q.last)
	}
	return it
}

// Remove takes it out of the queue and reports whether it was still there.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	if it.pos < 0 {
		return false
	}
	heap.Remove(&q.h, it.pos)
	return true
}

type items[T any] []*Item[T]

// Len is for package heap.
func (h items[T]) Len() int { return len(h) }

// Less is for package heap.
func (h items[T]) Less(i, j int) bool {
	if h[i].tag != h[j].tag {
		return h[i].tag < h[j].tag
	}
	return h[i].n < h[j].n
}

// Swap is for package heap.
func (h items[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].pos, h[j].pos = i, j
}

// Push is for package heap.
func (h *items[T]) Push(x any) {
	it := x.(*Item[T])
	it.pos = len(*h)
	*h = append(*h, it)
}

// Pop is for package heap.
func (h *items[T]) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	it.pos = -1
	*h = old[:len(old)-1]
	return it
}
