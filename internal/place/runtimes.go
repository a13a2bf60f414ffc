package place

import (
	"slices"
	"time"
)

// Runtimes learns run times by family. The zero value knows nothing.
type RuntimeEstimator struct {
	samples map[string][]time.Duration
}

// learnFrom is how many of the latest run times of a family count.
const maxSamples = 32

// Learn records a run time.
func (r *RuntimeEstimator) Record(family string, d time.Duration) {
	if r.samples == nil {
		r.samples = map[string][]time.Duration{}
	}
	s := append(r.samples[family], d)
	r.samples[family] = s[max(0, len(s)-maxSamples):]
}

// Guess returns the 80th percentile of what was seen of the family, or the
// declared time while too little was seen.
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
