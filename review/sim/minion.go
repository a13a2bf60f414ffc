package sim

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"jasminestep/platform/standin"
)

// Names of the wire that a minion reads.
const (
	nameToken    = `fencingToken`
	nameSeen     = `lastSeen`
	nameInstance = `Expected-Instance`
	nameMemory   = `memMb`
)

// shrinkGrace is contactMs and one heartbeat, and 200 ms more for a start that is
// under way.
const shrinkGrace = 4700 * time.Millisecond

// stopTime is how long a stop takes.
const stopTime = 200 * time.Millisecond

// A task that runs for lastsFrom or longer is one that lasts. It is at work at
// once, and the tail of its response times is tailMillis.
const (
	lastsFrom  = time.Hour
	tailMillis = 10
)

// Kind is what a life of a minion says of itself.
type Kind struct {
	CPU    int64 // thousandths of a core
	Memory int64 // MB
	Labels []string
}

// Start is a task that a minion has begun.
type Start struct {
	At      time.Time
	Task    string
	Attempt int
	Spec    string
	Minion  string
	Kind    Kind
}

// Fleet is all minions of a case.
type Fleet struct {
	store *Store
	rec   *Record

	mu      sync.Mutex
	minions []*Minion
	starts  []Start
	ends    []string // tasks that have ended done
	twice   []string // starts of a task that was running or whose end was taken note of
	over    []string // starts that brought a minion over its room
	noted   map[string]bool
}

// NewFleet returns a fleet without minions.
func NewFleet(store *Store, rec *Record) *Fleet {
	return &Fleet{store: store, rec: rec, noted: map[string]bool{}}
}

// Starts returns all starts so far.
func (f *Fleet) Starts() []Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Start(nil), f.starts...)
}

// Done returns the tasks that have ended done.
func (f *Fleet) Done() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.ends...)
}

// Twice returns the starts that ran a task twice.
func (f *Fleet) Twice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.twice...)
}

// Minions returns all minions.
func (f *Fleet) Minions() []*Minion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Minion(nil), f.minions...)
}

// Running returns the tasks that run on the minion.
func (m *Minion) Running() (tasks []string) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for task := range m.runs {
		tasks = append(tasks, task)
	}
	slices.Sort(tasks)
	return tasks
}

// Free returns the thousandths of a core that no run of the minion asks for; 0 if
// it is down.
func (m *Minion) Free() int64 {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.free()
}

func (m *Minion) free() int64 {
	if !m.up {
		return 0
	}
	free := m.kind.CPU
	for _, r := range m.runs {
		free -= r.cpu
	}
	return free
}

