package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"jasminestep/internal/platform"
	"jasminestep/internal/worker"
	"jasminestep/pkg/operator"
)

// WorkerFaults are the faults of a worker. The zero value has none.
type WorkerFaults struct {
	FailAll bool    `json:"failall,omitempty"` // every task fails at once
	Silent  bool    `json:"silent,omitempty"`  // takes messages and never answers
	Lose    float64 `json:"lose,omitempty"`    // share of starts and stops carried out without a reply
	Pause   bool    `json:"pause,omitempty"`   // nothing happens, lease checks included
}

// Worker is a VM that runs tasks under leases. Commands it knows are
// ["run", duration], ["fail", duration] and ["serve"]; a third word is a factor
// by which the task uses more than it declared.
type Worker struct {
	VM     platform.VM
	Ledger *Ledger

	mu     sync.Mutex
	boot   int64
	gen    int64
	epoch  int64
	tasks  map[string]*run // by task
	change chan struct{}
	faults WorkerFaults
	server *http.Server
}

type run struct {
	worker.AttemptStatus
	size   operator.Size
	lease  time.Time
	stay   bool
	gen    int64 // at which it changed last
	stop   context.CancelFunc
	server *Minion
}

// usageLag is how late usage is reported.
const usageLag = 500 * time.Millisecond

// Serve starts the worker, as after a boot.
func (w *Worker) Serve() error {
	l, err := net.Listen("tcp", w.VM.Addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.boot, w.gen = time.Now().UnixNano(), 1
	w.tasks, w.change = map[string]*run{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /start", handle(w, w.start))
	mux.HandleFunc("POST /stop", handle(w, w.halt))
	mux.HandleFunc("POST /sync", handle(w, w.sync))
	w.server = &http.Server{Handler: mux}
	s := w.server
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	go w.leases(s)
	return nil
}

// Crash ends the worker and all it runs.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	_ = w.server.Close()
	w.server = nil
	for _, t := range w.tasks {
		w.end(t, "stopped", "crash")
	}
}

// Set replaces the faults.
func (w *Worker) Set(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// handle decodes a message and applies the faults around f.
func handle[T any](w *Worker, f func(*T, *http.Request) (int, any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var m T
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		for w.fault().Pause {
			time.Sleep(20 * time.Millisecond)
		}
		if w.fault().Silent {
			<-r.Context().Done()
			return
		}
		code, out := f(&m, r)
		if _, isSync := any(&m).(*worker.SyncRequest); !isSync && rand.Float64() < w.fault().Lose {
			panic(http.ErrAbortHandler)
		}
		rw.WriteHeader(code)
		_ = json.NewEncoder(rw).Encode(out) // a caller that has gone asks again
	}
}

func (w *Worker) fault() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

func (w *Worker) changed(t *run) {
	w.gen++
	t.gen = w.gen
	close(w.change)
	w.change = make(chan struct{})
}

func (w *Worker) start(m *worker.StartRequest, _ *http.Request) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := &worker.StartResponse{}
	for i := range m.Tasks {
		if why := w.startOne(m, &m.Tasks[i]); why != "" {
			out.Refused = append(out.Refused, worker.Refusal{Ref: worker.Ref{Task: m.Tasks[i].Task, Attempt: m.Tasks[i].Attempt}, Why: why})
		}
	}
	return http.StatusOK, out
}

// startOne starts one task, or says why it does not.
func (w *Worker) startOne(m *worker.StartRequest, s *worker.TaskStart) (why string) {
	until := time.UnixMilli(m.Until)
	old := w.tasks[s.Task]
	switch {
	case old != nil && old.Attempt == s.Attempt && old.State == "running":
		return ""
	case old != nil && old.Attempt >= s.Attempt:
		return "that attempt is over"
	case m.Boot != w.boot:
		return "meant for this worker before its restart"
	case m.Epoch < w.epoch:
		return "a later owner was here"
	case !time.Now().Before(until):
		return "too late"
	}
	w.epoch = m.Epoch
	ctx, stop := context.WithCancel(context.Background())
	t := &run{AttemptStatus: worker.AttemptStatus{Task: s.Task, Attempt: s.Attempt, State: "running"}, size: s.Size, lease: until, stay: s.Stay, stop: stop}
	w.tasks[s.Task] = t
	w.Ledger.Start(w.VM.ID, s.Task, s.Attempt)
	w.Ledger.Fit(w.VM.ID, w.used(), operator.Size{CPU: w.VM.CPU, Memory: w.VM.Memory, Accel: w.VM.Accel})
	if s.Pool != "" {
		w.serve(t, s)
	}
	w.changed(t)
	go w.work(ctx, t, s.Command, w.faults.FailAll)
	return ""
}

func (w *Worker) serve(t *run, m *worker.TaskStart) {
	slots := m.Slots
	if slots == 0 {
		slots = 8
	}
	host, _, _ := net.SplitHostPort(w.VM.Addr)
	t.server = &Minion{Name: m.Task, Slots: slots, Conns: 64, Ledger: w.Ledger}
	if addr, err := t.server.Serve(host + ":0"); err == nil {
		t.Addr = addr
	}
}

func (w *Worker) used() (sum operator.Size) {
	for _, t := range w.tasks {
		if t.State == "running" {
			sum = sum.Add(t.size)
		}
	}
	return sum
}

// work is the task itself.
func (w *Worker) work(ctx context.Context, t *run, command []string, fail bool) {
	began := time.Now()
	d := 365 * 24 * time.Hour
	if len(command) > 1 && command[0] != "serve" {
		if x, err := time.ParseDuration(command[1]); err == nil {
			d = x
		}
	}
	factor := 1.0
	if len(command) > 2 {
		_, _ = fmt.Sscanf(command[2], "%g", &factor) // unreadable counts as one
	}
	state := "done"
	if fail || len(command) > 0 && command[0] == "fail" {
		state = "failed"
	}
	if fail {
		d = 5 * time.Millisecond
	}
	lag := time.NewTimer(usageLag)
	defer lag.Stop()
	end := time.NewTimer(d)
	defer end.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-lag.C:
			w.mu.Lock()
			t.Usage = operator.Size{CPU: int64(factor * float64(t.size.CPU)), Memory: int64(factor * float64(t.size.Memory)), Accel: t.size.Accel}
			if factor > 1 {
				w.changed(t)
			}
			w.mu.Unlock()
		case <-end.C:
			w.mu.Lock()
			t.Ran = time.Since(began).Milliseconds()
			w.end(t, state, "exit of "+state)
			w.mu.Unlock()
			return
		}
	}
}

