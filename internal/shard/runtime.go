package shard

import (
	"math"
	"time"
)

// Clients estimate the run times of their tasks, some of them badly. A step whose
// run time is underestimated seems late long before it is, and one whose run time
// is overestimated waits for too long. The shard therefore predicts run times
// from estimates and the run times observed in the same queue, of the same image
// if there is one: by a linear regression of the logarithms, which keeps good
// estimates as they are and moves bad ones towards the average. Run times are
// divided by the slowness of their minions, which is learned apart from them.

// runTimes holds what is known of the run times in one queue, as sums over the
// observations of x, the logarithm of the estimate, and y, that of the run time
// as a multiple of the estimate. The zero value predicts the estimate.
type runTimes struct {
	n, x, y, xx, xy float64
}

// Parameters of the prediction.
const (
	runTimeDecay   = 0.998 // weight of earlier observations at each new one
	minRunTimes    = 10    // observations before the prediction differs from the estimate
	maxCorrection  = 20    // factor between prediction and estimate, at most
	minLogVariance = 1e-3  // of the estimates, below which they do not tell run times apart
)

// observe adds the run time of a task.
func (r *runTimes) observe(estimate, took time.Duration) {
	if estimate <= 0 || took <= 0 {
		return
	}
	x, y := math.Log(estimate.Seconds()), math.Log(took.Seconds()/estimate.Seconds())
	for _, s := range []*float64{&r.n, &r.x, &r.y, &r.xx, &r.xy} {
		*s *= runTimeDecay
	}
	r.n++
	r.x += x
	r.y += y
	r.xx += x * x
	r.xy += x * y
}

// predict returns the expected run time of a task with the given estimate.
func (r *runTimes) predict(estimate time.Duration) time.Duration {
	if r == nil || r.n < minRunTimes || estimate <= 0 {
		return estimate
	}
	meanX, meanY := r.x/r.n, r.y/r.n
	slope := 0.0
	if variance := r.xx/r.n - meanX*meanX; variance > minLogVariance {
		slope = (r.xy/r.n - meanX*meanY) / variance
	}
	factor := math.Exp(meanY + slope*(math.Log(estimate.Seconds())-meanX))
	factor = max(1.0/maxCorrection, min(factor, maxCorrection))
	return time.Duration(float64(estimate) * factor)
}

// RunTimeErrors tells how far run times are from what was expected. The zero value
// has seen none.
type RunTimeErrors struct {
	N                    int     // runs seen
	estimate, prediction float64 // moving averages of the size of the logarithm of the error
}

// errorWeight is the weight of the newest run in RunTimeErrors.
const errorWeight = 0.01

// observe records a run.
func (e *RunTimeErrors) observe(estimate, prediction, took time.Duration) {
	if estimate <= 0 || prediction <= 0 || took <= 0 {
		return
	}
	e.N++
	w := max(errorWeight, 1/float64(e.N))
	e.estimate += w * (math.Abs(math.Log(took.Seconds()/estimate.Seconds())) - e.estimate)
	e.prediction += w * (math.Abs(math.Log(took.Seconds()/prediction.Seconds())) - e.prediction)
}

// OfEstimate returns the factor by which run times differ from clients' estimates.
func (e *RunTimeErrors) OfEstimate() float64 { return math.Exp(e.estimate) }

// OfPrediction returns the factor by which run times differ from predictions.
func (e *RunTimeErrors) OfPrediction() float64 { return math.Exp(e.prediction) }

// runTimeKey names what run times are learned of. Image is empty for a whole
// queue.
type runTimeKey struct{ Queue, Image string }

// maxRunTimes is the number of queues and images of which run times are learned.
const maxRunTimes = 200

// runTimesOf returns what is known of the run times of a queue's image or, if that
// is little, of the queue; nil if nothing is.
func (s *State) runTimesOf(queue, image string) *runTimes {
	if r := s.runTimes[runTimeKey{queue, image}]; r != nil && r.n >= minRunTimes {
		return r
	}
	return s.runTimes[runTimeKey{Queue: queue}]
}

// predictRunTime returns the expected run time of a task with an image.
func (s *State) predictRunTime(j *job, image string, estimate time.Duration) time.Duration {
	if !s.Policy.LearnRunTimes {
		return estimate
	}
	return s.runTimesOf(j.Queue, image).predict(estimate)
}

// observeRunTime learns from a run that succeeded.
func (s *State) observeRunTime(p *step, took time.Duration) {
	s.learned = true
	s.RunTimeErrors.observe(p.Estimate, s.runTimesOf(p.job.Queue, p.Image).predict(p.Estimate), took)
	s.observeRunTimeOf(runTimeKey{Queue: p.job.Queue}, p.Estimate, took)
	if p.Image != "" {
		s.observeRunTimeOf(runTimeKey{p.job.Queue, p.Image}, p.Estimate, took)
	}
}

func (s *State) observeRunTimeOf(k runTimeKey, estimate, took time.Duration) {
	if s.runTimes[k] == nil {
		if len(s.runTimes) >= maxRunTimes {
			return
		}
		s.runTimes[k] = &runTimes{}
	}
	s.runTimes[k].observe(estimate, took)
}
