package main

import (
	"bytes"
	"context"
	_ "embed" // for the formats of configurations
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"jasminestep/internal/loopback"
	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
	"jasminestep/platform/standin"
)

// rig is a small deployment on loopback addresses.
type rig struct {
	program string
	dir     string
	rows    *tabletest.Store
	store   string // address
	ledger  *standin.Ledger
	minions []*minion
	calls   calls // to minions
	entries []*entry
	client  *http.Client

	mu     sync.Mutex
	record *os.File
	began  time.Time
	ended  bool
}

// minion is a minion of a service. Its row is refreshed until the rig is closed.
type minion struct {
	*standin.Minion
	name          string
	service, addr string
	paged         *pagedMinion
	late          *lateMinion
}

// isUp reports whether the minion is not down.
func (m *minion) isUp() bool {
	_, _, up := m.Row(m.service, m.addr, 0)
	return up
}

// entry is an entry process.
type entry struct {
	name, caller, ready, config, log string
	cmd                              *exec.Cmd
}

// Of a small deployment, see compas-quito: in milliseconds.
const (
	heartbeat    = 1500 * time.Millisecond
	propagation  = 2 * time.Second
	visible      = 3 * time.Second
	contact      = 3 * time.Second
	ackTimeout   = 4 * time.Second
	finish       = 14 * time.Second
	startTimeout = 15 * time.Second
)

func newRig(program, record string) (*rig, error) {
	r := &rig{program: program, rows: &tabletest.Store{}, began: time.Now(), client: &http.Client{Timeout: 5 * time.Second}}
	var err error
	if r.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if r.dir, err = os.MkdirTemp("", "rig-3-"); err != nil {
		return nil, err
	}
	r.ledger = standin.NewLedger(ledgerSeed())
	r.store, err = serve(&store{inner: standin.Store{Rows: r.rows}, say: r.say})
	return r, err
}

// ledgerSeed draws what the stand-ins of minions draw, such as their clocks.
func ledgerSeed() int64 {
	seed, err := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

// say writes a line to the record.
func (r *rig) say(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Println(line)
	_, _ = fmt.Fprintln(r.record, line)
}

// close ends all processes that the rig has started.
func (r *rig) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return
	}
	r.ended = true
	for _, e := range r.entries {
		if e.cmd != nil && e.cmd.Process != nil {
			_ = e.cmd.Process.Kill()
			_, _ = e.cmd.Process.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println("logs in", r.dir)
	}
	_ = r.record.Close()
}

// serve serves h on a free loopback address until the process ends.
func serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String(), nil
}

func (r *rig) put(tab, name string, value []byte) error {
	_, err := r.rows.Do(context.Background(), table.Tx{Put: []table.Row{{Key: table.Key{Table: tab, Name: name}, Value: value}}})
	return err
}

// addMinions adds minions of a service and keeps their rows fresh.
func (r *rig) addMinions(service string, n int, capacity int64) error {
	for range n {
		name := fmt.Sprintf("%s-%02d", service, len(r.minions))
		m := &minion{Minion: r.ledger.AddMinion(name, capacity), name: name, service: service}
		m.paged = &pagedMinion{inner: m, listed: map[int64]time.Time{}}
		m.late = &lateMinion{inner: m.paged, id: m.name, isUp: m.isUp, say: r.say, calls: &r.calls}
		var err error
		if m.addr, err = serve(m.late); err != nil {
			return err
		}
		r.minions = append(r.minions, m)
		go func() {
			for sequence := 1; ; sequence++ {
				if id, value, up := m.Row(service, m.addr, sequence); up {
					_ = r.put(standin.MinionTable, id, value)
				}
				time.Sleep(heartbeat)
			}
		}()
	}
	r.say("%d minions of service %s, %d thousandths of a core each", n, service, capacity)
	return nil
}

// writeConfig writes a configuration with one route, queue, to a service.
func (r *rig) writeConfig(version int, service string) error {
	queue := fmt.Sprintf(routeFormat, "queue", standin.Host, "/queue/", service)
	value := fmt.Appendf(nil, configFormat, version, queue)
	err := r.put(standin.ConfigTable, standin.ConfigRow, value)
	r.say("configuration %d is acknowledged: queue goes to service %s", version, service)
	return err
}

