package server

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/quota"
	"jasminestep/internal/shard"
	"jasminestep/internal/table/tabletest"
	"jasminestep/internal/work"
)

// accountConfig returns a configuration with accounts a and b, services svc and
// svc2 with the queues /q/ and /r/, and the public queue /open/ of svc.
func accountConfig(version int64, limit work.Size) work.Config {
	c := testConfig(version)
	second, public := c.Queues[0], c.Queues[0]
	second.Name, second.Prefix, second.Service = "r", "/r/", "svc2"
	public.Name, public.Prefix, public.Public = "open", "/open/", true
	c.Queues = append(c.Queues, second, public)
	c.Services = append(c.Services, work.Service{Name: "svc2"})
	c.Accounts = []work.Account{{Name: "a", Keys: []string{"ka", "ka2"}, Weight: 10, Limit: limit}, {Name: "b", Keys: []string{"kb"}, Weight: 10}}
	return c
}

func newAccountCluster(t *testing.T, entries int, limit work.Size) *cluster {
	return newRevokingCluster(t, entries, limit, 0)
}

// newRevokingCluster returns a cluster of entries that fail closed, with a
// Settings.RevokeTime, unless that is 0.
func newRevokingCluster(t *testing.T, entries int, limit work.Size, revoke time.Duration) *cluster {
	s := &cluster{t: t, revoke: revoke, rows: &tabletest.Store{}, fleet: newFleet(6, 4000), services: map[string]string{"m0": "svc2", "m1": "svc2", "m2": "svc2"}}
	s.run(entries, accountConfig(1, limit))
	for _, svc := range []string{"svc", "svc2"} {
		s.eventually("an owner of "+svc, func() bool {
			for _, e := range s.entries {
				if o := e.localOwner(svc); o != nil && o.loaded.Load() {
					return true
				}
			}
			return false
		})
	}
	return s
}

func jobBody(spec string, n int) work.Job {
	return work.Job{Spec: spec, Steps: []work.Step{{Tasks: n, Size: work.Size{CPU: 1000}, Estimate: 100 * time.Millisecond}}}
}

func TestRequestsNeedAKeyOfTheirAccount(t *testing.T) {
	s := newAccountCluster(t, 2, work.Size{})
	e, f := s.entries[0], s.entries[1]
	expect := func(e *Server, key, method, path string, want int) {
		t.Helper()
		code, body := s.requestWithKey(e, key, method, path, jobBody("10ms", 1))
		assert.Equal(t, code, want, body)
		assert.Assert(t, key == "" || !strings.Contains(body, key), "the key stands in %s", body)
	}
	expect(e, "", http.MethodPost, "/q/"+jobName(1), http.StatusUnauthorized)
	expect(e, "odd", http.MethodPost, "/q/"+jobName(1), http.StatusUnauthorized)
	expect(e, "kb", http.MethodGet, "/q/"+jobName(1), http.StatusGone)
	expect(e, "ka", http.MethodPost, "/q/"+jobName(1), http.StatusOK)
	expect(f, "ka2", http.MethodPost, "/q/"+jobName(1), http.StatusOK)
	expect(f, "kb", http.MethodPost, "/q/"+jobName(1), http.StatusConflict)
	expect(f, "ka", http.MethodGet, "/q/"+jobName(1), http.StatusOK)
	expect(f, "kb", http.MethodGet, "/q/"+jobName(1), http.StatusGone)
	expect(f, "kb", http.MethodDelete, "/q/"+jobName(1), http.StatusGone)
	expect(f, "", http.MethodGet, "/q/", http.StatusUnauthorized)
	expect(e, "", http.MethodPost, "/open/"+jobName(2), http.StatusOK)
	expect(e, "odd", http.MethodGet, "/open/"+jobName(2), http.StatusOK)
	next := accountConfig(2, work.Size{})
	next.Accounts[0].Keys = []string{"ka3"}
	s.putRow("conf", "now", next)
	for _, e := range s.entries {
		s.eventually("the new configuration", func() bool { return e.cfg.Load().Version == 2 })
		expect(e, "ka", http.MethodGet, "/q/"+jobName(1), http.StatusUnauthorized)
		expect(e, "ka3", http.MethodGet, "/q/"+jobName(1), http.StatusOK)
	}
}

// Guards against a withdrawn key that stays good at the one entry that the store
// turns away.
func TestEntryWithoutTheStoreLearnsOfWithdrawnKeys(t *testing.T) {
	s := newAccountCluster(t, 3, work.Size{})
	s.eventually("all entries known", func() bool { return len(s.entries[2].otherEntries(monotonicNow())) == 2 })
	s.stores[2].setCut(true)
	next := accountConfig(2, work.Size{})
	next.Accounts[0].Keys = nil
	s.putRow("conf", "now", next)
	s.eventually("the key is refused", func() bool {
		code, _ := s.requestWithKey(s.entries[2], "ka", http.MethodGet, "/q/", nil)
		return code == http.StatusUnauthorized
	})
}

// Guards against configurations whose keys can be anybody's.
func TestAmbiguousKeysLeaveTheFormerConfiguration(t *testing.T) {
	s := newAccountCluster(t, 1, work.Size{})
	bad := accountConfig(2, work.Size{})
	bad.Accounts[1].Keys = []string{"ka"}
	s.putRow("conf", "now", bad)
	good := accountConfig(3, work.Size{})
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, s.entries[0].cfg.Load().Version, int64(1))
	s.putRow("conf", "now", good)
	s.eventually("the next configuration", func() bool { return s.entries[0].cfg.Load().Version == 3 })
}

