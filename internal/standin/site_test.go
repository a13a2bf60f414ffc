package standin

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/zeromicro/go-zero/core/logx"
	"gotest.tools/v3/assert"

	"jasminestep/internal/entry"
	"jasminestep/internal/ops"
	"jasminestep/internal/settings"
	"jasminestep/pkg/operator"
)

func TestMain(m *testing.M) {
	logx.Disable()
	os.Exit(m.Run())
}

// patience is how long a test waits for what must come about; it says nothing
// about how fast it should.
const waitTimeout = 40 * time.Second

// small is a site that starts quickly, with short leases.
func smallSite(net int) Site {
	return Site{
		Name: "small", Subnet: net, Zones: []string{"north", "south"}, Entries: []int{2, 2},
		Kinds:   []VMKind{{"p", 6, 16000, 64 << 10, 8, 2}},
		Members: []string{"m", "n"}, Policy: "pack",
		AdjustSettings: func(s *settings.Settings) { s.Lease, s.Task, s.Lag, s.Adopt, s.Snapshot = 1000, 2500, 500, 5000, 100 },
	}
}

type siteTest struct {
	*testing.T
	*Cluster
	b *Balancer
}

func startSite(t *testing.T, s Site) *siteTest {
	c, err := StartCluster(s, 1, nil)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	x := &siteTest{T: t, Cluster: c, b: NewBalancer(ctx, c.Endpoints())}
	x.waitFor("a configuration", func() bool {
		_, err := x.b.Call(c.Endpoints()[0], http.MethodPost, "/cell", "", s.Cell(), nil)
		return err == nil
	})
	x.waitFor("owners and slots", func() bool { return c.ready(x.b) })
	t.Cleanup(x.checkLedger)
	return x
}

func (x *siteTest) waitFor(what string, f func() bool) {
	x.Helper()
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			x.Fatalf("%s: not within %v; %v", what, waitTimeout, x.Ledger.Notes)
		}
	}
}

func (x *siteTest) checkLedger() {
	l := x.Ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Twice+l.Over+l.Crossed+l.Untrue+l.Lost > 0 {
		x.Errorf("broken promises: %v", l.Notes)
	}
}

// submit has a job accepted and returns its id and token.
func (x *siteTest) submit(j operator.Job) ops.Accepted {
	x.Helper()
	var got ops.Accepted
	if j.Member == "" {
		j.Member = "m"
	}
	if j.Size == (operator.Size{}) {
		j.Size = operator.Size{CPU: 1000}
	}
	x.waitFor("acceptance of "+j.Name, func() bool {
		_, err := x.b.Call(x.b.Pick(), http.MethodPost, "/jobs", j.Member, j, &got)
		return err == nil
	})
	return got
}

func (x *siteTest) status(id string, seq int64) (*entry.Status, error) {
	s := &entry.Status{}
	_, err := x.b.Call(x.b.Pick(), http.MethodGet, fmt.Sprintf("/jobs/%s?seq=%d", id, seq), "m", nil, s)
	return s, err
}

func (x *siteTest) ended(id string) func() bool {
	return func() bool {
		s, err := x.status(id, 0)
		return err == nil && s.Ended != 0
	}
}

func (x *siteTest) prefix(zone int) string { return fmt.Sprintf("127.%d.%d.", x.Site.Subnet, zone) }

// cutZone separates a zone from all others and from the platform.
func (x *siteTest) cutZone(zone int) {
	for i := range len(x.Site.Zones) + 1 {
		if i != zone {
			x.Net.Cut(x.prefix(zone), x.prefix(i))
		}
	}
}

func (x *siteTest) running(task string) bool {
	x.Ledger.mu.Lock()
	defer x.Ledger.mu.Unlock()
	_, ok := x.Ledger.running[task]
	return ok
}

