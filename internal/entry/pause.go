package entry

import (
	"context"
	"sync"
	"time"
)

// pauseDetector detects that the process was paused. The entry's grants may have
// been given to another entry in the meantime, so after a pause it uses none of
// them until it has read its zone's journal again, from the owner or the table.
type pauseDetector struct {
	mu          sync.Mutex
	lastCheck   time.Time
	pausedAt    time.Time // when the last pause was detected
	confirmedAt time.Time // when the read or write of the journal began that last proved the state current
}

// pauseCheckInterval is how often the clock is checked.
const pauseCheckInterval = 100 * time.Millisecond

func (g *pauseDetector) start(now time.Time) { g.lastCheck = now }

// check reports whether the state is current at now: the process has not been
// paused for longer than limit since the state was last read. paused reports
// whether this call detected a pause.
func (g *pauseDetector) check(now time.Time, limit time.Duration) (current, paused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.lastCheck) > limit {
		g.pausedAt, paused = now, true
	}
	g.lastCheck = now
	return !g.confirmedAt.Before(g.pausedAt), paused
}

// confirm records that the state was read by a request that began at asked.
func (g *pauseDetector) confirm(asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if asked.After(g.confirmedAt) {
		g.confirmedAt = asked
	}
}

func (e *Entry) pauseLoop(ctx context.Context) {
	t := time.NewTicker(pauseCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.stateCurrent()
		}
	}
}

// stateCurrent reports whether the entry may use its grants. It records a pause
// of the process that it detects.
func (e *Entry) stateCurrent() bool {
	current, paused := e.pauses.check(time.Now(), e.Settings.Timing().OwnerLease)
	if paused {
		e.recordEvent("wake", e.Settings.ID, "paused for longer than a lease")
		e.log.Warn("wake", "why", "paused for longer than a lease")
	}
	return current
}

// awaitCurrent waits until the state is current after a pause, for at most two
// seconds, and reports whether it is.
func (e *Entry) awaitCurrent(ctx context.Context) bool {
	const timeout = 2 * time.Second
	for end := time.Now().Add(timeout); !e.stateCurrent(); sleep(ctx, 10*time.Millisecond) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}
