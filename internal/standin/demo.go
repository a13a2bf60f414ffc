package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"jasminestep/internal/entry"
	"jasminestep/internal/ops"
	"jasminestep/pkg/operator"
)

// Demo configures one run of a site under load.
type Demo struct {
	Site        Site
	Duration    time.Duration
	Faults      bool
	Seed        uint64
	Out         io.Writer // receives progress lines and the summary table
	Log         hclog.Logger
	JobRate     float64 // jobs submitted per second
	RequestRate float64 // requests sent per second
}

// Summary is the result of a run according to the ledger.
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
	Wait50   float64 `json:"wait50"` // from the submission of a job to the start of a task, milliseconds
	Wait99   float64 `json:"wait99"`
	Urgent99 float64 `json:"urgent99"` // the same for urgent jobs
	Lat50    float64 `json:"lat50"`    // latency of answered requests, milliseconds
	Lat99    float64 `json:"lat99"`
	CPU      float64 `json:"cpu"`    // cores used per entry; includes the stand-ins, so an upper bound
	Memory   float64 `json:"memory"` // MB per entry; also an upper bound
	Bytes    float64 `json:"bytes"`  // control traffic per entry, bytes sent and received per second
	Writes   float64 `json:"writes"` // to the platform's store, per second
	Reads    float64 `json:"reads"`
}

// Violations returns the number of violated guarantees.
func (s *Summary) Violations() int { return s.Lost + s.Twice + s.Over + s.Crossed + s.Untrue }

// acceptedJob is a job as seen by its submitter.
type acceptedJob struct {
	id            string
	job           operator.Job
	submittedAt   time.Time
	endpoints     Endpoints
	confirmed     bool          // the submission was answered with success
	acceptLatency time.Duration // from submission to acceptance
}

type demoRun struct {
	*Demo
	cluster  *Cluster
	balancer *Balancer
	stats    RequestStats
	mu       sync.Mutex
	jobs     []acceptedJob
	rejected int
	notes    []string
}

// Run starts the site with its entries in this process, generates load, injects
// the faults and evaluates the result.
func (d *Demo) Run(ctx context.Context) (*Summary, error) {
	if d.Log == nil {
		d.Log = hclog.NewNullLogger()
	}
	c, err := StartCluster(d.Site, d.Seed, d.Log)
	if err != nil {
		return nil, fmt.Errorf("demo: %w", err)
	}
	defer c.Close()
	return d.runCluster(ctx, c)
}

// RunExternal does the same for entries that run in separate processes, which are
// started and stopped by others. Without load it only runs the stand-ins and
// returns no summary.
func (d *Demo) RunExternal(ctx context.Context) (*Summary, error) {
	p, err := StartEnvironment(d.Site)
	if err != nil {
		return nil, fmt.Errorf("run: %w", err)
	}
	defer p.Close()
	s, err := p.serveControl()
	if err != nil {
		return nil, fmt.Errorf("run: %w", err)
	}
	defer s.Close()
	if d.RequestRate == 0 && d.JobRate == 0 {
		<-ctx.Done()
		return nil, nil
	}
	return d.runCluster(ctx, &Cluster{Environment: p, Net: &Network{}})
}

func (d *Demo) runCluster(ctx context.Context, c *Cluster) (*Summary, error) {
	bctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &demoRun{Demo: d, cluster: c, balancer: NewBalancer(bctx, c.Endpoints())}
	if err := r.waitReady(); err != nil {
		return nil, err
	}
	_, _ = fmt.Fprintln(d.Out, "ready")
	began, cpu := time.Now(), cpuTime()
	writes, reads, bytes := c.Platform.Writes.Load(), c.Platform.Reads.Load(), r.controlBytes()
	r.runLoad(ctx)
	elapsed := time.Since(began)
	n := float64(len(c.Endpoints()))
	s := &Summary{
		Site: d.Site.Name, Seed: d.Seed, CPU: (cpuTime() - cpu).Seconds() / elapsed.Seconds() / n,
		Writes: float64(c.Platform.Writes.Load()-writes) / elapsed.Seconds(), Reads: float64(c.Platform.Reads.Load()-reads) / elapsed.Seconds(),
		Bytes:  float64(r.controlBytes()-bytes) / elapsed.Seconds() / n,
		Memory: memory() / n,
	}
	r.waitFinished()
	r.evaluate(s)
	return s, nil
}

