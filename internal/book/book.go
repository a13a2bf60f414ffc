package book

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"jasminestep/pkg/operator"
)

// State is where a task or a job is in its life.
type State string

// The states of a task. A job is queued until a task starts, running until the
// last one ends, and then has the state of its worst task.
const (
	Queued   State = "queued"
	Starting State = "starting" // journalled and sent, not yet confirmed
	Running  State = "running"
	Stopping State = "stopping" // being stopped; its end is not yet confirmed
	Ended    State = "ended"
)

// Task is one task of a job.
type Task struct {
	ID       string   `json:"id"` // job id, '#', index
	State    State    `json:"state"`
	Cause    Cause    `json:"cause,omitempty"` // why it ended or is being stopped
	Attempt  int      `json:"attempt,omitempty"`
	Failures int      `json:"fail,omitempty"`
	Worker   string   `json:"worker,omitempty"` // set while starting, running or stopping
	Epoch    int64    `json:"epoch,omitempty"`  // owner epoch that started this attempt
	Since    int64    `json:"since"`            // of State, Unix milliseconds
	After    int64    `json:"after,omitempty"`  // not to start before, Unix milliseconds
	Addr     string   `json:"addr,omitempty"`
	Why      string   `json:"why,omitempty"`
	Avoid    []string `json:"avoid,omitempty"` // workers on which it failed, latest last
}

// Live reports whether the task holds a worker's resources.
func (t *Task) Live() bool {
	return t.State == Starting || t.State == Running || t.State == Stopping
}

// Job is an accepted job. Its tasks are in index order.
type Job struct {
	ID        string       `json:"id"`
	Spec      operator.Job `json:"spec"`
	Accepted  int64        `json:"accepted"` // Unix milliseconds
	Ended     int64        `json:"ended,omitempty"`
	Cancelled bool         `json:"cancelled,omitempty"`
	Moved     string       `json:"moved,omitempty"` // zone whose journal has it now; nothing of it runs here
	Sent      bool         `json:"sent,omitempty"`  // that journal is known to have it
	Tasks     []*Task      `json:"tasks"`
	left      int          // tasks not ended
}

// Grant says who spends a minion's slots or homes a share of the keys.
type Grant struct {
	Entry string `json:"entry"`
	Boot  int64  `json:"boot"`
	Since int64  `json:"since"` // Unix milliseconds
	Clean bool   `json:"clean,omitempty"`
	Drain bool   `json:"drain,omitempty"` // the holder is to give it up
	Pool  string `json:"pool,omitempty"`
	Addr  string `json:"addr,omitempty"`
	Slots int    `json:"slots,omitempty"`
	// Floor is, for a share of the keys, the time before which an absent key
	// proves nothing, Unix milliseconds.
	KeysCompleteSince int64 `json:"floor,omitempty"`
}

// Book is the state of one zone after all events up to and including Seq.
// The zero value is the state before any event.
type ZoneState struct {
	Seq         int64                 `json:"seq"`
	At          int64                 `json:"at"` // of the last event, Unix milliseconds
	Epoch       int64                 `json:"epoch"`
	Owner       string                `json:"owner"` // empty after a handover
	Boot        int64                 `json:"boot"`
	Jobs        map[string]*Job       `json:"jobs"`
	Grants      map[string]Grant      `json:"grants"`
	Keys        map[string]KeyOutcome `json:"keys"`
	Quarantined map[string]string     `json:"holds"`
	// Gone lists ended jobs in order of their end, and Old keys in order of
	// their recording, so that both can be forgotten in order.
	Gone []string `json:"gone"`
	Old  []string `json:"old"`
	// Lost is the latest time in a key that was forgotten: that an earlier key
	// is absent proves nothing. Unix milliseconds.
	LastEvictedKeyMS int64 `json:"lost,omitempty"`
}

// What a book keeps of the past.
const (
	keepJobs       = 20000   // ended jobs
	keepKeys       = 100000  // keys with their outcomes
	KeyRetentionMS = 600_000 // age beyond which an absent key proves nothing, milliseconds
)

// Shares is the number of shares into which a zone's keys are divided.
const KeyShares = 16

// ShareName is the name under which a share of the keys is granted.
func KeyShareName(n int) string { return "key/" + strconv.Itoa(n) }

// IsShare reports whether a granted name is a share of the keys.
func IsKeyShare(name string) bool { return strings.HasPrefix(name, "key/") }

