// Package work defines the data types of the scheduler: queues, jobs, steps,
// tasks, minions and their reports. It makes no scheduling decisions.
package work

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Size is an amount of resources: the capacity of a minion or the request of a task.
type Size struct {
	CPU int64 `json:"c,omitempty"` // thousandths of a core
	Mem int64 `json:"m,omitempty"` // MB
	GPU int64 `json:"g,omitempty"` // devices
}

// Plus returns the sum of s and o.
func (s Size) Plus(o Size) Size { return Size{s.CPU + o.CPU, s.Mem + o.Mem, s.GPU + o.GPU} }

// Minus returns the difference of s and o.
func (s Size) Minus(o Size) Size { return Size{s.CPU - o.CPU, s.Mem - o.Mem, s.GPU - o.GPU} }

// AtMost returns the lesser of s and o in every resource.
func (s Size) AtMost(o Size) Size {
	return Size{min(s.CPU, o.CPU), min(s.Mem, o.Mem), min(s.GPU, o.GPU)}
}

// AtLeast returns the greater of s and o in every resource.
func (s Size) AtLeast(o Size) Size {
	return Size{max(s.CPU, o.CPU), max(s.Mem, o.Mem), max(s.GPU, o.GPU)}
}

// Times returns s multiplied by n.
func (s Size) Times(n int64) Size { return Size{s.CPU * n, s.Mem * n, s.GPU * n} }

// String returns the size as log lines show it.
func (s Size) String() string { return fmt.Sprintf("%dm/%dMB/%dGPU", s.CPU, s.Mem, s.GPU) }

// CanFit reports whether s is at least o in every resource.
func (s Size) CanFit(o Size) bool { return o.CPU <= s.CPU && o.Mem <= s.Mem && o.GPU <= s.GPU }

// Step is a group of identical tasks of a job.
type Step struct {
	Tasks       int           `json:"n"`
	Size        Size          `json:"s"`
	Estimate    time.Duration `json:"e,omitempty"` // run time of a task, as roughly estimated by the client
	After       []int         `json:"a,omitempty"` // indexes of the steps that must be completed first
	Checkpoints bool          `json:"k,omitempty"` // tasks save checkpoints
	Gang        bool          `json:"g,omitempty"` // tasks make progress only while all of them run
	OneRack     bool          `json:"r,omitempty"` // tasks run slower unless all of them share a rack
	Speculative bool          `json:"v,omitempty"` // copies of a task may run concurrently
	Lasting     bool          `json:"l,omitempty"` // tasks run until the job is cancelled
	Fill        bool          `json:"f,omitempty"` // CPU is not reserved; tasks use what others leave idle
	Label       string        `json:"b,omitempty"` // label that a minion must have
	Rack        string        `json:"d,omitempty"` // rack that holds the data; tasks run slower elsewhere
	PerMinion   int           `json:"p,omitempty"` // maximum number of tasks of the step on one minion; 0 means no limit
	Image       string        `json:"i,omitempty"`
	Target      time.Duration `json:"t,omitempty"` // upper bound on the response time of each task; 0 means none
	MayMiss     int           `json:"u,omitempty"` // maximum number of tasks of a Lasting step that the scheduler may interrupt at the same time
}

// Reserved returns the resources that one task of the step reserves on a minion.
func (s *Step) Reserved() Size {
	if s.Fill {
		return Size{Mem: s.Size.Mem, GPU: s.Size.GPU}
	}
	return s.Size
}

// Job is a job as submitted by a client. It does not change once accepted.
type Job struct {
	ID       string        `json:"id"`
	Queue    string        `json:"q"` // Queue.Key of the queue it was submitted to
	Service  string        `json:"sv"`
	Accepted int64         `json:"at"` // Unix milliseconds
	Spec     string        `json:"sp"`
	Steps    []Step        `json:"st"`
	First    int64         `json:"fi,omitempty"` // Unix milliseconds at which round 0 is due
	Every    time.Duration `json:"ev,omitempty"`
	Times    int           `json:"ti,omitempty"` // number of rounds; 0 means one, due immediately

	Attempts int           `json:"ma"` // number of failed runs of a task after which the job fails
	Priority int           `json:"pr,omitempty"`
	Slack    float64       `json:"sl,omitempty"` // the time objective is Slack times the critical path of the job, plus Target
	Target   time.Duration `json:"ta,omitempty"`
	Advice   *AdviceTiming `json:"ad,omitempty"` // nil if the queue has no placement service

	Account string `json:"ac,omitempty"` // name of the account it belongs to; empty for a job of a public queue, or without accounts
}

// Rounds returns how many times the steps run.
func (j *Job) Rounds() int { return max(1, j.Times) }

// Due returns when round k may start, in Unix milliseconds; 0 means immediately.
func (j *Job) Due(k int) int64 {
	if j.Times == 0 {
		return 0
	}
	return j.First + int64(k)*j.Every.Milliseconds()
}

