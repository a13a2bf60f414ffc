package server

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"jasminestep/internal/loopback"
	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
	"jasminestep/internal/work"
)

// testCodec returns a codec that encodes the types of the product directly.
func testCodec() Codec {
	return Codec{
		ConfigTable: "conf", ConfigRow: "now", MinionTable: "minion", DeadlineHeader: "Wait", KeyHeader: "Key",
		DecodeConfig: func(b []byte) (*work.Config, error) {
			c := &work.Config{}
			if err := json.Unmarshal(b, c); err != nil || len(c.Accounts) == 0 {
				return c, err
			}
			return c, c.SetAccounts(c.Accounts)
		},
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

// cluster is a set of entries that share a store and a fleet.
type cluster struct {
	revoke  time.Duration // Settings.RevokeTime of entries that fail closed; 0 if they do not
	t       *testing.T
	rows    *tabletest.Store
	fleet   *fleet
	entries []*Server
	stores  []*faultyStore
	clients []*countingClient
	direct  int64 // setting direct of the entries
	batch   int64 // setting batch of the entries
	memory  int64 // setting memory of the entries

	services map[string]string // of minions that are not of svc, by ID
}

// countingClient counts the calls that one entry makes to minions.
type countingClient struct {
	*fleet
	starts, renewals atomic.Int64
}

func (c *countingClient) Start(ctx context.Context, to *work.Minion, s work.Start) (work.Refusal, error) {
	c.starts.Add(1)
	return c.fleet.Start(ctx, to, s)
}

func (c *countingClient) Renew(ctx context.Context, to *work.Minion, token, until, seen int64, wait time.Duration) (work.Report, bool, error) {
	c.renewals.Add(1)
	return c.fleet.Renew(ctx, to, token, until, seen, wait)
}

// faultyStore is one entry's connection to the store, which can be cut or made
// to hang.
type faultyStore struct {
	table.Store
	mu      sync.Mutex
	cut     bool
	hanging bool // calls get no response
}

func (v *faultyStore) setHanging(on bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.hanging = on
}

// waitIfHanging blocks until ctx ends while the store is hanging.
func (v *faultyStore) waitIfHanging(ctx context.Context) {
	v.mu.Lock()
	on := v.hanging
	v.mu.Unlock()
	if on {
		<-ctx.Done()
	}
}

var errCut = errors.New("store unreachable")

func (v *faultyStore) checkReachable() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cut {
		return errCut
	}
	return nil
}

func (v *faultyStore) setCut(cut bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.cut = cut
}

func (v *faultyStore) Do(ctx context.Context, tx table.Tx) (table.Result, error) {
	v.waitIfHanging(ctx)
	if err := v.checkReachable(); err != nil {
		return table.Result{}, err
	}
	return v.Store.Do(ctx, tx)
}

func (v *faultyStore) Read(ctx context.Context, tab, part, from, to string) (table.Range, error) {
	v.waitIfHanging(ctx)
	if err := v.checkReachable(); err != nil {
		return table.Range{}, err
	}
	return v.Store.Read(ctx, tab, part, from, to)
}

func (v *faultyStore) Feed(ctx context.Context, tab string, after int64, wait time.Duration) (table.Range, error) {
	v.waitIfHanging(ctx)
	if err := v.checkReachable(); err != nil {
		return table.Range{}, err
	}
	return v.Store.Feed(ctx, tab, after, wait)
}

func newCluster(t *testing.T, entries, minions int) *cluster {
	return newClusterWithDirect(t, entries, minions, 0)
}

// newClusterWithDirect returns a cluster whose owners call up to direct minions
// themselves.
func newClusterWithDirect(t *testing.T, entries, minions int, direct int64) *cluster {
	s := &cluster{t: t, direct: direct, rows: &tabletest.Store{}, fleet: newFleet(minions, 4000)}
	s.run(entries, testConfig(1))
	return s
}

// testConfig returns a configuration with one queue and one service.
func testConfig(version int64) work.Config {
	return work.Config{Version: version, Queues: []work.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "svc", Attempts: 3, Slack: 2, Target: time.Second}}, Services: []work.Service{{Name: "svc"}}}
}

// run starts the minions and entries.
func (s *cluster) run(entries int, cfg work.Config) {
	t := s.t
	s.putRow("conf", "now", cfg)
	s.writeMinionRows()
	ctx, stop := context.WithCancel(context.Background())
	go func() {
		for ctx.Err() == nil {
			sleep(ctx, rowInterval)
			s.writeMinionRows()
		}
	}()
	for i := range entries {
		s.startEntry(fmt.Sprintf("e%d", i))
	}
	t.Cleanup(func() {
		stop()
		for _, e := range s.entries {
			e.Kill()
		}
		assert.Equal(t, len(s.fleet.violations), 0, "%v", s.fleet.violations)
	})
}

