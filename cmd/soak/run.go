package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"jasminestep/internal/table/tabletest"
	"jasminestep/platform/standin"
)

// result holds the counts, faults and violations of one seed.
type result struct {
	seed       int64
	accepted   int
	rejected   int
	unknown    int
	cancelled  int
	starts     int
	deadly     int // accepted jobs that crash minions
	crashes    int // the most minions that crashed under one task
	faults     []string
	violations []string
}

func (r *result) summary() string {
	return fmt.Sprintf("seed %d: %d accepted, %d rejected, %d unknown, %d cancelled; %d starts; %d deadly, up to %d minions crashed under a task; faults: %s; broken promises: %d",
		r.seed, r.accepted, r.rejected, r.unknown, r.cancelled, r.starts, r.deadly, r.crashes, strings.Join(r.faults, ", "), len(r.violations))
}

// outcome is the state of a job as known to the client.
type outcome int

const (
	rejected outcome = iota // every attempt was answered that the job will never run
	unknown
	accepted
	cancelled
)

// client submits and cancels jobs and records their outcomes.
type client struct {
	cluster *cluster
	http    *http.Client

	mu         sync.Mutex
	jobs       map[string]*job
	violations []string
}

// job is a submitted job and what the client knows of it.
type job struct {
	standin.Job
	service string
	outcome outcome
}

const (
	callTimeout    = 4 * time.Second
	submitInterval = 60 * time.Millisecond
	faultKinds     = 13
	restartKind    = 12                     // the kind of restartAndCut
	seriesInterval = 150 * time.Millisecond // between faults of the same kind
	shrinkTime     = 6 * time.Second        // least time that capacity is gone; longer than it counts
	deadlyInterval = 48                     // jobs from one that is deadly to the next
	crashTime      = 200                    // ms that a deadly task runs at least, so that it crashes before it ends
	lastingCPU     = 250                    // thousandths of a core of a task that lasts and isn't deadly
	minCrashes     = 2                      // a task under which so many minions have crashed may be given up
	longInterval   = 4                      // jobs from one with tasks of seconds to the next, with --reborn; every other one lasts
	settleTimeout  = 40 * time.Second       // for accepted jobs to complete after the load has ended
)

// call sends one request about a job to an entry. Status 0 means that no response
// arrived.
func (c *client) call(e *entry, method, service, id, key, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callerAddr+standin.Prefix(service)+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = standin.Host
	if key != "" {
		r.Header.Set(standin.KeyHeader, key)
	}
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// submit submits a job and retries at other entries, as clients do.
func (c *client) submit(id string, j *job, first, tries int) {
	result := rejected
	for i := range tries {
		e := c.cluster.entries[(first+i)%len(c.cluster.entries)]
		code, _ := c.call(e, http.MethodPost, j.service, id, c.cluster.key(j.Account), j.JSON())
		if code == http.StatusOK {
			result = accepted
			break
		}
		if code != http.StatusUnauthorized && code != http.StatusServiceUnavailable && code != http.StatusTooManyRequests {
			result = unknown
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	j.outcome = result
	c.jobs[id] = j
}

// cancel cancels an accepted job.
func (c *client) cancel(id string, j *job, e *entry) {
	code, _ := c.call(e, http.MethodDelete, j.service, id, c.cluster.key(j.Account), "")
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case j.outcome != accepted:
	case code == http.StatusOK:
		j.outcome = cancelled
	default:
		j.outcome = unknown // the cancellation may or may not have taken effect
	}
}

// runSeed runs the load and the faults of one seed and verifies the outcome.
func runSeed(opt options, seed int64) (*result, error) {
	s, err := newCluster(opt, seed)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go s.refreshMinionRows(ctx)
	var wg sync.WaitGroup
	for _, e := range s.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := e.supervise(opt.Program); err != nil {
				fmt.Println("soak:", err)
			}
		}()
	}
	defer wg.Wait()
	defer func() {
		for _, e := range s.entries {
			e.shutDown()
		}
		for _, m := range s.minions {
			if p, ok := m.(*process); ok {
				p.shutDown()
			}
		}
	}()
	c := &client{cluster: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, jobs: map[string]*job{}}
	time.Sleep(time.Second)
	res := &result{seed: seed}
	s.runLoad(c, res)
	s.verify(c, res)
	return res, nil
}