// Objective returns the time from its submission, or from when a round is due,
// within which the job should end, by the client's estimates.
func (j *Job) Objective() time.Duration {
	chains := make([]time.Duration, len(j.Steps)) // longest chain of work up to the end of each step
	var longest time.Duration
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			chains[i] = max(chains[i], chains[a])
		}
		chains[i] += j.Steps[i].Estimate
		longest = max(longest, chains[i])
	}
	return time.Duration(j.Slack*float64(longest)) + j.Target
}

// AdviceTiming describes the response times of a queue's placement service.
type AdviceTiming struct {
	Decide time.Duration `json:"d"` // time per request
	Each   time.Duration `json:"e"` // additional time for each minion in its answer
	Valid  time.Duration `json:"v"` // validity of a ticket
}

// Queue is a route, identified by host and path prefix, to which clients submit jobs.
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
	Public   bool // its requests need no key, and its jobs belong to no account
}

// Key identifies the queue. Unlike Name, it stays the same when the route is renamed.
func (q *Queue) Key() string { return q.Host + q.Prefix }

// Service is a pool of minions.
type Service struct {
	Name            string
	RejectsOverload bool // its minions reject tasks that exceed their capacity
	Standby         bool // its machines are switched off
}

// Config is the active configuration.
type Config struct {
	Version  int64
	Queues   []Queue
	Services []Service
	MaxBody  int64     // bytes
	Accounts []Account // set by SetAccounts

	accountByName map[string]*Account
	accountByKey  map[string]*Account // nil without accounts
}

// FindQueue returns the queue of host with the longest prefix of path, or nil if
// there is none. A port in host is ignored.
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

// Incarnation identifies one start of a minion.
type Incarnation struct {
	ID   string
	Born int64 // start time in Unix milliseconds; an ID can be reused with a later one
}

// Minion is a minion's record in the store.
type Minion struct {
	Incarnation
	Service   string
	Address   string
	Zone      string
	Draining  bool
	Capacity  Size
	Labels    []string
	Remaining time.Duration // minimum time for which a draining minion remains
}

// Rack returns the minion's rack, which is the last of its labels.
func (m *Minion) Rack() string {
	if len(m.Labels) == 0 {
		return ""
	}
	return m.Labels[len(m.Labels)-1]
}

// TaskID identifies a task.
type TaskID struct {
	Job   string
	Round int
	Step  int
	Index int
}

// String returns the task's name as used on the wire.
func (t TaskID) String() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// StepID returns the name of the step that the task belongs to.
func (t TaskID) StepID() string {
	return t.Job + "." + strconv.Itoa(t.Round) + "." + strconv.Itoa(t.Step)
}

// ParseTask parses a task's name. ok is false if s is not one.
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

// Run is a running task as reported by a minion.
type Run struct {
	Task    TaskID
	Attempt int
	Saved   string // latest checkpoint
	Percent int    // of the work completed
	Figure  int64  // response time in ms if the task has a Target, else CPU usage in thousandths of a core
}

// Outcome is how a run ended.
type Outcome string

// Outcomes of a run.
const (
	Done           Outcome = "done"
	Failed         Outcome = "failed"
	Stopped        Outcome = "stopped"
	LeaseExpired   Outcome = "lapsed" // its lease expired
	GangBroken     Outcome = "broken" // another task of its gang ended
	GangIncomplete Outcome = "alone"  // the other tasks of its gang did not start
)

// End is an ended run as reported by a minion.
type End struct {
	N       int64 // sequence number within one incarnation of the minion
	Task    TaskID
	Attempt int
	How     Outcome
	Saved   string
}

// Report is a minion's list of its runs.
type Report struct {
	Born    int64
	Clock   int64 // current time of the minion's clock, ms
	Running []Run
	Ended   []End
}

// Start is an order to a minion to run a task.
type Start struct {
	Task    TaskID
	Attempt int
	Spec    string
	Until   int64 // end of the lease in ms, by the minion's clock
	Token   int64
	Saved   string
	Ticket  string
}

// ErrWrongMinion means that the address called now belongs to another minion;
// the intended one no longer exists.
var ErrWrongMinion = errors.New("another minion has this address")

// Refusal is the reason why a minion did not start a task.
type Refusal string

// Reasons for a refusal. For each but Accepted, the run has not begun and the
// order will never start it.
const (
	Accepted       Refusal = ""
	Fenced         Refusal = "fence"  // the minion has seen a higher fencing token
	StaleAttempt   Refusal = "old"    // this attempt or a later one has already ended on the minion
	DeadlinePassed Refusal = "late"   // the lease had expired when the order arrived
	NoCapacity     Refusal = "room"   // insufficient free capacity
	BadTicket      Refusal = "ticket" // missing or invalid ticket
	Unhealthy      Refusal = "unhealthy"
	Other          Refusal = "other"
)
