package fair

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestShareByWeight(t *testing.T) {
	q := &Queue[string]{}
	for range 300 {
		q.Push("a", "a", 3)
		q.Push("b", "b", 1)
	}
	n := map[string]int{}
	for range 200 {
		n[q.Pop().Value]++
	}
	assert.Equal(t, n["a"], 150)
}

// Guards against a user with many queued items delaying the first item of
// another user.
func TestFloodDoesNotDelayOthers(t *testing.T) {
	q := &Queue[string]{}
	for range 1000 {
		q.Push("flood", "a", 1)
	}
	q.Pop()
	q.Push("one", "b", 1)
	for i := range 3 {
		if q.Pop().Value == "one" {
			return
		}
		assert.Assert(t, i < 2, "the first item of b waits for more than two items of a")
	}
}

func TestBoundAndRemove(t *testing.T) {
	q := &Queue[int]{Max: 2}
	a := q.Push(1, "a", 0)
	b := q.Push(2, "a", 0)
	assert.Assert(t, q.Push(3, "a", 0) == nil)
	assert.Assert(t, q.Remove(a) && !q.Remove(a))
	assert.Equal(t, q.Pop(), b)
	assert.Assert(t, !q.Remove(b))
	assert.Assert(t, q.Pop() == nil)
}
