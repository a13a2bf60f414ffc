package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
	"jasminestep/internal/work"
)

// fleet is a set of minions in memory. Runs take the time that their spec says.
type fleet struct {
	mu      sync.Mutex
	minions map[string]*fakeMinion
	twice   []string // promises that were broken
	starts  int
}

type fakeMinion struct {
	born     int64
	began    time.Time
	token    int64
	until    int64
	n        int64
	listed   int64 // last end of the last report
	reported time.Time
	runs     map[string]*fakeRun
	ends     []work.End
	room     int64
	wake     chan struct{}
}

// staleAck is how old a report may be when its ends are acknowledged.
const staleAck = 250 * time.Millisecond

type fakeRun struct {
	id      work.TaskID
	attempt int
	cpu     int64
	over    time.Time
}

func newFleet(n int, room int64) *fleet {
	f := &fleet{minions: map[string]*fakeMinion{}}
	for i := range n {
		f.minions[fmt.Sprintf("m%d", i)] = &fakeMinion{born: time.Now().UnixMilli(), began: time.Now(), runs: map[string]*fakeRun{}, room: room, wake: make(chan struct{})}
	}
	return f
}

func (m *fakeMinion) clock() int64 { return time.Since(m.began).Milliseconds() }

// tick ends what is over.
func (m *fakeMinion) tick() {
	for k, r := range m.runs {
		how := work.Done
		switch {
		case m.clock() >= m.until:
			how = work.LeaseExpired
		case time.Now().Before(r.over):
			continue
		}
		delete(m.runs, k)
		m.n++
		m.ends = append(m.ends, work.End{N: m.n, Task: r.id, Attempt: r.attempt, How: how})
	}
}

// Start implements Minions. A spec is the run time.
func (f *fleet) Start(_ context.Context, to *work.Minion, s work.Start) (work.Refusal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.minions[to.ID]
	m.tick()
	if s.Token < m.token {
		return work.Fenced, nil
	}
	m.token = s.Token
	if r := m.runs[s.Task.String()]; r != nil && r.attempt == s.Attempt {
		return work.Accepted, nil
	}
	for id, o := range f.minions {
		o.tick()
		if o.runs[s.Task.String()] != nil {
			f.twice = append(f.twice, fmt.Sprintf("%s runs on %s and starts on %s", s.Task, id, to.ID))
		}
	}
	d, err := time.ParseDuration(s.Spec)
	if err != nil {
		return work.Other, nil
	}
	f.starts++
	m.runs[s.Task.String()] = &fakeRun{id: s.Task, attempt: s.Attempt, over: time.Now().Add(d)}
	m.until = max(m.until, s.Until)
	return work.Accepted, nil
}

// Stop implements Minions.
func (f *fleet) Stop(_ context.Context, to *work.Minion, t work.TaskID, attempt int, token int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.minions[to.ID]
	if r := m.runs[t.String()]; r != nil && r.attempt == attempt && token >= m.token {
		delete(m.runs, t.String())
		m.n++
		m.ends = append(m.ends, work.End{N: m.n, Task: t, Attempt: attempt, How: work.Stopped})
	}
	return nil
}

// Renew implements Minions.
func (f *fleet) Renew(ctx context.Context, to *work.Minion, token, until, seen int64, wait time.Duration) (work.Report, bool, error) {
	for end := time.Now().Add(wait); ; {
		rep, fenced := f.report(to.ID, token, until, seen)
		seen = 0
		if fenced {
			return rep, true, errors.New("fenced")
		}
		if len(rep.Ended) > 0 || time.Now().After(end) {
			return rep, false, nil
		}
		pause(ctx, 5*time.Millisecond)
		if ctx.Err() != nil {
			return rep, false, ctx.Err()
		}
	}
}

