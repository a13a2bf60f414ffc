package operator

import (
	"fmt"
	"regexp"
	"slices"

	"github.com/cockroachdb/errors"
)

// ErrInvalid marks every validation and parse error of this package.
var ErrInvalid = errors.New("invalid")

// Limits on the fields of a job.
const (
	MaxTasks   = 5000
	MaxName    = 80            // bytes
	MaxRuntime = 30 * 86400000 // milliseconds
)

var nameRE = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]*$`)

func invalid(format string, args ...any) error {
	return fmt.Errorf("%s: %w", fmt.Sprintf(format, args...), ErrInvalid)
}

func checkName(what, s string) error {
	if len(s) > MaxName || !nameRE.MatchString(s) {
		return invalid("%s %q: want 1 to %d of a-z, 0-9, dash and underscore, beginning with a letter or digit", what, s, MaxName)
	}
	return nil
}

func checkSize(what string, s Size) error {
	if s.CPU < 0 || s.Memory < 0 || s.Accel < 0 {
		return invalid("%s: no resource may be negative", what)
	}
	return nil
}

// Check returns the first validation error in j, marked ErrInvalid, or nil.
func (j *Job) Check() error {
	if err := checkName("name", j.Name); err != nil {
		return err
	}
	if err := checkName("member", j.Member); err != nil {
		return err
	}
	if err := checkSize("size", j.Size); err != nil {
		return err
	}
	switch j.Kind {
	case "", Batch, Gang, Service:
	default:
		return invalid("kind %q: want batch, gang or service", j.Kind)
	}
	switch j.Cut {
	case "", Stay, Move:
	default:
		return invalid("cut %q: want stay or move", j.Cut)
	}
	return j.checkBounds()
}

func (j *Job) checkBounds() error {
	switch {
	case j.Size == (Size{}):
		return invalid("size: a task takes some of at least one resource")
	case j.Tasks < 0 || j.Tasks > MaxTasks:
		return invalid("tasks %d: want 1 to %d", j.Tasks, MaxTasks)
	case j.Runtime < 0 || j.Runtime > MaxRuntime:
		return invalid("runtime %d: want 0 to %d milliseconds", j.Runtime, MaxRuntime)
	case j.Worth < 0:
		return invalid("worth %v: want 0 or more", j.Worth)
	case j.Urgency < Normal || j.Urgency > Urgent:
		return invalid("urgency %d: want 0 (normal) or 1 (urgent)", j.Urgency)
	case j.Pool != "" && j.Kind != Service:
		return invalid("pool %q: only a service serves requests", j.Pool)
	case j.Slots < 0:
		return invalid("slots %d: want 0 or more", j.Slots)
	case len(j.Command) == 0:
		return invalid("command: want at least one word")
	}
	return nil
}

// Check returns the first validation error in c, marked ErrInvalid, or nil.
func (c *Cell) Check() error {
	if c.Author == "" {
		return invalid("author: say who wrote this configuration")
	}
	if c.Version < 0 {
		return invalid("version %d: want 0 or more", c.Version)
	}
	switch c.Policy {
	case "", "pack", "wait", "first", "short":
	default:
		return invalid("policy %q: want pack or wait (or the baselines first and short)", c.Policy)
	}
	if len(c.Zones) == 0 {
		return invalid("zones: want at least one")
	}
	for i, z := range c.Zones {
		if err := checkName("zone", z); err != nil {
			return err
		}
		if slices.Contains(c.Zones[:i], z) {
			return invalid("zone %q: named twice", z)
		}
	}
	if len(c.Members) == 0 {
		return invalid("members: want at least one")
	}
	seen := map[string]bool{}
	for _, m := range c.Members {
		if err := checkName("member", m.Name); err != nil {
			return err
		}
		if seen[m.Name] {
			return invalid("member %q: named twice", m.Name)
		}
		seen[m.Name] = true
		if m.Weight < 0 || m.Worth < 0 {
			return invalid("member %q: weight and worth are 0 or more", m.Name)
		}
		if err := checkSize("member "+m.Name+" quota", m.Quota); err != nil {
			return err
		}
	}
	if c.Limits.Body < 0 || c.Limits.Queue < 0 || c.Limits.Retry < 0 || c.Limits.Retry > 100 {
		return invalid("limits: body and queue are 0 or more, retry is 0 to 100 percent")
	}
	return nil
}
