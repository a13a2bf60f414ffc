package main

import (
	"fmt"
	"time"
)

// demand is what one task of a job takes of the service.
type demand struct{ cpu, mem int64 }

// starving watches for how long a job has nothing running although the turn of a task
// has come: the job has been accepted, some of its tasks have never been started, those
// that were started have ended, less than half of the service is in use, and there is
// room for the task twice over. No task of the job may fail.
type starving struct {
	id      string
	tasks   int       // of all its steps, which come one after the other
	from    time.Time // finish_s after the end of the traffic; nothing counts before
	room    demand    // of the service
	demands map[string]demand
	began   time.Time     // of the present span
	longest time.Duration // span
}

// starvedFor is how long a job may have nothing running.
const starvedFor = 3 * time.Second

// watchStarving looks at the minions until the returned function is called, which tells
// how the rule was broken, if it was.
func (r *rig) watchStarving(w starving) (end func() []string) {
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
			w.look(time.Now(), r)
		}
	}()
	return func() []string {
		close(stop)
		<-done
		r.say("job %s had nothing running for %v on end, from finish_s after the end of the traffic on, while there was room for it", w.id, w.longest.Round(100*time.Millisecond))
		if w.longest <= starvedFor {
			return nil
		}
		return []string{fmt.Sprintf("LOST: job %s was accepted and had nothing running for %v, with under half of the service in use", w.id, w.longest.Round(100*time.Millisecond))}
	}
}

func (w *starving) look(now time.Time, r *rig) {
	_, starts := r.ledger.Report()
	running := r.ledger.Running()
	var used demand
	for id, n := range running {
		used.cpu += int64(n) * w.demands[id].cpu
		used.mem += int64(n) * w.demands[id].mem
	}
	if now.Before(w.from) || starts[w.id] >= w.tasks || running[w.id] > 0 || 2*used.cpu > w.room.cpu || 2*used.mem > w.room.mem {
		w.began = time.Time{}
		return
	}
	if w.began.IsZero() {
		w.began = now
	}
	w.longest = max(w.longest, now.Sub(w.began))
}
