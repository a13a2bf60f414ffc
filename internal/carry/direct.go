package carry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jasminestep/internal/work"
)

// makeByKey is the key of the value that MakeBy adds to a context.
type makeByKey struct{}

// MakeBy returns a context for a call that may not be made later than at t, on the
// clock of the caller. A deadline does not ensure that: after the process was
// frozen, a call may be made before the timer of its context has run.
func MakeBy(ctx context.Context, t time.Time) context.Context {
	return context.WithValue(ctx, makeByKey{}, t)
}

// errHeldUp returns an error if a call with ctx may not be made any more.
func errHeldUp(ctx context.Context, now time.Time) error {
	t, ok := ctx.Value(makeByKey{}).(time.Time)
	if !ok || !now.After(t) {
		return nil
	}
	return notMade(fmt.Errorf("the call was held up until %v after its time", now.Sub(t)))
}

// maxReportAge is the maximum age of a report whose ends may be acknowledged.
// After a restart a minion numbers its ends from the beginning, so an
// acknowledgement meant for the previous incarnation would make it discard ends
// that nobody has seen. No minion restarts and ends a run within this time.
const maxReportAge = 150 * time.Millisecond

// DirectCaller calls minions from this process. It acknowledges only ends that
// were listed in the last report received here, within maxReportAge, and makes no
// call later than MakeBy permits. The zero value with MinionClient and Now set is
// ready to use.
type DirectCaller struct {
	MinionClient
	Now func() time.Time

	mu          sync.Mutex
	lastReports map[work.Incarnation]lastReport
}

// lastReport describes the last report of an incarnation of a minion.
type lastReport struct {
	lastEnd    int64 // number of the last end listed; 0 if none
	receivedAt time.Time
}

// ackUpTo returns the number of the last end to acknowledge to l, at most
// durable, or 0 for none.
func (h *DirectCaller) ackUpTo(now time.Time, l work.Incarnation, durable int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.lastReports[l]
	if !ok || now.Sub(r.receivedAt) > maxReportAge {
		return 0
	}
	return min(r.lastEnd, durable)
}

// recordReport records the ends listed in a report. A report without ends
// leaves nothing to acknowledge.
func (h *DirectCaller) recordReport(now time.Time, l work.Incarnation, ends []work.End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(ends) == 0 {
		delete(h.lastReports, l)
		return
	}
	if h.lastReports == nil {
		h.lastReports = map[work.Incarnation]lastReport{}
	}
	h.lastReports[l] = lastReport{ends[len(ends)-1].N, now}
}

// Start starts a task.
func (h *DirectCaller) Start(ctx context.Context, to *work.Minion, s work.Start) (work.Refusal, error) {
	if err := errHeldUp(ctx, h.Now()); err != nil {
		return work.Other, err
	}
	return h.MinionClient.Start(ctx, to, s)
}

// Stop stops a run.
func (h *DirectCaller) Stop(ctx context.Context, to *work.Minion, t work.TaskID, attempt int, token int64) error {
	if err := errHeldUp(ctx, h.Now()); err != nil {
		return err
	}
	return h.MinionClient.Stop(ctx, to, t, attempt, token)
}

// Throttle lets a run work at a percentage of its speed.
func (h *DirectCaller) Throttle(ctx context.Context, to *work.Minion, t work.TaskID, attempt, percent int, token int64) error {
	if err := errHeldUp(ctx, h.Now()); err != nil {
		return err
	}
	return h.MinionClient.Throttle(ctx, to, t, attempt, percent, token)
}

// Renew renews the leases of a minion and acknowledges those of its ends up to
// durable that its last report listed.
func (h *DirectCaller) Renew(ctx context.Context, to *work.Minion, token, until, durable int64, wait time.Duration) (work.Report, bool, error) {
	now := h.Now()
	if err := errHeldUp(ctx, now); err != nil {
		return work.Report{}, false, err
	}
	rep, fenced, err := h.MinionClient.Renew(ctx, to, token, until, h.ackUpTo(now, to.Incarnation, durable), wait)
	h.recordReport(h.Now(), to.Incarnation, rep.Ended)
	return rep, fenced, err
}
