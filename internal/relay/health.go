package relay

import "time"

// Timing of calls to the store. Factors are multiples of the smoothed latency.
const (
	hedgeLeast    = 150 * time.Millisecond // bounds of the delay before another path is tried
	hedgeMost     = 1500 * time.Millisecond
	hedgeTimes    = 3
	patienceLeast = 600 * time.Millisecond // time without an answer on any path after which the store counts as unreachable
	patienceTimes = 2                      // added to the base
	callLeast     = 1200 * time.Millisecond
	callTimes     = 4
	callMost      = 4 * time.Second
	busyFor       = time.Second // table.ErrBusy within this time of a direct answer is a rate limit, not a failed path
	riseShare     = 0.5         // weight of a new latency sample above the smoothed latency
	fallShare     = 0.1         // weight of a sample below it
)

// health tracks the paths to the store. In the zero value the direct path is
// healthy.
type health struct {
	usual    time.Duration // smoothed latency of the direct path
	answered time.Time     // last answer on any path
	own      time.Time     // last answer on the direct path
	failed   time.Time     // last failure of the direct path; zero once it has answered again
	down     time.Time     // since when no path has answered; zero if one does
	best     string        // address of the entry that relayed the last answer while the direct path failed
}

// hedgeDelay returns how long to wait for an answer before another path is
// tried as well.
func (h *health) hedge() time.Duration {
	return min(max(hedgeLeast, hedgeTimes*h.usual), hedgeMost)
}

// answerTimeout returns how long a call may go without an answer on any path
// before the store counts as unreachable.
func (h *health) patience() time.Duration { return patienceLeast + patienceTimes*h.usual }

// callTimeout returns the time limit of a call on one path.
func (h *health) limit() time.Duration { return min(max(callLeast, callTimes*h.usual), callMost) }

// directAnswered records an answer on the direct path. took is its latency, or
// 0 if the store may have held the answer back, which gives no sample.
func (h *health) ownAnswer(now time.Time, took time.Duration) {
	if took > h.usual {
		h.usual += time.Duration(riseShare * float64(took-h.usual))
	} else if took > 0 {
		h.usual -= time.Duration(fallShare * float64(h.usual-took))
	}
	h.own, h.answered = now, now
	h.failed, h.down, h.best = time.Time{}, time.Time{}, ""
}

// relayAnswered records an answer that the entry at addr relayed.
func (h *health) relayAnswer(now time.Time, addr string) {
	h.answered, h.down, h.best = now, time.Time{}, addr
}

// directFailed records the failure of a call on the direct path that began at
// began. busy means that the store reported that it is over its rate.
func (h *health) ownFailure(now, began time.Time, busy bool) {
	if busy && !h.own.IsZero() && now.Sub(h.own) < busyFor {
		return
	}
	if !busy && h.own.After(began) {
		return // a later answer arrived on the path, so only this one was lost
	}
	h.failed = now
}

// noAnswer records that a call that began at began got no answer in time, and
// reports whether the store therefore counts as unreachable.
func (h *health) lost(now, began time.Time) bool {
	if h.answered.After(began) {
		return false
	}
	if h.down.IsZero() {
		h.down = now
	}
	if h.failed.IsZero() {
		h.failed = now
	}
	return true
}

// directHealthy reports whether calls should use the direct path first.
func (h *health) trusted() bool { return h.failed.IsZero() && h.down.IsZero() }
