package shard

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

func answers(decide, each float64, valid int) work.AdviceTiming {
	f := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	return work.AdviceTiming{Decide: f(decide), Each: f(each), Valid: f(float64(valid))}
}

// shapes are the services of two users, small and grown.
var shapes = []shape{
	{
		name: "posters", minions: 98, room: work.Size{CPU: 64000, Mem: 131072, GPU: 8}, zones: 4, askers: 31,
		kinds: []kind{
			{name: "poster", perS: 4.3, steps: draw{1, 0, 1}, tasks: draw{4.1, 0.6, 20}, cpu: draw{31000, 0, 0}, mem: draw{63000, 0, 0}, gpus: []int64{2, 4, 8, 8}, ms: draw{4500, 0.5, 11000}, off: 0.5, gang: true, fails: 0.02, slack: 2.2, target: time.Second, worth: 2.81, advice: answers(715, 10.27, 1500), allowed: 0.3},
			{name: "tag", perS: 4.85, steps: draw{1, 0, 1}, tasks: draw{20, 0.8, 120}, cpu: draw{5600, 0, 0}, mem: draw{15000, 0, 0}, gpus: []int64{1}, ms: draw{2400, 0.5, 6000}, off: 0.2, apart: 0.12, fails: 0.02, slack: 4, target: 3 * time.Second, worth: 1.55, advice: answers(195, 2.73, 1500), allowed: 0.45},
		},
	},
	{
		name: "scans", minions: 98, room: work.Size{CPU: 128000, Mem: 262144, GPU: 8}, zones: 4, askers: 22,
		kinds: []kind{
			{name: "scan", perS: 4.2, steps: draw{1, 0, 1}, tasks: draw{5, 0.8, 30}, cpu: draw{62000, 0, 0}, mem: draw{90000, 0, 0}, gpus: []int64{2, 4, 8, 8}, ms: draw{3600, 0.5, 9000}, off: 0.5, gang: true, fails: 0.02, slack: 2.2, target: time.Second, worth: 2.38, advice: answers(715, 10.27, 2000), allowed: 0.3},
			{name: "check", perS: 4.75, steps: draw{1, 0, 1}, tasks: draw{16, 0.6, 80}, cpu: draw{11000, 0, 0}, mem: draw{23000, 0, 0}, gpus: []int64{1}, ms: draw{3000, 0.5, 7500}, off: 0.2, apart: 0.12, fails: 0.02, slack: 4, target: 3 * time.Second, worth: 1.32, advice: answers(195, 2.73, 2000), allowed: 0.45},
		},
	},
	{
		name: "small lab", minions: 13, room: work.Size{CPU: 64000, Mem: 262144, GPU: 8}, zones: 3, askers: 5,
		kinds: []kind{
			{name: "poster", perS: 1.18, steps: draw{1, 0, 1}, tasks: draw{1.5, 0.8, 9}, cpu: draw{31000, 0, 0}, mem: draw{63000, 0, 0}, gpus: []int64{2, 4, 8, 8}, ms: draw{5600, 0.5, 14000}, off: 0.5, fails: 0.02, slack: 2.2, target: time.Second, worth: 4.09, advice: answers(560, 8, 1500), allowed: 0.3},
			{name: "tag", perS: 1.9, steps: draw{1, 0, 1}, tasks: draw{5.5, 0.8, 40}, cpu: draw{5600, 0, 0}, mem: draw{15000, 0, 0}, gpus: []int64{1}, ms: draw{2400, 0.5, 6000}, off: 0.2, apart: 0.12, fails: 0.02, slack: 4, target: 3 * time.Second, worth: 1.59, advice: answers(140, 2, 1500), allowed: 0.45},
		},
	},
	{
		name: "listings", minions: 252, room: work.Size{CPU: 64000, Mem: 131072}, zones: 4, askers: 31, burst: 2,
		kinds: []kind{
			{name: "refresh", perS: 39.5, steps: draw{1.5, 0.4, 4}, tasks: draw{9.5, 0.8, 57}, cpu: draw{11000, 0.45, 32000}, mem: draw{11000, 0.6, 33000}, ms: draw{700, 0.5, 1800}, off: 0.5, apart: 0.12, copies: 0.3, fails: 0.05, slack: 1.5, target: 250 * time.Millisecond, worth: 0.532, advice: answers(20.8, 0.299, 1500), allowed: 0.7},
			{name: "rebuild", perS: 2.2, steps: draw{2, 0.4, 5}, tasks: draw{18, 0.6, 88}, cpu: draw{18000, 0.4, 30000}, mem: draw{26000, 0.5, 51000}, ms: draw{5600, 0.5, 14000}, off: 0.2, apart: 0.12, fails: 0.02, slack: 4, target: 3 * time.Second, worth: 3.37, advice: answers(208, 2.99, 1500), allowed: 0.45},
		},
	},
	{
		name: "reports", minions: 350, room: work.Size{CPU: 64000, Mem: 131072}, zones: 4, askers: 35, speeds: []float64{0.8, 1, 1.25}, burst: 1.9,
		kinds: []kind{
			{name: "thumb", perS: 137, steps: draw{1, 0, 1}, tasks: draw{3.2, 0.8, 19}, cpu: draw{9900, 0.45, 30000}, mem: draw{10000, 0.6, 30000}, ms: draw{640, 0.5, 1600}, off: 0.5, fails: 0.005, slack: 1.5, target: 300 * time.Millisecond, worth: 0.388, advice: answers(9.36, 0.13, 2000), allowed: 0.7},
			{name: "report", perS: 3.81, steps: draw{1.2, 0.4, 3}, tasks: draw{20, 0.8, 120}, cpu: draw{18000, 0.4, 30000}, mem: draw{26000, 0.5, 51000}, ms: draw{6200, 0.5, 16000}, off: 0.9, gang: true, fails: 0.05, slack: 2.2, target: time.Second, worth: 16, advice: answers(702, 10.01, 2000), allowed: 0.3},
			{name: "chart", perS: 9.84, steps: draw{1.5, 0.4, 3.8}, tasks: draw{25, 0.8, 150}, cpu: draw{6900, 0.45, 21000}, mem: draw{13000, 0.6, 38000}, ms: draw{2700, 0.5, 6800}, off: 0.2, apart: 0.12, fails: 0.02, slack: 4, target: 3 * time.Second, worth: 3.87, advice: answers(130, 1.82, 2000), allowed: 0.45},
		},
	},
}

