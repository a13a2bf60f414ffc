package relay

import "time"

// Bounds on calls to the store.
const (
	hedgeLeast    = 150 * time.Millisecond // without an answer, before a further way is tried
	hedgeMost     = 1500 * time.Millisecond
	hedgeTimes    = 3                      // the same, in usual times of an answer
	patienceLeast = 600 * time.Millisecond // without an answer on any way, before the store counts as lost
	patienceTimes = 2                      // the same, in usual times, on top
	callLeast     = 1200 * time.Millisecond
	callTimes     = 4 // time limit of a call, in usual times
	callMost      = 4 * time.Second
	busyFor       = time.Second // an own way that answered within this is only over its rate, not cut
	riseShare     = 0.5         // weight of the newest time of an answer, if it is longer than usual
	fallShare     = 0.1         // the same, if it is shorter
)

// health is what is known of the ways to the store. The zero value trusts the
// entry's own way.
type health struct {
	usual    time.Duration // time of an answer on the own way
	answered time.Time     // last answer on any way
	own      time.Time     // last answer on the own way
	failed   time.Time     // failure of the own way that no answer has followed; zero if there is none
	down     time.Time     // since when no way answers; zero if one does
	best     string        // entry through which the last answer came while the own way failed
}

// hedge is how long to wait for an answer before a further way is tried.
func (h *health) hedge() time.Duration {
	return min(max(hedgeLeast, hedgeTimes*h.usual), hedgeMost)
}

// patience is how long a call may get no answer on any way before the store
// counts as lost.
func (h *health) patience() time.Duration { return patienceLeast + patienceTimes*h.usual }

// limit is the time limit of a call on the own way.
func (h *health) limit() time.Duration { return min(max(callLeast, callTimes*h.usual), callMost) }

// ownAnswer takes in an answer on the own way that took took; 0 if it was one
// that waits.
func (h *health) ownAnswer(now time.Time, took time.Duration) {
	if took > h.usual {
		h.usual += time.Duration(riseShare * float64(took-h.usual))
	} else if took > 0 {
		h.usual -= time.Duration(fallShare * float64(h.usual-took))
	}
	h.own, h.answered = now, now
	h.failed, h.down, h.best = time.Time{}, time.Time{}, ""
}

// relayAnswer takes in an answer through another entry.
func (h *health) relayAnswer(now time.Time, addr string) {
	h.answered, h.down, h.best = now, time.Time{}, addr
}

// ownFailure takes in that a call on the own way, begun at began, failed. busy
// means that the store said that it was over its rate.
func (h *health) ownFailure(now, began time.Time, busy bool) {
	if busy && !h.own.IsZero() && now.Sub(h.own) < busyFor {
		return
	}
	if !busy && h.own.After(began) {
		return // others were answered meanwhile: one answer was lost, not the way
	}
	h.failed = now
}

// lost takes in that a call begun at began ran out of patience, and says
// whether the store counts as lost by that.
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

// trusted says that the own way is the one to use.
func (h *health) trusted() bool { return h.failed.IsZero() && h.down.IsZero() }
