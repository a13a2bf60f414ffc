package shard

import (
	"fmt"
	"testing"
	"time"
)

// The cost of a decision that checks all minions, after the loss of half of a fleet.
func BenchmarkDecideAfterLoss(b *testing.B) {
	for _, n := range []int{100, 400, 1600} {
		for _, phase := range []string{"calm", "before leases end", "after leases ended"} {
			b.Run(fmt.Sprintf("%d minions, %s", n, phase), func(b *testing.B) {
				w := newSimCluster(b, n)
				o := w.takeOver()
				w.cycle()
				for i := range n / 2 {
					w.submit(newJob(fmt.Sprint("a", i), lastingStep(2, 1900)))
				}
				for range 3 {
					w.cycle()
				}
				for i := range n {
					w.submit(newJob(fmt.Sprint("s", i), longTasks(1, 2000)))
				}
				for range 3 {
					w.cycle()
				}
				ticks := map[string]int{"calm": 0, "before leases end": 85, "after leases ended": 115}[phase]
				if ticks > 0 {
					for i := range n / 2 {
						w.minions[i].crash()
						o.st.UnlistMinion(w.now, w.minions[i].ID)
					}
					o.st.Policy.Evict = false // so that the tasks keep waiting
					for range ticks {
						w.pass(simTick)
						for _, m := range w.minions {
							o.renew(m)
						}
					}
				}
				o.st.Decide(w.now, w.now, QueryCapacity{})
				b.ResetTimer()
				for range b.N {
					w.now = w.now.Add(time.Millisecond)
					o.st.checkedAt = time.Time{}
					o.st.Decide(w.now, w.now, QueryCapacity{})
				}
				b.ReportMetric(float64(len(o.st.leaving)), "leaving")
				b.ReportMetric(float64(len(o.st.absences)), "absent")
			})
		}
	}
}
