package entry

import (
	"context"
	"sync"
	"time"
)

// guard notices that the process was paused. What an entry holds may have been
// given away meanwhile, so after a pause it spends nothing before it has read
// its zone's journal again, from the owner or the table.
type guard struct {
	mu    sync.Mutex
	last  time.Time // of the last tick
	woken time.Time // when the last pause was noticed
	sure  time.Time // when the question began that was answered with the latest state
}

// guardTick is how often the guard looks at the clock.
const guardTick = 100 * time.Millisecond

func (g *guard) start(now time.Time) { g.last = now }

// check reports whether what this entry holds is certain at now: the process
// has not been paused for longer than limit since the state was last read.
func (g *guard) check(now time.Time, limit time.Duration) (ok, woke bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.last) > limit {
		g.woken, woke = now, true
	}
	g.last = now
	return !g.sure.Before(g.woken), woke
}

// confirm records that the state was read by a question that began at asked.
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

// awake reports whether the entry may spend what it holds.
func (e *Entry) awake() bool {
	ok, woke := e.guard.check(time.Now(), e.Settings.Timing().OwnerLease)
	if woke {
		e.note("wake", e.Settings.ID, "paused for longer than a lease")
		e.log.Warn("wake", "why", "paused for longer than a lease")
	}
	return ok
}

// awaitAwake waits a little for certainty after a pause.
func (e *Entry) awaitAwake(ctx context.Context) bool {
	const patience = 2 * time.Second
	for end := time.Now().Add(patience); !e.awake(); sleep(ctx, 10*time.Millisecond) {
		if ctx.Err() != nil || time.Now().After(end) {
			return false
		}
	}
	return true
}