// injectFaults selects the faults of transactions, except those of minions.
func (s *cluster) injectFaults(f func(tx table.Tx) tabletest.Fault) {
	if f == nil {
		s.rows.InjectFaults(nil)
		return
	}
	s.rows.InjectFaults(func(tx table.Tx) tabletest.Fault {
		if len(tx.Put) > 0 && tx.Put[0].Table == "minion" {
			return tabletest.NoFault
		}
		return f(tx)
	})
}

// rowInterval is the time between two writes of a minion's row.
const rowInterval = 500 * time.Millisecond

// writeMinionRows writes the rows of all minions.
func (s *cluster) writeMinionRows() {
	s.fleet.mu.Lock()
	minions := maps.Clone(s.fleet.minions)
	s.fleet.mu.Unlock()
	for id, m := range minions {
		if s.fleet.hasCrashed(id) {
			continue
		}
		service := "svc"
		if other := s.services[id]; other != "" {
			service = other
		}
		s.putRow("minion", id, work.Minion{Incarnation: work.Incarnation{ID: id, Born: m.born}, Service: service, Address: id, Zone: "z", Capacity: work.Size{CPU: m.capacity, Mem: 1000}})
	}
}

func (s *cluster) putRow(tab, name string, v any) {
	b, err := json.Marshal(v)
	assert.NilError(s.t, err)
	_, err = s.rows.Do(context.Background(), table.Tx{Put: []table.Row{{Key: table.Key{Table: tab, Name: name}, Value: b}}})
	assert.NilError(s.t, err)
}

func (s *cluster) startEntry(id string) *Server {
	set := Settings{ID: id, Zone: "z", ClientAddr: loopback.Addr(), ReadinessAddr: loopback.Addr(), PeerAddr: loopback.Addr(), MetricsAddr: loopback.Addr(), Store: "127.0.0.1:1", MaxDirectMinions: s.direct, FailClosed: s.revoke > 0, RevokeTime: s.revoke.Milliseconds(), BatchLease: s.batch, Memory: s.memory}
	_, err := set.Check()
	assert.NilError(s.t, err)
	v, c := &faultyStore{Store: s.rows}, &countingClient{fleet: s.fleet}
	e, err := New(set, Dependencies{Log: hclog.NewNullLogger(), Store: v, Minions: c, Codec: testCodec()})
	assert.NilError(s.t, err)
	e.Start()
	s.entries = append(s.entries, e)
	s.stores = append(s.stores, v)
	s.clients = append(s.clients, c)
	return e
}

// request sends a client's request to an entry.
func (s *cluster) request(e *Server, method, path string, body any) (int, string) {
	return s.requestWithKey(e, "", method, path, body)
}

// requestWithKey sends a request with the key of an account.
func (s *cluster) requestWithKey(e *Server, key, method, path string, body any) (int, string) {
	b, err := json.Marshal(body)
	assert.NilError(s.t, err)
	r, err := http.NewRequest(method, "http://"+e.Settings.ClientAddr+path, bytes.NewReader(b))
	assert.NilError(s.t, err)
	r.Host = "h"
	if key != "" {
		r.Header.Set("Key", key)
	}
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

// eventually waits up to 20 s for a condition, as the machine may be slow.
func (s *cluster) eventually(what string, ok func() bool) {
	s.t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("condition not met within 20 s: %s", what)
		}
	}
}

func (s *cluster) owner() (int, *Server) {
	for i, e := range s.entries {
		if e.localOwner("svc") != nil {
			return i, e
		}
	}
	return -1, nil
}

// submit submits a job of n tasks, each of which runs for the duration spec.
func (s *cluster) submit(e *Server, id, spec string, n int) int {
	code, _ := s.request(e, http.MethodPost, "/q/"+id, work.Job{Spec: spec, Steps: []work.Step{{Tasks: n, Size: work.Size{CPU: 1000}, Estimate: 100 * time.Millisecond}}})
	return code
}

func (s *cluster) jobState(e *Server, id string) string {
	_, b := s.request(e, http.MethodGet, "/q/"+id, nil)
	var st string
	_ = json.Unmarshal([]byte(b), &st) // an error response leaves the state empty
	return st
}

func jobName(n int) string { return fmt.Sprintf("%016x", n) }
