package standin

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"jasminestep/internal/admin"
	"jasminestep/internal/entry"
	"jasminestep/internal/platform"
	"jasminestep/internal/settings"
)

// Environment is the stand-ins of one site: everything except the entries.
type Environment struct {
	Site     Site
	Ledger   *Ledger
	Platform *Platform
	Workers  map[string]*Worker // by VM
	Minions  map[string]*Minion // by VM
	server   *http.Server
}

// Delays of the simulated platform.
const (
	storeLatency = 3 * time.Millisecond
	vmListLag    = 2 * time.Second
)

// StartEnvironment starts the platform, the workers and the minions of a site.
func StartEnvironment(s Site) (*Environment, error) {
	p := &Environment{
		Site: s, Ledger: NewLedger(), Platform: &Platform{VMListLag: vmListLag, Latency: storeLatency},
		Workers: map[string]*Worker{}, Minions: map[string]*Minion{},
	}
	var err error
	if p.server, err = p.Platform.Serve(s.PlatformAddr()); err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	vms := s.VMs()
	p.Platform.AddVMs(vms...)
	for _, vm := range vms {
		if err = p.startVM(vm); err != nil {
			return nil, fmt.Errorf("%s: %w", vm.ID, err)
		}
	}
	return p, nil
}

func (p *Environment) startVM(vm platform.VM) error {
	switch vm.Role {
	case "worker":
		w := &Worker{VM: vm, Ledger: p.Ledger}
		p.Workers[vm.ID] = w
		return w.Serve()
	case "minion":
		m := &Minion{Name: vm.ID, Slots: vm.Slots, MaxConns: vm.Conns, Ledger: p.Ledger}
		p.Minions[vm.ID] = m
		_, err := m.Serve(vm.Addr)
		return err
	}
	return nil
}

// Close stops the stand-ins.
func (p *Environment) Close() {
	for _, w := range p.Workers {
		w.Crash()
	}
	for _, m := range p.Minions {
		m.Close()
	}
	_ = p.server.Close()
}

// Cluster is a site whose entries run in this process.
type Cluster struct {
	*Environment
	Net  *Network
	Log  hclog.Logger
	Seed uint64

	mu        sync.Mutex
	processes map[string]*admin.Process
	settings  map[string]settings.Settings
}

// StartCluster starts a site with all its entries.
func StartCluster(s Site, seed uint64, log hclog.Logger) (*Cluster, error) {
	p, err := StartEnvironment(s)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Environment: p, Net: &Network{}, Log: log, Seed: seed, processes: map[string]*admin.Process{}, settings: map[string]settings.Settings{}}
	for _, set := range s.Settings() {
		c.settings[set.ID] = set
		if err = c.StartEntry(set.ID); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// StartEntry starts an entry, for the first time or after it has ended.
func (c *Cluster) StartEntry(id string) error {
	set := c.settings[id]
	e, err := entry.New(set, entry.Options{Dial: c.Net.Dial(set.IP()), Log: c.Log, Seed: c.Seed, ReplicaDelay: c.Site.FollowerLag})
	if err != nil {
		return fmt.Errorf("boot %s: %w", id, err)
	}
	p, err := admin.Start(e)
	if err != nil {
		return fmt.Errorf("boot %s: %w", id, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.processes[id] = p
	return nil
}

// Process returns the process of the entry on that VM that was started last.
func (c *Cluster) Process(id string) *admin.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.processes[id]
}

// Owner returns the id of the entry that owns the zone, or "" if none does.
func (c *Cluster) Owner(zone string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.processes {
		if p.Entry.Owns() && p.Entry.Settings.Zone == zone {
			return id
		}
	}
	return ""
}

// Endpoints lists the addresses of the entries.
func (p *Environment) Endpoints() []Endpoints {
	var out []Endpoints
	for _, s := range p.Site.Settings() {
		out = append(out, Endpoints{s.Zone, s.Caller, s.Operator})
	}
	return out
}

// Close kills the entries and stops the stand-ins.
func (c *Cluster) Close() {
	c.mu.Lock()
	procs := c.processes
	c.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	c.Environment.Close()
}
