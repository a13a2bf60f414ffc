package entry

import (
	"context"
	"time"

	"jasminestep/internal/member"
	"jasminestep/internal/peer"
	"jasminestep/internal/platform"
	"jasminestep/internal/slots"
)

// Peer is the net/rpc service that an entry offers to other entries.
type Peer struct{ e *Entry }

// Ping answers at once. Callers use it to detect dead connections.
func (*Peer) Ping(struct{}, *struct{}) error { return nil }

// Heartbeat is a heartbeat or the answer to one.
type Heartbeat struct {
	From    member.Info
	Others  []member.Info
	Version int64                 // of the configuration in force at the sender
	Loads   map[string]slots.Load // by pool
	Adopted []string              // zones that the sender has adopted
}

// peerLoad is what another entry last reported of its load.
type peerLoad struct {
	loads   map[string]slots.Load // by pool
	at      time.Time
	sent    map[string]int // requests sent there since, by pool
	adopted []string       // that it has adopted
}

func (e *Entry) newHeartbeat() *Heartbeat {
	v, _ := e.config.version()
	b := &Heartbeat{Version: v, Loads: e.slots.Loads(time.Now()), Adopted: e.ownership.adoptedZones()}
	e.view.Lock()
	defer e.view.Unlock()
	b.From, b.Others = e.view.Self, e.view.Gossip(time.Now())
	return b
}

// handleHeartbeat processes a heartbeat or the answer to one.
func (e *Entry) handleHeartbeat(ctx context.Context, b *Heartbeat) {
	now := time.Now()
	e.view.Lock()
	changed := e.view.RecordContact(b.From, now)
	for _, o := range b.Others {
		if o.ID != b.From.ID {
			changed = e.view.Merge(o, now) || changed
		}
	}
	e.view.loads[b.From.ID] = peerLoad{b.Loads, now, map[string]int{}, b.Adopted}
	e.view.Unlock()
	if changed {
		e.recordEvent("peer", b.From.ID, "view changed")
	}
	if v, _ := e.config.version(); b.Version > v {
		e.fetchConfig(ctx, b.From.Addr)
	}
}

// Beat answers a heartbeat.
func (p *Peer) Beat(b *Heartbeat, r *Heartbeat) error {
	go p.e.handleHeartbeat(context.Background(), b)
	*r = *p.e.newHeartbeat()
	return nil
}

// ProbeArgs asks an entry to ping another one.
type ProbeArgs struct{ Addr string }

// ProbeReply says whether the probed entry answered.
type ProbeReply struct{ OK bool }

// Probe pings the entry at a.Addr on behalf of the caller.
func (p *Peer) Probe(a *ProbeArgs, r *ProbeReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	r.OK = p.e.peers.Call(ctx, a.Addr, peer.Control, "Ping", struct{}{}, &struct{}{}) == nil
	return nil
}

// Timing of membership.
const (
	heartbeatTimeout     = 800 * time.Millisecond
	ownerListInterval    = time.Second     // between reads of the VM list by the zone's owner
	followerListInterval = 4 * time.Second // by other entries
)

// heartbeatLoop sends heartbeats, to the seeds as long as no other entry is
// known.
func (e *Entry) heartbeatLoop(ctx context.Context) {
	e.contactSeeds(ctx)
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
			go e.sendHeartbeat(ctx, p.ID, p.Addr)
		}
		if len(to) == 0 {
			e.contactSeeds(ctx)
		}
	}
}

// contactSeeds sends a heartbeat to every seed.
func (e *Entry) contactSeeds(ctx context.Context) {
	for _, addr := range e.Settings.Seeds {
		if addr != e.Settings.Peer {
			go e.sendHeartbeat(ctx, "", addr)
		}
	}
}

func (e *Entry) sendHeartbeat(ctx context.Context, id, addr string) {
	bctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	r := &Heartbeat{}
	if err := e.peers.Call(bctx, addr, peer.Control, "Beat", e.newHeartbeat(), r); err == nil {
		e.handleHeartbeat(ctx, r)
		return
	}
	if id == "" || ctx.Err() != nil {
		return
	}
	e.view.Lock()
	ask := e.view.RecordFailure(id, time.Now())
	e.view.Unlock()
	if len(ask) > 0 {
		e.probeIndirectly(ctx, id, addr, ask)
	}
}

// probeIndirectly has other entries ping an entry that does not answer this
// one, and suspects it if none of them gets an answer.
func (e *Entry) probeIndirectly(ctx context.Context, id, addr string, ask []member.Info) {
	for _, h := range ask {
		pctx, cancel := context.WithTimeout(ctx, 2*heartbeatTimeout)
		r := &ProbeReply{}
		err := e.peers.Call(pctx, h.Addr, peer.Control, "Probe", &ProbeArgs{addr}, r)
		cancel()
		if err == nil && r.OK {
			return // only the path from here is broken
		}
	}
	e.view.Lock()
	now := e.view.MarkSuspect(id, time.Now())
	e.view.Unlock()
	if now {
		e.recordEvent("peer", id, "suspected")
	}
}

// announceLeaving tells the other entries that this one is stopping.
func (e *Entry) announceLeaving() {
	e.view.Lock()
	e.view.Self.Status = member.Left
	e.view.Self.Inc++
	var addrs []string
	for _, p := range e.view.Peers {
		addrs = append(addrs, p.Addr)
	}
	e.view.Unlock()
	for _, a := range addrs {
		go e.sendHeartbeat(context.Background(), "", a)
	}
}

// vmListLoop polls the zone's part of the platform's VM list.
func (e *Entry) vmListLoop(ctx context.Context) {
	var list platform.VMList
	for ctx.Err() == nil {
		var err error
		if list, err = e.platform.VMs(ctx, e.Settings.Zone, list); err == nil {
			now := time.Now()
			e.vms.Lock()
			e.vms.list, e.vms.at = list.VMs, now
			e.vms.Unlock()
			e.addListedEntries(list.VMs, now)
		}
		if e.ownership.get() != nil {
			sleep(ctx, ownerListInterval)
		} else {
			sleep(ctx, followerListInterval)
		}
	}
}

// addListedEntries adds entries on the VM list that are not known yet to the
// membership view.
func (e *Entry) addListedEntries(list []platform.VM, now time.Time) {
	e.view.Lock()
	defer e.view.Unlock()
	for _, vm := range list {
		if vm.Role == "entry" && e.view.Peers[vm.ID] == nil {
			e.view.Merge(member.Info{ID: vm.ID, Zone: vm.Zone, Addr: vm.Addr}, now)
		}
	}
}
