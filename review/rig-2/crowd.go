package main

import (
	_ "embed" // for the bodies of jobs
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jasminestep/platform/standin"
)

// Ordinary jobs before and after the crowd.
const (
	jobsBefore   = 10
	jobsAfter    = 20
	ordinaryGap  = 500 * time.Millisecond
	ordinaryWork = 300 // ms of a task
)

// The crowd: bodies of legal size, many at once, each in one piece. None of the tasks
// fits on a minion.
const (
	crowdJobs    = 2000
	crowdSenders = 16
	crowdSteps   = 64
	crowdLimit   = 25 * time.Second // for the crowd to send
)

// hopelessStep is a step of ten tasks that need twice the room of a minion.
//
//go:embed hopeless-step.json
var hopelessStep string

// crowd hands in many jobs that can never be done, and ordinary jobs before and after
// them.
func crowd(r *rig) (broken bool, why string, err error) {
	w := newWatch(r)
	ordinary := standin.Job{Steps: 1, Tasks: 2, Millis: ordinaryWork, CPU: 500}
	w.submitSpaced("ordinary", ordinary, jobsBefore)
	if r.trouble {
		r.sendCrowd()
	}
	w.submitSpaced("ordinary", ordinary, jobsAfter)
	return w.judge()
}

// sendCrowd sends the jobs of the crowd, each once.
func (r *rig) sendCrowd() {
	body := standin.JobOfParts(strings.TrimSpace(hopelessStep), crowdSteps)
	r.rec.printf("crowd of %d jobs, bodies of %d bytes", crowdJobs, len(body))
	var next, accepted atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(crowdLimit)
	for i := range crowdSenders {
		c := newClients(r.entries, r.rec)
		c.next.Store(int64(i))
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				n := next.Add(1)
				if n > crowdJobs {
					return
				}
				if code, _ := c.call(http.MethodPost, fmt.Sprintf("%016x", 0xc0000+n), body); code == http.StatusOK {
					accepted.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	r.rec.printf("%d jobs of the crowd were answered with 200", accepted.Load())
}
