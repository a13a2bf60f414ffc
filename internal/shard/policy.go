package shard

import "jasminestep/internal/work"

// Policy determines how a shard places work. The zero value is first come, best
// fit.
type Policy struct {
	UrgentFirst       bool    // steps with the least time left go first, late ones last
	ShareZone         bool    // the tasks of a step share an availability zone
	SpeculativeCopies bool    // tasks of speculative steps start again when their minion does not answer
	MaxReserved       float64 // share of all room that large tasks and gangs may reserve
	LateFactor        float64 // share of MaxReserved available to steps that are already late
	WorthlessYield    bool    // steps without value leave room to the others while most of it is in use
	LearnRunTimes     bool    // run times are predicted from those observed in the same queue
	ReserveByTaskSize bool    // the smaller its tasks, the less room a gang may reserve
	ParallelQueries   bool    // several queries about a wide gang at once
	QueryAhead        bool    // queries are issued before a step is ready
	Evict             bool    // work that may wait makes room for lasting tasks
	GangQueryMinions  int     // minions named in a query about a gang; 0: as for any other step
}

// DefaultPolicy is the policy of a new State.
var DefaultPolicy = Policy{UrgentFirst: true, ShareZone: true, SpeculativeCopies: true, LearnRunTimes: true, WorthlessYield: true, QueryAhead: true, ParallelQueries: true, ReserveByTaskSize: true, Evict: true, MaxReserved: 0.25, LateFactor: 0.3, GangQueryMinions: 100}

// roomWeight is the weight of a size, in GPUs: its GPUs if it has any, otherwise
// its cores divided by coresPerGPU.
func roomWeight(s work.Size) float64 {
	if s.GPU > 0 {
		return float64(s.GPU)
	}
	return float64(s.CPU) / 1000 / coresPerGPU
}
