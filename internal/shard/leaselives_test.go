package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminestep/internal/work"
)

// TestLeasesOfFormerLives checks that no task runs twice at a time where minions often
// restart and are cut off, and renewals arrive late. It leaves out what KNOWN-RED.txt
// lists for TestRunOnce and for late starts and numbers of ends, so that many
// sequences can be tried.
func TestLeasesOfFormerLives(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimCluster(rt, 3)
		w.leasesOnly = true
		if rapid.Bool().Draw(rt, "batch leases") {
			w.limits.BatchLease = 8500 * time.Millisecond
		}
		w.takeOver()
		names := 0
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		anyBox := func() *simMinion { return w.minions[pick("minion", len(w.minions))] }
		lateOwner := func() *simOwner { return w.owners[max(0, len(w.owners)-1-pick("owner", 3))] }
		restart := func() {
			if b := anyBox(); b.up {
				w.now = w.now.Add(time.Millisecond)
				b.restart()
				if pick("told", 2) == 0 {
					w.writeRow(b)
				}
			}
		}
		renewLate := func() { lateOwner().renewLate(anyBox()) }
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) {
				if names > 6 {
					return
				}
				names++
				p := tasks(1+pick("tasks", 6), 1000)
				p.Lasting = pick("lasting", 3) == 0
				w.submit(newJob(fmt.Sprintf("j%d", names), p))
			},
			"store": func(*rapid.T) { w.storeDown = w.storeDown != (pick("really", 3) == 0) },
			"feed":  func(*rapid.T) { w.setFeed(w.feedDown != (pick("really", 3) == 0)) },
			"renew": func(*rapid.T) { lateOwner().renew(anyBox()) },
			"step": func(*rapid.T) {
				o := lateOwner()
				o.step()
				o.commit(!w.storeDown)
			},
			"send renewal":         func(*rapid.T) { renewLate() },
			"send another renewal": func(*rapid.T) { renewLate() },
			"lose reply": func(*rapid.T) {
				if len(w.inFlight) == 0 {
					return
				}
				if f := w.inFlight[pick("order", len(w.inFlight))]; f.lose != nil {
					f.lose()
				}
			},
			"deliver": func(*rapid.T) {
				if len(w.inFlight) == 0 {
					return
				}
				i := pick("order", len(w.inFlight))
				f := w.inFlight[i]
				w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
				f.deliver()
			},
			"end": func(*rapid.T) {
				b := anyBox()
				for k := range b.runs {
					w.finish(b, k, work.Done)
					break
				}
			},
			"time": func(*rapid.T) { w.pass(time.Duration(50*(1+pick("ms", 60))) * time.Millisecond) },
			"cut": func(*rapid.T) {
				if b := anyBox(); b.crashedAt.IsZero() {
					b.up = !b.up
				}
			},
			"leave": func(*rapid.T) {
				if b := anyBox(); !b.up {
					b.crash()
					dropRow(w, b)
					w.owners[len(w.owners)-1].st.UnlistMinion(w.now, b.ID)
				}
			},
			"return": func(*rapid.T) {
				for _, b := range w.minions {
					if !b.crashedAt.IsZero() {
						w.now = w.now.Add(time.Millisecond)
						b.restart()
						w.writeRow(b)
					}
				}
			},
			"restart":       func(*rapid.T) { restart() },
			"restart again": func(*rapid.T) { restart() },
			"take": func(*rapid.T) {
				if !w.storeDown {
					w.takeOver()
				}
			},
			"freeze": func(*rapid.T) {
				o := lateOwner()
				o.frozen = !o.frozen
			},
			"turns": func(*rapid.T) {
				for range 1 + pick("turns", 14) {
					w.pass(400 * time.Millisecond)
					w.cycleAlone()
				}
			},
		})
	})
}

// cycleAlone is cycle without the delivery of what is in flight already.
func (w *simCluster) cycleAlone() {
	late := w.inFlight
	w.inFlight = nil
	w.cycle()
	w.inFlight = late
}
