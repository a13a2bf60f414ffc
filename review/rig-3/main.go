// Command rig-3 runs one scenario of the review: entries as separate processes,
// beside stand-ins of the platform's store, of minions and of clients.
//
// It exits with 1 if the rule of the scenario was broken, 0 if it held and 2 if
// the scenario could not be run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case. It returns what broke the rule, or an error if the case
// could not be run.
type scenario func(r *rig, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{}

// maxRun bounds a scenario.
const maxRun = 115 * time.Second

func main() {
	program := flag.String("program", "target/jasminestep", "the entry's program")
	record := flag.String("record", "record.txt", "file for what was sent, answered and run")
	flag.Parse()
	play, ok := scenarios[flag.Arg(0)]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", flag.Arg(0))
		os.Exit(exitNotRun)
	}
	os.Exit(run(play, *program, *record, os.Getenv("TROUBLE") != "0"))
}

func run(play scenario, program, record string, trouble bool) int {
	r, err := newRig(program, record)
	if err != nil {
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	defer r.close()
	r.say("trouble: %t", trouble)
	time.AfterFunc(maxRun, func() {
		r.say("NOT RUN: out of time")
		r.close()
		os.Exit(exitNotRun)
	})
	broken, err := play(r, trouble)
	if err != nil {
		r.say("NOT RUN: %v", err)
		return exitNotRun
	}
	for _, b := range broken {
		r.say("BROKEN: %s", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.say("HELD")
	return exitHeld
}
