package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"jasminestep/internal/entry"
	"jasminestep/internal/ops"
	"jasminestep/pkg/operator"
)

// Demo is one run of a site under load.
type Demo struct {
	Site   Site
	For    time.Duration
	Faults bool
	Seed   uint64
	Out    io.Writer // progress and table
	Log    hclog.Logger
	Jobs   float64 // a second
	Calls  float64 // requests a second
}

// Summary is the result of a run, by the stand-ins' ledgers.
type Summary struct {
	Site     string  `json:"site"`
	Seed     uint64  `json:"seed"`
	Tasks    int     `json:"tasks"`
	Requests int     `json:"requests"`
	Answered int     `json:"answered"`
	Unrun    int     `json:"unrun"`
	Unknown  int     `json:"unknown"`
	Lost     int     `json:"lost"`
	Twice    int     `json:"twice"`
	Over     int     `json:"over"`
	Crossed  int     `json:"crossed"`
	Untrue   int     `json:"untrue"`
	Wait50   float64 `json:"wait50"` // from acceptance to start of a task, milliseconds
	Wait99   float64 `json:"wait99"`
	Urgent99 float64 `json:"urgent99"` // the same for urgent work
	Lat50    float64 `json:"lat50"`    // of answered requests, milliseconds
	Lat99    float64 `json:"lat99"`
	CPU      float64 `json:"cpu"`    // share of a core for each entry; stand-ins included, so an upper bound
	Memory   float64 `json:"memory"` // MB for each entry, likewise
	Bytes    float64 `json:"bytes"`  // that each entry sends and receives for control, a second
	Writes   float64 `json:"writes"` // of the table, a second
	Reads    float64 `json:"reads"`
}

// Bad is the number of broken promises.
func (s *Summary) Bad() int { return s.Lost + s.Twice + s.Over + s.Crossed + s.Untrue }

// accepted is a job as its submitter knows it.
type accepted struct {
	id   string
	job  operator.Job
	at   time.Time
	f    Front
	sure bool // it was said to be accepted
}

type demo struct {
	*Demo
	c      *Cluster
	b      *Balancer
	totals Totals
	mu     sync.Mutex
	jobs   []accepted
	refuse int
	notes  []string
}

// Run starts the site with its entries in this process, loads it, brings about
// the faults, and judges.
func (d *Demo) Run(ctx context.Context) (*Summary, error) {
	if d.Log == nil {
		d.Log = hclog.NewNullLogger()
	}
	c, err := StartCluster(d.Site, d.Seed, d.Log)
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	defer c.Close()
	return d.runOn(ctx, c)
}

// RunParts does the same with entries that run in processes of their own,
// which somebody else starts, and stops as they please.
func (d *Demo) RunParts(ctx context.Context) (*Summary, error) {
	p, err := StartParts(d.Site)
	if err != nil {
		return nil, fmt.Errorf("run: %w", err)
	}
	defer p.Close()
	s, err := p.control()
	if err != nil {
		return nil, fmt.Errorf("run: %w", err)
	}
	defer s.Close()
	if d.Calls == 0 && d.Jobs == 0 {
		<-ctx.Done()
		return nil, nil
	}
	return d.runOn(ctx, &Cluster{Parts: p, Net: &Net{}})
}

func (d *Demo) runOn(ctx context.Context, c *Cluster) (*Summary, error) {
	bctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &demo{Demo: d, c: c, b: NewBalancer(bctx, c.Fronts())}
	if err := r.ready(); err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintln(d.Out, "ready")
	began, cpu := time.Now(), cpuTime()
	writes, reads, bytes := c.Platform.Writes.Load(), c.Platform.Reads.Load(), r.bytes()
	r.load(ctx)
	took := time.Since(began)
	n := float64(len(c.Fronts()))
	s := &Summary{
		Site: d.Site.Name, Seed: d.Seed, CPU: (cpuTime() - cpu).Seconds() / took.Seconds() / n,
		Writes: float64(c.Platform.Writes.Load()-writes) / took.Seconds(), Reads: float64(c.Platform.Reads.Load()-reads) / took.Seconds(),
		Bytes:  float64(r.bytes()-bytes) / took.Seconds() / n,
		Memory: memory() / n,
	}
	r.settle()
	r.judge(s)
	return s, nil
}

