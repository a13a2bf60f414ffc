package server

import (
	"sync"
	"time"

	"jasminestep/internal/table"
)

// storeClock is what this entry knows of the store's clock. The zero value is
// ready to use.
type storeClock struct {
	mu    sync.Mutex
	clock table.Clock
}

// observe takes in the time of an answer that has just arrived, to a call that
// began at began.
func (c *storeClock) observe(now int64, began time.Time) {
	ended := monotonicNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock.Observe(now, began, ended)
}

// now returns what is known at present.
func (c *storeClock) now() table.Clock {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.clock
}