// waitReady applies the configuration and waits until every zone has an owner
// and the entries hold the slots of all minions.
func (r *demoRun) waitReady() error {
	const readyTimeout = 30 * time.Second
	end := time.Now().Add(readyTimeout)
	cell := r.Site.Cell()
	for applied := false; ; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("demo: not ready within %v", readyTimeout)
		}
		if !applied {
			_, err := r.balancer.Call(r.cluster.Endpoints()[0], http.MethodPost, "/cell", "", cell, nil)
			applied = err == nil
			continue
		}
		if r.cluster.ready(r.balancer) {
			return nil
		}
	}
}

// zoneStates returns the state of all zones as reported by the first entry that
// answers.
func (c *Cluster) zoneStates(b *Balancer) (all []entry.Top) {
	for _, f := range c.Endpoints() {
		if _, err := b.Call(f, http.MethodGet, "/top", "", nil, &all); err == nil {
			break
		}
	}
	return all
}

// ready reports whether every zone has an owner and the entries hold the slots of
// all minions.
func (c *Cluster) ready(b *Balancer) bool {
	owners := map[string]bool{}
	have, want := 0, 0
	for _, t := range c.zoneStates(b) {
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

func (r *demoRun) controlBytes() (n int64) {
	for _, t := range r.cluster.zoneStates(r.balancer) {
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

// memory returns the memory that the process has obtained from the operating
// system and not returned, in MB.
func memory() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.Sys-m.HeapReleased) / 1e6
}

// runLoad submits jobs and sends requests at the configured rates until the
// duration is over, and waits for those in progress.
func (r *demoRun) runLoad(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, r.Duration)
	defer cancel()
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(r.Seed, 1))
	r.submitServices(rnd)
	if r.Faults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.injectFaults(ctx)
		}()
	}
	wg.Add(2)
	go func() {
		defer wg.Done()
		n := 0
		callAtRate(ctx, r.JobRate, func() {
			n++
			j := RandomJob(rnd, &r.Site, n)
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
		callAtRate(ctx, r.RequestRate, func() {
			k := r.Site.Kinds[rnd.IntN(len(r.Site.Kinds))]
			member := r.Site.Members[rnd.IntN(len(r.Site.Members))]
			once, ms, size := rnd.IntN(10) < 3, rnd.ExpFloat64()*15, rnd.IntN(3000)
			wg.Add(1)
			go func() {
				defer wg.Done()
				r.balancer.Request(r.cluster.Ledger, &r.stats, k.Pool, member, once, ms, size)
			}()
		})
	}()
	go r.printProgress(ctx)
	wg.Wait()
}

// callAtRate calls f rate times per second until ctx is done.
func callAtRate(ctx context.Context, rate float64, f func()) {
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

func (r *demoRun) printProgress(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	began := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		r.stats.mu.Lock()
		n, a := r.stats.Requests, r.stats.Answered
		r.stats.mu.Unlock()
		r.mu.Lock()
		jobs := len(r.jobs)
		r.mu.Unlock()
		r.cluster.Ledger.mu.Lock()
		starts, running := r.cluster.Ledger.Starts, len(r.cluster.Ledger.running)
		r.cluster.Ledger.mu.Unlock()
		_, _ = fmt.Fprintf(r.Out, "%4.0fs  jobs %d  task starts %d  running %d  requests %d answered %d\n",
			time.Since(began).Seconds(), jobs, starts, running, n, a)
	}
}

// submitServices submits one long-running service per zone, whose tasks are
// upstreams.
func (r *demoRun) submitServices(rnd *rand.Rand) {
	for i, z := range r.Site.Zones {
		r.submit(operator.Job{
			Name: fmt.Sprintf("web-%d", i), Member: r.Site.Members[rnd.IntN(len(r.Site.Members))], Kind: operator.Service,
			Tasks: 2, Zone: z, Command: []string{"serve"}, Size: operator.Size{CPU: 2000, Memory: 2 << 10}, Pool: r.Site.Kinds[0].Pool, Worth: 10,
		})
	}
}

// submit submits a job. Without a definite answer it retries under the same name,
// so that the job is accepted at most once.
func (r *demoRun) submit(j operator.Job) {
	const tries = 6
	a := acceptedJob{job: j, submittedAt: time.Now()}
	for range tries {
		a.endpoints = r.balancer.Pick()
		var got ops.Accepted
		code, err := r.balancer.Call(a.endpoints, http.MethodPost, "/jobs", j.Member, j, &got)
		if err == nil {
			a.id, a.confirmed = got.ID, true
			break
		}
		if code >= 400 && code < 500 {
			r.note("submission of %s: %v", j.Name, err)
			break
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !a.confirmed {
		r.rejected++
		return
	}
	a.acceptLatency = time.Since(a.submittedAt)
	r.jobs = append(r.jobs, a)
}

func (r *demoRun) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, fmt.Sprintf(format, args...))
}