// ready applies the configuration and waits until every zone has an owner and
// every minion a holder.
func (r *demo) ready() error {
	const patience = 30 * time.Second
	end := time.Now().Add(patience)
	cell := r.Site.Cell()
	for applied := false; ; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("demo: not ready within %v", patience)
		}
		if !applied {
			_, err := r.b.Call(r.c.Fronts()[0], http.MethodPost, "/cell", "", cell, nil)
			applied = err == nil
			continue
		}
		if r.c.settled(r.b) {
			return nil
		}
	}
}

// tops asks some entry for the state of all.
func (c *Cluster) tops(b *Balancer) (all []entry.Top) {
	for _, f := range c.Fronts() {
		if _, err := b.Call(f, http.MethodGet, "/top", "", nil, &all); err == nil {
			break
		}
	}
	return all
}

// settled reports whether every zone has an owner and every minion a holder.
func (c *Cluster) settled(b *Balancer) bool {
	owners := map[string]bool{}
	have, want := 0, 0
	for _, t := range c.tops(b) {
		if t.Owner != "" {
			owners[t.Zone] = true
		}
		for _, l := range t.Pools {
			have += l.Slots
		}
	}
	for _, m := range c.Minions {
		want += m.Slots
	}
	return len(owners) == len(c.Site.Zones) && have >= want
}

func (r *demo) bytes() (n int64) {
	for _, t := range r.c.tops(r.b) {
		n += t.Bytes.Total()
	}
	return n
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory is what the process has from the system, MB.
func memory() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Sys-m.HeapReleased) / 1e6
}

// load sends jobs and requests at their rates until the time is over.
func (r *demo) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.For)
	defer cancel()
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(r.Seed, 1))
	r.services(rnd)
	if r.Faults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.faults(ctx)
		}()
	}
	wg.Add(2)
	go func() {
		defer wg.Done()
		n := 0
		pace(ctx, r.Jobs, func() {
			n++
			j := Mix(rnd, &r.Site, n)
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.submit(j)
			}()
		})
	}()
	go func() {
		defer wg.Done()
		rnd := rand.New(rand.NewPCG(r.Seed, 2))
		pace(ctx, r.Calls, func() {
			k := r.Site.Kinds[rnd.IntN(len(r.Site.Kinds))]
			member := r.Site.Members[rnd.IntN(len(r.Site.Members))]
			once, ms, size := rnd.IntN(10) < 3, rnd.ExpFloat64()*15, rnd.IntN(3000)
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.b.Request(r.c.Ledger, &r.totals, k.Pool, member, once, ms, size)
			}()
		})
	}()
	go r.progress(ctx)
	wg.Wait()
}

// pace calls f at the given rate until ctx ends.
func pace(ctx context.Context, rate float64, f func()) {
	if rate <= 0 {
		return
	}
	began := time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		at := began.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if wait := time.Until(at); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		f()
	}
}

func (r *demo) progress(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		r.totals.mu.Lock()
		n, a := r.totals.Requests, r.totals.Answered
		r.totals.mu.Unlock()
		r.mu.Lock()
		jobs := len(r.jobs)
		r.mu.Unlock()
		r.c.Ledger.mu.Lock()
		starts, running := r.c.Ledger.Starts, len(r.c.Ledger.running)
		r.c.Ledger.mu.Unlock()
		_, _ = fmt.Fprintf(r.Out, "%4.0fs  jobs %d  task starts %d  running %d  requests %d answered %d\n",
			time.Since(began).Seconds(), jobs, starts, running, n, a)
	}
}

// services submits some long-running work with upstreams of its own.
func (r *demo) services(rnd *rand.Rand) {
	for i, z := range r.Site.Zones {
		r.submit(operator.Job{
			Name: fmt.Sprintf("web-%d", i), Member: r.Site.Members[rnd.IntN(len(r.Site.Members))], Kind: operator.Service,
			Tasks: 2, Zone: z, Command: []string{"serve"}, Size: operator.Size{CPU: 2000, Memory: 2 << 10}, Pool: r.Site.Kinds[0].Pool, Worth: 10,
		})
	}
}

