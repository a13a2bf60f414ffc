package server

import (
	"net/http"
	"os"
	"regexp"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// zoneCut is how long a cut of a zone lasts that work without lasting tasks outlasts.
const zoneCut = 7 * time.Second

// longPoll is how old the last extension of a lease may be.
const longPoll = time.Second

// TestDeployedBatchLeaseOutlastsACut guards against a lease in the deploy file that
// ends all work in a zone that is cut off for a short time.
func TestDeployedBatchLeaseOutlastsACut(t *testing.T) {
	b, err := os.ReadFile("../../deploy/entry.json")
	assert.NilError(t, err)
	m := regexp.MustCompile(`"batch": (\d+)`).FindSubmatch(b)
	assert.Assert(t, m != nil)
	ms, err := strconv.Atoi(string(m[1]))
	assert.NilError(t, err)
	assert.Assert(t, time.Duration(ms)*time.Millisecond >= zoneCut+longPoll, "%d ms", ms)
}

func TestBatchLeaseSetting(t *testing.T) {
	check := func(lease, batch int64) (int64, string) {
		s := loadTest(t, 0, 0).s.Settings
		s.Lease, s.BatchLease = lease, batch
		name, _ := s.Check()
		return s.BatchLease, name
	}
	got, name := check(5500, 0)
	assert.Equal(t, got, int64(5500))
	assert.Equal(t, name, "")
	got, name = check(5500, 8500)
	assert.Equal(t, got, int64(8500))
	assert.Equal(t, name, "")
	for _, batch := range []int64{-1, 5499, 9001} {
		_, name = check(5500, batch)
		assert.Equal(t, name, "batch", "%d", batch)
	}
}

// TestOwnerPromisesWhatItsLeasesNeed lets lasting jobs come and go in a running
// cluster, whose writes are made by other goroutines than its decisions.
func TestOwnerPromisesWhatItsLeasesNeed(t *testing.T) {
	s := newCluster(t, 0, 2)
	s.batch = 8500
	s.startEntry("e0")
	e := s.entries[0]
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	assert.Equal(t, s.submit(e, jobName(1), "1h", 2), http.StatusOK)
	promised := func() time.Duration { // by the newest write, from now
		seq, err := e.localOwner("svc").s.readSeq(t.Context(), "svc")
		assert.NilError(t, err)
		end, ok := e.storeClock.now().Reached(seq.Promise)
		assert.Assert(t, ok)
		return end.Sub(monotonicNow())
	}
	s.eventually("long leases", func() bool { return promised() > 8*time.Second })
	for i := range 2 {
		id := jobName(2 + i)
		lasting := work.Job{Spec: "1h", Steps: []work.Step{{Tasks: 1, Size: work.Size{CPU: 1000}, Lasting: true}}}
		code, _ := s.request(e, http.MethodPost, "/q/"+id, lasting)
		assert.Equal(t, code, http.StatusOK)
		s.eventually("short leases", func() bool { return promised() < 6*time.Second })
		code, _ = s.request(e, http.MethodDelete, "/q/"+id, nil)
		assert.Assert(t, code < http.StatusMultipleChoices, "%d", code)
		s.eventually("long leases", func() bool { return promised() > 8*time.Second })
	}
	s.eventually("no other run is left", func() bool { return s.fleet.running() == 2 })
}
