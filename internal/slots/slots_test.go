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
	drain, out := m(0, 8), m(0, 8)
	drain.Draining, out.UnusableUntil = true, ms(10)
	assert.Equal(t, PickMinion([]*Minion{m(3, 8), m(1, 8), m(2, 8)}, t0), 1)
	assert.Equal(t, PickMinion([]*Minion{m(8, 8), m(2, 2)}, t0), -1)
	assert.Equal(t, PickMinion([]*Minion{drain, out}, t0), -1)
	assert.Equal(t, PickMinion([]*Minion{drain, out}, ms(10)), 1)
}

func TestEjectHasAFloor(t *testing.T) {
	var ms4 []*Minion
	for range 4 {
		ms4 = append(ms4, &Minion{Slots: 8, Limit: 8, ConsecutiveFailures: ejectAfter})
	}
	n := 0
	for _, m := range ms4 {
		if ShouldEject(ms4, m, t0) {
			m.UnusableUntil = t0.Add(ejectFor)
			n++
		}
	}
	assert.Equal(t, n, 2)
}

func hold(names ...string) (hs []Assignment) {
	for _, n := range names {
		hs = append(hs, Assignment{Name: n, Pool: "p", Addr: n, Slots: 2})
	}
	return hs
}

func take(t *Table, limit int) (*Slot, error) {
	now := time.Now()
	return t.Acquire(context.Background(), "p", "m", 1, now.Add(time.Duration(limit)*time.Millisecond), now)
}

func TestQueueIsBoundedAndRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &Table{}
		_, err := take(tab, 10)
		assert.ErrorIs(t, err, ErrNoMinion)
		tab.SetAssignments(hold("a"), 1, time.Now())
		a, err := take(tab, 10)
		assert.NilError(t, err)
		time.Sleep(80 * time.Millisecond)
		tab.Release(a, Succeeded, time.Now())
		x, _ := take(tab, 10)
		y, _ := take(tab, 10)
		assert.Assert(t, x != nil && y != nil)
		go func() { _, _ = take(tab, 1000) }()
		synctest.Wait()
		_, err = take(tab, 1000)
		assert.ErrorIs(t, err, ErrQueueFull)
		_, err = take(tab, 1)
		assert.ErrorIs(t, err, ErrDeadline, "at once")
		time.Sleep(2 * time.Second)
	})
}

func TestAbandonedKeepsItsSlot(t *testing.T) {
	tab := &Table{}
	tab.SetAssignments([]Assignment{{Name: "a", Pool: "p", Addr: "a", Slots: 1}}, 9, time.Now())
	s, err := take(tab, 10)
	assert.NilError(t, err)
	tab.Release(s, Abandoned, time.Now())
	_, err = take(tab, 10)
	assert.ErrorIs(t, err, ErrDeadline)
	assert.Equal(t, len(tab.IdleChecks(time.Now())), 1)
	tab.ConfirmIdle("a", time.Now())
	_, err = take(tab, 10)
	assert.NilError(t, err)
}

// Who waits where the last minion is given up is sent elsewhere at once.
func TestWaitersAreSentAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &Table{}
		h := []Assignment{{Name: "a", Pool: "p", Addr: "a", Slots: 1}}
		tab.SetAssignments(h, 9, time.Now())
		s, err := take(tab, 10)
		assert.NilError(t, err)
		got := make(chan error, 1)
		go func() {
			_, err := take(tab, 60000)
			got <- err
		}()
		synctest.Wait()
		h[0].Draining = true
		tab.SetAssignments(h, 9, time.Now())
		assert.ErrorIs(t, <-got, ErrNoMinion)
		tab.Release(s, Succeeded, time.Now())
	})
}

func TestQuietUntilSeenIdle(t *testing.T) {
	tab := &Table{}
	h := hold("a")
	h[0].QuarantineUntil = time.Now().Add(time.Minute)
	tab.SetAssignments(h, 9, time.Now())
	_, err := take(tab, 5)
	assert.ErrorIs(t, err, ErrDeadline)
	tab.ConfirmIdle("a", time.Now())
	_, err = take(tab, 5)
	assert.NilError(t, err)
}

func TestDrainReportsWhenIdle(t *testing.T) {
	tab := &Table{}
	tab.SetAssignments(hold("a"), 9, time.Now())
	s, err := take(tab, 10)
	assert.NilError(t, err)
	h := hold("a")
	h[0].Draining = true
	assert.Equal(t, len(tab.SetAssignments(h, 9, time.Now())), 0)
	_, released := tab.Release(s, Succeeded, time.Now())
	assert.Assert(t, released)
	assert.DeepEqual(t, tab.SetAssignments(h, 9, time.Now()), []string{"a"})
	_, err = take(tab, 10)
	assert.Assert(t, err != nil)
}

// TestSlotsAgainstOracle takes and gives slots in any order, with minions that
// come, go and drain, and counts what each minion really has in use.
func TestSlotsAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tab := &Table{}
		inUse := map[*Minion]int{} // by what was handed out
		ghosts := map[*Minion]int{}
		var out []*Slot
		now := t0
		held := map[string]bool{}
		set := func(drain string) {
			var hs []Assignment
			for n := range held {
				hs = append(hs, Assignment{Name: n, Pool: "p", Addr: n, Slots: 2, Draining: n == drain})
			}
			for _, n := range tab.SetAssignments(hs, 4, now) {
				if m := tab.all[n]; inUse[m]+ghosts[m] != 0 {
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
				s, err := tab.Acquire(context.Background(), "p", "m", 1, now, now) // no patience: no waiting
				if err != nil {
					if !errors.Is(err, ErrNoMinion) && !errors.Is(err, ErrDeadline) && !errors.Is(err, ErrQueueFull) {
						t.Fatalf("take: %v", err)
					}
					return
				}
				inUse[s.Minion]++
				if n := inUse[s.Minion] + ghosts[s.Minion]; n > s.Minion.Slots {
					t.Fatalf("%s has %d in use of %d", s.Name, n, s.Minion.Slots)
				}
				if s.Minion.Draining {
					t.Fatalf("%s is to be given up and was given out", s.Name)
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
					ghosts[s.Minion]++
				}
				tab.Release(s, r, now)
			},
			"idle": func(t *rapid.T) {
				n := name(t)
				if m := tab.all[n]; m != nil {
					ghosts[m] = 0
				}
				tab.ConfirmIdle(n, now)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for n, m := range tab.all {
					if m.Busy != inUse[m]+ghosts[m] {
						t.Fatalf("%s counts %d, in use are %d and %d ghosts", n, m.Busy, inUse[m], ghosts[m])
					}
				}
			},
		})
	})
}
