// Package metric records the metrics of an entry with OpenTelemetry and exposes
// them in the Prometheus text format.
package metric

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	oprom "go.opentelemetry.io/otel/exporters/prometheus"
	om "go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
)

// Metric describes one metric.
type Metric struct {
	Name string
	Unit string
	Doc  string
}

// Table lists every metric that an entry exposes.
var Table = []Metric{
	{"step_requests", "requests", "requests by outcome and reason"},
	{"step_request_seconds", "seconds", "time from a request's arrival to its outcome"},
	{"step_slot_wait_seconds", "seconds", "time a request waited for a slot"},
	{"step_retries", "tries", "retries of requests, by reason"},
	{"step_write_seconds", "seconds", "duration of a write to the zone's journal"},
	{"step_queue", "requests", "requests waiting for a slot, by pool"},
	{"step_free", "slots", "free slots that this entry holds, by pool"},
	{"step_jobs", "jobs", "jobs of the zone, by state"},
	{"step_tasks", "tasks", "tasks of the zone, by state"},
	{"step_task_wait_seconds", "seconds", "time from a task's acceptance to its first start"},
	{"step_absence_seconds", "seconds", "time for which a task that lasts was away, by how that began (lost, failed, drained, stopped) and by what it waited for longest"},
	{"step_owner", "1", "1 while this entry owns its zone"},
	{"step_owner_cores", "cores", "processor time of this process, over the last report of its owner, by service"},
	{"step_owner_lag_seconds", "seconds", "greatest time for which something waited for the owner in the last report, by service"},
	{"step_owner_deciding", "1", "share of its time that the owner spent on decisions in the last report, by service"},
	{"step_copies", "copies", "copies of runs in the present term, by service"},
	{"step_needless_copies", "copies", "copies whose originals ended by themselves in the present term, by service"},
	{"step_epoch", "1", "epoch of the zone's owner"},
	{"step_seq", "rows", "sequence number of the last row of the zone's journal that this entry has applied"},
	{"step_cell_version", "1", "version of the current configuration"},
	{"step_control_bytes", "bytes", "bytes of control traffic sent and received, by peer"},
	{"step_account_cores", "cores", "cores that tasks of an account use in the shard of this entry, by account"},
	{"step_account_waiting", "tasks", "tasks of an account that could start but for room or its limit, by account"},
	{"step_account_limited", "steps", "steps of an account that its limit has no room for, by account"},
	{"step_runtime_factor", "1", "factor by which run times differ from what is expected, by source (estimated by clients, learned)"},
	{"step_config_age_seconds", "seconds", "time since the configuration was last known to be the newest"},
	{"step_client_connections", "connections", "open connections of clients"},
	{"step_client_bytes", "bytes", "memory that clients take by what they have sent, as estimated"},
	{"step_clients_sent_away", "clients", "connections closed and requests refused because clients take too much, by cause"},
	{"step_packing", "1", "allocated share of the zone's worker capacity, by resource"},
}

// synchronous holds the metrics that are recorded when the measured event occurs.
// The others are gauges that are observed on each scrape.
var synchronous = map[string]bool{
	"step_requests": true, "step_retries": true, "step_request_seconds": true,
	"step_slot_wait_seconds": true, "step_write_seconds": true, "step_task_wait_seconds": true,
	"step_absence_seconds": true,
}

// Meter holds the instruments of one entry. Use New.
type Meter struct {
	registry *prometheus.Registry
	meter    om.Meter

	requests om.Int64Counter
	retries  om.Int64Counter
	latency  om.Float64Histogram
	slotWait om.Float64Histogram
	write    om.Float64Histogram
	taskWait om.Float64Histogram
	absence  om.Float64Histogram
}

var buckets = om.WithExplicitBucketBoundaries(.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 1.7, 3, 7, 15, 60, 300)

var absenceBuckets = om.WithExplicitBucketBoundaries(.5, 1, 2, 4, 6, 8, 10, 15, 30, 60)

