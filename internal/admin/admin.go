// Package admin joins an entry to its ports: callers, operators, metrics and
// health.
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

// Process is an entry with its ports open.
type Process struct {
	Entry   *entry.Entry
	servers []*web.Server
	cancel  context.CancelFunc
	done    chan error
	once    sync.Once
	Stopped chan struct{} // closed once a stop, of either kind, is over
}

// Start opens the ports of e and runs it.
func Start(e *entry.Entry) (*Process, error) {
	p := &Process{Entry: e, done: make(chan error, 1), Stopped: make(chan struct{})}
	if err := e.Metrics.RegisterGauges(e.Samples); err != nil {
		return nil, fmt.Errorf("start: %w", err)
	}
	stop := func() { go func() { _ = p.Stop(context.Background()) }() }
	for _, s := range []struct {
		addr   string
		routes []rest.Route
	}{
		{e.Settings.Caller, caller.Routes(e)},
		{e.Settings.Operator, ops.Routes(e, stop)},
		{e.Settings.Admin, routes(e)},
	} {
		w, err := web.New(s.addr, s.routes)
		if err != nil {
			p.Kill()
			return nil, fmt.Errorf("start: %w", err)
		}
		p.servers = append(p.servers, w)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.done <- e.Run(ctx) }()
	for _, s := range p.servers {
		s.Start()
	}
	return p, nil
}

// routes are those of the admin port.
func routes(e *entry.Entry) []rest.Route {
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

// notice is how long the health check fails before connections are refused, so
// that the balancer has seen it.
const notice = 500 * time.Millisecond

// farewell is how long an entry that holds nothing any more still answers other
// entries: until their view of it, which heartbeats renew, says so.
const farewell = time.Second

// drainLimit bounds a planned stop.
const drainLimit = 40 * time.Second

// Stop is the planned stop: the health check fails, what the entry holds is
// handed over, requests in progress are answered, then it ends.
func (p *Process) Stop(ctx context.Context) (err error) {
	p.once.Do(func() {
		ctx, cancel := context.WithTimeout(ctx, drainLimit)
		defer cancel()
		err = p.Entry.Drain(ctx)
		if err == nil {
			time.Sleep(max(notice, farewell))
		}
		for _, s := range p.servers {
			err = errors.CombineErrors(err, s.Stop(ctx))
		}
		err = errors.CombineErrors(err, p.Entry.AwaitReplies(ctx))
		p.end()
	})
	<-p.Stopped
	return err
}

// Kill ends the entry abruptly, as a crash would.
func (p *Process) Kill() {
	p.once.Do(p.end)
	<-p.Stopped
}

func (p *Process) end() {
	if p.cancel != nil {
		p.cancel()
		<-p.done
	}
	for _, s := range p.servers {
		s.Close()
	}
	close(p.Stopped)
}
