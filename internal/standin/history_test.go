package standin

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"jasminestep/internal/entry"
	"jasminestep/internal/ops"
	"jasminestep/pkg/operator"
)

// jobOp is an operator's call that concerns one job.
type jobOp struct {
	call string // submit, cancel or read
	job  int
}

// States of a job and outcomes of calls.
const (
	absent    = "absent"
	live      = "live"
	cancelled = "cancelled"
	unknown   = "unknown"
	refused   = "refused" // the call certainly had no effect
)

// jobModel is the sequential specification of a job: it is accepted once, may
// then be cancelled, and never returns to an earlier state. A call without an
// answer may have taken effect.
var jobModel = porcupine.NondeterministicModel{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[int][]porcupine.Operation{}
		for _, o := range h {
			by[o.Input.(jobOp).job] = append(by[o.Input.(jobOp).job], o)
		}
		var out [][]porcupine.Operation
		for _, p := range by {
			out = append(out, p)
		}
		return out
	},
	Init: func() []any { return []any{absent} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(string), input.(jobOp), output.(string)
		after := s
		switch {
		case in.call == "submit" && s == absent:
			after = live
		case in.call == "cancel" && s == live:
			after = cancelled
		}
		switch {
		case in.call == "read":
			return stateIf(out == s || out == unknown, s)
		case out == unknown:
			return []any{s, after}
		case out == refused:
			return []any{s}
		case in.call == "cancel":
			return stateIf(out == absent && s == absent || out == live && s != absent, after)
		}
		return []any{after}
	},
}

func stateIf(ok bool, s string) []any {
	if ok {
		return []any{s}
	}
	return nil
}

// TestJobHistory checks that the history of jobs is linearizable when operators
// submit, cancel and read the same jobs through all entries while the store
// loses replies and an owner is killed. Each read carries the latest token that
// any operator has received, so stale reads are violations too.
func TestJobHistory(t *testing.T) {
	x := startSite(t, smallSite(50))
	var mu sync.Mutex
	tokens := map[string]int64{}
	var history []porcupine.Operation
	began := time.Now()
	x.Platform.SetFaults(StoreFaults{ReplyLossRate: 0.2})
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(3, uint64(c)))
			for n := range 25 {
				if c == 0 && n == 8 {
					x.Process(x.Owner("north")).Kill()
				}
				in := jobOp{[]string{"submit", "cancel", "read", "read"}[rnd.IntN(4)], rnd.IntN(20)}
				mu.Lock()
				seq := tokens["north"]
				mu.Unlock()
				call := time.Since(began).Nanoseconds()
				out, seq := x.jobCall(in, seq)
				returned := time.Since(began).Nanoseconds()
				if out == unknown {
					returned = math.MaxInt64 // the call may take effect at any later time
				}
				mu.Lock()
				tokens["north"] = max(tokens["north"], seq)
				history = append(history, porcupine.Operation{ClientId: len(history), Input: in, Call: call, Output: out, Return: returned})
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	assert.Assert(t, porcupine.CheckOperations(jobModel.ToModel(), history))
	n := map[string]int{}
	for _, o := range history {
		n[o.Input.(jobOp).call+" "+o.Output.(string)]++
	}
	assert.Assert(t, n["read cancelled"] > 0 && n["read live"] > 0 && n["read absent"] > 0, "%v", n)
}

// jobCall makes one call and returns its outcome and token.
func (x *siteTest) jobCall(in jobOp, seq int64) (string, int64) {
	f := x.balancer.Pick()
	name := fmt.Sprintf("h-%d", in.job)
	id := "north.m." + name
	var a ops.Accepted
	var s entry.Status
	var code int
	var err error
	switch in.call {
	case "submit":
		code, err = x.balancer.Call(f, http.MethodPost, "/jobs", "m", operator.Job{Name: name, Member: "m", Zone: "north", Command: []string{"run", "1h"}, Size: operator.Size{CPU: 10}}, &a)
	case "cancel":
		code, err = x.balancer.Call(f, http.MethodDelete, "/jobs/"+id, "m", nil, &a)
	case "read":
		code, err = x.balancer.Call(f, http.MethodGet, fmt.Sprintf("/jobs/%s?seq=%d", id, seq), "m", nil, &s)
	}
	switch {
	case code == http.StatusNotFound:
		return absent, 0
	case code == http.StatusServiceUnavailable && in.call != "read":
		return refused, 0
	case err != nil:
		return unknown, 0
	case in.call == "read" && s.Cancelled:
		return cancelled, s.Token.Seq
	case in.call == "read":
		return live, s.Token.Seq
	}
	return live, a.Token.Seq
}
