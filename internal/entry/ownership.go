package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/control"
	"jasminestep/internal/journal"
	"jasminestep/internal/member"
	"jasminestep/internal/platform"
)

// ownership tracks the zones that this entry owns: its own zone, unless owner is
// nil, and those that it has adopted.
type ownership struct {
	mu      sync.Mutex
	owner   *control.Owner
	adopted map[string]*adoption // by zone
}

func (o *ownership) get() *control.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner
}

// forZone returns the control.Owner of a zone that this entry owns, else nil.
// own is the entry's zone, which an empty zone also means.
func (o *ownership) forZone(zone, own string) *control.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	if zone == "" || zone == own {
		return o.owner
	}
	if a := o.adopted[zone]; a != nil {
		return a.owner
	}
	return nil
}

func (o *ownership) set(owner *control.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner = owner
}

func (o *ownership) valid(now time.Time) bool {
	owner := o.get()
	return owner != nil && owner.HoldsLease(now)
}

// claimTimeout bounds the journal write that makes an entry the owner.
const claimTimeout = 10 * time.Second

// takeOver tries to become the zone's owner. If that succeeds it runs the zone's
// control until the entry is deposed, hands the zone over or stops.
func (e *Entry) takeOver(ctx context.Context) {
	state, err := e.replica.clone()
	if err != nil {
		e.log.Error("own", "error", err)
		return
	}
	began, err := e.claim(ctx, e.Settings.Zone, state)
	if err != nil {
		e.log.Info("could not claim the zone", "seq", state.Seq, "error", err)
		return
	}
	e.runOwner(ctx, state, began)
}

// claim appends a journal row after the last one of state that makes this entry
// the zone's owner, and applies it to state. It returns when the write began.
func (e *Entry) claim(ctx context.Context, zone string, state *book.ZoneState) (began time.Time, err error) {
	began = time.Now()
	b := &journal.Batch{
		Zone: zone, Seq: state.Seq + 1, ID: journal.NewID(), Epoch: state.Epoch + 1, Entry: e.Settings.ID, Time: began.UnixMilli(),
		Events: []book.Event{{At: began.UnixMilli(), Own: &book.OwnerChange{Entry: e.Settings.ID, Boot: e.Boot, Epoch: state.Epoch + 1}}},
	}
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	// The zero lease makes Append check that no row follows: this entry may
	// have been paused since it read the table.
	if err = journal.Append(ctx, e.platform, b, time.Time{}); err != nil {
		return began, fmt.Errorf("claim %s: %w", zone, err)
	}
	journal.Replay(state, b)
	if zone == e.Settings.Zone {
		e.replica.apply([]journal.Batch{*b})
	}
	return began, nil
}

// runOwner runs the zone's control until the entry no longer owns the zone.
func (e *Entry) runOwner(ctx context.Context, state *book.ZoneState, began time.Time) {
	c := control.New(e.Settings.Zone, e.Settings.ID, e.Boot, e.Settings.Timing(), state, time.Now())
	c.Timeline = e.Timeline
	o := &control.Owner{
		Controller: c, Store: e.platform, Workers: e.workers, Log: e.log,
		Inbox:        make(chan control.Message, 4096),
		ObserveWrite: e.Metrics.Write,
		ObserveWait:  e.Metrics.TaskWait,
	}
	snapshotSeq := state.Seq
	o.Publish = func(b *journal.Batch) {
		e.replica.apply([]journal.Batch{*b})
		e.pauses.confirm(time.UnixMilli(b.Time))
		if b.Seq-snapshotSeq >= e.Settings.Snapshot {
			snapshotSeq = b.Seq
			go e.saveSnapshot(ctx)
		}
	}
	epoch := state.Epoch
	c.Handle(control.ConfigChanged{Cell: e.config.get()}, time.Now())
	e.ownership.set(o)
	e.recordEvent("own", e.Settings.Zone, "epoch "+itoa(epoch))
	e.log.Info("own", "epoch", epoch, "seq", state.Seq)
	octx, cancel := context.WithCancel(ctx)
	go e.feed(octx, o, e.Settings.Zone)
	err := o.Run(octx, began)
	cancel()
	e.ownership.set(nil)
	why := "handed over"
	if err != nil {
		why = err.Error()
	}
	e.recordEvent("depose", e.Settings.Zone, why)
	e.log.Info("depose", "epoch", epoch, "why", why)
}

