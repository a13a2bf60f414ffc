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

// result is what one seed has shown.
type result struct {
	seed      int64
	accepted  int
	rejected  int
	unknown   int
	cancelled int
	starts    int
	faults    []string
	broken    []string
}

func (r *result) line() string {
	return fmt.Sprintf("seed %d: %d accepted, %d rejected, %d unknown, %d cancelled; %d starts; faults: %s; broken promises: %d",
		r.seed, r.accepted, r.rejected, r.unknown, r.cancelled, r.starts, strings.Join(r.faults, ", "), len(r.broken))
}

// outcome is what a client knows of its job.
type outcome int

const (
	rejected outcome = iota // every try was told that the job never runs
	unknown
	accepted
	cancelled
)

// client is a client with its connections.
type client struct {
	s    *site
	http *http.Client

	mu   sync.Mutex
	jobs map[string]outcome
}

const (
	callTimeout = 4 * time.Second
	submitGap   = 60 * time.Millisecond
	settleTime  = 40 * time.Second // after the faults, for everything to end
)

// call makes one request at an entry; status 0 is no answer.
func (c *client) call(e *entry, method, id, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.caller+standin.Prefix+id, strings.NewReader(body))
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

// submit hands a job in, trying other entries as clients do.
func (c *client) submit(id, body string, first, tries int) {
	out := rejected
	for i := range tries {
		code, _ := c.call(c.s.entries[(first+i)%len(c.s.entries)], http.MethodPost, id, body)
		if code == http.StatusOK {
			out = accepted
			break
		}
		if code != http.StatusServiceUnavailable && code != http.StatusTooManyRequests {
			out = unknown
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[id] = out
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
		c.jobs[id] = unknown // it may be cancelled, or not
	}
}

// soak plays one seed.
func soak(opt options, seed int64) (*result, error) {
	s, err := newSite(opt, seed)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go s.beat(ctx)
	var wg sync.WaitGroup
	for _, e := range s.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if err := e.keep(opt.Program); err != nil {
				fmt.Println("soak:", err)
			}
		}()
	}
	defer wg.Wait()
	defer func() {
		for _, e := range s.entries {
			e.finish()
		}
	}()
	c := &client{s: s, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}, jobs: map[string]outcome{}}
	time.Sleep(time.Second)
	res := &result{seed: seed}
	s.play(c, res)
	s.settle(c, res)
	return res, nil
}

// play submits jobs while faults come.
func (s *site) play(c *client, res *result) {
	end := time.Now().Add(time.Duration(s.opt.Seconds) * time.Second)
	var wg sync.WaitGroup
	next := time.Now().Add(time.Second)
	for n := 0; time.Now().Before(end); n++ {
		id := fmt.Sprintf("%016x", n+1)
		body := standin.Job(1+s.rng.Intn(2), 1+s.rng.Intn(4), 20+s.rng.Intn(400), 500+500*s.rng.Intn(3))
		first, drop := s.rng.Intn(len(s.entries)), s.rng.Intn(10) == 0
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.submit(id, body, first, 4)
			if drop {
				c.cancel(id, s.entries[first])
			}
		}()
		if time.Now().After(next) {
			name, length := s.fault()
			res.faults = append(res.faults, name)
			next = time.Now().Add(length / 2) // so that they overlap
		}
		time.Sleep(submitGap)
	}
	wg.Wait()
}

// fault brings one fault about, which ends by itself, and names it.
func (s *site) fault() (string, time.Duration) {
	length := time.Duration(300+s.rng.Intn(2500)) * time.Millisecond
	e := s.entries[s.rng.Intn(len(s.entries))]
	i := s.rng.Intn(len(s.minions))
	m := mode(1 + s.rng.Intn(int(modes)-1))
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
		s.configure()
		return "reload " + e.name, length
	case 4, 5:
		e.path.set(m)
		after(func() { e.path.set(open) })
		return fmt.Sprintf("store %s for %s", modeNames[m], e.name), length
	case 6:
		s.paths[i].set(m)
		after(func() { s.paths[i].set(open) })
		return fmt.Sprintf("minion %d %s", i, modeNames[m]), length
	case 7:
		s.paths[i].crash() // its connections end with it
		s.minions[i].Crash()
		return fmt.Sprintf("minion %d crashes", i), length
	case 8:
		s.rows.TrimHistory()
		return "history forgotten", length
	}
	f := []tabletest.Fault{tabletest.CallRejected, tabletest.ReplyLost, tabletest.RequestLost, tabletest.RequestDelayed}[s.rng.Intn(4)]
	odds := []float64{0.3, 1}[s.rng.Intn(2)]
	s.harmStore(f, odds)
	after(func() { s.harmStore(tabletest.NoFault, 0); s.rows.ApplyDelayed() })
	return fmt.Sprintf("store fate %d for %.0f %%", f, 100*odds), length
}

// settle waits for everything to end, and judges.
func (s *site) settle(c *client, res *result) {
	for end := time.Now().Add(settleTime); time.Now().Before(end) && !c.over(); {
		time.Sleep(200 * time.Millisecond)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	broken, started := s.ledger.Report()
	res.broken = broken
	for id, out := range c.jobs {
		res.starts += started[id]
		state := c.state(id)
		switch out {
		case accepted:
			res.accepted++
			if !strings.Contains(state, "completed") {
				res.broken = append(res.broken, fmt.Sprintf("job %s was accepted and is %q", id, state))
			}
		case cancelled:
			res.cancelled++
			if !strings.Contains(state, "canceled") && !strings.Contains(state, "completed") {
				res.broken = append(res.broken, fmt.Sprintf("job %s was cancelled and is %q", id, state))
			}
		case rejected:
			res.rejected++
			if started[id] > 0 {
				res.broken = append(res.broken, fmt.Sprintf("job %s was rejected and has run", id))
			}
		case unknown:
			res.unknown++
		}
	}
}

func (c *client) state(id string) string {
	code, body := 0, ""
	for i := 0; i < len(c.s.entries) && code != http.StatusOK && code != http.StatusGone; i++ {
		code, body = c.call(c.s.entries[i], http.MethodGet, id, "")
	}
	return body
}

// over says that every accepted job has ended.
func (c *client) over() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, out := range c.jobs {
		if out == accepted && !strings.Contains(c.state(id), "completed") {
			return false
		}
	}
	return true
}
