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

// WorkerFaults are the faults of a worker. The zero value injects none.
type WorkerFaults struct {
	FailAll       bool    `json:"failall,omitempty"` // every new task fails after a few milliseconds
	Silent        bool    `json:"silent,omitempty"`  // receives messages and never answers
	ReplyLossRate float64 `json:"lose,omitempty"`    // share of starts and stops that are carried out but get no reply
	Pause         bool    `json:"pause,omitempty"`   // messages and lease checks are not processed
}

// Worker simulates a VM that runs tasks under leases. The supported commands are
// ["run", duration], ["fail", duration] and ["serve"]. An optional third element
// is the ratio of the resources that the task uses to those it declared.
type Worker struct {
	VM     platform.VM
	Ledger *Ledger

	mu         sync.Mutex
	boot       int64
	generation int64
	epoch      int64
	tasks      map[string]*taskRun // by task
	changes    chan struct{}
	faults     WorkerFaults
	server     *http.Server
}

type taskRun struct {
	worker.AttemptStatus
	size      operator.Size
	leaseEnd  time.Time
	stay      bool
	changedAt int64 // generation of the last change
	cancel    context.CancelFunc
	upstream  *Minion
}

// usageLag is the time from the start of a task to its usage report.
const usageLag = 500 * time.Millisecond

// Serve starts the worker with empty state, as after a reboot.
func (w *Worker) Serve() error {
	l, err := net.Listen("tcp", w.VM.Addr)
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.boot, w.generation = time.Now().UnixNano(), 1
	w.tasks, w.changes = map[string]*taskRun{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /start", handle(w, w.startTasks))
	mux.HandleFunc("POST /stop", handle(w, w.stopTask))
	mux.HandleFunc("POST /sync", handle(w, w.handleSync))
	w.server = &http.Server{Handler: mux}
	s := w.server
	w.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	go w.enforceLeases(s)
	return nil
}

// Crash stops the worker and all its tasks.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.server == nil {
		return
	}
	_ = w.server.Close()
	w.server = nil
	for _, t := range w.tasks {
		w.endTask(t, "stopped", "crash")
	}
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// handle returns a handler that decodes a message and calls f, subject to the
// injected faults.
func handle[T any](w *Worker, f func(*T, *http.Request) (int, any)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var m T
		if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		for w.currentFaults().Pause {
			time.Sleep(20 * time.Millisecond)
		}
		if w.currentFaults().Silent {
			<-r.Context().Done()
			return
		}
		code, out := f(&m, r)
		if _, isSync := any(&m).(*worker.SyncRequest); !isSync && rand.Float64() < w.currentFaults().ReplyLossRate {
			panic(http.ErrAbortHandler)
		}
		rw.WriteHeader(code)
		_ = json.NewEncoder(rw).Encode(out) // a disconnected caller asks again
	}
}

func (w *Worker) currentFaults() WorkerFaults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

func (w *Worker) markChanged(t *taskRun) {
	w.generation++
	t.changedAt = w.generation
	close(w.changes)
	w.changes = make(chan struct{})
}

func (w *Worker) startTasks(m *worker.StartRequest, _ *http.Request) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := &worker.StartResponse{}
	for i := range m.Tasks {
		if why := w.startTask(m, &m.Tasks[i]); why != "" {
			out.Refused = append(out.Refused, worker.Refusal{Ref: worker.Ref{Task: m.Tasks[i].Task, Attempt: m.Tasks[i].Attempt}, Why: why})
		}
	}
	return http.StatusOK, out
}

// startTask starts one task, or returns why it does not.
func (w *Worker) startTask(m *worker.StartRequest, s *worker.TaskStart) (why string) {
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
	t := &taskRun{AttemptStatus: worker.AttemptStatus{Task: s.Task, Attempt: s.Attempt, State: "running"}, size: s.Size, leaseEnd: until, stay: s.Stay, cancel: stop}
	w.tasks[s.Task] = t
	w.Ledger.Start(w.VM.ID, s.Task, s.Attempt)
	w.Ledger.CheckCapacity(w.VM.ID, w.usedResources(), operator.Size{CPU: w.VM.CPU, Memory: w.VM.Memory, Accel: w.VM.Accel})
	if s.Pool != "" {
		w.startUpstream(t, s)
	}
	w.markChanged(t)
	go w.runTask(ctx, t, s.Command, w.faults.FailAll)
	return ""
}

