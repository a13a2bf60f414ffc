package table

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestClockBoundsTheStoresTime checks both bounds against a store whose clock has
// another origin and drifts, with answers that are old when they arrive.
func TestClockBoundsTheStoresTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		began := time.Unix(1_700_000_000, 0)
		origin := rapid.Int64Range(1, 1<<41).Draw(rt, "origin")
		rate := 1 + rapid.Float64Range(-maxDrift, maxDrift).Draw(rt, "drift")
		store := func(at time.Time) int64 { return origin + int64(rate*float64(at.Sub(began).Milliseconds())) }
		var c Clock
		now := began
		ms := func(label string, most int64) time.Duration {
			return time.Duration(rapid.Int64Range(0, most).Draw(rt, label)) * time.Millisecond
		}
		for range rapid.IntRange(1, 5).Draw(rt, "answers") {
			sent := now.Add(ms("pause", 3000))
			answered := sent.Add(ms("there", 1500))
			now = answered.Add(ms("back", 1500))
			c.Observe(store(answered), sent, now)
		}
		at := now.Add(ms("ahead", 20_000))
		latest, ok := c.Latest(at)
		assert.Assert(rt, ok && latest >= store(at), "at most %d, is %d", latest, store(at))
		reached, ok := c.Reached(store(at))
		assert.Assert(rt, ok && store(reached) >= store(at), "%d at %v, want %d", store(reached), reached, store(at))
	})
}

func TestClockOfAStoreThatJumpsIsLearnedAnew(t *testing.T) {
	var c Clock
	_, ok := c.Latest(time.Now())
	assert.Assert(t, !ok)
	now := time.Unix(1_700_000_000, 0)
	c.Observe(1_000_000, now, now)
	c.Observe(5_000, now.Add(time.Second), now.Add(time.Second))
	latest, _ := c.Latest(now.Add(time.Second))
	assert.Assert(t, latest >= 5_000 && latest < 5_010, "%d", latest)
}
