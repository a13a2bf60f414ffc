// Command case3 crashes the minion of a serving job for good while fill tasks run
// on the others.
package main

import (
	"errors"
	"slices"
	"strings"
	"time"

	"jasminestep/review/sim"
)

const (
	service   = "serving"
	prefix    = "/serving/"
	minions   = 8
	minionCPU = 64000  // thousandths of a core
	minionMem = 131072 // MB
	lasts     = 3_600_000
	fillJobs  = 2
	serving   = "0000000000000001" // the serving job
	settled   = 10 * time.Second   // holdMaxMs: until then a lease of the lost minion may run on
	sinceLast = 6 * time.Second    // from the last run of a task that lasts
	idle      = 3 * time.Second    // for which it may not run then
	calm      = 4 * time.Second    // before that
	watch     = 20 * time.Second   // how long the judge looks
)

var (
	serve = sim.Step{Tasks: 4, CPU: 4000, Memory: 1024, Millis: lasts, Estimate: 1000, More: map[string]any{"longRunning": true, "targetMs": 50, "image": "front"}}
	fill  = sim.Step{Tasks: minions - 1, CPU: 8000, Memory: 1024, Millis: 100_000, More: map[string]any{"utilization": true, "image": "crunch", `maxPerServer`: 1}}
)

func main() { sim.Main("review/3", run) }

func run(s *sim.Site) (int, error) {
	route := sim.Route{Name: "serving", Prefix: prefix, Service: service, Attempts: 3, Slack: 2, TargetMillis: 1000}
	if err := s.Begin(route, minions, sim.Kind{CPU: minionCPU, Memory: minionMem}); err != nil {
		return 0, err
	}
	c := &sim.Clients{Site: s, Prefix: prefix}
	c.Submit(1, serve)
	if sim.Await(10*time.Second, func() bool { return len(s.Fleet.Running()) == serve.Tasks }) != nil {
		return 0, errors.New("the serving tasks have not begun")
	}
	for i := range fillJobs {
		c.Submit(2+i, fill)
		time.Sleep(200 * time.Millisecond)
	}
	if sim.Await(10*time.Second, func() bool { return len(s.Fleet.Running()) == serve.Tasks+fillJobs*fill.Tasks }) != nil {
		return 0, errors.New("the fill tasks have not begun")
	}
	for _, m := range s.Fleet.Minions() {
		on := m.Running()
		s.Record.Log("minion %s runs %v", m.ID, on)
		if s.Trouble && slices.ContainsFunc(on, func(task string) bool { return strings.HasPrefix(task, serving) }) {
			m.Crash()
		}
	}
	time.Sleep(settled + sinceLast + calm)
	return judge(s), nil
}

// judge checks the rule LOST for tasks that last: from 6 s after its last run, a
// task does not run for 3 s although there is capacity for it twice over, and
// those and the 4 s before are calm.
func judge(s *sim.Site) int {
	var away time.Time // since when a serving task has not run
	var longest time.Duration
	runs := 0
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		busy, _ := s.Fleet.ByJob()
		runs = busy[serving]
		switch {
		case runs == serve.Tasks || !s.Fleet.Fits(2*serve.CPU):
			away = time.Time{}
		case away.IsZero():
			away = time.Now()
		default:
			longest = max(longest, time.Since(away))
		}
	}
	for _, m := range s.Fleet.Minions() {
		s.Record.Log("minion %s runs %v, %d thousandths of a core are free", m.ID, m.Running(), m.Free())
	}
	s.LogOf(`"step waits"`)
	s.LogOf(`"run lost"`)
	if longest <= idle {
		s.Verdict("LOST held: %d of %d serving tasks run", runs, serve.Tasks)
		return sim.ExitHeld
	}
	s.Verdict("LOST broken: %d of %d serving tasks run, for %v and more after all leases had ended, with %d of %d thousandths of a core in use", runs, serve.Tasks, longest.Round(time.Second), s.Fleet.Used(), minions*minionCPU)
	return sim.ExitBroken
}
