// Package standin has small stand-ins for what jasminestep works with: the
// platform, workers, minions and callers.
//
// They are fakes at the interfaces: no model of time, network or users. Each
// writes what happens to it into a Ledger, and the Ledger alone judges a run;
// what jasminestep says of itself is only ever compared with it.
package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"jasminestep/pkg/operator"
)

// Ledger records what really happened and counts broken promises.
type Ledger struct {
	mu          sync.Mutex
	running     map[string]string    // task → worker and attempt that run it now
	firstStart  map[string]time.Time // task → first start
	completions map[string]int       // task → completed runs
	requestRuns map[string]int       // request nonce → runs
	Starts      int                  // of tasks
	Twice       int                  // tasks in two places, or requests that may run once run again
	Over        int                  // VMs over capacity, minions over slots or connections
	Crossed     int                  // answers that were not the caller's own, or not whole
	Untrue      int                  // statements that what happened contradicts
	Lost        int                  // accepted work that came to nothing
	Notes       []string             // what was counted, for whoever looks into it
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[string]string{}, firstStart: map[string]time.Time{}, completions: map[string]int{}, requestRuns: map[string]int{}}
}

// maxNotes bounds Notes.
const maxNotes = 50

func (l *Ledger) note(format string, args ...any) {
	if len(l.Notes) < maxNotes {
		l.Notes = append(l.Notes, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// Start records that a worker begins a task.
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

// Stop records that a worker no longer runs a task.
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

// Fit records that a worker holds used of size.
func (l *Ledger) CheckCapacity(worker string, used, size operator.Size) {
	if used.Fits(size) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Over++
	l.note("worker %s holds %+v of %+v", worker, used, size)
}

// Busy records that a minion has n of most in use.
func (l *Ledger) CheckLimit(minion, what string, n, most int) {
	if n <= most {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Over++
	l.note("minion %s has %d %s of %d", minion, n, what, most)
}

// Run records that a minion runs a request.
func (l *Ledger) StartRequest(minion, nonce string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requestRuns[nonce]++
	if once && l.requestRuns[nonce] > 1 {
		l.Twice++
		l.note("request %s runs again on %s", nonce, minion)
	}
}

// Ran is how often the request ran.
func (l *Ledger) RequestRuns(nonce string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requestRuns[nonce]
}

// Cross records an answer that is not the caller's own or not whole.
func (l *Ledger) AddCrossed(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Crossed++
	l.note("crossed: "+format, args...)
}

// Lie records an untrue statement.
func (l *Ledger) AddUntrue(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Untrue++
	l.note("untrue: "+format, args...)
}

// Lose records accepted work that came to nothing.
func (l *Ledger) AddLost(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Lost++
	l.note("lost: "+format, args...)
}

// Done is how often the task ran to completion.
func (l *Ledger) Completions(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.completions[task]
}

// Began is when the task first started; zero if it never did.
func (l *Ledger) FirstStart(task string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstStart[task]
}

// Quantile returns the q-quantile of ds, zero if there are none.
func Quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	s := slices.Clone(ds)
	slices.Sort(s)
	return s[min(len(s)-1, int(q*float64(len(s))))]
}