// submit submits a job; without a clear answer it does so again, under the
// same name, so that it is accepted once.
func (r *demo) submit(j operator.Job) {
	const tries = 6
	a := accepted{job: j, at: time.Now()}
	for range tries {
		a.f = r.b.Pick()
		var got ops.Accepted
		code, err := r.b.Call(a.f, http.MethodPost, "/jobs", j.Member, j, &got)
		if err == nil {
			a.id, a.sure = got.ID, true
			break
		}
		if code >= 400 && code < 500 {
			r.note("submission of %s: %v", j.Name, err)
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.sure {
		r.refuse++
		return
	}
	r.jobs = append(r.jobs, a)
}

func (r *demo) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}

// settle waits until the accepted batch work has ended.
func (r *demo) settle() {
	r.c.Net.Heal()
	r.c.Platform.Set(StoreFaults{})
	end := time.Now().Add(r.For/2 + 25*time.Second)
	for time.Now().Before(end) {
		if !slices.ContainsFunc(r.jobs, func(a accepted) bool { return a.job.Kind != operator.Service && !r.finished(a) }) {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (r *demo) finished(a accepted) bool {
	for i := range a.job.Count() {
		if r.c.Ledger.Done(fmt.Sprintf("%s#%d", a.id, i)) == 0 {
			return false
		}
	}
	return true
}

// judge compares what was said with what happened.
func (r *demo) judge(s *Summary) {
	l := r.c.Ledger
	var waits, urgent []time.Duration
	for _, a := range r.jobs {
		done := r.finished(a)
		if a.job.Kind != operator.Service && !done {
			l.Lose("job %s was accepted and did not finish", a.id)
		}
		var st entry.Status
		_, err := r.b.Call(r.b.Pick(), http.MethodGet, "/jobs/"+a.id, a.job.Member, nil, &st)
		switch {
		case err != nil:
			l.Lose("job %s was accepted: %v", a.id, err)
		case st.Ended != 0 && st.Cause == "done" && !done:
			l.Lie("job %s is said to be done", a.id)
		}
		for i := range a.job.Count() {
			if at := l.Began(fmt.Sprintf("%s#%d", a.id, i)); !at.IsZero() && a.job.Kind != operator.Service {
				waits = append(waits, at.Sub(a.at))
				if a.job.Urgency == operator.Urgent {
					urgent = append(urgent, at.Sub(a.at))
				}
			}
		}
	}
	r.totals.Judge(l)
	ms := func(ds []time.Duration, q float64) float64 { return float64(Quantile(ds, q).Microseconds()) / 1000 }
	t := &r.totals
	s.Tasks, s.Requests, s.Answered, s.Unrun, s.Unknown = l.Starts, t.Requests, t.Answered, t.Unrun, t.Unknown
	s.Lost, s.Twice, s.Over, s.Crossed, s.Untrue = l.Lost, l.Twice, l.Over, l.Crossed, l.Untrue
	s.Wait50, s.Wait99 = ms(waits, 0.5), ms(waits, 0.99)
	s.Urgent99 = ms(urgent, 0.99)
	s.Lat50, s.Lat99 = ms(t.Took, 0.5), ms(t.Took, 0.99)
	r.table(s)
}

func (r *demo) table(s *Summary) {
	p := func(format string, args ...any) { _, _ = fmt.Fprintf(r.Out, format, args...) }
	p("\n%-28s %s, seed %d\n", "site", s.Site, s.Seed)
	p("%-28s %d accepted, %d not\n", "jobs", len(r.jobs), r.refuse)
	p("%-28s %d\n", "task starts", s.Tasks)
	p("%-28s %.0f ms median, %.0f ms p99, %.0f ms p99 of urgent work\n", "wait of a task", s.Wait50, s.Wait99, s.Urgent99)
	p("%-28s %d: %d answered, %d unrun, %d unknown\n", "requests", s.Requests, s.Answered, s.Unrun, s.Unknown)
	for why, n := range r.totals.Why {
		p("%-28s %d %s\n", "", n, why)
	}
	p("%-28s %.1f ms median, %.1f ms p99\n", "latency", s.Lat50, s.Lat99)
	p("%-28s lost %d, twice %d, over %d, crossed %d, untrue %d\n", "broken promises", s.Lost, s.Twice, s.Over, s.Crossed, s.Untrue)
	p("%-28s %.0f writes, %.0f reads a second\n", "table", s.Writes, s.Reads)
	p("%-28s %.0f bytes a second sent and received\n", "control of one entry", s.Bytes)
	for _, n := range slices.Concat(r.notes, r.c.Ledger.Notes) {
		p("  %s\n", n)
	}
}
