// Package admin runs an entry with its HTTP servers: for clients, for operators,
// and for metrics and health.
package admin

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"

	"jasminestep/internal/caller"
	"jasminestep/internal/entry"
	"jasminestep/internal/ops"
	"jasminestep/internal/web"
)

// Process is an entry and its HTTP servers.
type Process struct {
	Entry   *entry.Entry
	servers []*web.Server
	cancel  context.CancelFunc
	runErr  chan error
	once    sync.Once
	Stopped chan struct{} // closed when Stop or Kill has finished
}

// Start starts the HTTP servers of e and runs e.
func Start(e *entry.Entry) (*Process, error) {
	p := &Process{Entry: e, runErr: make(chan error, 1), Stopped: make(chan struct{})}
	if err := e.Metrics.RegisterGauges(e.Samples); err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	stop := func() { go func() { _ = p.Stop(context.Background()) }() }
	for _, s := range []struct {
		addr   string
		routes []rest.Route
		limits web.Limits
	}{
		{e.Settings.Caller, caller.Routes(e), web.LimitsFor(e.Settings.Memory, e.Settings.Files)},
		{e.Settings.Operator, ops.Routes(e, stop), operatorLimits},
		{e.Settings.Admin, adminRoutes(e), web.SmallLimits},
	} {
		w, err := web.New(s.addr, s.routes, s.limits)
		if err != nil {
			p.Kill()
			return nil, fmt.Errorf("start: %w", err)
		}
		p.servers = append(p.servers, w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.runErr <- e.Run(ctx) }()
	for _, s := range p.servers {
		s.Start()
	}
	return p, nil
}

// operatorLimits leave room for several configurations of the greatest size.
var operatorLimits = web.Limits{Conns: 64, Bytes: 12 << 20, Request: 60 * time.Second}

// adminRoutes returns the routes of the admin port.
func adminRoutes(e *entry.Entry) []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: "/metrics", Handler: e.Metrics.Handler().ServeHTTP},
		{Method: http.MethodGet, Path: "/health", Handler: func(w http.ResponseWriter, _ *http.Request) {
			if !e.Ready() {
				web.Fail(w, http.StatusServiceUnavailable, "not ready, or stopping")
				return
			}
			web.Reply(w, http.StatusOK, struct{}{})
		}},
	}
}

// unhealthyDelay is how long the health check fails before connections are
// refused, so that the load balancer notices and sends no more requests.
const unhealthyDelay = 500 * time.Millisecond

// peerUpdateDelay is how long an entry that has handed everything over still
// answers other entries, until heartbeats have updated their view of it.
const peerUpdateDelay = time.Second

// drainTimeout limits the duration of a planned stop.
const drainTimeout = 40 * time.Second

// Stop performs the planned stop: the health check fails, the entry hands over
// what it holds, requests in progress are answered, then the entry ends.
func (p *Process) Stop(ctx context.Context) (err error) {
	p.once.Do(func() {
		ctx, cancel := context.WithTimeout(ctx, drainTimeout)
		defer cancel()
		err = p.Entry.Drain(ctx)
		if err == nil {
			time.Sleep(max(unhealthyDelay, peerUpdateDelay))
		}
		for _, s := range p.servers {
			err = errors.CombineErrors(err, s.Stop(ctx))
		}
		err = errors.CombineErrors(err, p.Entry.AwaitReplies(ctx))
		p.shutDown()
	})
	<-p.Stopped
	return err
}

// Kill ends the entry without a handover, as a crash would.
func (p *Process) Kill() {
	p.once.Do(p.shutDown)
	<-p.Stopped
}

func (p *Process) shutDown() {
	if p.cancel != nil {
		p.cancel()
		<-p.runErr
	}
	for _, s := range p.servers {
		s.Close()
	}
	close(p.Stopped)
}
