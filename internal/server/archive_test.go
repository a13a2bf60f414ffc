package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"jasminestep/internal/loopback"
	"jasminestep/internal/shard"
	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
	"jasminestep/internal/work"
)

// rowsOf returns the rows of a table.
func rowsOf(tb testing.TB, s table.Store, name string) []table.Row {
	r, err := table.ReadAll(context.Background(), s, name)
	assert.NilError(tb, err)
	return r.Rows
}

// A job that is archived keeps its outcome: every entry shows it, it cannot be
// cancelled any more, and neither a repeated submission nor a new owner runs it
// again.
func TestArchivedJobKeepsItsOutcome(t *testing.T) {
	s := newCluster(t, 3, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	assert.Equal(t, s.submit(s.entries[0], jobName(1), "50ms", 5), http.StatusOK)
	s.eventually("archived", func() bool { return len(rowsOf(t, s.rows, outcomeTable)) == 1 })
	s.eventually("no other rows left", func() bool {
		return len(rowsOf(t, s.rows, jobTable)) == 0 && len(rowsOf(t, s.rows, shard.ProgressTable)) == 0
	})
	check := func(entries []*Server) {
		for _, e := range entries {
			assert.Equal(t, s.jobState(e, jobName(1)), "completed", "%s: %d jobs, %v", e.Settings.ID, len(rowsOf(t, s.rows, jobTable)), e.localOwner("svc") != nil)
			assert.Equal(t, s.submit(e, jobName(1), "50ms", 5), http.StatusOK)
			code, _ := s.request(e, http.MethodDelete, "/q/"+jobName(1), nil)
			assert.Equal(t, code, http.StatusOK)
			code, _ = s.request(e, http.MethodDelete, "/q/"+jobName(2), nil)
			assert.Equal(t, code, http.StatusGone)
		}
	}
	check(s.entries)
	i, o := s.owner()
	o.Kill()
	rest := append(append([]*Server{}, s.entries[:i]...), s.entries[i+1:]...)
	s.eventually("a new owner", func() bool {
		for _, e := range rest {
			if o := e.localOwner("svc"); o != nil && o.loaded.Load() {
				return true
			}
		}
		return false
	})
	check(rest)
	time.Sleep(200 * time.Millisecond)
	assert.Equal(t, s.fleet.starts, 5)
	assert.Equal(t, len(rowsOf(t, s.rows, jobTable)), 0)
}

// A notification that an entry sent before it was paused may reach the next
// owner after the job has been archived.
func TestLateNotificationOfAnArchivedJobIsIgnored(t *testing.T) {
	s := newCluster(t, 1, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil && o.localOwner("svc").loaded.Load() })
	o := s.entries[0].localOwner("svc")
	j := &work.Job{ID: jobName(1), Queue: "h/q/", Service: "svc", Steps: []work.Step{{Tasks: 1}}, Attempts: 1}
	o.submit(SubmitArgs{j, o.jobVersion})
	known := make(chan bool)
	o.post(func(time.Time) { known <- o.state.HasJob(j.ID) })
	assert.Assert(t, !<-known)
}

func TestOutcomesExpire(t *testing.T) {
	s := newCluster(t, 1, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	assert.Equal(t, s.submit(s.entries[0], jobName(1), "1ms", 1), http.StatusOK)
	s.eventually("archived", func() bool { return len(rowsOf(t, s.rows, outcomeTable)) == 1 })
	o := s.entries[0].localOwner("svc")
	part := jobKey(jobName(1)).Part
	unreadable := table.Key{Table: outcomeTable, Part: part, Name: "0"}
	_, err := s.rows.Do(context.Background(), table.Tx{Put: []table.Row{{Key: unreadable, Value: []byte("{")}}})
	assert.NilError(t, err)
	assert.NilError(t, o.expirePart(part, time.Now().Add(-time.Minute)))
	assert.Equal(t, len(rowsOf(t, s.rows, outcomeTable)), 2)
	assert.NilError(t, o.expirePart(part, time.Now().Add(time.Minute)))
	assert.Equal(t, len(rowsOf(t, s.rows, outcomeTable)), 1, "an unreadable row does not keep the others")
}

func TestArchiveTakesPartsThatAreDue(t *testing.T) {
	var q archiveQueue
	now := time.Unix(1000, 0)
	assert.Equal(t, len(q.take(now)), 0)
	q.add(now, []shard.JobStatus{{ID: jobName(1)}})
	assert.Equal(t, len(q.take(now.Add(archiveDelay/2))), 0)
	assert.Equal(t, len(q.take(now.Add(archiveDelay))), 1)
	assert.Equal(t, len(q.take(now.Add(archiveDelay))), 0)
	many := make([]shard.JobStatus, maxArchiveBatch+1)
	for i := range many {
		many[i].ID = jobName(1)
	}
	q.add(now, many)
	assert.Equal(t, len(q.take(now)), maxArchiveBatch, "a full batch does not wait")
	assert.Equal(t, len(q.take(now)), 0)
	assert.Equal(t, len(q.take(now.Add(archiveDelay))), 1)
}

// loadTest is a store with active and archived jobs, and an owner that reads it.
func loadTest(tb testing.TB, active, archived int) *owner {
	rows := &tabletest.Store{}
	put := func(key table.Key, v any) {
		b, err := json.Marshal(v)
		assert.NilError(tb, err)
		_, err = rows.Do(context.Background(), table.Tx{Put: []table.Row{{Key: key, Value: b}}})
		assert.NilError(tb, err)
	}
	for i := range active {
		put(jobKey(jobName(i)), work.Job{ID: jobName(i), Service: "svc", Attempts: 1, Steps: []work.Step{{Tasks: 3, Size: work.Size{CPU: 1000}}}})
	}
	for i := range archived {
		put(outcomeKey(jobName(active+i)), Outcome{Queue: "h/q/", State: shard.Completed})
	}
	set := Settings{ID: "e", Zone: "z", ClientAddr: loopback.Addr(), ReadinessAddr: loopback.Addr(), PeerAddr: loopback.Addr(), MetricsAddr: loopback.Addr(), Store: "127.0.0.1:1"}
	_, err := set.Check()
	assert.NilError(tb, err)
	s, err := New(set, Dependencies{Log: hclog.NewNullLogger(), Store: rows, Codec: testCodec()})
	assert.NilError(tb, err)
	s.cancel = func() {} // it is never started
	tb.Cleanup(s.Kill)
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	return newOwner(ctx, s, "svc", OwnerRow{Term: 1}, seqRow{})
}

// BenchmarkLoad measures the time that a new owner needs before it can decide, by
// the number of jobs that have ended.
func BenchmarkLoad(b *testing.B) {
	for _, archived := range []int{0, 5000, 50000} {
		b.Run(fmt.Sprintf("archived=%d", archived), func(b *testing.B) {
			o := loadTest(b, 500, archived)
			for b.Loop() {
				n := newOwner(o.ctx, o.s, "svc", OwnerRow{Term: 1}, seqRow{})
				assert.NilError(b, n.load())
			}
		})
	}
}
