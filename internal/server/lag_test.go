package server

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"jasminestep/internal/carry"
)

// An owner that was late itself took replies that had arrived for missing.
func TestLateOwnerTakesRepliesForMissing(t *testing.T) {
	const limit, lag = 10 * time.Millisecond, 150 * time.Millisecond
	o := &owner{}
	var reports atomic.Int64
	report := func() { reports.Add(1) }
	o.watchCall(limit, report)
	time.Sleep(5 * limit)
	assert.Equal(t, reports.Load(), int64(1), "the owner is not late")

	o.lag.observe(monotonicNow(), lag)
	w := o.watchCall(limit, report)
	time.Sleep(5 * limit)
	assert.Equal(t, reports.Load(), int64(1), "the reply may have been here")
	w.stop()
	time.Sleep(lag)
	assert.Equal(t, reports.Load(), int64(1))

	w = o.watchCall(limit, report)
	defer w.stop()
	time.Sleep(limit + (maxExcuses+1)*lag)
	assert.Equal(t, reports.Load(), int64(2), "an owner that stays late reports too")
}

// Renewals that this process has delayed do not count as silence, but not for ever.
func TestLateRenewalsAreExcusedForATime(t *testing.T) {
	o := &owner{}
	h := &minionHandler{o: o}
	timeout := errors.Wrap(context.DeadlineExceeded, "call")
	assert.Assert(t, !h.excused(timeout), "the owner is not late")
	o.lag.observe(monotonicNow(), lateCallDelay)
	for range maxRenewalExcuses {
		assert.Assert(t, h.excused(timeout))
	}
	assert.Assert(t, !h.excused(timeout))
	h.excuses = 0
	assert.Assert(t, !h.excused(errors.New("connection refused")))
	assert.Assert(t, h.excused(errors.Mark(errors.New("held up"), carry.ErrNotMade)))
}

func TestLagIsForgotten(t *testing.T) {
	var l lagMeter
	now := time.Unix(1_700_000_000, 0)
	l.observe(now, time.Second)
	assert.Equal(t, l.recent(), time.Second)
	l.observe(now.Add(lagWindow+1), 0)
	assert.Equal(t, l.recent(), time.Second, "kept for one more window")
	l.observe(now.Add(2*lagWindow+2), 0)
	assert.Equal(t, l.recent(), time.Duration(0))
}
