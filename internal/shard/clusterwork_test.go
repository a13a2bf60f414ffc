package shard

import (
	"time"

	"jasminestep/internal/work"
)

// pass advances the time and lets leases expire. Owners do nothing meanwhile.
func (w *simCluster) pass(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(50 * time.Millisecond)
		for _, b := range w.minions {
			b.tick()
		}
		w.writeRows()
	}
}

// cycle lets the newest owner do everything it can: reports, decisions, commits
// and deliveries.
func (w *simCluster) cycle() {
	o := w.owners[len(w.owners)-1]
	for range 3 {
		for _, b := range w.minions {
			o.renew(b)
		}
		o.step()
		o.commit(!w.storeDown)
		w.deliver(len(w.inFlight))
	}
}

func (w *simCluster) deliver(n int) {
	for range n {
		f := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		f.deliver()
	}
}

func newJob(id string, steps ...work.Step) *work.Job {
	return &work.Job{ID: id, Queue: "q", Service: "s", Steps: steps, Attempts: 3, Slack: 2, Target: time.Second}
}

func tasks(n int, cpu int64) work.Step {
	return work.Step{Tasks: n, Size: work.Size{CPU: cpu, Mem: 100}, Estimate: time.Second}
}

func (w *simCluster) submit(js ...*work.Job) {
	for _, j := range js {
		w.jobs = append(w.jobs, j)
		w.owners[len(w.owners)-1].st.Submit(w.now, j)
	}
}

// finishAll ends all runs as succeeded.
func (w *simCluster) finishAll() {
	for _, b := range w.minions {
		for k := range b.runs {
			b.end(k, work.Done)
		}
	}
}

func (w *simCluster) state(id string) JobState { return w.owners[len(w.owners)-1].st.jobs[id].state }
