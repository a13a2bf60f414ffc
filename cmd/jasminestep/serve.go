package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeromicro/go-zero/core/proc"

	"jasminestep/internal/admin"
	"jasminestep/internal/entry"
	"jasminestep/internal/metric"
	"jasminestep/internal/place"
	"jasminestep/internal/server"
	"jasminestep/internal/settings"
	"jasminestep/internal/timeline"
	"jasminestep/internal/web"
)

type serveCommand struct {
	Config string `long:"config" required:"true" description:"settings file, JSON with comments"`
}

// forceQuitTimeout is how long the HTTP library, which handles SIGTERM itself,
// waits before it ends the process. A graceful shutdown finishes well before.
const forceQuitTimeout = 10 * time.Minute

// Execute serves until SIGTERM, SIGINT or a drain request, then shuts down
// gracefully. A second signal ends the process at once.
func (c *serveCommand) Execute([]string) error {
	set, err := settings.Load(c.Config)
	if err != nil {
		return err
	}
	proc.SetTimeToForceQuit(forceQuitTimeout)
	log := hclog.New(&hclog.LoggerOptions{Name: "jasminestep", Level: hclog.LevelFromString(set.Level), JSONFormat: true})
	web.UseLog(log)
	web.LimitMemory(set.Memory)
	e, err := entry.New(*set, entry.Options{Log: log})
	if err != nil {
		return err
	}
	sigs := make(chan os.Signal, 2)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT)
	p, err := admin.Start(e)
	if err != nil {
		return err
	}
	select {
	case <-p.Stopped: // drained by an operator
		return nil
	case <-sigs:
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-sigs
		cancel()
	}()
	return p.Stop(ctx)
}

type checkCommand struct {
	List string `long:"list" choice:"settings" choice:"events" choice:"metrics" choice:"policies" choice:"entry" choice:"logs" description:"print a reference table instead of checking a file"`
	Args struct {
		File string `positional-arg-name:"FILE"`
	} `positional-args:"true"`
}

// Execute validates a settings file or prints one of the reference tables.
func (c *checkCommand) Execute([]string) error {
	if c.List != "" {
		return printTable(c.List)
	}
	if c.Args.File == "" {
		return fmt.Errorf("check: a settings file or --list is required")
	}
	set, err := settings.Load(c.Args.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %s in zone %s: good\n", c.Args.File, set.ID, set.Zone)
	return nil
}

func printTable(what string) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	switch what {
	case "settings":
		for _, s := range settings.Table {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.Name, s.Unit, s.Default, s.Bounds, s.Doc)
		}
	case "events":
		for _, k := range timeline.Kinds {
			fmt.Fprintf(w, "%s\t%s\n", k.Name, k.Doc)
		}
	case "metrics":
		for _, m := range metric.Table {
			fmt.Fprintf(w, "%s\t%s\t%s\n", m.Name, m.Unit, m.Doc)
		}
	case "entry":
		for _, s := range server.SettingsTable {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", s.Name, s.Unit, s.Default, s.Bounds, s.Doc)
		}
	case "logs":
		for _, e := range server.LogEvents {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Name, e.Fields, e.Doc, e.Look)
		}
	case "policies":
		for _, p := range place.Policies {
			fmt.Fprintf(w, "%s\t%s\n", p.Name, p.Doc)
		}
	}
	return w.Flush()
}
