package main

import (
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/book"
	"jasminestep/internal/entry"
	"jasminestep/internal/ops"
	"jasminestep/pkg/operator"
)

type fileArg struct {
	File string `positional-arg-name:"FILE" description:"standard input if absent"`
}

type applyCommand struct {
	remote
	Args fileArg `positional-args:"true"`
}

// Execute submits a new configuration of the cell.
func (c *applyCommand) Execute([]string) error {
	var cell operator.Cell
	b, err := readDocument(c.Args.File, &cell)
	if err != nil {
		return err
	}
	var got ops.Applied
	if err = c.call(http.MethodPost, "/cell", "", b, &got); err != nil {
		return err
	}
	fmt.Printf("version %d is accepted\n", got.Version)
	return nil
}

type getCommand struct{ remote }

// Execute prints the configuration in force.
func (c *getCommand) Execute([]string) error {
	var cell operator.Cell
	if err := c.call(http.MethodGet, "/cell", "", nil, &cell); err != nil {
		return err
	}
	return printJSON(cell)
}

type submitCommand struct {
	remote
	Args fileArg `positional-args:"true"`
}

// Execute submits a job.
func (c *submitCommand) Execute([]string) error {
	var j operator.Job
	b, err := readDocument(c.Args.File, &j)
	if err != nil {
		return err
	}
	var got ops.Accepted
	if err = c.call(http.MethodPost, "/jobs", j.Member, b, &got); err != nil {
		return err
	}
	fmt.Printf("%s is accepted, token %s:%d\n", got.ID, got.Token.Zone, got.Token.Seq)
	return nil
}

// jobTarget holds the arguments that identify one job of a member.
type jobTarget struct {
	remote
	Member string `long:"member" required:"true" description:"member that owns the job"`
	Args   struct {
		ID string `positional-arg-name:"JOB" required:"true"`
	} `positional-args:"true" required:"true"`
}

func (c *jobTarget) path() string { return "/jobs/" + url.PathEscape(c.Args.ID) }

type statusCommand struct {
	jobTarget
	Seq  int64 `long:"seq" description:"minimum row of the zone's journal that the response must reflect (the number in a token)"`
	JSON bool  `long:"json" description:"as JSON"`
}

// Execute prints the state of a job and of its tasks.
func (c *statusCommand) Execute([]string) error {
	var s entry.Status
	if err := c.call(http.MethodGet, fmt.Sprintf("%s?seq=%d", c.path(), c.Seq), c.Member, nil, &s); err != nil {
		return err
	}
	if c.JSON {
		return printJSON(s)
	}
	return printStatus(&s)
}

func printStatus(s *entry.Status) error {
	at := func(ms int64) string { return time.UnixMilli(ms).Format("15:04:05.000") }
	fmt.Printf("%s: %s %s, accepted %s\n", s.ID, s.State, s.Cause, at(s.Accepted))
	if x := s.Waits; x != nil {
		w := x.Workers
		fmt.Printf("waits: %d workers have room, %d are busy, %d too small, %d out of use, %d kept for a gang, %d in other racks; %d before it; its member holds %.1f %% of the zone by weight\n",
			w.Fit, w.Busy, w.Small, w.Held, w.Reserved, w.Rack, x.Before, 100*x.Share)
		if x.Reserved > 0 {
			fmt.Printf("waits: %d workers are kept for it, expected to be free at %s\n", x.Reserved, at(x.Start))
		}
		if x.After > 0 {
			fmt.Printf("waits: next attempt not before %s\n", at(x.After))
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	for _, t := range s.Tasks {
		fmt.Fprintf(w, "%s\t%s\t%s\tattempt %d\t%s\tsince %s\t%s\n", t.ID, t.State, t.Cause, t.Attempt, t.Worker, at(t.Since), t.Why)
	}
	return w.Flush()
}

type waitCommand struct {
	jobTarget
	For time.Duration `long:"for" default:"1h" description:"how long to wait for the job to end"`
}

// Execute waits until a job has ended and fails unless it has completed.
func (c *waitCommand) Execute([]string) error {
	end := time.Now().Add(c.For)
	for {
		var s entry.Status
		if err := c.call(http.MethodGet, c.path()+"?wait=1", c.Member, nil, &s); err != nil {
			return err
		}
		switch {
		case s.Ended != 0 && s.Cause == book.Done:
			return printStatus(&s)
		case s.Ended != 0:
			_ = printStatus(&s) // the error returned below matters more
			return fmt.Errorf("%s ended: %s", s.ID, s.Cause)
		case time.Now().After(end):
			return errors.Newf("%s did not end within %v", s.ID, c.For)
		}
	}
}

type cancelCommand struct{ jobTarget }

// Execute cancels a job.
func (c *cancelCommand) Execute([]string) error {
	var got ops.Accepted
	if err := c.call(http.MethodDelete, c.path(), c.Member, nil, &got); err != nil {
		return err
	}
	fmt.Printf("%s is cancelled, token %s:%d\n", got.ID, got.Token.Zone, got.Token.Seq)
	return nil
}

type drainCommand struct{ remote }

// Execute starts a planned shutdown of the entry that it addresses.
func (c *drainCommand) Execute([]string) error {
	if err := c.call(http.MethodPost, "/drain", "", nil, nil); err != nil {
		return err
	}
	fmt.Printf("%s hands over and ends\n", c.At)
	return nil
}
