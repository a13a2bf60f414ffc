package main

import (
	"fmt"
	"sync"
	"time"

	"jasminestep/platform/standin"
)

// Times of the rule LOST, and how long it is watched for.
const (
	finishTime  = 14 * time.Second // finish_s: after the end of the traffic jobs are asked for
	idleTime    = 3 * time.Second  // for which a job may have nothing running though there is room
	watchTime   = 15 * time.Second // after finish_s
	sampleEvery = 20 * time.Millisecond
)

// watch applies the rule LOST to the jobs that it hands in.
type watch struct {
	r *rig

	mu       sync.Mutex
	handedIn int
	accepted []*watchedJob
}

// watchedJob is an accepted job.
type watchedJob struct {
	id        string
	tasks     int
	completed bool
	idleSince time.Time     // since when it has had nothing running though there was room; zero if that isn't so
	longest   time.Duration // the longest such time that was seen
}

func newWatch(r *rig) *watch { return &watch{r: r} }

// submit hands a job in.
func (w *watch) submit(what string, j standin.Job) {
	w.mu.Lock()
	id := fmt.Sprintf("%016x", 0xa000+w.handedIn)
	w.handedIn++
	w.mu.Unlock()
	if !w.r.clients.submit(id, what, j.JSON()) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.accepted = append(w.accepted, &watchedJob{id: id, tasks: j.Steps * j.Tasks})
}

// submitSpaced hands in n jobs, ordinaryGap apart, and returns when all are answered
// or given up by their clients.
func (w *watch) submitSpaced(what string, j standin.Job, n int) {
	var wg sync.WaitGroup
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.submit(what, j)
		}()
		time.Sleep(ordinaryGap)
	}
	wg.Wait()
}

// judge waits for finish_s and applies the rule: for 3 s, an accepted job has nothing
// running while a task's turn has come, and under half of the capacity is in use. Only
// jobs count of which some task has never been listed as done. A job has to be open
// still at the end of the watch.
func (w *watch) judge() (broken bool, why string, err error) {
	if len(w.accepted) == 0 {
		return false, "", fmt.Errorf("no job was accepted")
	}
	time.Sleep(finishTime)
	w.ask()
	for end := time.Now().Add(watchTime); time.Now().Before(end); time.Sleep(sampleEvery) {
		w.sample(time.Now())
	}
	w.ask()
	lost, open := 0, 0
	for _, j := range w.accepted {
		if j.completed {
			continue
		}
		open++
		if j.longest >= idleTime {
			lost++
		}
		w.r.rec.printf("job %s is open: %d of %d tasks listed as done, at most %.1f s with nothing running while there was room", j.id, w.r.platform.endsOf(j.id), j.tasks, j.longest.Seconds())
	}
	why = fmt.Sprintf("%d jobs accepted, %d open %.0f s after the last one, %d of them with nothing running for over %.0f s", len(w.accepted), open, (finishTime + watchTime).Seconds(), lost, idleTime.Seconds())
	return lost > 0, why, nil
}

// ask asks for the states of all jobs, at once.
func (w *watch) ask() {
	var wg sync.WaitGroup
	for _, j := range w.accepted {
		wg.Add(1)
		go func() {
			defer wg.Done()
			code, state := w.r.clients.state(j.id)
			w.r.rec.printf("GET %s: %d %s", j.id, code, state)
			j.completed = j.completed || state == "completed"
		}()
	}
	wg.Wait()
}

// sample looks at what runs.
func (w *watch) sample(now time.Time) {
	running := w.r.platform.ledger.Running()
	tasks := 0
	for _, n := range running {
		tasks += n
	}
	roomy := tasks*largestCPU*2 < minionCount*minionCapacity
	for _, j := range w.accepted {
		if running[j.id] > 0 || !roomy || w.r.platform.endsOf(j.id) >= j.tasks {
			j.idleSince = time.Time{}
			continue
		}
		if j.idleSince.IsZero() {
			j.idleSince = now
		}
		j.longest = max(j.longest, now.Sub(j.idleSince))
	}
}

// largestCPU is more than any task of a case takes, in thousandths of a core, so
// that the capacity in use is never underestimated.
const largestCPU = 500
