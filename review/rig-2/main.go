// Command rig-2 runs the cases of a review. It starts entries as separate processes
// with the command and the settings template of the deploy file, beside stand-ins of
// the platform, minions and clients, brings one disruption about and judges by what
// clients, minions and the platform see.
//
// It exits with 1 if the rule of the case was broken, 0 if it held and 2 if the
// case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Case   string `long:"case" required:"true" description:"name of the case"`
	Record string `long:"record" required:"true" description:"file for what was sent, answered and run"`
	Dir    string `long:"dir" required:"true" description:"folder for settings and logs"`
}

// rig is what a case works with.
type rig struct {
	ctx      context.Context
	platform *platform
	entries  []*entry
	clients  *clients
	rec      *record
	trouble  bool // the disruption is brought about

	mu      sync.Mutex // held to change entries
	stopped bool
}

// cases return whether the rule was broken, and what was seen.
var cases = map[string]func(*rig) (broken bool, why string, err error){
	"crowd":     crowd,
	"one-crash": oneCrash,
}

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		os.Exit(exitNotRun) // the flags package has printed the error
	}
	code, err := run(opt)
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig-2:", err)
	}
	os.Exit(code)
}

func run(opt options) (int, error) {
	f := cases[opt.Case]
	if f == nil {
		return exitNotRun, fmt.Errorf("no case %q", opt.Case)
	}
	rec, err := newRecord(opt.Record)
	if err != nil {
		return exitNotRun, err
	}
	defer rec.close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &rig{ctx: ctx, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.printf("case %s, trouble %t", opt.Case, r.trouble)
	defer r.stop()
	go r.exitOnSignal()
	if err = r.start(opt.Dir); err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun, err
	}
	broken, why, err := f(r)
	if err != nil {
		rec.printf("not run: %v", err)
		return exitNotRun, err
	}
	for _, e := range r.entries {
		e.mu.Lock()
		rec.printf("%s: %d MB at its peak, %d times over its memory, ended %d times", e.name, e.peakKB>>10, e.overs, e.ends)
		e.mu.Unlock()
	}
	if broken {
		rec.printf("BROKEN: %s", why)
		fmt.Println("broken:", why)
		return exitBroken, nil
	}
	rec.printf("HELD: %s", why)
	fmt.Println("held:", why)
	return exitHeld, nil
}

func (r *rig) start(dir string) (err error) {
	if r.platform, err = startPlatform(r.ctx, r.rec); err != nil {
		return err
	}
	for i := range entryCount {
		e, err := newEntry(i, dir, r.platform.address, r.rec)
		if err != nil {
			return err
		}
		r.mu.Lock()
		if r.stopped {
			r.mu.Unlock()
			return fmt.Errorf("stopped")
		}
		r.entries = append(r.entries, e)
		e.start()
		r.mu.Unlock()
	}
	if err = awaitReady(r.entries); err != nil {
		return err
	}
	r.clients = newClients(r.entries, r.rec)
	time.Sleep(settleTime)
	return nil
}

// settleTime is what the system has before the traffic starts.
const settleTime = 4 * time.Second

// exitOnSignal ends this process on a signal; no entry outlives it.
func (r *rig) exitOnSignal() {
	sigs := make(chan os.Signal, 1)
	signal.Notify(sigs, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	<-sigs
	r.stop()
	os.Exit(exitNotRun)
}

// stop ends the entries and keeps others from starting.
func (r *rig) stop() {
	r.mu.Lock()
	r.stopped = true
	es := r.entries
	r.mu.Unlock()
	for _, e := range es {
		e.stop()
	}
}
