package main

import (
	"fmt"
	"os"
	"sort"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	counts map[string]int
}

func newRecord(name string) (*record, error) {
	f, err := os.Create(name)
	if err != nil {
		return nil, fmt.Errorf("record: %w", err)
	}
	return &record{file: f, began: time.Now(), counts: map[string]int{}}, nil
}

// printf writes a line, with the time since the start.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // a lost line shows in the file
}

// count counts something that happens often; the first time has a line of its own.
func (r *record) count(what string) {
	r.mu.Lock()
	r.counts[what]++
	n := r.counts[what]
	r.mu.Unlock()
	if n == 1 {
		r.printf("%s, for the first time", what)
	}
}

// close writes the counts and closes the file.
func (r *record) close() {
	r.mu.Lock()
	var names []string
	for n := range r.counts {
		names = append(names, n)
	}
	sort.Strings(names)
	r.mu.Unlock()
	for _, n := range names {
		r.printf("%s: %d times", n, r.counts[n])
	}
	_ = r.file.Close() // nothing can be done about it
}