// Running returns the tasks that run.
func (f *Fleet) Running() (tasks []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.minions {
		m.endDue(time.Now())
		for task := range m.runs {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// Over returns the starts that brought a minion over its room. A room that has
// shrunk counts for shrinkGrace longer.
func (f *Fleet) Over() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.over...)
}

// ByJob returns the numbers of running tasks and of tasks that have ended done,
// by job.
func (f *Fleet) ByJob() (running, done map[string]int) {
	running, done = map[string]int{}, map[string]int{}
	for _, task := range f.Running() {
		id, _, _ := strings.Cut(task, ".")
		running[id]++
	}
	seen := map[string]bool{}
	for _, task := range f.Done() {
		if id, _, _ := strings.Cut(task, "."); !seen[task] {
			seen[task] = true
			done[id]++
		}
	}
	return running, done
}

// Fits reports whether some minion has this much room, in thousandths of a core.
func (f *Fleet) Fits(cpu int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.minions {
		if m.free() >= cpu {
			return true
		}
	}
	return false
}

// Used returns the thousandths of a core in use.
func (f *Fleet) Used() (cpu int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.minions {
		m.endDue(time.Now())
		for _, r := range m.runs {
			cpu += r.cpu
		}
	}
	return cpu
}

// Minion is a worker. It runs what it is told to: a task's spec has its length in
// milliseconds, its CPU in thousandths of a core, and whether it fails at its end.
type Minion struct {
	ID      string
	Service string
	Zone    string
	Addr    string

	fleet    *Fleet
	srv      *http.Server
	kind     Kind
	up       bool
	born     time.Time
	token    int64
	leaseEnd int64 // on the minion's clock
	shrunkAt time.Time
	sequence int
	runs     map[string]*run
	ends     []end
	lastEnd  int
	highest  map[string]int // highest attempt that has ended or was stopped, by task
	changed  chan struct{}
}

type run struct {
	attempt int
	cpu     int64
	began   time.Time
	length  time.Duration
	fails   bool
	stopAt  time.Time
}

type end struct {
	n       int
	task    string
	attempt int
	how     string
}

// Add starts a minion.
func (f *Fleet) Add(id, service, zone string, kind Kind) (*Minion, error) {
	m := &Minion{ID: id, Service: service, Zone: zone, fleet: f, Addr: loopbackAny}
	if err := m.Begin(kind); err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.minions = append(f.minions, m)
	f.mu.Unlock()
	go m.beat()
	return m, nil
}

// Begin begins a life of the minion: it listens and then writes its entry.
func (m *Minion) Begin(kind Kind) error {
	f := m.fleet
	f.mu.Lock()
	m.kind, m.born, m.token, m.leaseEnd = kind, time.Now(), 0, 0
	m.runs, m.ends, m.lastEnd, m.highest = map[string]*run{}, nil, 0, map[string]int{}
	m.changed = make(chan struct{})
	f.mu.Unlock()
	addr, srv, err := serve(m.Addr, m)
	if err != nil {
		return err
	}
	f.mu.Lock()
	m.Addr, m.srv, m.up = addr, srv, true
	f.mu.Unlock()
	f.rec.Log("minion %s begins a life, labels %v", m.ID, kind.Labels)
	m.writeEntry()
	return nil
}

// Shrink changes the minion's room, in thousandths of a core. Its runs go on; its
// entry shows the room from the next heartbeat.
func (m *Minion) Shrink(cpu int64) {
	m.fleet.mu.Lock()
	m.kind.CPU, m.shrunkAt = cpu, time.Now()
	m.fleet.mu.Unlock()
	m.fleet.rec.Log("minion %s shrinks to %d", m.ID, cpu)
}

// AwaitBeat waits until the minion has just written its entry.
func (m *Minion) AwaitBeat() {
	m.fleet.mu.Lock()
	n := m.sequence
	m.fleet.mu.Unlock()
	for {
		time.Sleep(5 * time.Millisecond)
		m.fleet.mu.Lock()
		beat := m.sequence != n
		m.fleet.mu.Unlock()
		if beat {
			return
		}
	}
}

// Crash ends the life of the minion: its runs are gone and nobody is told.
func (m *Minion) Crash() {
	f := m.fleet
	f.mu.Lock()
	m.up = false
	lost := len(m.runs)
	m.runs = map[string]*run{}
	srv := m.srv
	f.mu.Unlock()
	_ = srv.Close()
	f.rec.Log("minion %s crashes, with %d runs", m.ID, lost)
}

// beat writes the entry at each heartbeat, and removes it after three missed
// ones, as the platform does.
func (m *Minion) beat() {
	missed := 0
	for {
		time.Sleep(heartbeat)
		m.fleet.mu.Lock()
		up := m.up
		m.fleet.mu.Unlock()
		switch {
		case up && m.fleet.store.isDown():
		case up:
			missed = 0
			m.writeEntry()
		case missed == missedBeats:
		default:
			if missed++; missed == missedBeats {
				m.fleet.store.Delete(standin.MinionTable, m.ID)
				m.fleet.rec.Log("entry of minion %s is removed", m.ID)
			}
		}
	}
}

func (m *Minion) writeEntry() {
	m.fleet.mu.Lock()
	m.sequence++
	value, err := json.Marshal(m.entry(m.Service, m.Addr, m.born))
	m.fleet.mu.Unlock()
	if err == nil {
		m.fleet.store.Put(standin.MinionTable, m.ID, value)
	}
}

// entry is an entry under the id of the minion; the fleet is locked.
func (m *Minion) entry(service, addr string, born time.Time) map[string]any {
	return map[string]any{
		"service": service, "address": addr, "zone": m.Zone, "version": "v1", "slots": 8, "state": "ready",
		"warmupLeftMs": 0, "sequence": m.sequence, "born": born.UnixMilli(), "labels": m.kind.Labels,
		"capacity": map[string]int64{"cpu": m.kind.CPU, nameMemory: m.kind.Memory, "gpu": 0},
	}
}

// nowhere is an address at which nobody listens.
const nowhere = "127.0.0.1:9"

// Overwrite writes an entry of another service under the minion's id, as another
// writer may. The minion runs on, and writes its own entry at its next heartbeat.
func (m *Minion) Overwrite(service string) error {
	m.fleet.mu.Lock()
	value, err := json.Marshal(m.entry(service, nowhere, time.Now()))
	m.fleet.mu.Unlock()
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	m.fleet.store.Put(standin.MinionTable, m.ID, value)
	m.fleet.rec.Log("another writer writes the entry %s: %s", m.ID, value)
	return nil
}

func (m *Minion) clock() int64 { return time.Since(m.born).Milliseconds() }

// endDue ends the runs whose time or lease is over; the fleet is locked.
func (m *Minion) endDue(now time.Time) {
	lapsed := m.clock() >= m.leaseEnd
	for task, r := range m.runs {
		how := ""
		switch {
		case lapsed:
			how = "lapsed"
		case now.Sub(r.began) >= r.length && r.fails:
			how = "failed"
		case now.Sub(r.began) >= r.length:
			how = "done"
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			how = "stopped"
		}
		if how == "" {
			continue
		}
		delete(m.runs, task)
		m.lastEnd++
		m.ends = append(m.ends, end{m.lastEnd, task, r.attempt, how})
		m.highest[task] = max(m.highest[task], r.attempt)
		if how == "done" {
			m.fleet.ends = append(m.fleet.ends, task)
		}
		m.fleet.rec.Log("minion %s: %s attempt %d ends %s", m.ID, task, r.attempt, how)
	}
}

// order is a request to a minion.
type order struct {
	Task     string `json:"taskId"`
	Attempt  int    `json:"attempt"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Wait     int64  `json:"waitMs"`
	token    int64
	seen     int64
}

func decodeOrder(r *http.Request) (order, error) {
	var raw map[string]json.RawMessage
	var o order
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		return o, fmt.Errorf("order: %w", err)
	}
	for name, p := range map[string]any{"taskId": &o.Task, "attempt": &o.Attempt, "spec": &o.Spec, "deadlineMs": &o.Deadline, "waitMs": &o.Wait, nameToken: &o.token, nameSeen: &o.seen} {
		if v, ok := raw[name]; ok {
			if err := json.Unmarshal(v, p); err != nil {
				return o, fmt.Errorf("order: %s: %w", name, err)
			}
		}
	}
	return o, nil
}

// ServeHTTP implements http.Handler.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	o, err := decodeOrder(r)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get(nameInstance); want != "" && want != m.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/hold" {
		m.hold(w, r, o)
		return
	}
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if !m.up {
		panic(http.ErrAbortHandler) // a crashed minion sends nothing
	}
	m.endDue(time.Now())
	reason := ""
	switch {
	case o.token < m.token:
		reason = "fence"
	case r.URL.Path == "/run-stop":
		m.token = o.token
		if cur := m.runs[o.Task]; cur != nil && cur.attempt == o.Attempt && cur.stopAt.IsZero() {
			cur.stopAt = time.Now().Add(stopTime)
		}
		m.highest[o.Task] = max(m.highest[o.Task], o.Attempt)
	default:
		m.token = o.token
		reason = m.begin(o)
	}
	m.fleet.rec.Log("minion %s: %s %s attempt %d token %d -> %s", m.ID, r.URL.Path, o.Task, o.Attempt, o.token, orOK(reason))
	if reason != "" {
		writeJSON(w, http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": reason})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"clockMs": m.clock()})
}

func orOK(reason string) string {
	if reason == "" {
		return "ok"
	}
	return "409 " + reason
}

// begin starts a task, or returns why not; the fleet is locked.
func (m *Minion) begin(o order) (reason string) {
	cur := m.runs[o.Task]
	switch {
	case cur != nil && cur.attempt == o.Attempt:
		return ""
	case o.Attempt <= m.highest[o.Task]:
		return "old"
	case m.clock() >= o.Deadline:
		return "late"
	}
	var millis, cpu int64
	var fails bool
	if _, err := fmt.Sscan(specOf(o), &millis, &cpu, &fails); err != nil {
		return "spec"
	}
	f := m.fleet
	for _, other := range f.minions {
		other.endDue(time.Now())
		if other.up && other.runs[o.Task] != nil {
			f.twice = append(f.twice, o.Task+" runs on "+other.ID+" and starts on "+m.ID)
		}
	}
	if f.noted[o.Task] {
		f.twice = append(f.twice, o.Task+" starts on "+m.ID+" after its end was taken note of")
	}
	if free := m.free(); free < cpu && time.Since(m.shrunkAt) > shrinkGrace {
		f.over = append(f.over, fmt.Sprintf("%s starts on %s, which has %d and uses %d, %.1f s after its room had shrunk", o.Task, m.ID, m.kind.CPU, m.kind.CPU-free, time.Since(m.shrunkAt).Seconds()))
	}
	m.leaseEnd = max(m.leaseEnd, o.Deadline)
	m.runs[o.Task] = &run{attempt: o.Attempt, cpu: cpu, fails: fails, began: time.Now(), length: time.Duration(millis) * time.Millisecond}
	f.starts = append(f.starts, Start{time.Now(), o.Task, o.Attempt, o.Spec, m.ID, m.kind})
	return ""
}

// specOf returns the part of the spec for the task's step.
func specOf(o order) string {
	specs, parts := strings.Split(o.Spec, ","), strings.Split(o.Task, ".")
	if len(parts) != 4 {
		return ""
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil || step < 0 || step >= len(specs) {
		return ""
	}
	return specs[step]
}

// hold renews the leases and returns both lists.
func (m *Minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
	m.fleet.mu.Lock()
	born := m.born
	m.fleet.mu.Unlock()
	for first := true; ; first = false {
		status, body, ready := m.report(o, first, born)
		if ready || time.Now().After(until) {
			writeJSON(w, status, body)
			return
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

// report is the answer to a renewal; ready tells that it is not to wait.
func (m *Minion) report(o order, first bool, born time.Time) (status int, body map[string]any, ready bool) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if !m.up || m.born != born {
		panic(http.ErrAbortHandler) // a crashed minion sends nothing
	}
	m.endDue(time.Now())
	if o.token < m.token {
		return http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": "fence"}, true
	}
	m.token = o.token
	if first {
		m.leaseEnd = max(m.leaseEnd, o.Deadline)
		m.forget(o.seen)
	}
	running, finished := [][]any{}, [][]any{}
	for task, r := range m.runs {
		percent, figure := min(99, int(100*time.Since(r.began)/max(r.length, 1))), r.cpu
		if r.length >= lastsFrom {
			percent, figure = 100, tailMillis
		}
		running = append(running, []any{task, r.attempt, "", percent, figure})
	}
	for _, e := range m.ends {
		finished = append(finished, []any{e.n, e.task, e.attempt, e.how, ""})
	}
	return http.StatusOK, map[string]any{"born": m.born.UnixMilli(), "clockMs": m.clock(), "running": running, "finished": finished[:min(len(finished), 500)]}, len(finished) > 0
}

// forget drops the ends that were taken note of.
func (m *Minion) forget(seen int64) {
	var kept []end
	for _, e := range m.ends {
		switch {
		case int64(e.n) > seen:
			kept = append(kept, e)
		case e.how == "done":
			m.fleet.noted[e.task] = true
		}
	}
	m.ends = kept
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		status, b = http.StatusInternalServerError, nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // fails only if the caller has gone
}
