// Command case5 crashes minions that come back under their id as another kind,
// while tasks that require the former kind run on them or wait.
package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"jasminestep/review/sim"
)

const (
	service   = "tagged"
	prefix    = "/tagged/"
	entries   = 3
	tagged    = 4 // minions of kind a, each of which crashes once
	plain     = 8 // minions of kind b
	minionCPU = 16000
	minionMem = 65536
	down      = 4 * time.Second // srv_crash: for_s is 4.5 on the site
	between   = 9 * time.Second // from one crash to the next
)

func main() { sim.Main("review/5", run) }

func run(s *sim.Site) (int, error) {
	minions, err := setUp(s)
	if err != nil {
		return 0, err
	}
	for i := range tagged { // long tasks, one for each minion of kind a
		p := sim.Step{Tasks: 1, CPU: 12000, Memory: 1024, Millis: 60_000, More: map[string]any{"requirements": "a"}}
		code, _ := s.Entries[i%entries].Call(http.MethodPost, fmt.Sprintf("%s%016x", prefix, i+1), sim.Job(p))
		if code != http.StatusOK {
			return 0, errors.New("a job is not accepted")
		}
	}
	if sim.Await(10*time.Second, func() bool { return len(s.Fleet.Running()) == tagged }) != nil {
		return 0, errors.New("the tasks have not begun")
	}
	for _, m := range minions {
		kind := sim.Kind{CPU: minionCPU, Memory: minionMem, Labels: []string{"b", "r1"}}
		if s.Trouble {
			m.Crash()
		}
		time.Sleep(down)
		if s.Trouble {
			if err = m.Begin(kind); err != nil {
				return 0, err
			}
		}
		time.Sleep(between - down)
	}
	return judge(s), nil
}

func setUp(s *sim.Site) (as []*sim.Minion, err error) {
	route := sim.Route{Name: "tagged", Prefix: prefix, Service: service, Attempts: 3, Slack: 2, TargetMillis: 1000}
	if err = s.Store.Configure(3, route); err != nil {
		return nil, err
	}
	for i := range tagged + plain {
		kind := sim.Kind{CPU: minionCPU, Memory: minionMem, Labels: []string{"b", "r2"}}
		if i < tagged {
			kind.Labels = []string{"a", "r1"}
		}
		m, err := s.Fleet.Add(fmt.Sprintf("i-%08x", i+1), service, fmt.Sprintf("z%d", i%3+1), kind)
		if err != nil {
			return nil, err
		}
		if i < tagged {
			as = append(as, m)
		}
	}
	return as, s.StartEntries(entries, service)
}

// judge checks the rule ROUTE: a start on a minion without the label in
// requirements.
func judge(s *sim.Site) int {
	n := 0
	starts := s.Fleet.Starts()
	for _, st := range starts {
		if slices.Contains(st.Kind.Labels, "a") {
			continue
		}
		n++
		s.Record.Log("ROUTE: %s attempt %d, which requires the label a, was started on %s with the labels %v", st.Task, st.Attempt, st.Minion, st.Kind.Labels)
	}
	if n > 0 {
		s.Verdict("ROUTE broken: %d of %d starts on a minion without the label that the step requires", n, len(starts))
		return sim.ExitBroken
	}
	s.Verdict("ROUTE held: %d starts", len(starts))
	return sim.ExitHeld
}