func TestOwnerKilledLosesNothing(t *testing.T) {
	x := startSite(t, smallSite(41))
	var ids []string
	for i := range 20 {
		if i == 10 {
			x.Process(x.Owner("north")).Kill()
		}
		ids = append(ids, x.submit(operator.Job{Name: fmt.Sprintf("j-%d", i), Tasks: 3, Zone: "north", Command: []string{"run", "300ms"}}).ID)
	}
	for _, id := range ids {
		x.waitFor("end of "+id, x.ended(id))
		s, err := x.status(id, 0)
		assert.NilError(t, err)
		assert.Equal(t, string(s.Cause), "done")
		for i := range 3 {
			assert.Assert(t, x.Ledger.Completions(fmt.Sprintf("%s#%d", id, i)) > 0)
		}
	}
}

// A zone that is cut off goes on serving its requests and its services, and
// stops what may move; on healing nothing has run twice.
func TestZoneCutServesOn(t *testing.T) {
	x := startSite(t, smallSite(42))
	svc := x.submit(operator.Job{Name: "svc", Kind: operator.Service, Tasks: 2, Zone: "south", Command: []string{"serve"}})
	move := x.submit(operator.Job{Name: "mv", Zone: "south", Command: []string{"run", "1h"}})
	x.waitFor("the tasks run", func() bool { return x.running(svc.ID+"#0") && x.running(svc.ID+"#1") && x.running(move.ID+"#0") })
	x.cutZone(2)
	x.waitFor("the task that may move has lapsed", func() bool { return !x.running(move.ID + "#0") })
	time.Sleep(2 * time.Second) // some more leases
	assert.Assert(t, x.running(svc.ID+"#0") && x.running(svc.ID+"#1"), "services of the cut zone run on")
	inside := &Balancer{cli: x.b.cli, entries: x.Endpoints()[2:], healthy: map[string]bool{}}
	var tot RequestStats
	for range 20 {
		inside.Request(x.Ledger, &tot, "p", "m", false, 2, 100)
	}
	assert.Equal(t, tot.Answered, 20, "%v", tot.Reasons)
	x.Net.Heal()
	x.waitFor("the task that may move runs again", func() bool { return x.running(move.ID + "#0") })
	assert.Assert(t, x.running(svc.ID+"#0") && x.running(svc.ID+"#1"))
}

// All entries of a zone and its workers are gone for good: its accepted work is
// done by another zone.
func TestLostZoneIsAdopted(t *testing.T) {
	x := startSite(t, smallSite(43))
	big := operator.Size{CPU: 16000} // three workers, so most of it waits
	id := x.submit(operator.Job{Name: "b-1", Tasks: 6, Zone: "south", Size: big, Command: []string{"run", "1s"}}).ID
	gang := x.submit(operator.Job{Name: "g-1", Kind: operator.Gang, Tasks: 3, Zone: "south", Size: big, Command: []string{"run", "1s"}}).ID
	x.waitFor("some runs", func() bool { return x.running(id + "#0") })
	for _, vm := range x.Site.VMs() {
		if vm.Zone != "south" {
			continue
		}
		x.Platform.RemoveVM(vm.ID)
		switch vm.Role {
		case "entry":
			x.Process(vm.ID).Kill()
		case "worker":
			x.Workers[vm.ID].Crash()
		}
	}
	for _, j := range []string{id, gang} {
		x.waitFor("end of "+j, x.ended(j))
		s, err := x.status(j, 0)
		assert.NilError(t, err)
		assert.Equal(t, string(s.Cause), "done")
	}
	// The zone's own entries come back and take their journal again.
	for _, vm := range x.Site.VMs() {
		if vm.Zone == "south" && vm.Role == "entry" {
			x.Platform.AddVMs(vm)
			assert.NilError(t, x.StartEntry(vm.ID))
		}
	}
	x.waitFor("the zone has an owner of its own", func() bool { return x.Owner("south") != "" })
	s, err := x.status(id, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(s.Cause), "done", "told also by those who gave it away")
}

