// Command standin runs stand-ins for what jasminestep works with, and
// demonstrations of jasminestep against them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/jessevdk/go-flags"
	"github.com/zeromicro/go-zero/core/logx"

	"jasminestep/internal/standin"
	"jasminestep/internal/web"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

type demoCommand struct {
	Site   string        `long:"site" default:"oshana" choice:"oshana" choice:"compas" description:"whose sizes"`
	For    time.Duration `long:"for" default:"30s" description:"how long the load lasts"`
	Faults string        `long:"faults" default:"none" choice:"none" choice:"all" description:"which faults are brought about"`
	Seed   uint64        `long:"seed" default:"1" description:"of all random choices"`
	Jobs   float64       `long:"jobs" default:"15" description:"jobs a second"`
	Calls  float64       `long:"calls" default:"300" description:"requests a second"`
	Level  string        `long:"level" default:"off" description:"least severe log lines on standard error"`
}

// Execute runs the demonstration.
func (c *demoCommand) Execute([]string) error {
	site, err := standin.FindSite(c.Site)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{Name: "demo", Level: hclog.LevelFromString(c.Level), Output: os.Stderr, JSONFormat: true})
	web.UseLog(log)
	d := &standin.Demo{Site: site, Duration: c.For, Faults: c.Faults == "all", Seed: c.Seed, Out: os.Stdout, Log: log, JobRate: c.Jobs, RequestRate: c.Calls}
	s, err := d.Run(context.Background())
	if err != nil {
		return err
	}
	return finish(s)
}

type runCommand struct {
	Site  string        `long:"site" default:"oshana" choice:"oshana" choice:"compas" description:"whose sizes"`
	Dir   string        `long:"dir" required:"true" description:"where a settings file for every entry is written"`
	For   time.Duration `long:"for" default:"10m" description:"after which it ends by itself; with a load, how long the load lasts"`
	Jobs  float64       `long:"jobs" description:"jobs a second"`
	Calls float64       `long:"calls" description:"requests a second"`
	Seed  uint64        `long:"seed" default:"1" description:"of all random choices"`
}

// Execute runs the stand-ins on their own, and loads and judges the entries
// that others start, if a load is named.
func (c *runCommand) Execute([]string) error {
	site, err := standin.FindSite(c.Site)
	if err != nil {
		return err
	}
	if err = standin.WriteSettings(site, c.Dir); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Jobs == 0 && c.Calls == 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.For)
		defer cancel()
	}
	logx.Disable()
	fmt.Printf("platform %s, faults and ledger %s, settings in %s\n", site.PlatformAddr(), site.ControlAddr(), c.Dir)
	d := &standin.Demo{Site: site, Duration: c.For, Seed: c.Seed, Out: os.Stdout, JobRate: c.Jobs, RequestRate: c.Calls}
	s, err := d.RunExternal(ctx)
	if err != nil || s == nil {
		return err
	}
	return finish(s)
}

// finish prints the summary as the last line and ends the process with 1 if a
// promise was broken.
func finish(s *standin.Summary) error {
	b, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("summary: %w", err)
	}
	fmt.Println(string(b))
	if s.Violations() > 0 {
		os.Exit(exitFailed)
	}
	return nil
}

func main() {
	p := flags.NewNamedParser("standin", flags.HelpFlag|flags.PassDoubleDash)
	add := func(name, short, long string, c any) {
		if _, err := p.AddCommand(name, short, long, c); err != nil {
			panic(err) // a fixed table
		}
	}
	add("demo", "run a site under load", "Runs a site with all its entries in one process, loads it, brings about faults, and judges by the stand-ins' own ledgers. The last line is one JSON object; the exit code is 1 if a promise was broken.", &demoCommand{})
	add("run", "run the stand-ins on their own", "Runs the platform, the workers and the minions of a site for entries in processes of their own, and writes those entries' settings.", &runCommand{})
	if _, err := p.Parse(); err != nil {
		code := exitFailed
		if fe, ok := err.(*flags.Error); ok {
			code = exitUsage
			if fe.Type == flags.ErrHelp {
				fmt.Println(err)
				os.Exit(0)
			}
		}
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(code)
	}
}
