package server

import (
	"math"
	"runtime/debug"
)

// How much garbage may gather before it is collected, in percent of what lives:
// usually, and in a process that owns a shard and knows how much memory it has.
const (
	defaultGCPercent = 100
	ownerGCPercent   = 400
)

// memoryShare is the share of the VM's memory from which on garbage is collected
// as often as it takes to stay below.
const memoryLimitShare = 0.6

// tune sets how often garbage is collected in a process that owns shards.
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
