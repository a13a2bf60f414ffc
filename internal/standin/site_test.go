package standin

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
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

// waitTimeout is how long a test waits for a condition that must come about. It
// is not a bound on how long that should take.
const waitTimeout = 40 * time.Second

// smallSite returns a site with few VMs and short leases, which starts quickly.
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
	balancer *Balancer
}

func startSite(t *testing.T, s Site) *siteTest {
	c, err := StartCluster(s, 1, nil)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	x := &siteTest{T: t, Cluster: c, balancer: NewBalancer(ctx, c.Endpoints())}
	x.waitFor("configuration applied", func() bool {
		_, err := x.balancer.Call(c.Endpoints()[0], http.MethodPost, "/cell", "", s.Cell(), nil)
		return err == nil
	})
	x.waitFor("every zone has an owner and every slot is held", func() bool { return c.ready(x.balancer) })
	t.Cleanup(x.checkLedger)
	return x
}

func (x *siteTest) waitFor(what string, f func() bool) {
	x.Helper()
	for end := time.Now().Add(waitTimeout); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			x.Fatalf("%s: not met within %v; ledger notes: %v", what, waitTimeout, x.Ledger.Notes)
		}
	}
}

func (x *siteTest) checkLedger() {
	l := x.Ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.Twice+l.Over+l.Crossed+l.Untrue+l.Lost > 0 {
		x.Errorf("ledger has violations: %v", l.Notes)
	}
}

// submit submits a job until it is accepted and returns its id and token.
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
		_, err := x.balancer.Call(x.balancer.Pick(), http.MethodPost, "/jobs", j.Member, j, &got)
		return err == nil
	})
	return got
}

func (x *siteTest) status(id string, seq int64) (*entry.Status, error) {
	s := &entry.Status{}
	_, err := x.balancer.Call(x.balancer.Pick(), http.MethodGet, fmt.Sprintf("/jobs/%s?seq=%d", id, seq), "m", nil, s)
	return s, err
}

func (x *siteTest) ended(id string) func() bool {
	return func() bool {
		s, err := x.status(id, 0)
		return err == nil && s.Ended != 0
	}
}

func (x *siteTest) prefix(zone int) string { return fmt.Sprintf("127.%d.%d.", x.Site.Subnet, zone) }

// cutZone partitions a zone from all others and from the platform.
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

// A partitioned zone continues to answer requests and to run its services, and
// stops tasks that may be moved to another zone. After the partition is healed
// no task may have run twice.
func TestZoneCutServesOn(t *testing.T) {
	x := startSite(t, smallSite(42))
	svc := x.submit(operator.Job{Name: "svc", Kind: operator.Service, Tasks: 2, Zone: "south", Command: []string{"serve"}})
	move := x.submit(operator.Job{Name: "mv", Zone: "south", Command: []string{"run", "1h"}})
	x.waitFor("all tasks run", func() bool { return x.running(svc.ID+"#0") && x.running(svc.ID+"#1") && x.running(move.ID+"#0") })
	x.cutZone(2)
	x.waitFor("the movable task is stopped when its lease expires", func() bool { return !x.running(move.ID + "#0") })
	time.Sleep(2 * time.Second) // several lease durations
	assert.Assert(t, x.running(svc.ID+"#0") && x.running(svc.ID+"#1"), "services of the partitioned zone must keep running")
	zoneBalancer := &Balancer{cli: x.balancer.cli, entries: x.Endpoints()[2:], healthy: map[string]bool{}}
	var tot RequestStats
	for range 20 {
		zoneBalancer.Request(x.Ledger, &tot, "p", "m", false, 2, 100)
	}
	assert.Equal(t, tot.Answered, 20, "%v", tot.Reasons)
	x.Net.Heal()
	x.waitFor("the movable task runs again", func() bool { return x.running(move.ID + "#0") })
	assert.Assert(t, x.running(svc.ID+"#0") && x.running(svc.ID+"#1"))
}