// Formats of a configuration and of its routes.
var (
	//go:embed config.json
	configFormat string

	//go:embed route.json
	routeFormat string
)

// addEntries starts entries and waits until they say that they are ready.
func (r *rig) addEntries(n int, store func(i int) string) error {
	for i := range n {
		e := &entry{name: fmt.Sprintf("entry-%d", i), caller: loopback.Addr(), ready: loopback.Addr()}
		e.config, e.log = filepath.Join(r.dir, e.name+".json"), filepath.Join(r.dir, e.name+".log")
		text := fmt.Sprintf(`{"id":%q,"zone":"z%d","caller":%q,"ready":%q,"peer":%q,"admin":%q,"store":%q,"advice":"","cores":0.4,"link":1000,"memory":284,"files":4100,`+
			`"first":true,"beat":1500,"contact":3000,"lease":5500,"batch":8500,"most":10000,"grace":6000}`, e.name, i%3, e.caller, e.ready, loopback.Addr(), loopback.Addr(), store(i))
		if err := os.WriteFile(e.config, []byte(text), 0o600); err != nil {
			return err
		}
		r.entries = append(r.entries, e)
		if err := r.start(e); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// start starts the process of an entry, as the deploy file says.
func (r *rig) start(e *entry) error {
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(r.program, "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JASMINESTEP_CONFIG=" + e.config}
	cmd.Stdout, cmd.Stderr = log, log
	if err = cmd.Start(); err != nil {
		return err
	}
	e.cmd = cmd
	r.say("%s is started, process %d", e.name, cmd.Process.Pid)
	return nil
}

// restart kills the process of an entry and starts it again.
func (r *rig) restart(e *entry) error {
	r.say("%s is killed", e.name)
	_ = e.cmd.Process.Kill()
	_, _ = e.cmd.Process.Wait()
	return r.start(e)
}

// owner returns the entry that owns a service, as the store has it.
func (r *rig) owner(service string) *entry {
	rows, err := r.rows.Read(context.Background(), "entry", service, "owner", "owner\x00")
	if err != nil || len(rows.Rows) == 0 {
		return nil
	}
	var row struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(rows.Rows[0].Value, &row) != nil {
		return nil
	}
	for _, e := range r.entries {
		if e.name == row.Name {
			return e
		}
	}
	return nil
}

func (r *rig) awaitReady() error {
	for _, e := range r.entries {
		for end := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
			resp, err := r.client.Get("http://" + e.ready + "/readyz")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", e.name)
			}
		}
	}
	r.say("all entries are ready")
	return nil
}

// ask sends a client's request to an entry. The status is 0 if there was no answer.
func (r *rig) ask(e *entry, method, path, body string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+e.caller+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = standin.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("deadline-ms", "3000")
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(bytes.TrimSpace(b))
}

// submit hands a job in, and again, at another entry, until it is accepted.
func (r *rig) submit(first int, id string, j standin.Job) error {
	for try := range 5 {
		e := r.entries[(first+try)%len(r.entries)]
		status, answer := r.ask(e, http.MethodPost, "/queue/"+id, j.JSON())
		r.say("POST %s (%d steps of %d tasks of %d ms on %d thousandths) at %s: %d %.120s", id, j.Steps, j.Tasks, j.Millis, j.CPU, e.name, status, answer)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks an entry for the state of a job.
func (r *rig) state(e *entry, id string) string {
	status, answer := r.ask(e, http.MethodGet, "/queue/"+id, "")
	var out struct {
		State string `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(answer), &out) == nil {
		return out.State
	}
	return fmt.Sprintf("%d %.80s", status, answer)
}

// pending asks an entry for the number of jobs that have not begun.
func (r *rig) pending(e *entry) (n int, text string) {
	status, answer := r.ask(e, http.MethodGet, "/queue/", "")
	out := struct {
		Pending int `json:"pending"`
	}{-1}
	if status == http.StatusOK && json.Unmarshal([]byte(answer), &out) == nil {
		return out.Pending, answer
	}
	return -1, fmt.Sprintf("%d %.80s", status, answer)
}

// jobID is the name of the n-th job.
func jobID(n int) string { return fmt.Sprintf("%016x", 0xabcd0000+n) }
