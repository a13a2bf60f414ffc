package shard

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// oddRow is a row that another writer writes under the ID of a minion, with a
// later birth than the minion's.
func (w *simCluster) oddRow(b *simMinion, service string) work.Minion {
	m := b.Minion
	m.Service, m.Address, m.Born = service, "nowhere", w.now.UnixMilli()+1
	return m
}

// renewRestart lets an owner poll the incarnation of an unconfirmed restart.
// answer is what there is at its address, nil if nobody listens.
func (o *simOwner) renewRestart(told work.Incarnation, answer *simMinion) {
	n, ok := o.st.NextRenewal(o.cluster.now, told)
	if !ok {
		return
	}
	if answer == nil {
		o.st.HandleNoReply(o.cluster.now, told)
		return
	}
	if rep, ok := answer.handleRenewal("restart", n, 0); ok {
		o.st.HandleReport(o.cluster.now, n, rep)
	}
}

// Guards against TWICE: a row of another writer with a later birth, at whose
// address nobody listens, ended a minion at work.
func TestRowOfAnotherWriterEndsNoLife(t *testing.T) {
	for _, service := range []string{"s", "unknown"} {
		w, o := newOwnedCluster(t, 2)
		w.submit(newJob("a", tasks(8, 1000)))
		w.cycle()
		assert.Equal(t, w.running(), 8)
		odd := w.oddRow(w.minions[0], service)
		o.st.UpdateMinion(w.now, odd, w.now)
		for range 60 {
			w.cycle()
			o.renewRestart(odd.Incarnation, nil)
			w.now = w.now.Add(100 * time.Millisecond)
			w.minions[0].tick()
			w.minions[1].tick()
		}
		assert.Equal(t, w.running(), 8, "leases are renewed")
		w.finishAll()
		w.submit(newJob("b", tasks(8, 1000)))
		w.cycle()
		assert.Equal(t, len(w.minions[0].runs), 0, "not while a restart is unconfirmed")
		w.pass(rowInterval)
		w.cycle()
		assert.Equal(t, len(w.minions[0].runs), 4, "its own row refutes it")
	}
}

// A minion that has come back at another address is used as soon as it answers
// there, and its former runs start again.
func TestRestartIsBelievedOnceTheIncarnationAnswers(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(4, 1000)))
	w.cycle()
	w.pass(freshWindow)
	w.cycle()
	b := w.minions[0]
	w.now = w.now.Add(time.Millisecond)
	b.restart()
	b.Address = "elsewhere"
	w.writeRow(b)
	assert.Equal(t, o.st.minions["m0"].restart.Address, "elsewhere")
	o.renewRestart(b.Incarnation, b)
	w.cycle()
	assert.Equal(t, o.st.minions["m0"].Address, "elsewhere")
	assert.Equal(t, w.running(), 4)
}

// A restart is dropped if the process at its address is the incarnation that is
// known, or another minion.
func TestRestartIsDroppedIfTheAddressDisproves(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	m := o.st.minions["m0"]
	odd := w.oddRow(w.minions[0], "s")
	o.st.UpdateMinion(w.now, odd, w.now)
	o.renewRestart(odd.Incarnation, w.minions[0])
	assert.Assert(t, m.restart == nil)
	o.st.UpdateMinion(w.now, odd, w.now)
	o.st.HandleReplaced(w.now, odd.Incarnation)
	assert.Assert(t, m.restart == nil)
	assert.Equal(t, m.Incarnation, w.minions[0].Incarnation)
	_, ok := o.st.NextRenewal(w.now, odd.Incarnation)
	assert.Assert(t, !ok)
}

// An incarnation of which only its row is known gets the place of one that is silent
// when all leases there have ended, not before.
func TestRestartIsBelievedWhenTheLeasesHaveEnded(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	w.submit(newJob("a", tasks(8, 1000)))
	w.cycle()
	b := w.minions[0]
	b.up, b.crashedAt = false, w.now // silent, and writes no rows
	odd := w.oddRow(b, "s")
	o.st.UpdateMinion(w.now, odd, w.now)
	w.cycle()
	assert.Equal(t, o.st.minions["m0"].Incarnation, b.Incarnation)
	for range 80 {
		w.pass(100 * time.Millisecond)
		w.cycle()
	}
	assert.Equal(t, o.st.minions["m0"].Incarnation, odd.Incarnation)
}

// Guards against a minion that is never used again: an owner that read a row
// with a birth in the future took the minion's own rows for those of an earlier
// incarnation.
func TestBirthInTheFutureKeepsNoMinionOut(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	odd := w.oddRow(w.minions[0], "s")
	odd.Born = math.MaxInt64
	w.minionRows["m0"] = minionRow{odd, w.now}
	w.takeOver()
	w.startsAfterNextRows(t, 4)
}

// Guards against decisions by room that nobody has: a row with huge room, whose
// minion never answers, must not change what counts as a large task.
func TestRoomOfMinionsThatNeverAnsweredDoesNotCount(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	odd := w.oddRow(w.minions[0], "s")
	odd.ID, odd.Capacity = "odd", work.Size{CPU: 1 << 40, Mem: 1 << 40}
	o.st.UpdateMinion(w.now, odd, w.now)
	v := &view{s: o.st, now: w.now, ms: o.st.minionsByID()}
	v.pruneReservations()
	assert.Equal(t, v.room().largest, w.minions[0].Capacity)
	assert.Equal(t, v.room().weight, roomWeight(w.minions[0].Capacity))
}
