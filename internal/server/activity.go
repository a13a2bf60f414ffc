package server

import (
	"syscall"
	"time"

	"jasminestep/internal/metric"
	"jasminestep/internal/shard"
)

// activityInterval is the time between two reports of what an owner has done.
const activityInterval = 2 * time.Second

// ownerActivity sums up what the control goroutine has done since the last report. The
// zero value has begun no report yet.
type ownerActivity struct {
	since     time.Time
	cpuSince  time.Duration
	decisions int
	deciding  time.Duration // time spent on decisions
	longest   time.Duration // decision
	lag       time.Duration // greatest
}

// activitySample is the last report, for metrics.
type activitySample struct {
	cores, lag, deciding float64 // cores of the process, seconds, share of the time
	shard                shard.Activity
}

// observeDecision records a decision.
func (a *ownerActivity) observeDecision(d time.Duration) {
	a.decisions++
	a.deciding += d
	a.longest = max(a.longest, d)
}

// reportActivity logs and publishes what the owner has done, every activityInterval.
func (o *owner) reportActivity(now time.Time) {
	a := &o.activity
	a.lag = max(a.lag, o.lag.recent())
	if a.since.IsZero() {
		a.since, a.cpuSince = now, processTime()
	}
	took := now.Sub(a.since)
	if took < activityInterval {
		return
	}
	cpu, s := processTime(), o.state.Activity()
	sample := activitySample{(cpu - a.cpuSince).Seconds() / took.Seconds(), a.lag.Seconds(), a.deciding.Seconds() / took.Seconds(), s}
	o.s.Log.Info("owner activity", "service", o.service, "term", o.term, "cores", sample.cores, "lag", ms(a.lag), "decisions", a.decisions, "deciding", ms(a.deciding),
		"longest", ms(a.longest), "waiting", s.Waiting, "runs", s.Runs, "copies", s.Copies, "needless", s.NeedlessCopies, "delay", ms(s.CopyDelay))
	o.mu.Lock()
	o.activitySample = sample
	o.mu.Unlock()
	*a = ownerActivity{since: now, cpuSince: cpu}
}

// samples returns the readings of the owner's activity. The owner's mutex is held.
func (s *activitySample) samples(service string) []metric.Sample {
	out := []metric.Sample{
		{Name: "step_owner_cores", Value: s.cores},
		{Name: "step_owner_lag_seconds", Value: s.lag},
		{Name: "step_owner_deciding", Value: s.deciding},
		{Name: "step_copies", Value: float64(s.shard.Copies)},
		{Name: "step_needless_copies", Value: float64(s.shard.NeedlessCopies)},
	}
	for i := range out {
		out[i].Label, out[i].LabelValue = "service", service
	}
	return out
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

// processTime is the processor time that this process has used.
func processTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
