package server

import (
	"net/http"

	"jasminestep/internal/metric"
)

// gauges returns the current values of the entry's gauges.
func (s *Server) gauges() []metric.Sample {
	var out []metric.Sample
	if c := s.cfg.Load(); c != nil {
		out = append(out, metric.Sample{Name: "step_cell_version", Value: float64(c.Version)})
	}
	for _, o := range s.allLocalOwners() {
		out = append(out,
			metric.Sample{Name: "step_owner", Label: "service", LabelValue: o.service, Value: 1},
			metric.Sample{Name: "step_epoch", Label: "service", LabelValue: o.service, Value: float64(o.term)})
		o.mu.RLock()
		for q, n := range o.pendingByQueue {
			out = append(out, metric.Sample{Name: "step_queue", Label: "queue", LabelValue: q, Value: float64(n)})
		}
		o.mu.RUnlock()
	}
	return out
}

// statusRecorder records the status of a response.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(code int) {
	r.status = code
	r.ResponseWriter.WriteHeader(code)
}

// outcome returns the outcome label for a status.
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

// withMetrics wraps a handler to count requests and measure their duration.
func (s *Server) withMetrics(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		startTime := monotonicNow()
		rec := &statusRecorder{w, http.StatusOK}
		h(rec, r)
		s.metrics.Request(outcome(rec.status), r.Method, monotonicNow().Sub(startTime))
	}
}