// New returns a meter with its own registry.
func New() (*Meter, error) {
	m := &Meter{registry: prometheus.NewRegistry()}
	ex, err := oprom.New(oprom.WithRegisterer(m.registry), oprom.WithoutScopeInfo(), oprom.WithoutUnits(), oprom.WithoutCounterSuffixes())
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	m.meter = sdk.NewMeterProvider(sdk.WithReader(ex)).Meter("jasminestep")
	var errs [7]error
	m.requests, errs[0] = m.meter.Int64Counter("step_requests")
	m.retries, errs[1] = m.meter.Int64Counter("step_retries")
	m.latency, errs[2] = m.meter.Float64Histogram("step_request_seconds", buckets)
	m.slotWait, errs[3] = m.meter.Float64Histogram("step_slot_wait_seconds", buckets)
	m.write, errs[4] = m.meter.Float64Histogram("step_write_seconds", buckets)
	m.taskWait, errs[5] = m.meter.Float64Histogram("step_task_wait_seconds", buckets)
	m.absence, errs[6] = m.meter.Float64Histogram("step_absence_seconds", absenceBuckets)
	for _, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("metrics: %w", err)
		}
	}
	return m, nil
}

// maxScrapes is how many requests for metrics are served at once.
const maxScrapes = 4

// Handler serves the metrics.
func (m *Meter) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// Request counts a request by its outcome and reason, and records its latency.
func (m *Meter) Request(outcome, reason string, took time.Duration) {
	m.requests.Add(context.Background(), 1, om.WithAttributes(attribute.String("outcome", outcome), attribute.String("reason", reason)))
	m.latency.Record(context.Background(), took.Seconds())
}

// Retry counts a retry of a request.
func (m *Meter) Retry(reason string) {
	m.retries.Add(context.Background(), 1, om.WithAttributes(attribute.String("reason", reason)))
}

// Wait records how long a request waited for a slot.
func (m *Meter) Wait(d time.Duration) { m.slotWait.Record(context.Background(), d.Seconds()) }

// Write records the duration of a journal write.
func (m *Meter) Write(d time.Duration) { m.write.Record(context.Background(), d.Seconds()) }

// Absence records for how long a task that lasts was away, how that began and what
// it waited for longest.
func (m *Meter) Absence(start, cause string, d time.Duration) {
	m.absence.Record(context.Background(), d.Seconds(), om.WithAttributes(attribute.String("start", start), attribute.String("cause", cause)))
}

// TaskWait records the time from a task's acceptance to its first start.
func (m *Meter) TaskWait(d time.Duration) { m.taskWait.Record(context.Background(), d.Seconds()) }

// Sample is one reading of the gauge Name. Label and LabelValue are the name and
// value of its label, empty if it has none; Value is the reading.
type Sample struct {
	Name, Label, LabelValue string
	Value                   float64
}

// RegisterGauges registers the gauges of Table. f is called on each scrape and
// returns the readings of all gauges.
func (m *Meter) RegisterGauges(f func() []Sample) error {
	gauges := map[string]om.Float64ObservableGauge{}
	var all []om.Observable
	for _, t := range Table {
		if synchronous[t.Name] {
			continue
		}
		g, err := m.meter.Float64ObservableGauge(t.Name)
		if err != nil {
			return fmt.Errorf("metrics: %w", err)
		}
		gauges[t.Name] = g
		all = append(all, g)
	}
	_, err := m.meter.RegisterCallback(func(_ context.Context, o om.Observer) error {
		for _, s := range f() {
			if s.Label == "" {
				o.ObserveFloat64(gauges[s.Name], s.Value)
				continue
			}
			o.ObserveFloat64(gauges[s.Name], s.Value, om.WithAttributes(attribute.String(s.Label, s.LabelValue)))
		}
		return nil
	}, all...)
	if err != nil {
		return fmt.Errorf("metrics: %w", err)
	}
	return nil
}
