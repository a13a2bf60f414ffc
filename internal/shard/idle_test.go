package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxStall is how long a job may have nothing running while the minions have
// room for twice the waiting tasks of one of its steps and less than half of all
// room is in use.
const maxStall = 3 * time.Second

// stalledJobs returns the jobs that have waited for longer than maxStall despite
// idle minions, with their waiting times. It must be called at each tick.
func (p *replay) stalledJobs(since map[string]time.Time) map[string]time.Duration {
	var all, used int64
	for _, id := range p.order {
		all += p.minions[id].Capacity.CPU
		used += p.st.minions[id].used.CPU
	}
	out := map[string]time.Duration{}
	for _, a := range p.arrivals {
		j := p.st.jobs[a.job.ID]
		if j == nil || j.state.Terminal() || 2*used >= all || !p.isStalled(a, j) {
			delete(since, a.job.ID)
			continue
		}
		if since[a.job.ID].IsZero() {
			since[a.job.ID] = p.now
		}
		if d := p.now.Sub(since[a.job.ID]); d > maxStall {
			out[a.job.ID] = d
		}
	}
	return out
}

// isStalled reports whether nothing of a job runs although a step could.
func (p *replay) isStalled(a *arrival, j *job) bool {
	canRun := false
	for _, r := range j.rounds {
		for i, st := range r.steps {
			for _, t := range st.tasks {
				if t.phase == Placed {
					return false
				}
			}
			if st.waiting == 0 || !st.ready() {
				continue
			}
			n := 0
			for id := range a.eligible[i] {
				n += min(countFitting(p.st.minions[id].free(), st.Reserved(), 2*st.waiting), st.maxOnEmpty(p.st.minions[id]))
			}
			canRun = canRun || n >= 2*st.waiting
		}
	}
	return canRun
}

// An accepted job must not wait while minions are idle, and once no more jobs
// arrive all of them must end.
func TestNothingWaitsBesideIdleMinions(t *testing.T) {
	for _, sh := range workloads {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(testSeeds) {
				p := newReplay(sh, seed+1)
				since := map[string]time.Time{}
				p.onTick = func() {
					for id, d := range p.stalledJobs(since) {
						t.Fatalf("seed %d: at %v job %s of %s has waited for %v while minions were idle", seed+1, p.now.Sub(epoch), id, p.jobs[id].kind.name, d)
					}
				}
				p.run()
				for _, a := range p.arrivals {
					if a.duration == 0 && !p.st.jobs[a.job.ID].state.Terminal() && p.possible(a) {
						assert.Check(t, p.running(a.job.ID) > 0, "seed %d: job %s of %s still waits at the end", seed+1, a.job.ID, a.kind.name)
					}
				}
			}
		})
	}
}

// possible reports whether a job fits on the minions it may use when these are
// empty.
func (p *replay) possible(a *arrival) bool {
	for i := range a.job.Steps {
		st := &a.job.Steps[i]
		n := 0
		for id := range a.eligible[i] {
			k := countFitting(p.minions[id].Capacity, st.Reserved(), st.Tasks)
			if st.PerMinion > 0 {
				k = min(k, st.PerMinion)
			}
			n += k
		}
		if n == 0 || st.Gang && n < st.Tasks {
			return false
		}
	}
	return true
}

// running counts the placed tasks of a job.
func (p *replay) running(id string) int {
	n := 0
	for _, r := range p.st.jobs[id].rounds {
		for _, st := range r.steps {
			for _, t := range st.tasks {
				if t.phase == Placed {
					n++
				}
			}
		}
	}
	return n
}
