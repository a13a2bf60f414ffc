package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"jasminestep/internal/caller"
	"jasminestep/internal/transport"
	"jasminestep/pkg/operator"
)

// Balancer simulates the platform's load balancer. It sends requests to entries
// that pass their health check and retries on another one when a request fails.
type Balancer struct {
	cli     *http.Client
	mu      sync.Mutex
	entries []Endpoints
	healthy map[string]bool
}

// Endpoints are the addresses of one entry.
type Endpoints struct {
	Zone, Caller, Operator string
}

// NewBalancer returns a balancer that checks the health of the entries until ctx
// is done.
func NewBalancer(ctx context.Context, entries []Endpoints) *Balancer {
	b := &Balancer{cli: transport.Client(nil, 256), entries: entries, healthy: map[string]bool{}}
	b.cli.Timeout = 40 * time.Second
	go func() {
		for ctx.Err() == nil {
			b.check(ctx)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	return b
}

func (b *Balancer) check(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range b.entries {
		wg.Add(1)
		go func() {
			defer wg.Done()
			cctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			req, _ := http.NewRequestWithContext(cctx, http.MethodGet, "http://"+f.Caller+"/health", nil) // the URL is always valid
			resp, err := b.cli.Do(req)
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			b.mu.Lock()
			b.healthy[f.Caller] = ok
			b.mu.Unlock()
		}()
	}
	wg.Wait()
}

// Pick returns a random healthy entry, or any entry if none is healthy.
func (b *Balancer) Pick() Endpoints {
	b.mu.Lock()
	defer b.mu.Unlock()
	var up []Endpoints
	for _, f := range b.entries {
		if b.healthy[f.Caller] {
			up = append(up, f)
		}
	}
	if len(up) == 0 {
		up = b.entries
	}
	return up[rand.IntN(len(up))]
}

// RequestStats counts the outcomes of requests as seen by callers.
type RequestStats struct {
	mu                                 sync.Mutex
	Requests, Answered, Unrun, Unknown int
	Reasons                            map[string]int // by outcome and reason, for requests that were not answered
	Latencies                          []time.Duration
	reportedUnrun                      map[string]int // by nonce, of requests reported as not run: earlier tries that may have run
}

// Request sends one request through a healthy entry and checks the response.
// When the connection to the entry fails, the request is retried; one that must
// not run twice carries an idempotency key.
func (b *Balancer) Request(l *Ledger, t *RequestStats, pool, member string, once bool, ms float64, size int) {
	nonce := uuid.Must(uuid.NewV7()).String()
	began := time.Now()
	const tries = 4
	outcome, why := "unknown", "transport"
	broken := 0 // tries whose connection failed, so that they may have run
	for try := range tries {
		f := b.Pick()
		method, onceParam := http.MethodGet, ""
		if once {
			method, onceParam = http.MethodPost, "&once=1"
		}
		url := fmt.Sprintf("http://%s/call/%s?n=%s&ms=%g&size=%d%s", f.Caller, pool, nonce, ms, size, onceParam)
		req, err := http.NewRequest(method, url, bytes.NewReader(nil))
		if err != nil {
			panic(err) // the URL is always valid
		}
		req.Header.Set(caller.HeaderMember, member)
		req.Header.Set(caller.HeaderRequest, nonce)
		req.Header.Set(caller.HeaderDeadline, "8000")
		if once {
			req.Header.Set(caller.HeaderKey, nonce)
		}
		resp, err := b.cli.Do(req)
		if err != nil {
			why = "transport"
			broken++
			time.Sleep(time.Duration(20<<try) * time.Millisecond)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			why = "transport"
			broken++
			continue
		}
		outcome, why = resp.Header.Get(caller.HeaderOutcome), resp.Header.Get(caller.HeaderReason)
		if got := resp.Header.Get(caller.HeaderRequest); got != nonce || outcome == "answered" && string(body) != ResponseBody(nonce, size) {
			l.AddCrossed("request %s got an answer to %q of %d bytes, want %d", nonce, got, len(body), size)
		}
		break
	}
	if outcome == "answered" && l.RequestRuns(nonce) == 0 {
		l.AddUntrue("request %s was answered and never ran", nonce)
	}
	if once {
		broken = 0 // the home of its key knows whether an earlier try has run
	}
	t.record(nonce, outcome, why, broken, time.Since(began))
}

// record records the outcome of a request. It is that of the last try; broken is how
// many earlier ones may have run without its entry knowing.
func (t *RequestStats) record(nonce, outcome, why string, broken int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.Reasons == nil {
		t.Reasons, t.reportedUnrun = map[string]int{}, map[string]int{}
	}
	t.Requests++
	switch outcome {
	case "answered":
		t.Answered++
		t.Latencies = append(t.Latencies, took)
		return
	case "unrun":
		t.Unrun++
		t.reportedUnrun[nonce] = broken
	default:
		t.Unknown++
	}
	t.Reasons[outcome+" "+why]++
}

// CheckUnrun reports to the ledger every request that was reported as not run but
// did run, more often than by its broken tries. It is called once all requests have
// ended.
func (t *RequestStats) CheckUnrun(l *Ledger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for nonce, broken := range t.reportedUnrun {
		if n := l.RequestRuns(nonce); n > broken {
			l.AddUntrue("request %s was said not to have run and ran %d times", nonce, n)
		}
	}
}

// Call sends a request to the operator API of f, decodes the response into out
// and returns the status code.
func (b *Balancer) Call(f Endpoints, method, path, member string, in, out any) (int, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, "http://"+f.Operator+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set(caller.HeaderMember, member)
	resp, err := b.cli.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK {
		return resp.StatusCode, fmt.Errorf("%d: %s", resp.StatusCode, got)
	}
	if out == nil {
		return resp.StatusCode, nil
	}
	return resp.StatusCode, json.Unmarshal(got, out)
}

// RandomJob returns the nth job of a random mix: gangs, jobs that need
// accelerators, urgent jobs and ordinary jobs of several tasks.
func RandomJob(rnd *rand.Rand, s *Site, n int) operator.Job {
	j := operator.Job{
		Name: fmt.Sprintf("job-%d", n), Member: s.Members[rnd.IntN(len(s.Members))],
		Worth: float64(1 + rnd.IntN(5)),
	}
	run := 50 + rnd.IntN(1200)
	j.Command = []string{"run", fmt.Sprintf("%dms", run)}
	j.Runtime = int64(run) * int64([]int{1, 1, 10, 2}[rnd.IntN(4)]) // the declared run time is often far too long
	j.Family = fmt.Sprintf("f%d", run/200)
	switch k := rnd.IntN(20); {
	case k == 0:
		j.Kind, j.Tasks = operator.Gang, 2+rnd.IntN(6)
		j.Size = operator.Size{CPU: 4000, Memory: 8 << 10, Accel: 1}
	case k == 1:
		j.Tasks, j.Size = 1, operator.Size{CPU: 8000, Memory: 16 << 10, Accel: int64(1 + rnd.IntN(4))}
	case k == 2:
		j.Urgency, j.Tasks, j.Size = operator.Urgent, 1, operator.Size{CPU: 1000, Memory: 1 << 10}
	default:
		j.Tasks, j.Size = 1+rnd.IntN(16), operator.Size{CPU: int64(250 * (1 + rnd.IntN(12))), Memory: int64(512 * (1 + rnd.IntN(8)))}
	}
	return j
}
