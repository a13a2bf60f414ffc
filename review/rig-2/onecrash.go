package main

import (
	_ "embed" // for the bodies of jobs
	"fmt"
	"time"
)

// Times of the case.
const (
	beforeCut   = 2 * time.Second // that a run has lasted when its minion is cut off
	cutTime     = 4 * time.Second
	cuts        = 3
	placeLimit  = 10 * time.Second // for the task to be started
	stopLimit   = 8 * time.Second  // for an entry to end after SIGTERM, by graceS
	afterStops  = 3 * time.Second
	failLimit   = 10 * time.Second // for the state to show after the crash
	speculative = "00000000000000e0"
)

// longJob is a job of one speculative task of 90 s.
//
//go:embed long-job.json
var longJob string

// oneCrash runs one long task of a speculative step. Its minion is cut off for some
// seconds three times, the entries are stopped and started in turn, and one minion
// crashes under it. LOST is broken if its job is shown as failed: no run of it has
// failed, and one minion has crashed under it, not two.
func oneCrash(r *rig) (broken bool, why string, err error) {
	if !r.clients.submit(speculative, "one long task", longJob) {
		return false, "", fmt.Errorf("the job was not accepted")
	}
	task := speculative + ".0.0.0"
	at, err := r.awaitStart(task, 0)
	if err != nil {
		return false, "", err
	}
	if r.trouble {
		for range cuts {
			time.Sleep(beforeCut)
			r.rec.printf("%s is cut off for %v", at.worker.id, cutTime)
			at.worker.cut()
			time.Sleep(cutTime)
			at.worker.heal()
			r.rec.printf("%s is back", at.worker.id)
			if at, err = r.awaitStart(task, at.attempt); err != nil {
				return false, "", err
			}
		}
		if err = r.rollEntries(); err != nil {
			return false, "", err
		}
		time.Sleep(afterStops)
		at = r.platform.placementOf(task)
		r.rec.printf("%s crashes and is back at once", at.worker.id)
		at.worker.minion.Crash()
	}
	return r.judgeFailed(speculative, task)
}

// awaitStart waits until a task has been started with a later attempt.
func (r *rig) awaitStart(task string, attempt int) (placement, error) {
	for end := time.Now().Add(placeLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p := r.platform.placementOf(task); p.attempt > attempt {
			return p, nil
		}
	}
	return placement{}, fmt.Errorf("task %s has not started again after attempt %d", task, attempt)
}

// What is cause enough to show a job as failed.
const (
	maxAttempts    = 3 // of the queue, see standin.Config: so many runs of a task that have failed
	crashesAllowed = 2 // minions that have crashed under one task
)

// judgeFailed watches the state of a job that nobody has cancelled, whose only task is
// given. Its state failed has a cause if enough runs have ended so, or enough minions
// have crashed; the state canceled has none.
func (r *rig) judgeFailed(id, task string) (broken bool, why string, err error) {
	last := ""
	for end := time.Now().Add(failLimit); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		code, state := r.clients.state(id)
		if now := fmt.Sprintf("%d %s", code, state); now != last {
			r.rec.printf("GET %s: %s", id, now)
			last = now
		}
		failures, crashes := r.platform.failuresOf(task), r.platform.ledger.Crashes()[id]
		caused := state == "failed" && (failures >= maxAttempts || crashes >= crashesAllowed)
		if state == "canceled" || state == "failed" && !caused {
			return true, fmt.Sprintf("job %s is shown as %s; %d of its runs have ended failed, of %d allowed, and %d minions have crashed under it", id, state, failures, maxAttempts, crashes), nil
		}
	}
	return false, "the job is shown as " + last, nil
}
