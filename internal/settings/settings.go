// Package settings reads and validates the settings file of an entry process.
package settings

import (
	"cmp"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/control"
	"jasminestep/pkg/operator"
)

// Settings are the settings of one entry process. Durations are in milliseconds.
type Settings struct {
	ID       string   `json:"id"`
	Zone     string   `json:"zone"`
	Caller   string   `json:"caller"`
	Operator string   `json:"operator"`
	Peer     string   `json:"peer"`
	Admin    string   `json:"admin"`
	Seeds    []string `json:"seeds"`
	Platform string   `json:"platform"`
	Lease    int64    `json:"lease"`
	Margin   int64    `json:"margin"`
	Gap      int64    `json:"gap"`
	Task     int64    `json:"task"`
	Lag      int64    `json:"lag"`
	Request  int64    `json:"request"`
	Adopt    int64    `json:"adopt"`
	Snapshot int64    `json:"snapshot"`
	Memory   int64    `json:"memory"`
	Files    int64    `json:"files"`
	Level    string   `json:"level"`
}

// Setting describes one setting for the operator documentation.
type Setting struct {
	Name    string
	Unit    string
	Default string
	Bounds  string
	Doc     string
}

// Table lists every setting, in the order of the fields of Settings.
var Table = []Setting{
	{"id", "name", "none", "not empty", "name of the VM, as in the platform's VM list"},
	{"zone", "name", "none", "not empty", "availability zone of the VM"},
	{"caller", "IP:port", "none", "an IP address", "listen address for client requests"},
	{"operator", "IP:port", "none", "an IP address", "listen address for operator commands"},
	{"peer", "IP:port", "none", "an IP address", "listen address for calls from other entries"},
	{"admin", "IP:port", "none", "an IP address", "listen address for metrics and health checks"},
	{"seeds", "IP:port list", "empty", "IP addresses", "peer addresses of some other entries"},
	{"platform", "IP:port", "none", "an IP address", "address of the platform's table, object store and VM list"},
	{"lease", "ms", "2000", "500 to 60000", "duration of an owner's lease, counted from the start of its last durable write"},
	{"margin", "ms", "250", "10 to lease/2", "maximum clock skew between two VMs"},
	{"gap", "ms", "30", "5 to lease/4", "minimum interval between two writes to a zone's journal"},
	{"task", "ms", "10000", "2*lease to 600000", "duration of the lease of a task on a worker"},
	{"lag", "ms", "5000", "0 to 600000", "maximum delay of the VM list"},
	{"request", "ms", "30000", "100 to 600000", "maximum run time of a request on a minion"},
	{"adopt", "ms", "60000", "5*lease to 3600000", "time without any sign of another zone, neither heartbeats nor journal rows, before its journal is taken over"},
	{"snapshot", "rows", "2000", "100 to 1000000", "number of journal rows between two snapshots"},
	{"memory", "MB", "0", "0 to 1000000", "memory that the VM gives this process; an eighth holds at most what clients have sent; 0: unknown, 64 MB for clients"},
	{"files", "descriptors", "0", "0 to 10000000", "descriptors that the VM gives this process; clients get half of them as connections at most; 0: unknown, 2048 connections"},
	{"level", "name", "info", "debug, info, warn or error", "minimum severity of log lines that are written"},
}

// Load reads and validates a settings file. Its errors name the file and, for
// invalid content, the line and column.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{}
	if err = operator.Parse(file, b, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.setDefaults()
	if name, err := s.check(); err != nil {
		line, col := operator.Locate(b, name)
		return nil, fmt.Errorf("settings: %s:%d:%d: %w", file, line, col, err)
	}
	return s, nil
}

// Check fills in defaults and returns an error for the first invalid setting.
func (s *Settings) Check() error {
	s.setDefaults()
	_, err := s.check()
	return err
}

// defaultAdopt is the default of the adopt setting.
const defaultAdopt = time.Minute

