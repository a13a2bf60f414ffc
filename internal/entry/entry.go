// Package entry implements the entry process, the router between callers and
// back ends. All entries are equal.
//
// An entry follows its zone's journal and may become the zone's owner. It sends
// requests to the minions that the journal grants to it, is the home of some
// idempotency keys, and answers callers and operators for the whole system. The
// files are: replica and follow (reading the journal), ownership and adopt
// (owning a zone), grants (applying grants), serve and home (requests), jobs and
// read (operators), config (configuration), heartbeat (membership), pause
// (detection of process pauses) and top (status).
package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"jasminestep/internal/ledger"
	"jasminestep/internal/member"
	"jasminestep/internal/metric"
	"jasminestep/internal/minion"
	"jasminestep/internal/peer"
	"jasminestep/internal/platform"
	"jasminestep/internal/settings"
	"jasminestep/internal/slots"
	"jasminestep/internal/timeline"
	"jasminestep/internal/transport"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

// Options override defaults of an entry, mostly for tests.
type Options struct {
	Dial transport.Dial // nil: dial from the entry's own IP address
	Log  hclog.Logger   // nil: no log
	Seed uint64         // of random choices; zero: from the clock
	// ReplicaDelay delays batches that this entry reads from its zone's owner.
	ReplicaDelay time.Duration
}

// Entry is one entry process. Use New and Run.
type Entry struct {
	Settings settings.Settings
	Boot     int64 // when the process started, Unix milliseconds
	Timeline *timeline.Ring
	Metrics  *metric.Meter
	log      hclog.Logger

	platform *platform.Client
	workers  *worker.Client
	minions  *minion.Client
	peers    *peer.Client

	controlBytes struct{ platform, workers, peers transport.ByteCounter } // control traffic

	replica   replica
	ownership ownership
	slots     slots.Table
	ledger    ledger.Ledger
	pauses    pauseDetector
	config    activeConfig

	view struct {
		sync.Mutex
		member.View
		loads map[string]peerLoad // by entry ID
	}
	vms struct {
		sync.Mutex
		list []platform.VM
		at   time.Time // when list was last read
	}
	random struct {
		sync.Mutex
		*rand.Rand
	}
	retries        retryBudget
	replicaDelay   time.Duration
	forwardedReads atomic.Int64 // reads forwarded to the owner
	leaving        atomic.Bool
	aloneSince     time.Time      // since when no other entry could take over; used by Drain only
	inflight       sync.WaitGroup // requests accepted from callers
	longPolls      atomic.Int64   // those of pendingCalls that are long polls of the journal
	pendingCalls   atomic.Int64   // unanswered calls from other entries
	stopped        chan struct{}  // closed at the end of Run
}

// New returns an entry. It is inactive until Run is called.
func New(set settings.Settings, o Options) (*Entry, error) {
	if err := set.Check(); err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	if o.Dial == nil {
		o.Dial = transport.DialFrom(set.IP())
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	now := time.Now()
	if o.Seed == 0 {
		o.Seed = uint64(now.UnixNano())
	}
	m, err := metric.New()
	if err != nil {
		return nil, fmt.Errorf("entry: %w", err)
	}
	e := &Entry{
		Settings: set, Boot: now.UnixMilli(), Timeline: &timeline.Ring{}, Metrics: m, log: o.Log.With("vm", set.ID, "zone", set.Zone),
		replicaDelay: o.ReplicaDelay,
		minions:      minion.New(o.Dial, operator.DefaultBody),
		stopped:      make(chan struct{}),
	}
	e.platform = platform.New(set.Platform, e.controlBytes.platform.Dial(o.Dial))
	e.workers = worker.New(e.controlBytes.workers.Dial(o.Dial))
	e.peers = peer.New(o.Dial, &e.controlBytes.peers)
	e.replica.init()
	e.random.Rand = rand.New(rand.NewPCG(o.Seed, uint64(e.Boot)))
	e.view.Self = member.Info{ID: set.ID, Zone: set.Zone, Addr: set.Peer, Boot: e.Boot}
	e.view.Started = func(in member.Info) { e.peers.Forget(in.Addr) }
	e.view.loads = map[string]peerLoad{}
	e.pauses.start(now)
	return e, nil
}

// Run serves until ctx ends. It then returns without handing anything over; for
// a planned stop, call Drain before ending ctx.
func (e *Entry) Run(ctx context.Context) error {
	defer close(e.stopped)
	l, err := net.Listen("tcp", e.Settings.Peer)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	defer l.Close()
	defer e.peers.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){e.pauseLoop, e.heartbeatLoop, e.vmListLoop, e.configLoop, e.followLoop, e.grantLoop, e.probeLoop, e.adoptLoop, e.renewLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		_ = peer.Serve(l, &Peer{e}, &e.pendingCalls, &e.controlBytes.peers)
	}()
	e.recordEvent("serve", e.Settings.ID, "")
	e.log.Info("serve", "peer", e.Settings.Peer, "caller", e.Settings.Caller, "operator", e.Settings.Operator)
	<-ctx.Done()
	_ = l.Close()
	wg.Wait()
	return nil
}

// Leaving reports whether a planned stop has begun. Health checks then fail.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Ready reports whether the entry can answer: it is not stopping, and it knows
// a configuration and its zone's state.
func (e *Entry) Ready() bool {
	return !e.Leaving() && e.config.get().Version > 0 && e.replica.ready()
}

// Drain begins a planned stop and waits until the entry has handed over its zone,
// its minions and its keys and no request is in progress. The caller then ends
// Run's context. It fails if ctx ends first.
func (e *Entry) Drain(ctx context.Context) error {
	if !e.leaving.Swap(true) {
		e.recordEvent("drain", e.Settings.ID, "")
		e.log.Info("drain")
		e.announceLeaving()
	}
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		e.handover()
		if e.holdsNothing() {
			break
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("drain: %w", ctx.Err())
		case <-t.C:
		}
	}
	done := make(chan struct{})
	go func() {
		e.inflight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	}
}

// AwaitReplies waits until no other entry waits for an answer from this one.
// After Drain only the last answers may still be on their way out; this keeps
// the process from exiting before they are sent. Long polls do not count.
func (e *Entry) AwaitReplies(ctx context.Context) error {
	for e.pendingCalls.Load() > e.longPolls.Load() {
		if ctx.Err() != nil {
			return fmt.Errorf("drain: %w", ctx.Err())
		}
		sleep(ctx, time.Millisecond)
	}
	return nil
}

// recordEvent adds an event to the timeline.
func (e *Entry) recordEvent(kind, who, why string) {
	e.Timeline.Add(timeline.Event{At: time.Now().UnixMilli(), VM: e.Settings.ID, Kind: kind, Who: who, Why: why})
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
