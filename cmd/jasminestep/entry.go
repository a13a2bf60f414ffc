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

// Maximum connections to each peer.
const (
	maxStoreConns   = 48
	maxMinionConns  = 4
	maxAdviserConns = 2
)

// logFlushTimeout bounds how long the process waits at exit for its remaining
// log output to be read.
const logFlushTimeout = 200 * time.Millisecond

// Execute serves until SIGTERM or SIGINT, then shuts down gracefully. SIGHUP
// reloads the settings file.
func (c *entryCommand) Execute([]string) error {
	set, err := server.Load(c.Config)
	if err != nil {
		return err
	}
	proc.SetTimeToForceQuit(forceQuitTimeout)
	out := logline.New(os.Stdout, server.IsRare)
	defer out.Close(logFlushTimeout)
	log := hclog.New(&hclog.LoggerOptions{Name: "jasminestep", Level: hclog.LevelFromString(set.Level), JSONFormat: true, Output: out})
	web.UseLog(log)
	dial := transport.DialFrom("")
	s, err := server.New(*set, server.Dependencies{
		Log:       log,
		Store:     platform.NewStore(set.Store, transport.Client(dial, maxStoreConns)),
		Minions:   platform.MinionClient{HTTP: transport.Client(dial, maxMinionConns)},
		Placement: platform.NewAdviser(set.Advice, transport.Client(dial, maxAdviserConns)),
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

// reload reads the settings file again. Only the log level takes effect in a
// running entry; changed addresses take effect at the next start.
func (c *entryCommand) reload(s *server.Server, log hclog.Logger) {
	set, err := server.Load(c.Config)
	if err != nil {
		log.Error("settings not reloaded", "why", err.Error())
		return
	}
	log.SetLevel(hclog.LevelFromString(set.Level))
	log.Info("settings reloaded", "level", set.Level, "addresses", s.Settings.SameAddresses(set))
}