func (w *Worker) startUpstream(t *taskRun, m *worker.TaskStart) {
	slots := m.Slots
	if slots == 0 {
		slots = 8
	}
	host, _, _ := net.SplitHostPort(w.VM.Addr)
	t.upstream = &Minion{Name: m.Task, Slots: slots, MaxConns: 64, Ledger: w.Ledger}
	if addr, err := t.upstream.Serve(host + ":0"); err == nil {
		t.Addr = addr
	}
}

func (w *Worker) usedResources() (sum operator.Size) {
	for _, t := range w.tasks {
		if t.State == "running" {
			sum = sum.Add(t.size)
		}
	}
	return sum
}

// runTask simulates the execution of a task until it ends or ctx is done.
func (w *Worker) runTask(ctx context.Context, t *taskRun, command []string, fail bool) {
	began := time.Now()
	d := 365 * 24 * time.Hour
	if len(command) > 1 && command[0] != "serve" {
		if x, err := time.ParseDuration(command[1]); err == nil {
			d = x
		}
	}
	factor := 1.0
	if len(command) > 2 {
		_, _ = fmt.Sscanf(command[2], "%g", &factor) // remains 1 if it cannot be parsed
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
				w.markChanged(t)
			}
			w.mu.Unlock()
		case <-end.C:
			w.mu.Lock()
			t.Ran = time.Since(began).Milliseconds()
			w.endTask(t, state, "exit of "+state)
			w.mu.Unlock()
			return
		}
	}
}

// endTask records that t no longer runs. The caller holds w.mu.
func (w *Worker) endTask(t *taskRun, state, why string) {
	if t.State != "running" {
		return
	}
	t.State, t.Why = state, why
	t.cancel()
	if t.upstream != nil {
		t.upstream.Close()
	}
	w.Ledger.Stop(w.VM.ID, t.Task, t.Attempt, state == "done")
	w.markChanged(t)
}

func (w *Worker) stopTask(m *worker.StopRequest, _ *http.Request) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[m.Task]
	if m.Mode == worker.ModeThrottle {
		return http.StatusOK, nil
	}
	switch {
	case t == nil || t.Attempt < m.Attempt:
		if t != nil {
			w.endTask(t, "stopped", "superseded")
		}
		t = &taskRun{AttemptStatus: worker.AttemptStatus{Task: m.Task, Attempt: m.Attempt, State: "stopped", Why: "never started"}, cancel: func() {}}
		w.tasks[m.Task] = t
		w.markChanged(t)
	case t.Attempt == m.Attempt && t.State == "running":
		w.endTask(t, "stopped", string(m.Mode))
	case t.Attempt == m.Attempt:
		w.markChanged(t) // have the state reported again
	}
	return http.StatusOK, nil
}

func (w *Worker) handleSync(m *worker.SyncRequest, r *http.Request) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch = max(w.epoch, m.Epoch)
	now, until := time.Now(), time.UnixMilli(m.Until)
	for _, t := range w.tasks {
		if t.State == "running" && until.After(t.leaseEnd) && now.Before(t.leaseEnd) && (t.stay || !m.StayOnly) && m.Epoch >= w.epoch {
			t.leaseEnd = until
		}
	}
	for _, a := range m.Acks {
		if t := w.tasks[a.Task]; t != nil && t.Attempt == a.Attempt && t.State != "running" {
			delete(w.tasks, a.Task)
		}
	}
	full := m.Boot != w.boot || m.Gen == 0
	if !full && m.Gen == w.generation && m.Wait > 0 {
		ch := w.changes
		w.mu.Unlock()
		select {
		case <-ch:
			time.Sleep(15 * time.Millisecond) // collect a burst of changes in one report
		case <-time.After(time.Duration(m.Wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	rep := worker.Report{Boot: w.boot, Gen: w.generation, Full: full}
	for _, t := range w.tasks {
		if full || t.changedAt > m.Gen {
			rep.Tasks = append(rep.Tasks, t.AttemptStatus)
		}
	}
	return http.StatusOK, rep
}

// enforceLeases stops tasks whose lease has expired, until s is no longer the
// worker's server.
func (w *Worker) enforceLeases(s *http.Server) {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if w.server != s {
			w.mu.Unlock()
			return
		}
		if !w.faults.Pause {
			for _, t := range w.tasks {
				if t.State == "running" && !time.Now().Before(t.leaseEnd) {
					w.endTask(t, "lapsed", "lease")
				}
			}
		}
		w.mu.Unlock()
	}
}
