package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminestep/internal/work"
)

// TestRunOnce lets owners come and go, freeze and wake, minions be cut off, die
// and come back, and orders be late, lost and crossed, against the world's
// promises: no task runs twice at a time or after it was done, no room is
// exceeded, steps keep their order.
func TestRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 3)
		if rapid.Bool().Draw(rt, "bundles") {
			w.limits.Rows = 0
		}
		w.takeOver()
		names := 0
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		anyBox := func() *box { return w.minions[pick("minion", len(w.minions))] }
		anyOwner := func() *boss { return w.owners[pick("owner", len(w.owners))] }
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(*rapid.T) {
				if names > 4 {
					return
				}
				names++
				p := tasks(1+pick("tasks", 3), int64(1000+1000*pick("cpu", 2)))
				p.Gang = pick("gang", 4) == 0
				p.Lasting = !p.Gang && pick("lasting", 4) == 0
				p.Speculative = !p.Lasting && pick("copies", 3) == 0
				p.PerMinion = pick("limit", 3)
				q := tasks(1, 1000)
				q.After = []int{0}
				w.submit(newJob(fmt.Sprintf("j%d", names), p, q))
			},
			"cancel": func(*rapid.T) {
				if len(w.jobs) == 0 || pick("really", 4) > 0 {
					return
				}
				j := w.jobs[pick("job", len(w.jobs))]
				w.gone[j.ID] = true
				w.owners[len(w.owners)-1].st.Cancel(w.now, j.ID)
			},
			"step":   func(*rapid.T) { anyOwner().step() },
			"commit": func(*rapid.T) { anyOwner().commit(true) },
			"renew":  func(*rapid.T) { anyOwner().renew(anyBox()) },
			"deliver": func(*rapid.T) {
				if len(w.flying) == 0 {
					return
				}
				i := pick("order", len(w.flying))
				f := w.flying[i]
				w.flying = append(w.flying[:i], w.flying[i+1:]...)
				f.f()
			},
			"end": func(*rapid.T) {
				b := anyBox()
				how := []work.Outcome{work.Done, work.Done, work.Failed}[pick("how", 3)]
				for k := range b.runs {
					w.finish(b, k, how)
					break
				}
			},
			"time": func(*rapid.T) { w.pass(time.Duration(50*(1+pick("ms", 30))) * time.Millisecond) },
			"wait": func(*rapid.T) {
				if pick("really", 5) == 0 {
					w.pass(13 * time.Second)
				}
			},
			"shed":   func(*rapid.T) { anyBox().sheds = pick("starts", 3) },
			"cut":    func(*rapid.T) { b := anyBox(); b.up = !b.up },
			"reborn": func(*rapid.T) { w.reborn(anyBox(), pick("told", 2) == 0) },
			"take":   func(*rapid.T) { w.takeOver() },
			"freeze": func(*rapid.T) { o := anyOwner(); o.frozen = !o.frozen },
			"turn":   func(*rapid.T) { w.turn() },
		})
	})
}

// reborn starts a minion anew and may tell the newest owner as its entry would.
// Orders that the former life's token has voided are dropped: one that is
// carried out in the next life all the same, seconds late, is beyond what the
// wire lets an owner prevent.
func (w *world) reborn(b *box, told bool) {
	if !b.up {
		return
	}
	var kept []flight
	for _, f := range w.flying {
		if f.to != b || f.token >= b.token {
			kept = append(kept, f)
		}
	}
	w.flying = kept
	w.now = w.now.Add(time.Millisecond)
	b.reborn()
	if told {
		w.owners[len(w.owners)-1].st.See(w.now, b.Minion)
	}
}