// runLoad submits jobs while faults are injected.
func (s *cluster) runLoad(c *client, res *result) {
	end := time.Now().Add(time.Duration(s.opt.Seconds) * time.Second)
	var wg sync.WaitGroup
	next := time.Now().Add(time.Second)
	kind, left := 0, 0
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", n+1)
		j := s.nextJob(n)
		first, cancelAfter := s.rng.Intn(len(s.entries)), s.rng.Intn(10) == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.submit(id, j, first, 4)
			if cancelAfter {
				c.cancel(id, j, s.entries[first])
			}
			if s.opt.Accounts && n%trespassInterval == 0 {
				c.trespass(id, j, s.entries[first])
			}
		}()
		if time.Now().After(next) {
			if left == 0 {
				kind, left = s.rng.Intn(faultKinds), 1
				if s.opt.Reborn && s.rng.Intn(2) == 0 && s.mayRestart() {
					kind = restartKind
				}
				if s.rng.Intn(4) == 0 {
					left += 1 + s.rng.Intn(3)
				}
			}
			left--
			name, length := s.injectFault(kind)
			res.faults = append(res.faults, name)
			next = time.Now().Add(length / 2) // consecutive faults overlap
			if left > 0 {
				next = time.Now().Add(seriesInterval)
			}
		}
		time.Sleep(submitInterval)
	}
	wg.Wait()
}

// nextJob returns job n. With --deadly, every deadlyInterval-th job is deadly:
// plain ones, gangs and ones that last, with some or all of their tasks. As many
// others last.
func (s *cluster) nextJob(n int) *job {
	j := &job{service: standin.Services[(n+n/deadlyInterval)%len(standin.Services)]}
	j.Job = standin.Job{Steps: 1 + s.rng.Intn(2), Tasks: 1 + s.rng.Intn(4), Millis: 20 + s.rng.Intn(400), CPU: 500 + 500*s.rng.Intn(3)}
	j.Gang = s.rng.Intn(8) == 0 && !s.opt.Processes // which do not know of each other
	if s.opt.Accounts {
		j.Account = accountNames[min(n%(len(accountNames)+1), len(accountNames)-1)]
	}
	if s.opt.Reborn && n%longInterval == 0 {
		j.Gang, j.Steps, j.Millis, j.CPU = false, 1, 3000+s.rng.Intn(4000), lastingCPU
		if j.Lasting = n%(2*longInterval) == 0; j.Lasting {
			j.CPU = lastingCPU / 2
		}
	}
	if !s.opt.Deadly {
		return j
	}
	switch n % deadlyInterval {
	case deadlyInterval / 4:
		kind := n / deadlyInterval % 3
		j.Gang, j.Lasting = kind == 1, kind == 2
		if j.Lasting {
			j.Steps = 1
		}
		j.Deadly = 1 + s.rng.Intn(j.Tasks)
		j.Millis += crashTime
	case deadlyInterval / 2:
		j.Gang, j.Lasting, j.Steps, j.CPU = false, true, 1, lastingCPU
	}
	if j.Lasting && s.opt.Accounts {
		j.Account = accountNames[0] // which has no limit that runs for ever could fill
	}
	return j
}

