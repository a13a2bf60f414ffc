package shard

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// routes is the service with the short jobs of a large site, with a given number of
// minions.
func routes(minions int) workload {
	share := float64(minions) / 792
	return workload{
		name: "routes", minions: minions, room: work.Size{CPU: 16000, Mem: 65536}, zones: 6, queryLimit: max(8, int(100*share)), speeds: []float64{0.8, 1, 1.25},
		kinds: []jobKind{
			{name: "route", perSecond: 49.8 * share, steps: distribution{1.5, 0.4, 3.8}, tasks: distribution{13, 0.8, 80}, cpu: distribution{4200, 0.45, 13000}, mem: distribution{8600, 0.6, 26000}, runMs: distribution{880, 0.5, 2200}, estimateError: 0.9, onePerMinionShare: 0.12, speculativeShare: 0.3, failureShare: 0.02, slack: 1.5, target: 250 * time.Millisecond, worth: 0.535, advice: newAdvice(29.9, 0.429, 2000), eligibleShare: 0.7},
			{name: "weigh", perSecond: 4.59 * share, steps: distribution{2, 0.4, 5}, tasks: distribution{36, 0.6, 180}, cpu: distribution{4500, 0.4, 7600}, mem: distribution{13000, 0.5, 26000}, runMs: distribution{4500, 0.5, 11000}, estimateError: 0.5, onePerMinionShare: 0.12, failureShare: 0.05, slack: 4, target: 3 * time.Second, worth: 2.07, advice: newAdvice(182, 2.6, 2000), eligibleShare: 0.45},
		},
	}
}

// Times of the replays here.
const (
	faultAt       = 10 * time.Second
	faultFor      = 6 * time.Second
	recoverWithin = 3 * time.Second // of the end of the fault
	slowAfter     = 150 * time.Millisecond
)

// fault reports whether the fault lasts.
func (p *replay) fault() bool {
	at := p.now.Sub(epoch)
	return at >= faultAt && at < faultAt+faultFor
}

// earned is the share of the value that jobs of a kind earned that arrived in a span
// of time.
func (p *replay) earned(kind string, from, to time.Duration) float64 {
	worth, owed := 0.0, 0.0
	for _, s := range p.arrivals {
		at := s.at.Sub(epoch)
		if s.kind.name != kind || at < from || at >= to {
			continue
		}
		owed++
		switch obj := s.objective(); {
		case s.duration > 0 && s.duration <= obj:
			worth++
		case s.duration > 0 && s.duration <= maxLateness*obj:
			worth += 0.2
		}
	}
	return worth / owed
}

// recoveryNoise is the difference in the share of the value that says nothing.
const recoveryNoise = 0.03

// recovers checks that jobs of a kind that arrive later than recoverWithin after the end
// of a fault earn what they earn without it. The fault is set up by with.
func recovers(t *testing.T, load workload, kind string, with func(*replay)) (faulty []*replay) {
	t.Helper()
	var wg sync.WaitGroup
	calm := make([]*replay, recoverySeeds)
	faulty = make([]*replay, recoverySeeds)
	for i := range recoverySeeds {
		calm[i], faulty[i] = newReplay(load, uint64(i+1)), newReplay(load, uint64(i+1))
		with(faulty[i])
		wg.Go(calm[i].run)
		wg.Go(faulty[i].run)
	}
	wg.Wait()
	without, after := 0.0, 0.0
	for i := range recoverySeeds {
		without += calm[i].earned(kind, faultAt+faultFor+recoverWithin, replayFor) / recoverySeeds
		after += faulty[i].earned(kind, faultAt+faultFor+recoverWithin, replayFor) / recoverySeeds
	}
	t.Logf("%.3f without the fault, %.3f after it", without, after)
	assert.Check(t, after >= without-recoveryNoise, "%.3f without the fault, %.3f after it", without, after)
	return faulty
}

// recoverySeeds is how many seeds a replay here has.
const recoverySeeds = 4

// mostCopies is the greatest number of copies for each first start: a few in a hundred.
const mostCopies = 0.05

// While minions answered some starts late, their zones counted as unreachable and all
// runs there were copied. Nothing is lost here, so each copy is needless.
func TestRunsAreCopiedWhileNothingIsLost(t *testing.T) {
	late := func(p *replay) {
		rng := rand.New(rand.NewPCG(1, 2)) // its own, so that the same jobs arrive as without the fault
		p.startDelay = func() time.Duration {
			if p.fault() && rng.Float64() < 0.3 {
				return 600 * time.Millisecond
			}
			return answerTime
		}
	}
	for _, p := range recovers(t, routes(198), "route", late) {
		a := p.st.Activity()
		t.Logf("%d copies, %d of them needless, beside %d first starts in the fault", a.Copies, a.NeedlessCopies, p.firstStarts)
		assert.Check(t, float64(a.Copies) <= mostCopies*float64(p.firstStarts), "%d copies beside %d first starts", a.Copies, p.firstStarts)
	}
}
