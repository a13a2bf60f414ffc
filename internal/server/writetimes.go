package server

import (
	"slices"
	"sort"
	"sync"
	"time"
)

// writeTimes tells when a row was written, at the earliest, by the store's
// version counter: a row with a higher version than the store had at some time
// was written after that time. An entry learns versions from all that it reads,
// and from the owners that it watches, so that a new owner knows how old the
// rows are that it reads. The zero value knows nothing.
type writeTimes struct {
	mu      sync.Mutex
	samples []versionSample // both fields ascend
}

// versionSample is a time at which the version of the store was at most Version.
type versionSample struct {
	Version int64
	At      time.Time
}

// sampleTTL is how long samples are kept. Older rows are of unknown age.
const sampleTTL = 10 * time.Second

// observe adds a sample. at is when a read began whose reply had the version.
func (w *writeTimes) observe(version int64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.firstFrom(version)
	if first > 0 && !w.samples[first-1].At.Before(at) {
		return // an earlier version is known to have been the newest even later
	}
	last := first
	for last < len(w.samples) && !w.samples[last].At.After(at) {
		last++
	}
	if first == last && first < len(w.samples) && w.samples[first].Version == version {
		return
	}
	w.samples = slices.Replace(w.samples, first, last, versionSample{version, at})
	w.samples = slices.DeleteFunc(w.samples, func(x versionSample) bool { return at.Sub(x.At) > sampleTTL })
}

// firstFrom returns the index of the first sample of the version or a higher one.
func (w *writeTimes) firstFrom(version int64) int {
	return sort.Search(len(w.samples), func(i int) bool { return w.samples[i].Version >= version })
}

// writtenAfter returns a time after which a row with the version was written, or
// the zero time if none is known.
func (w *writeTimes) writtenAfter(version int64) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.firstFrom(version)
	if i == 0 {
		return time.Time{}
	}
	return w.samples[i-1].At
}

// newest returns the newest sample, and false if there is none.
func (w *writeTimes) newest() (versionSample, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.samples) == 0 {
		return versionSample{}, false
	}
	return w.samples[len(w.samples)-1], true
}
