package main

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/loopback"
	"jasminestep/platform/standin"
)

// TestMain lets the test's executable be a minion's process.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == minionCommand {
		if err := serveMinion(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func startProcess(t *testing.T, id string, c *collector) *process {
	p := &process{id: id, addr: loopback.Addr(), seed: 1, capacity: fullCapacity, collector: c}
	assert.NilError(t, p.start())
	t.Cleanup(func() {
		p.shutDown()
		await(t, "the end of the process", p.isGone)
	})
	return p
}

// run sends a start until the minion listens.
func (p *process) run(t *testing.T, task string, attempt int) {
	t.Helper()
	await(t, "start", func() bool {
		resp, err := http.DefaultTransport.RoundTrip(startOf(p.addr, p.id, task, attempt))
		if err != nil {
			return false
		}
		defer func() { _ = resp.Body.Close() }()
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		return true
	})
}

// Its former life's runs are over, its next life runs what it is given, at the same
// address.
func TestMinionProcessIsKilledAndStartsAgain(t *testing.T) {
	c := newCollector()
	p, other := startProcess(t, "i-1", c), startProcess(t, "i-2", c)
	p.run(t, "a.0.0.0", 1)
	await(t, "run", func() bool { return c.Running()["a"] == 1 })
	born := p.born
	p.CrashFor(100 * time.Millisecond)
	_, _, up := p.Row("s", "", 1)
	assert.Assert(t, !up)
	await(t, "return", func() bool { _, _, up := p.Row("s", "", 1); return up })
	assert.Assert(t, p.born.After(born))
	assert.Equal(t, c.Running()["a"], 0)
	assert.DeepEqual(t, c.Crashes(), map[string]int{"a": 1})

	p.run(t, "a.0.0.0", 2)
	await(t, "second run", func() bool { return c.Running()["a"] == 1 })
	broken, started := c.Report()
	assert.Equal(t, len(broken), 0)
	assert.DeepEqual(t, started, map[string]int{"a": 2})

	other.run(t, "a.0.0.0", 3)
	await(t, "third run", func() bool { return c.Running()["a"] == 2 })
	broken, _ = c.Report()
	assert.Equal(t, len(broken), 1)
}

func TestCollectorJudgesByWhatMinionsSay(t *testing.T) {
	at := func(ms int64) time.Time { return time.UnixMilli(ms) }
	for _, tc := range []struct {
		what   string
		end    standin.Event
		read   bool
		start  int64
		broken string
	}{
		{what: "after the end", end: standin.Event{At: at(20), Kind: standin.Ended}, start: 20},
		{what: "before the end", end: standin.Event{At: at(20), Kind: standin.Ended}, start: 19, broken: "a.0.0.0 runs on i-1 and starts on i-2, 1ms before the end"},
		{what: "done", end: standin.Event{At: at(20), Kind: standin.Ended}, read: true, start: 21, broken: "a.0.0.0 starts on i-2 though it is done on i-1"},
		{what: "after a crash", start: 30},
		{what: "before a crash", start: 29, broken: "a.0.0.0 runs on i-1 and starts on i-2, 1ms before the end"},
	} {
		c := newCollector()
		c.add("i-1", standin.Event{At: at(10), Kind: standin.Started, Task: "a.0.0.0", Attempt: 1})
		c.add("i-2", standin.Event{At: at(tc.start), Kind: standin.Started, Task: "a.0.0.0", Attempt: 2})
		if tc.end.Kind != "" {
			tc.end.Task, tc.end.Attempt = "a.0.0.0", 1
			c.add("i-1", tc.end)
		}
		if tc.read {
			c.add("i-1", standin.Event{At: at(25), Kind: standin.Read, Task: "a.0.0.0", Attempt: 1})
		}
		c.crash("i-1", at(30))
		broken, _ := c.Report()
		if tc.broken == "" {
			assert.Equal(t, len(broken), 0, tc.what)
			continue
		}
		assert.DeepEqual(t, broken, []string{tc.broken})
	}
}
