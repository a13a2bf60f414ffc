// Package work has the nouns of the scheduler: queues, jobs, steps, tasks,
// minions and what minions report. It is plain data without decisions.
package work

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Size is room on a minion, or what a task asks of it.
type Size struct {
	CPU int64 `json:"c,omitempty"` // thousandths of a core
	Mem int64 `json:"m,omitempty"` // MB
	GPU int64 `json:"g,omitempty"` // devices
}

// Plus returns s and o together.
func (s Size) Plus(o Size) Size { return Size{s.CPU + o.CPU, s.Mem + o.Mem, s.GPU + o.GPU} }

// Minus returns s without o.
func (s Size) Minus(o Size) Size { return Size{s.CPU - o.CPU, s.Mem - o.Mem, s.GPU - o.GPU} }

// Times returns n of s.
func (s Size) Times(n int64) Size { return Size{s.CPU * n, s.Mem * n, s.GPU * n} }

// Fits says whether s has room for o.
func (s Size) CanFit(o Size) bool { return o.CPU <= s.CPU && o.Mem <= s.Mem && o.GPU <= s.GPU }

// Step is one group of like tasks of a job.
type Step struct {
	Tasks       int           `json:"n"`
	Size        Size          `json:"s"`
	Estimate    time.Duration `json:"e,omitempty"` // the client's rough guess of a task's run time
	After       []int         `json:"a,omitempty"` // steps, by index, that must be done before
	Checkpoints bool          `json:"k,omitempty"` // tasks save their progress
	Gang        bool          `json:"g,omitempty"` // tasks only work all together
	OneRack     bool          `json:"r,omitempty"` // slower unless all tasks share a rack
	Speculative bool          `json:"v,omitempty"` // copies of a task may run side by side
	Lasting     bool          `json:"l,omitempty"` // tasks run until the job is cancelled
	Fill        bool          `json:"f,omitempty"` // processors are not reserved; uses what others leave
	Label       string        `json:"b,omitempty"` // that a minion must have
	Rack        string        `json:"d,omitempty"` // where the data is; slower elsewhere
	PerMinion   int           `json:"p,omitempty"` // most tasks of the step on one minion; 0 is no limit
	Image       string        `json:"i,omitempty"`
	Target      time.Duration `json:"t,omitempty"` // bound of the tasks' own response times; 0 is none
	MayMiss     int           `json:"u,omitempty"` // tasks of a lasting step that may be away at once by our doing
}

// Reserved is what one task of the step takes of a minion's room.
func (s *Step) Reserved() Size {
	if s.Fill {
		return Size{Mem: s.Size.Mem, GPU: s.Size.GPU}
	}
	return s.Size
}

// Job is what a client submitted; it does not change after it was accepted.
type Job struct {
	ID       string        `json:"id"`
	Queue    string        `json:"q"` // Queue.Key of the queue it was submitted to
	Service  string        `json:"sv"`
	Accepted int64         `json:"at"` // Unix milliseconds
	Spec     string        `json:"sp"`
	Steps    []Step        `json:"st"`
	First    int64         `json:"fi,omitempty"` // Unix milliseconds at which occurrence 0 is due
	Every    time.Duration `json:"ev,omitempty"`
	Times    int           `json:"ti,omitempty"` // occurrences; 0 means one, due at once

	Attempts int           `json:"ma"` // failed runs of a task after which the job has failed
	Priority int           `json:"pr,omitempty"`
	Slack    float64       `json:"sl,omitempty"` // objective is Slack times the longest chain of work, plus Target
	Target   time.Duration `json:"ta,omitempty"`
	Advice   *AdviceTiming `json:"ad,omitempty"` // nil if the queue asks for none
}

// Rounds is how often the steps run.
func (j *Job) Rounds() int { return max(1, j.Times) }

// Due is when occurrence k may start, in Unix milliseconds; 0 means at once.
func (j *Job) Due(k int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.First + int64(k)*j.Every.Milliseconds()
}

// Advice is how a queue's placement service answers.
type AdviceTiming struct {
	Decide time.Duration `json:"d"` // time for a question
	Each   time.Duration `json:"e"` // time for each minion that it names
	Valid  time.Duration `json:"v"` // life of a ticket
}

