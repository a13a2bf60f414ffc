package carry

import (
	"context"
	"sync"
	"time"

	"jasminestep/internal/work"
)

// maxReportAge is the maximum age of a report whose ends may be acknowledged.
// After a restart a minion numbers its ends from the beginning, so an
// acknowledgement meant for the previous incarnation would make it discard ends
// that nobody has seen. No minion restarts and ends a run within this time.
const maxReportAge = 150 * time.Millisecond

// DirectCaller calls minions from this process. It acknowledges only ends that
// were listed in the last report received here, within maxReportAge. The zero
// value with MinionClient and Now set is ready to use.
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

// Renew renews the leases of a minion and acknowledges those of its ends up to
// durable that its last report listed.
func (h *DirectCaller) Renew(ctx context.Context, to *work.Minion, token, until, durable int64, wait time.Duration) (work.Report, bool, error) {
	rep, fenced, err := h.MinionClient.Renew(ctx, to, token, until, h.ackUpTo(h.Now(), to.Incarnation, durable), wait)
	h.recordReport(h.Now(), to.Incarnation, rep.Ended)
	return rep, fenced, err
}
