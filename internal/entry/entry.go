// Package entry is one entry process: any of the equal processes between
// callers and back ends.
//
// An entry follows its zone's journal, may become its owner, spends the slots
// of the minions it was granted, is home to some of the keys, and answers
// callers and operators for the whole system. The filters are in files of their
// own: replica and follow (journal in), own (decisions out), holder (grants to
// slots), serve (requests), jobs (operators), cells (configuration) and beat
// (membership).
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

// Options are what tests change about an entry; the zero value is for use.
type Options struct {
	Dial transport.Dial // nil: from the entry's own IP number
	Log  hclog.Logger   // nil: none
	Seed uint64         // of random choices; zero: from the clock
	// Behind delays what this entry learns of its zone's journal.
	ReplicaDelay time.Duration
}

// Entry is one entry process. Use New and Run.
type Entry struct {
	Settings settings.Settings
	Boot     int64 // when the process started, Unix milliseconds
	Line     *timeline.Ring
	Metrics  *metric.Meter
	log      hclog.Logger

	platform *platform.Client
	workers  *worker.Client
	minions  *minion.Client
	peers    *peer.Client

	bytes struct{ platform, workers, peers transport.ByteCounter } // for control

	rep    replica
	own    owning
	slots  slots.Table
	ledger ledger.Ledger
	guard  guard
	cells  cells

	view struct {
		sync.Mutex
		member.View
		loads map[string]told // by entry
	}
	vms struct {
		sync.Mutex
		list []platform.VM
		at   time.Time // of the last good answer
	}
	rnd struct {
		sync.Mutex
		*rand.Rand
	}
	budget   budget
	behind   time.Duration
	passed   atomic.Int64 // reads passed on to the owner
	leaving  atomic.Bool
	since    time.Time      // for Drained alone: since when there is nobody to hand over to
	inflight sync.WaitGroup // requests accepted from callers
	polls    atomic.Int64   // of pending, those that wait for the journal to go on
	pending  atomic.Int64   // calls from other entries that are not answered yet
	stopped  chan struct{}  // closed at the end of Run
}

// New prepares an entry; nothing happens before Run.
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
		Settings: set, Boot: now.UnixMilli(), Line: &timeline.Ring{}, Metrics: m, log: o.Log.With("vm", set.ID, "zone", set.Zone),
		behind:  o.ReplicaDelay,
		minions: minion.New(o.Dial, operator.DefaultBody),
		stopped: make(chan struct{}),
	}
	e.platform = platform.New(set.Platform, e.bytes.platform.Dial(o.Dial))
	e.workers = worker.New(e.bytes.workers.Dial(o.Dial))
	e.peers = peer.New(o.Dial, &e.bytes.peers)
	e.rep.init()
	e.rnd.Rand = rand.New(rand.NewPCG(o.Seed, uint64(e.Boot)))
	e.view.Self = member.Info{ID: set.ID, Zone: set.Zone, Addr: set.Peer, Boot: e.Boot}
	e.view.loads = map[string]told{}
	e.guard.start(now)
	return e, nil
}

// Run serves until ctx ends, abruptly: nothing is handed over. Stop is the
// planned way.
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
	for _, f := range []func(context.Context){e.guardLoop, e.beatLoop, e.listLoop, e.cellLoop, e.followLoop, e.holdLoop, e.probeLoop, e.adoptLoop, e.keepLoop} {
		wg.Add(1)
		go func() {
			defer wg.Done()
			f(ctx)
		}()
	}
	go func() { _ = peer.Serve(l, &Peer{e}, &e.pending, &e.bytes.peers) }()
	e.note("serve", e.Settings.ID, "")
	e.log.Info("serve", "peer", e.Settings.Peer, "caller", e.Settings.Caller, "operator", e.Settings.Operator)
	<-ctx.Done()
	_ = l.Close()
	wg.Wait()
	return nil
}

// Leaving reports whether a planned stop has begun; health checks then fail.
func (e *Entry) Leaving() bool { return e.leaving.Load() }

// Ready reports whether the entry can answer: it knows a configuration and its
// zone's state.
func (e *Entry) Ready() bool {
	return !e.Leaving() && e.cells.get().Version > 0 && e.rep.ready()
}

// Drained waits until the entry holds nothing any more: it has given away its
// zone, its minions and its keys, and no request is in progress. The caller
// then ends Run's context. It fails when ctx ends first.
func (e *Entry) Drain(ctx context.Context) error {
	if !e.leaving.Swap(true) {
		e.note("drain", e.Settings.ID, "")
		e.log.Info("drain")
		e.setLeaving()
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

// Answered waits until no other entry waits for an answer of this one. Those
// that were in progress when it was drained are long over; this is about the
// last of them, whose answer may still be on its way out. Long polls do not count.
func (e *Entry) AwaitReplies(ctx context.Context) error {
	for e.pending.Load() > e.polls.Load() {
		if ctx.Err() != nil {
			return fmt.Errorf("drain: %w", ctx.Err())
		}
		sleep(ctx, time.Millisecond)
	}
	return nil
}

// note adds to the time line.
func (e *Entry) note(kind, who, why string) {
	e.Line.Add(timeline.Event{At: time.Now().UnixMilli(), VM: e.Settings.ID, Kind: kind, Who: who, Why: why})
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
