package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"jasminestep/internal/loopback"
	"jasminestep/platform/standin"
)

// Host is the host of all queues.
const Host = "queue.example"

// Names of the wire that the operator and clients write.
const (
	namePrefix   = `pathPrefix`
	nameDeadline = `Deadline-Ms`
	nameTasks    = `taskCount`
	nameGroups   = `taskGroups`
	nameEstimate = `estimateMs`
	nameTarget   = `targetDurationMs`
)

// Route is a queue of the configuration.
type Route struct {
	Name, Prefix, Service string
	Attempts, Priority    int
	Slack                 float64
	TargetMillis          int
}

// Configure writes a configuration with these queues.
func (s *Store) Configure(version int, routes ...Route) error {
	services := map[string]bool{}
	var rs, svcs []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.Name, "host": Host, namePrefix: r.Prefix, "service": r.Service,
			"maxAttempts": r.Attempts, "priority": r.Priority, "slackFactor": r.Slack, nameTarget: r.TargetMillis,
		})
		if !services[r.Service] {
			services[r.Service] = true
			svcs = append(svcs, map[string]any{"name": r.Service, "rejectsOverload": false})
		}
	}
	b, err := json.Marshal(map[string]any{"version": version, "routes": rs, "services": svcs, "limits": map[string]any{"maxBodyBytes": 262144}})
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	s.Put(standin.ConfigTable, standin.ConfigRow, b)
	s.rec.Log("configuration %d is written: %s", version, b)
	return nil
}

// Entry is an entry process.
type Entry struct {
	Name   string
	Client string // address for clients

	ready    string
	config   string
	log      string
	settings map[string]any
	rec      *Record

	mu     sync.Mutex
	cmd    *exec.Cmd
	ending bool
}

// NewEntry writes the settings of an entry and starts it with the command of the
// deploy file.
func NewEntry(rec *Record, dir, name, zone, store string) (*Entry, error) {
	e := &Entry{Name: name, Client: loopback.Addr(), ready: loopback.Addr(), config: filepath.Join(dir, name+".json"), log: filepath.Join(dir, name+".log"), rec: rec}
	e.settings = map[string]any{
		"id": name, "zone": zone, "caller": e.Client, "ready": e.ready, "peer": loopback.Addr(), "admin": loopback.Addr(), "store": store,
		"advice": "", "cores": 0.4, "link": 1000.0, "memory": 284, "first": true, "lease": 8500, "most": 10000, "grace": 6000,
	}
	return e, e.Run()
}