// end records that t runs no longer; the caller holds the lock.
func (w *Worker) end(t *run, state, why string) {
	if t.State != "running" {
		return
	}
	t.State, t.Why = state, why
	t.stop()
	if t.server != nil {
		t.server.Close()
	}
	w.Ledger.Stop(w.VM.ID, t.Task, t.Attempt, state == "done")
	w.changed(t)
}

func (w *Worker) halt(m *worker.StopRequest, _ *http.Request) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[m.Task]
	if m.Mode == worker.ModeThrottle {
		return http.StatusOK, nil
	}
	switch {
	case t == nil || t.Attempt < m.Attempt:
		if t != nil {
			w.end(t, "stopped", "superseded")
		}
		t = &run{AttemptStatus: worker.AttemptStatus{Task: m.Task, Attempt: m.Attempt, State: "stopped", Why: "never started"}, stop: func() {}}
		w.tasks[m.Task] = t
		w.changed(t)
	case t.Attempt == m.Attempt && t.State == "running":
		w.end(t, "stopped", string(m.Mode))
	case t.Attempt == m.Attempt:
		w.changed(t) // say it again
	}
	return http.StatusOK, nil
}

func (w *Worker) sync(m *worker.SyncRequest, r *http.Request) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch = max(w.epoch, m.Epoch)
	now, until := time.Now(), time.UnixMilli(m.Until)
	for _, t := range w.tasks {
		if t.State == "running" && until.After(t.lease) && now.Before(t.lease) && (t.stay || !m.StayOnly) && m.Epoch >= w.epoch {
			t.lease = until
		}
	}
	for _, a := range m.Acks {
		if t := w.tasks[a.Task]; t != nil && t.Attempt == a.Attempt && t.State != "running" {
			delete(w.tasks, a.Task)
		}
	}
	full := m.Boot != w.boot || m.Gen == 0
	if !full && m.Gen == w.gen && m.Wait > 0 {
		ch := w.change
		w.mu.Unlock()
		select {
		case <-ch:
			time.Sleep(15 * time.Millisecond) // changes come in bursts
		case <-time.After(time.Duration(m.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	rep := worker.Report{Boot: w.boot, Gen: w.gen, Full: full}
	for _, t := range w.tasks {
		if full || t.gen > m.Gen {
			rep.Tasks = append(rep.Tasks, t.AttemptStatus)
		}
	}
	return http.StatusOK, rep
}

// leases stops tasks whose leases have lapsed.
func (w *Worker) leases(s *http.Server) {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.server != s {
			w.mu.Unlock()
			return
		}
		if !w.faults.Pause {
			for _, t := range w.tasks {
				if t.State == "running" && !time.Now().Before(t.lease) {
					w.end(t, "lapsed", "lease")
				}
			}
		}
		w.mu.Unlock()
	}
}
