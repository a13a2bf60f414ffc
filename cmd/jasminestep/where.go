package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/server"
)

type whereCommand struct {
	At      string        `long:"at" env:"STEP_ADMIN" default:"127.0.0.1:7003" description:"admin address of any entry"`
	Limit   time.Duration `long:"limit" default:"5s" description:"how long to wait for a response"`
	Host    string        `long:"host" required:"true" description:"host that the client would name"`
	Path    string        `long:"path" required:"true" description:"path that the client would use, with or without the ID of the job"`
	Account string        `long:"account" description:"client account that would submit the job; none by default"`
	JSON    bool          `long:"json" description:"print JSON"`
	Args    fileArg       `positional-args:"true"`
}

// Execute asks an entry where a job would go and prints the answer.
func (c *whereCommand) Execute([]string) error {
	body, err := readInput(c.Args.File)
	if err != nil {
		return err
	}
	ask := url.Values{"host": {c.Host}, "path": {c.Path}}
	if c.Account != "" {
		ask.Set("account", c.Account)
	}
	entry := remote{c.At, c.Limit}
	var got server.WhereReply
	err = entry.call(http.MethodPost, server.WherePath+"?"+ask.Encode(), "", body, &got)
	switch {
	case errors.Is(err, errUnknownOutcome):
		return fmt.Errorf("where: no entry answers at %s, its admin address", c.At)
	case err != nil:
		return fmt.Errorf("where: %w", err)
	case c.JSON:
		return printJSON(got)
	}
	return printWhere(os.Stdout, &got)
}

// printWhere prints an answer for a reader.
func printWhere(w io.Writer, got *server.WhereReply) error {
	if _, err := fmt.Fprintf(w, "queue %s of service %s, owned by %s (term %d), configuration %d\n", got.Queue, got.Service, got.Owner, got.Term, got.Version); err != nil {
		return fmt.Errorf("print: %w", err)
	}
	for _, l := range got.Outlook.Text() {
		if _, err := fmt.Fprintln(w, l); err != nil {
			return fmt.Errorf("print: %w", err)
		}
	}
	return nil
}
