package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// idleFor is how long a job may have nothing running while there is room for
// twice what waits of one of its steps and under half of all room is in use.
const idleFor = 3 * time.Second

// idlers returns the jobs that have waited beside idle minions for idleFor, with
// how long. To be called at each tick.
func (p *play) idlers(since map[string]time.Time) map[string]time.Duration {
	var all, used int64
	for _, id := range p.order {
		all += p.ms[id].Capacity.CPU
		used += p.st.minions[id].used.CPU
	}
	out := map[string]time.Duration{}
	for _, a := range p.list {
		j := p.st.jobs[a.job.ID]
		if j == nil || j.state.Over() || 2*used >= all || !p.waitsIdle(a, j) {
			delete(since, a.job.ID)
			continue
		}
		if since[a.job.ID].IsZero() {
			since[a.job.ID] = p.now
		}
		if d := p.now.Sub(since[a.job.ID]); d > idleFor {
			out[a.job.ID] = d
		}
	}
	return out
}

// waitsIdle says that nothing of a job runs while a step could.
func (p *play) waitsIdle(a *arrival, j *job) bool {
	could := false
	for _, r := range j.rounds {
		for i, st := range r.steps {
			for _, t := range st.tasks {
				if t.phase == Placed {
					return false
				}
			}
			if st.waiting == 0 || !st.open() {
				continue
			}
			n := 0
			for id := range a.allowed[i] {
				n += min(fitting(p.st.minions[id].free(), st.Reserved(), 2*st.waiting), st.most(p.st.minions[id]))
			}
			could = could || n >= 2*st.waiting
		}
	}
	return could
}

// Nothing that was accepted waits beside idle minions, and once no more comes
// all of it ends.
func TestNothingWaitsBesideIdleMinions(t *testing.T) {
	for _, sh := range shapes {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(testSeeds) {
				p := newPlay(sh, seed+1)
				since := map[string]time.Time{}
				p.each = func() {
					for id, d := range p.idlers(since) {
						t.Fatalf("seed %d: at %v job %s of %s has waited for %v beside idle minions", seed+1, p.now.Sub(epoch), id, p.jobs[id].kind.name, d)
					}
				}
				p.run()
				for _, a := range p.list {
					if a.over == 0 && !p.st.jobs[a.job.ID].state.Over() && p.possible(a) {
						assert.Check(t, p.running(a.job.ID) > 0, "seed %d: job %s of %s waits at the end", seed+1, a.job.ID, a.kind.name)
					}
				}
			}
		})
	}
}

// possible says that a job fits on the minions that it may use when these are empty.
func (p *play) possible(a *arrival) bool {
	for i := range a.job.Steps {
		st := &a.job.Steps[i]
		n := 0
		for id := range a.allowed[i] {
			k := fitting(p.ms[id].Capacity, st.Reserved(), st.Tasks)
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
func (p *play) running(id string) int {
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