// TaskID names the task with that index of a job.
func TaskID(job string, index int) string { return job + "#" + strconv.Itoa(index) }

// Split returns the job and index that a task id names.
func Split(task string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(task, '#')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(task[i+1:])
	return task[:i], n, err == nil
}

// Task finds a task by id; nil if there is none.
func (b *ZoneState) Task(id string) (*Job, *Task) {
	job, i, ok := Split(id)
	j := b.Jobs[job]
	if !ok || j == nil || i < 0 || i >= len(j.Tasks) {
		return nil, nil
	}
	return j, j.Tasks[i]
}

// State of the job as a whole, with the cause if it has ended.
func (j *Job) State() (State, Cause) {
	live, cause := false, Done
	for _, t := range j.Tasks {
		live = live || t.Live()
		if t.State == Ended && rank(t.Cause) > rank(cause) {
			cause = t.Cause
		}
	}
	switch {
	case j.Ended != 0:
		return Ended, cause
	case live:
		return Running, ""
	}
	return Queued, ""
}

// rank orders causes from the best to the one that speaks for the whole job.
func rank(c Cause) int {
	return slices.Index([]Cause{Done, Cancelled, Lost, Failed, Impossible}, c)
}

// Apply changes b by e. Events that make no sense in the present state, such
// as the end of an attempt that was superseded, change nothing: the journal
// may hold what a deposed owner's last batch decided.
func (b *ZoneState) Apply(e *Event) {
	b.init()
	b.At = max(b.At, e.At)
	switch {
	case e.Own != nil:
		b.Epoch, b.Owner, b.Boot = e.Own.Epoch, e.Own.Entry, e.Own.Boot
	case e.Hand != nil:
		b.Owner, b.Boot = "", 0
	case e.Job != nil:
		b.accept(e)
	case e.Cancel != nil:
		b.cancel(e)
	case e.Start != nil:
		b.start(e)
	case e.Run != nil:
		b.run(e)
	case e.Stop != nil:
		b.stop(e)
	case e.End != nil:
		b.end(e)
	case e.Give != nil:
		b.give(e)
	case e.Drain != nil:
		if g, ok := b.Grants[e.Drain.Minion]; ok {
			g.Drain = true
			b.Grants[e.Drain.Minion] = g
		}
	case e.Key != nil:
		b.keys(e.Key)
	case e.Hold != nil:
		b.hold(e.Hold)
	case e.Move != nil:
		b.move(e)
	}
}

func (b *ZoneState) init() {
	if b.Jobs == nil {
		b.Jobs = map[string]*Job{}
		b.Grants = map[string]Grant{}
		b.Keys = map[string]KeyOutcome{}
		b.Quarantined = map[string]string{}
	}
}

func (b *ZoneState) accept(e *Event) {
	id := e.Job.ID
	if b.Jobs[id] != nil {
		return
	}
	j := &Job{ID: id, Spec: e.Job.Spec, Accepted: e.At}
	for i := range e.Job.Spec.Count() {
		j.Tasks = append(j.Tasks, &Task{ID: TaskID(id, i), State: Queued, Since: e.At})
	}
	if len(e.Job.Tasks) == len(j.Tasks) {
		j.Accepted = e.Job.At
		for i, t := range e.Job.Tasks {
			j.Tasks[i] = &t
		}
	}
	j.count()
	b.Jobs[id] = j
}

// count brings the number of tasks that have not ended up to date.
func (j *Job) count() {
	j.left = 0
	for _, t := range j.Tasks {
		if t.State != Ended {
			j.left++
		}
	}
}

// move marks a job as given to another zone. Its tasks stay as they were, for
// whoever repeats the handing over; nothing starts them here any more.
func (b *ZoneState) move(e *Event) {
	j := b.Jobs[e.Move.ID]
	if j == nil || j.Ended != 0 && j.Moved == "" {
		return
	}
	j.Moved, j.Sent = e.Move.Zone, e.Move.Done
	if j.Sent && j.Ended == 0 {
		b.retire(j, e.At)
	}
}

func (b *ZoneState) cancel(e *Event) {
	j := b.Jobs[e.Cancel.ID]
	if j == nil || j.Ended != 0 || j.Moved != "" {
		return
	}
	j.Cancelled = true
	for _, t := range j.Tasks {
		switch t.State {
		case Queued:
			b.finish(j, t, Cancelled, e.At)
		case Starting, Running:
			t.State, t.Cause, t.Since = Stopping, Cancelled, e.At
		}
	}
}