// total is what kinds earned over several seeds, by name.
func total(sh shape, pol Policy, seeds int) map[string]float64 {
	var mu sync.Mutex
	var wg sync.WaitGroup
	worth, owed := map[string]float64{}, map[string]float64{}
	for seed := range seeds {
		wg.Go(func() {
			p := newPlay(sh, uint64(seed+1))
			p.st.Policy = pol
			p.run()
			mu.Lock()
			defer mu.Unlock()
			for _, e := range p.earned() {
				worth[e.name] += e.worth
				owed[e.name] += e.owed
			}
		})
	}
	wg.Wait()
	for n := range worth {
		worth[n] /= owed[n]
	}
	return worth
}

// BenchmarkReplay shows what each kind of job earns of what it could, by policy.
func BenchmarkReplay(b *testing.B) {
	for _, sh := range shapes {
		for name, pol := range policies {
			b.Run(sh.name+"/"+name, func(b *testing.B) {
				for range b.N {
					for kind, share := range total(sh, pol, benchSeeds) {
						b.ReportMetric(share, kind)
					}
				}
			})
		}
	}
}

// benchSeeds is how many loads of each shape a benchmark plays.
const benchSeeds = 6

// policies are compared on the same loads.
var policies = map[string]Policy{
	"usual":       Usual,
	"first-come":  {},
	"urgent-only": {Urgent: true},
	"unbooked":    {Urgent: true, Together: true, Copies: true, Named: Usual.Named},
}

// Large tasks and gangs lose most where smaller ones come all the time. On the
// large sites half of what they lose has to be gained; on a small one most of it
// is lost to steps that only one or two minions may run. The small tasks must not
// lose a tenth for it.
func TestLargeTasksFindRoomUnderLoad(t *testing.T) {
	for _, c := range []struct {
		shape
		gain float64 // of what is lost
	}{{shapes[0], 0.5}, {shapes[1], 0.5}, {shapes[2], 0}} {
		was, is := total(c.shape, Policy{Urgent: true}, testSeeds), total(c.shape, Usual, testSeeds)
		large, small := c.kinds[0].name, c.kinds[1].name
		t.Logf("%s: before %s, now %s", c.name, shares(was), shares(is))
		assert.Check(t, 1-is[large] <= (1-was[large])*(1-c.gain), c.name)
		assert.Check(t, is[small] >= was[small]-0.1, c.name)
	}
}

// testSeeds is how many loads of each shape a test plays.
const testSeeds = 2

// shares is one line, by name.
func shares(m map[string]float64) string {
	names := slices.Sorted(maps.Keys(m))
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "%s %.3f ", n, m[n])
	}
	return b.String()
}