func (e *Entry) saveSnapshot(ctx context.Context) {
	seq, b, err := e.replica.encode()
	if err == nil {
		err = journal.Save(ctx, e.platform, e.Settings.Zone, seq, b)
	}
	if err != nil {
		e.log.Warn("snap", "error", err)
		return
	}
	e.recordEvent("snap", e.Settings.Zone, "seq "+itoa(seq))
}

// feed sends the zone's control what this entry learns: the VM list, the entries
// of the zone and the configuration.
func (e *Entry) feed(ctx context.Context, o *control.Owner, zone string) {
	var listed time.Time
	var adopted platform.VMList
	version := int64(-1)
	for ctx.Err() == nil {
		var ms []control.Message
		if zone == e.Settings.Zone {
			e.vms.Lock()
			list, at := e.vms.list, e.vms.at
			e.vms.Unlock()
			if at.After(listed) {
				listed = at
				ms = append(ms, control.VMList{VMs: list})
			}
		} else if time.Since(listed) > ownerListInterval {
			var err error
			if adopted, err = e.platform.VMs(ctx, zone, adopted); err == nil {
				listed = time.Now()
				ms = append(ms, control.VMList{VMs: adopted.VMs})
			}
		}
		if cell := e.config.get(); cell.Version != version {
			version = cell.Version
			ms = append(ms, control.ConfigChanged{Cell: cell})
		}
		ms = append(ms, control.EntryList{Entries: e.liveEntries(zone, time.Now())})
		for _, m := range ms {
			select {
			case o.Inbox <- m:
			case <-ctx.Done():
				return
			}
		}
		sleep(ctx, feedInterval)
	}
}

// feedInterval is how often a zone's control is sent the entries of the zone.
const feedInterval = 200 * time.Millisecond

// liveEntries returns all known entries of a zone with their liveness, this one
// included.
func (e *Entry) liveEntries(zone string, now time.Time) []control.Entry {
	var out []control.Entry
	if zone == e.Settings.Zone {
		out = append(out, control.Entry{ID: e.Settings.ID, Boot: e.Boot, Leaving: e.Leaving(), Alive: true})
	}
	e.view.Lock()
	defer e.view.Unlock()
	for _, p := range e.view.Peers {
		if p.Zone == zone {
			out = append(out, control.Entry{ID: p.ID, Boot: p.Boot, Leaving: p.Status == member.Left, Alive: e.view.Alive(p, now)})
		}
	}
	return out
}

// handover asks the zone's control to hand the zone over, if this entry owns it.
func (e *Entry) handover() {
	if o := e.ownership.get(); o != nil {
		select {
		case o.Inbox <- control.Handover{}:
		default: // the inbox is full; Drain calls handover again
		}
	}
}

// aloneTimeout is how long a stopping entry waits for another one that could
// take over what it holds.
const aloneTimeout = 3 * time.Second

// alone reports whether for aloneTimeout no other entry of the zone has been
// able to take over.
func (e *Entry) alone(now time.Time) bool {
	if e.hasSuccessor() || e.aloneSince.IsZero() {
		e.aloneSince = now
	}
	return now.Sub(e.aloneSince) >= aloneTimeout
}

// hasSuccessor reports whether another entry of the zone is alive and not
// stopping.
func (e *Entry) hasSuccessor() bool {
	for _, x := range e.liveEntries(e.Settings.Zone, time.Now()) {
		if x.ID != e.Settings.ID && x.Alive && !x.Leaving {
			return true
		}
	}
	return false
}

// Owns reports whether this entry holds a valid lease on its zone.
func (e *Entry) Owns() bool { return e.ownership.valid(time.Now()) }

// adoptedZones returns the names of the zones that this entry has adopted.
func (o *ownership) adoptedZones() (out []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for z := range o.adopted {
		out = append(out, z)
	}
	return out
}
