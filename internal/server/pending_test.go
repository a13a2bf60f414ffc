package server

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// pendingAt is the number of pending jobs of the queue that an entry tells, or -1.
func (s *cluster) pendingAt(e *Server) int {
	if code, body := s.request(e, http.MethodGet, "/q/", nil); code == http.StatusOK {
		if n, err := strconv.Atoi(strings.TrimSpace(body)); err == nil {
			return n
		}
	}
	return -1
}

// Guards against MIXED: the configuration sent a queue to another service, and jobs that
// waited at the former one were not counted as pending any more.
func TestPendingJobsOfAQueueThatHasMovedAreCounted(t *testing.T) {
	s := newCluster(t, 2, 2)
	s.eventually("an owner", func() bool { _, o := s.owner(); return o != nil })
	assert.Equal(t, s.submit(s.entries[0], jobName(1), "1h", 8), http.StatusOK)
	s.eventually("both minions are full", func() bool { return s.fleet.running() == 8 })
	for n := 2; n <= 4; n++ {
		assert.Equal(t, s.submit(s.entries[0], jobName(n), "10ms", 1), http.StatusOK)
	}
	s.eventually("three are pending", func() bool { return s.pendingAt(s.entries[1]) == 3 })

	cfg := testConfig(2)
	cfg.Services = append(cfg.Services, work.Service{Name: "other"})
	cfg.Queues[0].Service = "other"
	s.putRow("conf", "now", cfg)
	for _, e := range s.entries {
		s.eventually("the new configuration", func() bool { return e.cfg.Load().Version == 2 })
		s.eventually("still three", func() bool { return s.pendingAt(e) == 3 })
		e.cfgSince.Add(-acceptWindow.Nanoseconds())
		for range 3 {
			assert.Equal(t, s.pendingAt(e), 3)
		}
		former, known := e.formerServices.of(cfg.Queues[0].Key(), 2)
		assert.Assert(t, known)
		assert.DeepEqual(t, former, []string{"svc"})
	}

	code, _ := s.request(s.entries[0], http.MethodDelete, "/q/"+jobName(1), nil)
	assert.Equal(t, code, http.StatusOK)
	for _, e := range s.entries {
		s.eventually("none is pending", func() bool { return s.pendingAt(e) == 0 })
		former, _ := e.formerServices.of(cfg.Queues[0].Key(), 2)
		assert.Equal(t, len(former), 0)
	}
}
