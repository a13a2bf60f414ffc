package shard

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jasminestep/internal/work"
)

// TestRunOnce checks the invariants of the cluster: no task runs twice at a time
// or after it is done, no room is exceeded, and steps run in order. Owners
// change, freeze and resume, minions are cut off, restart and come back, also
// within seconds, and orders and renewals are late, lost or reordered. The store is
// down at times, and the rows of minions, whose room shrinks and grows, are shown
// late.
func TestRunOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimCluster(rt, 3)
		if rapid.Bool().Draw(rt, "bundles") {
			w.limits.MaxRows = 0
		}
		if rapid.Bool().Draw(rt, "batch leases") {
			w.limits.BatchLease = 8500 * time.Millisecond
		}
		w.takeOver()
		names := 0
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		anyBox := func() *simMinion { return w.minions[pick("minion", len(w.minions))] }
		anyOwner := func() *simOwner { return w.owners[pick("owner", len(w.owners))] }
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
				p.Fill = pick("fill", 4) == 0
				if p.Lasting && pick("target", 2) == 0 {
					p.Target = 50 * time.Millisecond
				}
				q := tasks(1, 1000)
				q.After = []int{0}
				w.submit(newJob(fmt.Sprintf("j%d", names), p, q))
			},
			"cancel": func(*rapid.T) {
				if len(w.jobs) == 0 || pick("really", 4) > 0 {
					return
				}
				j := w.jobs[pick("job", len(w.jobs))]
				w.cancelled[j.ID] = true
				w.owners[len(w.owners)-1].st.Cancel(w.now, j.ID)
			},
			"archive": func(*rapid.T) { anyOwner().archive() },
			"resubmit": func(*rapid.T) {
				if len(w.jobs) == 0 {
					return
				}
				j, st := w.jobs[pick("job", len(w.jobs))], w.owners[len(w.owners)-1].st
				if st.jobs[j.ID] != nil || st.forgottenIDs[j.ID] { // owner.submit drops the others
					st.Submit(w.now, j)
				}
			},
			"step":   func(*rapid.T) { anyOwner().step() },
			"commit": func(*rapid.T) { anyOwner().commit(!w.storeDown) },
			"store":  func(*rapid.T) { w.storeDown = !w.storeDown },
			"odd row": func(*rapid.T) {
				if b := anyBox(); b.hasRow() && !w.storeDown && !w.feedDown {
					odd := w.oddRow(b, []string{"s", "unknown"}[pick("service", 2)])
					o := w.owners[len(w.owners)-1]
					o.st.UpdateMinion(w.now, odd, w.now)
					o.renewRestart(odd.Incarnation, nil)
				}
			},
			"feed":         func(*rapid.T) { w.setFeed(!w.feedDown) },
			"renew":        func(*rapid.T) { anyOwner().renew(anyBox()) },
			"send renewal": func(*rapid.T) { anyOwner().renewLate(anyBox()) },
			"lose reply": func(*rapid.T) {
				if len(w.inFlight) == 0 {
					return
				}
				if f := w.inFlight[pick("order", len(w.inFlight))]; f.lose != nil {
					f.lose() // it may still be carried out
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
			"shed": func(*rapid.T) { anyBox().refusals = pick("starts", 3) },
			"cut": func(*rapid.T) {
				if b := anyBox(); b.crashedAt.IsZero() && !b.replaced {
					b.up = !b.up
				}
			},
			"crash": func(*rapid.T) {
				if b := anyBox(); b.up && pick("really", 3) == 0 {
					b.crash()
				}
			},
			"recover": func(*rapid.T) {
				for _, b := range w.minions {
					switch {
					case b.crashedAt.IsZero():
					case pick("how", 2) == 0:
						w.replace(b)
					default:
						b.up = true
						w.restart(b, pick("told", 2) == 0)
					}
				}
			},
			"resize": func(*rapid.T) {
				if pick("really", 3) == 0 {
					w.resize(anyBox(), int64(1000*(1+pick("cpu", 6))))
				}
			},
			"restart and cut": func(*rapid.T) {
				b := anyBox()
				if !b.up {
					return
				}
				if pick("renewal", 2) == 0 {
					w.owners[len(w.owners)-1].renewLate(b)
				}
				w.restart(b, pick("told", 2) == 0)
				for range pick("turns before", 5) {
					w.pass(time.Duration(50*(1+pick("ms", 20))) * time.Millisecond)
					w.cycle()
				}
				b.up = false
				if pick("next owner", 3) == 0 && !w.storeDown {
					w.takeOver()
				}
				for range pick("turns after", 10) {
					w.pass(time.Second)
					w.cycle()
				}
			},
			"reborn": func(*rapid.T) { w.restart(anyBox(), pick("told", 2) == 0) },
			"take": func(*rapid.T) {
				if !w.storeDown {
					w.takeOver()
				}
			},
			"freeze": func(*rapid.T) { o := anyOwner(); o.frozen = !o.frozen },
			"turn":   func(*rapid.T) { w.cycle() },
		})
	})
}

// restart restarts a minion and may notify the newest owner, as the minion's new
// entry would. Orders and renewals with a token that the old incarnation has already
// superseded are dropped: the protocol gives an owner no means to keep the next
// incarnation from executing such an order seconds later. It may start a run that
// the owner has given up, and forget ends that nobody has read; only the lease
// that it gets is counted.
func (w *simCluster) restart(b *simMinion, notifyOwner bool) {
	if !b.up {
		return
	}
	var kept []pendingOrder
	for _, f := range w.inFlight {
		if f.to != b || f.token >= b.token {
			kept = append(kept, f)
		}
	}
	w.inFlight = kept
	w.now = w.now.Add(time.Millisecond)
	b.restart()
	if notifyOwner {
		w.writeRow(b)
	}
}
