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

// owning is the zone that this entry owns at present, if it does.
type owning struct {
	mu      sync.Mutex
	owner   *control.Owner
	adopted map[string]*adoption // by zone
}

func (o *owning) get() *control.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner
}

// of returns the owner of a zone that this entry owns or has adopted.
func (o *owning) of(zone, own string) *control.Owner {
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

func (o *owning) set(x *control.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.owner = x
}

func (o *owning) valid(now time.Time) bool {
	x := o.get()
	return x != nil && x.HoldsLease(now)
}

// takeLimit bounds the write that makes an entry the owner.
const takeLimit = 10 * time.Second

// takeOver tries to become the zone's owner and, if it does, owns it until it
// is deposed, hands it over or ends.
func (e *Entry) takeOver(ctx context.Context) {
	bk, err := e.rep.copy()
	if err != nil {
		e.log.Error("own", "error", err)
		return
	}
	began, err := e.claim(ctx, e.Settings.Zone, bk)
	if err != nil {
		e.log.Info("own lost", "seq", bk.Seq, "error", err)
		return
	}
	e.ownZone(ctx, bk, began)
}

// claim writes, after the last row of bk, that this entry owns the zone, and
// brings bk up to date. It returns when the write began.
func (e *Entry) claim(ctx context.Context, zone string, bk *book.ZoneState) (began time.Time, err error) {
	began = time.Now()
	b := &journal.Batch{
		Zone: zone, Seq: bk.Seq + 1, ID: journal.NewID(), Epoch: bk.Epoch + 1, Entry: e.Settings.ID, Time: began.UnixMilli(),
		Events: []book.Event{{At: began.UnixMilli(), Own: &book.OwnerChange{Entry: e.Settings.ID, Boot: e.Boot, Epoch: bk.Epoch + 1}}},
	}
	ctx, cancel := context.WithTimeout(ctx, takeLimit)
	defer cancel()
	// The zero lease makes Append check that no row follows: this entry may
	// have been paused since it read the table.
	if err = journal.Append(ctx, e.platform, b, time.Time{}); err != nil {
		return began, fmt.Errorf("claim %s: %w", zone, err)
	}
	journal.Replay(bk, b)
	if zone == e.Settings.Zone {
		e.rep.apply([]journal.Batch{*b})
	}
	return began, nil
}

// ownZone runs the zone's control.
func (e *Entry) ownZone(ctx context.Context, bk *book.ZoneState, began time.Time) {
	c := control.New(e.Settings.Zone, e.Settings.ID, e.Boot, e.Settings.Timing(), bk, time.Now())
	c.Timeline = e.Line
	o := &control.Owner{
		Controller: c, Store: e.platform, Workers: e.workers, Log: e.log,
		Inbox:        make(chan control.Message, 4096),
		ObserveWrite: e.Metrics.Write,
		ObserveWait:  e.Metrics.TaskWait,
	}
	saved := bk.Seq
	o.Publish = func(b *journal.Batch) {
		e.rep.apply([]journal.Batch{*b})
		e.guard.confirm(time.UnixMilli(b.Time))
		if b.Seq-saved >= e.Settings.Snapshot {
			saved = b.Seq
			go e.save(ctx)
		}
	}
	epoch := bk.Epoch
	c.Handle(control.ConfigChanged{Cell: e.cells.get()}, time.Now())
	e.own.set(o)
	e.note("own", e.Settings.Zone, "epoch "+itoa(epoch))
	e.log.Info("own", "epoch", epoch, "seq", bk.Seq)
	octx, cancel := context.WithCancel(ctx)
	go e.feed(octx, o, e.Settings.Zone)
	err := o.Run(octx, began)
	cancel()
	e.own.set(nil)
	why := "handed over"
	if err != nil {
		why = err.Error()
	}
	e.note("depose", e.Settings.Zone, why)
	e.log.Info("depose", "epoch", epoch, "why", why)
}

func (e *Entry) save(ctx context.Context) {
	seq, b, err := e.rep.encode()
	if err == nil {
		err = journal.Save(ctx, e.platform, e.Settings.Zone, seq, b)
	}
	if err != nil {
		e.log.Warn("snap", "error", err)
		return
	}
	e.note("snap", e.Settings.Zone, "seq "+itoa(seq))
}

// feed tells the owner's control what this entry learns: the VM list, the
// entries of the zone and the configuration.
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
		} else if time.Since(listed) > listEvery {
			var err error
			if adopted, err = e.platform.VMs(ctx, zone, adopted); err == nil {
				listed = time.Now()
				ms = append(ms, control.VMList{VMs: adopted.VMs})
			}
		}
		if cell := e.cells.get(); cell.Version != version {
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
		sleep(ctx, feedEvery)
	}
}

// feedEvery is how often an owner's control hears of the entries.
const feedEvery = 200 * time.Millisecond

// liveEntries lists a zone's entries for its control, this one included.
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

// handover gives the zone up, if this entry owns it.
func (e *Entry) handover() {
	if o := e.own.get(); o != nil {
		select {
		case o.Inbox <- control.Handover{}:
		default: // it is asked again
		}
	}
}

// aloneFor is how long an entry that is to stop waits for another one to show
// up that could take over what it holds.
const aloneFor = 3 * time.Second

// alone reports whether no other entry of the zone has for some time been able
// to take anything over.
func (e *Entry) alone(now time.Time) bool {
	if e.company() || e.since.IsZero() {
		e.since = now
	}
	return now.Sub(e.since) >= aloneFor
}

// company reports whether another entry of the zone is at work.
func (e *Entry) company() bool {
	for _, x := range e.liveEntries(e.Settings.Zone, time.Now()) {
		if x.ID != e.Settings.ID && x.Alive && !x.Leaving {
			return true
		}
	}
	return false
}

// Owns reports whether this entry owns its zone for sure.
func (e *Entry) Owns() bool { return e.own.valid(time.Now()) }

// zones lists the zones in this entry's care besides its own.
func (o *owning) zones() (out []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for z := range o.adopted {
		out = append(out, z)
	}
	return out
}
