package main

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"jasminestep/platform/standin"
)

// judge knows what all minions have run.
type judge interface {
	Report() (broken []string, started map[string]int)
	Crashes() map[string]int
	Running() map[string]int
}

// collector judges by the events of minions that are processes of their own. Their
// clocks are the same.
type collector struct {
	mu       sync.Mutex
	violated []string
	runs     map[string][]*minionRun // by task
	crashes  map[string]int          // by task
}

// minionRun is a run as its minion has told.
type minionRun struct {
	minion  string
	attempt int
	start   int64 // Unix ns
	end     int64 // endless while it runs
	read    bool  // its end was done and is acknowledged
}

// endless is later than the end of any run.
const endless = math.MaxInt64

func newCollector() *collector {
	return &collector{runs: map[string][]*minionRun{}, crashes: map[string]int{}}
}

func (c *collector) add(id string, e standin.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := e.At.UnixNano()
	switch e.Kind {
	case standin.Violated:
		c.violated = append(c.violated, e.Text)
	case standin.Started:
		c.runs[e.Task] = append(c.runs[e.Task], &minionRun{minion: id, attempt: e.Attempt, start: at, end: endless})
	case standin.Ended, standin.Read:
		for _, r := range slices.Backward(c.runs[e.Task]) {
			if r.minion != id || r.attempt != e.Attempt {
				continue
			}
			if e.Kind == standin.Read {
				r.read = true
			} else {
				r.end = at
			}
			return
		}
	}
}

// crash ends the runs of a minion whose process has ended.
func (c *collector) crash(id string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for task, runs := range c.runs {
		for _, r := range runs {
			if r.minion == id && r.end == endless {
				r.end = at.UnixNano()
				c.crashes[task]++
			}
		}
	}
}

// Report returns the violations and the number of task starts per job.
func (c *collector) Report() (broken []string, started map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	broken, started = slices.Clone(c.violated), map[string]int{}
	for _, task := range slices.Sorted(maps.Keys(c.runs)) {
		runs := slices.SortedFunc(slices.Values(c.runs[task]), func(a, b *minionRun) int { return cmp.Compare(a.start, b.start) })
		started[jobOf(task)] += len(runs)
		for i, r := range runs {
			for _, next := range runs[i+1:] {
				switch {
				case next.start < r.end:
					broken = append(broken, fmt.Sprintf("%s runs on %s and starts on %s, %v before the end", task, r.minion, next.minion, time.Duration(r.end-next.start)))
				case r.read:
					broken = append(broken, fmt.Sprintf("%s starts on %s though it is done on %s", task, next.minion, r.minion))
				}
			}
		}
	}
	return broken, started
}

// Crashes returns for each job the most minions that crashed under one of its tasks.
func (c *collector) Crashes() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	most := map[string]int{}
	for task, n := range c.crashes {
		most[jobOf(task)] = max(most[jobOf(task)], n)
	}
	return most
}

// Running returns the number of running tasks per job.
func (c *collector) Running() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := map[string]int{}
	for task, runs := range c.runs {
		for _, r := range runs {
			if r.end == endless {
				n[jobOf(task)]++
			}
		}
	}
	return n
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
