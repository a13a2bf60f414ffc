package standin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jasminestep/internal/caller"
)

// brokenTry is an entry whose first tries run and lose their answers; the next one is
// not run. Runs of that one can be added.
func brokenTry(t *testing.T, l *Ledger, broken, runs int) *Balancer {
	tries := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nonce := r.Header.Get(caller.HeaderRequest)
		if tries++; tries <= broken {
			l.StartRequest("m", nonce, false)
			panic(http.ErrAbortHandler)
		}
		for range runs {
			l.StartRequest("m", nonce, false)
		}
		w.Header().Set(caller.HeaderRequest, nonce)
		w.Header().Set(caller.HeaderOutcome, "unrun")
	}))
	t.Cleanup(s.Close)
	return &Balancer{cli: s.Client(), entries: []Endpoints{{Caller: strings.TrimPrefix(s.URL, "http://")}}, healthy: map[string]bool{}}
}

// A try that ran and lost its answer was counted against the next one, which had
// truthfully not run.
func TestRunOfABrokenTryCountsAgainstTheNext(t *testing.T) {
	for _, c := range []struct {
		broken, runs int
		once         bool
		untrue       int
	}{
		{broken: 0, runs: 0, untrue: 0},
		{broken: 0, runs: 1, untrue: 1},
		{broken: 1, runs: 0, untrue: 0},
		{broken: 1, runs: 1, untrue: 1},
		{broken: 1, runs: 0, once: true, untrue: 1}, // its key tells that it has run
	} {
		l := NewLedger()
		var stats RequestStats
		brokenTry(t, l, c.broken, c.runs).Request(l, &stats, "pool", "member", c.once, 1, 0)
		stats.CheckUnrun(l)
		assert.Equal(t, stats.Unrun, 1)
		assert.Equal(t, l.Untrue, c.untrue, "%+v: %v", c, l.Notes)
	}
}