// When all entries and workers of a zone are permanently lost, another zone must
// run the jobs that the zone had accepted.
func TestLostZoneIsAdopted(t *testing.T) {
	x := startSite(t, smallSite(43))
	big := operator.Size{CPU: 16000} // the zone has three workers, so most tasks are queued
	id := x.submit(operator.Job{Name: "b-1", Tasks: 6, Zone: "south", Size: big, Command: []string{"run", "1s"}}).ID
	gang := x.submit(operator.Job{Name: "g-1", Kind: operator.Gang, Tasks: 3, Zone: "south", Size: big, Command: []string{"run", "1s"}}).ID
	x.waitFor("the first task runs", func() bool { return x.running(id + "#0") })
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
	// The zone's own entries return and take over their journal again.
	for _, vm := range x.Site.VMs() {
		if vm.Zone == "south" && vm.Role == "entry" {
			x.Platform.AddVMs(vm)
			assert.NilError(t, x.StartEntry(vm.ID))
		}
	}
	x.waitFor("the zone is owned by one of its own entries", func() bool { return x.Owner("south") != "" })
	s, err := x.status(id, 0)
	assert.NilError(t, err)
	assert.Equal(t, string(s.Cause), "done", "the zone that handed the job over must report it as done too")
}

// When all entries are gracefully restarted in turn under load, every request
// must be answered and none may have an unknown outcome.
func TestRollingRestartCutsNothing(t *testing.T) {
	rollingRestart(startSite(t, smallSite(44)))
}

// A request was answered unknown because it was sent to a restarted entry
// through a connection to the process before it, whose end had not been noticed.
func TestRequestsReachARestartedEntryThroughNewConnections(t *testing.T) {
	x := startSite(t, smallSite(59))
	x.Net.DelayEnds(700 * time.Millisecond)
	rollingRestart(x)
}

// A request was refused as bad-member by a restarted entry that had no configuration yet.
func TestRestartedEntryRefusesMembersBeforeItsConfiguration(t *testing.T) {
	x := startSite(t, smallSite(60))
	id := slices.Sorted(maps.Keys(x.settings))[0]
	set := x.settings[id]
	assert.NilError(t, x.Process(id).Stop(t.Context()))
	x.Net.Cut(set.IP(), "127.") // it can learn no configuration, but is reached by callers
	assert.NilError(t, x.StartEntry(id))
	x.balancer.check(t.Context())
	var tot, direct RequestStats
	for i := range 40 {
		x.balancer.Request(x.Ledger, &tot, "p", "m", i%2 == 0, 1, 100)
	}
	assert.Check(t, tot.Answered == 40, "the balancer must use the other entries: %v", tot.Reasons)
	restarted := &Balancer{cli: x.balancer.cli, entries: []Endpoints{{Caller: set.Caller}}}
	restarted.Request(x.Ledger, &direct, "p", "m", false, 1, 100)
	assert.DeepEqual(t, direct.Reasons, map[string]int{"unrun starting": 1})
}

func rollingRestart(x *siteTest) {
	t := x.T
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
				x.balancer.Request(x.Ledger, &tot, "p", "m", once, ms, 500)
			}()
		})
	}()
	time.Sleep(time.Second) // keys created before their home started would be answered as unknown
	for _, id := range slices.Sorted(maps.Keys(x.settings)) {
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

// While the table is down, running tasks continue, requests are answered, and new
// jobs are not reported as accepted; one reported as refused must not exist
// afterwards. Once the table is back, new jobs run.
func TestStoreDown(t *testing.T) {
	x := startSite(t, smallSite(45))
	svc := x.submit(operator.Job{Name: "svc", Kind: operator.Service, Zone: "north", Command: []string{"serve"}})
	x.waitFor("the service runs", func() bool { return x.running(svc.ID + "#0") })
	time.Sleep(time.Second) // keys must be created after their homes started
	x.Platform.SetFaults(StoreFaults{Down: true})
	var tot RequestStats
	for i := range 40 {
		x.balancer.Request(x.Ledger, &tot, "p", "m", i%2 == 0, 5, 100)
	}
	assert.Equal(t, tot.Answered, 40, "%v", tot.Reasons)
	j := operator.Job{Name: "late", Member: "m", Zone: "north", Size: operator.Size{CPU: 1}, Command: []string{"run", "1ms"}}
	code, err := x.balancer.Call(x.Endpoints()[0], http.MethodPost, "/jobs", "m", j, nil)
	assert.Assert(t, code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout, "%d %v", code, err)
	time.Sleep(3 * time.Second) // longer than a task lease
	assert.Assert(t, x.running(svc.ID+"#0"))
	x.Platform.SetFaults(StoreFaults{})
	if code == http.StatusServiceUnavailable {
		time.Sleep(time.Second)
		_, err = x.status("north.m.late", 0)
		assert.ErrorContains(t, err, "404", "the job was reported as not accepted")
	}
	id := x.submit(operator.Job{Name: "after", Zone: "north", Command: []string{"run", "1ms"}}).ID
	x.waitFor("a job submitted after the outage ends", x.ended(id))
}

func TestLeavingMinionGetsNothingNew(t *testing.T) {
	x := startSite(t, smallSite(46))
	var tot RequestStats
	id := slices.Sorted(maps.Keys(x.Minions))[0]
	x.Minions[id].Leave()
	x.waitFor("the leaving minion refuses a request", func() bool {
		x.balancer.Request(x.Ledger, &tot, "p", "m", true, 1, 10)
		return x.Minions[id].Refused() > 0
	})
	for range 200 {
		x.balancer.Request(x.Ledger, &tot, "p", "m", true, 1, 10)
	}
	assert.Equal(t, x.Minions[id].Refused(), 1, "the leaving minion must get no further requests")
	assert.Equal(t, tot.Unknown, 0, "%v", tot.Reasons)
}

// versionUpdate is an operator's update of the configuration with version base.
type versionUpdate struct{ base int64 }

// configModel models the configuration version as a register that changes by
// compare and set.
var configModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, output any) (bool, any) {
		v, from, got := state.(int64), input.(versionUpdate).base, output.(int64)
		switch {
		case got < 0: // conflict, or rejected
			return true, v
		case got == 0: // outcome unknown: the update may have been accepted
			return true, v
		}
		return v == from && got == from+1, got
	},
}