// Every entry is stopped as planned and started again, one after the other,
// under load: no request is cut and none is unknown.
func TestRollingRestartCutsNothing(t *testing.T) {
	x := startSite(t, smallSite(44))
	ctx, stop := context.WithCancel(context.Background())
	var tot RequestStats
	var wg sync.WaitGroup
	rnd := rand.New(rand.NewPCG(1, 1))
	wg.Add(1)
	go func() {
		defer wg.Done()
		callAtRate(ctx, 150, func() {
			once, ms := rnd.IntN(2) == 0, rnd.ExpFloat64()*20
			wg.Add(1)
			go func() {
				defer wg.Done()
				x.b.Request(x.Ledger, &tot, "p", "m", once, ms, 500)
			}()
		})
	}()
	time.Sleep(time.Second) // keys of the first moment are older than their home
	for _, id := range sortedKeys(x.settings) {
		assert.NilError(t, x.Process(id).Stop(context.Background()))
		assert.NilError(t, x.StartEntry(id))
		x.waitFor(id+" is ready", func() bool { return x.Process(id).Entry.Ready() })
	}
	stop()
	wg.Wait()
	tot.CheckUnrun(x.Ledger)
	assert.Equal(t, tot.Unknown, 0, "%v", tot.Reasons)
	assert.Equal(t, tot.Answered, tot.Requests, "%v", tot.Reasons)
}

// With the table down, what runs goes on, requests are answered, new work is
// refused truthfully, and all is well afterwards.
func TestStoreDown(t *testing.T) {
	x := startSite(t, smallSite(45))
	svc := x.submit(operator.Job{Name: "svc", Kind: operator.Service, Zone: "north", Command: []string{"serve"}})
	x.waitFor("the service runs", func() bool { return x.running(svc.ID + "#0") })
	time.Sleep(time.Second) // so that keys are younger than their homes
	x.Platform.SetFaults(StoreFaults{Down: true})
	var tot RequestStats
	for i := range 40 {
		x.b.Request(x.Ledger, &tot, "p", "m", i%2 == 0, 5, 100)
	}
	assert.Equal(t, tot.Answered, 40, "%v", tot.Reasons)
	j := operator.Job{Name: "late", Member: "m", Zone: "north", Size: operator.Size{CPU: 1}, Command: []string{"run", "1ms"}}
	code, err := x.b.Call(x.Endpoints()[0], http.MethodPost, "/jobs", "m", j, nil)
	assert.Assert(t, code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout, "%d %v", code, err)
	time.Sleep(3 * time.Second) // more than a lease of tasks
	assert.Assert(t, x.running(svc.ID+"#0"))
	x.Platform.SetFaults(StoreFaults{})
	if code == http.StatusServiceUnavailable {
		time.Sleep(time.Second)
		_, err = x.status("north.m.late", 0)
		assert.ErrorContains(t, err, "404", "it was said not to be accepted")
	}
	id := x.submit(operator.Job{Name: "after", Zone: "north", Command: []string{"run", "1ms"}}).ID
	x.waitFor("work goes on", x.ended(id))
}

func TestLeavingMinionGetsNothingNew(t *testing.T) {
	x := startSite(t, smallSite(46))
	var tot RequestStats
	id := sortedKeys(x.Minions)[0]
	x.Minions[id].Leave()
	x.waitFor("it refuses one", func() bool {
		x.b.Request(x.Ledger, &tot, "p", "m", true, 1, 10)
		return x.Minions[id].Refused() > 0
	})
	for range 200 {
		x.b.Request(x.Ledger, &tot, "p", "m", true, 1, 10)
	}
	assert.Equal(t, x.Minions[id].Refused(), 1, "it is asked no more")
	assert.Equal(t, tot.Unknown, 0, "%v", tot.Reasons)
}

// apply is an operator's change of configuration.
type versionUpdate struct{ base int64 }

// The configuration is a register that changes by compare and set.
var configModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		v, from, got := state.(int64), input.(versionUpdate).base, output.(int64)
		switch {
		case got < 0: // conflict, or not accepted
			return true, v
		case got == 0: // not known: it may have been accepted
			return true, v
		}
		return v == from && got == from+1, got
	},
}

