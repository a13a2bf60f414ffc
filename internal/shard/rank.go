package shard

import (
	"cmp"
	"strings"
	"time"
)

// tier orders steps before anything else does.
type tier int8

const (
	lasting   tier = iota // services, which earn while they run
	timely                // can still end within the objective
	late                  // can still end within lateLimit objectives
	worthless             // earns nothing any more
)

// lateLimit is the number of objectives after which a job is worth nothing.
const maxLateness = 3

// candidate is a step that waits to be placed, with its rank.
type candidate struct {
	*step
	due   bool // it is to be looked at, also if no question can be asked for it
	tier  tier
	slack time.Duration // until the step has to begin to meet the objective
	size  float64       // core-seconds that the rest of the job takes
}

// objective is the time from submission within which the job should end.
func (j *job) objective() time.Duration {
	if j.cachedObjective == 0 {
		var c time.Duration
		for _, r := range j.rounds {
			for _, p := range r.steps {
				c = max(c, p.criticalPath)
			}
			break
		}
		j.cachedObjective = time.Duration(j.Slack*float64(c)) + j.Target
	}
	return j.cachedObjective
}

// gpuCores is the number of cores that one accelerator counts as.
const coresPerGPU = 8

// effort is the work left in the step, in core-seconds.
func (p *step) remainingWork() float64 {
	cores := float64(p.Size.CPU)/1000 + coresPerGPU*float64(p.Size.GPU)
	return cores * p.Estimate.Seconds() * float64(p.unfinished)
}

func (s *State) candidate(now time.Time, wall time.Time, p *step) candidate {
	c := candidate{step: p, size: p.remainingWork()}
	begin := p.job.arrivedAt
	if due := p.job.Due(p.round.number); due > 0 {
		begin = now.Add(time.UnixMilli(due).Sub(wall))
	}
	obj := p.job.objective()
	c.slack = begin.Add(obj - p.criticalPath).Sub(now)
	switch {
	case p.Lasting:
		c.tier = lasting
	case c.slack >= 0:
		c.tier = timely
	case c.slack >= -(maxLateness-1)*obj:
		c.tier = late
	default:
		c.tier = worthless
	}
	return c
}

// compare orders candidates: services first; then what can be in time, the most
// urgent first; then what is late, the shortest first.
func (c candidate) compare(d candidate) int {
	size := 0
	if c.tier >= late {
		size = cmp.Compare(c.size, d.size)
	}
	return cmp.Or(cmp.Compare(c.tier, d.tier), size, cmp.Compare(c.slack, d.slack), strings.Compare(c.job.ID, d.job.ID), cmp.Compare(c.round.number, d.round.number), cmp.Compare(c.index, d.index))
}
