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

// adoption is another zone whose journal this entry owns for the time being.
type adoption struct {
	owner   *control.Owner
	replica replica
}

// Timing of adoption.
const (
	adoptInterval = 2 * time.Second
	returnDelay   = 2 * time.Second // how long an entry of the zone must be live before the zone is returned
)

// adoptLoop adopts zones of which no entry has been seen for the configured
// time. Only the valid owner of its own zone adopts, so that an entry in a zone
// that is itself cut off does not.
func (e *Entry) adoptLoop(ctx context.Context) {
	unseen := map[string]time.Time{}
	for ctx.Err() == nil {
		sleep(ctx, adoptInterval)
		now := time.Now()
		for _, zone := range e.config.get().Zones {
			if zone == e.Settings.Zone || e.anyEntry(zone) != "" || !e.ownership.valid(now) || e.Leaving() {
				delete(unseen, zone)
				continue
			}
			if unseen[zone].IsZero() {
				unseen[zone] = now
			}
			adopt := time.Duration(e.Settings.Adopt) * time.Millisecond
			if now.Sub(unseen[zone]) < adopt || e.ownership.forZone(zone, e.Settings.Zone) != nil {
				continue
			}
			go e.adopt(ctx, zone, adopt)
			unseen[zone] = now // if it fails, wait as long again
		}
	}
}

// adopt takes over a zone's journal if its last row is at least age old, and
// owns it until the zone's own entries are back.
func (e *Entry) adopt(ctx context.Context, zone string, age time.Duration) {
	state, err := journal.Load(ctx, e.platform, zone)
	if err != nil {
		return // adoptLoop tries again later
	}
	if _, err = journal.CatchUp(ctx, e.platform, zone, state); err != nil || state.Seq == 0 {
		return
	}
	if time.Since(time.UnixMilli(state.At)) < age {
		return // the zone's owner still writes
	}
	began, err := e.claim(ctx, zone, state)
	if err != nil {
		e.log.Info("could not claim the zone for adoption", "of", zone, "error", err)
		return
	}
	a := &adoption{}
	a.replica.init()
	a.replica.replace(state)
	own, err := a.replica.clone()
	if err != nil {
		e.log.Error("adopt", "of", zone, "error", err)
		return
	}
	c := control.New(zone, e.Settings.ID, e.Boot, e.Settings.Timing(), own, time.Now())
	c.Timeline, c.TransferZone = e.Timeline, e.Settings.Zone
	a.owner = &control.Owner{
		Controller: c, Store: e.platform, Workers: e.workers, Log: e.log.With("adopted", zone),
		Inbox:       make(chan control.Message, 4096),
		Publish:     func(b *journal.Batch) { a.replica.apply([]journal.Batch{*b}) },
		TransferJob: e.transferJob,
	}
	c.Handle(control.ConfigChanged{Cell: e.config.get()}, time.Now())
	e.ownership.setAdopted(zone, a)
	e.recordEvent("adopt", zone, "epoch "+itoa(state.Epoch))
	e.log.Info("adopt", "of", zone, "epoch", state.Epoch)
	octx, cancel := context.WithCancel(ctx)
	go e.feed(octx, a.owner, zone)
	go e.returnZone(octx, zone, a)
	err = a.owner.Run(octx, began)
	cancel()
	e.ownership.setAdopted(zone, nil)
	e.recordEvent("depose", zone, "adoption over")
	e.log.Info("adoption ended", "of", zone, "why", err)
}

func (o *ownership) setAdopted(zone string, a *adoption) {
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

// returnZone hands an adopted zone back once its own entries have been live for
// returnDelay, or when this entry is stopping.
func (e *Entry) returnZone(ctx context.Context, zone string, a *adoption) {
	liveSince := time.Time{}
	for ctx.Err() == nil {
		sleep(ctx, grantInterval)
		now := time.Now()
		switch {
		case e.anyEntry(zone) == "":
			liveSince = time.Time{}
		case liveSince.IsZero():
			liveSince = now
		}
		if e.Leaving() || !liveSince.IsZero() && now.Sub(liveSince) > returnDelay {
			select {
			case a.owner.Inbox <- control.Handover{}:
			default:
			}
		}
	}
}

// transferJob moves a job of an adopted zone to the zone named in j.Moved,
// whose owner accepts it. That is this entry's zone, which it owns while it
// adopts.
func (e *Entry) transferJob(ctx context.Context, j *book.Job) error {
	a, err := e.askOwner(ctx, &OwnerArgs{Zone: j.Moved, Adopted: &control.AdoptJob{Job: *j}})
	if err == nil && !a.OK {
		err = errors.New(a.Why)
	}
	return err
}

// replicaOf returns the replica of this entry's zone or of one that it has
// adopted; nil for other zones.
func (e *Entry) replicaOf(zone string) *replica {
	if zone == e.Settings.Zone {
		return &e.replica
	}
	e.ownership.mu.Lock()
	defer e.ownership.mu.Unlock()
	if a := e.ownership.adopted[zone]; a != nil {
		return &a.replica
	}
	return nil
}

// renewLoop renews the leases of tasks that keep running in a cut-off zone
// (operator.Job.Stays) while neither the zone's owner nor the table can be
// reached. It starts and moves nothing, so any entry of the zone may do it.
// Without it, the failure of the owner in a cut-off zone would stop the zone's
// services.
func (e *Entry) renewLoop(ctx context.Context) {
	lease := e.Settings.Timing().TaskLease
	const renewalsPerLease = 4
	for ctx.Err() == nil {
		sleep(ctx, lease/renewalsPerLease)
		var at time.Time
		e.replica.read(func(b *book.ZoneState) { at = time.UnixMilli(b.At) })
		if time.Since(at) < lease/renewalsPerLease || e.ownership.get() != nil || !e.stateCurrent() {
			continue // the owner renews, or this entry's own state may be outdated
		}
		epoch, workers := e.stayingWorkers()
		for _, addr := range workers {
			go func() {
				s := &worker.SyncRequest{Zone: e.Settings.Zone, Epoch: epoch, StayOnly: true, Until: time.Now().Add(lease).UnixMilli()}
				_, _ = e.workers.Sync(ctx, addr, s) // tried again in the next round
			}()
		}
	}
}

// stayingWorkers returns the addresses of the workers that run tasks which keep
// running in a cut-off zone.
func (e *Entry) stayingWorkers() (epoch int64, addrs []string) {
	ids := map[string]bool{}
	e.replica.read(func(b *book.ZoneState) {
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

// adopterOf returns the address of the live entry that has adopted a zone
// according to its heartbeats; empty if there is none.
func (e *Entry) adopterOf(zone string) string {
	now := time.Now()
	e.view.Lock()
	defer e.view.Unlock()
	for id, t := range e.view.loads {
		p := e.view.Peers[id]
		for _, z := range t.adopted {
			if z == zone && p != nil && e.view.Alive(p, now) {
				return p.Addr
			}
		}
	}
	return ""
}
