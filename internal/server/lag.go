package server

import (
	"sync/atomic"
	"time"
)

// lagWindow is the time over which the greatest lag is kept, and as long after it.
const lagWindow = 250 * time.Millisecond

// lagMeter measures how late the control goroutine executes what is posted to it.
// Only that goroutine may call observe.
type lagMeter struct {
	windowEnd time.Time
	current   time.Duration // greatest of this window
	published atomic.Int64  // greatest of this window and the last, in nanoseconds
	previous  time.Duration
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