func (f *fleet) report(id string, token, until, seen int64) (work.Report, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.minions[id]
	if token < m.token {
		return work.Report{}, true
	}
	m.token = token
	if seen > m.listed {
		f.twice = append(f.twice, fmt.Sprintf("%s is to forget end %d, which its last report did not list: another life may have it", id, seen))
	}
	if age := time.Since(m.reported); seen > 0 && age > staleAck {
		f.twice = append(f.twice, fmt.Sprintf("%s is to forget end %d %v after the report: another life may have it by now", id, seen, age))
	}
	m.until = max(m.until, until)
	m.tick()
	kept := m.ends[:0:0]
	for _, e := range m.ends {
		if e.N > seen {
			kept = append(kept, e)
		}
	}
	m.ends = kept
	m.listed, m.reported = 0, time.Now()
	for _, e := range kept {
		m.listed = e.N
	}
	rep := work.Report{Born: m.born, Clock: m.clock(), Ended: append([]work.End(nil), kept...)}
	for _, r := range m.runs {
		rep.Running = append(rep.Running, work.Run{Task: r.id, Attempt: r.attempt, Percent: int(m.clock()/20) % 100})
	}
	return rep, false
}

func (f *fleet) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.minions {
		n += len(m.runs)
	}
	return n
}

// testWire is a wire of the tests' own: rows and bodies are the product's types.
func testWire() Codec {
	return Codec{
		ConfigTable: "conf", ConfigRow: "now", MinionTable: "minion", DeadlineHeader: "Wait",
		DecodeConfig: func(b []byte) (*work.Config, error) { c := &work.Config{}; return c, json.Unmarshal(b, c) },
		DecodeMinion: func(id string, b []byte) (work.Minion, bool) {
			m := work.Minion{}
			ok := json.Unmarshal(b, &m) == nil
			m.ID = id
			return m, ok
		},
		DecodeJob:     func(b []byte) (*work.Job, error) { j := &work.Job{}; return j, json.Unmarshal(b, j) },
		EncodeState:   func(s string) any { return s },
		EncodePending: func(n int) any { return n },
	}
}

// site is a few entries over one store and fleet.
type site struct {
	t       *testing.T
	rows    *tabletest.Store
	fleet   *fleet
	entries []*Server
	views   []*view
	hands   []*counted
	direct  int64 // setting of the entries
}

// counted counts the calls that one entry makes to minions.
type counted struct {
	*fleet
	starts, renewals atomic.Int64
}

func (c *counted) Start(ctx context.Context, to *work.Minion, s work.Start) (work.Refusal, error) {
	c.starts.Add(1)
	return c.fleet.Start(ctx, to, s)
}

func (c *counted) Renew(ctx context.Context, to *work.Minion, token, until, seen int64, wait time.Duration) (work.Report, bool, error) {
	c.renewals.Add(1)
	return c.fleet.Renew(ctx, to, token, until, seen, wait)
}

// view is one entry's way to the store, which can be cut.
type view struct {
	table.Store
	mu    sync.Mutex
	cut   bool
	hangs bool // calls get no answer
}

func (v *view) hang(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hangs = on
}

// wait keeps a call waiting for an answer that does not come.
func (v *view) wait(ctx context.Context) {
	v.mu.Lock()
	on := v.hangs
	v.mu.Unlock()
	if on {
		<-ctx.Done()
	}
}

var errCut = errors.New("no way to the store")

func (v *view) gone() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut {
		return errCut
	}
	return nil
}

func (v *view) set(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
}

func (v *view) Do(ctx context.Context, tx table.Tx) (table.Result, error) {
	v.wait(ctx)
	if err := v.gone(); err != nil {
		return table.Result{}, err
	}
	return v.Store.Do(ctx, tx)
}

func (v *view) Read(ctx context.Context, tab, part, from, to string) (table.Range, error) {
	v.wait(ctx)
	if err := v.gone(); err != nil {
		return table.Range{}, err
	}
	return v.Store.Read(ctx, tab, part, from, to)
}

