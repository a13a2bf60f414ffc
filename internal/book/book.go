package book

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"jasminestep/pkg/operator"
)

// State is the lifecycle state of a task or a job.
type State string

// The states of a task. A job is queued while none of its tasks is live, running
// while one is, and ended once all tasks have ended; the most severe cause among
// its tasks is then the cause of the job.
const (
	Queued   State = "queued"
	Starting State = "starting" // journalled and sent, not yet confirmed
	Running  State = "running"
	Stopping State = "stopping" // asked to stop, end not yet confirmed
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
	Epoch    int64    `json:"epoch,omitempty"`  // epoch of the owner that started this attempt
	Since    int64    `json:"since"`            // last change of State, Unix milliseconds
	After    int64    `json:"after,omitempty"`  // earliest start of the next attempt, Unix milliseconds
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
	ID         string       `json:"id"`
	Spec       operator.Job `json:"spec"`
	Accepted   int64        `json:"accepted"` // Unix milliseconds
	Ended      int64        `json:"ended,omitempty"`
	Cancelled  bool         `json:"cancelled,omitempty"`
	Moved      string       `json:"moved,omitempty"` // zone that the job was transferred to; none of its tasks runs here
	Sent       bool         `json:"sent,omitempty"`  // that zone has confirmed the transfer
	Tasks      []*Task      `json:"tasks"`
	unfinished int          // number of tasks that have not ended
}

// Grant records which entry uses a minion's slots or is the home of a key share.
type Grant struct {
	Entry string `json:"entry"`
	Boot  int64  `json:"boot"`
	Since int64  `json:"since"` // Unix milliseconds
	Clean bool   `json:"clean,omitempty"`
	Drain bool   `json:"drain,omitempty"` // the holder has been asked to release it
	Pool  string `json:"pool,omitempty"`
	Addr  string `json:"addr,omitempty"`
	Slots int    `json:"slots,omitempty"`
	// KeysCompleteSince applies to key shares: outcomes of keys made before it
	// may be missing, so a request whose earlier key is absent may have run. Unix
	// milliseconds.
	KeysCompleteSince int64 `json:"floor,omitempty"`
}

// ZoneState is the state of one zone after all events up to and including Seq.
// The zero value is the state before any event.
type ZoneState struct {
	Seq         int64                 `json:"seq"`
	At          int64                 `json:"at"` // time of the last event, Unix milliseconds
	Epoch       int64                 `json:"epoch"`
	Owner       string                `json:"owner"` // empty after a handover
	Boot        int64                 `json:"boot"`
	Jobs        map[string]*Job       `json:"jobs"`
	Grants      map[string]Grant      `json:"grants"`
	Keys        map[string]KeyOutcome `json:"keys"`
	Quarantined map[string]string     `json:"holds"`
	// EndedJobs lists ended jobs in order of their end and KeyOrder lists keys in
	// the order in which they were recorded, so that the oldest are evicted
	// first.
	EndedJobs []string `json:"gone"`
	KeyOrder  []string `json:"old"`
	// LastEvictedKeyMS is the latest time of any evicted key. A request whose key
	// is not later than that and is absent may have run. Unix milliseconds.
	LastEvictedKeyMS int64 `json:"lost,omitempty"`
}

// Bounds on the history that is kept.
const (
	maxEndedJobs   = 20000   // ended jobs
	maxKeys        = 100000  // keys with their outcomes
	KeyRetentionMS = 600_000 // age from which an absent key does not prove that its request never ran, milliseconds
)

// KeyShares is the number of shares into which a zone's keys are partitioned.
const KeyShares = 16

// KeyShareName returns the grant name of a key share.
func KeyShareName(n int) string { return "key/" + strconv.Itoa(n) }

// IsKeyShare reports whether a grant name denotes a key share.
func IsKeyShare(name string) bool { return strings.HasPrefix(name, "key/") }

// TaskID returns the id of a job's task with the given index.
func TaskID(job string, index int) string { return job + "#" + strconv.Itoa(index) }

// SplitTaskID returns the job id and the index of a task id.
func SplitTaskID(task string) (job string, index int, ok bool) {
	i := strings.LastIndexByte(task, '#')
	if i < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(task[i+1:])
	return task[:i], n, err == nil
}

// Task returns a task and its job, or nil if there is no such task.
func (b *ZoneState) Task(id string) (*Job, *Task) {
	job, i, ok := SplitTaskID(id)
	j := b.Jobs[job]
	if !ok || j == nil || i < 0 || i >= len(j.Tasks) {
		return nil, nil
	}
	return j, j.Tasks[i]
}

