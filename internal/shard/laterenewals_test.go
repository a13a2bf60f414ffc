package shard

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminestep/internal/work"
)

// TestRunOnceWithLateRenewals is TestRunOnce for leases alone: starts arrive at once, and
// renewals up to MaxOrderDelay late, at whichever incarnation is there then. Minions
// restart, are cut off, drain, lose their rows and are forgotten; owners change,
// some to one that keeps no record.
func TestRunOnceWithLateRenewals(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimCluster(rt, 3)
		if rapid.Bool().Draw(rt, "batch leases") {
			w.limits.BatchLease = 8500 * time.Millisecond
		}
		w.limits.MaxOrderDelay = []time.Duration{0, 2 * time.Second, 15 * time.Second}[rapid.IntRange(0, 2).Draw(rt, "order delay")]
		w.takeOver()
		submit := func() {
			j := newJob(fmt.Sprint("j", len(w.jobs)), tasks(5, 2000))
			j.Attempts = 1000
			j.Steps[0].Lasting = rapid.Bool().Draw(rt, "lasting")
			w.crashes[work.TaskID{Job: j.ID}] = crashesBeforeLimit // that crashes count as failures is not checked here
			w.submit(j)
		}
		submit()
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		anyMinion := func() *simMinion { return w.minions[pick("minion", len(w.minions))] }
		newest := func() *simOwner { return w.owners[len(w.owners)-1] }
		var late []pendingOrder
		turn := func() {
			if pick("late", 3) == 0 {
				newest().renewLate(anyMinion())
				late, w.inFlight = append(late, w.inFlight...), nil
			}
			w.cycle()
		}
		turns := func(n int) {
			for range n {
				w.pass(250 * time.Millisecond)
				w.cycle()
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"turn": func(*rapid.T) { w.pass(time.Duration(50*pick("ms", 30)) * time.Millisecond); turn() },
			"work": func(*rapid.T) { turns(1 + pick("turns", 40)) },
			"send renewal": func(*rapid.T) {
				o := w.owners[pick("owner", len(w.owners))]
				o.renewLate(anyMinion())
				late, w.inFlight = append(late, w.inFlight...), nil
			},
			"deliver": func(*rapid.T) {
				if len(late) == 0 {
					return
				}
				i := pick("renewal", len(late))
				f := late[i]
				late = append(late[:i:i], late[i+1:]...)
				f.deliver()
			},
			"restart": func(*rapid.T) {
				b := anyMinion()
				w.now = w.now.Add(time.Millisecond)
				b.restart()
				b.clockStart = int64(pick("clock", 200_000))
				if pick("told", 2) == 0 {
					w.writeRow(b)
				}
			},
			"restart, lease, cut": func(*rapid.T) {
				b := anyMinion()
				w.storeDown, newest().frozen = false, false
				for _, x := range w.minions {
					x.up, x.crashedAt, x.Draining = true, time.Time{}, false
					w.writeRow(x)
				}
				for _, j := range w.jobs {
					w.cancelled[j.ID] = true
					newest().st.Cancel(w.now, j.ID)
				}
				turns(40)
				if pick("drain", 3) == 0 && b.hasRow() {
					b.Draining = true
					w.writeRow(b)
					turns(pick("turns of drain", 40))
				}
				w.storeDown = pick("store down", 2) == 0
				turns(pick("turns without store", 24))
				newest().renewLate(b)
				sent := w.inFlight
				w.inFlight = nil
				w.storeDown = false
				if pick("change", 2) == 0 {
					w.takeOver()
				}
				told := pick("told", 2) == 0
				b.up = false
				if !told && b.hasRow() && !w.storeDown {
					b.crashedAt = w.now
					delete(w.minionRows, b.ID)
					newest().st.UnlistMinion(w.now, b.ID)
				}
				turns(max(0, int(w.limits.MaxOrderDelay/(250*time.Millisecond))-1-pick("turns before", 10)))
				w.now = w.now.Add(time.Millisecond)
				b.restart()
				b.clockStart, b.Draining = int64(pick("clock", 200_000)), false
				for _, f := range sent {
					f.deliver()
				}
				b.up = false
				if !told {
					b.crashedAt = w.now
				}
				turns(pick("turns dark", 30))
				b.up, b.crashedAt = true, time.Time{}
				w.writeRow(b)
				submit()
				turns(pick("turns at work", 4))
				b.up = false
				turns(pick("turns after", 50))
			},
			"cut": func(*rapid.T) { b := anyMinion(); b.up = !b.up },
			"row gone": func(*rapid.T) {
				if b := anyMinion(); b.hasRow() && !w.storeDown {
					b.crashedAt = w.now
					delete(w.minionRows, b.ID)
					newest().st.UnlistMinion(w.now, b.ID)
				}
			},
			"row back": func(*rapid.T) {
				if b := anyMinion(); !b.hasRow() {
					b.crashedAt = time.Time{}
					w.writeRow(b)
				}
			},
			"drain": func(*rapid.T) {
				if b := anyMinion(); b.hasRow() {
					b.Draining = !b.Draining
					w.writeRow(b)
				}
			},
			"store":  func(*rapid.T) { w.storeDown = !w.storeDown },
			"freeze": func(*rapid.T) { o := w.owners[pick("owner", len(w.owners))]; o.frozen = !o.frozen },
			"take": func(*rapid.T) {
				if !w.storeDown {
					w.takeOver()
				}
			},
			"take without a record": func(*rapid.T) {
				if w.storeDown || pick("really", 3) > 0 {
					return
				}
				called := maps.Clone(w.called)
				w.takeOver()
				turns(pick("turns", 30))
				w.called, w.recorded = called, false
				w.takeOver()
			},
			"renew all": func(*rapid.T) { turns(1) },
		})
	})
}
