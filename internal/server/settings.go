package server

import (
	"fmt"
	"net"
	"os"
	"time"

	"jasminestep/internal/settings"
	"jasminestep/internal/shard"
	"jasminestep/internal/web"
	"jasminestep/pkg/operator"
)

// Settings are the settings of an entry. Times are in milliseconds.
type Settings struct {
	ID               string  `json:"id"`
	Zone             string  `json:"zone"`
	ClientAddr       string  `json:"caller"`
	ReadinessAddr    string  `json:"ready"`
	PeerAddr         string  `json:"peer"`
	MetricsAddr      string  `json:"admin"`
	Store            string  `json:"store"`
	Advice           string  `json:"advice"`
	Orders           string  `json:"orders"`
	Grace            int64   `json:"grace"`
	Lease            int64   `json:"lease"`
	BatchLease       int64   `json:"batch"`
	MaxLease         int64   `json:"most"`
	MaxEnds          int64   `json:"ends"`
	JobRetention     int64   `json:"keep"`
	Heartbeat        int64   `json:"beat"`
	ContactTime      int64   `json:"contact"`
	MaxDirectMinions int64   `json:"direct"`
	Memory           int64   `json:"memory"`
	Files            int64   `json:"files"`
	Cores            float64 `json:"cores"`
	Link             float64 `json:"link"`
	FirstStart       bool    `json:"first"`
	Level            string  `json:"level"`
	FailClosed       bool    `json:"closed"`
	RevokeTime       int64   `json:"revoke"`
	RateWindow       int64   `json:"window"`
	RunTimes         string  `json:"runtimes"`
}

func newSetting(name, unit, def, bounds, doc string) settings.Setting {
	return settings.Setting{Name: name, Unit: unit, Default: def, Bounds: bounds, Doc: doc}
}

// SettingsTable lists every setting.
var SettingsTable = []settings.Setting{
	newSetting("id", "name", "none", "not empty", "name of the VM"),
	newSetting("zone", "name", "none", "not empty", "availability zone of the VM"),
	newSetting("caller", "IP:port", "none", "an IP address", "listen address for client requests"),
	newSetting("ready", "IP:port", "none", "an IP address", "listen address for the load balancer's readiness checks"),
	newSetting("peer", "IP:port", "none", "an IP address", "listen address for calls from other entries"),
	newSetting("admin", "IP:port", "none", "an IP address", "listen address for metrics"),
	newSetting("store", "IP:port", "none", "an IP address", "address of the platform's store"),
	newSetting("advice", "IP:port", "empty", "an IP address or empty", "address of the placement service; empty if there is none"),
	newSetting("orders", "name", "call", "call", "how minions receive orders: by calls to them"),
	newSetting("cores", "cores", "1", "above 0", "CPU cores that the VM gives this process"),
	newSetting("link", "Mbit/s", "1000", "above 0", "bandwidth of the VM's link"),
	newSetting("first", "true, false", "false", "", "first start of the whole system: owners are chosen once all entries are known"),
	newSetting("grace", "ms", "6000", "1000 to 600000", "time for a planned stop before the process is killed"),
	newSetting("lease", "ms", "5000", "1000 to 9000", "duration of the lease of a run, counted from each renewal"),
	newSetting("batch", "ms", "as lease", "lease to 9000", "duration of the lease of a run, counted from each renewal, in a service without lasting tasks"),
	newSetting("most", "ms", "10000", "1000 to 600000", "maximum lease that minions grant; a longer lease is shortened to it"),
	newSetting("ends", "ends", "500", "1 to 100000", "ends of runs that minions list at a time; a list of so many may not be complete"),
	newSetting("keep", "ms", "150000", "1000 to 86400000", "retention time of the outcome of an ended job"),
	newSetting("beat", "ms", "1500", "10 to 60000", "interval at which minions write their rows"),
	newSetting("contact", "ms", "3000", "1000 to 60000", "time after which all that are connected know of a change; a minion's row is relied on for this and one beat"),
	newSetting("direct", "minions", "64", "1 to 100000", "maximum number of minions that an owner calls directly; with more, calls go through other entries"),
	newSetting("memory", "MB", "0", "0 to 1000000", "memory that the VM gives this process; an eighth holds at most what clients have sent and a third the jobs that have not ended, garbage is collected as often as needed to stay below 0.65 of what is left after 24 MB for the program, and one processor is used for each 16 MB at most; 0: unknown, 64 MB for clients"),
	newSetting("closed", "true, false", "false", "", "refuse requests that need a key while the configuration may be older than revoke; otherwise the entry goes on with the keys that it knows"),
	newSetting("revoke", "ms", "5000", "100 to 600000", "how old the configuration may be if closed is true"),
	newSetting("window", "ms", "5000", "100 to 600000", "time over which the rate of jobs of an account is measured"),
	newSetting("runtimes", "name", "learned", "learned or estimated", "run times that are expected: learned from runs that have ended, or as estimated by clients"),
	newSetting("files", "descriptors", "0", "0 to 10000000", "descriptors that the VM gives this process; clients get half of them as connections at most; 0: unknown, 2048 connections"),
	newSetting("level", "name", "info", "debug, info, warn or error", "minimum severity of log lines that are written"),
}

// Values of Settings.RunTimes.
const (
	learnedRunTimes   = "learned"
	estimatedRunTimes = "estimated"
)

// Load reads and validates a settings file. Unknown settings are ignored. The
// error for an invalid setting has the file, line and column.
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