// Operators update the configuration concurrently through all entries while the
// store loses replies. The accepted versions must form a linearizable history,
// and no entry may return to an older version.
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
				if _, err := x.balancer.Call(f, http.MethodGet, "/cell", "", nil, &c); err == nil {
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
				if _, err := x.balancer.Call(f, http.MethodGet, "/cell", "", nil, &now); err != nil {
					continue
				}
				now.Author = fmt.Sprintf("author-%d", i)
				call := time.Since(began).Nanoseconds()
				var got ops.Applied
				code, err := x.balancer.Call(f, http.MethodPost, "/cell", "", now, &got)
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
	assert.Assert(t, highest > 3, "more than three updates must be accepted")
	x.waitFor("all entries have the newest accepted version", func() bool {
		for _, f := range x.Endpoints() {
			var c operator.Cell
			if _, err := x.balancer.Call(f, http.MethodGet, "/cell", "", nil, &c); err != nil || c.Version < highest {
				return false
			}
		}
		return true
	})
	stop()
	// An update with unknown outcome that was accepted leaves a gap in the versions.
	assert.Assert(t, porcupine.CheckOperations(modelWithUnknown(history), withoutUnknown(history)))
}

// withoutUnknown returns the operations whose outcome is known.
func withoutUnknown(h []porcupine.Operation) (out []porcupine.Operation) {
	for _, o := range h {
		if o.Output.(int64) != 0 {
			out = append(out, o)
		}
	}
	return out
}

// modelWithUnknown returns configModel extended so that the version may also
// advance by an update of h that has an unknown outcome and is based on that
// version.
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

// A member's read with a token must not return a state older than the token's.
func TestTokenReadsAreFresh(t *testing.T) {
	x := startSite(t, smallSite(48))
	for i := range 30 {
		a := x.submit(operator.Job{Name: fmt.Sprintf("t-%d", i), Command: []string{"run", "1h"}})
		s, err := x.status(a.ID, a.Token.Seq)
		assert.NilError(t, err, "the token was returned when the job was accepted")
		var c ops.Accepted
		x.waitFor("cancelled", func() bool {
			_, err := x.balancer.Call(x.balancer.Pick(), http.MethodDelete, "/jobs/"+a.ID, "m", nil, &c)
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

// Minions that had left got no requests any more when they had started again under
// their names and addresses.
func TestMinionsThatStartAgainAreUsed(t *testing.T) {
	x := startSite(t, smallSite(47))
	var tot RequestStats
	for _, m := range x.Minions {
		m.Leave()
	}
	x.waitFor("no minion takes requests", func() bool {
		tot = RequestStats{}
		for range 20 {
			x.balancer.Request(x.Ledger, &tot, "p", "m", true, 1, 10)
		}
		return tot.Answered == 0
	})
	for id, old := range x.Minions {
		old.Close()
		next := &Minion{Name: old.Name, Slots: old.Slots, MaxConns: old.MaxConns, Ledger: old.Ledger}
		x.waitFor("the minion starts again", func() bool { _, err := next.Serve(old.Addr); return err == nil })
		x.Minions[id] = next
	}
	x.waitFor("requests are answered", func() bool {
		tot = RequestStats{}
		x.balancer.Request(x.Ledger, &tot, "p", "m", true, 1, 10)
		return tot.Answered == 1
	})
}
