package server

import (
	"net/http"

	"jasminestep/internal/metric"
)

// gauges returns the current values of the entry's gauges.
func (s *Server) gauges() []metric.Sample {
	out := s.clientSamples()
	if c := s.cfg.Load(); c != nil {
		out = append(out, metric.Sample{Name: "step_cell_version", Value: float64(c.Version)},
			metric.Sample{Name: "step_config_age_seconds", Value: monotonicNow().Sub(s.configCheckedAt()).Seconds()})
	}
	for _, o := range s.allLocalOwners() {
		out = append(out,
			metric.Sample{Name: "step_owner", Label: "service", LabelValue: o.service, Value: 1},
			metric.Sample{Name: "step_epoch", Label: "service", LabelValue: o.service, Value: float64(o.term)})
		o.mu.RLock()
		out = append(out, o.activitySample.samples(o.service)...)
		for q, n := range o.pendingByQueue {
			out = append(out, metric.Sample{Name: "step_queue", Label: "queue", LabelValue: q, Value: float64(n)})
		}
		if e := o.runTimeErrors; e.N > 0 {
			out = append(out,
				metric.Sample{Name: "step_runtime_factor", Label: "of", LabelValue: estimatedRunTimes, Value: e.OfEstimate()},
				metric.Sample{Name: "step_runtime_factor", Label: "of", LabelValue: learnedRunTimes, Value: e.OfPrediction()})
		}
		for _, u := range o.accountUses[:min(len(o.accountUses), maxAccountSamples)] {
			out = append(out,
				metric.Sample{Name: "step_account_cores", Label: "account", LabelValue: u.Name, Value: float64(u.Demand.Used.CPU) / 1000},
				metric.Sample{Name: "step_account_waiting", Label: "account", LabelValue: u.Name, Value: float64(u.Waiting)},
				metric.Sample{Name: "step_account_limited", Label: "account", LabelValue: u.Name, Value: float64(u.Limited)})
		}
		o.mu.RUnlock()
	}
	return out
}

// maxAccountSamples is the number of accounts, by name, that metrics show.
const maxAccountSamples = 300

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

// methodLabel returns the label of a method, of which clients may invent any.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

// withMetrics wraps a handler to count requests and measure their duration.
func (s *Server) withMetrics(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		startTime := monotonicNow()
		rec := &statusRecorder{w, http.StatusOK}
		h(rec, r)
		s.metrics.Request(outcome(rec.status), methodLabel(r.Method), monotonicNow().Sub(startTime))
	}
}
