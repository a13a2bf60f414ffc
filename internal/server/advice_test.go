package server

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against LOST: a shard whose requests are all long kept one of its two
// entries free for short ones, and accepted jobs waited with the minions idle.
func TestEntriesAreReservedWhileShortRequestsAreMade(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &owner{advice: adviceRequests{addrs: []string{"a", "b"}, listedAt: now}}
	assert.Equal(t, o.adviceCapacity(now).Slow, 2)
	o.advice.shortAt = now
	assert.Equal(t, o.adviceCapacity(now).Slow, 1)
	later := now.Add(shortRequestMemory + 1)
	o.advice.listedAt = later
	assert.Equal(t, o.adviceCapacity(later).Slow, 2)
}
