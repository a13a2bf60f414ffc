package standin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/entry"
	"jasminestep/pkg/operator"
)

// BenchmarkFreshness compares two policies for a read with a token at an entry
// that has not yet received the state of the token: wait for the state, or
// forward the read to the owner. It does so for increasing propagation delays.
// Each session submits jobs and reads each one at once.
func BenchmarkFreshness(b *testing.B) {
	for i, behind := range []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, time.Second} {
		for k, p := range []struct {
			name   string
			policy entry.Freshness
		}{{"block", entry.Block}, {"forward", entry.Forward}} {
			b.Run(fmt.Sprintf("behind=%v/%s", behind, p.name), func(b *testing.B) {
				for range b.N {
					measureFreshness(b, 60+2*i+k, behind, p.policy)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func measureFreshness(b *testing.B, net int, behind time.Duration, policy entry.Freshness) {
	s := smallSite(net)
	s.Zones, s.Entries, s.FollowerLag = s.Zones[:1], []int{3}, behind
	c, err := StartCluster(s, 1, nil)
	assert.NilError(b, err)
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	bal := NewBalancer(ctx, c.Endpoints())
	for !c.ready(bal) {
		_, _ = bal.Call(c.Endpoints()[0], http.MethodPost, "/cell", "", s.Cell(), nil) // fails until the entry is ready; the loop repeats it
		time.Sleep(50 * time.Millisecond)
	}
	var follower *entry.Entry
	for id := range c.settings {
		if e := c.Process(id).Entry; !e.Owns() {
			follower = e
		}
	}
	var mu sync.Mutex
	var took []time.Duration
	stale := 0
	var wg sync.WaitGroup
	const sessions, each = 24, 12
	for w := range sessions {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range each {
				id, token, err := follower.Submit(ctx, operator.Job{
					Name: fmt.Sprintf("s%d-%d", w, n), Member: "m", Command: []string{"run", "5ms"}, Size: operator.Size{CPU: 10},
				}, 5*time.Second)
				if err != nil {
					continue
				}
				began := time.Now()
				st, err := follower.Read(ctx, entry.ReadArgs{ID: id, Member: "m", Seq: token.Seq, Limit: 5 * time.Second, Policy: policy})
				mu.Lock()
				took = append(took, time.Since(began))
				if err != nil || st.Token.Seq < token.Seq {
					stale++
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	ms := func(q float64) float64 { return float64(Quantile(took, q).Microseconds()) / 1000 }
	b.ReportMetric(ms(0.5), "read50-ms")
	b.ReportMetric(ms(0.99), "read99-ms")
	b.ReportMetric(float64(follower.Top().Passed)/float64(len(took)), "asked/read")
	b.ReportMetric(float64(stale), "stale")
}
