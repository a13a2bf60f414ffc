package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"jasminestep/internal/loopback"
)

// Entries of the deployment.
const (
	entryCount    = 8
	memoryMB      = 284 // of the machine of an entry
	restartDelay  = 300 * time.Millisecond
	watchInterval = 50 * time.Millisecond // between two looks at the memory of a process
	readyTimeout  = 20 * time.Second
)

var zones = []string{"windhoek", "walvis", "ondangwa", "keetmans"}

// bounds are those of a small deployment.
var bounds = map[string]any{"contactMs": 3000, "graceS": 6, "holdMaxMs": 10000}

// entry is one entry process on a machine of its own, which restarts it whenever it
// ends and kills it when it has more memory than the machine.
type entry struct {
	name       string
	client     string // address for clients
	ready      string // address for readiness checks
	configFile string
	logFile    string
	core       int
	rec        *record

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool
	peakKB   int
	overs    int // times that it was killed for its memory
	ends     int // times that it ended by itself
	done     chan struct{}
}

var (
	placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
	section     = regexp.MustCompile(`\{\{#([a-zA-Z0-9.]+)\}\}.*?\{\{/[a-zA-Z0-9.]+\}\}`)
)

// fill fills the settings template of the deploy file.
func fill(template string, fields map[string]any) (string, error) {
	var err error
	find := func(name string) any {
		var at any = fields
		for _, key := range strings.Split(name, ".") {
			switch t := at.(type) {
			case map[string]any:
				at = t[key]
			case []any:
				i, convErr := strconv.Atoi(key)
				if convErr != nil || i >= len(t) {
					return nil
				}
				at = t[i]
			default:
				return nil
			}
		}
		return at
	}
	text := section.ReplaceAllStringFunc(template, func(s string) string {
		if find(section.FindStringSubmatch(s)[1]) != nil {
			err = fmt.Errorf("section is not supported: %s", s)
		}
		return ""
	})
	text = placeholder.ReplaceAllStringFunc(text, func(s string) string {
		m := placeholder.FindStringSubmatch(s)
		v := find(m[1])
		if v == nil {
			err = fmt.Errorf("no field for %s", s)
		}
		if str, ok := v.(string); ok && m[2] == "" {
			return str
		}
		b, jsonErr := json.Marshal(v)
		if jsonErr != nil {
			err = jsonErr
		}
		return string(b)
	})
	return text, err
}

// newEntry writes the settings of an entry. Its addresses are those of one machine:
// one IP address, and two ports for calls between entries.
func newEntry(i int, dir, store string, rec *record) (*entry, error) {
	e := &entry{
		name: fmt.Sprintf("edge-%d", i+1), core: i % runtime.NumCPU(), client: loopback.Addr(), ready: loopback.Addr(), rec: rec,
		configFile: filepath.Join(dir, fmt.Sprintf("edge-%d.json", i+1)), logFile: filepath.Join(dir, fmt.Sprintf("edge-%d.log", i+1)),
	}
	peer, admin := loopback.Addr(), loopback.Addr()
	ip, peerPort, _ := strings.Cut(peer, ":")
	_, adminPort, _ := strings.Cut(admin, ":")
	template, err := os.ReadFile("deploy/entry.json")
	if err != nil {
		return nil, fmt.Errorf("template: %w", err)
	}
	first, err := strconv.Atoi(peerPort)
	if err != nil {
		return nil, fmt.Errorf("port: %w", err)
	}
	last, err := strconv.Atoi(adminPort)
	if err != nil {
		return nil, fmt.Errorf("port: %w", err)
	}
	text, err := fill(string(template), map[string]any{
		"nodeName": e.name, "zone": zones[i%len(zones)], "ip": ip, "portRange": []any{first, last},
		"listen":   map[string]any{"http": e.client, "readiness": e.ready},
		"platform": map[string]any{"address": store}, "recommendation": "",
		"limits": map[string]any{"cpuShare": 0.4, "bandwidthMbps": 1000.0, "memoryMb": memoryMB, "maxFds": 4100},
		"bounds": bounds, "bootstrap": true, "heartbeatMs": beatInterval.Milliseconds(),
	})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return e, os.WriteFile(e.configFile, []byte(text), 0o644)
}

// start begins to run the process.
func (e *entry) start() {
	e.done = make(chan struct{})
	go func() {
		defer close(e.done)
		for e.runOnce() {
			time.Sleep(restartDelay)
		}
	}()
}

