package place

import (
	"fmt"
	"testing"
	"time"

	"jasminestep/pkg/operator"
)

// BenchmarkDecidePolicies compares the policies with the baselines on the same
// arrivals, at 90 % load and at 130 %.
func BenchmarkDecidePolicies(b *testing.B) {
	for _, f := range fleets {
		span := 10 * time.Minute
		if f.name == "target" {
			span = 2 * time.Minute
		}
		for _, load := range []float64{0.9, 1.3} {
			for _, p := range Policies {
				b.Run(fmt.Sprintf("%s/load=%.0f%%/%s", f.name, 100*load, p.Name), func(b *testing.B) {
					var r *result
					for range b.N {
						r = f.run(p, generate(f, load, span, 1), span)
					}
					report(b, r)
				})
			}
		}
	}
}

func report(b *testing.B, r *result) {
	ms := func(ds []time.Duration, q float64) float64 { return float64(quantile(ds, q).Milliseconds()) }
	b.ReportMetric(ms(r.wait, 0.5), "wait50-ms")
	b.ReportMetric(ms(r.wait, 0.99), "wait99-ms")
	b.ReportMetric(ms(r.urgent, 0.99), "urgent99-ms")
	b.ReportMetric(ms(r.gang, 0.99), "gang99-ms")
	b.ReportMetric(ms(r.large, 0.99), "large99-ms")
	b.ReportMetric(r.worth, "worth")
	b.ReportMetric(100*r.idle, "idle-%")
	b.ReportMetric(100*r.packed, "packed-%")
	b.ReportMetric(r.fair, "fair")
	b.ReportMetric(float64(quantile(r.decide, 0.99).Microseconds()), "decide99-us")
	b.ReportMetric(float64(r.placed)/r.spent.Seconds(), "placed/s")
	b.ReportMetric(float64(r.left), "left")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkDecideScale places one task at a time on a fleet that is nine tenths
// full, and takes another off: the cost of one decision by number of workers.
func BenchmarkDecideScale(b *testing.B) {
	for _, n := range []int{100, 740, 5000} {
		for _, p := range Policies[:2] {
			b.Run(fmt.Sprintf("workers=%d/%s", n, p.Name), func(b *testing.B) { scale(b, n, p) })
		}
	}
}

func scale(b *testing.B, n int, p NamedPolicy) {
	c, q := &Cluster{}, &Queue{}
	for i := range n {
		c.SetWorker(fmt.Sprintf("w%d", i), fmt.Sprintf("r%d", i/5), operator.Size{CPU: 64000, Memory: 128 << 10, Accel: int64(2 * (i % 2))}, false)
	}
	members := map[string]operator.Member{"m": {Name: "m"}}
	running := n * 9900 / 740
	ask := func(i int) *TaskRequest {
		return &TaskRequest{
			Task: fmt.Sprintf("t%d", i), Job: "j", Member: "m", Kind: operator.Batch, Worth: 1, ExpectedRuntime: time.Minute, Submitted: epoch,
			Size: operator.Size{CPU: int64(1000 + i%7*1000), Memory: int64(1024 * (1 + i%9)), Accel: int64(i % 40 / 39)},
		}
	}
	for i := range running {
		q.Add(&Item{Requests: []*TaskRequest{ask(i)}})
	}
	p.Decide(c, q, members, epoch, running)
	for k := range q.keys {
		q.Remove(k)
	}
	took := make([]time.Duration, 0, b.N)
	b.ResetTimer()
	for i := range b.N {
		q.Add(&Item{Requests: []*TaskRequest{ask(running + i)}})
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		began := time.Now()
		p.Decide(c, q, members, now, 1)
		took = append(took, time.Since(began))
		c.Release(fmt.Sprintf("t%d", i))
	}
	b.StopTimer()
	b.ReportMetric(float64(quantile(took, 0.5).Nanoseconds())/1000, "p50-us")
	b.ReportMetric(float64(quantile(took, 0.99).Nanoseconds())/1000, "p99-us")
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "placements/s")
}
