package server

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

func TestRetryAfterFollowsTheObjective(t *testing.T) {
	for _, c := range []struct {
		estimate time.Duration
		slack    float64
		target   time.Duration
		want     time.Duration
	}{
		{640 * time.Millisecond, 1.5, 300 * time.Millisecond, time.Second},
		{6200 * time.Millisecond, 2.2, time.Second, 2 * time.Second},
		{4 * time.Second, 4, 3 * time.Second, 3 * time.Second},
		{time.Hour, 4, 0, maxRetryAfter},
	} {
		j := &work.Job{Slack: c.slack, Target: c.target, Steps: []work.Step{{Estimate: c.estimate}}}
		assert.Equal(t, retryAfter(j), c.want, "%v", c.estimate)
	}
}

// retries is how often a client repeats a request that was rejected.
const retries = 4

// firstTryAfter returns when a client that first tries at the given time gets
// through, after an outage from 0 to end, and whether it does.
func firstTryAfter(at, end, gap time.Duration) (time.Duration, bool) {
	for range retries + 1 {
		if at >= end {
			return at, true
		}
		at += gap
	}
	return 0, false
}

// In an outage of 5.5 s clients that come back each second give up if they first
// tried in its first 1.5 s. All jobs that could still be on time afterwards must
// be accepted, and on time.
func TestJobsWithTimeOutlastAnOutage(t *testing.T) {
	const outage = 5500 * time.Millisecond
	j := &work.Job{Slack: 2.2, Target: time.Second, Steps: []work.Step{{Estimate: 6200 * time.Millisecond}}}
	latest := j.Objective() - 6200*time.Millisecond // begin of the run
	lost := 0
	for at := time.Duration(0); at < outage; at += 100 * time.Millisecond {
		if _, ok := firstTryAfter(at, outage, minRetryAfter); !ok {
			lost++
		}
		accepted, ok := firstTryAfter(at, outage, retryAfter(j))
		assert.Check(t, ok, "first try at %v", at)
		assert.Check(t, accepted-at < latest, "first try at %v, accepted at %v", at, accepted)
	}
	assert.Check(t, lost > 0, "the outage is too short to show a difference")
}
