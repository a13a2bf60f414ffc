package entry

import (
	"context"
	"sync"
	"time"
)

// guard detects that the process was paused. The entry's grants may have been
// given to another entry in the meantime, so after a pause it uses none of them
// until it has read its zone's journal again, from the owner or the table.
type guard struct {
	mu    sync.Mutex
	last  time.Time // last check
	woken time.Time // when the last pause was detected
	sure  time.Time // when the read or write of the journal began that last proved the state current
}

// guardTick is how often the clock is checked.
const guardTick = 100 * time.Millisecond

func (g *guard) start(now time.Time) { g.last = now }

// check reports whether the state is current at now: the process has not been
// paused for longer than limit since the state was last read. woke reports
// whether this call detected a pause.
func (g *guard) check(now time.Time, limit time.Duration) (ok, woke bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.last) > limit {
		g.woken, woke = now, true
	}
	g.last = now
	return !g.sure.Before(g.woken), woke
}

// confirm records that the state was read by a request that began at asked.
func (g *guard) confirm(asked time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if asked.After(g.sure) {
		g.sure = asked
	}
}

func (e *Entry) guardLoop(ctx context.Context) {
	t := time.NewTicker(guardTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.awake()
		}
	}
}

// stateCurrent reports whether the entry may use its grants. It records a pause
// of the process that it detects.
func (e *Entry) awake() bool {
	ok, woke := e.guard.check(time.Now(), e.Set.Limits().Lease)
	if woke {
		e.note("wake", e.Set.ID, "paused for longer than a lease")
		e.log.Warn("wake", "why", "paused for longer than a lease")
	}
	return ok
}

// awaitCurrent waits until the state is current after a pause, for at most two
// seconds, and reports whether it is.
func (e *Entry) awaitAwake(ctx context.Context) bool {
	const patience = 2 * time.Second
	for end := time.Now().Add(patience); !e.awake(); sleep(ctx, 10*time.Millisecond) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}
