package shard

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jasminestep/internal/work"
)

// newBatchCluster is a cluster with an owner whose leases are longer while no step
// must run.
func newBatchCluster(t *testing.T, n int) (*simCluster, *simOwner) {
	t.Helper()
	w := newSimCluster(t, n)
	w.limits.Lease, w.limits.BatchLease = 5500*time.Millisecond, 8500*time.Millisecond
	return w, w.takeOver()
}

// work lets the newest owner work for a time.
func (w *simCluster) work(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.pass(simTick)
		w.cycle()
	}
}

// cut cuts minions off, or undoes that.
func cut(minions []*simMinion, up bool) {
	for _, b := range minions {
		b.up = up
	}
}

// zoneCut is how long a cut of a zone lasts that work without lasting tasks outlasts.
const zoneCut = 7 * time.Second

func TestBatchWorkOutlastsACutOfAZone(t *testing.T) {
	fill := lastingTasks(3)
	fill.Fill = true // has no value while it is away, but may wait
	for name, p := range map[string]work.Step{"tasks": tasks(3, 1000), "lasting fill": fill} {
		for _, successor := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, successor %v", name, successor), func(t *testing.T) {
				w, _ := newBatchCluster(t, 4)
				w.submit(newJob("a", p))
				w.work(4 * time.Second)
				assert.Equal(t, w.running(), 3)
				attempts := w.attempts()
				cut(w.minions, false)
				w.work(zoneCut / 2)
				if successor {
					w.takeOver()
				}
				w.work(zoneCut / 2)
				cut(w.minions, true)
				w.work(2 * time.Second)
				assert.DeepEqual(t, w.attempts(), attempts)
			})
		}
	}
}

// attempts returns the number of the attempt of each task that runs.
func (w *simCluster) attempts() map[string]int {
	out := map[string]int{}
	for _, b := range w.minions {
		for k := range b.runs {
			out[k.task.String()] = k.attempt
		}
	}
	return out
}

// switchTime is how long after a lasting job has arrived the leases that were sent
// before no longer delay the restart of its tasks.
const switchTime = 3 * time.Second

func TestWorkThatMustRunKeepsLeasesShort(t *testing.T) {
	for _, successor := range []bool{false, true} {
		t.Run(fmt.Sprint("successor ", successor), func(t *testing.T) {
			w, _ := newBatchCluster(t, 4)
			w.submit(newJob("a", tasks(3, 1000)))
			w.work(4 * time.Second)
			w.submit(newJob("b", lastingTasks(2)))
			w.work(switchTime)
			runs := w.running()
			assert.Equal(t, runs, 5)
			out := w.busiest()
			out.crash()
			crashed := w.now
			if successor {
				w.takeOver()
			}
			took := w.restartTime(crashed, runs)
			assert.Assert(t, took <= restartTarget, "took %v", took)
		})
	}
}

// The promise covers the leases that were sent while they were long, and leases are
// long again only once a durable write has promised so.
func TestPromiseCoversBothLengths(t *testing.T) {
	w, o := newBatchCluster(t, 2)
	w.submit(newJob("a", tasks(2, 1000)))
	w.work(time.Second)
	sent := o.st.leaseExpiry(o.st.minions["m0"])
	assert.Assert(t, sent.Sub(w.now) > 8*time.Second, "%v", sent.Sub(w.now))
	w.submit(newJob("b", lastingTasks(1)))
	w.work(200 * time.Millisecond)
	w.checkPromise()
	w.work(switchTime)
	left := o.st.leaseExpiry(o.st.minions["m0"]).Sub(w.now)
	assert.Assert(t, left < 6*time.Second, "%v", left)

	w.storeDown = true
	o.st.Cancel(w.now, "b")
	w.work(time.Second)
	for _, m := range o.st.minions {
		end, _ := o.st.StoreClock.Latest(o.st.leaseExpiry(m))
		assert.Assert(t, end <= w.promise, "extended by %d ms beyond what is durable", end-w.promise)
	}
	w.storeDown = false
	w.work(time.Second)
	left = o.st.leaseExpiry(o.st.minions["m0"]).Sub(w.now)
	assert.Assert(t, left > 8*time.Second, "%v", left)
}

