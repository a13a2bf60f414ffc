package shard

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// learn observes n runs of tasks that take 2 to 10 s, estimated with errors of up
// to the given share.
func learn(n int, estimateError float64) *runTimes {
	rng, r := rand.New(rand.NewPCG(1, 1)), &runTimes{}
	for range n {
		took := 2 + 8*rng.Float64()
		estimate := took * (1 + estimateError*(2*rng.Float64()-1))
		r.observe(time.Duration(estimate*float64(time.Second)), time.Duration(took*float64(time.Second)))
	}
	return r
}

func TestGoodEstimatesAreKept(t *testing.T) {
	var none *runTimes
	assert.Equal(t, none.predict(time.Second), time.Second)
	r := learn(200, 0.05)
	for _, d := range []time.Duration{2 * time.Second, 5 * time.Second, 10 * time.Second} {
		got := r.predict(d)
		assert.Check(t, got > d*9/10 && got < d*11/10, "%v for %v", got, d)
	}
}

// An estimate of a tenth of the run time must not make a job seem late before it
// has begun.
func TestBadEstimatesMoveTowardsTheAverage(t *testing.T) {
	r := learn(200, 0.9)
	low, high := r.predict(600*time.Millisecond), r.predict(19*time.Second)
	assert.Check(t, low > 2*time.Second, "%v", low)
	assert.Check(t, high < 12*time.Second, "%v", high)
	assert.Check(t, low < high)
}

func TestEqualEstimatesGiveTheAverage(t *testing.T) {
	r := &runTimes{}
	for range 100 {
		r.observe(time.Second, 2*time.Second)
	}
	got := r.predict(time.Second)
	assert.Check(t, got > 1900*time.Millisecond && got < 2100*time.Millisecond, "%v", got)
}

// The objective allows for one query in each step.
func TestObjectiveAllowsForQueries(t *testing.T) {
	s := New("s", 1, epoch, DefaultLimits)
	first, second := tasks(1, 1000), tasks(1, 1000)
	second.After = []int{0}
	j := newJob("a", first, second)
	a := newAdvice(700, 10, 2000)
	j.Advice = &a
	s.Submit(epoch, j)
	s.beginRounds(epoch)
	assert.Equal(t, s.jobs["a"].objective(), 2*(2*time.Second+2*time.Second)+time.Second)
}

func TestRunTimeErrorsTellWhatLearningGains(t *testing.T) {
	var e RunTimeErrors
	assert.Equal(t, e.OfEstimate(), 1.0)
	for range 50 {
		e.observe(time.Second, 3*time.Second, 4*time.Second)
		e.observe(time.Second, 3*time.Second, 0) // makes no sense
	}
	assert.Check(t, e.OfEstimate() > 3.99 && e.OfEstimate() < 4.01, "%v", e.OfEstimate())
	assert.Check(t, e.OfPrediction() > 1.33 && e.OfPrediction() < 1.34, "%v", e.OfPrediction())
}