// injectFault injects a fault of a kind below faultKinds that ends by itself, and
// returns its name and duration. Where it strikes is random.
func (s *cluster) injectFault(kind int) (string, time.Duration) {
	length := time.Duration(300+s.rng.Intn(2500)) * time.Millisecond
	e := s.entries[s.rng.Intn(len(s.entries))]
	i := s.rng.Intn(len(s.minions))
	proxyFault := proxyMode(1 + s.rng.Intn(int(holding)-1))
	after := func(f func()) { time.AfterFunc(length, f) }
	switch kind {
	case 0:
		e.signal(syscall.SIGKILL)
		return "kill " + e.name, length
	case 1:
		e.signal(syscall.SIGSTOP)
		after(func() { e.signal(syscall.SIGCONT) })
		return "pause " + e.name, length
	case 2:
		e.signal(syscall.SIGTERM)
		return "stop " + e.name, length
	case 3:
		e.signal(syscall.SIGHUP)
		s.writeConfig()
		return "reload " + e.name, length
	case 4, 5:
		e.storeProxy.setMode(proxyFault)
		after(func() { e.storeProxy.setMode(passThrough) })
		return fmt.Sprintf("store %s for %s", modeNames[proxyFault], e.name), length
	case 6:
		if s.isRestarted(i) {
			return fmt.Sprintf("minion %d restarts already", i), 0
		}
		s.minionProxies[i].setMode(proxyFault)
		after(func() {
			if !s.isRestarted(i) {
				s.minionProxies[i].setMode(passThrough)
			}
		})
		return fmt.Sprintf("minion %d %s", i, modeNames[proxyFault]), length
	case 7:
		s.minionProxies[i].resetConns() // a crash also breaks the connections
		s.minions[i].Crash()
		return fmt.Sprintf("minion %d crashes", i), length
	case 8:
		s.store.TrimHistory()
		return "history forgotten", length
	case 9:
		cpu := int64(fullCapacity * s.rng.Intn(4) / 4)
		s.minions[i].SetCapacity(cpu)
		time.AfterFunc(length+shrinkTime, func() { s.minions[i].SetCapacity(fullCapacity) })
		return fmt.Sprintf("minion %d shrinks to %d", i, cpu), length
	case restartKind:
		return s.restartAndCut(i), length
	case 10:
		kind := s.writeOddRow(i)
		return fmt.Sprintf("odd row %d of minion %d", kind, i), length
	}
	f := []tabletest.Fault{tabletest.CallRejected, tabletest.ReplyLost, tabletest.RequestLost, tabletest.RequestDelayed}[s.rng.Intn(4)]
	odds := []float64{0.3, 1}[s.rng.Intn(2)]
	s.setStoreFault(f, odds)
	after(func() { s.setStoreFault(tabletest.NoFault, 0); s.store.ApplyDelayed() })
	return fmt.Sprintf("store fate %d for %.0f %%", f, 100*odds), length
}

// verify waits for all accepted jobs to be settled and records every violated
// guarantee.
func (s *cluster) verify(c *client, res *result) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && !c.allSettled(); {
		time.Sleep(200 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	broken, started := s.judge.Report()
	crashes, running := s.judge.Crashes(), s.judge.Running()
	res.violations = append(broken, c.violations...)
	for id, j := range c.jobs {
		res.starts += started[id]
		res.crashes = max(res.crashes, crashes[id])
		state := c.jobState(id, j)
		switch j.outcome {
		case accepted:
			res.accepted++
			if j.Deadly > 0 {
				res.deadly++
			}
			if !j.isSettled(state, crashes[id], running[id]) && (j.Deadly == 0 || crashes[id] >= minCrashes || !j.isUnfinished(state)) {
				res.violations = append(res.violations, fmt.Sprintf("job %s %+v was accepted and is %q, %d minions crashed under a task", id, j.Job, state, crashes[id]))
			}
		case cancelled:
			res.cancelled++
			if !strings.Contains(state, "canceled") && !j.isSettled(state, crashes[id], running[id]) {
				res.violations = append(res.violations, fmt.Sprintf("job %s was cancelled and is %q", id, state))
			}
		case rejected:
			res.rejected++
			if started[id] > 0 {
				res.violations = append(res.violations, fmt.Sprintf("job %s was rejected and has run", id))
			}
		case unknown:
			res.unknown++
		}
	}
}

// isSettled reports whether a job that was accepted has come to where it must: it
// is completed, all its tasks last, or it has failed since it can't be done.
func (j *job) isSettled(state string, crashes, running int) bool {
	switch {
	case strings.Contains(state, "failed"):
		return crashes >= minCrashes
	case j.Deadly > 0:
		return false
	case j.Lasting:
		return strings.Contains(state, "active") && running == j.Tasks
	}
	return strings.Contains(state, "completed")
}

func (j *job) isUnfinished(state string) bool {
	return strings.Contains(state, "queued") || strings.Contains(state, "active")
}

func (c *client) jobState(id string, j *job) string {
	code, body := 0, ""
	for i := 0; i < len(c.cluster.entries) && code != http.StatusOK && code != http.StatusGone; i++ {
		code, body = c.call(c.cluster.entries[i], http.MethodGet, j.service, id, c.cluster.key(j.Account), "")
	}
	return body
}

// allSettled reports whether every accepted job is settled.
func (c *client) allSettled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	crashes, running := c.cluster.judge.Crashes(), c.cluster.judge.Running()
	for id, j := range c.jobs {
		if j.outcome == accepted && !j.isSettled(c.jobState(id, j), crashes[id], running[id]) {
			return false
		}
	}
	return true
}
