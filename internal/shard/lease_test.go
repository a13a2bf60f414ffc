package shard

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// notesOf returns the reasons of the notes about an event.
func (s *State) notesOf(what Event) (whys []string) {
	for _, n := range s.Notes {
		if n.What == what {
			whys = append(whys, n.Why)
		}
	}
	return whys
}

func TestSilenceTellsWhatWaitsAndHowThatIsKnown(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(1, 1000)), newJob("b", lastingTasks(2)))
	w.cycle()
	w.minions[0].crash()
	w.cycle()
	whys := o.st.notesOf(MinionSilent)
	assert.Equal(t, len(whys), 1)
	assert.Assert(t, strings.HasPrefix(whys[0], "3 runs, 2 of them lasting, wait 5."), whys[0])
	assert.Assert(t, strings.HasSuffix(whys[0], "sent by this owner"), whys[0])

	o = w.takeOver()
	w.cycle()
	whys = o.st.notesOf(MinionSilent)
	assert.Equal(t, len(whys), 1)
	assert.Assert(t, strings.Contains(whys[0], "sent by former owners"), whys[0])
}

// lastingTasks is a step of n tasks that last.
func lastingTasks(n int) work.Step {
	p := tasks(n, 1000)
	p.Lasting = true
	return p
}

// restartTime lets the newest owner work until as many runs as before a crash
// are there again, and returns how long after the crash that was.
func (w *simCluster) restartTime(crashed time.Time, runs int) time.Duration {
	for w.running() < runs && w.now.Sub(crashed) < time.Minute {
		w.pass(simTick)
		w.cycle()
	}
	return w.now.Sub(crashed)
}

// restartTarget is the time within which work on a lost minion starts again,
// whoever owns it meanwhile.
const restartTarget = 7 * time.Second

// TestLostWorkStartsAgainInTimeWhoeverOwnsIt guards against waits for the leases
// of a lost minion that begin anew with each owner.
func TestLostWorkStartsAgainInTimeWhoeverOwnsIt(t *testing.T) {
	losses := map[string][]time.Duration{ // times from the crash at which an owner is replaced
		"one owner":                  nil,
		"owner lost at the crash":    {0},
		"owner lost soon after":      {200 * time.Millisecond},
		"owner lost near the end":    {5 * time.Second},
		"two owners lost":            {2 * time.Second, 4 * time.Second},
		"two owners lost in a row":   {0, 500 * time.Millisecond},
		"three owners lost in a row": {time.Second, 3 * time.Second, 5 * time.Second},
	}
	for name, at := range losses {
		for kind, p := range stepKinds() {
			t.Run(name+", "+kind, func(t *testing.T) {
				w, _ := newOwnedCluster(t, 4)
				w.submit(newJob("a", p))
				w.cycle()
				runs := w.running()
				for range 50 {
					w.pass(simTick)
					w.cycle()
				}
				out := w.busiest()
				out.crash()
				crashed := w.now
				for _, d := range at {
					for w.now.Sub(crashed) < d {
						w.pass(simTick)
						w.cycle()
					}
					w.takeOver()
				}
				took := w.restartTime(crashed, runs)
				assert.Assert(t, took <= restartTarget, "took %v", took)
			})
		}
	}
}

// busiest returns the minion with the most runs.
func (w *simCluster) busiest() *simMinion {
	most := w.minions[0]
	for _, b := range w.minions {
		if len(b.runs) > len(most.runs) {
			most = b
		}
	}
	return most
}

func TestPromiseThatIsMissingMeansTheLongestWait(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	w.busiest().crash()
	w.promise, w.leaseRow, w.recorded = 0, nil, false // as former versions leave it
	crashed := w.now
	w.takeOver()
	took := w.restartTime(crashed, 1)
	longest := unrecordedWindow + w.limits.MaxLease
	assert.Assert(t, took >= longest && took < longest+time.Second, "took %v", took)
}

// A minion that the next owner may take for silent must not be given a longer
// lease before that is undone.
func TestLeaseIsNotExtendedWhileTheRowListsItsMinion(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	b := w.minions[0]
	b.up = false
	w.cycle()
	assert.Assert(t, w.leaseRow != nil)
	b.up, w.storeDown = true, true
	w.cycle()
	n, ok := o.st.NextRenewal(w.now, b.Incarnation)
	assert.Assert(t, ok && n.Until == 0, "%+v", n)
	w.storeDown = false
	w.cycle()
	n, ok = o.st.NextRenewal(w.now, b.Incarnation)
	assert.Assert(t, ok && n.Until > 0, "%+v", n)
	assert.Equal(t, string(w.leaseRow), "[]")
}

func TestRenewalsAreNotWritten(t *testing.T) {
	w, o := newOwnedCluster(t, 3)
	w.submit(newJob("a", lastingTasks(3)))
	w.cycle()
	for range 100 {
		w.pass(simTick)
		w.cycle()
		assert.Assert(t, o.batch == nil || !o.batch.NeedsWrite())
	}
	assert.Assert(t, w.leaseRow == nil)
}

func TestUnreadableLeaseRowIsReported(t *testing.T) {
	_, o := newOwnedCluster(t, 1)
	for _, row := range []string{"", "{", `{"i":1}`, `[{"i":"m0","b":"x"}]`} {
		assert.ErrorContains(t, o.st.LoadLeases([]byte(row)), "decode leases", row)
	}
	assert.NilError(t, o.st.LoadLeases([]byte(`[{"i":"unknown","b":1,"u":-5}]`)))
}

// passDrains lets a tick pass, in which minions that drain come nearer to their end.
func (w *simCluster) passDrains() {
	w.pass(simTick)
	for _, b := range w.minions {
		if b.Draining {
			b.Remaining = max(b.Remaining-simTick, 0)
		}
	}
}

// A lease that outlasts the minion made its tasks wait for the rest of it.
func TestLeaseOfADrainingMinionEndsSoonAfterIt(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	long := tasks(1, 1000)
	long.Estimate = 5 * time.Second
	w.submit(newJob("a", long))
	w.cycle()
	out := w.busiest()
	w.drain(out, 6*time.Second)
	for range 120 {
		w.passDrains()
		w.cycle()
	}
	out.crash()
	left := o.st.leaseExpiry(o.st.minions[out.ID]).Sub(w.now)
	assert.Assert(t, left < 3*time.Second, "%v", left)
}
