// Command case5 submits a wide gang while one long task keeps one minion busy.
package main

import (
	"errors"
	"time"

	"jasminestep/review/sim"
)

const (
	service    = "gangs"
	prefix     = "/gangs/"
	minions    = 8
	minionCPU  = 64000  // thousandths of a core
	minionMem  = 131072 // MB
	longMillis = 90_000
	gangJob    = 2 // number of the gang's job
	smallJobs  = 10
)

var (
	long   = sim.Step{Tasks: 1, CPU: 40000, Memory: 1024, Millis: longMillis}
	gang   = sim.Step{Tasks: minions, CPU: minionCPU, Memory: 1024, Millis: 5000, More: map[string]any{"gang": true}}
	first  = sim.Step{Tasks: 1, CPU: 1000, Memory: 256, Millis: 4000, Estimate: 400} // takes longer than the client says
	second = sim.Step{Tasks: 1, CPU: 1000, Memory: 256, Millis: 400}
)

func main() { sim.Main("review/5", run) }

func run(s *sim.Site) (int, error) {
	route := sim.Route{Name: "gangs", Prefix: prefix, Service: service, Attempts: 3, Slack: 2, TargetMillis: 1000}
	if err := s.Begin(route, minions, sim.Kind{CPU: minionCPU, Memory: minionMem}); err != nil {
		return 0, err
	}
	c := &sim.Clients{Site: s, Prefix: prefix}
	c.Submit(1, long)
	if sim.Await(10*time.Second, func() bool { return len(s.Fleet.Running()) == 1 }) != nil {
		return 0, errors.New("the long task has not begun")
	}
	if s.Trouble {
		c.Submit(gangJob, gang)
	}
	for i := range smallJobs {
		c.Submit(100+i, first, second)
		time.Sleep(500 * time.Millisecond)
	}
	c.EndTraffic()
	code := c.JudgeLost(minions*minionCPU, second.CPU, gangJob)
	s.LogOf(`"step waits"`)
	return code, nil
}