// State returns the state of the job and, if it has ended, its cause.
func (j *Job) State() (State, Cause) {
	live, cause := false, Done
	for _, t := range j.Tasks {
		live = live || t.Live()
		if t.State == Ended && severity(t.Cause) > severity(cause) {
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

// severity returns the rank of a cause, from the mildest to the most severe. The
// most severe cause of any task is the cause of the job.
func severity(c Cause) int {
	return slices.Index([]Cause{Done, Cancelled, Lost, Failed, Impossible}, c)
}

// Apply applies e to b. Events that do not match the current state, such as the
// end of a superseded attempt, are ignored: the journal may hold events from the
// last batch of a deposed owner.
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
		b.setGrant(e)
	case e.Drain != nil:
		if g, ok := b.Grants[e.Drain.Minion]; ok {
			g.Drain = true
			b.Grants[e.Drain.Minion] = g
		}
	case e.Key != nil:
		b.recordKeys(e.Key)
	case e.Hold != nil:
		b.setHold(e.Hold)
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
	j.countUnfinished()
	b.Jobs[id] = j
}

// countUnfinished recomputes the number of tasks that have not ended.
func (j *Job) countUnfinished() {
	j.unfinished = 0
	for _, t := range j.Tasks {
		if t.State != Ended {
			j.unfinished++
		}
	}
}

// move marks a job as transferred to another zone. Its tasks keep their state,
// because the transfer may have to be repeated, but are never started here again.
func (b *ZoneState) move(e *Event) {
	j := b.Jobs[e.Move.ID]
	if j == nil || j.Ended != 0 && j.Moved == "" {
		return
	}
	j.Moved, j.Sent = e.Move.Zone, e.Move.Done
	if j.Sent && j.Ended == 0 {
		b.endJob(j, e.At)
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
			b.endTask(j, t, Cancelled, e.At)
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
		b.endTask(j, t, cause, e.At)
		return
	}
	t.State, t.Cause, t.Since, t.After = Queued, e.End.Cause, e.At, e.End.After
}

func (b *ZoneState) endTask(j *Job, t *Task, c Cause, at int64) {
	t.State, t.Cause, t.Since, t.After, t.Avoid = Ended, c, at, 0, nil
	if j.unfinished--; j.unfinished == 0 {
		b.endJob(j, at)
	}
}

// endJob ends a job and evicts the oldest ended jobs.
func (b *ZoneState) endJob(j *Job, at int64) {
	j.Ended = at
	b.EndedJobs = append(b.EndedJobs, j.ID)
	for len(b.EndedJobs) > maxEndedJobs {
		delete(b.Jobs, b.EndedJobs[0])
		b.EndedJobs = b.EndedJobs[1:]
	}
}

func (b *ZoneState) setGrant(e *Event) {
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
		// The outcomes are complete only if the previous home released the share itself.
		g.KeysCompleteSince = old.KeysCompleteSince
		if !v.Clean && had {
			g.KeysCompleteSince = e.At
		}
	}
	b.Grants[v.Minion] = g
}

func (b *ZoneState) recordKeys(k *KeysRecorded) {
	for _, o := range k.Seen {
		if _, ok := b.Keys[o.Key]; !ok {
			b.KeyOrder = append(b.KeyOrder, o.Key)
		}
		b.Keys[o.Key] = o
	}
	for len(b.KeyOrder) > maxKeys {
		b.LastEvictedKeyMS = max(b.LastEvictedKeyMS, b.Keys[b.KeyOrder[0]].Made)
		delete(b.Keys, b.KeyOrder[0])
		b.KeyOrder = b.KeyOrder[1:]
	}
}

func (b *ZoneState) setHold(h *Quarantine) {
	if !h.On {
		delete(b.Quarantined, h.Worker)
		return
	}
	b.Quarantined[h.Worker] = h.Why
}

// Rebuild restores the unexported state of a decoded snapshot and validates it.
func (b *ZoneState) Rebuild() error {
	b.init()
	for id, j := range b.Jobs {
		if len(j.Tasks) != j.Spec.Count() {
			return fmt.Errorf("snapshot: job %s has %d tasks, want %d", id, len(j.Tasks), j.Spec.Count())
		}
		j.countUnfinished()
	}
	return nil
}
