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
	faults     []string
	violations []string
}

func (r *result) summary() string {
	return fmt.Sprintf("seed %d: %d accepted, %d rejected, %d unknown, %d cancelled; %d starts; faults: %s; broken promises: %d",
		r.seed, r.accepted, r.rejected, r.unknown, r.cancelled, r.starts, strings.Join(r.faults, ", "), len(r.violations))
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

	mu   sync.Mutex
	jobs map[string]outcome
}

const (
	callTimeout    = 4 * time.Second
	submitInterval = 60 * time.Millisecond
	settleTimeout  = 40 * time.Second // for accepted jobs to complete after the load has ended
)

// call sends one request to an entry. Status 0 means that no response arrived.
func (c *client) call(e *entry, method, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.callerAddr+standin.Prefix+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = standin.Host
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
func (c *client) submit(id, body string, first, tries int) {
	result := rejected
	for i := range tries {
		code, _ := c.call(c.cluster.entries[(first+i)%len(c.cluster.entries)], http.MethodPost, id, body)
		if code == http.StatusOK {
			result = accepted
			break
		}
		if code != http.StatusServiceUnavailable && code != http.StatusTooManyRequests {
			result = unknown
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = result
}

// cancel cancels an accepted job.
func (c *client) cancel(id string, e *entry) {
	code, _ := c.call(e, http.MethodDelete, id, "")
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.jobs[id] != accepted:
	case code == http.StatusOK:
		c.jobs[id] = cancelled
	default:
		c.jobs[id] = unknown // the cancellation may or may not have taken effect
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
	}()
	c := &client{cluster: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, jobs: map[string]outcome{}}
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
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", n+1)
		body := standin.Job(1+s.rng.Intn(2), 1+s.rng.Intn(4), 20+s.rng.Intn(400), 500+500*s.rng.Intn(3))
		first, cancelAfter := s.rng.Intn(len(s.entries)), s.rng.Intn(10) == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.submit(id, body, first, 4)
			if cancelAfter {
				c.cancel(id, s.entries[first])
			}
		}()
		if time.Now().After(next) {
			name, length := s.injectFault()
			res.faults = append(res.faults, name)
			next = time.Now().Add(length / 2) // consecutive faults overlap
		}
		time.Sleep(submitInterval)
	}
	wg.Wait()
}

// injectFault injects a random fault that ends by itself, and returns its name
// and duration.
func (s *cluster) injectFault() (string, time.Duration) {
	length := time.Duration(300+s.rng.Intn(2500)) * time.Millisecond
	e := s.entries[s.rng.Intn(len(s.entries))]
	i := s.rng.Intn(len(s.minions))
	proxyFault := proxyMode(1 + s.rng.Intn(int(modeCount)-1))
	after := func(f func()) { time.AfterFunc(length, f) }
	switch s.rng.Intn(10) {
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
		s.minionProxies[i].setMode(proxyFault)
		after(func() { s.minionProxies[i].setMode(passThrough) })
		return fmt.Sprintf("minion %d %s", i, modeNames[proxyFault]), length
	case 7:
		s.minionProxies[i].resetConns() // a crash also breaks the connections
		s.minions[i].Crash()
		return fmt.Sprintf("minion %d crashes", i), length
	case 8:
		s.store.TrimHistory()
		return "history forgotten", length
	}
	f := []tabletest.Fault{tabletest.CallRejected, tabletest.ReplyLost, tabletest.RequestLost, tabletest.RequestDelayed}[s.rng.Intn(4)]
	odds := []float64{0.3, 1}[s.rng.Intn(2)]
	s.setStoreFault(f, odds)
	after(func() { s.setStoreFault(tabletest.NoFault, 0); s.store.ApplyDelayed() })
	return fmt.Sprintf("store fate %d for %.0f %%", f, 100*odds), length
}

// verify waits for all accepted jobs to complete and records every violated
// guarantee.
func (s *cluster) verify(c *client, res *result) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && !c.allCompleted(); {
		time.Sleep(200 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	broken, started := s.ledger.Report()
	res.violations = broken
	for id, out := range c.jobs {
		res.starts += started[id]
		state := c.jobState(id)
		switch out {
		case accepted:
			res.accepted++
			if !strings.Contains(state, "completed") {
				res.violations = append(res.violations, fmt.Sprintf("job %s was accepted and is %q", id, state))
			}
		case cancelled:
			res.cancelled++
			if !strings.Contains(state, "canceled") && !strings.Contains(state, "completed") {
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

func (c *client) jobState(id string) string {
	code, body := 0, ""
	for i := 0; i < len(c.cluster.entries) && code != http.StatusOK && code != http.StatusGone; i++ {
		code, body = c.call(c.cluster.entries[i], http.MethodGet, id, "")
	}
	return body
}

// allCompleted reports whether every accepted job has completed.
func (c *client) allCompleted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, out := range c.jobs {
		if out == accepted && !strings.Contains(c.jobState(id), "completed") {
			return false
		}
	}
	return true
}
