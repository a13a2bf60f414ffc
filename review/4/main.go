// Command case4 submits, among others, a few jobs whose tasks always fail, while
// long tasks run on all minions.
package main

import (
	"errors"
	"time"

	"jasminestep/review/sim"
)

const (
	service    = "mill"
	prefix     = "/mill/"
	minions    = 8
	minionCPU  = 64000  // thousandths of a core
	minionMem  = 131072 // MB
	longMillis = 80_000 // of the long tasks, one on each minion
	perSecond  = 7      // jobs
	poisonFor  = 3      // seconds in which a job comes that can't be done
	poisonEach = 21     // one of so many jobs then
	quiet      = 3 * time.Second
	restFor    = 5 // further jobs, one a second
)

var (
	apart   = map[string]any{`maxPerServer`: 1}
	long    = sim.Step{Tasks: minions, CPU: 20000, Memory: 1024, Millis: longMillis, More: apart}
	healthy = sim.Step{Tasks: 3, CPU: 2000, Memory: 256, Millis: 400}
	poison  = sim.Step{Tasks: minions, CPU: 2000, Memory: 256, Millis: 400, Fails: true, More: apart}
)

func main() { sim.Main("review/4", run) }

func run(s *sim.Site) (int, error) {
	route := sim.Route{Name: "mill", Prefix: prefix, Service: service, Attempts: 3, Slack: 2, TargetMillis: 1000}
	if err := s.Begin(route, minions, sim.Kind{CPU: minionCPU, Memory: minionMem}); err != nil {
		return 0, err
	}
	c := &sim.Clients{Site: s, Prefix: prefix}
	c.Submit(1, long)
	if sim.Await(10*time.Second, func() bool { return len(s.Fleet.Running()) == minions }) != nil {
		return 0, errors.New("the long tasks have not begun")
	}
	tick := time.NewTicker(time.Second / perSecond)
	defer tick.Stop()
	for i := range poisonFor * perSecond {
		<-tick.C
		p := healthy
		if s.Trouble && i%poisonEach == poisonEach-1 {
			p = poison
		}
		go c.Submit(100+i, p)
	}
	time.Sleep(quiet)
	for i := range restFor {
		c.Submit(200+i, healthy)
		time.Sleep(time.Second)
	}
	c.EndTraffic()
	code := c.JudgeLost(minions*minionCPU, healthy.CPU)
	s.LogOf(`"minion paused"`)
	s.LogOf(`"step waits"`)
	return code, nil
}
