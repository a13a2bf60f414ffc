package server

import (
	"net/http"

	"jasminestep/internal/metric"
)

// samples are the gauges of the entry.
func (s *Server) gauges() []metric.Sample {
	var out []metric.Sample
	if c := s.cfg.Load(); c != nil {
		out = append(out, metric.Sample{Name: "step_cell_version", N: float64(c.Version)})
	}
	s.mu.Lock()
	owners := make([]*owner, 0, len(s.localOwners))
	for _, o := range s.localOwners {
		owners = append(owners, o)
	}
	s.mu.Unlock()
	for _, o := range owners {
		out = append(out,
			metric.Sample{Name: "step_owner", Label: "service", Value: o.service, N: 1},
			metric.Sample{Name: "step_epoch", Label: "service", Value: o.service, N: float64(o.term)})
		o.mu.RLock()
		for q, n := range o.pendingByQueue {
			out = append(out, metric.Sample{Name: "step_queue", Label: "queue", Value: q, N: float64(n)})
		}
		o.mu.RUnlock()
	}
	return out
}

// recorder keeps the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader keeps the status.
func (r *statusRecorder) WriteHeader(code int) {
	r.status = code
	r.ResponseWriter.WriteHeader(code)
}

// outcome names what a status tells a client.
func outcome(status int) string {
	switch {
	case status < http.StatusBadRequest:
		return "answered"
	case status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests:
		return "rejected"
	case status == http.StatusGatewayTimeout:
		return "unknown"
	}
	return "refused"
}

// measured counts a request and its time.
func (s *Server) withMetrics(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		began := monotonicNow()
		rec := &statusRecorder{w, http.StatusOK}
		h(rec, r)
		s.metrics.Request(outcome(rec.status), r.Method, monotonicNow().Sub(began))
	}
}
