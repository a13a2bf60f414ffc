package shard

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// tier is the first sort key of waiting steps.
type tier int8

const (
	lasting   tier = iota // services, which have value for as long as they run
	timely                // can still end within the objective
	late                  // can still end within maxLateness objectives
	excess                // beyond the rate of its account
	worthless             // has no value any more
)

// maxLateness is the number of objectives after which a job has no value.
const maxLateness = 3

// candidate is a step that waits to be placed, with its rank.
type candidate struct {
	*step
	due   bool // the step is to be checked even if no query can be issued for it
	tier  tier
	slack time.Duration // time until the step has to begin to meet the objective
	size  float64       // remaining work of the step, in core-seconds
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

// coresPerGPU is the number of cores that one GPU counts as.
const coresPerGPU = 8

// remainingWork is the remaining work of the step, in core-seconds.
func (p *step) remainingWork() float64 {
	cores := float64(p.Size.CPU)/1000 + coresPerGPU*float64(p.Size.GPU)
	return cores * p.runTime.Seconds() * float64(p.unfinished)
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
	case p.job.excess && c.slack >= -(maxLateness-1)*obj:
		c.tier = excess
	case c.slack >= 0:
		c.tier = timely
	case c.slack >= -(maxLateness-1)*obj:
		c.tier = late
	default:
		c.tier = worthless
	}
	return c
}

// yieldAbove is the share of all room in use above which steps without value, or
// beyond the rate of their account, wait for the others.
const yieldAbove = 0.6

// yields reports whether the step leaves free room to steps that still have
// value. Those often need advice first, and would find the room taken by steps
// that have waited long and may run on most minions.
func (v *view) yields(c candidate) bool {
	if !v.s.Policy.WorthlessYield || c.tier < excess || c.incomplete {
		return false
	}
	return v.room().used > yieldAbove*v.room().weight && slices.ContainsFunc(v.s.queue, func(p *step) bool { return p.valued && p.waiting > 0 && p.runnable() })
}

// compare orders candidates: services first, then steps that can meet the
// objective, the most urgent first, then late ones, the shortest first.
func (c candidate) compare(d candidate) int {
	size := 0
	if c.tier >= late {
		size = cmp.Compare(c.size, d.size)
	}
	return cmp.Or(cmp.Compare(c.tier, d.tier), size, cmp.Compare(c.slack, d.slack), strings.Compare(c.job.ID, d.job.ID), cmp.Compare(c.round.number, d.round.number), cmp.Compare(c.index, d.index))
}
