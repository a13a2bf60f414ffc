package shard

import (
	"fmt"
	"testing"
	"time"
)

// What an owner decides at the load of a large site, calm and with more load than room,
// by number of minions: processor time for a task's life, and for one decision beside it.
func BenchmarkLargeSite(b *testing.B) {
	for _, minions := range []int{99, 792} {
		for _, factor := range []float64{1, 1.5} {
			b.Run(fmt.Sprintf("%d minions, %.1f times the load", minions, factor), func(b *testing.B) {
				for range b.N {
					replayLarge(b, minions, factor)
				}
			})
		}
	}
}

func replayLarge(b *testing.B, minions int, factor float64) {
	load := routes(minions)
	for i := range load.kinds {
		load.kinds[i].perSecond *= factor
	}
	p := newReplay(load, 1)
	decisions, deciding := 0, time.Duration(0)
	p.onTick = func() {
		if at := p.now.Sub(epoch); at < faultAt || at > replayFor {
			return
		}
		began := time.Now()
		p.st.Decide(p.now, p.now, QueryCapacity{})
		decisions++
		deciding += time.Since(began)
	}
	began := time.Now()
	p.run()
	b.ReportMetric(float64(time.Since(began).Microseconds())/float64(p.tasks()), "µs/task")
	b.ReportMetric(float64(deciding.Microseconds())/float64(decisions), "µs/decision")
	for _, k := range p.results() {
		b.ReportMetric(k.share(), k.name)
	}
}

// tasks is the number of tasks that have arrived.
func (p *replay) tasks() int {
	n := 0
	for _, a := range p.arrivals {
		for _, s := range a.job.Steps {
			n += s.Tasks
		}
	}
	return n
}
