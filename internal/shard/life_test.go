package shard

import (
	"encoding/json"
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

// What is heard of calls for a former life says nothing of the next one.
func TestRepliesForAFormerLifeChangeNothing(t *testing.T) {
	w, o, former, _, renewal := restartedBehind(t)
	b := w.minions[0]
	m := o.st.minions[b.ID]
	var k runKey
	for k = range m.runs {
		break
	}
	o.st.HandleReport(w.now, renewal, work.Report{Born: b.Born, Clock: b.clock()})
	for range 3 {
		w.cycle()
	}
	assert.Assert(t, m.answered() && m.Born == b.Born && len(m.runs) == 1)
	m.failed, m.slowness = nil, 0
	before, slow, runs := *m, len(m.zone.slowMinions), len(m.runs)
	start := StartOrder{Minion: former, Start: work.Start{Task: k.task, Attempt: k.attempt, Token: m.token + 9}}
	w.now = w.now.Add(time.Second)
	for _, err := range []error{nil, errors.New("no reply")} {
		o.st.HandleStartReply(w.now, start, work.Accepted, err)
		o.st.HandleStartReply(w.now, start, work.Unhealthy, err)
		o.st.HandleStartReply(w.now, start, work.BadTicket, err)
		o.st.HandleThrottleReply(w.now, ThrottleOrder{Minion: former, Task: k.task, Attempt: k.attempt, Speed: 5, Token: m.token + 9}, err)
	}
	o.st.HandleSlowReply(w.now, former.Incarnation)
	o.st.HandleNoReply(w.now, former.Incarnation)
	o.st.HandleReplaced(w.now, former.Incarnation)
	for _, born := range []int64{0, former.Born, b.Born} {
		o.st.HandleReport(w.now, renewal, work.Report{Born: born, Clock: 1 << 40, Ended: []work.End{{N: 99, Task: k.task, Attempt: 9, How: work.Done}}})
	}
	_, ok := o.st.NextRenewal(w.now, former.Incarnation)
	assert.Assert(t, !ok)
	assert.Equal(t, len(m.runs), runs)
	assert.Equal(t, len(m.zone.slowMinions), slow)
	assert.Assert(t, m.token == before.token && m.clock == before.clock && m.lastEnd == before.lastEnd)
	assert.Assert(t, m.pausedUntil.Equal(before.pausedUntil) && m.silentSince.IsZero() && m.synced && len(m.failed) == 0)
}

// A ticket that was issued for a former life costs one refused start.
func TestTicketForAFormerLifeIsAskedForAgain(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	b := w.minions[0]
	w.cycle()
	j := newJob("a", tasks(1, 1000))
	j.Advice = &work.AdviceTiming{Decide: 100 * time.Millisecond, Valid: time.Minute}
	w.submit(j)
	o.st.Decide(w.now, w.now, QueryCapacity{Total: 4, Slow: 4, SlowFrom: time.Second})
	queries := o.st.TakeActions().Queries
	assert.Equal(t, len(queries), 1)
	w.now = w.now.Add(time.Millisecond)
	b.restart()
	for range 3 {
		o.renew(b)
	}
	m := o.st.minions[b.ID]
	assert.Assert(t, m.answered() && m.Born == b.Born)
	o.st.HandleAdvice(w.now, w.now, queries[0], map[string]string{b.ID: "former"}, time.Minute, nil)
	p := o.st.jobs["a"].rounds[0].steps[0]
	r := &run{key: runKey{p.tasks[0].id, 1}, step: p, state: sent}
	m.add(r)
	o.st.HandleStartReply(w.now, StartOrder{Minion: m.Minion, Start: work.Start{Task: r.key.task, Attempt: 1, Token: m.token}}, work.BadTicket, nil)
	got, _ := p.eligibility(w.now, m)
	assert.Equal(t, got, ticketExpired)
	assert.Equal(t, len(m.runs), 0)
	assert.Equal(t, len(m.failed), 0, "the minion is not at fault")
}

// How slow a minion was, and what failed there, says nothing of its next life.
func TestNothingLearnedOfAFormerLifeCounts(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.cycle()
	b := w.minions[0]
	m := o.st.minions[b.ID]
	m.slowness, m.failed = 3, []failure{{}, {}}
	row, err := json.Marshal(o.st.encodeLearned())
	assert.NilError(t, err)
	w.now = w.now.Add(time.Millisecond)
	b.restart()
	for range 3 {
		o.renew(b)
	}
	assert.Assert(t, m.Born == b.Born && m.slowness == 0 && !m.suspect())
	assert.NilError(t, o.st.LoadLearned(row))
	assert.Equal(t, m.slowness, 0.0)
}
