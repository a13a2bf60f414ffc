package server

import (
	"fmt"
	"net"
	"os"
	"time"

	"jasminestep/internal/settings"
	"jasminestep/pkg/operator"
)

// Settings of one entry on a platform. Times are in milliseconds.
type Settings struct {
	ID     string  `json:"id"`
	Zone   string  `json:"zone"`
	Caller string  `json:"caller"`
	Ready  string  `json:"ready"`
	Peer   string  `json:"peer"`
	Admin  string  `json:"admin"`
	Store  string  `json:"store"`
	Advice string  `json:"advice"`
	Orders string  `json:"orders"`
	Grace  int64   `json:"grace"`
	Lease  int64   `json:"lease"`
	Most   int64   `json:"most"`
	Keep   int64   `json:"keep"`
	Direct int64   `json:"direct"`
	Memory int64   `json:"memory"`
	Cores  float64 `json:"cores"`
	Link   float64 `json:"link"`
	First  bool    `json:"first"`
	Level  string  `json:"level"`
}

func setting(name, unit, usual, bounds, doc string) settings.Setting {
	return settings.Setting{Name: name, Unit: unit, Default: usual, Bounds: bounds, Doc: doc}
}

// Table lists every setting.
var SettingsTable = []settings.Setting{
	setting("id", "name", "none", "not empty", "name of the VM"),
	setting("zone", "name", "none", "not empty", "availability zone of the VM"),
	setting("caller", "IP:port", "none", "an IP number", "where clients' requests come in"),
	setting("ready", "IP:port", "none", "an IP number", "where the balancer asks whether to send clients here"),
	setting("peer", "IP:port", "none", "an IP number", "where other entries call"),
	setting("admin", "IP:port", "none", "an IP number", "where metrics are read"),
	setting("store", "IP:port", "none", "an IP number", "the platform's store"),
	setting("advice", "IP:port", "empty", "an IP number or empty", "the placement service; empty if there is none"),
	setting("orders", "name", "call", "call", "how minions take orders: by calls to them"),
	setting("cores", "cores", "1", "above 0", "processor that the VM gives this process"),
	setting("link", "Mbit/s", "1000", "above 0", "bandwidth of the VM's link"),
	setting("first", "true, false", "false", "", "the whole system starts for the first time: owners are chosen once all entries are known"),
	setting("grace", "ms", "6000", "1000 to 600000", "time for a planned stop before the process is killed"),
	setting("lease", "ms", "5000", "1000 to 9000", "lease of runs, from each renewal on"),
	setting("most", "ms", "10000", "1000 to 600000", "longest lease that minions grant; a longer lease is cut to it"),
	setting("keep", "ms", "150000", "1000 to 86400000", "how long the outcome of an ended job is told"),
	setting("direct", "minions", "64", "1 to 100000", "an owner calls up to so many minions itself; calls to more go through other entries"),
	setting("memory", "MB", "0", "0 to 1000000", "memory that the VM gives this process; an owner uses part of it to collect garbage less often; 0: unknown"),
	setting("level", "name", "info", "debug, info, warn or error", "least severe log lines that are written"),
}

// Load reads and checks a settings file. Unknown settings are ignored; the error
// of an impossible one names file and place.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{}
	if err = operator.ParseKnown(file, b, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if name, err := s.Check(); err != nil {
		line, col := operator.Locate(b, name)
		return nil, fmt.Errorf("settings: %s:%d:%d: %w", file, line, col, err)
	}
	return s, nil
}

// Check fills in defaults and returns the name of the first impossible setting
// and what is wrong with it.
func (s *Settings) Check() (string, error) {
	s.fill()
	if s.ID == "" {
		return settings.Invalid("id", "want the name of this VM")
	}
	if s.Zone == "" {
		return settings.Invalid("zone", "want the availability zone of this VM")
	}
	for _, a := range []struct{ name, addr string }{
		{"caller", s.Caller}, {"ready", s.Ready}, {"peer", s.Peer}, {"admin", s.Admin}, {"store", s.Store}, {"advice", s.Advice},
	} {
		if a.name == "advice" && a.addr == "" {
			continue
		}
		host, port, err := net.SplitHostPort(a.addr)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			return settings.Invalid(a.name, "%q: want an IP number and a port, as in 10.0.0.1:7000", a.addr)
		}
	}
	for _, r := range []struct {
		name      string
		v, lo, hi int64
	}{
		{"grace", s.Grace, 1000, 600_000},
		{"lease", s.Lease, 1000, 9000},
		{"most", s.Most, 1000, 600_000},
		{"keep", s.Keep, 1000, 86_400_000},
		{"direct", s.Direct, 1, 100_000},
		{"memory", s.Memory, 0, 1_000_000},
	} {
		if r.v < r.lo || r.v > r.hi {
			return settings.Invalid(r.name, "%d: want %d to %d", r.v, r.lo, r.hi)
		}
	}
	if s.Orders != "call" {
		return settings.Invalid("orders", "%q: want call; minions that fetch their orders are not supported", s.Orders)
	}
	switch s.Level {
	case "debug", "info", "warn", "error":
	default:
		return settings.Invalid("level", "%q: want debug, info, warn or error", s.Level)
	}
	return "", nil
}

func (s *Settings) fill() {
	for _, f := range []struct {
		p     *int64
		usual time.Duration
	}{{&s.Grace, 6 * time.Second}, {&s.Lease, 5 * time.Second}, {&s.Most, 10 * time.Second}, {&s.Keep, 150 * time.Second}} {
		if *f.p == 0 {
			*f.p = f.usual.Milliseconds()
		}
	}
	if s.Direct == 0 {
		s.Direct = 64
	}
	if s.Level == "" {
		s.Level = "info"
	}
	if s.Cores <= 0 {
		s.Cores = 1
	}
	if s.Link <= 0 {
		s.Link = 1000
	}
	if s.Orders == "" {
		s.Orders = "call"
	}
}

// SameAddresses says whether o has the same name and addresses.
func (s *Settings) SameAddresses(o *Settings) bool {
	return s.ID == o.ID && s.Caller == o.Caller && s.Ready == o.Ready && s.Peer == o.Peer && s.Store == o.Store && s.Advice == o.Advice
}

// enoughLink is the bandwidth, in Mbit/s, beyond which more does not help an owner.
const enoughLink = 100

// Strength tells how well the VM suits an owner; more is better.
func (s *Settings) Strength() float64 { return s.Cores * min(1, s.Link/enoughLink) }
