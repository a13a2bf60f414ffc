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
const freshReport = 150 * time.Millisecond

// Hands makes calls to minions from this process. It lets a minion forget only
// ends that its last answer here listed, just now. The zero value with Minions
// and Now set is ready.
type Hands struct {
	Minions
	Now func() time.Time

	mu   sync.Mutex
	last map[work.Incarnation]listed
}

// listed is the last answer of a life.
type listed struct {
	end int64 // the last end that it lists; 0 if it lists none
	at  time.Time
}

// seen is up to which end a life is told to forget, if ends up to durable may be.
func (h *Hands) seen(now time.Time, l work.Incarnation, durable int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.last[l]
	if !ok || now.Sub(r.at) > freshReport {
		return 0
	}
	return min(r.end, durable)
}

// heard notes the answer of a life; without ends there is nothing to forget.
func (h *Hands) heard(now time.Time, l work.Incarnation, ends []work.End) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(ends) == 0 {
		delete(h.last, l)
		return
	}
	if h.last == nil {
		h.last = map[work.Incarnation]listed{}
	}
	h.last[l] = listed{ends[len(ends)-1].N, now}
}

// Renew renews the leases of a life, and lets it forget those of its ends up to
// durable that it has just listed.
func (h *Hands) Renew(ctx context.Context, to *work.Minion, token, until, durable int64, wait time.Duration) (work.Report, bool, error) {
	rep, fenced, err := h.Minions.Renew(ctx, to, token, until, h.seen(h.Now(), to.Incarnation, durable), wait)
	h.heard(h.Now(), to.Incarnation, rep.Ended)
	return rep, fenced, err
}
