package server

import (
	"runtime/debug"

	"jasminestep/internal/web"
)

// Garbage collection targets as for GOGC, for a process without shards and for
// one that owns shards and whose memory is known.
const (
	defaultGCPercent = 100
	ownerGCPercent   = 400
)

// tuneGC configures the garbage collector for a process that owns the given
// number of shards.
func (s *Settings) tuneGC(shards int) {
	if s.Memory == 0 {
		return
	}
	web.LimitMemory(s.Memory)
	if shards == 0 {
		debug.SetGCPercent(defaultGCPercent)
		return
	}
	debug.SetGCPercent(ownerGCPercent)
}
