package main

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
	"jasminestep/platform/standin"
)

// site is one run: the stand-ins, the entries and what is between them.
type site struct {
	opt     options
	rng     *rand.Rand
	rows    *tabletest.Store
	ledger  *standin.Ledger
	minions []*standin.Minion
	paths   []*proxy // to minions
	entries []*entry
	version int

	mu   sync.Mutex
	fate tabletest.Fault // of some of the store's transactions
	odds float64         // share of them
	dice *rand.Rand      // for the fates
}

// entry is one real process.
type entry struct {
	name   string
	caller string
	config string
	path   *proxy // to the store
	dir    string

	mu  sync.Mutex
	cmd *exec.Cmd
	end bool // it is not to be started again
}

func serveOn(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // until the process ends
	return l.Addr().String(), nil
}

func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func newSite(opt options, seed int64) (*site, error) {
	s := &site{opt: opt, rng: rand.New(rand.NewSource(seed)), dice: rand.New(rand.NewSource(seed + 1)), rows: &tabletest.Store{}, ledger: standin.NewLedger()}
	s.rows.InjectFaults(s.judge)
	store, err := serveOn(standin.Store{Rows: s.rows})
	if err != nil {
		return nil, err
	}
	for i := range opt.Minions {
		m := s.ledger.AddMinion(fmt.Sprintf("i-%08d", i), 4000)
		addr, err := serveOn(m)
		if err != nil {
			return nil, err
		}
		p, err := newProxy(addr)
		if err != nil {
			return nil, err
		}
		s.minions, s.paths = append(s.minions, m), append(s.paths, p)
	}
	s.configure()
	dir := filepath.Join(opt.Dir, fmt.Sprintf("%d", seed))
	if err = os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	direct := opt.Minions // every other seed has calls go through other entries
	if seed%2 == 0 {
		direct = 1
	}
	for i := range opt.Entries {
		e, err := newEntry(fmt.Sprintf("e%d", i), dir, store, direct)
		if err != nil {
			return nil, err
		}
		s.entries = append(s.entries, e)
	}
	return s, nil
}

// judge decides what becomes of a transaction. Those of the operator and the
// minions, which this process makes itself, are spared.
func (s *site) judge(tx table.Tx) tabletest.Fault {
	if len(tx.Put) > 0 && (tx.Put[0].Table == standin.ConfigTable || tx.Put[0].Table == standin.MinionTable) {
		return tabletest.NoFault
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dice.Float64() < s.odds {
		return s.fate
	}
	return tabletest.NoFault
}

func (s *site) harmStore(f tabletest.Fault, odds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate, s.odds = f, odds
}

func (s *site) put(tab, name string, value []byte) {
	tx := table.Tx{Put: []table.Row{{Key: table.Key{Table: tab, Name: name}, Value: value}}}
	if _, err := s.rows.Do(context.Background(), tx); err != nil {
		fmt.Fprintln(os.Stderr, "soak: row", name, err)
	}
}

func (s *site) configure() {
	s.version++
	s.put(standin.ConfigTable, standin.ConfigRow, standin.Config(s.version))
}

// beat writes the minions' entries until ctx ends.
func (s *site) beat(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		for i, m := range s.minions {
			s.put(standin.MinionTable, m.ID, m.Row(standin.Service, s.paths[i].addr(), n))
		}
		time.Sleep(400 * time.Millisecond)
	}
}

func newEntry(name, dir, store string, direct int) (*entry, error) {
	p, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	var addrs [4]string
	for i := range addrs {
		if addrs[i], err = freeAddr(); err != nil {
			return nil, err
		}
	}
	e := &entry{name: name, caller: addrs[0], config: filepath.Join(dir, name+".json"), path: p, dir: dir}
	text := fmt.Sprintf(`{"id": %q, "zone": "z", "caller": %q, "ready": %q, "peer": %q, "admin": %q, "store": %q, "lease": 2000, "direct": %d}`,
		name, addrs[0], addrs[1], addrs[2], addrs[3], p.addr(), direct)
	return e, os.WriteFile(e.config, []byte(text), 0o644)
}

// keep runs the entry, and starts it again whenever it ends.
func (e *entry) keep(program string) error {
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	for {
		cmd := exec.Command(program, "entry", "--config", e.config)
		cmd.Stdout, cmd.Stderr = log, log
		e.mu.Lock()
		if e.end {
			e.mu.Unlock()
			return nil
		}
		if err = cmd.Start(); err != nil {
			e.mu.Unlock()
			return err
		}
		e.cmd = cmd
		e.mu.Unlock()
		_ = cmd.Wait() // killed and stopped processes end with an error
		time.Sleep(200 * time.Millisecond)
	}
}

// signal signals the process, if it runs.
func (e *entry) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Signal(sig) // it may have just ended
	}
}

func (e *entry) finish() {
	e.mu.Lock()
	e.end = true
	e.mu.Unlock()
	e.signal(syscall.SIGKILL)
}