// Queue is where clients submit jobs.
type Queue struct {
	Name     string
	Host     string
	Prefix   string
	Service  string
	Attempts int
	Priority int
	Slack    float64
	Target   time.Duration
	Advice   *AdviceTiming
}

// Key names the queue for good, whatever its route is called.
func (q *Queue) Key() string { return q.Host + q.Prefix }

// Service is a pool of minions.
type Service struct {
	Name    string
	Guards  bool // its minions refuse what does not fit
	Standby bool // its machines are off
}

// Config is the configuration in force.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	MaxBody  int64 // bytes
}

// Find returns the queue of a request: the one with the longest prefix of path.
func (c *Config) FindQueue(host, path string) *Queue {
	if h, _, ok := strings.Cut(host, ":"); ok {
		host = h
	}
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	return best
}

// Life names one incarnation of a minion.
type Incarnation struct {
	ID   string
	Born int64 // Unix milliseconds of its start; an id can come back with a later one
}

// Minion is what a minion's entry in the store says.
type Minion struct {
	Incarnation
	Service   string
	Address   string
	Zone      string
	Draining  bool
	Capacity  Size
	Labels    []string
	Remaining time.Duration // least time that a draining minion stays
}

// Rack is the minion's rack: the last of its labels.
func (m *Minion) Rack() string {
	if len(m.Labels) == 0 {
		return ""
	}
	return m.Labels[len(m.Labels)-1]
}

// TaskID names a task.
type TaskID struct {
	Job   string
	Round int
	Step  int
	Index int
}

// String is the task's name on the wire.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepID names the step that the task belongs to.
func (t TaskID) StepID() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step)
}

// ParseTask reads a task's name; ok is false for any other text.
func ParseTask(s string) (t TaskID, ok bool) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return t, false
	}
	t.Job = p[0]
	for i, v := range []*int{&t.Round, &t.Step, &t.Index} {
		n, err := strconv.Atoi(p[i+1])
		if err != nil {
			return t, false
		}
		*v = n
	}
	return t, true
}

// Run is one run in a minion's list.
type Run struct {
	Task    TaskID
	Attempt int
	Saved   string // newest checkpoint
	Percent int    // of the work
	Figure  int64  // response time in ms of a task with a Target, else thousandths of a core in use
}

// How is the way a run ended.
type Outcome string

// The ways.
const (
	Done           Outcome = "done"
	Failed         Outcome = "failed"
	Stopped        Outcome = "stopped"
	LeaseExpired   Outcome = "lapsed" // its lease ran out
	GangBroken     Outcome = "broken" // another task of its gang ended
	GangIncomplete Outcome = "alone"  // the rest of its gang did not come
)

// End is one ended run in a minion's list.
type End struct {
	N       int64 // numbers the ends of one life of the minion
	Task    TaskID
	Attempt int
	How     Outcome
	Saved   string
}

// Report is a minion's answer about its runs.
type Report struct {
	Born    int64
	Clock   int64 // the minion's own clock, ms
	Running []Run
	Ended   []End
}

// Start asks a minion to run a task.
type Start struct {
	Task    TaskID
	Attempt int
	Spec    string
	Until   int64 // lease, on the minion's clock in ms
	Token   int64
	Saved   string
	Ticket  string
}

// ErrElsewhere means that another minion has the address of the one that was
// called: that one has ended.
var ErrWrongMinion = errors.New("another minion has this address")

// Refusal is why a minion did not start a task.
type Refusal string

// The refusals. In each case the run has not begun and this order never starts it.
const (
	Accepted       Refusal = ""
	Fenced         Refusal = "fence"  // a higher token was seen
	StaleAttempt   Refusal = "old"    // this attempt, or a later one, has ended there
	DeadlinePassed Refusal = "late"   // the lease is over already
	NoCapacity     Refusal = "room"   // no room
	BadTicket      Refusal = "ticket" // no valid ticket
	Unhealthy      Refusal = "unhealthy"
	Other          Refusal = "other"
)
