// Package sim has the stand-ins of the cases of this review: the platform's
// store, minions, clients, and entries as separate processes. They follow the
// users' pages; where a page sets no value they behave like a sound peer.
package sim

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	ExitHeld   = 0 // the rule held
	ExitBroken = 1 // the rule was broken
	ExitNotRun = 2 // the case could not run
)

// Record writes what was sent, answered and run to a file, one event a line.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file at path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Log writes an event with the seconds since the start of the case.
func (r *Record) Log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(line) // the verdict does not depend on the record
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }
