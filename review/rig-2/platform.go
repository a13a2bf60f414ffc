package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
	"jasminestep/internal/work"
	"jasminestep/platform/standin"
)

// Limits of the store, as the protocol page has them.
const (
	maxRowBytes  = 65536
	maxTxEntries = 100
	maxTxBytes   = 1 << 20
)

// Minions of the deployment.
const (
	minionCount    = 16
	minionCapacity = 16_000                  // thousandths of a core
	beatInterval   = 1500 * time.Millisecond // between two rows of a minion
)

// service is the service that all cases use.
const service = "soak"

// platform is the simulated platform: its store and its minions.
type platform struct {
	rows    *tabletest.Store
	ledger  *standin.Ledger
	workers []*worker
	addrs   []string // of the workers
	rec     *record
	address string // of the store

	mu     sync.Mutex
	latest map[string]placement // newest accepted start, by task
	done   map[string]bool      // tasks that a minion has listed as done
	ends   map[string]int       // number of these, by job

	failed   map[string]bool // runs that a minion has listed as failed
	failures map[string]int  // number of these, by task
}

// placement is where a task was started.
type placement struct {
	attempt int
	worker  *worker
}

// limitedStore enforces the limits of the store before its rows are touched.
type limitedStore struct {
	next standin.Store
	rec  *record
}

// txRow is a row of a transaction: one that is written has a value.
type txRow struct {
	Table string `json:"table"`
	Value []byte `json:"value"`
}

// ServeHTTP implements http.Handler. A transaction beyond a limit has no effect.
func (s limitedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/rows-tx" {
		s.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has gone
	}
	if why := overLimit(body); why != "" {
		s.rec.count("store: transaction refused: " + why)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.next.ServeHTTP(w, r)
}

// overLimit returns which limit a transaction exceeds, or an empty string.
func overLimit(body []byte) string {
	if len(body) > maxTxBytes {
		return "more than 1 MB"
	}
	var lists map[string][]txRow // conditions, writes and deletions
	if err := json.Unmarshal(body, &lists); err != nil {
		return "cannot be read"
	}
	entries := 0
	for _, rows := range lists {
		entries += len(rows)
		for _, r := range rows {
			if len(r.Value) > maxRowBytes {
				return fmt.Sprintf("row of table %s over %d bytes", r.Table, maxRowBytes)
			}
		}
	}
	if entries > maxTxEntries {
		return fmt.Sprintf("more than %d entries", maxTxEntries)
	}
	return ""
}

// startPlatform starts the store and the minions.
func startPlatform(ctx context.Context, rec *record) (*platform, error) {
	p := &platform{rows: &tabletest.Store{}, ledger: standin.NewLedger(1), rec: rec, latest: map[string]placement{}, done: map[string]bool{}, ends: map[string]int{}, failed: map[string]bool{}, failures: map[string]int{}}
	var err error
	if p.address, err = serveOn(limitedStore{standin.Store{Rows: p.rows}, rec}); err != nil {
		return nil, err
	}
	for i := range minionCount {
		id := fmt.Sprintf("minion-%04d", i)
		w := &worker{id: id, minion: p.ledger.AddMinion(id, minionCapacity), rec: rec, placed: p.place, ended: p.end}
		addr, err := serveOn(w)
		if err != nil {
			return nil, err
		}
		p.workers, p.addrs = append(p.workers, w), append(p.addrs, addr)
	}
	p.put(standin.ConfigTable, standin.ConfigRow, standin.Config(1))
	p.beat(1)
	go func() {
		for n := 2; ctx.Err() == nil; n++ {
			time.Sleep(beatInterval)
			p.beat(n)
		}
	}()
	return p, nil
}

// beat writes the rows of the minions.
func (p *platform) beat(n int) {
	for i, w := range p.workers {
		if id, value, up := w.minion.Row(service, p.addrs[i], n); up && w.cutEnd() == nil {
			p.put(standin.MinionTable, id, value)
		}
	}
}

// place notes where a task was started.
func (p *platform) place(task string, attempt int, w *worker) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if attempt > p.latest[task].attempt {
		p.latest[task] = placement{attempt, w}
	}
	p.rec.printf("%s starts %s, attempt %d", w.id, task, attempt)
}

// end notes an end that a minion has listed, of a run named by task and attempt.
func (p *platform) end(run, how string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	task, _, _ := strings.Cut(run, "/")
	job, _, _ := strings.Cut(task, ".")
	switch {
	case how == string(work.Done) && !p.done[task]:
		p.done[task] = true
		p.ends[job]++
	case how == string(work.Failed) && !p.failed[run]:
		p.failed[run] = true
		p.failures[task]++
	default:
		return
	}
	p.rec.printf("%s is listed as %s", run, how)
}

// failuresOf is how many runs of a task minions have listed as failed.
func (p *platform) failuresOf(task string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.failures[task]
}

// endsOf is how many tasks of a job minions have listed as done.
func (p *platform) endsOf(job string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ends[job]
}

// placementOf is where a task was started last.
func (p *platform) placementOf(task string) placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.latest[task]
}

func (p *platform) put(tab, name string, value []byte) {
	tx := table.Tx{Put: []table.Row{{Key: table.Key{Table: tab, Name: name}, Value: value}}}
	if _, err := p.rows.Do(context.Background(), tx); err != nil {
		p.rec.printf("row %s/%s not written: %v", tab, name, err)
	}
}

// serveOn serves h on a free loopback port until this process exits.
func serveOn(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen: %w", err)
	}
	go func() { _ = http.Serve(l, h) }() // ends with this process
	return l.Addr().String(), nil
}
