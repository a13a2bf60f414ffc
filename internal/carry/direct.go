package carry

import (
	"context"
	"sync"
	"time"

	"jasminestep/internal/work"
)

// freshReport is how old a report may be when its ends are acknowledged. Once a
// minion has started anew its ends have the same numbers again, and an
// acknowledgement meant for the former life would make it forget ends that
// nobody has seen; no minion starts anew and ends a run within this time.
const maxReportAge = 150 * time.Millisecond

// DirectCaller makes calls to minions from this process. It lets a minion forget only
// ends that its last answer here listed, just now. The zero value with Minions
// and Now set is ready.
type DirectCaller struct {
	MinionClient
	Now func() time.Time

	mu          sync.Mutex
	lastReports map[work.Life]lastReport
}

// listed is the last answer of a life.
type lastReport struct {
	lastEnd    int64 // the last end that it lists; 0 if it lists none
	receivedAt time.Time
}

// seen is up to which end a life is told to forget, if ends up to durable may be.
func (h *DirectCaller) ackUpTo(now time.Time, l work.Life, durable int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.lastReports[l]
	if !ok || now.Sub(r.receivedAt) > maxReportAge {
		return 0
	}
	return min(r.lastEnd, durable)
}

// heard notes the answer of a life; without ends there is nothing to forget.
func (h *DirectCaller) recordReport(now time.Time, l work.Life, ends []work.End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(ends) == 0 {
		delete(h.lastReports, l)
		return
	}
	if h.lastReports == nil {
		h.lastReports = map[work.Life]lastReport{}
	}
	h.lastReports[l] = lastReport{ends[len(ends)-1].N, now}
}

// Renew renews the leases of a life, and lets it forget those of its ends up to
// durable that it has just listed.
func (h *DirectCaller) Renew(ctx context.Context, to *work.Minion, token, until, durable int64, wait time.Duration) (work.Report, bool, error) {
	rep, fenced, err := h.MinionClient.Renew(ctx, to, token, until, h.ackUpTo(h.Now(), to.Life, durable), wait)
	h.recordReport(h.Now(), to.Life, rep.Ended)
	return rep, fenced, err
}
