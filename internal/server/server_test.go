package server

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/shard"
	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
)

func TestJobRunsToItsEnd(t *testing.T) {
	s := newCluster(t, 3, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	assert.Equal(t, s.submit(s.entries[0], jobName(1), "50ms", 5), http.StatusOK)
	for _, e := range s.entries {
		s.eventually("completed", func() bool { return s.jobState(e, jobName(1)) == "completed" })
	}
	assert.Equal(t, s.fleet.starts, 5)
	assert.Equal(t, s.submit(s.entries[1], jobName(1), "50ms", 5), http.StatusOK)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, s.fleet.starts, 5, "a job submitted again must not run again")
}

func TestBadJobsLeaveNothing(t *testing.T) {
	s := newCluster(t, 1, 1)
	e := s.entries[0]
	s.eventually("a configuration", func() bool { return e.cfg.Load() != nil })
	for name, c := range map[string]struct {
		path string
		body any
		want int
	}{
		"no queue":         {"/x/" + jobName(1), nil, http.StatusNotFound},
		"bad id":           {"/q/xyz", nil, http.StatusBadRequest},
		"no steps":         {"/q/" + jobName(1), map[string]any{}, http.StatusBadRequest},
		"no object":        {"/q/" + jobName(1), "text", http.StatusBadRequest},
		"cycle":            {"/q/" + jobName(1), map[string]any{"st": []any{map[string]any{"n": 1, "a": []int{0}}}}, http.StatusBadRequest},
		"negative size":    {"/q/" + jobName(1), map[string]any{"st": []any{map[string]any{"n": 1, "s": map[string]any{"c": -1}}}}, http.StatusBadRequest},
		"impossible count": {"/q/" + jobName(1), map[string]any{"st": []any{map[string]any{"n": 1_000_000}}}, http.StatusBadRequest},
	} {
		code, _ := s.request(e, http.MethodPost, c.path, c.body)
		assert.Equal(t, code, c.want, name)
	}
	r, err := table.ReadAll(context.Background(), s.rows, jobTable)
	assert.NilError(t, err)
	assert.Equal(t, len(r.Rows), 0)
}