// Operators race each other through all entries while the store loses replies;
// accepted versions form one history, and no entry ever goes back.
func TestConfigurationHistory(t *testing.T) {
	x := startSite(t, smallSite(47))
	base := x.Site.Cell()
	base.Version = 1
	x.Platform.SetFaults(StoreFaults{ReplyLossRate: 0.3})
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	began := time.Now()
	watch, stop := context.WithCancel(context.Background())
	for _, f := range x.Endpoints() {
		go func() {
			last := int64(0)
			for watch.Err() == nil {
				var c operator.Cell
				if _, err := x.b.Call(f, http.MethodGet, "/cell", "", nil, &c); err == nil {
					if c.Version < last {
						x.Ledger.AddUntrue("%s went back from version %d to %d", f.Operator, last, c.Version)
					}
					last = c.Version
				}
			}
		}()
	}
	for i, f := range x.Endpoints() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for range 8 {
				var now operator.Cell
				if _, err := x.b.Call(f, http.MethodGet, "/cell", "", nil, &now); err != nil {
					continue
				}
				now.Author = fmt.Sprintf("author-%d", i)
				call := time.Since(began).Nanoseconds()
				var got ops.Applied
				code, err := x.b.Call(f, http.MethodPost, "/cell", "", now, &got)
				out := got.Version
				if err != nil && code != http.StatusGatewayTimeout {
					out = -1
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: i, Input: versionUpdate{now.Version}, Call: call, Output: out, Return: time.Since(began).Nanoseconds()})
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	x.Platform.SetFaults(StoreFaults{})
	highest := int64(0)
	for _, o := range history {
		highest = max(highest, o.Output.(int64))
	}
	assert.Assert(t, highest > 3, "some were accepted")
	x.waitFor("all entries have it", func() bool {
		for _, f := range x.Endpoints() {
			var c operator.Cell
			if _, err := x.b.Call(f, http.MethodGet, "/cell", "", nil, &c); err != nil || c.Version < highest {
				return false
			}
		}
		return true
	})
	stop()
	// An unknown one that was accepted after all shows as a gap in the versions.
	assert.Assert(t, porcupine.CheckOperations(modelWithUnknown(history), withoutUnknown(history)))
}

// known drops the operations of which nothing is known.
func withoutUnknown(h []porcupine.Operation) (out []porcupine.Operation) {
	for _, o := range h {
		if o.Output.(int64) != 0 {
			out = append(out, o)
		}
	}
	return out
}

// withUnknown lets the register also move by what was accepted unknown to its
// author, which only happens if there is such an operation.
func modelWithUnknown(h []porcupine.Operation) porcupine.Model {
	m := configModel
	unknown := map[int64]bool{1: false}
	for _, o := range h {
		if o.Output.(int64) == 0 {
			unknown[o.Input.(versionUpdate).base] = true
		}
	}
	m.Init = func() any { return int64(1) }
	m.Step = func(state, input, output any) (bool, any) {
		v, from, got := state.(int64), input.(versionUpdate).base, output.(int64)
		for got > 0 && v < from && unknown[v] {
			v++
		}
		return configModel.Step(v, input, output)
	}
	return m
}

// A member's read with a token never shows a state older than the token's.
func TestTokenReadsAreFresh(t *testing.T) {
	x := startSite(t, smallSite(48))
	for i := range 30 {
		a := x.submit(operator.Job{Name: fmt.Sprintf("t-%d", i), Command: []string{"run", "1h"}})
		s, err := x.status(a.ID, a.Token.Seq)
		assert.NilError(t, err, "accepted under this token")
		var c ops.Accepted
		x.waitFor("cancelled", func() bool {
			_, err := x.b.Call(x.b.Pick(), http.MethodDelete, "/jobs/"+a.ID, "m", nil, &c)
			return err == nil
		})
		s, err = x.status(a.ID, c.Token.Seq)
		assert.NilError(t, err)
		assert.Assert(t, s.Cancelled && s.Token.Seq >= c.Token.Seq)
	}
}

func TestDemoJudges(t *testing.T) {
	d := &Demo{Site: smallSite(49), Duration: 4 * time.Second, Seed: 1, Out: io.Discard, JobRate: 10, RequestRate: 50}
	s, err := d.Run(context.Background())
	assert.NilError(t, err)
	assert.Assert(t, s.Violations() == 0 && s.Tasks > 0 && s.Answered > 0, "%+v", s)
}
