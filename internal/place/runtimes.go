package place

import (
	"slices"
	"time"
)

// Runtimes learns run times by family. The zero value knows nothing.
type RuntimeEstimator struct {
	seen map[string][]time.Duration
}

// learnFrom is how many of the latest run times of a family count.
const learnFrom = 32

// Learn records a run time.
func (r *RuntimeEstimator) Record(family string, d time.Duration) {
	if r.seen == nil {
		r.seen = map[string][]time.Duration{}
	}
	s := append(r.seen[family], d)
	r.seen[family] = s[max(0, len(s)-learnFrom):]
}

// Guess returns the 80th percentile of what was seen of the family, or the
// declared time while too little was seen.
func (r *RuntimeEstimator) Estimate(family string, declared time.Duration) time.Duration {
	const enough = 4
	s := r.seen[family]
	if len(s) < enough {
		return declared
	}
	s = slices.Clone(s)
	slices.Sort(s)
	return s[len(s)*4/5]
}
