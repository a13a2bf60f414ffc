package slots

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jasminestep/internal/fixed"
)

func TestMain(m *testing.M) { fixed.Main(m, "80") }

var t0 = time.Unix(1_800_000_000, 0)

func ms(n int) time.Time { return t0.Add(time.Duration(n) * time.Millisecond) }

func TestPick(t *testing.T) {
	m := func(busy int, limit float64) *Minion { return &Minion{Slots: 8, Busy: busy, Limit: limit} }
	drain, ejected := m(0, 8), m(0, 8)
	drain.Draining, ejected.UnusableUntil = true, ms(10)
	assert.Equal(t, PickMinion([]*Minion{m(3, 8), m(1, 8), m(2, 8)}, t0), 1)
	assert.Equal(t, PickMinion([]*Minion{m(8, 8), m(2, 2)}, t0), -1)
	assert.Equal(t, PickMinion([]*Minion{drain, ejected}, t0), -1)
	assert.Equal(t, PickMinion([]*Minion{drain, ejected}, ms(10)), 1)
}

func TestEjectKeepsHalfOfThePool(t *testing.T) {
	var ms4 []*Minion
	for range 4 {
		ms4 = append(ms4, &Minion{Slots: 8, Limit: 8, ConsecutiveFailures: ejectFailures})
	}
	n := 0
	for _, m := range ms4 {
		if ShouldEject(ms4, m, t0) {
			m.UnusableUntil = t0.Add(ejectDuration)
			n++
		}
	}
	assert.Equal(t, n, 2)
}

func assignments(names ...string) (hs []Assignment) {
	for _, n := range names {
		hs = append(hs, Assignment{Name: n, Pool: "p", Addr: n, Slots: 2})
	}
	return hs
}

func acquire(t *Table, limit int) (*Slot, error) {
	now := time.Now()
	return t.Acquire(context.Background(), "p", "m", 1, now.Add(time.Duration(limit)*time.Millisecond), now)
}

func TestQueueIsBoundedAndRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &Table{}
		_, err := acquire(tab, 10)
		assert.ErrorIs(t, err, ErrNoMinion)
		tab.SetAssignments(assignments("a"), 1, time.Now())
		a, err := acquire(tab, 10)
		assert.NilError(t, err)
		time.Sleep(80 * time.Millisecond)
		tab.Release(a, Succeeded, time.Now())
		x, _ := acquire(tab, 10)
		y, _ := acquire(tab, 10)
		assert.Assert(t, x != nil && y != nil)
		go func() { _, _ = acquire(tab, 1000) }()
		synctest.Wait()
		_, err = acquire(tab, 1000)
		assert.ErrorIs(t, err, ErrQueueFull)
		_, err = acquire(tab, 1)
		assert.ErrorIs(t, err, ErrDeadline, "rejected without waiting")
		time.Sleep(2 * time.Second)
	})
}

func TestAbandonedKeepsItsSlot(t *testing.T) {
	tab := &Table{}
	tab.SetAssignments([]Assignment{{Name: "a", Pool: "p", Addr: "a", Slots: 1}}, 9, time.Now())
	s, err := acquire(tab, 10)
	assert.NilError(t, err)
	tab.Release(s, Abandoned, time.Now())
	_, err = acquire(tab, 10)
	assert.ErrorIs(t, err, ErrDeadline)
	assert.Equal(t, len(tab.IdleChecks(time.Now())), 1)
	tab.ConfirmIdle("a", "a", time.Now())
	_, err = acquire(tab, 10)
	assert.NilError(t, err)
}

// Guards against requests that stay queued until their deadline after the last
// minion of the pool has begun to drain.
func TestWaitersAreSentAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &Table{}
		h := []Assignment{{Name: "a", Pool: "p", Addr: "a", Slots: 1}}
		tab.SetAssignments(h, 9, time.Now())
		s, err := acquire(tab, 10)
		assert.NilError(t, err)
		got := make(chan error, 1)
		go func() {
			_, err := acquire(tab, 60000)
			got <- err
		}()
		synctest.Wait()
		h[0].Draining = true
		tab.SetAssignments(h, 9, time.Now())
		assert.ErrorIs(t, <-got, ErrNoMinion)
		tab.Release(s, Succeeded, time.Now())
	})
}

func TestQuarantineEndsWhenIdle(t *testing.T) {
	tab := &Table{}
	h := assignments("a")
	h[0].QuarantineUntil = time.Now().Add(time.Minute)
	tab.SetAssignments(h, 9, time.Now())
	_, err := acquire(tab, 5)
	assert.ErrorIs(t, err, ErrDeadline)
	tab.ConfirmIdle("a", "a", time.Now())
	_, err = acquire(tab, 5)
	assert.NilError(t, err)
}

