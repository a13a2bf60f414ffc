package entry

import (
	"context"
	"time"

	"jasminestep/internal/member"
	"jasminestep/internal/peer"
	"jasminestep/internal/platform"
	"jasminestep/internal/slots"
)

// Peer is the service that an entry offers to others.
type Peer struct{ e *Entry }

// Ping answers at once; it tells a live connection from a silent one.
func (*Peer) Ping(struct{}, *struct{}) error { return nil }

// Beat is a heartbeat, and its answer: what an entry tells another of itself.
type Beat struct {
	From    member.Info
	Others  []member.Info
	Version int64 // of the configuration in force there
	Loads   map[string]slots.Load
	Adopted []string // zones in its care
}

// told is what another entry told of its load.
type told struct {
	loads map[string]slots.Load
	at    time.Time
	sent  map[string]int // requests sent there since, by pool
	zones []string       // in its care
}

func (e *Entry) beat() *Beat {
	v, _ := e.cells.version()
	b := &Beat{Version: v, Loads: e.slots.Loads(time.Now()), Adopted: e.own.zones()}
	e.view.Lock()
	defer e.view.Unlock()
	b.From, b.Others = e.view.Self, e.view.Gossip(time.Now())
	return b
}

// heard takes in a heartbeat or its answer.
func (e *Entry) heard(ctx context.Context, b *Beat) {
	now := time.Now()
	e.view.Lock()
	changed := e.view.RecordContact(b.From, now)
	for _, o := range b.Others {
		if o.ID != b.From.ID {
			changed = e.view.Merge(o, now) || changed
		}
	}
	e.view.loads[b.From.ID] = told{b.Loads, now, map[string]int{}, b.Adopted}
	e.view.Unlock()
	if changed {
		e.note("peer", b.From.ID, "view changed")
	}
	if v, _ := e.cells.version(); b.Version > v {
		e.pullCell(ctx, b.From.Addr)
	}
}

// Beat answers a heartbeat.
func (p *Peer) Beat(b *Beat, r *Beat) error {
	go p.e.heard(context.Background(), b)
	*r = *p.e.beat()
	return nil
}

// ProbeArgs asks an entry to try another one.
type ProbeArgs struct{ Addr string }

// ProbeReply says whether it answered.
type ProbeReply struct{ OK bool }

// Probe answers ProbeArgs.
func (p *Peer) Probe(a *ProbeArgs, r *ProbeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), beatTimeout)
	defer cancel()
	r.OK = p.e.peers.Call(ctx, a.Addr, peer.Control, "Ping", struct{}{}, &struct{}{}) == nil
	return nil
}

// Timing of membership.
const (
	beatTimeout = 800 * time.Millisecond
	listEvery   = time.Second     // between reads of the VM list by an owner
	listSlow    = 4 * time.Second // by others
)

// beatLoop sends heartbeats.
func (e *Entry) beatLoop(ctx context.Context) {
	e.greet(ctx)
	t := time.NewTicker(member.HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		e.view.Lock()
		to := e.view.HeartbeatTargets(time.Now())
		e.view.Unlock()
		for _, p := range to {
			go e.beatTo(ctx, p.ID, p.Addr)
		}
		if len(to) == 0 {
			e.greet(ctx)
		}
	}
}

// greet makes this entry known to the seeds.
func (e *Entry) greet(ctx context.Context) {
	for _, addr := range e.Settings.Seeds {
		if addr != e.Settings.Peer {
			go e.beatTo(ctx, "", addr)
		}
	}
}

func (e *Entry) beatTo(ctx context.Context, id, addr string) {
	bctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	r := &Beat{}
	if err := e.peers.Call(bctx, addr, peer.Control, "Beat", e.beat(), r); err == nil {
		e.heard(ctx, r)
		return
	}
	if id == "" || ctx.Err() != nil {
		return
	}
	e.view.Lock()
	ask := e.view.RecordFailure(id, time.Now())
	e.view.Unlock()
	if len(ask) > 0 {
		e.askOthers(ctx, id, addr, ask)
	}
}

// askOthers has others try an entry that does not answer this one.
func (e *Entry) askOthers(ctx context.Context, id, addr string, ask []member.Info) {
	for _, h := range ask {
		pctx, cancel := context.WithTimeout(ctx, 2*beatTimeout)
		r := &ProbeReply{}
		err := e.peers.Call(pctx, h.Addr, peer.Control, "Probe", &ProbeArgs{addr}, r)
		cancel()
		if err == nil && r.OK {
			return // the path from here is broken, not the entry
		}
	}
	e.view.Lock()
	now := e.view.MarkSuspect(id, time.Now())
	e.view.Unlock()
	if now {
		e.note("peer", id, "suspected")
	}
}

// setLeaving tells the others that this entry is about to stop.
func (e *Entry) setLeaving() {
	e.view.Lock()
	e.view.Self.Status = member.Left
	e.view.Self.Inc++
	var addrs []string
	for _, p := range e.view.Peers {
		addrs = append(addrs, p.Addr)
	}
	e.view.Unlock()
	for _, a := range addrs {
		go e.beatTo(context.Background(), "", a)
	}
}

// listLoop reads the zone's part of the platform's VM list.
func (e *Entry) listLoop(ctx context.Context) {
	var list platform.VMList
	for ctx.Err() == nil {
		var err error
		if list, err = e.platform.VMs(ctx, e.Settings.Zone, list); err == nil {
			now := time.Now()
			e.vms.Lock()
			e.vms.list, e.vms.at = list.VMs, now
			e.vms.Unlock()
			e.meet(list.VMs, now)
		}
		if e.own.get() != nil {
			sleep(ctx, listEvery)
		} else {
			sleep(ctx, listSlow)
		}
	}
}

// meet adds the entries on the VM list that are not known yet.
func (e *Entry) meet(list []platform.VM, now time.Time) {
	e.view.Lock()
	defer e.view.Unlock()
	for _, vm := range list {
		if vm.Role == "entry" && e.view.Peers[vm.ID] == nil {
			e.view.Merge(member.Info{ID: vm.ID, Zone: vm.Zone, Addr: vm.Addr}, now)
		}
	}
}
