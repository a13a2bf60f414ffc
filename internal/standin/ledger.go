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
	mu      sync.Mutex
	running map[string]string    // task → worker and attempt that run it now
	began   map[string]time.Time // task → first start
	done    map[string]int       // task → completed runs
	ran     map[string]int       // request nonce → runs
	Starts  int                  // of tasks
	Twice   int                  // tasks in two places, or requests that may run once run again
	Over    int                  // VMs over capacity, minions over slots or connections
	Crossed int                  // answers that were not the caller's own, or not whole
	Untrue  int                  // statements that what happened contradicts
	Lost    int                  // accepted work that came to nothing
	Notes   []string             // what was counted, for whoever looks into it
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{running: map[string]string{}, began: map[string]time.Time{}, done: map[string]int{}, ran: map[string]int{}}
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
	if _, ok := l.began[task]; !ok {
		l.began[task] = time.Now()
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
		l.done[task]++
	}
}

// Fit records that a worker holds used of size.
func (l *Ledger) Fit(worker string, used, size operator.Size) {
	if used.Fits(size) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Over++
	l.note("worker %s holds %+v of %+v", worker, used, size)
}

// Busy records that a minion has n of most in use.
func (l *Ledger) Busy(minion, what string, n, most int) {
	if n <= most {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Over++
	l.note("minion %s has %d %s of %d", minion, n, what, most)
}

// Run records that a minion runs a request.
func (l *Ledger) Run(minion, nonce string, once bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[nonce]++
	if once && l.ran[nonce] > 1 {
		l.Twice++
		l.note("request %s runs again on %s", nonce, minion)
	}
}

// Ran is how often the request ran.
func (l *Ledger) Ran(nonce string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[nonce]
}

// Cross records an answer that is not the caller's own or not whole.
func (l *Ledger) Cross(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Crossed++
	l.note("crossed: "+format, args...)
}

// Lie records an untrue statement.
func (l *Ledger) Lie(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Untrue++
	l.note("untrue: "+format, args...)
}

// Lose records accepted work that came to nothing.
func (l *Ledger) Lose(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Lost++
	l.note("lost: "+format, args...)
}

// Done is how often the task ran to completion.
func (l *Ledger) Done(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done[task]
}

// Began is when the task first started; zero if it never did.
func (l *Ledger) Began(task string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.began[task]
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
