// Package shard decides for the minions of one service: which task runs where
// and when, and what every answer of a minion means.
//
// A State belongs to one goroutine. Messages go in by its methods, with the
// present time; Decide says what is to be done. Nothing is sent that the rows of
// a Batch do not make durable first, so that a successor knows of every run that
// may exist, and nothing a minion reported is forgotten there before it is
// durable here.
//
// The present time counts the time that the machine was suspended, and is not
// the time of day; only Wall in a call is.
package shard

import (
	"slices"
	"sort"
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// Limits are the times that the shard works with.
type Limits struct {
	Lease     time.Duration // of runs, from each renewal on
	RenewFor  time.Duration // how long after its last durable write an owner still renews
	LateOrder time.Duration // how late an order may be carried out that was held up
	Drift     float64       // how much slower a minion's clock may be, as a share
	Keep      time.Duration // how long the outcome of an ended job is told
	MaxEnds   int           // ends in one report of a minion; there may be more
	Rows      int           // jobs with rows of their own in one batch
}

// Defaults suit minions that allow leases of 10 s.
var Defaults = Limits{
	Lease: 5 * time.Second, RenewFor: 3 * time.Second, LateOrder: 15 * time.Second, Drift: 0.02, Keep: 150 * time.Second,
	MaxEnds: 500, Rows: ownRows,
}

// Phase is where a task is in its life.
type Phase int8

// The phases.
const (
	Waiting Phase = iota
	Placed        // a run of it may exist
	Finished
)

// JobState is the state of a job as clients see it.
type JobState string

// The states.
const (
	Queued    JobState = "queued"
	Active    JobState = "active"
	Completed JobState = "completed"
	JobFailed JobState = "failed"
	Cancelled JobState = "canceled"
)

// Over says whether the state is final.
func (s JobState) Over() bool { return s == Completed || s == JobFailed || s == Cancelled }

// task is one task of a step.
type task struct {
	id       work.TaskID
	phase    Phase
	attempt  int              // number of the last start; 0 before the first
	failures int              // runs that ended failed
	life     work.Incarnation // where it is placed; only while Placed
	saved    string           // newest checkpoint
	open     []int            // attempts of runs that were left for a copy, and of whose end nothing is known
}

// step is one step of one round.
type step struct {
	*work.Step
	index    int
	job      *job
	round    *round
	tasks    []*task
	left     int // tasks that are not finished
	waiting  int // tasks that wait
	advice   advice
	failures int           // runs of its tasks that ended failed or stood still
	booked   bool          // room is kept for it
	short    bool          // some members of a gang were refused, the others wait for them at their minions
	failedAt int           // attempt of a gang whose failure was counted
	startAt  time.Time     // when the present attempt of a gang was placed
	chain    time.Duration // longest chain of estimated work from this step on
	pressed  bool          // it is about to miss its objective and does not book room itself
	home     string        // availability zone that its tasks should share; empty is not chosen

	queued   bool          // it is in the queue
	lookAt   time.Time     // a decision looks at it from then on
	rest     time.Time     // not before this moment, though there is more room
	wants    time.Duration // time of a question that could not be asked; 0 is none
	shades   []*minion     // that keep room for a start until there are tickets, once for each task
	places   []place       // room that is booked
	bookedAt time.Time     // when the first of that room was booked
	late     bool          // it will miss its objective
}

// round is one occurrence of a job's steps.
type round struct {
	k     int
	steps []*step
	left  int // steps that are not finished
}

type job struct {
	*work.Job
	state    JobState
	rounds   map[int]*round
	next     int // first round that is not due yet
	finished int // rounds that are done
	begun    bool
	ended    time.Time
	dirty    bool
	arrived  time.Time     // on the owner's clock
	aim      time.Duration // objective: from submission, or its due time, to the end
	bundle   *bundle       // that has its newest progress; nil if a row of its own has
	copied   bool          // tasks of it may have more than one run
}

// runState is what is known of a run at a minion.
type runState int8

const (
	unsent    runState = iota // placed; its row is not durable yet or its start is not sent
	sent                      // its start is under way
	live                      // it runs
	unsure                    // its start got no answer, or a predecessor may have sent it
	cancelled                 // placed, and to be given up before it is sent
)

type runKey struct {
	task    work.TaskID
	attempt int
}

type run struct {
	key     runKey
	size    work.Size // that it takes
	step    *step     // nil for a run of an unknown job
	task    *task     // nil likewise
	state   runState
	mark    int64     // renewals asked for after this one show what became of it; 0: inherited
	token   int64     // token of its start, if that was sent in this term
	listed  bool      // a report of this life of its minion had it
	stop    bool      // it is to end
	asked   time.Time // when it was last told to
	placed  time.Time
	percent int       // of its work, as last reported
	moved   time.Time // when percent last changed
}

// minion is what the shard believes of one minion's life.
type minion struct {
	work.Minion
	listed  bool      // has an entry in the store
	missed  time.Time // since when it has none
	known   bool      // it has answered under this term's token, so its lists are the truth
	token   int64     // that the next order carries
	clock   int64     // its clock in ms when it answered at at
	at      time.Time
	until   int64 // longest lease it was sent, on its clock
	seen    int64 // number of the last end that was taken in
	runs    map[runKey]*run
	used    work.Size
	since   time.Time // when this life became known
	carried bool      // runs of it may have been meant for the former life
	silent  time.Time // first renewal without an answer since the last answer
	paused  time.Time // gets no new work until then
	strikes int       // failures since the last success
	slow    float64   // of the time that runs take there, to that which they take elsewhere; 0 is not known
	fills   int       // runs that fill what others leave
	serves  int       // runs that have a bound on their response times
	leaves  time.Time // while it drains: when it may leave
	booked  []booking // room that is kept for steps that wait
	shade   work.Size // room that is kept for starts that wait for tickets
	seekers []*step   // that may run here; some may be over
	zone    *zone     // State.zoneOf keeps it up to date
}

// State is the state of a shard. Use New.
type State struct {
	Service string
	Term    int64
	Limits  Limits
	Policy  Policy
	Held    bool   // nothing is to be placed, since what was placed cannot be made durable
	Notes   []Note // decisions since they were last taken away

	jobs       map[string]*job
	changed    []*job             // whose rows are to be written
	upcoming   []*job             // with rounds that are not due yet
	ended      []*job             // over, in that order
	queue      []*step            // with tasks that wait
	candidates []candidate        // of the last decision, for their room in memory
	roomier    bool               // some minion takes more than at the last decision
	checked    time.Time          // when all minions were last looked at
	bundles    int                // that this term has written
	epoch      int64              // changes with the set of minions
	fresh      []work.Incarnation // that were not told of yet
	minions    map[string]*minion
	zones      map[string]*zone
	order      []*minion          // by id; nil when minions has changed
	taken      time.Time          // when the term began
	seq        int64              // of renewals
	usual      map[string]float64 // of a run's time to its estimate, by queue
	askers     Askers             // left in this decision
	turn       uint               // where the next question begins to name minions
	writing    time.Duration      // usual time of a write
	durable    time.Time          // when the last write that was made durable had begun
	batch      Batch
	now        Orders
}

// Note is one decision, for the log.
type Note struct {
	What    string
	Job     string
	Task    string
	Attempt int
	Minion  string
	Why     string
}

// Order is a start to be sent.
type Order struct {
	Minion work.Minion
	Start  work.Start
	valid  time.Time // end of the ticket, if there is one
}

// StopOrder is a stop to be sent.
type StopOrder struct {
	Minion  work.Minion
	Task    work.TaskID
	Attempt int
	Token   int64
}

// Ask is a question for advice.
type Ask struct {
	Step work.TaskID // Index is not used
	IDs  []string
	Cost time.Duration
}

// Shown is what clients are told of a job.
type Shown struct {
	ID    string
	Queue string
	State JobState // empty: forgotten
	Begun bool
}

// Batch is what is to be made durable, and what may be done once it is.
type Batch struct {
	Rows   []table.Row
	Delete []table.Key
	Starts []Order
	Seen   map[work.Incarnation]int64 // ends that the minions may forget
	Shown  []Shown
	Drop   []string // jobs whose own rows can go; Forgotten is told when they have
}

// NeedsWrite says that the batch must not have its effects before a write has
// shown that this owner still has the shard: a former owner that lets a minion
// forget an end would hide it from its successor.
func (b *Batch) NeedsWrite() bool { return len(b.Rows)+len(b.Delete)+len(b.Seen) > 0 }

// Orders may be carried out at once.
type Orders struct {
	Stops []StopOrder
	Asks  []Ask
	Shown []Shown
}

// tokensPerTerm leaves an owner room to raise its token at one minion.
const tokensPerTerm = 1 << 16

// New returns an empty shard in a term that began at now.
func New(service string, term int64, now time.Time, l Limits) *State {
	return &State{
		Service: service, Term: term, Limits: l, Policy: Usual, jobs: map[string]*job{}, minions: map[string]*minion{}, zones: map[string]*zone{}, usual: map[string]float64{},
		taken: now, durable: now, batch: Batch{Seen: map[work.Incarnation]int64{}},
	}
}

func (s *State) note(n Note) { s.Notes = append(s.Notes, n) }

// Submit takes in an accepted job. It may be said again.
func (s *State) Submit(now time.Time, j *work.Job) {
	if s.jobs[j.ID] != nil {
		return
	}
	n := &job{Job: j, state: Queued, rounds: map[int]*round{}, arrived: now}
	s.jobs[j.ID] = n
	s.upcoming = append(s.upcoming, n)
	s.showNow(n)
	s.note(Note{What: "job", Job: j.ID})
}

// Cancel ends a job. It may be said again, and of jobs that are over.
func (s *State) Cancel(now time.Time, id string) {
	j := s.jobs[id]
	if j == nil || j.state.Over() {
		return
	}
	s.note(Note{What: "cancel", Job: id})
	s.finish(now, j, Cancelled)
}

// Has says whether the job is known.
func (s *State) Has(id string) bool { return s.jobs[id] != nil }

// began notes that a run of the job has begun.
func (s *State) began(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	s.showNow(j)
}

// showNow shows a state that is durable already.
func (s *State) showNow(j *job) {
	s.now.Shown = append(s.now.Shown, Shown{j.ID, j.Queue, j.state, j.begun})
}

// show shows a state once the batch is durable.
func (s *State) show(j *job) {
	s.batch.Shown = append(s.batch.Shown, Shown{j.ID, j.Queue, j.state, j.begun})
}

// finish makes a state final; what still runs is stopped.
func (s *State) finish(now time.Time, j *job, st JobState) {
	j.state, j.ended = st, now
	s.touch(j)
	s.ended = append(s.ended, j)
	s.note(Note{What: "over", Job: j.ID, Why: string(st)})
	for _, r := range j.rounds {
		for _, p := range r.steps {
			for _, t := range p.tasks {
				s.giveUp(now, t)
			}
		}
	}
	s.stopCopies(now, j)
}

// giveUp stops the run of a task, if there may be one.
func (s *State) giveUp(now time.Time, t *task) {
	if t.phase != Placed {
		return
	}
	m := s.minions[t.life.ID]
	if m == nil || m.Incarnation != t.life {
		return
	}
	r := m.runs[runKey{t.id, t.attempt}]
	if r == nil {
		return
	}
	r.stop = true
	if r.state == unsent {
		r.state = cancelled
		return
	}
	if r.state != sent {
		s.halt(now, m, r)
	}
}

func newRound(j *job, k int) *round {
	r := &round{k: k, left: len(j.Steps)}
	for i := range j.Steps {
		p := &step{Step: &j.Steps[i], index: i, job: j, round: r, left: j.Steps[i].Tasks, waiting: j.Steps[i].Tasks}
		for x := range p.Tasks {
			p.tasks = append(p.tasks, &task{id: work.TaskID{Job: j.ID, Round: k, Step: i, Index: x}})
		}
		r.steps = append(r.steps, p)
	}
	for i := len(r.steps) - 1; i >= 0; i-- {
		r.steps[i].chain = r.steps[i].longest()
	}
	return r
}

// longest is the longest chain of estimated work from the step on; those of
// later steps are known.
func (p *step) longest() time.Duration {
	var after time.Duration
	for _, q := range p.round.steps[p.index+1:] {
		if slices.Contains(q.After, p.index) {
			after = max(after, q.chain)
		}
	}
	return p.Estimate + after
}

// id names the step; its Index is not used.
func (p *step) id() work.TaskID { return work.TaskID{Job: p.job.ID, Round: p.round.k, Step: p.index} }

// open says whether the step's turn has come.
func (p *step) open() bool {
	for _, a := range p.After {
		if p.round.steps[a].left > 0 {
			return false
		}
	}
	return true
}

// runnable says that the step can have tasks placed now.
func (p *step) runnable() bool {
	if p.waiting == 0 || !p.open() {
		return false
	}
	return !p.Gang || p.waiting == p.left || p.short
}

// sorted returns the minions by id, for decisions that do not depend on chance.
func (s *State) sorted() []*minion {
	if s.order != nil {
		return s.order
	}
	s.order = make([]*minion, 0, len(s.minions))
	for _, m := range s.minions {
		s.order = append(s.order, m)
	}
	sort.Slice(s.order, func(a, b int) bool { return s.order[a].ID < s.order[b].ID })
	return s.order
}
