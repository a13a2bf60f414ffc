package shard

import "jasminestep/internal/work"

// Policy says how a shard places work. The zero value is first come, best fit.
type Policy struct {
	UrgentFirst       bool    // what has least time left goes first, what is late last
	ShareZone         bool    // the tasks of a step share an availability zone
	SpeculativeCopies bool    // tasks of speculative steps start again when nothing is heard from their minion
	MaxReserved       float64 // share of all room that large tasks and gangs may book
	LateFactor        float64 // share of that which steps may book that are late already
	GangQueryMinions  int     // minions named in a question about a gang; 0: as for any other step
}

// Usual is the policy that a new State has.
var DefaultPolicy = Policy{UrgentFirst: true, ShareZone: true, SpeculativeCopies: true, MaxReserved: 0.25, LateFactor: 0.3, GangQueryMinions: 100}

// weigh is how much of the minions' room a size is: accelerators where there
// are any, else processors.
func roomWeight(s work.Size) float64 {
	if s.GPU > 0 {
		return float64(s.GPU)
	}
	return float64(s.CPU) / 1000 / coresPerGPU
}
