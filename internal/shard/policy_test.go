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

func newAdvice(decide, each float64, valid int) work.AdviceTiming {
	f := func(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
	return work.AdviceTiming{Decide: f(decide), Each: f(each), Valid: f(float64(valid))}
}

// workloads are the services of two users, small and grown.
var workloads = []workload{
	{
		name: "posters", minions: 98, room: work.Size{CPU: 64000, Mem: 131072, GPU: 8}, zones: 4, queryLimit: 31,
		kinds: []jobKind{
			{name: "poster", perSecond: 4.3, steps: distribution{1, 0, 1}, tasks: distribution{4.1, 0.6, 20}, cpu: distribution{31000, 0, 0}, mem: distribution{63000, 0, 0}, gpus: []int64{2, 4, 8, 8}, runMs: distribution{4500, 0.5, 11000}, estimateError: 0.5, gang: true, failureShare: 0.02, slack: 2.2, target: time.Second, worth: 2.81, advice: newAdvice(715, 10.27, 1500), eligibleShare: 0.3},
			{name: "tag", perSecond: 4.85, steps: distribution{1, 0, 1}, tasks: distribution{20, 0.8, 120}, cpu: distribution{5600, 0, 0}, mem: distribution{15000, 0, 0}, gpus: []int64{1}, runMs: distribution{2400, 0.5, 6000}, estimateError: 0.2, onePerMinionShare: 0.12, failureShare: 0.02, slack: 4, target: 3 * time.Second, worth: 1.55, advice: newAdvice(195, 2.73, 1500), eligibleShare: 0.45},
		},
	},
	{
		name: "scans", minions: 98, room: work.Size{CPU: 128000, Mem: 262144, GPU: 8}, zones: 4, queryLimit: 22,
		kinds: []jobKind{
			{name: "scan", perSecond: 4.2, steps: distribution{1, 0, 1}, tasks: distribution{5, 0.8, 30}, cpu: distribution{62000, 0, 0}, mem: distribution{90000, 0, 0}, gpus: []int64{2, 4, 8, 8}, runMs: distribution{3600, 0.5, 9000}, estimateError: 0.5, gang: true, failureShare: 0.02, slack: 2.2, target: time.Second, worth: 2.38, advice: newAdvice(715, 10.27, 2000), eligibleShare: 0.3},
			{name: "check", perSecond: 4.75, steps: distribution{1, 0, 1}, tasks: distribution{16, 0.6, 80}, cpu: distribution{11000, 0, 0}, mem: distribution{23000, 0, 0}, gpus: []int64{1}, runMs: distribution{3000, 0.5, 7500}, estimateError: 0.2, onePerMinionShare: 0.12, failureShare: 0.02, slack: 4, target: 3 * time.Second, worth: 1.32, advice: newAdvice(195, 2.73, 2000), eligibleShare: 0.45},
		},
	},
	{
		name: "small lab", minions: 13, room: work.Size{CPU: 64000, Mem: 262144, GPU: 8}, zones: 3, queryLimit: 5,
		kinds: []jobKind{
			{name: "poster", perSecond: 1.18, steps: distribution{1, 0, 1}, tasks: distribution{1.5, 0.8, 9}, cpu: distribution{31000, 0, 0}, mem: distribution{63000, 0, 0}, gpus: []int64{2, 4, 8, 8}, runMs: distribution{5600, 0.5, 14000}, estimateError: 0.5, failureShare: 0.02, slack: 2.2, target: time.Second, worth: 4.09, advice: newAdvice(560, 8, 1500), eligibleShare: 0.3},
			{name: "tag", perSecond: 1.9, steps: distribution{1, 0, 1}, tasks: distribution{5.5, 0.8, 40}, cpu: distribution{5600, 0, 0}, mem: distribution{15000, 0, 0}, gpus: []int64{1}, runMs: distribution{2400, 0.5, 6000}, estimateError: 0.2, onePerMinionShare: 0.12, failureShare: 0.02, slack: 4, target: 3 * time.Second, worth: 1.59, advice: newAdvice(140, 2, 1500), eligibleShare: 0.45},
		},
	},
	{
		name: "listings", minions: 252, room: work.Size{CPU: 64000, Mem: 131072}, zones: 4, queryLimit: 31, burst: 2,
		kinds: []jobKind{
			{name: "refresh", perSecond: 39.5, steps: distribution{1.5, 0.4, 4}, tasks: distribution{9.5, 0.8, 57}, cpu: distribution{11000, 0.45, 32000}, mem: distribution{11000, 0.6, 33000}, runMs: distribution{700, 0.5, 1800}, estimateError: 0.5, onePerMinionShare: 0.12, speculativeShare: 0.3, failureShare: 0.05, slack: 1.5, target: 250 * time.Millisecond, worth: 0.532, advice: newAdvice(20.8, 0.299, 1500), eligibleShare: 0.7},
			{name: "rebuild", perSecond: 2.2, steps: distribution{2, 0.4, 5}, tasks: distribution{18, 0.6, 88}, cpu: distribution{18000, 0.4, 30000}, mem: distribution{26000, 0.5, 51000}, runMs: distribution{5600, 0.5, 14000}, estimateError: 0.2, onePerMinionShare: 0.12, failureShare: 0.02, slack: 4, target: 3 * time.Second, worth: 3.37, advice: newAdvice(208, 2.99, 1500), eligibleShare: 0.45},
		},
	},
	{
		name: "reports", minions: 350, room: work.Size{CPU: 64000, Mem: 131072}, zones: 4, queryLimit: 35, speeds: []float64{0.8, 1, 1.25}, burst: 1.9,
		kinds: []jobKind{
			{name: "thumb", perSecond: 137, steps: distribution{1, 0, 1}, tasks: distribution{3.2, 0.8, 19}, cpu: distribution{9900, 0.45, 30000}, mem: distribution{10000, 0.6, 30000}, runMs: distribution{640, 0.5, 1600}, estimateError: 0.5, failureShare: 0.005, slack: 1.5, target: 300 * time.Millisecond, worth: 0.388, advice: newAdvice(9.36, 0.13, 2000), eligibleShare: 0.7},
			{name: "report", perSecond: 3.81, steps: distribution{1.2, 0.4, 3}, tasks: distribution{20, 0.8, 120}, cpu: distribution{18000, 0.4, 30000}, mem: distribution{26000, 0.5, 51000}, runMs: distribution{6200, 0.5, 16000}, estimateError: 0.9, gang: true, failureShare: 0.05, slack: 2.2, target: time.Second, worth: 16, advice: newAdvice(702, 10.01, 2000), eligibleShare: 0.3},
			{name: "chart", perSecond: 9.84, steps: distribution{1.5, 0.4, 3.8}, tasks: distribution{25, 0.8, 150}, cpu: distribution{6900, 0.45, 21000}, mem: distribution{13000, 0.6, 38000}, runMs: distribution{2700, 0.5, 6800}, estimateError: 0.2, onePerMinionShare: 0.12, failureShare: 0.02, slack: 4, target: 3 * time.Second, worth: 3.87, advice: newAdvice(130, 1.82, 2000), eligibleShare: 0.45},
		},
	},
}

// averageShares returns the share of its possible value that each job kind
// earned over several seeds, by name.
func averageShares(sh workload, pol Policy, seeds int) map[string]float64 {
	var mu sync.Mutex
	var wg sync.WaitGroup
	worth, owed := map[string]float64{}, map[string]float64{}
	for seed := range seeds {
		wg.Go(func() {
			p := newReplay(sh, uint64(seed+1))
			p.st.Policy = pol
			p.run()
			mu.Lock()
			defer mu.Unlock()
			for _, e := range p.results() {
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

// BenchmarkReplay reports the share of its possible value that each job kind
// earns, by policy.
func BenchmarkReplay(b *testing.B) {
	for _, sh := range workloads {
		for name, pol := range policies {
			b.Run(sh.name+"/"+name, func(b *testing.B) {
				for range b.N {
					for kind, share := range averageShares(sh, pol, benchSeeds) {
						b.ReportMetric(share, kind)
					}
				}
			})
		}
	}
}

// BenchmarkAblation reports the share of its possible value that each job kind
// earns without one mechanism of the default policy.
func BenchmarkAblation(b *testing.B) {
	mechanisms := map[string]func(*Policy){
		"none":              func(*Policy) {},
		"UrgentFirst":       func(p *Policy) { p.UrgentFirst = false },
		"ShareZone":         func(p *Policy) { p.ShareZone = false },
		"SpeculativeCopies": func(p *Policy) { p.SpeculativeCopies = false },
		"MaxReserved":       func(p *Policy) { p.MaxReserved = 0 },
		"LateFactor":        func(p *Policy) { p.LateFactor = 1 },
		"LearnRunTimes":     func(p *Policy) { p.LearnRunTimes = false },
		"WorthlessYield":    func(p *Policy) { p.WorthlessYield = false },
		"ParallelQueries":   func(p *Policy) { p.ParallelQueries = false },
		"ReserveByTaskSize": func(p *Policy) { p.ReserveByTaskSize = false },
		"QueryAhead":        func(p *Policy) { p.QueryAhead = false },
		"GangQueryMinions":  func(p *Policy) { p.GangQueryMinions = 0 },
	}
	for _, sh := range workloads {
		for _, name := range slices.Sorted(maps.Keys(mechanisms)) {
			b.Run(sh.name+"/without="+name, func(b *testing.B) {
				p := DefaultPolicy
				mechanisms[name](&p)
				for range b.N {
					for kind, share := range averageShares(sh, p, benchSeeds) {
						b.ReportMetric(share, kind)
					}
				}
			})
		}
	}
}

// benchSeeds is how many seeds of each workload a benchmark replays.
const benchSeeds = 6

// policies are compared on the same workloads.
var policies = map[string]Policy{
	"usual":       DefaultPolicy,
	"first-come":  {},
	"urgent-only": {UrgentFirst: true},
	"unbooked":    {UrgentFirst: true, ShareZone: true, SpeculativeCopies: true, GangQueryMinions: DefaultPolicy.GangQueryMinions},
}

// Large tasks and gangs lose most value when smaller tasks arrive all the time.
// On the large sites the default policy has to regain half of that loss; on a
// small site most of the loss comes from steps that only one or two minions may
// run. Small tasks must not lose more than a tenth in exchange.
func TestLargeTasksFindRoomUnderLoad(t *testing.T) {
	for _, c := range []struct {
		workload
		gain  float64 // of the loss
		seeds int     // a small site has few jobs, so single seeds differ by more than the policies
	}{{workloads[0], 0.5, testSeeds}, {workloads[1], 0.5, testSeeds}, {workloads[2], 0, 8 * testSeeds}} {
		was, is := averageShares(c.workload, Policy{UrgentFirst: true}, c.seeds), averageShares(c.workload, DefaultPolicy, c.seeds)
		large, small := c.kinds[0].name, c.kinds[1].name
		t.Logf("%s: urgent-only %s, default policy %s", c.name, formatShares(was), formatShares(is))
		assert.Check(t, 1-is[large] <= (1-was[large])*(1-c.gain), c.name)
		assert.Check(t, is[small] >= was[small]-0.1, c.name)
	}
}

// Badly estimated gangs of small tasks lose most value when all room is nearly
// used. Learned run times, queries in parallel and reservations by task size have
// to regain a fifth of that loss, at no other kind's cost.
func TestGangsOfSmallTasksUnderLoad(t *testing.T) {
	reports := workloads[4]
	without := func(change func(*Policy)) map[string]float64 {
		p := DefaultPolicy
		change(&p)
		return averageShares(reports, p, testSeeds)
	}
	is := without(func(*Policy) {})
	was := without(func(p *Policy) { p.LearnRunTimes, p.ParallelQueries, p.ReserveByTaskSize = false, false, false })
	t.Logf("without %s, with %s", formatShares(was), formatShares(is))
	assert.Check(t, 1-is["report"] <= 0.8*(1-was["report"]))
	for _, other := range []string{"thumb", "chart"} {
		assert.Check(t, is[other] >= was[other]-0.01, other)
	}
}

// testSeeds is how many seeds of each workload a test replays.
const testSeeds = 2

// formatShares formats the shares as one line, sorted by name.
func formatShares(m map[string]float64) string {
	names := slices.Sorted(maps.Keys(m))
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, "%s %.3f ", n, m[n])
	}
	return b.String()
}

// A new owner has to know which of the jobs it finds are too late already: with
// all of them taken for new, those that could be in time wait behind the others.
func TestSuccessorTakesOldJobsForNew(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	submit := func(id string, step work.Step) {
		j := newJob(id, step)
		j.Accepted = w.now.UnixMilli()
		w.submit(j)
	}
	submit("busy", tasks(1, 4000))
	w.cycle()
	submit("a", tasks(1, 4000))
	for range 20 {
		w.pass(time.Second)
		w.cycle()
	}
	submit("b", tasks(1, 4000))
	w.takeOver()
	w.cycle()
	w.finishAll()
	w.cycle()
	assert.Equal(t, w.state("busy"), Completed)
	assert.Equal(t, w.state("b"), Active, "it can be in time, a cannot")
	assert.Equal(t, w.state("a"), Queued)
}

// A step that waits for advice finds no room if one without value may take all
// that becomes free.
func TestJobWithoutValueTakesRoomThatOthersNeed(t *testing.T) {
	w, _ := newOwnedCluster(t, 4)
	w.submit(newJob("busy", tasks(4, 4000)))
	w.cycle()
	w.submit(newJob("a", tasks(1, 4000)))
	for range 20 {
		w.pass(time.Second)
		w.cycle()
	}
	b := newJob("b", tasks(1, 4000))
	b.Advice = &work.AdviceTiming{Decide: 40 * time.Millisecond, Valid: time.Second}
	w.submit(b)
	w.finishOn(w.minions[0])
	w.cycle()
	assert.Equal(t, w.running(), 3, "the room is left to b, which waits for its advice")
	w.finishOn(w.minions[1])
	w.cycle()
	assert.Equal(t, w.state("a"), Active, "half of the room is free")
}
