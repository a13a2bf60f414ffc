package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/book"
	"jasminestep/internal/control"
	"jasminestep/internal/journal"
	"jasminestep/internal/worker"
)

// adoption is another zone's journal in this entry's care.
type adoption struct {
	owner *control.Owner
	rep   replica
}

// Timing of adoption.
const (
	adoptTick = 2 * time.Second
	homeAgain = 2 * time.Second // that a zone's own entries are heard before it is given back
)

// adoptLoop looks after zones of which nothing has been seen for long. Only the
// owner of a zone adopts, so that a zone that is cut off itself does not.
func (e *Entry) adoptLoop(ctx context.Context) {
	unseen := map[string]time.Time{}
	for ctx.Err() == nil {
		sleep(ctx, adoptTick)
		now := time.Now()
		for _, zone := range e.cells.get().Zones {
			if zone == e.Settings.Zone || e.anyEntry(zone) != "" || !e.own.valid(now) || e.Leaving() {
				delete(unseen, zone)
				continue
			}
			if unseen[zone].IsZero() {
				unseen[zone] = now
			}
			adopt := time.Duration(e.Settings.Adopt) * time.Millisecond
			if now.Sub(unseen[zone]) < adopt || e.own.of(zone, e.Settings.Zone) != nil {
				continue
			}
			go e.adopt(ctx, zone, adopt)
			unseen[zone] = now // not again at once if it fails
		}
	}
}

// adopt takes a zone's journal over if its last row is as old as that, and owns
// it until the zone's own entries are back.
func (e *Entry) adopt(ctx context.Context, zone string, age time.Duration) {
	bk, err := journal.Load(ctx, e.platform, zone)
	if err != nil {
		return // tried again later
	}
	if _, err = journal.CatchUp(ctx, e.platform, zone, bk); err != nil || bk.Seq == 0 {
		return
	}
	if time.Since(time.UnixMilli(bk.At)) < age {
		return // its owner still writes
	}
	began, err := e.claim(ctx, zone, bk)
	if err != nil {
		e.log.Info("adopt lost", "of", zone, "error", err)
		return
	}
	a := &adoption{}
	a.rep.init()
	a.rep.replace(bk)
	own, err := a.rep.copy()
	if err != nil {
		e.log.Error("adopt", "of", zone, "error", err)
		return
	}
	c := control.New(zone, e.Settings.ID, e.Boot, e.Settings.Timing(), own, time.Now())
	c.Timeline, c.TransferZone = e.Line, e.Settings.Zone
	a.owner = &control.Owner{
		Controller: c, Store: e.platform, Workers: e.workers, Log: e.log.With("adopted", zone),
		Inbox:       make(chan control.Message, 4096),
		Publish:     func(b *journal.Batch) { a.rep.apply([]journal.Batch{*b}) },
		TransferJob: e.giveJob,
	}
	c.Handle(control.ConfigChanged{Cell: e.cells.get()}, time.Now())
	e.own.setAdopted(zone, a)
	e.note("adopt", zone, "epoch "+itoa(bk.Epoch))
	e.log.Info("adopt", "of", zone, "epoch", bk.Epoch)
	octx, cancel := context.WithCancel(ctx)
	go e.feed(octx, a.owner, zone)
	go e.giveBack(octx, zone, a)
	err = a.owner.Run(octx, began)
	cancel()
	e.own.setAdopted(zone, nil)
	e.note("depose", zone, "adoption over")
	e.log.Info("adoption over", "of", zone, "why", err)
}

func (o *owning) setAdopted(zone string, a *adoption) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.adopted == nil {
		o.adopted = map[string]*adoption{}
	}
	if a == nil {
		delete(o.adopted, zone)
		return
	}
	o.adopted[zone] = a
}

// giveBack hands an adopted zone over once its own entries are at work again,
// or this entry is about to stop.
func (e *Entry) giveBack(ctx context.Context, zone string, a *adoption) {
	back := time.Time{}
	for ctx.Err() == nil {
		sleep(ctx, holdTick)
		now := time.Now()
		switch {
		case e.anyEntry(zone) == "":
			back = time.Time{}
		case back.IsZero():
			back = now
		}
		if e.Leaving() || !back.IsZero() && now.Sub(back) > homeAgain {
			select {
			case a.owner.Inbox <- control.Handover{}:
			default:
			}
		}
	}
}

// giveJob has this zone's owner, which is this entry as long as it adopts,
// accept a job of an adopted zone.
func (e *Entry) giveJob(ctx context.Context, j *book.Job) error {
	a, err := e.toOwner(ctx, &OwnerArgs{Zone: j.Moved, Adopted: &control.AdoptJob{Job: *j}})
	if err == nil && !a.OK {
		err = errors.New(a.Why)
	}
	return err
}

// replicaOf returns the state of a zone that this entry can answer for: its own,
// or one in its care.
func (e *Entry) replicaOf(zone string) *replica {
	if zone == e.Settings.Zone {
		return &e.rep
	}
	e.own.mu.Lock()
	defer e.own.mu.Unlock()
	if a := e.own.adopted[zone]; a != nil {
		return &a.rep
	}
	return nil
}

// keepLoop prolongs the leases of tasks that stay while neither the zone's
// owner nor the table can be reached: it starts nothing and moves nothing, so
// any entry of the zone may, and an owner's death in a zone that is cut off
// does not stop the zone's services.
func (e *Entry) keepLoop(ctx context.Context) {
	lease := e.Settings.Timing().TaskLease
	const quarter = 4
	for ctx.Err() == nil {
		sleep(ctx, lease/quarter)
		var at time.Time
		e.rep.read(func(b *book.ZoneState) { at = time.UnixMilli(b.At) })
		if time.Since(at) < lease/quarter || e.own.get() != nil || !e.awake() {
			continue // the owner renews
		}
		epoch, workers := e.staying()
		for _, addr := range workers {
			go func() {
				s := &worker.SyncRequest{Zone: e.Settings.Zone, Epoch: epoch, StayOnly: true, Until: time.Now().Add(lease).UnixMilli()}
				_, _ = e.workers.Sync(ctx, addr, s) // the next round tries again
			}()
		}
	}
}

// staying lists the addresses of workers with tasks that stay.
func (e *Entry) staying() (epoch int64, addrs []string) {
	ids := map[string]bool{}
	e.rep.read(func(b *book.ZoneState) {
		epoch = b.Epoch
		for _, j := range b.Jobs {
			for _, t := range j.Tasks {
				if j.Spec.Stays() && t.Live() {
					ids[t.Worker] = true
				}
			}
		}
	})
	e.vms.Lock()
	defer e.vms.Unlock()
	for _, vm := range e.vms.list {
		if ids[vm.ID] && vm.Addr != "" {
			addrs = append(addrs, vm.Addr)
		}
	}
	return epoch, addrs
}

// adopterOf asks around for the entry that has adopted a zone.
func (e *Entry) adopterOf(zone string) string {
	now := time.Now()
	e.view.Lock()
	defer e.view.Unlock()
	for id, t := range e.view.loads {
		p := e.view.Peers[id]
		for _, z := range t.zones {
			if z == zone && p != nil && e.view.Alive(p, now) {
				return p.Addr
			}
		}
	}
	return ""
}
