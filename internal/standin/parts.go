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

// Parts are the stand-ins of one site: all but the entries.
type Parts struct {
	Site     Site
	Ledger   *Ledger
	Platform *Platform
	Workers  map[string]*Worker // by VM
	Minions  map[string]*Minion // by VM
	server   *http.Server
}

// The platform's own times.
const (
	storeDelay = 3 * time.Millisecond
	listLag    = 2 * time.Second
)

// StartParts starts the platform, the workers and the minions of a site.
func StartParts(s Site) (*Parts, error) {
	p := &Parts{
		Site: s, Ledger: NewLedger(), Platform: &Platform{Lag: listLag, Delay: storeDelay},
		Workers: map[string]*Worker{}, Minions: map[string]*Minion{},
	}
	var err error
	if p.server, err = p.Platform.Serve(s.PlatformAddr()); err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	vms := s.VMs()
	p.Platform.Add(vms...)
	for _, vm := range vms {
		if err = p.startVM(vm); err != nil {
			return nil, fmt.Errorf("%s: %w", vm.ID, err)
		}
	}
	return p, nil
}

func (p *Parts) startVM(vm platform.VM) error {
	switch vm.Role {
	case "worker":
		w := &Worker{VM: vm, Ledger: p.Ledger}
		p.Workers[vm.ID] = w
		return w.Serve()
	case "minion":
		m := &Minion{Name: vm.ID, Slots: vm.Slots, Conns: vm.Conns, Ledger: p.Ledger}
		p.Minions[vm.ID] = m
		_, err := m.Serve(vm.Addr)
		return err
	}
	return nil
}

// Close ends the stand-ins.
func (p *Parts) Close() {
	for _, w := range p.Workers {
		w.Crash()
	}
	for _, m := range p.Minions {
		m.Close()
	}
	_ = p.server.Close()
}

// Cluster is a site with its entries in this process.
type Cluster struct {
	*Parts
	Net  *Net
	Log  hclog.Logger
	Seed uint64

	mu    sync.Mutex
	procs map[string]*admin.Process
	sets  map[string]settings.Settings
}

// StartCluster starts a site with all its entries.
func StartCluster(s Site, seed uint64, log hclog.Logger) (*Cluster, error) {
	p, err := StartParts(s)
	if err != nil {
		return nil, err
	}
	c := &Cluster{Parts: p, Net: &Net{}, Log: log, Seed: seed, procs: map[string]*admin.Process{}, sets: map[string]settings.Settings{}}
	for _, set := range s.Settings() {
		c.sets[set.ID] = set
		if err = c.Boot(set.ID); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Boot starts an entry, the first time or again.
func (c *Cluster) Boot(id string) error {
	set := c.sets[id]
	e, err := entry.New(set, entry.Options{Dial: c.Net.Dial(set.IP()), Log: c.Log, Seed: c.Seed, ReplicaDelay: c.Site.Behind})
	if err != nil {
		return fmt.Errorf("boot %s: %w", id, err)
	}
	p, err := admin.Start(e)
	if err != nil {
		return fmt.Errorf("boot %s: %w", id, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.procs[id] = p
	return nil
}

// Entry returns the running process of that VM.
func (c *Cluster) Entry(id string) *admin.Process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.procs[id]
}

// Owner returns the VM that owns a zone, empty if none does.
func (c *Cluster) Owner(zone string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, p := range c.procs {
		if p.Entry.Owns() && p.Entry.Settings.Zone == zone {
			return id
		}
	}
	return ""
}

// Fronts lists where the entries listen.
func (p *Parts) Fronts() []Front {
	var out []Front
	for _, s := range p.Site.Settings() {
		out = append(out, Front{s.Zone, s.Caller, s.Operator})
	}
	return out
}

// Close ends the entries and the stand-ins.
func (c *Cluster) Close() {
	c.mu.Lock()
	procs := c.procs
	c.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	c.Parts.Close()
}
