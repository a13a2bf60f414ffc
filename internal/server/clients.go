package server

import (
	"context"
	"time"

	"jasminestep/internal/metric"
	"jasminestep/internal/web"
)

// crowdLogInterval is the time between two log lines about clients that were sent
// away.
const crowdLogInterval = 5 * time.Second

// watchClients logs when clients are sent away because they take too much.
func (s *Server) watchClients(ctx context.Context) {
	var before web.Load
	for ctx.Err() == nil {
		sleep(ctx, crowdLogInterval)
		now := s.clientServer.Load()
		if now.Gone != before.Gone {
			s.Log.Warn("clients sent away", "connections", now.Conns, "bytes", now.Bytes,
				"full", now.Gone[web.TooManyConns]-before.Gone[web.TooManyConns], "held", now.Gone[web.TooManyBytes]-before.Gone[web.TooManyBytes],
				"fields", now.Gone[web.TooManyFields]-before.Gone[web.TooManyFields], "stalled", now.Gone[web.Stalled]-before.Gone[web.Stalled])
		}
		before = now
	}
}

// clientSamples are the gauges of what clients take.
func (s *Server) clientSamples() []metric.Sample {
	l := s.clientServer.Load()
	out := []metric.Sample{
		{Name: "step_client_connections", Value: float64(l.Conns)},
		{Name: "step_client_bytes", Value: float64(l.Bytes)},
	}
	for c, n := range l.Gone {
		out = append(out, metric.Sample{Name: "step_clients_sent_away", Label: "cause", LabelValue: web.Cause(c).String(), Value: float64(n)})
	}
	return out
}