func (b *ZoneState) start(e *Event) {
	j, t := b.Task(e.Start.Task)
	if t == nil || t.State != Queued || e.Start.Attempt != t.Attempt+1 || j.Moved != "" {
		return
	}
	t.State, t.Since, t.Attempt = Starting, e.At, e.Start.Attempt
	t.Worker, t.Epoch, t.Cause, t.Why = e.Start.Worker, b.Epoch, "", ""
}

func (b *ZoneState) run(e *Event) {
	_, t := b.Task(e.Run.Task)
	if t == nil || t.State != Starting || t.Attempt != e.Run.Attempt {
		return
	}
	t.State, t.Since, t.Addr = Running, e.At, e.Run.Addr
}

func (b *ZoneState) stop(e *Event) {
	_, t := b.Task(e.Stop.Task)
	if t == nil || t.State != Starting && t.State != Running || t.Attempt != e.Stop.Attempt {
		return
	}
	t.State, t.Since, t.Cause = Stopping, e.At, e.Stop.Why
}

func (b *ZoneState) end(e *Event) {
	j, t := b.Task(e.End.Task)
	if t == nil || t.State == Ended || t.Attempt != e.End.Attempt {
		return
	}
	if t.State == Queued && !e.End.Final {
		return
	}
	if e.End.Cause == Failed {
		t.Failures++
	}
	if e.End.Cause == Failed || e.End.Cause == Refused {
		t.Avoid = append(t.Avoid, t.Worker)
		t.Avoid = t.Avoid[max(0, len(t.Avoid)-4):]
	}
	t.Worker, t.Addr, t.Why = "", "", e.End.Why
	if e.End.Final || j.Cancelled {
		cause := e.End.Cause
		if j.Cancelled && cause != Done && cause != Failed {
			cause = Cancelled
		}
		b.finish(j, t, cause, e.At)
		return
	}
	t.State, t.Cause, t.Since, t.After = Queued, e.End.Cause, e.At, e.End.After
}

func (b *ZoneState) finish(j *Job, t *Task, c Cause, at int64) {
	t.State, t.Cause, t.Since, t.After, t.Avoid = Ended, c, at, 0, nil
	if j.left--; j.left == 0 {
		b.retire(j, at)
	}
}

// retire ends a job and forgets the oldest that have ended.
func (b *ZoneState) retire(j *Job, at int64) {
	j.Ended = at
	b.Gone = append(b.Gone, j.ID)
	for len(b.Gone) > keepJobs {
		delete(b.Jobs, b.Gone[0])
		b.Gone = b.Gone[1:]
	}
}

func (b *ZoneState) give(e *Event) {
	v := e.Give
	old, had := b.Grants[v.Minion]
	if v.Entry == "" {
		delete(b.Grants, v.Minion)
		return
	}
	g := Grant{
		Entry: v.Entry, Boot: v.Boot, Since: e.At, Clean: v.Clean || !had,
		Pool: v.Pool, Addr: v.Addr, Slots: v.Slots,
	}
	if IsKeyShare(v.Minion) {
		// The ledger is whole only if the home before closed it itself.
		g.KeysCompleteSince = old.KeysCompleteSince
		if !v.Clean && had {
			g.KeysCompleteSince = e.At
		}
	}
	b.Grants[v.Minion] = g
}

func (b *ZoneState) keys(k *KeysRecorded) {
	for _, o := range k.Seen {
		if _, ok := b.Keys[o.Key]; !ok {
			b.Old = append(b.Old, o.Key)
		}
		b.Keys[o.Key] = o
	}
	for len(b.Old) > keepKeys {
		b.LastEvictedKeyMS = max(b.LastEvictedKeyMS, b.Keys[b.Old[0]].Made)
		delete(b.Keys, b.Old[0])
		b.Old = b.Old[1:]
	}
}

func (b *ZoneState) hold(h *Quarantine) {
	if !h.On {
		delete(b.Quarantined, h.Worker)
		return
	}
	b.Quarantined[h.Worker] = h.Why
}

// Rebuild restores what a decoded snapshot does not carry.
func (b *ZoneState) Rebuild() error {
	b.init()
	for id, j := range b.Jobs {
		if len(j.Tasks) != j.Spec.Count() {
			return fmt.Errorf("snapshot: job %s has %d tasks, want %d", id, len(j.Tasks), j.Spec.Count())
		}
		j.count()
	}
	return nil
}
