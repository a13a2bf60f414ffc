package server

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
)

// An owner that was deposed was followed, in the same process, by one with the same
// term: with its tokens, the names of its writes and its sessions with carriers.
func TestEachOwnerHasATermOfItsOwn(t *testing.T) {
	s := newCluster(t, 1, 1)
	e := s.entries[0]
	s.eventually("an owner", func() bool { return e.localOwner("svc") != nil })
	old := e.localOwner("svc")
	old.depose("test")
	s.eventually("another owner", func() bool { o := e.localOwner("svc"); return o != nil && o != old })
	assert.Assert(t, e.localOwner("svc").term > old.term)
	assert.Equal(t, s.submit(e, jobName(1), "10ms", 1), 200)
	s.eventually("completed", func() bool { return s.jobState(e, jobName(1)) == "completed" })
}

// What an entry wrote of itself when it stopped took effect after it had started
// again, and nobody gave work to it.
func TestRowOfAFormerLifeOfAnEntryHasNoEffect(t *testing.T) {
	s := newCluster(t, 2, 1)
	s.eventually("the other entry known", func() bool { return len(s.entries[1].otherEntries(monotonicNow())) == 1 })
	first := s.entries[0]
	ctx, cancel := context.WithCancel(context.Background())
	s.rows.InjectFaults(func(tx table.Tx) tabletest.Fault {
		if tx.Put[0].Table == entryTable && tx.Put[0].Part == "" {
			cancel()
			return tabletest.RequestDelayed
		}
		return tabletest.NoFault
	})
	first.stopping.Store(true)
	first.writeEntryRow(ctx, true)
	s.rows.InjectFaults(nil)
	first.Kill()
	second := s.startEntry("e0")
	find := func() Entry {
		second.mu.Lock()
		defer second.mu.Unlock()
		return second.entries["e0"]
	}
	s.eventually("the row of the next life", func() bool { return find().Addr == second.Settings.PeerAddr })
	s.rows.ApplyDelayed()
	time.Sleep(2 * entryFeedInterval)
	assert.Assert(t, !find().Leaving)
}

// A life that has been followed by another says nothing more of the entry.
func TestFormerLifeOfAnEntryDoesNotReplaceTheRowOfTheNext(t *testing.T) {
	s := newCluster(t, 1, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	next := s.entries[0]
	next.writeEntryRow(ctx, false)
	former := &Server{Settings: next.Settings, instanceID: "former", Dependencies: next.Dependencies, relayStore: next.relayStore}
	former.stopping.Store(true)
	former.writeEntryRow(ctx, true)
	assert.NilError(t, ctx.Err())
	got, err := s.rows.Read(ctx, entryTable, "", "", "")
	assert.NilError(t, err)
	next.applyEntryRows(got.Rows)
	next.mu.Lock()
	defer next.mu.Unlock()
	assert.Assert(t, !next.entries["e0"].Leaving)
}

// An entry that had started again was avoided for what its former process had not
// answered.
func TestEntryThatStartedAgainIsNotAvoided(t *testing.T) {
	s := newCluster(t, 1, 1)
	e := s.entries[0]
	row := func(life string) table.Row {
		return table.Row{Key: table.Key{Table: entryTable, Name: "x"}, Value: []byte(`{"name":"x","addr":"127.0.0.1:1","life":"` + life + `"}`)}
	}
	avoided := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.avoided(monotonicNow(), "127.0.0.1:1")
	}
	e.applyEntryRows([]table.Row{row("a")})
	assert.Assert(t, e.callEntry(context.Background(), "127.0.0.1:1", "Ping", struct{}{}, &struct{}{}) != nil)
	assert.Assert(t, avoided())
	e.applyEntryRows([]table.Row{row("a")})
	assert.Assert(t, avoided())
	e.applyEntryRows([]table.Row{row("b")})
	assert.Assert(t, !avoided())
}