// runOnce runs the process until it ends, and reports whether it is to run again.
func (e *entry) runOnce() bool {
	log, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		e.rec.printf("%s: %v", e.name, err)
		return false
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/jasminestep", "entry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JASMINESTEP_CONFIG=" + e.configFile}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	e.mu.Lock()
	if e.stopping {
		e.mu.Unlock()
		return false
	}
	if err = startOnOneCore(cmd, e.core); err != nil {
		e.mu.Unlock()
		e.rec.printf("%s: %v", e.name, err)
		return false
	}
	e.cmd = cmd
	e.mu.Unlock()
	ended := make(chan struct{})
	go e.watchMemory(cmd.Process.Pid, ended)
	err = cmd.Wait()
	close(ended)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopping {
		e.ends++
		e.rec.printf("%s: process ended: %v", e.name, err)
	}
	return !e.stopping
}

// cpuMask is a set of processors, as the kernel has it.
type cpuMask [16]uint64

// affinity calls the kernel for the set of processors of this thread.
func affinity(call uintptr, mask *cpuMask) error {
	if _, _, e := syscall.RawSyscall(call, 0, unsafe.Sizeof(*mask), uintptr(unsafe.Pointer(mask))); e != 0 {
		return e
	}
	return nil
}

// startOnOneCore starts a process that sees one core, as on its machine: how much
// memory a Go program takes depends on the number of cores.
func startOnOneCore(cmd *exec.Cmd, core int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one cpuMask
	if err := affinity(syscall.SYS_SCHED_GETAFFINITY, &all); err != nil {
		return fmt.Errorf("get processors: %w", err)
	}
	allowed := []int{}
	for i := range len(all) * 64 {
		if all[i/64]>>(i%64)&1 == 1 {
			allowed = append(allowed, i)
		}
	}
	i := allowed[core%len(allowed)]
	one[i/64] = 1 << (i % 64)
	if err := affinity(syscall.SYS_SCHED_SETAFFINITY, &one); err != nil {
		return fmt.Errorf("set processor: %w", err)
	}
	err := cmd.Start()
	if back := affinity(syscall.SYS_SCHED_SETAFFINITY, &all); back != nil && err == nil {
		err = fmt.Errorf("set processors: %w", back)
	}
	return err
}

// watchMemory kills the process when it takes more memory than its machine has.
func (e *entry) watchMemory(pid int, ended chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(watchInterval):
		}
		kb := residentKB(pid)
		e.mu.Lock()
		e.peakKB = max(e.peakKB, kb)
		over := kb > memoryMB<<10
		if over {
			e.overs++
		}
		e.mu.Unlock()
		if over {
			e.rec.printf("%s: %d MB in use, the machine has %d: killed", e.name, kb>>10, memoryMB)
			_ = syscall.Kill(pid, syscall.SIGKILL) // it may have ended already
			return
		}
	}
}

// residentKB is the resident memory of a process, 0 if it has ended.
func residentKB(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) == 3 && f[0] == "VmRSS:" {
			n, err := strconv.Atoi(f[1])
			if err == nil {
				return n
			}
		}
	}
	return 0
}

// stop ends the process and waits for its end.
func (e *entry) stop() {
	e.mu.Lock()
	e.stopping = true
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Kill() // it may have ended already
	}
	e.mu.Unlock()
	if e.done != nil {
		<-e.done
	}
}

// awaitReady waits until all entries answer the balancer's check.
func awaitReady(es []*entry) error {
	cli := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(200 * time.Millisecond) {
		n := 0
		for _, e := range es {
			resp, err := cli.Get("http://" + e.ready + "/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				n++
			}
		}
		if n == len(es) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d entries are ready after %v", n, len(es), readyTimeout)
		}
	}
}

// rollEntries stops the entries as planned, one after the other; each starts again.
func (r *rig) rollEntries() error {
	for _, e := range r.entries {
		e.mu.Lock()
		ends, cmd := e.ends, e.cmd
		e.mu.Unlock()
		r.rec.printf("%s gets SIGTERM", e.name)
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return fmt.Errorf("stop %s: %w", e.name, err)
		}
		for end := time.Now().Add(stopLimit); ; time.Sleep(50 * time.Millisecond) {
			e.mu.Lock()
			ended := e.ends > ends
			e.mu.Unlock()
			if ended {
				break
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s has not ended %v after SIGTERM", e.name, stopLimit)
			}
		}
	}
	return awaitReady(r.entries)
}
