package route

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/slots"
)

func load(free, queue, n int) slots.Load {
	return slots.Load{Free: free, Queue: queue, Slots: n, Wait: time.Duration(queue) * time.Millisecond}
}

func first(ts ...Target) string {
	got := RankTargets(ts, rand.New(rand.NewPCG(1, 1)))
	if len(got) == 0 {
		return "none"
	}
	return got[0].ID
}

func TestChoose(t *testing.T) {
	own := Target{Load: load(3, 0, 8)}
	ownFull := Target{Load: load(0, 9, 8)}
	near := Target{ID: "near", Load: load(4, 0, 8)}
	nearFull := Target{ID: "full", Load: load(0, 2, 8)}
	rushed := Target{ID: "rushed", Load: load(4, 0, 8), SentSinceLoad: 9}
	far := Target{ID: "far", OtherZone: true, Load: load(8, 0, 8)}
	assert.Equal(t, first(near, own, far), "")
	assert.Equal(t, first(ownFull, near, far), "near")
	assert.Equal(t, first(ownFull, nearFull), "full")
	assert.Equal(t, first(rushed, near), "near")
	assert.Equal(t, first(Target{Load: load(0, 40, 8)}, far), "far", "waiting here costs more than the distance")
	assert.Equal(t, first(nearFull, far), "full")
	assert.Equal(t, first(Target{}, far), "far", "nothing of the pool here")
	assert.Equal(t, first(Target{}), "none")
}