// Check sets defaults and validates the settings. It returns the name of the
// first invalid setting and an error that describes the problem.
func (s *Settings) Check() (string, error) {
	s.setDefaults()
	if s.ID == "" {
		return settings.Invalid("id", "want the name of this VM")
	}
	if s.Zone == "" {
		return settings.Invalid("zone", "want the availability zone of this VM")
	}
	for _, a := range []struct{ name, addr string }{
		{"caller", s.ClientAddr}, {"ready", s.ReadinessAddr}, {"peer", s.PeerAddr}, {"admin", s.MetricsAddr}, {"store", s.Store}, {"advice", s.Advice},
	} {
		if a.name == "advice" && a.addr == "" {
			continue
		}
		host, port, err := net.SplitHostPort(a.addr)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			return settings.Invalid(a.name, "%q: want an IP address and a port, as in 10.0.0.1:7000", a.addr)
		}
	}
	for _, r := range []struct {
		name      string
		v, lo, hi int64
	}{
		{"grace", s.Grace, 1000, 600_000},
		{"lease", s.Lease, 1000, 9000},
		{"batch", s.BatchLease, s.Lease, 9000},
		{"most", s.MaxLease, 1000, 600_000},
		{"ends", s.MaxEnds, 1, 100_000},
		{"keep", s.JobRetention, 1000, 86_400_000},
		{"beat", s.Heartbeat, 10, 60_000},
		{"contact", s.ContactTime, 1000, 60_000},
		{"direct", s.MaxDirectMinions, 1, 100_000},
		{"memory", s.Memory, 0, 1_000_000},
		{"files", s.Files, 0, 10_000_000},
		{"revoke", s.RevokeTime, 100, 600_000},
		{"window", s.RateWindow, 100, 600_000},
	} {
		if r.v < r.lo || r.v > r.hi {
			return settings.Invalid(r.name, "%d: want %d to %d", r.v, r.lo, r.hi)
		}
	}
	if s.Orders != "call" {
		return settings.Invalid("orders", "%q: want call; minions that fetch their orders are not supported", s.Orders)
	}
	if s.RunTimes != learnedRunTimes && s.RunTimes != estimatedRunTimes {
		return settings.Invalid("runtimes", "%q: want learned or estimated", s.RunTimes)
	}
	switch s.Level {
	case "debug", "info", "warn", "error":
	default:
		return settings.Invalid("level", "%q: want debug, info, warn or error", s.Level)
	}
	return "", nil
}

func (s *Settings) setDefaults() {
	for _, f := range []struct {
		p   *int64
		def time.Duration
	}{{&s.Grace, 6 * time.Second}, {&s.Lease, 5 * time.Second}, {&s.MaxLease, 10 * time.Second}, {&s.JobRetention, 150 * time.Second}, {&s.Heartbeat, 1500 * time.Millisecond}, {&s.ContactTime, 3 * time.Second}, {&s.RevokeTime, 5 * time.Second}, {&s.RateWindow, 5 * time.Second}} {
		if *f.p == 0 {
			*f.p = f.def.Milliseconds()
		}
	}
	if s.BatchLease == 0 {
		s.BatchLease = s.Lease
	}
	if s.MaxEnds == 0 {
		s.MaxEnds = int64(shard.DefaultLimits.MaxEnds)
	}
	if s.MaxDirectMinions == 0 {
		s.MaxDirectMinions = 64
	}
	if s.Level == "" {
		s.Level = "info"
	}
	if s.RunTimes == "" {
		s.RunTimes = learnedRunTimes
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

// clientRequestTime is how long a client's request may take to arrive, several
// times what its deadline allows.
const clientRequestTime = 20 * time.Second

// clientLimits are the limits of the server for clients.
func (s *Settings) clientLimits() web.Limits {
	l := web.LimitsFor(s.Memory, s.Files)
	l.Request = clientRequestTime
	return l
}

// pollsInRevokeTime is how many requests for the configuration an entry that fails
// closed makes while it may rely on one answer: an answer is as old as its request,
// and the next one is awaited meanwhile.
const pollsInRevokeTime = 4

// configPoll is how long the store may hold back its answer to a request for changes
// of the configuration.
func (s *Settings) configPoll() time.Duration {
	if !s.FailClosed {
		return feedLongPoll
	}
	return min(feedLongPoll, time.Duration(s.RevokeTime)*time.Millisecond/pollsInRevokeTime)
}

// orderTime is how long before the end of its validity a minion's row is no
// longer relied on, so that an order arrives in time.
const orderTime = 500 * time.Millisecond

// maxRowAge is how old a minion's row may be when a start that relies on it is
// sent.
func (s *Settings) maxRowAge() time.Duration {
	return time.Duration(s.ContactTime+s.Heartbeat)*time.Millisecond - orderTime
}

// SameAddresses reports whether o has the same name and addresses.
func (s *Settings) SameAddresses(o *Settings) bool {
	return s.ID == o.ID && s.ClientAddr == o.ClientAddr && s.ReadinessAddr == o.ReadinessAddr && s.PeerAddr == o.PeerAddr && s.Store == o.Store && s.Advice == o.Advice
}

// maxUsefulLink is the bandwidth in Mbit/s beyond which an owner gains nothing.
const maxUsefulLink = 100

// Strength returns how suitable the VM is for an owner; higher is better.
func (s *Settings) Strength() float64 { return s.Cores * min(1, s.Link/maxUsefulLink) }
