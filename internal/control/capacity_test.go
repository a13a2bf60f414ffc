package control

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/platform"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

// The benchmarks whose names begin with Capacity give the slopes of
// docs/CAPACITY.md that need no processes.

// filled is a control with n running tasks on as many workers as the target
// has for them, 740 for 9900.
func filled(n int) (*rig, []book.Event) {
	workers := max(1, n*740/9900)
	r := &rig{c: New("z", "e1", 1, Timing{}, &book.ZoneState{}, t0)}
	cell := operator.Cell{}
	for i := range 190 {
		cell.Members = append(cell.Members, operator.Member{Name: fmt.Sprintf("m%d", i)})
	}
	r.c.Handle(ConfigChanged{Cell: cell}, t0)
	var list VMList
	for i := range workers {
		list.VMs = append(list.VMs, platform.VM{
			ID: fmt.Sprintf("w%d", i), Rack: fmt.Sprintf("r%d", i/5), Zone: "z", Role: "worker", Addr: fmt.Sprintf("w%d", i), CPU: 64000, Memory: 128 << 10,
		})
	}
	r.c.Handle(list, t0)
	for _, vm := range list.VMs {
		r.report(0, vm.ID, true)
	}
	var events []book.Event
	for i := 0; i < n; i += 10 {
		r.c.Handle(Submit{
			ID: fmt.Sprintf("z.m%d.job-%d", i%190, i), Deadline: sec(60), Reply: make(chan Answer, 1),
			Spec: operator.Job{
				Name: fmt.Sprintf("job-%d", i), Member: fmt.Sprintf("m%d", i%190), Tasks: 10, Command: []string{"run", "300ms"},
				Size: operator.Size{CPU: 1000, Memory: 1 << 10}, Runtime: 300,
			},
		}, t0)
	}
	for s := 1.0; r.c.Queue.Len() > 0 || s < 3; s += 0.1 {
		events = append(events, r.c.Step(sec(s))...)
		r.seq++
		for _, e := range r.c.Committed(r.seq) {
			if e.Starts != nil {
				for _, t := range e.Starts.Tasks {
					r.report(s, e.Worker, false, run(t.Task, t.Attempt))
				}
			}
		}
	}
	return r, events
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkCapacityState is what running tasks take: memory in an owner, the
// size of a snapshot, and the time to write one and to recover from it.
func BenchmarkCapacityState(b *testing.B) {
	for _, n := range []int{1400, 9900} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			before := heap()
			r, _ := filled(n)
			b.ReportMetric((heap()-before)/float64(n), "B/task")
			var snap []byte
			for range b.N {
				began := time.Now()
				snap, _ = json.Marshal(r.c.State) // plain data
				b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "encode-ms")
				began = time.Now()
				bk := &book.ZoneState{}
				if json.Unmarshal(snap, bk) != nil || bk.Rebuild() != nil {
					b.Fatal("snapshot")
				}
				New("z", "e2", 2, Timing{}, bk, sec(9))
				b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "recover-ms")
			}
			b.ReportMetric(float64(len(snap))/float64(n), "snapshot-B/task")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkCapacityCycle is one task from submission to its end: the owner's
// time, the bytes of its events in the journal and to a follower, and the
// follower's time.
func BenchmarkCapacityCycle(b *testing.B) {
	r, _ := filled(1400)
	var journal, feed int64
	var apply time.Duration
	events := 0
	follower := &book.ZoneState{}
	_ = follower.Rebuild()
	var sink bytes.Buffer
	enc := gob.NewEncoder(&sink)
	b.ResetTimer()
	var own time.Duration
	for i := range b.N {
		s := 10 + float64(i)/100
		began := time.Now()
		id := fmt.Sprintf("z.m1.cycle-%d", i)
		r.c.Handle(Submit{ID: id, Deadline: sec(s + 60), Reply: make(chan Answer, 1), Spec: operator.Job{
			Name: fmt.Sprintf("cycle-%d", i), Member: "m1", Command: []string{"run", "300ms"}, Size: operator.Size{CPU: 100, Memory: 100}, Runtime: 300,
		}}, sec(s))
		batch := r.c.Step(sec(s))
		for _, e := range r.c.Committed(r.seq) {
			if e.Starts == nil {
				continue
			}
			for _, t := range e.Starts.Tasks {
				r.report(s, e.Worker, false, run(t.Task, t.Attempt))
				r.report(s, e.Worker, false, worker.AttemptStatus{Task: t.Task, Attempt: t.Attempt, State: "done", Ran: 300})
			}
		}
		batch = append(batch, r.c.Step(sec(s))...)
		r.c.Committed(r.seq)
		own += time.Since(began)
		j, _ := json.Marshal(batch) // plain data
		journal += int64(len(j))
		sink.Reset()
		_ = enc.Encode(batch) // into memory
		feed += int64(sink.Len())
		began = time.Now()
		for k := range batch {
			follower.Apply(&batch[k])
		}
		apply += time.Since(began)
		events += len(batch)
	}
	n := float64(b.N)
	b.ReportMetric(float64(own.Microseconds())/n, "owner-us/task")
	b.ReportMetric(float64(apply.Microseconds())/n, "follower-us/task")
	b.ReportMetric(float64(journal)/n, "journal-B/task")
	b.ReportMetric(float64(feed)/n, "feed-B/task")
	b.ReportMetric(float64(events)/n, "events/task")
	b.ReportMetric(0, "ns/op")
}
