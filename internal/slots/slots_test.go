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
	drain.Drain, out.Until = true, ms(10)
	assert.Equal(t, Pick([]*Minion{m(3, 8), m(1, 8), m(2, 8)}, t0), 1)
	assert.Equal(t, Pick([]*Minion{m(8, 8), m(2, 2)}, t0), -1)
	assert.Equal(t, Pick([]*Minion{drain, out}, t0), -1)
	assert.Equal(t, Pick([]*Minion{drain, out}, ms(10)), 1)
}

func TestEjectHasAFloor(t *testing.T) {
	var ms4 []*Minion
	for range 4 {
		ms4 = append(ms4, &Minion{Slots: 8, Limit: 8, Fails: ejectAfter})
	}
	n := 0
	for _, m := range ms4 {
		if Eject(ms4, m, t0) {
			m.Until = t0.Add(ejectFor)
			n++
		}
	}
	assert.Equal(t, n, 2)
}

func hold(names ...string) (hs []Held) {
	for _, n := range names {
		hs = append(hs, Held{Name: n, Pool: "p", Addr: n, Slots: 2})
	}
	return hs
}

func take(t *Table, limit int) (*Slot, error) {
	now := time.Now()
	return t.Take(context.Background(), "p", "m", 1, now.Add(time.Duration(limit)*time.Millisecond), now)
}

func TestQueueIsBoundedAndRefusesEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &Table{}
		_, err := take(tab, 10)
		assert.ErrorIs(t, err, ErrNone)
		tab.Set(hold("a"), 1, time.Now())
		a, err := take(tab, 10)
		assert.NilError(t, err)
		time.Sleep(80 * time.Millisecond)
		tab.Give(a, Good, time.Now())
		x, _ := take(tab, 10)
		y, _ := take(tab, 10)
		assert.Assert(t, x != nil && y != nil)
		go func() { _, _ = take(tab, 1000) }()
		synctest.Wait()
		_, err = take(tab, 1000)
		assert.ErrorIs(t, err, ErrFull)
		_, err = take(tab, 1)
		assert.ErrorIs(t, err, ErrLate, "at once")
		time.Sleep(2 * time.Second)
	})
}

func TestAbandonedKeepsItsSlot(t *testing.T) {
	tab := &Table{}
	tab.Set([]Held{{Name: "a", Pool: "p", Addr: "a", Slots: 1}}, 9, time.Now())
	s, err := take(tab, 10)
	assert.NilError(t, err)
	tab.Give(s, Abandoned, time.Now())
	_, err = take(tab, 10)
	assert.ErrorIs(t, err, ErrLate)
	assert.Equal(t, len(tab.Doubts(time.Now())), 1)
	tab.Idle("a", time.Now())
	_, err = take(tab, 10)
	assert.NilError(t, err)
}

// Who waits where the last minion is given up is sent elsewhere at once.
func TestWaitersAreSentAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := &Table{}
		h := []Held{{Name: "a", Pool: "p", Addr: "a", Slots: 1}}
		tab.Set(h, 9, time.Now())
		s, err := take(tab, 10)
		assert.NilError(t, err)
		got := make(chan error, 1)
		go func() {
			_, err := take(tab, 60000)
			got <- err
		}()
		synctest.Wait()
		h[0].Drain = true
		tab.Set(h, 9, time.Now())
		assert.ErrorIs(t, <-got, ErrNone)
		tab.Give(s, Good, time.Now())
	})
}

func TestQuietUntilSeenIdle(t *testing.T) {
	tab := &Table{}
	h := hold("a")
	h[0].Quiet = time.Now().Add(time.Minute)
	tab.Set(h, 9, time.Now())
	_, err := take(tab, 5)
	assert.ErrorIs(t, err, ErrLate)
	tab.Idle("a", time.Now())
	_, err = take(tab, 5)
	assert.NilError(t, err)
}

func TestDrainReportsWhenIdle(t *testing.T) {
	tab := &Table{}
	tab.Set(hold("a"), 9, time.Now())
	s, err := take(tab, 10)
	assert.NilError(t, err)
	h := hold("a")
	h[0].Drain = true
	assert.Equal(t, len(tab.Set(h, 9, time.Now())), 0)
	_, released := tab.Give(s, Good, time.Now())
	assert.Assert(t, released)
	assert.DeepEqual(t, tab.Set(h, 9, time.Now()), []string{"a"})
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
			var hs []Held
			for n := range held {
				hs = append(hs, Held{Name: n, Pool: "p", Addr: n, Slots: 2, Drain: n == drain})
			}
			for _, n := range tab.Set(hs, 4, now) {
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
				s, err := tab.Take(context.Background(), "p", "m", 1, now, now) // no patience: no waiting
				if err != nil {
					if !errors.Is(err, ErrNone) && !errors.Is(err, ErrLate) && !errors.Is(err, ErrFull) {
						t.Fatalf("take: %v", err)
					}
					return
				}
				inUse[s.Minion]++
				if n := inUse[s.Minion] + ghosts[s.Minion]; n > s.Minion.Slots {
					t.Fatalf("%s has %d in use of %d", s.Name, n, s.Minion.Slots)
				}
				if s.Minion.Drain {
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
				r := rapid.SampledFrom([]Result{Unused, Good, Bad, Abandoned}).Draw(t, "result")
				inUse[s.Minion]--
				if r == Abandoned {
					ghosts[s.Minion]++
				}
				tab.Give(s, r, now)
			},
			"idle": func(t *rapid.T) {
				n := name(t)
				if m := tab.all[n]; m != nil {
					ghosts[m] = 0
				}
				tab.Idle(n, now)
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
