package main

import (
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/zeromicro/go-zero/core/proc"

	"jasminestep/internal/logline"
	"jasminestep/internal/server"
	"jasminestep/internal/transport"
	"jasminestep/internal/web"
	"jasminestep/platform"
)

type entryCommand struct {
	Config string `long:"config" env:"JASMINESTEP_CONFIG" required:"true" description:"settings file, JSON with comments"`
}

// Connections to each peer.
const (
	storeConns  = 48
	minionConns = 4
	adviceConns = 2
)

// logFlush is how long the end of a process waits for the reader of its log.
const logFlush = 200 * time.Millisecond

// Execute serves until SIGTERM or SIGINT, then stops as planned.
func (c *entryCommand) Execute([]string) error {
	set, err := server.Load(c.Config)
	if err != nil {
		return err
	}
	proc.SetTimeToForceQuit(libraryExit)
	out := logline.New(os.Stdout)
	defer out.Close(logFlush)
	log := hclog.New(&hclog.LoggerOptions{Name: "jasminestep", Level: hclog.LevelFromString(set.Level), JSONFormat: true, Output: out})
	web.UseLog(log)
	dial := transport.DialFrom("")
	s, err := server.New(*set, server.Dependencies{
		Log:       log,
		Store:     platform.NewStore(set.Store, transport.Client(dial, storeConns)),
		Minions:   platform.MinionClient{HTTP: transport.Client(dial, minionConns)},
		Placement: platform.NewAdviser(set.Advice, transport.Client(dial, adviceConns)),
		Codec:     platform.Wire(),
	})
	if err != nil {
		return err
	}
	sigs := make(chan os.Signal, 2)
	signal.Notify(sigs, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	s.Start()
	for sig := range sigs {
		if sig != syscall.SIGHUP {
			break
		}
		c.reload(s, log)
	}
	s.Stop()
	return nil
}

// reload takes in a changed settings file. Of a running entry only the level of
// its log changes; addresses change with the next start.
func (c *entryCommand) reload(s *server.Server, log hclog.Logger) {
	set, err := server.Load(c.Config)
	if err != nil {
		log.Error("reload", "why", err.Error())
		return
	}
	log.SetLevel(hclog.LevelFromString(set.Level))
	log.Info("reload", "level", set.Level, "addresses", s.Settings.SameAddresses(set))
}
