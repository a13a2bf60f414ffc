package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"time"

	"github.com/jessevdk/go-flags"

	"jasminestep/platform/standin"
)

// minion is a stand-in of a minion, in this process or in its own.
type minion interface {
	Row(service, addr string, sequence int) (id string, value []byte, up bool)
	OddRows(service string) [][]byte
	Crash()
	CrashFor(d time.Duration)
	SetCapacity(capacity int64)
}

// minionCommand is the first argument of a process that is a minion.
const minionCommand = "minion"

// dueInterval is how often a minion's process looks for tasks that have ended.
const dueInterval = 5 * time.Millisecond

// serveMinion is a minion in a process of its own. It writes its events to standard
// output as JSON, one a line, and reads its capacity from standard input. It exits
// when that ends.
func serveMinion(args []string) error {
	var opt struct {
		ID       string        `long:"id" required:"true"`
		Addr     string        `long:"addr" required:"true"`
		Seed     int64         `long:"seed"`
		Capacity int64         `long:"capacity"`
		MaxLease time.Duration `long:"max-lease"`
		MaxEnds  int           `long:"max-ends"`
	}
	if _, err := flags.ParseArgs(&opt, args); err != nil {
		return err
	}
	l := standin.NewLedger(opt.Seed)
	l.MaxLease, l.MaxEnds = opt.MaxLease, opt.MaxEnds
	out := json.NewEncoder(os.Stdout)
	l.Note = func(e standin.Event) { _ = out.Encode(e) } // fails if the soak is gone; then this process ends
	m := l.AddMinion(opt.ID, opt.Capacity)
	failed := make(chan error, 1)
	go func() { failed <- http.ListenAndServe(opt.Addr, m) }()
	go func() {
		for in := bufio.NewScanner(os.Stdin); in.Scan(); {
			if n, err := strconv.ParseInt(in.Text(), 10, 64); err == nil {
				m.SetCapacity(n)
			}
		}
		failed <- nil
	}()
	for {
		select {
		case err := <-failed:
			return err
		case <-time.After(dueInterval):
			l.EndDueTasks()
		}
	}
}

// process is a minion in a process of its own.
type process struct {
	id, addr  string
	seed      int64
	collector *collector

	mu       sync.Mutex
	capacity int64
	life     int64 // counts the processes
	cmd      *exec.Cmd
	stdin    io.WriteCloser
	up       bool
	stopping bool
	born     time.Time
	killed   time.Time
}

// start starts the process and waits until it says that it is there.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopping {
		return nil
	}
	p.life++
	cmd := exec.Command(os.Args[0], minionCommand, "--id", p.id, "--addr", p.addr, "--seed", fmt.Sprint(p.seed+p.life),
		"--capacity", fmt.Sprint(p.capacity), "--max-lease", maxLease.String(), "--max-ends", fmt.Sprint(maxEnds))
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	if err != nil {
		return fmt.Errorf("minion: %w", err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return fmt.Errorf("minion: %w", err)
	}
	if err = cmd.Start(); err != nil {
		return fmt.Errorf("minion: %w", err)
	}
	events := json.NewDecoder(out)
	var first standin.Event
	if err = events.Decode(&first); err != nil {
		return fmt.Errorf("minion: %w", err)
	}
	p.cmd, p.stdin, p.born, p.up, p.killed = cmd, in, first.At, true, time.Time{}
	go p.collect(events)
	return nil
}

// collect passes the events of a life to the collector, until the process has ended.
func (p *process) collect(events *json.Decoder) {
	for {
		var e standin.Event
		if err := events.Decode(&e); err != nil {
			break
		}
		p.collector.add(p.id, e)
	}
	_ = p.cmd.Wait() // it was killed
	p.mu.Lock()
	defer p.mu.Unlock()
	at := p.killed
	if at.IsZero() {
		at = time.Now()
		p.collector.add(p.id, standin.Event{At: at, Kind: standin.Violated, Text: p.id + " has ended by itself"})
	}
	p.up = false
	p.collector.crash(p.id, at)
	p.cmd = nil
}

func (p *process) kill() (wasUp bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.up {
		return false
	}
	p.up, p.killed = false, time.Now()
	_ = p.cmd.Process.Kill() // it may have ended
	return true
}

func (p *process) isGone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd == nil
}

// Crash kills the process and starts it again.
func (p *process) Crash() { p.CrashFor(0) }

// CrashFor kills the process and starts it again after a time.
func (p *process) CrashFor(d time.Duration) {
	if !p.kill() {
		return
	}
	time.AfterFunc(d, func() {
		for !p.isGone() {
			time.Sleep(time.Millisecond)
		}
		if err := p.start(); err != nil {
			fmt.Fprintln(os.Stderr, "soak:", err)
		}
	})
}

func (p *process) shutDown() {
	p.mu.Lock()
	p.stopping = true
	p.mu.Unlock()
	p.kill()
}

// SetCapacity tells the process its capacity.
func (p *process) SetCapacity(capacity int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.capacity = capacity
	if p.up {
		_, _ = fmt.Fprintln(p.stdin, capacity) // it may have ended
	}
}

// Row returns the minion's row, as standin.Minion.
func (p *process) Row(service, addr string, sequence int) (id string, value []byte, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.id, standin.RowValue(service, addr, p.capacity, p.born, sequence), p.up
}

// OddRows returns rows of another writer, as standin.Minion.
func (p *process) OddRows(service string) [][]byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return standin.OddRowValues(service, p.capacity, p.born)
}