// A write that was begun while leases were short says so in the store, even if they
// have become long by the time it is durable.
func TestWriteCountsForWhatItPromised(t *testing.T) {
	w, o := newBatchCluster(t, 1)
	w.submit(newJob("a", tasks(1, 1000)), newJob("b", lastingTasks(1)))
	w.work(time.Second)
	o.step()
	began, promised := w.now, o.st.PromisedEnd(w.now) // the write begins
	o.st.Cancel(w.now, "b")
	assert.Equal(t, o.st.lease(), w.limits.BatchLease)
	w.pass(300 * time.Millisecond)
	o.renew(w.minions[0])
	o.step() // decides meanwhile
	o.st.HandleWritten(w.now, began)
	assert.Equal(t, o.st.promised, promised)
	o.renew(w.minions[0])
	end := o.st.leaseExpiry(o.st.minions["m0"])
	assert.Assert(t, !end.After(promised), "%v after", end.Sub(promised))
}

// checkPromise checks that the stored promise covers all leases that minions have.
func (w *simCluster) checkPromise() {
	for _, b := range w.minions {
		left := time.Duration(float64(b.leaseUntil-b.clock())/(1-b.drift)) * time.Millisecond
		if end := w.storeTime() + left.Milliseconds(); left > 0 && end > w.promise {
			w.fail("the lease of %s ends %d ms after what is promised", b.ID, end-w.promise)
		}
	}
}

// slowWrite lets the newest owner make a write whose reply takes d, while lasting jobs
// come or go and leases are extended.
func (w *simCluster) slowWrite(toggle func(), d time.Duration) {
	o := w.owners[len(w.owners)-1]
	o.step()
	o.commit(true)
	began := w.now
	w.promise, _ = o.st.StoreClock.Latest(o.st.PromisedEnd(began))
	toggle()
	w.pass(d)
	for _, b := range w.minions {
		o.renew(b)
	}
	w.checkPromise()
	o.st.HandleWritten(w.now, began)
	for _, b := range w.minions {
		o.renew(b)
	}
}

// TestLeasesHoldThroughChangesOfLength checks that no task starts while a minion that
// is cut off still runs it, while lasting jobs come and go, so that leases become
// short and long again, under owners that follow one another, with former owners that
// go on and outages of the store.
func TestLeasesHoldThroughChangesOfLength(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimCluster(rt, 4)
		pick := func(label string, n int) int { return rapid.IntRange(0, n-1).Draw(rt, label) }
		claim := func() { // by an entry with settings of its own
			w.limits.Lease = time.Duration(2+pick("lease", 5)) * time.Second
			w.limits.BatchLease = w.limits.Lease + time.Duration(pick("longer", 4))*time.Second
			w.takeOver()
		}
		claim()
		w.submit(newJob("a", tasks(4, 1000)))
		w.cycle()
		lasting := ""      // the lasting job
		toggle := func() { // lets one come or go
			if lasting != "" {
				w.record("%s is cancelled", lasting)
				w.cancelled[lasting] = true
				w.owners[len(w.owners)-1].st.Cancel(w.now, lasting)
				lasting = ""
				return
			}
			lasting = fmt.Sprint("j", len(w.jobs))
			w.record("%s is submitted", lasting)
			w.submit(newJob(lasting, lastingTasks(2)))
		}
		for range 120 {
			switch pick("what", 12) {
			case 0, 1:
				b := w.minions[pick("minion", len(w.minions))]
				b.up = !b.up
				w.record("%s reached: %v", b.ID, b.up)
			case 2:
				if !w.storeDown {
					claim()
				}
			case 3:
				w.storeDown = !w.storeDown
				w.record("store down: %v", w.storeDown)
			case 4, 5:
				w.former(pick("owner", len(w.owners)))
			case 6, 7:
				toggle()
			case 8:
				if !w.storeDown {
					w.slowWrite(toggle, time.Duration(1+pick("ticks", 40))*simTick)
				}
			default:
				for range 1 + pick("cycles", 20) {
					w.pass(time.Duration(1+pick("ticks", 8)) * simTick)
					w.cycle()
				}
			}
			w.checkPromise()
		}
	})
}