func (v *view) Feed(ctx context.Context, tab string, after int64, wait time.Duration) (table.Range, error) {
	v.wait(ctx)
	if err := v.gone(); err != nil {
		return table.Range{}, err
	}
	return v.Store.Feed(ctx, tab, after, wait)
}

func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func newSite(t *testing.T, entries, minions int) *site {
	return newSiteWith(t, entries, minions, 0)
}

// newSiteWith has owners call up to direct minions themselves.
func newSiteWith(t *testing.T, entries, minions int, direct int64) *site {
	s := &site{t: t, direct: direct, rows: &tabletest.Store{}, fleet: newFleet(minions, 4000)}
	cfg := work.Config{Version: 1, Queues: []work.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "svc", Attempts: 3, Slack: 2, Target: time.Second}}, Services: []work.Service{{Name: "svc"}}}
	s.put("conf", "now", cfg)
	for id, m := range s.fleet.minions {
		s.put("minion", id, work.Minion{Incarnation: work.Incarnation{ID: id, Born: m.born}, Service: "svc", Address: id, Zone: "z", Capacity: work.Size{CPU: m.room, Mem: 1000}})
	}
	for i := range entries {
		s.entry(fmt.Sprintf("e%d", i))
	}
	t.Cleanup(func() {
		for _, e := range s.entries {
			e.Kill()
		}
		assert.Equal(t, len(s.fleet.twice), 0, "%v", s.fleet.twice)
	})
	return s
}

func (s *site) put(tab, name string, v any) {
	b, err := json.Marshal(v)
	assert.NilError(s.t, err)
	_, err = s.rows.Do(context.Background(), table.Tx{Put: []table.Row{{Key: table.Key{Table: tab, Name: name}, Value: b}}})
	assert.NilError(s.t, err)
}

func (s *site) entry(id string) *Server {
	set := Settings{ID: id, Zone: "z", Caller: freeAddr(s.t), Ready: freeAddr(s.t), Peer: freeAddr(s.t), Admin: freeAddr(s.t), Store: "127.0.0.1:1", Direct: s.direct}
	_, err := set.Check()
	assert.NilError(s.t, err)
	v, c := &view{Store: s.rows}, &counted{fleet: s.fleet}
	e, err := New(set, Dependencies{Log: hclog.NewNullLogger(), Store: v, Minions: c, Codec: testWire()})
	assert.NilError(s.t, err)
	e.Start()
	s.entries = append(s.entries, e)
	s.views = append(s.views, v)
	s.hands = append(s.hands, c)
	return e
}

// call makes a client's request at an entry.
func (s *site) call(e *Server, method, path string, body any) (int, string) {
	b, err := json.Marshal(body)
	assert.NilError(s.t, err)
	r, err := http.NewRequest(method, "http://"+e.Settings.Caller+path, bytes.NewReader(b))
	assert.NilError(s.t, err)
	r.Host = "h"
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	var out bytes.Buffer
	_, err = out.ReadFrom(resp.Body)
	assert.NilError(s.t, err)
	return resp.StatusCode, out.String()
}

// until waits for a condition, which the tests' machine may take a while to reach.
func (s *site) until(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("not in 20 s: %s", what)
		}
	}
}

func (s *site) owner() (int, *Server) {
	for i, e := range s.entries {
		if e.owner("svc") != nil {
			return i, e
		}
	}
	return -1, nil
}

// submit hands a job of n tasks in, each of which runs for spec.
func (s *site) submit(e *Server, id, spec string, n int) int {
	code, _ := s.call(e, http.MethodPost, "/q/"+id, work.Job{Spec: spec, Steps: []work.Step{{Tasks: n, Size: work.Size{CPU: 1000}, Estimate: 100 * time.Millisecond}}})
	return code
}

func (s *site) state(e *Server, id string) string {
	_, b := s.call(e, http.MethodGet, "/q/"+id, nil)
	var st string
	_ = json.Unmarshal([]byte(b), &st) // problems are no state
	return st
}

func jobName(n int) string { return fmt.Sprintf("%016x", n) }
