package server

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOtherEntriesCallTheMinions(t *testing.T) {
	s := newClusterWithDirect(t, 4, 3, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	i, o := s.owner()
	s.eventually("all entries known", func() bool { return len(o.otherEntries(monotonicNow())) == 3 })
	time.Sleep(2 * carrierListTTL)
	before := s.clients[i].renewals.Load()
	for n := range 5 {
		assert.Equal(t, s.submit(s.entries[n%4], jobName(n+1), "50ms", 5), http.StatusOK)
	}
	for n := range 5 {
		s.eventually("completed", func() bool { return s.jobState(o, jobName(n+1)) == "completed" })
	}
	assert.Equal(t, s.fleet.starts, 25)
	assert.Equal(t, s.clients[i].starts.Load(), int64(0))
	assert.Equal(t, s.clients[i].renewals.Load(), before)
}

// Runs must survive the loss of every carrier, and no task may be started
// twice.
func TestLostCarriersLoseNothing(t *testing.T) {
	s := newClusterWithDirect(t, 5, 4, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	_, o := s.owner()
	s.eventually("all entries known", func() bool { return len(o.otherEntries(monotonicNow())) == 4 })
	time.Sleep(2 * carrierListTTL)
	assert.Equal(t, s.submit(o, jobName(1), "4s", 8), http.StatusOK)
	s.eventually("all runs started", func() bool { return s.fleet.running() == 8 })
	for n := 0; n < len(s.entries); {
		e := s.entries[n]
		if e == o {
			n++
			continue
		}
		e.Kill()
		s.entries = append(s.entries[:n], s.entries[n+1:]...)
		assert.Equal(t, s.submit(o, jobName(len(s.entries)+1), "20ms", 2), http.StatusOK)
		time.Sleep(300 * time.Millisecond)
	}
	assert.Equal(t, len(s.entries), 1)
	for n := range 5 {
		s.eventually("completed", func() bool { return s.jobState(o, jobName(n+1)) == "completed" })
	}
	assert.Equal(t, s.fleet.starts, 16)
}

func TestPlannedStopOfACarrierDelaysNothing(t *testing.T) {
	s := newClusterWithDirect(t, 3, 2, 1)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	_, o := s.owner()
	s.eventually("all entries known", func() bool { return len(o.otherEntries(monotonicNow())) == 2 })
	time.Sleep(2 * carrierListTTL)
	for _, e := range s.entries {
		if e != o {
			go e.Stop()
			break
		}
	}
	for n := range 20 {
		startTime := time.Now()
		assert.Equal(t, s.submit(o, jobName(n+1), "20ms", 2), http.StatusOK)
		s.eventually("completed", func() bool { return s.jobState(o, jobName(n+1)) == "completed" })
		assert.Assert(t, time.Since(startTime) < time.Second, "%v", time.Since(startTime))
	}
}
