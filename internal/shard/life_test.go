package shard

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// restartedBehind returns an owner that knows of a restart only by a row, the poll of
// the next life in flight, and a later renewal for the former life in flight, with
// the token of the run whose start had no reply meanwhile.
func restartedBehind(t *testing.T) (w *simCluster, o *simOwner, former work.Minion, poll, renewal Renewal) {
	w, o = newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(1, 1000)))
	w.cycle()
	w.pass(freshWindow)
	w.cycle()
	b := w.minions[0]
	former = b.Minion
	w.now = w.now.Add(time.Millisecond)
	b.restart()
	o.st.UpdateMinion(w.now, b.Minion, w.now)
	poll, ok := o.st.NextRenewal(w.now, b.Incarnation)
	assert.Assert(t, ok)
	m := o.st.minions[b.ID]
	for k := range m.runs {
		lost := StartOrder{Minion: former, Start: work.Start{Task: k.task, Attempt: k.attempt, Token: m.token}}
		o.st.HandleStartReply(w.now, lost, work.Other, errors.New("no reply"))
	}
	renewal, ok = o.st.NextRenewal(w.now, former.Incarnation)
	assert.Assert(t, ok)
	return w, o, former, poll, renewal
}

// An answer to the poll of an unconfirmed restart counted as the first answer of the
// next life, although calls for the former one had the same token.
func TestFirstAnswerIsToAHigherTokenThanCallsForTheFormerLife(t *testing.T) {
	w, o, former, poll, renewal := restartedBehind(t)
	b := w.minions[0]
	assert.Assert(t, renewal.Token >= poll.Token && renewal.Until > 0)
	o.st.HandleReport(w.now, Renewal{Minion: former, Token: renewal.Token, Seq: renewal.Seq}, work.Report{Born: b.Born, Clock: b.clock()})
	assert.Equal(t, o.st.minions[b.ID].Incarnation, b.Incarnation)
	o.st.HandleReport(w.now, poll, work.Report{Born: b.Born, Clock: b.clock()})
	assert.Assert(t, !o.st.minions[b.ID].answered(), "the renewal may still be carried out")
	next, ok := o.st.NextRenewal(w.now, b.Incarnation)
	assert.Assert(t, ok && next.Token > renewal.Token)
	o.st.HandleReport(w.now, next, work.Report{Born: b.Born, Clock: b.clock()})
	assert.Assert(t, o.st.minions[b.ID].answered())
}
