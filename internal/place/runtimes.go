package place

import (
	"slices"
	"time"
)

// RuntimeEstimator estimates the run times of tasks from earlier runs of the
// same family. The zero value is ready to use.
type RuntimeEstimator struct {
	samples map[string][]time.Duration
}

// maxSamples is the number of recent run times kept for each family.
const maxSamples = 32

// Record adds the run time of a completed task.
func (r *RuntimeEstimator) Record(family string, d time.Duration) {
	if r.samples == nil {
		r.samples = map[string][]time.Duration{}
	}
	s := append(r.samples[family], d)
	r.samples[family] = s[max(0, len(s)-maxSamples):]
}

// Estimate returns the 80th percentile of the family's recorded run times, or
// the declared run time if there are fewer than minSamples.
func (r *RuntimeEstimator) Estimate(family string, declared time.Duration) time.Duration {
	const minSamples = 4
	s := r.samples[family]
	if len(s) < minSamples {
		return declared
	}
	s = slices.Clone(s)
	slices.Sort(s)
	return s[len(s)*4/5]
}
