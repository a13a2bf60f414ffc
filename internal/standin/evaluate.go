package standin

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"jasminestep/internal/entry"
	"jasminestep/pkg/operator"
)

// waitFinished ends partitions and store faults, and waits until the accepted
// batch jobs have finished, up to a limit.
func (r *demoRun) waitFinished() {
	r.cluster.Net.Heal()
	r.cluster.Platform.SetFaults(StoreFaults{})
	end := time.Now().Add(r.Duration/2 + 25*time.Second)
	for time.Now().Before(end) {
		if !slices.ContainsFunc(r.jobs, func(a acceptedJob) bool { return a.job.Kind != operator.Service && !r.finished(a) }) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (r *demoRun) finished(a acceptedJob) bool {
	for i := range a.job.Count() {
		if r.cluster.Ledger.Completions(fmt.Sprintf("%s#%d", a.id, i)) == 0 {
			return false
		}
	}
	return true
}

// evaluate compares what the entries reported with what the ledger recorded and
// fills in the summary.
func (r *demoRun) evaluate(s *Summary) {
	l := r.cluster.Ledger
	var waits, urgent []time.Duration
	for _, a := range r.jobs {
		done := r.finished(a)
		if a.job.Kind != operator.Service && !done {
			l.AddLost("job %s was accepted and did not finish", a.id)
		}
		var st entry.Status
		_, err := r.balancer.Call(r.balancer.Pick(), http.MethodGet, "/jobs/"+a.id, a.job.Member, nil, &st)
		switch {
		case err != nil:
			l.AddLost("job %s was accepted: %v", a.id, err)
		case st.Ended != 0 && st.Cause == "done" && !done:
			l.AddUntrue("job %s is said to be done", a.id)
		}
		for i := range a.job.Count() {
			if at := l.FirstStart(fmt.Sprintf("%s#%d", a.id, i)); !at.IsZero() && a.job.Kind != operator.Service {
				waits = append(waits, at.Sub(a.submittedAt))
				if a.job.Urgency == operator.Urgent {
					r.noteSlowStart(a, at.Sub(a.submittedAt))
					urgent = append(urgent, at.Sub(a.submittedAt))
				}
			}
		}
	}
	r.stats.CheckUnrun(l)
	ms := func(ds []time.Duration, q float64) float64 { return float64(Quantile(ds, q).Microseconds()) / 1000 }
	t := &r.stats
	s.Tasks, s.Requests, s.Answered, s.Unrun, s.Unknown = l.Starts, t.Requests, t.Answered, t.Unrun, t.Unknown
	s.Lost, s.Twice, s.Over, s.Crossed, s.Untrue = l.Lost, l.Twice, l.Over, l.Crossed, l.Untrue
	s.Wait50, s.Wait99 = ms(waits, 0.5), ms(waits, 0.99)
	s.Urgent99 = ms(urgent, 0.99)
	s.Lat50, s.Lat99 = ms(t.Latencies, 0.5), ms(t.Latencies, 0.99)
	r.printSummary(s)
}

// noteSlowStart adds a note if an urgent job waited too long for its start.
func (r *demoRun) noteSlowStart(a acceptedJob, wait time.Duration) {
	const maxWait = 1700 * time.Millisecond
	if wait > maxWait {
		r.note("urgent job %s began after %v, of which its acceptance through %s took %v", a.id, wait.Round(time.Millisecond), a.endpoints.Operator, a.acceptLatency.Round(time.Millisecond))
	}
}

func (r *demoRun) printSummary(s *Summary) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(r.Out, format, args...) }
	p("\n%-28s %s, seed %d\n", "site", s.Site, s.Seed)
	p("%-28s %d accepted, %d not\n", "jobs", len(r.jobs), r.rejected)
	p("%-28s %d\n", "task starts", s.Tasks)
	p("%-28s %.0f ms median, %.0f ms p99, %.0f ms p99 of urgent work\n", "wait of a task", s.Wait50, s.Wait99, s.Urgent99)
	p("%-28s %d: %d answered, %d unrun, %d unknown\n", "requests", s.Requests, s.Answered, s.Unrun, s.Unknown)
	for why, n := range r.stats.Reasons {
		p("%-28s %d %s\n", "", n, why)
	}
	p("%-28s %.1f ms median, %.1f ms p99\n", "latency", s.Lat50, s.Lat99)
	p("%-28s lost %d, twice %d, over %d, crossed %d, untrue %d\n", "broken promises", s.Lost, s.Twice, s.Over, s.Crossed, s.Untrue)
	p("%-28s %.0f writes, %.0f reads a second\n", "table", s.Writes, s.Reads)
	p("%-28s %.0f bytes a second sent and received\n", "control of one entry", s.Bytes)
	for _, n := range slices.Concat(r.notes, r.cluster.Ledger.Notes) {
		p("  %s\n", n)
	}
}
