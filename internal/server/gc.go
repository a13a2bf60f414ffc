package server

import (
	"math"
	"runtime/debug"
)

// Garbage collection targets as for GOGC, for a process without shards and for
// one that owns shards and whose memory is known.
const (
	defaultGCPercent = 100
	ownerGCPercent   = 400
)

// memoryLimitShare is the share of the VM's memory used as the soft memory
// limit of an owner: garbage is collected as often as needed to stay below.
const memoryLimitShare = 0.6

// tuneGC configures the garbage collector for a process that owns the given
// number of shards.
func (s *Settings) tuneGC(shards int) {
	if s.Memory == 0 {
		return
	}
	if shards == 0 {
		debug.SetGCPercent(defaultGCPercent)
		debug.SetMemoryLimit(math.MaxInt64)
		return
	}
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(s.Memory) * (1 << 20)))
	debug.SetGCPercent(ownerGCPercent)
}
