package server

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"jasminestep/internal/carry"
	"jasminestep/internal/shard"
	"jasminestep/internal/work"
)

// An owner that was frozen made calls long after it had decided them.
func TestCallsAreNotMadeLongAfterTheirDecision(t *testing.T) {
	c := &countingClient{fleet: newFleet(1, 4000)}
	calls := &carry.Dispatcher{Direct: &carry.DirectCaller{MinionClient: c, Now: monotonicNow}, Carriers: func(string) []string { return nil }, Now: monotonicNow}
	o := &owner{s: &Server{Dependencies: Dependencies{Log: hclog.NewNullLogger()}}, ctx: context.Background(), posted: make(chan posted, 9), minionCalls: calls}
	m := work.Minion{Incarnation: work.Incarnation{ID: "m0"}}
	h := &minionHandler{o: o, incarnation: m.Incarnation}
	start := shard.StartOrder{Minion: m, Start: work.Start{Task: work.TaskID{Job: "j"}, Attempt: 1, Spec: "1h", Until: 3_600_000}}
	for _, late := range []time.Duration{2 * maxCallAge, 0} {
		decided := monotonicNow().Add(-late)
		h.sendStart(decided, start)
		<-o.posted // its outcome
		h.excuses = 0
		h.renew(shard.Renewal{Minion: m}, decided)
		made := int64(0)
		if late == 0 {
			made = 1
		}
		assert.Equal(t, c.starts.Load(), made, "decided %v ago", late)
		assert.Equal(t, c.renewals.Load(), made, "decided %v ago", late)
	}
}
