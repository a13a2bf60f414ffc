package standin

import (
	"fmt"
	"time"

	"jasminestep/internal/platform"
	"jasminestep/internal/settings"
	"jasminestep/pkg/operator"
)

// VMKind is a class of VMs of a site, each with a worker and a minion.
type VMKind struct {
	Pool    string // pool of its minions
	Count   int    // number of workers, and also of minions
	CPU     int64  // millicores
	Memory  int64  // MiB
	Accel   int64
	PerRack int
}

// Site describes one deployment.
type Site struct {
	Name           string
	Subnet         int // second byte of its IP addresses
	Zones          []string
	Entries        []int // number per zone
	Kinds          []VMKind
	Members        []string
	Policy         string
	FollowerLag    time.Duration            // added delay of entries that follow a zone's journal
	AdjustSettings func(*settings.Settings) // called on the settings of every entry; may be nil
}

// Sites are the two known deployments at their current size.
var Sites = []Site{
	{
		Name: "oshana", Subnet: 21, Zones: []string{"omusati", "ohangwena", "oshana", "oshikoto"}, Entries: []int{2, 2, 2, 2},
		Kinds: []VMKind{
			{"settlement", 35, 16000, 64 << 10, 0, 4},
			{"quality", 13, 128000, 256 << 10, 8, 3},
		},
		Members: []string{"onaanda", "etosha-oil", "kunene-fry", "coastal"}, Policy: "pack",
	},
	{
		Name: "compas", Subnet: 22, Zones: []string{"quito", "guayaquil", "cuenca"}, Entries: []int{3, 3, 2},
		Kinds: []VMKind{
			{"listings", 35, 64000, 128 << 10, 0, 5},
			{"posters", 13, 64000, 256 << 10, 8, 3},
		},
		Members: []string{"salon", "halls", "orchestras"}, Policy: "wait",
	},
}

// FindSite returns the site with the given name.
func FindSite(name string) (Site, error) {
	for _, s := range Sites {
		if s.Name == name {
			return s, nil
		}
	}
	return Site{}, fmt.Errorf("no site %q: want oshana or compas", name)
}

// Ports used on the VMs.
const (
	portCaller = 7000 + iota
	portOperator
	portPeer
	portAdmin
	portWorker
	portMinion
	portPlatform
)

func (s *Site) ip(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", s.Subnet, zone, host) }

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

// PlatformAddr returns the address of the platform.
func (s *Site) PlatformAddr() string { return addr(s.ip(0, 1), portPlatform) }

// ControlAddr returns the address at which faults are set when the stand-ins run
// separately from the entries.
func (s *Site) ControlAddr() string { return addr(s.ip(0, 2), portAdmin) }

// Settings returns the settings of every entry.
func (s *Site) Settings() []settings.Settings {
	var out []settings.Settings
	var seeds []string
	for z, n := range s.Entries {
		for i := range n {
			ip := s.ip(z+1, i+1)
			seeds = append(seeds, addr(ip, portPeer))
			out = append(out, settings.Settings{
				ID: fmt.Sprintf("%s-entry-%d", s.Zones[z], i+1), Zone: s.Zones[z],
				Caller: addr(ip, portCaller), Operator: addr(ip, portOperator), Peer: addr(ip, portPeer), Admin: addr(ip, portAdmin),
				Platform: s.PlatformAddr(), Lag: 2000,
			})
		}
	}
	for i := range out {
		out[i].Seeds = seeds
		if s.AdjustSettings != nil {
			s.AdjustSettings(&out[i])
		}
	}
	return out
}

// VMs returns the VM list of the site: entries, workers and minions.
func (s *Site) VMs() []platform.VM {
	var out []platform.VM
	for _, e := range s.Settings() {
		out = append(out, platform.VM{ID: e.ID, Zone: e.Zone, Role: "entry", Addr: e.Peer})
	}
	host := make([]int, len(s.Zones))
	for _, k := range s.Kinds {
		for i := range k.Count {
			z := i % len(s.Zones)
			host[z]++
			ip := s.ip(z+1, 20+host[z])
			rack := fmt.Sprintf("%s-%s-%d", s.Zones[z], k.Pool, i/len(s.Zones)/k.PerRack)
			name := fmt.Sprintf("%s-%s-%d", s.Zones[z], k.Pool, i)
			out = append(out,
				platform.VM{ID: name + "-w", Zone: s.Zones[z], Rack: rack, Role: "worker", Addr: addr(ip, portWorker), CPU: k.CPU, Memory: k.Memory, Accel: k.Accel},
				platform.VM{ID: name + "-m", Zone: s.Zones[z], Rack: rack, Role: "minion", Addr: addr(ip, portMinion), Pool: k.Pool, Slots: 8, Conns: 64})
		}
	}
	return out
}

// Cell returns a configuration for the site.
func (s *Site) Cell() operator.Cell {
	c := operator.Cell{Author: "standin", Zones: s.Zones, Policy: s.Policy}
	for i, m := range s.Members {
		c.Members = append(c.Members, operator.Member{Name: m, Weight: float64(1 + i%2), Worth: float64(1 + i%3)})
	}
	return c
}
