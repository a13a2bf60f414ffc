package member

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jasminestep/internal/fixed"
)

func TestMain(m *testing.M) { fixed.Main(m, "100") }

var t0 = time.Unix(1_800_000_000, 0)

func newView(id string) *View { return &View{Self: Info{ID: id, Zone: "z", Addr: id, Boot: 1}} }

func TestLaterIncarnationReplaces(t *testing.T) {
	v := newView("a")
	v.RecordContact(Info{ID: "b", Zone: "z", Addr: "old", Boot: 1}, t0)
	assert.Assert(t, v.RecordContact(Info{ID: "b", Zone: "z", Addr: "new", Boot: 2}, t0))
	assert.Assert(t, !v.RecordContact(Info{ID: "b", Zone: "z", Addr: "old", Boot: 1}, t0.Add(time.Second)), "message of the replaced process accepted")
	assert.Equal(t, v.Peers["b"].Addr, "new")
	assert.Equal(t, v.Peers["b"].LastHeard, t0)
}

// With an asymmetric partition, a cannot reach b but c can: a has to probe
// through c before it suspects b.
func TestOthersAreAskedFirst(t *testing.T) {
	v := newView("a")
	v.RecordContact(Info{ID: "b", Zone: "z", Boot: 1}, t0)
	v.RecordContact(Info{ID: "c", Zone: "z", Boot: 1}, t0)
	for range suspectAfter - 1 {
		assert.Equal(t, len(v.RecordFailure("b", t0)), 0)
	}
	probers := v.RecordFailure("b", t0)
	assert.Equal(t, len(probers), 1)
	assert.Equal(t, probers[0].ID, "c")
	assert.Equal(t, v.Peers["b"].Status, Alive)
	assert.Assert(t, v.MarkSuspect("b", t0))
}

func TestSuspicionIsRefuted(t *testing.T) {
	a, b := newView("a"), newView("b")
	a.RecordContact(b.Self, t0)
	a.MarkSuspect("b", t0)
	suspicion := a.Peers["b"].Info
	b.Merge(suspicion, t0)
	assert.Assert(t, b.Self.Inc > suspicion.Inc)
	assert.Assert(t, a.Merge(b.Self, t0))
	assert.Equal(t, a.Peers["b"].Status, Alive)
}

func TestHeartbeatsDoNotGrowWithEntries(t *testing.T) {
	for _, n := range []int{1, 7, 55} {
		v := newView("a")
		for i := range n {
			v.RecordContact(Info{ID: fmt.Sprintf("e%d", i), Zone: "zy"[i%2 : i%2+1], Boot: 1}, t0)
		}
		sent := 0
		for range 100 {
			sent += len(v.HeartbeatTargets(t0))
		}
		assert.Assert(t, sent <= 125, "%d entries: %d heartbeats in 100 rounds", n, sent)
	}
}

func TestEveryoneIsReached(t *testing.T) {
	v := newView("a")
	for i := range 20 {
		v.RecordContact(Info{ID: fmt.Sprintf("e%d", i), Zone: "zy"[i%2 : i%2+1], Boot: 1}, t0)
	}
	got := map[string]bool{}
	for range 100 {
		for _, p := range v.HeartbeatTargets(t0) {
			got[p.ID] = true
		}
	}
	assert.Equal(t, len(got), 20)
}

// TestViewsConverge exchanges gossip, suspicions, failures and restarts between
// five views in random order. After three full rounds of exchanges, every view
// has to show every other entry as alive with its latest start time.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 5
		views := make([]*View, n)
		id := func(i int) string { return fmt.Sprintf("e%d", i) }
		for i := range views {
			views[i] = newView(id(i))
		}
		now := t0
		pick := func(t *rapid.T, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
		talk := func(a, b int) {
			if a == b {
				return
			}
			views[b].RecordContact(views[a].Self, now)
			for _, x := range views[a].Gossip(now) {
				views[b].Merge(x, now)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"talk":    func(t *rapid.T) { talk(pick(t, "a"), pick(t, "b")) },
			"suspect": func(t *rapid.T) { views[pick(t, "a")].MarkSuspect(id(pick(t, "b")), now) },
			"fail":    func(t *rapid.T) { views[pick(t, "a")].RecordFailure(id(pick(t, "b")), now) },
			"restart": func(t *rapid.T) {
				i := pick(t, "a")
				boot := views[i].Self.Boot + 1
				views[i] = newView(id(i))
				views[i].Self.Boot = boot
			},
			"time": func(*rapid.T) { now = now.Add(time.Second) },
			"": func(t *rapid.T) {
				for i, v := range views {
					for _, p := range v.Peers {
						var j int
						_, _ = fmt.Sscanf(p.ID, "e%d", &j)
						if p.Boot > views[j].Self.Boot {
							t.Fatalf("e%d has boot %d for %s, want at most %d", i, p.Boot, p.ID, views[j].Self.Boot)
						}
					}
				}
			},
		})
		for range 3 {
			for a := range n {
				for b := range n {
					talk(a, b)
				}
			}
		}
		for i, v := range views {
			for j, w := range views {
				if p := v.Peers[id(j)]; i != j && (p == nil || p.Boot != w.Self.Boot || p.Status != Alive) {
					t.Fatalf("e%d has %+v, want alive as %+v", i, p, w.Self)
				}
			}
		}
	})
}

func TestNewProcessesAreReported(t *testing.T) {
	v := newView("a")
	var started []int64
	v.Started = func(in Info) { started = append(started, in.Boot) }
	v.RecordContact(Info{ID: "b", Zone: "z", Addr: "b", Boot: 5}, t0)
	v.RecordContact(Info{ID: "b", Zone: "z", Addr: "b", Boot: 5, Inc: 1}, t0)
	v.Merge(Info{ID: "b", Zone: "z", Addr: "b", Boot: 7}, t0)
	v.RecordContact(Info{ID: "b", Zone: "z", Addr: "b", Boot: 7}, t0)
	v.Merge(Info{ID: "b", Zone: "z", Addr: "b", Boot: 5, Inc: 9}, t0)
	assert.DeepEqual(t, started, []int64{5, 7})
}