// writeSettings writes the settings file, as the template of the deploy file
// renders it. Only the first start is one of the whole system.
func (e *Entry) writeSettings() error {
	b, err := json.Marshal(e.settings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	e.settings["first"] = false
	if err = os.WriteFile(e.config, b, 0o644); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// Run starts the process. If it exits it is started again after a short delay,
// as on the platform.
func (e *Entry) Run() error {
	if err := e.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	cmd := exec.Command("target/jasminestep", "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JASMINESTEP_CONFIG=" + e.config}
	cmd.Stdout, cmd.Stderr = out, out
	if err = cmd.Start(); err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	e.mu.Lock()
	e.cmd = cmd
	e.mu.Unlock()
	e.rec.Log("entry %s runs as process %d", e.Name, cmd.Process.Pid)
	go e.await(cmd, out)
	return nil
}

func (e *Entry) await(cmd *exec.Cmd, out *os.File) {
	err := cmd.Wait()
	_ = out.Close()
	e.mu.Lock()
	ending := e.ending
	e.mu.Unlock()
	e.rec.Log("entry %s exits: %v", e.Name, err)
	if ending {
		return
	}
	time.Sleep(restartDelay)
	if err = e.Run(); err != nil {
		e.rec.Log("entry %s is not started again: %v", e.Name, err)
	}
}

// restartDelay is the delay before a process that has exited is started again.
const restartDelay = 500 * time.Millisecond

// Signal sends sig to the process.
func (e *Entry) Signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.Log("entry %s gets signal %v", e.Name, sig)
	_ = e.cmd.Process.Signal(sig) // the process may have exited already
}

// End kills the process for good.
func (e *Entry) End() {
	e.mu.Lock()
	e.ending = true
	e.mu.Unlock()
	e.Signal(syscall.SIGKILL)
}

// Ready reports whether the entry answers that it is ready.
func (e *Entry) Ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// OwnerOf reports whether the log of the entry says last that it owns the service.
func (e *Entry) OwnerOf(service string) bool {
	b, err := os.ReadFile(e.log)
	if err != nil {
		return false
	}
	owns := false
	for _, line := range strings.Split(string(b), "\n") {
		if !strings.Contains(line, `"service":"`+service+`"`) {
			continue
		}
		switch {
		case strings.Contains(line, `"shard loaded"`):
			owns = true
		case strings.Contains(line, `"owner deposed"`), strings.Contains(line, `"shard handed over"`):
			owns = false
		}
	}
	return owns
}

// Log returns the lines of the entry's log that contain text.
func (e *Entry) Log(text string) []string {
	b, err := os.ReadFile(e.log)
	if err != nil {
		return nil
	}
	var out []string
	for _, line := range strings.Split(string(b), "\n") {
		if strings.Contains(line, text) {
			out = append(out, line)
		}
	}
	return out
}

// Step is a step of a job.
type Step struct {
	Tasks    int
	CPU      int64
	Memory   int64
	Millis   int64 // how long a task runs
	Estimate int64 // what the client says of it, ms; 0: Millis
	Fails    bool  // every run fails by the task's own fault
	More     map[string]any
}

// Job returns the body that submits a job, whose steps follow each other. Its
// spec tells the minions how long each step's tasks run, what they use and whether
// they fail.
func Job(steps ...Step) string {
	var groups []any
	var specs []string
	for i, p := range steps {
		if p.Estimate == 0 {
			p.Estimate = p.Millis
		}
		g := map[string]any{nameTasks: p.Tasks, "cpu": p.CPU, nameMemory: p.Memory, nameEstimate: p.Estimate}
		if i > 0 {
			g["after"] = []int{i - 1}
		}
		for k, v := range p.More {
			g[k] = v
		}
		groups = append(groups, g)
		specs = append(specs, fmt.Sprintf("%d %d %t", p.Millis, p.CPU, p.Fails))
	}
	b, err := json.Marshal(map[string]any{"spec": strings.Join(specs, ","), nameGroups: groups})
	if err != nil {
		panic(err) // plain values can always be encoded
	}
	return string(b)
}

// clientDeadline is how long clients wait for an answer.
const clientDeadline = 3 * time.Second

// Call sends a client's request to an entry. Status 0 means that no answer
// arrived in time.
func (e *Entry) Call(method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.Client+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = Host
	r.Header.Set(nameDeadline, fmt.Sprint(clientDeadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		e.rec.Log("client: %s %s at %s -> no answer: %v", method, path, e.Name, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	e.rec.Log("client: %s %s at %s, %d bytes -> %d %s", method, path, e.Name, len(body), resp.StatusCode, strings.TrimSpace(string(b)))
	return resp.StatusCode, string(b)
}

// Site is the environment of a case: a store, minions and entries.
type Site struct {
	Record  *Record
	Store   *Store
	Fleet   *Fleet
	Entries []*Entry
	Trouble bool // whether the disruption is to come

	dir string
}

// NewSite starts a store and prepares the record in the folder of the case.
func NewSite(folder string) (*Site, error) {
	rec, err := NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, fmt.Errorf("site: %w", err)
	}
	store, err := NewStore(rec)
	if err != nil {
		return nil, err
	}
	s := &Site{Record: rec, Store: store, Fleet: NewFleet(store, rec), Trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	rec.Log("TROUBLE is %v, logs are in %s", s.Trouble, dir)
	return s, nil
}

// Begin starts a site of one queue: minions of one kind and three entries.
func (s *Site) Begin(route Route, minions int, kind Kind) error {
	if err := s.Store.Configure(firstVersion, route); err != nil {
		return err
	}
	if err := s.AddMinions(minions, route.Service, kind); err != nil {
		return err
	}
	return s.StartEntries(entries, route.Service)
}

const (
	firstVersion = 3 // of the configuration
	entries      = 3 // one in each zone
)

// StartEntries starts n entries, each in a zone of its own, and waits until they
// are ready and the shard of the service has an owner.
func (s *Site) StartEntries(n int, service string) error {
	for i := range n {
		e, err := NewEntry(s.Record, s.dir, fmt.Sprintf("entry-%d", i+1), fmt.Sprintf("z%d", i%3+1), s.Store.Addr)
		if err != nil {
			return err
		}
		s.Entries = append(s.Entries, e)
	}
	return Await(15*time.Second, func() bool {
		for _, e := range s.Entries {
			if !e.Ready() {
				return false
			}
		}
		return s.Owner(service) != nil
	})
}

// Owner returns the entry that owns the shard of a service, or nil.
func (s *Site) Owner(service string) *Entry {
	for _, e := range s.Entries {
		if e.OwnerOf(service) {
			return e
		}
	}
	return nil
}

// Close ends all processes.
func (s *Site) Close() {
	for _, e := range s.Entries {
		e.End()
	}
	time.Sleep(200 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	}
	s.Record.Close()
}

// Await waits until f holds, for at most limit.
func Await(limit time.Duration, f func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return nil
		}
	}
	return fmt.Errorf("not reached in %v", limit)
}
