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

	"jasminestep/internal/loopback"
	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
	"jasminestep/platform/standin"
)

// cluster is the environment of one seed: the simulated platform, the entries
// and the proxies between them.
type cluster struct {
	opt           options
	rng           *rand.Rand
	store         *tabletest.Store
	ledger        *standin.Ledger
	judge         judge
	minions       []minion
	minionProxies []*proxy // to minions, by index
	entries       []*entry
	version       int
	writtenAt     map[int]time.Time // when configurations were written, by version; guarded by mu
	restarted     map[int]bool      // minions that restartAndCut has not done with, by index; guarded by mu
	dark          map[int]bool      // minions that do not reach the store, by index; guarded by mu

	mu               sync.Mutex
	fault            tabletest.Fault // of the store transactions that are affected
	faultProbability float64         // share of transactions that are affected
	faultRNG         *rand.Rand      // selects the affected transactions
}

const (
	fullCapacity = 4000                    // of a minion, in thousandths of a core
	rowExpiry    = 4500 * time.Millisecond // three heartbeats
	lease        = 2 * time.Second         // that owners ask for
	maxLease     = 6 * time.Second         // that minions grant
	maxEnds      = 3                       // that minions list at a time
)

// entry is one entry process.
type entry struct {
	name       string
	callerAddr string
	configFile string
	storeProxy *proxy // to the store
	dir        string

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopping bool // the process is not restarted
}

func serveOn(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // serves until this process exits
	return l.Addr().String(), nil
}

