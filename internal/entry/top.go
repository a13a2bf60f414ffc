package entry

import (
	"context"
	"sync"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/member"
	"jasminestep/internal/metric"
	"jasminestep/internal/peer"
	"jasminestep/internal/slots"
	"jasminestep/internal/timeline"
	"jasminestep/pkg/operator"
)

// Top is the state of one entry and, as that entry sees it, of its zone.
type Top struct {
	VM      string                `json:"vm"`
	Zone    string                `json:"zone"`
	Leaving bool                  `json:"leaving,omitempty"`
	Owner   string                `json:"owner"` // entry that owns the zone
	Epoch   int64                 `json:"epoch"`
	Seq     int64                 `json:"seq"`
	Version int64                 `json:"version"` // of the configuration
	Digest  string                `json:"digest"`
	Jobs    map[book.State]int    `json:"jobs"`
	Tasks   map[book.State]int    `json:"tasks"`
	Members map[string]MemberTop  `json:"members"`         // by name
	Workers map[string]int        `json:"workers"`         // running tasks of each listed worker
	Holds   map[string]string     `json:"holds,omitempty"` // reasons of quarantine, by worker
	Pools   map[string]slots.Load `json:"pools"`           // load of the slots that this entry holds
	Peers   map[string]string     `json:"peers"`           // status of the other entries: alive, silent or leaving
	Bytes   Bytes                 `json:"bytes"`
	Passed  int64                 `json:"passed"` // reads forwarded to the zone's owner
}

// MemberTop is what a member has queued and running in a zone.
type MemberTop struct {
	Queued  int           `json:"queued"`  // tasks
	Running int           `json:"running"` // tasks
	Size    operator.Size `json:"size"`    // declared resources of the running tasks
}

// Bytes counts the control traffic of an entry in both directions, by kind of
// peer.
type Bytes struct {
	Entries  int64 `json:"entries"`
	Workers  int64 `json:"workers"`
	Platform int64 `json:"platform"`
}

// Total returns the sum of all control traffic.
func (b Bytes) Total() int64 { return b.Entries + b.Workers + b.Platform }

// Top returns the state of this entry.
func (e *Entry) Top() Top {
	now := time.Now()
	t := Top{
		VM: e.Settings.ID, Zone: e.Settings.Zone, Leaving: e.Leaving(), Pools: e.slots.Loads(now),
		Members: map[string]MemberTop{}, Workers: e.listedWorkers(),
		Jobs: map[book.State]int{}, Tasks: map[book.State]int{}, Holds: map[string]string{}, Peers: map[string]string{},
		Passed: e.forwardedReads.Load(),
		Bytes:  Bytes{e.controlBytes.peers.Total(), e.controlBytes.workers.Total(), e.controlBytes.platform.Total()},
	}
	t.Version, t.Digest = e.config.version()
	e.replica.read(func(b *book.ZoneState) {
		t.Owner, t.Epoch, t.Seq = b.Owner, b.Epoch, b.Seq
		for _, j := range b.Jobs {
			s, _ := j.State()
			t.Jobs[s]++
			for _, task := range j.Tasks {
				t.count(j, task)
			}
		}
		for w, why := range b.Quarantined {
			t.Holds[w] = why
		}
	})
	e.view.Lock()
	defer e.view.Unlock()
	for id, p := range e.view.Peers {
		t.Peers[id] = peerStatus(p.Status == member.Left, !e.view.Alive(p, now))
	}
	return t
}

// count adds a task to the totals.
func (t *Top) count(j *book.Job, task *book.Task) {
	t.Tasks[task.State]++
	m := t.Members[j.Spec.Member]
	switch {
	case task.Live():
		m.Running++
		m.Size = m.Size.Add(j.Spec.Size)
		t.Workers[task.Worker]++
	case task.State == book.Queued:
		m.Queued++
	}
	t.Members[j.Spec.Member] = m
}

// listedWorkers returns the zone's workers on the VM list, each with a count of
// zero.
func (e *Entry) listedWorkers() map[string]int {
	out := map[string]int{}
	e.vms.Lock()
	defer e.vms.Unlock()
	for _, vm := range e.vms.list {
		if vm.Role == "worker" {
			out[vm.ID] = 0
		}
	}
	return out
}

func peerStatus(leaving, silent bool) string {
	switch {
	case leaving:
		return "leaving"
	case silent:
		return "silent"
	}
	return "alive"
}

