// Package settings reads what one entry process is told at its start.
package settings

import (
	"fmt"
	"net"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/control"
	"jasminestep/pkg/operator"
)

// Settings of one entry process. Times are in milliseconds.
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
	Level    string   `json:"level"`
}

// Setting documents one setting.
type Setting struct {
	Name    string
	Unit    string
	Default string
	Bounds  string
	Doc     string
}

// Table lists every setting.
var Table = []Setting{
	{"id", "name", "none", "not empty", "name of the VM, as the platform's VM list has it"},
	{"zone", "name", "none", "not empty", "availability zone of the VM"},
	{"caller", "IP:port", "none", "an IP number", "where callers' requests come in"},
	{"operator", "IP:port", "none", "an IP number", "where operators' commands come in"},
	{"peer", "IP:port", "none", "an IP number", "where other entries call"},
	{"admin", "IP:port", "none", "an IP number", "where metrics and health are read"},
	{"seeds", "IP:port list", "empty", "IP numbers", "peer addresses of some other entries"},
	{"platform", "IP:port", "none", "an IP number", "the platform's table, objects and VM list"},
	{"lease", "ms", "2000", "500 to 60000", "how long an owner owns after its last durable write began"},
	{"margin", "ms", "250", "10 to lease/2", "greatest difference between two VMs' clocks"},
	{"gap", "ms", "30", "5 to lease/4", "shortest time between two writes of a zone's journal"},
	{"task", "ms", "10000", "2*lease to 600000", "lease of tasks on workers"},
	{"lag", "ms", "5000", "0 to 600000", "how late the VM list may be"},
	{"request", "ms", "30000", "100 to 600000", "longest time a request may run on a minion"},
	{"adopt", "ms", "60000", "5*lease to 3600000", "how long nothing is seen of another zone before its journal is taken over"},
	{"snapshot", "rows", "2000", "100 to 1000000", "journal rows between two snapshots"},
	{"level", "name", "info", "debug, info, warn or error", "least severe log lines that are written"},
}

// Load reads and checks a settings file. The error names file and place.
func Load(file string) (*Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s := &Settings{}
	if err = operator.Parse(file, b, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s.fill()
	if name, err := s.check(); err != nil {
		line, col := operator.Locate(b, name)
		return nil, fmt.Errorf("settings: %s:%d:%d: %w", file, line, col, err)
	}
	return s, nil
}

// Check fills in defaults and reports the first impossible setting.
func (s *Settings) Check() error {
	s.fill()
	_, err := s.check()
	return err
}

// usualAdopt is the default of adopt.
const usualAdopt = time.Minute

func (s *Settings) fill() {
	fill := func(p *int64, usual time.Duration) {
		if *p == 0 {
			*p = usual.Milliseconds()
		}
	}
	d := control.DefaultTiming
	fill(&s.Lease, d.OwnerLease)
	fill(&s.Margin, d.ClockSkew)
	fill(&s.Gap, d.MinWriteInterval)
	fill(&s.Task, d.TaskLease)
	fill(&s.Lag, d.VMListLag)
	fill(&s.Request, d.RequestTimeout)
	fill(&s.Adopt, usualAdopt)
	if s.Snapshot == 0 {
		s.Snapshot = 2000
	}
	if s.Level == "" {
		s.Level = "info"
	}
}

// ErrImpossible marks a setting that is well-formed but cannot work.
var ErrImpossible = errors.New("impossible setting")

// Impossible returns a setting's name, and the error that tells what it should be.
func Invalid(name, format string, args ...any) (string, error) {
	return name, fmt.Errorf("%s: %s: %w", name, fmt.Sprintf(format, args...), ErrImpossible)
}

// check returns the name of the first impossible setting and what is wrong with it.
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
			return Invalid(a.name, "%q: want an IP number and a port, as in 10.0.0.1:7000", a.addr)
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

// Limits returns the times that control works with.
func (s *Settings) Timing() control.Timing {
	ms := func(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
	return control.Timing{
		OwnerLease: ms(s.Lease), ClockSkew: ms(s.Margin), MaxWriteInterval: ms(s.Lease) * 3 / 10, MinWriteInterval: ms(s.Gap),
		TaskLease: ms(s.Task), VMListLag: ms(s.Lag), RequestTimeout: ms(s.Request),
	}
}

// IP is the IP number from which the entry calls out.
func (s *Settings) IP() string {
	host, _, _ := net.SplitHostPort(s.Peer)
	return host
}
