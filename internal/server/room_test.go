package server

import (
	"net/http"
	"runtime/debug"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/shard"
	"jasminestep/internal/table/tabletest"
	"jasminestep/internal/work"
)

// newClusterWithMemory returns a cluster whose entries have some MB of memory. What they
// set for the whole process is taken back at the end.
func newClusterWithMemory(t *testing.T, entries int, memory int64) *cluster {
	limit, percent := debug.SetMemoryLimit(-1), debug.SetGCPercent(defaultGCPercent)
	t.Cleanup(func() {
		debug.SetMemoryLimit(limit)
		debug.SetGCPercent(percent)
	})
	s := &cluster{t: t, rows: &tabletest.Store{}, fleet: newFleet(2, 4000), memory: memory}
	s.run(entries, testConfig(1))
	s.eventually("an owner that has loaded", func() bool {
		_, o := s.owner()
		return o != nil && o.localOwner("svc").loaded.Load()
	})
	return s
}

// hopelessJob fits on no minion, so it stays.
func hopelessJob(n int) work.Job {
	return work.Job{Steps: []work.Step{{Tasks: n, Size: work.Size{CPU: 1_000_000}}}}
}

// Guards against LOST: a crowd of large jobs was accepted, whose owners exceeded their
// memory one after the other, so that accepted small jobs never ran.
func TestCrowdOfLargeJobsLeavesRoomForSmallOnes(t *testing.T) {
	s := newClusterWithMemory(t, 3, 100)
	weight, accepted := int64(0), 0
	for i := range 30 {
		j := hopelessJob(maxTasks)
		if code, _ := s.request(s.entries[i%3], http.MethodPost, "/q/"+jobName(i), j); code == http.StatusOK {
			accepted++
			weight += shard.Weight(&j)
		} else {
			assert.Equal(t, code, http.StatusServiceUnavailable)
		}
	}
	assert.Assert(t, accepted > 0 && weight <= s.entries[0].Settings.jobsLimit(), "%d jobs, %d bytes", accepted, weight)
	for i := range 12 {
		assert.Equal(t, s.submit(s.entries[i%3], jobName(100+i), "50ms", 2), http.StatusOK)
	}
	for i := range 12 {
		s.eventually("completed", func() bool { return s.jobState(s.entries[0], jobName(100+i)) == "completed" })
	}
}

// Small jobs must not exceed the memory either, and room that is free again is used.
func TestSmallJobsAreRefusedWithoutRoomAndAcceptedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	var rs jobRooms
	r, ask := rs.about(now, "svc")
	assert.Assert(t, ask && r.admits(now, smallJob), "nothing is known")
	_, ask = rs.about(now.Add(roomInterval/2), "svc")
	assert.Assert(t, !ask)
	rs.told("svc", RoomReply{Owns: true, Free: 100})
	now = monotonicNow()
	r, _ = rs.about(now, "svc")
	assert.Assert(t, r.admits(now, 100) && !r.admits(now, 101))
	rs.told("svc", RoomReply{})
	r, _ = rs.about(now, "svc")
	assert.Assert(t, !r.admits(now, 101), "not an owner")
	rs.told("svc", RoomReply{Owns: true, Free: 1000})
	r, _ = rs.about(now, "svc")
	assert.Assert(t, r.admits(now, 101))
	assert.Assert(t, r.admits(now.Add(2*roomAge), 2000), "the owner has told nothing lately")
}
