package server

import (
	"sync"
	"sync/atomic"
	"time"
)

// An owner that is short of processor time learns late of replies that arrived in
// time. What it is late itself must not count against minions: otherwise it would
// take them for silent, and what follows from that would take yet more of its time.

// Limits on lag.
const (
	lagWindow    = 250 * time.Millisecond // over which the greatest lag is kept, and as long after it
	tolerableLag = 25 * time.Millisecond  // that says nothing: an owner waits some time between decisions
	maxExcuses   = 3                      // of one call
)

// maxRenewalExcuses is how many renewals of a minion in a row may fail without counting
// as silence: each of them takes over a second.
const maxRenewalExcuses = 1

// lagMeter measures how late the control goroutine executes what is posted to it.
// Only that goroutine may call observe.
type lagMeter struct {
	windowEnd time.Time
	current   time.Duration // greatest of this window
	previous  time.Duration // greatest of the last window
	published atomic.Int64  // greater of both, in nanoseconds
}

// observe records a lag.
func (l *lagMeter) observe(now time.Time, d time.Duration) {
	if now.After(l.windowEnd) {
		l.previous, l.current = l.current, 0
		if now.Sub(l.windowEnd) > lagWindow {
			l.previous = 0
		}
		l.windowEnd = now.Add(lagWindow)
	}
	l.current = max(l.current, d)
	l.published.Store(int64(max(l.current, l.previous)))
}

// recent returns the greatest lag of late.
func (l *lagMeter) recent() time.Duration { return time.Duration(l.published.Load()) }

// lateWatch reports a call that takes long, unless this process is late itself: then
// the reply may be here, and it waits for as long again.
type lateWatch struct {
	o      *owner
	report func()

	mu      sync.Mutex
	timer   *time.Timer
	due     time.Time
	excuses int
	ended   bool
}

// watchCall calls report unless the returned watch is stopped within limit.
func (o *owner) watchCall(limit time.Duration, report func()) *lateWatch {
	w := &lateWatch{o: o, report: report, due: monotonicNow().Add(limit)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.fire)
	return w
}

func (w *lateWatch) fire() {
	if w.isLate() {
		w.report()
	}
}

// isLate reports whether the call is late, and waits for longer if this process is.
func (w *lateWatch) isLate() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	now := monotonicNow()
	lag := max(now.Sub(w.due), w.o.lag.recent())
	if lag > tolerableLag && w.excuses < maxExcuses {
		w.excuses++
		w.due = now.Add(lag)
		w.timer.Reset(lag)
		return false
	}
	w.ended = true
	return true
}

// stop ends the watch.
func (w *lateWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.timer.Stop()
}
