// Command jasminestep is the scheduler and its command line.
//
// `jasminestep serve` and `jasminestep entry` run one entry process. `explain`
// and `check` read local files; the other commands send operator requests to any
// entry. Exit codes: 0 success, 1 rejected or failed, 2 usage error.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// command describes one subcommand: its name, help texts and implementation.
type command struct {
	name  string
	short string
	long  string
	data  any
}

// commands returns all subcommands.
func commands() []command {
	return []command{
		{"serve", "run one entry process", "Runs one entry process until it is told to stop.\n\nExample: jasminestep serve --config entry.json", &serveCommand{}},
		{"entry", "run one entry process on the users' platform", "Runs one entry process that keeps its state in the platform's store, until it is told to stop.\n\nExample: jasminestep entry --config entry.json", &entryCommand{}},
		{"explain", "tell what became of a job on the users' platform", "Reads the logs of all entries, from files or standard input, and prints what they say of a job, in order, with what happened meanwhile to its owner and minions. Then it tells what each of these events means.\n\nExample: jasminestep explain 5c0e7a21d94b36f8 *.log", &explainCommand{}},
		{"where", "tell where a job would go now on the users' platform", "Asks a running entry where a job would go now and why: its queue, what the limit, rate and share of its account say, the minions that have room and why others get none, and when it would start. The job is read from a file or standard input as clients send it, and is not submitted.\n\nExample: jasminestep where --host shop.example --path /render/ job.json", &whereCommand{}},
		{"check", "check a settings file", "Checks a settings file without serving, or lists every setting, event, metric and policy.\n\nExample: jasminestep check entry.json", &checkCommand{}},
		{"apply", "put a configuration in force", "Submits a configuration of the cell, from a file or standard input. It is refused if it was made from another version than the one in force.\n\nExample: go run ./examples/oshana cell | jasminestep apply --at 10.0.0.1:7001", &applyCommand{}},
		{"get", "show the configuration in force", "Prints the configuration in force, ready to be edited and applied.\n\nExample: jasminestep get > cell.json", &getCommand{}},
		{"submit", "submit a job", "Submits a job, from a file or standard input. The same member and name are accepted once.\n\nExample: go run ./examples/oshana job | jasminestep submit", &submitCommand{}},
		{"status", "show a job", "Shows a job, why it waits, or how it ended.\n\nExample: jasminestep status oshana.etosha-oil.route-7 --member etosha-oil", &statusCommand{}},
		{"wait", "wait for a job's end", "Waits until a job has ended; exit code 0 if it is done, 1 otherwise.\n\nExample: jasminestep wait oshana.etosha-oil.route-7 --member etosha-oil", &waitCommand{}},
		{"cancel", "cancel a job", "Cancels a job of a member.\n\nExample: jasminestep cancel oshana.etosha-oil.route-7 --member etosha-oil", &cancelCommand{}},
		{"drain", "stop an entry as planned", "Has the entry at --at hand over what it holds, finish what is in progress and end.\n\nExample: jasminestep drain --at 10.0.0.2:7001", &drainCommand{}},
		{"events", "show the time line of all entries", "Shows what every entry did, merged into one order.\n\nExample: jasminestep events --about etosha-oil.route-7 --follow", &eventsCommand{}},
		{"top", "show the live state of all entries", "Shows queues, workers, upstreams and members, anew every second.\n\nExample: jasminestep top --once", &topCommand{}},
	}
}

func main() {
	p := flags.NewNamedParser("jasminestep", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := p.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			panic(err) // duplicate or malformed entry in the table above
		}
	}
	_, err := p.Parse()
	if err == nil {
		return
	}
	var fe *flags.Error
	if !errors.As(err, &fe) {
		fmt.Fprintln(os.Stderr, "jasminestep:", err)
		os.Exit(exitFailed)
	}
	if fe.Type == flags.ErrHelp {
		fmt.Println(fe)
		return
	}
	fmt.Fprintln(os.Stderr, "jasminestep:", fe)
	os.Exit(exitUsage)
}
