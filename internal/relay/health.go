package relay

import "time"

// Timing of calls to the store. Factors are multiples of the smoothed latency.
const (
	minHedgeDelay       = 150 * time.Millisecond // bounds of the delay before another path is tried
	maxHedgeDelay       = 1500 * time.Millisecond
	hedgeFactor         = 3
	baseAnswerTimeout   = 600 * time.Millisecond // time without an answer on any path after which the store counts as unreachable
	answerTimeoutFactor = 2                      // added to the base
	minCallTimeout      = 1200 * time.Millisecond
	callTimeoutFactor   = 4
	maxCallTimeout      = 4 * time.Second
	busyWindow          = time.Second // table.ErrRateLimited within this time of a direct answer is a rate limit, not a failed path
	riseWeight          = 0.5         // weight of a new latency sample above the smoothed latency
	fallWeight          = 0.1         // weight of a sample below it
)

// health tracks the paths to the store. In the zero value the direct path is
// healthy.
type health struct {
	latency          time.Duration // smoothed latency of the direct path
	lastAnswer       time.Time     // last answer on any path
	lastDirect       time.Time     // last answer on the direct path
	directFailedAt   time.Time     // last failure of the direct path; zero once it has answered again
	unreachableSince time.Time     // since when no path has answered; zero if one does
	relayAddr        string        // address of the entry that relayed the last answer while the direct path failed
}

// hedgeDelay returns how long to wait for an answer before another path is
// tried as well.
func (h *health) hedgeDelay() time.Duration {
	return min(max(minHedgeDelay, hedgeFactor*h.latency), maxHedgeDelay)
}

// answerTimeout returns how long a call may go without an answer on any path
// before the store counts as unreachable.
func (h *health) answerTimeout() time.Duration {
	return baseAnswerTimeout + answerTimeoutFactor*h.latency
}

// callTimeout returns the time limit of a call on one path.
func (h *health) callTimeout() time.Duration {
	return min(max(minCallTimeout, callTimeoutFactor*h.latency), maxCallTimeout)
}

// directAnswered records an answer on the direct path. took is its latency, or
// 0 if the store may have held the answer back, which gives no sample.
func (h *health) directAnswered(now time.Time, took time.Duration) {
	if took > h.latency {
		h.latency += time.Duration(riseWeight * float64(took-h.latency))
	} else if took > 0 {
		h.latency -= time.Duration(fallWeight * float64(h.latency-took))
	}
	h.lastDirect, h.lastAnswer = now, now
	h.directFailedAt, h.unreachableSince, h.relayAddr = time.Time{}, time.Time{}, ""
}

// relayAnswered records an answer that the entry at addr relayed.
func (h *health) relayAnswered(now time.Time, addr string) {
	h.lastAnswer, h.unreachableSince, h.relayAddr = now, time.Time{}, addr
}

// directFailed records the failure of a call on the direct path that began at
// began. busy means that the store reported that it is over its rate.
func (h *health) directFailed(now, began time.Time, busy bool) {
	if busy && !h.lastDirect.IsZero() && now.Sub(h.lastDirect) < busyWindow {
		return
	}
	if !busy && h.lastDirect.After(began) {
		return // a later answer arrived on the path, so only this one was lost
	}
	h.directFailedAt = now
}

// noAnswer records that a call that began at began got no answer in time, and
// reports whether the store therefore counts as unreachable.
func (h *health) noAnswer(now, began time.Time) bool {
	if h.lastAnswer.After(began) {
		return false
	}
	if h.unreachableSince.IsZero() {
		h.unreachableSince = now
	}
	if h.directFailedAt.IsZero() {
		h.directFailedAt = now
	}
	return true
}

// directHealthy reports whether calls should use the direct path first.
func (h *health) directHealthy() bool {
	return h.directFailedAt.IsZero() && h.unreachableSince.IsZero()
}