// Guards the limit of an account that runs on two services at once, whose owners
// don't see each other's runs, while one of them is lost.
func TestLimitHoldsOverTwoServices(t *testing.T) {
	const limit = 5
	s := newAccountCluster(t, 3, work.Size{CPU: limit * 1000})
	watch := func(d time.Duration) (most int) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			most = max(most, s.fleet.running())
		}
		return most
	}
	for i := range 12 {
		path := []string{"/q/", "/r/"}[i%2]
		code, _ := s.requestWithKey(s.entries[i%3], "ka", http.MethodPost, path+jobName(i), jobBody("150ms", 4))
		assert.Equal(t, code, http.StatusOK)
	}
	s.eventually("work on both services", func() bool { return s.fleet.running() > 2 })
	assert.Assert(t, watch(500*time.Millisecond) <= limit)
	for i, e := range s.entries {
		if e.localOwner("svc") != nil {
			e.Kill()
			s.entries = append(s.entries[:i], s.entries[i+1:]...)
			break
		}
	}
	for i := range 12 {
		path := []string{"/q/", "/r/"}[i%2]
		s.eventually("completed", func() bool {
			assert.Assert(t, s.fleet.running() <= limit)
			_, body := s.requestWithKey(s.entries[0], "ka", http.MethodGet, path+jobName(i), nil)
			return strings.Contains(body, "completed")
		})
	}
	// What one service leaves idle, the other may use.
	code, _ := s.requestWithKey(s.entries[0], "ka", http.MethodPost, "/r/"+jobName(100), jobBody("2s", 8))
	assert.Equal(t, code, http.StatusOK)
	s.eventually("the whole limit is used", func() bool { return s.fleet.running() == limit })
	assert.Assert(t, watch(200*time.Millisecond) <= limit)
}

func TestWhereTellsWhereAJobWouldGo(t *testing.T) {
	s := newAccountCluster(t, 2, work.Size{CPU: 2000})
	ask := func(e *Server, query string, body any) (int, WhereReply) {
		b, err := json.Marshal(body)
		assert.NilError(t, err)
		resp, err := http.Post("http://"+e.Settings.MetricsAddr+WherePath+"?"+query, "", bytes.NewReader(b))
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		var got WhereReply
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&got))
		return resp.StatusCode, got
	}
	for _, e := range s.entries {
		s.eventually("an answer with the equal part of the limit", func() bool {
			code, got := ask(e, "host=h&path=/q/&account=a", jobBody("10ms", 3))
			return code == http.StatusOK && got.Queue == "q" && got.Service == "svc" && got.Outlook.Steps[0].Allowed == 1 && got.Outlook.Steps[0].NowCount == 3
		})
		for query, want := range map[string]int{"host=h&path=/none/": http.StatusNotFound, "host=h&path=/q/&account=odd": http.StatusNotFound} {
			code, _ := ask(e, query, jobBody("10ms", 1))
			assert.Equal(t, code, want, query)
		}
		code, _ := ask(e, "host=h&path=/q/", work.Job{Spec: "no steps"})
		assert.Equal(t, code, http.StatusBadRequest)
	}
	s.fleet.mu.Lock()
	defer s.fleet.mu.Unlock()
	assert.Equal(t, s.fleet.starts, 0)
}

// Guards against entries that refuse clients in calm, since they ask for the newest
// configuration less often than its age may be (soak --accounts, seed 21).
func TestEntriesThatFailClosedAdmitClientsInCalm(t *testing.T) {
	s := newRevokingCluster(t, 1, work.Size{}, time.Second)
	s.eventually("a first answer", func() bool {
		code, _ := s.requestWithKey(s.entries[0], "ka", http.MethodGet, "/q/"+jobName(1), nil)
		return code == http.StatusGone
	})
	for range 80 {
		code, body := s.requestWithKey(s.entries[0], "ka", http.MethodGet, "/q/"+jobName(1), nil)
		assert.Equal(t, code, http.StatusGone, body)
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against a part of a limit that no shard may use: the owner means to give it
// back, its write conflicts, and it takes its own view for the store's (soak
// --accounts, seed 62).
func TestGrantsThatWereNotWrittenAreWrittenAgain(t *testing.T) {
	cfg := accountConfig(1, work.Size{CPU: 6000})
	assert.NilError(t, cfg.SetAccounts(cfg.Accounts))
	full := quota.Share{Granted: work.Size{CPU: 3000}}
	other := quota.Share{Granted: work.Size{CPU: 3000}, Wanted: work.Size{CPU: 6000}}
	o := &owner{service: "svc", grants: grants{claimed: true, rows: map[string]grantRow{
		"svc": {Shares: map[string]quota.Share{"a": full}}, "svc2": {Shares: map[string]quota.Share{"a": other}},
	}}}
	o.grants.own = lesserShares(map[string]quota.Share{"a": full}, map[string]quota.Share{"a": {}})
	next, changed := o.nextShares(time.Now(), &cfg, []shard.AccountUse{{Name: "a"}})
	assert.Equal(t, next["a"], quota.Share{})
	assert.Assert(t, changed)
}
