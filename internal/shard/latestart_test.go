package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// unansweredStart is a cluster in which a start of step p to the minion late.to, which
// then falls silent, is in flight: its owner was told that there was no reply.
func unansweredStart(t *testing.T, p work.Step) (w *simCluster, late pendingOrder) {
	t.Helper()
	w, o := newOldCluster(t, 3)
	w.submit(newJob("a", p))
	o.step()
	o.commit(true)
	late = w.inFlight[0]
	late.lose()
	late.to.up = false
	w.inFlight = w.inFlight[1:]
	w.deliver(len(w.inFlight))
	return w, late
}

// arrivesLate has the minion start again and carry out a start that was sent to its
// former incarnation. The cluster fails if its task runs elsewhere.
func (w *simCluster) arrivesLate(late pendingOrder) {
	b := late.to
	b.up = true
	w.restartWith(b, b.clock()-60_000)
	late.deliver()
	w.work(time.Second)
}

// The next incarnation of a silent minion carried out a start after its owner had given
// the run up, at the end of the former one's leases: the task ran twice at a time.
func TestStartWithoutReplyIsNotGivenUpWithTheLeases(t *testing.T) {
	for kind, p := range stepKinds() {
		if p.Speculative {
			continue
		}
		for _, after := range []time.Duration{time.Second, 7 * time.Second, 14 * time.Second} {
			t.Run(kind+" "+after.String(), func(t *testing.T) {
				w, late := unansweredStart(t, p)
				w.work(after)
				w.arrivesLate(late)
				assert.Equal(t, w.running(), p.Tasks)
			})
		}
	}
}

// The same for lasting work, also where a row tells of the next incarnation before the
// leases of the former one end: it does not answer behind a cut.
func TestStartOfLastingWorkWithoutReplyIsNotGivenUpWithTheLeases(t *testing.T) {
	w, late := unansweredStart(t, lastingTasks(1))
	w.work(7 * time.Second)
	w.arrivesLate(late)

	w, late = unansweredStart(t, lastingTasks(1))
	b := late.to
	w.work(4 * time.Second)
	b.up = true
	w.restartWith(b, b.clock()-60_000)
	b.up = false
	w.work(6 * time.Second)
	b.up = true
	late.deliver() // the cluster fails if its task runs elsewhere
	b.up = false
	w.work(4 * time.Second)
	b.up = true
	w.work(time.Second)
	assert.Equal(t, w.running(), 1)
}

// A start that the next incarnation may carry out is waited for from when it was sent, not
// from when the restart was known.
func TestStartForTheNextIncarnationIsGivenUpInTime(t *testing.T) {
	w, late := unansweredStart(t, lastingTasks(1))
	sent, b := w.now, late.to
	w.work(4 * time.Second)
	b.up = true
	w.restartWith(b, b.clock()-60_000)
	b.up = false // its row goes on
	for w.running() == 0 {
		w.work(simTick)
		assert.Assert(t, w.now.Sub(sent) < lateStartTime)
	}
}

// What may have been started late is started elsewhere once that cannot be any more, or
// is known not to be so, and lasting work as soon as the leases have ended if the row
// of its minion is gone.
func TestStartWithoutReplyIsGivenUpInTheEnd(t *testing.T) {
	longest := DefaultLimits.MaxOrderDelay + 11*time.Second
	for kind, within := range map[string]time.Duration{"plain": longest, "gang": longest, "lasting": restartTarget} {
		p := stepKinds()[kind]
		t.Run(kind+", minion stays away", func(t *testing.T) {
			w, late := unansweredStart(t, p)
			w.owners[0].st.UnlistMinion(w.now, late.to.ID)
			late.to.crash()
			took := w.restartTime(w.now, p.Tasks)
			assert.Assert(t, took <= within, "took %v", took)
			w.work(longest)
			assert.Assert(t, w.owners[0].st.minions[late.to.ID] == nil, "it is forgotten")
		})
		t.Run(kind+", minion answers", func(t *testing.T) {
			w, late := unansweredStart(t, p)
			w.work(7 * time.Second)
			late.to.up = true
			w.work(time.Second)
			assert.Equal(t, w.running(), p.Tasks)
		})
		t.Run(kind+", minion is replaced", func(t *testing.T) {
			w, late := unansweredStart(t, p)
			late.to.crash()
			w.work(7 * time.Second)
			w.replace(late.to)
			w.work(time.Second)
			assert.Equal(t, w.running(), p.Tasks)
		})
		t.Run(kind+", minion starts again", func(t *testing.T) {
			w, late := unansweredStart(t, p)
			late.to.crash()
			w.work(7 * time.Second)
			late.to.up = true
			w.restartWith(late.to, 0)
			w.work(time.Second)
			assert.Equal(t, w.running(), p.Tasks)
		})
	}
}
