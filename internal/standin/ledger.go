// Package standin provides fakes of the systems that jasminestep works with: the
// platform, workers, minions and callers.
//
// The fakes implement the interfaces only and don't model time, networks or
// users. Each records events in a Ledger. A run is evaluated by the Ledger
// alone; what jasminestep reports about itself is only compared with it.
package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"jasminestep/pkg/operator"
)

// Ledger records what the stand-ins ran and counts violated guarantees.
type Ledger struct {
	mu          sync.Mutex
	running     map[string]string    // task → worker and attempt that run it
	firstStart  map[string]time.Time // task → first start
	completions map[string]int       // task → completed runs
	requestRuns map[string]int       // request nonce → runs
	Starts      int                  // task starts
	Twice       int                  // tasks started while running, and requests that must not run twice but did
	Over        int                  // workers over their capacity, and minions over their slots or connections
	Crossed     int                  // responses that belong to another request or are incomplete
	Untrue      int                  // reports that contradict the recorded events
	Lost        int                  // accepted jobs that were not found or did not finish
	Notes       []string             // descriptions of the violations
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[string]string{}, firstStart: map[string]time.Time{}, completions: map[string]int{}, requestRuns: map[string]int{}}
}

// maxNotes is the maximum length of Notes.
const maxNotes = 50

func (l *Ledger) note(format string, args ...any) {
	if len(l.Notes) < maxNotes {
		l.Notes = append(l.Notes, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// Start records that a worker starts a task, and counts a violation if the task
// is already running.
func (l *Ledger) Start(worker, task string, attempt int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Starts++
	if at, ok := l.running[task]; ok {
		l.Twice++
		l.note("task %s attempt %d starts on %s while it runs on %s", task, attempt, worker, at)
	}
	l.running[task] = fmt.Sprintf("%s attempt %d", worker, attempt)
	if _, ok := l.firstStart[task]; !ok {
		l.firstStart[task] = time.Now()
	}
}

// Stop records that a worker no longer runs a task; done means that it completed.
func (l *Ledger) Stop(worker, task string, attempt int, done bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.running[task] == fmt.Sprintf("%s attempt %d", worker, attempt) {
		delete(l.running, task)
	}
	if done {
		l.completions[task]++
	}
}

// CheckCapacity counts a violation if the resources used on a worker exceed its
// size.
func (l *Ledger) CheckCapacity(worker string, used, size operator.Size) {
	if used.Fits(size) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Over++
	l.note("worker %s holds %+v of %+v", worker, used, size)
}

// CheckLimit counts a violation if n, the number of slots or connections in use
// on a minion, exceeds limit.
func (l *Ledger) CheckLimit(minion, what string, n, limit int) {
	if n <= limit {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Over++
	l.note("minion %s has %d %s of %d", minion, n, what, limit)
}

// StartRequest records that a minion runs a request, and counts a violation if it
// must run at most once and has run before.
func (l *Ledger) StartRequest(minion, nonce string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestRuns[nonce]++
	if once && l.requestRuns[nonce] > 1 {
		l.Twice++
		l.note("request %s runs again on %s", nonce, minion)
	}
}

// RequestRuns returns how many times the request ran.
func (l *Ledger) RequestRuns(nonce string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requestRuns[nonce]
}

// AddCrossed counts a response that belongs to another request or is incomplete.
func (l *Ledger) AddCrossed(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Crossed++
	l.note("crossed: "+format, args...)
}

// AddUntrue counts a report that contradicts the recorded events.
func (l *Ledger) AddUntrue(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Untrue++
	l.note("untrue: "+format, args...)
}

// AddLost counts an accepted job that was not found or did not finish.
func (l *Ledger) AddLost(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Lost++
	l.note("lost: "+format, args...)
}

// Completions returns how many times the task ran to completion.
func (l *Ledger) Completions(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completions[task]
}

// FirstStart returns when the task first started, or the zero time if it never did.
func (l *Ledger) FirstStart(task string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstStart[task]
}

// Quantile returns the q-quantile of ds, or zero if ds is empty.
func Quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	s := slices.Clone(ds)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
