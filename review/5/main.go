// Command case5 has the store down just after a minion's room has shrunk, while
// tasks wait.
package main

import (
	"errors"
	"net/http"
	"time"

	"jasminestep/review/sim"
)

const (
	prefix    = "/batch/"
	minions   = 6
	minionCPU = 16000 // thousandths of a core
	minionMem = 65536 // MB
	shrunkCPU = 4000
	jobs      = 20
	outage    = 4200 * time.Millisecond
	watch     = 10 * time.Second
)

var step = sim.Step{Tasks: 30, CPU: 1000, Memory: 256, Millis: 1500}

func main() { sim.Main("review/5", run) }

func run(s *sim.Site) (int, error) {
	route := sim.Route{Name: "batch", Prefix: prefix, Service: "batch", Attempts: 3, Slack: 2, TargetMillis: 1000}
	if err := s.Begin(route, minions, sim.Kind{CPU: minionCPU, Memory: minionMem}); err != nil {
		return 0, err
	}
	c := &sim.Clients{Site: s, Prefix: prefix}
	for i := range jobs {
		if !c.Submit(1+i, step) {
			return 0, errors.New("a job is not accepted")
		}
	}
	m := s.Fleet.Minions()[0]
	m.AwaitBeat()
	time.Sleep(50 * time.Millisecond)
	m.Shrink(shrunkCPU)
	time.Sleep(500 * time.Millisecond)
	if s.Trouble {
		s.Store.SetDown(true)
	}
	time.Sleep(outage)
	if s.Trouble {
		s.Store.SetDown(false)
	}
	time.Sleep(watch)
	s.Entries[0].Call(http.MethodGet, prefix, "")
	return judge(s), nil
}

// judge checks the rule LIMIT.
func judge(s *sim.Site) int {
	over := s.Fleet.Over()
	for _, text := range over {
		s.Record.Log("LIMIT: %s", text)
	}
	if len(over) == 0 {
		s.Verdict("LIMIT held: %d starts", len(s.Fleet.Starts()))
		return sim.ExitHeld
	}
	s.Verdict("LIMIT broken: %d of %d starts brought a minion over its room; the first: %s", len(over), len(s.Fleet.Starts()), over[0])
	return sim.ExitBroken
}