// Samples returns the values of the gauges.
func (e *Entry) Samples() []metric.Sample {
	t := e.Top()
	gauge := func(name string, n int64) metric.Sample { return metric.Sample{Name: name, Value: float64(n)} }
	out := []metric.Sample{
		gauge("step_epoch", t.Epoch), gauge("step_seq", t.Seq), gauge("step_cell_version", t.Version),
	}
	for who, n := range map[string]int64{"entries": t.Bytes.Entries, "workers": t.Bytes.Workers, "platform": t.Bytes.Platform} {
		out = append(out, metric.Sample{Name: "step_control_bytes", Label: "peer", LabelValue: who, Value: float64(n)})
	}
	if e.ownership.valid(time.Now()) {
		out = append(out, gauge("step_owner", 1))
	} else {
		out = append(out, gauge("step_owner", 0))
	}
	for s, n := range t.Jobs {
		out = append(out, metric.Sample{Name: "step_jobs", Label: "state", LabelValue: string(s), Value: float64(n)})
	}
	for s, n := range t.Tasks {
		out = append(out, metric.Sample{Name: "step_tasks", Label: "state", LabelValue: string(s), Value: float64(n)})
	}
	for p, l := range t.Pools {
		out = append(out, metric.Sample{Name: "step_queue", Label: "pool", LabelValue: p, Value: float64(l.Queue)},
			metric.Sample{Name: "step_free", Label: "pool", LabelValue: p, Value: float64(l.Free)})
	}
	return append(out, e.packingSamples()...)
}

// packingSamples returns the allocated share of the zone's listed worker capacity, by
// resource.
func (e *Entry) packingSamples() (out []metric.Sample) {
	var used, total operator.Size
	e.replica.read(func(b *book.ZoneState) {
		for _, j := range b.Jobs {
			for _, t := range j.Tasks {
				if t.Live() {
					used = used.Add(j.Spec.Size)
				}
			}
		}
	})
	e.vms.Lock()
	for _, vm := range e.vms.list {
		if vm.Role == "worker" {
			total = total.Add(operator.Size{CPU: vm.CPU, Memory: vm.Memory, Accel: vm.Accel})
		}
	}
	e.vms.Unlock()
	for name, n := range map[string][2]int64{"cpu": {used.CPU, total.CPU}, "memory": {used.Memory, total.Memory}, "accel": {used.Accel, total.Accel}} {
		if n[1] > 0 {
			out = append(out, metric.Sample{Name: "step_packing", Label: "resource", LabelValue: name, Value: float64(n[0]) / float64(n[1])})
		}
	}
	return out
}

// EventsArgs asks an entry for its timeline.
type EventsArgs struct {
	Since int64 // running number after which events are returned
}

// EventsReply is the answer to EventsArgs.
type EventsReply struct{ Events []timeline.Event }

// Events returns the timeline of this entry.
func (p *Peer) Events(a *EventsArgs, r *EventsReply) error {
	r.Events = p.e.Timeline.Since(a.Since)
	return nil
}

// TopArgs asks an entry for its state.
type TopArgs struct{}

// Top returns the state of this entry.
func (p *Peer) Top(_ *TopArgs, t *Top) error {
	*t = p.e.Top()
	return nil
}

// gather calls method at all other known entries concurrently. Entries that do
// not answer in time are left out.
func gather[A, R any](ctx context.Context, e *Entry, method string, args A) []R {
	const limit = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var addrs []string
	e.view.Lock()
	for _, p := range e.view.Peers {
		addrs = append(addrs, p.Addr)
	}
	e.view.Unlock()
	var mu sync.Mutex
	var out []R
	var wg sync.WaitGroup
	for _, addr := range addrs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := new(R)
			if e.peers.Call(ctx, addr, peer.Control, method, &args, r) == nil {
				mu.Lock()
				out = append(out, *r)
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return out
}

// AllEvents merges the timelines of every entry that answers.
func (e *Entry) AllEvents(ctx context.Context) []timeline.Event {
	lines := [][]timeline.Event{e.Timeline.Since(0)}
	for _, r := range gather[EventsArgs, EventsReply](ctx, e, "Events", EventsArgs{}) {
		lines = append(lines, r.Events)
	}
	return timeline.Merge(lines...)
}

// AllTops returns the state of every entry that answers.
func (e *Entry) AllTops(ctx context.Context) []Top {
	return append(gather[TopArgs, Top](ctx, e, "Top", TopArgs{}), e.Top())
}
