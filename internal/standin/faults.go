package standin

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// fault is one kind of fault. run injects it and, if it lasts, ends it after hold
// at the latest.
type fault struct {
	name string
	run  func(r *demoRun, rnd *rand.Rand, hold time.Duration)
}

// faultTable lists the faults in the order in which a demo injects them.
var faultTable = []fault{
	{"an owner is killed and restarted", func(r *demoRun, rnd *rand.Rand, hold time.Duration) {
		zone := r.Site.Zones[rnd.IntN(len(r.Site.Zones))]
		if id := r.cluster.Owner(zone); id != "" {
			r.restart(id, hold)
		}
	}},
	{"the store loses replies and is slow", func(r *demoRun, _ *rand.Rand, hold time.Duration) {
		r.cluster.Platform.SetFaults(StoreFaults{ReplyLossRate: 0.2, ExtraLatency: 100 * time.Millisecond})
		time.Sleep(hold)
		r.cluster.Platform.SetFaults(StoreFaults{})
	}},
	{"connections to minions go silent", func(r *demoRun, _ *rand.Rand, _ time.Duration) {
		for _, m := range r.cluster.Minions {
			m.Silence()
		}
	}},
	{"a worker fails every task, another restarts", func(r *demoRun, rnd *rand.Rand, hold time.Duration) {
		ids := slices.Sorted(maps.Keys(r.cluster.Workers))
		a, b := r.cluster.Workers[ids[rnd.IntN(len(ids))]], r.cluster.Workers[ids[rnd.IntN(len(ids))]]
		a.SetFaults(WorkerFaults{FailAll: true})
		b.Crash()
		time.Sleep(hold / 2)
		_ = b.Serve() // the address is not used by any other process
		time.Sleep(hold / 2)
		a.SetFaults(WorkerFaults{})
	}},
	{"the store is down", func(r *demoRun, _ *rand.Rand, hold time.Duration) {
		r.cluster.Platform.SetFaults(StoreFaults{Down: true})
		time.Sleep(hold)
		r.cluster.Platform.SetFaults(StoreFaults{})
	}},
	{"an entry is killed and restarted", func(r *demoRun, rnd *rand.Rand, hold time.Duration) {
		ids := slices.Sorted(maps.Keys(r.cluster.settings))
		r.restart(ids[rnd.IntN(len(ids))], hold)
	}},
	{"a zone is cut off from everything else", func(r *demoRun, rnd *rand.Rand, hold time.Duration) {
		z := rnd.IntN(len(r.Site.Zones))
		for i := range len(r.Site.Zones) + 1 {
			if i != z+1 {
				r.cluster.Net.Cut(r.Site.ip(z+1, 0)[:len(r.Site.ip(z+1, 0))-1], r.Site.ip(i, 0)[:len(r.Site.ip(i, 0))-1])
			}
		}
		time.Sleep(hold)
		r.cluster.Net.Heal()
	}},
	{"minions cut their answers in the middle", func(r *demoRun, rnd *rand.Rand, hold time.Duration) {
		ids := slices.Sorted(maps.Keys(r.cluster.Minions))
		m := r.cluster.Minions[ids[rnd.IntN(len(ids))]]
		m.SetTruncate(true)
		time.Sleep(hold / 2)
		m.SetTruncate(false)
	}},
	{"workers lose replies", func(r *demoRun, _ *rand.Rand, hold time.Duration) {
		for _, w := range r.cluster.Workers {
			w.SetFaults(WorkerFaults{ReplyLossRate: 0.1})
		}
		time.Sleep(hold)
		for _, w := range r.cluster.Workers {
			w.SetFaults(WorkerFaults{})
		}
	}},
}

// restart kills an entry and starts a new process for it after hold.
func (r *demoRun) restart(id string, hold time.Duration) {
	r.cluster.Process(id).Kill()
	time.Sleep(hold)
	if err := r.cluster.StartEntry(id); err != nil {
		r.note("%v", err)
	}
}

// injectFaults injects each fault of the table once, spread over the duration of
// the load.
func (r *demoRun) injectFaults(ctx context.Context) {
	rnd := rand.New(rand.NewPCG(r.Seed, 3))
	slot := r.Duration / time.Duration(len(faultTable)+1)
	for _, f := range faultTable {
		began := time.Now()
		_, _ = r.Out.Write([]byte("       fault: " + f.name + "\n"))
		f.run(r, rnd, slot*2/3)
		select {
		case <-time.After(slot - time.Since(began)):
		case <-ctx.Done():
			return
		}
	}
}