func TestKilledOwnerIsReplaced(t *testing.T) {
	s := newCluster(t, 3, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	i, o := s.owner()
	assert.Equal(t, s.submit(o, jobName(1), "600ms", 6), http.StatusOK)
	s.eventually("all runs started", func() bool { return s.fleet.running() == 6 })
	o.Kill()
	s.entries = append(s.entries[:i], s.entries[i+1:]...)
	startTime := time.Now()
	assert.Equal(t, s.submit(s.entries[0], jobName(2), "10ms", 1), http.StatusOK, "jobs must be accepted while there is no owner")
	s.eventually("both completed", func() bool {
		return s.jobState(s.entries[0], jobName(1)) == "completed" && s.jobState(s.entries[1], jobName(2)) == "completed"
	})
	t.Logf("jobs completed %v after the kill", time.Since(startTime))
	assert.Equal(t, s.fleet.starts, 7)
}

func TestPlannedStopHandsOver(t *testing.T) {
	s := newCluster(t, 2, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	i, o := s.owner()
	startTime := time.Now()
	go o.Stop()
	s.eventually("another owner", func() bool { return s.entries[1-i].localOwner("svc") != nil })
	t.Logf("shard owned by the next entry %v after the signal", time.Since(startTime))
	code, _ := s.request(o, http.MethodGet, "/q/", nil)
	assert.Equal(t, code, http.StatusOK, "a stopping entry must still respond")
}

func TestOwnerCutFromTheStoreGoesOn(t *testing.T) {
	s := newCluster(t, 3, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	i, o := s.owner()
	s.eventually("all entries known", func() bool { return len(o.otherEntries(monotonicNow())) == 2 })
	s.stores[i].setCut(true)
	for n := range 5 {
		assert.Equal(t, s.submit(o, jobName(n+1), "20ms", 2), http.StatusOK, "submitted through another entry's store connection")
	}
	for n := range 5 {
		s.eventually("completed", func() bool { return s.jobState(o, jobName(n+1)) == "completed" })
	}
	assert.Equal(t, s.fleet.starts, 10)
}

// Guards against an owner that starts nothing any more because its rows of minions
// grow old: the store turns just its entry away, and the feed of rows has to come
// through other entries, as writes do.
func TestOwnerThatAloneLostTheStoreKeepsStartingTasks(t *testing.T) {
	s := newCluster(t, 3, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	i, o := s.owner()
	s.eventually("all entries known", func() bool { return len(o.otherEntries(monotonicNow())) == 2 })
	s.stores[i].setCut(true)
	time.Sleep(o.Settings.maxRowAge() + time.Second)
	at, _ := s.owner()
	assert.Equal(t, at, i, "the shard stays with its owner")
	assert.Equal(t, s.submit(o, jobName(1), "20ms", 2), http.StatusOK)
	s.eventually("completed", func() bool { return s.jobState(o, jobName(1)) == "completed" })
}

func TestStoreOutageIsToldAtOnce(t *testing.T) {
	s := newCluster(t, 2, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	var down atomic.Bool
	down.Store(true)
	s.injectFaults(func(table.Tx) tabletest.Fault {
		if down.Load() {
			return tabletest.CallRejected
		}
		return tabletest.NoFault
	})
	startTime := time.Now()
	assert.Equal(t, s.submit(s.entries[0], jobName(1), "10ms", 1), http.StatusServiceUnavailable)
	assert.Assert(t, time.Since(startTime) < time.Second, "%v", time.Since(startTime))
	down.Store(false)
	s.eventually("accepted", func() bool { return s.submit(s.entries[0], jobName(1), "10ms", 1) == http.StatusOK })
	s.eventually("completed", func() bool { return s.jobState(s.entries[1], jobName(1)) == "completed" })
}

func TestLostAnswersAcceptOnce(t *testing.T) {
	s := newCluster(t, 2, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	var n atomic.Int64
	s.injectFaults(func(table.Tx) tabletest.Fault {
		switch n.Add(1) % 3 {
		case 0:
			return tabletest.ReplyLost
		case 1:
			return tabletest.RequestDelayed
		}
		return tabletest.NoFault
	})
	for i := range 6 {
		s.eventually("accepted", func() bool { // retries like a client that got no response or was told to retry
			code := s.submit(s.entries[i%2], jobName(i+1), "20ms", 2)
			s.rows.ApplyDelayed()
			return code == http.StatusOK
		})
	}
	for i := range 6 {
		s.eventually("completed", func() bool { s.rows.ApplyDelayed(); return s.jobState(s.entries[0], jobName(i+1)) == "completed" })
	}
	assert.Equal(t, s.fleet.starts, 12)
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	s := newCluster(t, 2, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	for i := range 3 {
		s.rows.TrimHistory()
		assert.Equal(t, s.submit(s.entries[0], jobName(i+1), "10ms", 1), http.StatusOK)
		s.rows.TrimHistory()
		s.eventually("completed", func() bool { return s.jobState(s.entries[1], jobName(i+1)) == "completed" })
	}
}

func TestCancelStopsRuns(t *testing.T) {
	s := newCluster(t, 2, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	assert.Equal(t, s.submit(s.entries[0], jobName(1), "1h", 4), http.StatusOK)
	s.eventually("all runs started", func() bool { return s.fleet.running() == 4 })
	code, _ := s.request(s.entries[1], http.MethodDelete, "/q/"+jobName(1), nil)
	assert.Equal(t, code, http.StatusOK)
	s.eventually("no run left", func() bool { return s.fleet.running() == 0 })
	s.eventually("cancellation shown", func() bool { return s.jobState(s.entries[0], jobName(1)) == "canceled" })
	code, _ = s.request(s.entries[0], http.MethodDelete, "/q/"+jobName(2), nil)
	assert.Equal(t, code, http.StatusGone)
}

func TestEveryoneKilledKeepsWhatWasAccepted(t *testing.T) {
	s := newCluster(t, 3, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	for i := range 6 {
		assert.Equal(t, s.submit(s.entries[i%3], jobName(i+1), "300ms", 2), http.StatusOK)
	}
	for _, e := range s.entries {
		e.Kill()
	}
	s.entries, s.stores = nil, nil
	for _, id := range []string{"e0", "e3"} {
		s.startEntry(id)
	}
	for i := range 6 {
		s.eventually("completed", func() bool { return s.jobState(s.entries[0], jobName(i+1)) == "completed" })
	}
}

func TestOneWriteOfAChainLands(t *testing.T) {
	s := newCluster(t, 1, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	var later atomic.Bool
	s.injectFaults(func(table.Tx) tabletest.Fault {
		if later.Swap(false) {
			return tabletest.RequestDelayed
		}
		return tabletest.NoFault
	})
	later.Store(true)
	assert.Equal(t, s.submit(s.entries[0], jobName(1), "10ms", 3), http.StatusOK)
	s.eventually("completed", func() bool { return s.jobState(s.entries[0], jobName(1)) == "completed" })
	s.rows.ApplyDelayed() // applies the delayed write of the owner or of the job, which a later one has superseded
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, s.jobState(s.entries[0], jobName(1)), "completed")
	_, o := s.owner()
	assert.Assert(t, o != nil)
}

// The fleet records a violation if an end is acknowledged that its last report
// did not list.
func TestEndsAreAcknowledgedOnce(t *testing.T) {
	s := newCluster(t, 1, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	assert.Equal(t, s.submit(s.entries[0], jobName(1), "10ms", 3), http.StatusOK)
	s.eventually("completed", func() bool { return s.jobState(s.entries[0], jobName(1)) == "completed" })
	time.Sleep(2*renewWait + 300*time.Millisecond)
}

// The fleet records a violation if an end is acknowledged long after it was
// reported. Here the store refuses writes for a while, which delays
// acknowledgements.
func TestAcknowledgementsAreFresh(t *testing.T) {
	s := newCluster(t, 1, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	var down atomic.Int64 // Unix nanoseconds until which the store refuses
	s.injectFaults(func(table.Tx) tabletest.Fault {
		if time.Now().UnixNano() < down.Load() {
			return tabletest.CallRejected
		}
		return tabletest.NoFault
	})
	for i, ms := range []time.Duration{450, 550, 650, 750, 850} {
		assert.Equal(t, s.submit(s.entries[0], jobName(i+1), "100ms", 4), http.StatusOK)
		s.eventually("all runs started", func() bool { return s.fleet.running() == 4 })
		down.Store(time.Now().Add(ms * time.Millisecond).UnixNano())
		s.eventually("completed", func() bool { return s.jobState(s.entries[0], jobName(i+1)) == "completed" })
	}
	time.Sleep(300 * time.Millisecond)
}

func TestPendingCountsWhatTheOwnerCannotWriteAbout(t *testing.T) {
	s := newCluster(t, 1, 0)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	e := s.entries[0]
	s.injectFaults(func(tx table.Tx) tabletest.Fault {
		if len(tx.Put) > 0 && tx.Put[0].Table == seqTable {
			return tabletest.RequestLost // drops every write of the owner
		}
		return tabletest.NoFault
	})
	time.Sleep(2 * maxWriteInterval) // a write is now in progress
	for i := range 4 {
		s.eventually("accepted", func() bool { return s.submit(e, jobName(i+1), "10ms", 1) == http.StatusOK })
	}
	s.eventually("jobs counted", func() bool { _, b := s.request(e, http.MethodGet, "/q/", nil); return b == "4\n" })
	s.injectFaults(nil)
}

func TestRelayPassesOverEntriesThatAreCutToo(t *testing.T) {
	s := newCluster(t, 4, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	i, o := s.owner()
	s.eventually("all entries known", func() bool { return len(o.otherEntries(monotonicNow())) == 3 })
	first := o.otherEntries(monotonicNow())[0]
	for k, e := range s.entries {
		if k == i || e.Settings.PeerAddr == first {
			s.stores[k].setHanging(true)
		}
	}
	time.Sleep(500 * time.Millisecond)
	startTime := time.Now()
	for n := range 4 {
		assert.Equal(t, s.submit(o, jobName(n+1), "10ms", 1), http.StatusOK)
	}
	s.eventually("completed", func() bool { return s.jobState(o, jobName(4)) == "completed" })
	assert.Assert(t, time.Since(startTime) < 4*time.Second, "%v", time.Since(startTime))
}

// An owner must skip malformed rows and keep working.
func TestMalformedRowsEndNoOwner(t *testing.T) {
	s := newCluster(t, 0, 1)
	row := func(tab, part, name, v string) {
		_, err := s.rows.Do(context.Background(), table.Tx{Put: []table.Row{{Key: table.Key{Table: tab, Part: part, Name: name}, Value: []byte(v)}}})
		assert.NilError(t, err)
	}
	job := func(n int, steps string) {
		k := jobKey(jobName(n))
		row(k.Table, k.Part, k.Name, `{"id":"`+jobName(n)+`","q":"h/q/","sv":"svc","ma":3,"st":`+steps+`}`)
	}
	job(1, `[{"n":1},{"n":1,"a":[7]}]`)
	job(2, `[{"n":-1}]`)
	job(3, `[{"n":1}]`)
	row("progress", "svc", jobName(3), `{"st":"active","r":[{"s":[[{},{},{"p":1,"m":"x"}]]}]}`)
	job(4, `[{"n":1}]`)
	row("progress", "svc", jobName(4), `{"st":"active","r":[{"k":-3,"s":[[{"p":9}],[{}]]}]}`)
	job(5, `"text"`)
	row("job", "p1", "x.cancel", "")
	s.startEntry("e0")
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	assert.Equal(t, s.submit(s.entries[0], jobName(9), "10ms", 1), http.StatusOK)
	s.eventually("completed", func() bool { return s.jobState(s.entries[0], jobName(9)) == "completed" })
}

// While no owner responds, a job's state is read from the store, be it in a row
// of its own or in a bundle.
func TestStateIsReadFromABundle(t *testing.T) {
	s := newCluster(t, 1, 0)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	k := jobKey(jobName(1))
	ctx := context.Background()
	for _, r := range []table.Row{
		{Key: k, Value: []byte(`{"id":"` + jobName(1) + `","q":"h/q/","sv":"svc","st":[{"n":1}]}`)},
		{Key: table.Key{Table: "progress", Part: "svc", Name: ".b.1.1"}, Value: []byte(`{"` + jobName(1) + `":{"st":"active"}}`)},
	} {
		_, err := s.rows.Do(ctx, table.Tx{Put: []table.Row{r}})
		assert.NilError(t, err)
	}
	sh, found, err := s.entries[0].readState(ctx, jobName(1))
	assert.NilError(t, err)
	assert.Assert(t, found)
	assert.Equal(t, string(sh.State), "active")
}

// An entry that is being stopped must not be named as the successor in a
// handover.
func TestStoppingEntryIsNotNamed(t *testing.T) {
	s := newCluster(t, 3, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	_, o := s.owner()
	s.eventually("all entries known", func() bool { return len(o.otherEntries(monotonicNow())) == 2 })
	named := o.successor(monotonicNow(), "svc")
	for _, e := range s.entries {
		if e.Settings.ID == named {
			go e.Stop()
		}
	}
	s.eventually("another successor named", func() bool { n := o.successor(monotonicNow(), "svc"); return n != named && n != "" })
}

// While a new owner still reads its shard, the number of pending jobs is asked
// for again instead of turning the client away.
func TestPendingJobsWaitForTheOwnerToLoad(t *testing.T) {
	s := newCluster(t, 1, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil && o.localOwner("svc").loaded.Load() })
	o := s.entries[0].localOwner("svc")
	o.loaded.Store(false)
	time.AfterFunc(200*time.Millisecond, func() { o.loaded.Store(true) })
	code, _ := s.request(s.entries[0], http.MethodGet, "/q/", nil)
	assert.Equal(t, code, http.StatusOK)
	o.loaded.Store(false)
	code, _ = s.request(s.entries[0], http.MethodGet, "/q/", nil)
	assert.Equal(t, code, http.StatusServiceUnavailable)
	o.loaded.Store(true)
}

// Guards against minions that are given up because of another writer: a row that
// cannot be read, under the ID of a minion, ended it when all rows were read.
func TestUnreadableRowEndsNoMinion(t *testing.T) {
	s := newCluster(t, 1, 2)
	s.eventually("an owner", func() bool { _, e := s.owner(); return e != nil })
	_, e := s.owner()
	unlisted := make(chan []string)
	o := e.localOwner("svc")
	o.post(func(now time.Time) {
		o.applyMinionRows(now, []table.Row{{Key: table.Key{Table: "minion", Name: "m0"}, Value: []byte("{")}}, true)
		var ids []string
		for _, n := range o.state.Notes {
			if n.What == shard.MinionUnlisted {
				ids = append(ids, n.Minion)
			}
		}
		unlisted <- ids
	})
	assert.DeepEqual(t, <-unlisted, []string{"m1"})
}