func (s *Settings) setDefaults() {
	d := control.DefaultTiming
	s.Lease = cmp.Or(s.Lease, d.OwnerLease.Milliseconds())
	s.Margin = cmp.Or(s.Margin, d.ClockSkew.Milliseconds())
	s.Gap = cmp.Or(s.Gap, d.MinWriteInterval.Milliseconds())
	s.Task = cmp.Or(s.Task, d.TaskLease.Milliseconds())
	s.Lag = cmp.Or(s.Lag, d.VMListLag.Milliseconds())
	s.Request = cmp.Or(s.Request, d.RequestTimeout.Milliseconds())
	s.Adopt = cmp.Or(s.Adopt, defaultAdopt.Milliseconds())
	s.Snapshot = cmp.Or(s.Snapshot, 2000)
	s.Level = cmp.Or(s.Level, "info")
}

// ErrInvalid is wrapped by errors about settings that parse but whose value is
// not allowed.
var ErrInvalid = errors.New("invalid setting")

// Invalid returns the name of a setting and an error that says which values it
// accepts.
func Invalid(name, format string, args ...any) (string, error) {
	return name, fmt.Errorf("%s: %s: %w", name, fmt.Sprintf(format, args...), ErrInvalid)
}

// check returns the name of the first invalid setting and an error describing it.
func (s *Settings) check() (string, error) {
	if s.ID == "" {
		return Invalid("id", "want the name of this VM")
	}
	if s.Zone == "" {
		return Invalid("zone", "want the availability zone of this VM")
	}
	addrs := []struct{ name, addr string }{
		{"caller", s.Caller}, {"operator", s.Operator}, {"peer", s.Peer}, {"admin", s.Admin}, {"platform", s.Platform},
	}
	for _, seed := range s.Seeds {
		addrs = append(addrs, struct{ name, addr string }{"seeds", seed})
	}
	for _, a := range addrs {
		host, port, err := net.SplitHostPort(a.addr)
		if err != nil || net.ParseIP(host) == nil || port == "" {
			return Invalid(a.name, "%q: want an IP address and a port, as in 10.0.0.1:7000", a.addr)
		}
	}
	ranges := []struct {
		name      string
		v, lo, hi int64
	}{
		{"lease", s.Lease, 500, 60_000},
		{"margin", s.Margin, 10, s.Lease / 2},
		{"gap", s.Gap, 5, s.Lease / 4},
		{"task", s.Task, 2 * s.Lease, 600_000},
		{"lag", s.Lag, 0, 600_000},
		{"request", s.Request, 100, 600_000},
		{"adopt", s.Adopt, 5 * s.Lease, 3_600_000},
		{"snapshot", s.Snapshot, 100, 1_000_000},
		{"memory", s.Memory, 0, 1_000_000},
		{"files", s.Files, 0, 10_000_000},
	}
	for _, r := range ranges {
		if r.v < r.lo || r.v > r.hi {
			return Invalid(r.name, "%d: want %d to %d", r.v, r.lo, r.hi)
		}
	}
	switch s.Level {
	case "debug", "info", "warn", "error":
	default:
		return Invalid("level", "%q: want debug, info, warn or error", s.Level)
	}
	return "", nil
}

// Timing returns the durations that the control package works with.
func (s *Settings) Timing() control.Timing {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return control.Timing{
		OwnerLease: ms(s.Lease), ClockSkew: ms(s.Margin), MaxWriteInterval: ms(s.Lease) * 3 / 10, MinWriteInterval: ms(s.Gap),
		TaskLease: ms(s.Task), VMListLag: ms(s.Lag), RequestTimeout: ms(s.Request),
	}
}

// IP returns the source address of the entry's outgoing connections, which is
// the host of its peer address.
func (s *Settings) IP() string {
	host, _, _ := net.SplitHostPort(s.Peer)
	return host
}