func newCluster(opt options, seed int64) (*cluster, error) {
	s := &cluster{opt: opt, writtenAt: map[int]time.Time{}, restarted: map[int]bool{}, dark: map[int]bool{}, rng: rand.New(rand.NewSource(seed)), faultRNG: rand.New(rand.NewSource(seed + 1)), store: &tabletest.Store{}, ledger: standin.NewLedger(seed + 2)}
	s.ledger.MaxLease, s.ledger.MaxEnds = maxLease, maxEnds
	s.store.InjectFaults(s.transactionFault)
	store, err := serveOn(standin.Store{Rows: s.store})
	if err != nil {
		return nil, err
	}
	s.judge = s.ledger
	collector := newCollector()
	if opt.Processes {
		s.judge = collector
	}
	for i := range opt.Minions {
		m, addr, err := s.addMinion(fmt.Sprintf("i-%08d", i), collector)
		if err != nil {
			return nil, err
		}
		p, err := newProxy(addr)
		if err != nil {
			return nil, err
		}
		s.minions, s.minionProxies = append(s.minions, m), append(s.minionProxies, p)
	}
	s.writeConfig()
	dir := filepath.Join(opt.Dir, fmt.Sprintf("%d", seed))
	if err = os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	direct := opt.Minions // even seeds limit direct calls to one minion, so that the others are called through other entries
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

// addMinion starts a minion, in a process of its own if that is wanted.
func (s *cluster) addMinion(id string, c *collector) (minion, string, error) {
	if s.opt.Processes {
		m := &process{id: id, addr: loopback.Addr(), seed: s.rng.Int63(), capacity: fullCapacity, collector: c}
		return m, m.addr, m.start()
	}
	m := s.ledger.AddMinion(id, fullCapacity)
	addr, err := serveOn(m)
	return m, addr, err
}

// transactionFault selects the fault of a transaction. Transactions of the
// operator and the minions, which this process issues itself, always succeed.
func (s *cluster) transactionFault(tx table.Tx) tabletest.Fault {
	if len(tx.Delete) > 0 && tx.Delete[0].Table == standin.MinionTable {
		return tabletest.NoFault
	}
	if len(tx.Put) > 0 && (tx.Put[0].Table == standin.ConfigTable || tx.Put[0].Table == standin.MinionTable) {
		return tabletest.NoFault
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faultRNG.Float64() < s.faultProbability {
		return s.fault
	}
	return tabletest.NoFault
}

func (s *cluster) setStoreFault(f tabletest.Fault, odds float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.faultProbability = f, odds
}

func (s *cluster) putRow(tab, name string, value []byte) {
	tx := table.Tx{Put: []table.Row{{Key: table.Key{Table: tab, Name: name}, Value: value}}}
	if _, err := s.store.Do(context.Background(), tx); err != nil {
		fmt.Fprintln(os.Stderr, "soak: write row", name, err)
	}
}

func (s *cluster) deleteRow(tab, name string) {
	tx := table.Tx{Delete: []table.Key{{Table: tab, Name: name}}}
	if _, err := s.store.Do(context.Background(), tx); err != nil {
		fmt.Fprintln(os.Stderr, "soak: delete row", name, err)
	}
}

func (s *cluster) writeConfig() {
	s.mu.Lock()
	s.version++
	version := s.version
	s.mu.Unlock()
	s.putRow(standin.ConfigTable, standin.ConfigRow, standin.Config(version, s.accounts(version)...))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writtenAt[version] = time.Now()
}

// refreshMinionRows rewrites the registration row of every minion periodically
// until ctx ends, and removes the rows that nobody has written for rowExpiry.
func (s *cluster) refreshMinionRows(ctx context.Context) {
	written := map[string]time.Time{}
	for n := 1; ctx.Err() == nil; n++ {
		for i, m := range s.minions {
			service := standin.Services[i%len(standin.Services)]
			if id, value, up := m.Row(service, s.minionProxies[i].addr(), n); up && !s.isDark(i) {
				s.putRow(standin.MinionTable, id, value)
				written[id] = time.Now()
			}
		}
		for id, at := range written {
			if time.Since(at) > rowExpiry {
				s.deleteRow(standin.MinionTable, id)
				delete(written, id)
			}
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// writeOddRow writes a row as another writer may, under the ID of a minion, and
// returns which of the possible ones.
func (s *cluster) writeOddRow(i int) int {
	m, service := s.minions[i], standin.Services[i%len(standin.Services)]
	rows := m.OddRows(service)
	kind := s.rng.Intn(len(rows))
	if id, _, up := m.Row(service, "", 0); up {
		s.putRow(standin.MinionTable, id, rows[kind])
	}
	return kind
}

func newEntry(name, dir, store string, direct int) (*entry, error) {
	p, err := newProxy(store)
	if err != nil {
		return nil, err
	}
	var addrs [4]string
	for i := range addrs {
		addrs[i] = loopback.Addr()
	}
	e := &entry{name: name, callerAddr: addrs[0], configFile: filepath.Join(dir, name+".json"), storeProxy: p, dir: dir}
	text := fmt.Sprintf(`{"id": %q, "zone": "z", "caller": %q, "ready": %q, "peer": %q, "admin": %q, "store": %q, "lease": %d, "most": %d, "ends": %d, "direct": %d, "closed": true, "revoke": %d}`,
		name, addrs[0], addrs[1], addrs[2], addrs[3], p.addr(), lease.Milliseconds(), maxLease.Milliseconds(), maxEnds, direct, revokeTime.Milliseconds())
	return e, os.WriteFile(e.configFile, []byte(text), 0o644)
}

// supervise runs the entry process and restarts it whenever it exits.
func (e *entry) supervise(program string) error {
	log, err := os.OpenFile(filepath.Join(e.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	for {
		cmd := exec.Command(program, "entry", "--config", e.configFile)
		cmd.Stdout, cmd.Stderr = log, log
		e.mu.Lock()
		if e.stopping {
			e.mu.Unlock()
			return nil
		}
		if err = cmd.Start(); err != nil {
			e.mu.Unlock()
			return err
		}
		e.cmd = cmd
		e.mu.Unlock()
		_ = cmd.Wait() // killed and stopped processes exit with an error
		time.Sleep(200 * time.Millisecond)
	}
}

// signal sends sig to the process if it has been started.
func (e *entry) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cmd != nil && e.cmd.Process != nil {
		_ = e.cmd.Process.Signal(sig) // the process may have exited already
	}
}

func (e *entry) shutDown() {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.signal(syscall.SIGKILL)
}
