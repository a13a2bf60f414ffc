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

func bestTarget(ts ...Target) string {
	got := RankTargets(ts, rand.New(rand.NewPCG(1, 1)))
	if len(got) == 0 {
		return "none"
	}
	return got[0].ID
}

func TestRankTargets(t *testing.T) {
	own := Target{Load: load(3, 0, 8)}
	ownFull := Target{Load: load(0, 9, 8)}
	near := Target{ID: "near", Load: load(4, 0, 8)}
	nearFull := Target{ID: "full", Load: load(0, 2, 8)}
	overloaded := Target{ID: "rushed", Load: load(4, 0, 8), SentSinceLoad: 9}
	far := Target{ID: "far", OtherZone: true, Load: load(8, 0, 8)}
	assert.Equal(t, bestTarget(near, own, far), "")
	assert.Equal(t, bestTarget(ownFull, near, far), "near")
	assert.Equal(t, bestTarget(ownFull, nearFull), "full")
	assert.Equal(t, bestTarget(overloaded, near), "near")
	assert.Equal(t, bestTarget(Target{Load: load(0, 40, 8)}, far), "far", "the wait in this zone exceeds crossZoneCost")
	assert.Equal(t, bestTarget(nearFull, far), "full")
	assert.Equal(t, bestTarget(Target{}, far), "far", "this entry has no slots of the pool")
	assert.Equal(t, bestTarget(Target{}), "none")
}