func TestDrainReportsWhenIdle(t *testing.T) {
	tab := &Table{}
	tab.SetAssignments(assignments("a"), 9, time.Now())
	s, err := acquire(tab, 10)
	assert.NilError(t, err)
	h := assignments("a")
	h[0].Draining = true
	assert.Equal(t, len(tab.SetAssignments(h, 9, time.Now())), 0)
	_, released := tab.Release(s, Succeeded, time.Now())
	assert.Assert(t, released)
	assert.DeepEqual(t, tab.SetAssignments(h, 9, time.Now()), []string{"a"})
	_, err = acquire(tab, 10)
	assert.Assert(t, err != nil)
}

// TestSlotsAgainstOracle acquires and releases slots in random order while
// minions are added, removed and drained, and compares the counts with those of
// a plain model.
func TestSlotsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := &Table{}
		inUse := map[*Minion]int{} // slots acquired and not released
		abandoned := map[*Minion]int{}
		var out []*Slot
		now := t0
		held := map[string]bool{}
		set := func(drain string) {
			var hs []Assignment
			for n := range held {
				hs = append(hs, Assignment{Name: n, Pool: "p", Addr: n, Slots: 2, Draining: n == drain})
			}
			for _, n := range tab.SetAssignments(hs, 4, now) {
				if m := tab.byName[n]; inUse[m]+abandoned[m] != 0 {
					t.Fatalf("%s released with %d in use", n, inUse[m])
				}
			}
		}
		name := func(t *rapid.T) string { return fmt.Sprintf("m%d", rapid.IntRange(0, 2).Draw(t, "minion")) }
		t.Repeat(map[string]func(*rapid.T){
			"hold":  func(t *rapid.T) { held[name(t)] = true; set("") },
			"lose":  func(t *rapid.T) { delete(held, name(t)); set("") },
			"drain": func(t *rapid.T) { set(name(t)) },
			"take": func(t *rapid.T) {
				s, err := tab.Acquire(context.Background(), "p", "m", 1, now, now) // the deadline is now, so that Acquire never waits
				if err != nil {
					if !errors.Is(err, ErrNoMinion) && !errors.Is(err, ErrDeadline) && !errors.Is(err, ErrQueueFull) {
						t.Fatalf("take: %v", err)
					}
					return
				}
				inUse[s.Minion]++
				if n := inUse[s.Minion] + abandoned[s.Minion]; n > s.Minion.Slots {
					t.Fatalf("%s has %d of %d slots in use", s.Name, n, s.Minion.Slots)
				}
				if s.Minion.Draining {
					t.Fatalf("a slot of %s was granted although it is draining", s.Name)
				}
				out = append(out, s)
			},
			"give": func(t *rapid.T) {
				if len(out) == 0 {
					return
				}
				s := out[0]
				out = out[1:]
				r := rapid.SampledFrom([]Result{NotSent, Succeeded, Failed, Abandoned}).Draw(t, "result")
				inUse[s.Minion]--
				if r == Abandoned {
					abandoned[s.Minion]++
				}
				tab.Release(s, r, now)
			},
			"idle": func(t *rapid.T) {
				n := name(t)
				if m := tab.byName[n]; m != nil {
					abandoned[m] = 0
				}
				tab.ConfirmIdle(n, n, now)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for n, m := range tab.byName {
					if m.Busy != inUse[m]+abandoned[m] {
						t.Fatalf("%s: Busy is %d, want %d acquired + %d abandoned", n, m.Busy, inUse[m], abandoned[m])
					}
				}
			},
		})
	})
}

// What a process has said says nothing of the one that has its name now: requests
// of the former owner may run there, and it takes requests.
func TestStatusIsOfOneAddress(t *testing.T) {
	tab := &Table{}
	h := assignments("a")
	tab.SetAssignments(h, 9, time.Now())
	h[0].Addr, h[0].QuarantineUntil = "b", time.Now().Add(time.Minute)
	tab.SetAssignments(h, 9, time.Now())
	tab.ConfirmIdle("a", "a", time.Now())
	_, err := acquire(tab, 5)
	assert.ErrorIs(t, err, ErrDeadline)
	tab.ConfirmIdle("a", "b", time.Now())
	tab.SetLeaving("a", "a", true, time.Now())
	_, err = acquire(tab, 5)
	assert.NilError(t, err)
	tab.SetLeaving("a", "b", true, time.Now())
	_, err = acquire(tab, 5)
	assert.ErrorIs(t, err, ErrNoMinion)
}
