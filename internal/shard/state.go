// Package shard schedules the minions of one service: it decides which task runs
// where and when, and interprets the replies of the minions.
//
// A State belongs to one goroutine. Its methods take in messages with the
// current time; Decide computes what to do next. No start is sent before the
// rows of a Batch are durable, so that a successor knows of every run that may
// exist. A minion does not discard an end that it has reported before that end
// is durable here.
//
// The current time includes the time that the machine was suspended and is not
// the time of day; only a wall argument is.
package shard

import (
	"slices"
	"sort"
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// Limits are the time limits and sizes that a shard works with.
type Limits struct {
	Lease         time.Duration // duration of a lease, from each renewal
	RenewWindow   time.Duration // how long after its last durable write an owner still renews
	MaxOrderDelay time.Duration // how late a delayed order may still be executed
	MaxClockDrift float64       // how much slower a minion's clock may run, as a fraction
	MaxRowAge     time.Duration // how old a minion's row may be for a start that relies on it: the minion may have less room since
	Retention     time.Duration // how long an ended job is remembered after its archival
	MaxEnds       int           // maximum number of ends in one report of a minion; there may be more
	MaxRows       int           // jobs with rows of their own in one batch
}

// DefaultLimits suit minions that allow leases of 10 s.
var DefaultLimits = Limits{
	Lease: 5 * time.Second, RenewWindow: 3 * time.Second, MaxOrderDelay: 15 * time.Second, MaxClockDrift: 0.02, MaxRowAge: 4 * time.Second, Retention: 150 * time.Second,
	MaxEnds: 500, MaxRows: maxOwnRows,
}

// Phase is the stage of a task.
type Phase int8

// The phases of a task.
const (
	Waiting Phase = iota
	Placed        // a run of the task may exist
	Finished
)

// JobState is the state of a job as clients see it.
type JobState string

// The states of a job.
const (
	Queued    JobState = "queued"
	Active    JobState = "active"
	Completed JobState = "completed"
	JobFailed JobState = "failed"
	Cancelled JobState = "canceled"
)

// Terminal reports whether the state is final.
func (s JobState) Terminal() bool { return s == Completed || s == JobFailed || s == Cancelled }

type task struct {
	id              work.TaskID
	phase           Phase
	attempt         int              // number of the last start; 0 before the first
	failures        int              // failed runs
	failedOn        []string         // minions where its runs have failed since one has succeeded, at most minionsToAcquit
	incarnation     work.Incarnation // where the task is placed; only while Placed
	checkpoint      string           // newest checkpoint
	openAttempts    []int            // attempts left running for a copy whose end has not been reported
	inheritedCopies int              // attempts of openAttempts that a previous owner had left running
	crash           crashRecord      // what is known of minions that crashed under it
	openFates       int              // its runs with fateOpen
	unsettled       int              // accusations of it in minion.unsettled, on any minion
}

// step is one step of one round.
type step struct {
	*work.Step
	index           int
	job             *job
	round           *round
	tasks           []*task
	unfinished      int // tasks that are not finished
	waiting         int // tasks that wait to be placed
	advice          advice
	failures        int           // runs that failed or made no progress
	failedOn        []string      // minions where that was, since the last success, at most minionsToAcquit
	succeeded       bool          // one of its tasks has succeeded, or has lasted for long
	hasReservations bool          // room is reserved for the step
	incomplete      bool          // some members of a gang were refused; the others wait for them at their minions
	failedAttempt   int           // attempt of a gang whose failure has been counted
	gangPlacedAt    time.Time     // when the current attempt of a gang was placed
	runTime         time.Duration // expected run time of a task
	criticalPath    time.Duration // longest chain of queries and expected run times from this step on
	urgent          bool          // it may use room that others have reserved
	preferredZone   string        // availability zone that its tasks should share; empty if none is chosen

	queued          bool              // in State.queue
	checkAt         time.Time         // time of the next check by a decision
	notBefore       time.Time         // no check before this time, even if there is more room
	deferredCost    time.Duration     // cost of a query that could not be issued; 0 if there is none
	ticketHolds     []*minion         // minions with room held until their tickets arrive, one entry per task
	reservations    []stepReservation // reserved room
	reservedAt      time.Time         // when the first of that room was reserved
	missesObjective bool              // it will miss its objective
	waitsSince      time.Time         // since when it could run and none of its tasks has been placed; zero if it can't or has just been
	waitNotedAt     time.Time         // when its waiting was last noted, or when it began
	noTurnBefore    time.Time         // it is not given the turn at queries before this time, because it had nothing to query about
	valued          bool              // it still has value, and is not lasting; as of its last check
}

// round is one occurrence of a job's steps.
type round struct {
	number     int
	steps      []*step
	unfinished int // steps that are not finished
}

type job struct {
	*work.Job
	state           JobState
	rounds          map[int]*round
	nextRound       int // first round that is not due yet
	finished        int // rounds that are finished
	begun           bool
	dirty           bool
	archived        bool          // its outcome is in the archive
	runs            int           // runs on all minions
	arrivedAt       time.Time     // on the owner's clock
	cachedObjective time.Duration // objective: from submission, or the due time, to the end
	bundle          *bundle       // bundle with the newest progress; nil if that is in a row of its own
	hasCopies       bool          // its tasks may have more than one run
}

// runState is what is known of a run at a minion.
type runState int8

const (
	unsent    runState = iota // placed; its row is not durable yet or its start has not been sent
	sent                      // its start is in flight
	live                      // it runs
	uncertain                 // its start got no reply, or a previous owner may have sent it
	cancelled                 // placed, and to be given up before it is sent
)

type runKey struct {
	task    work.TaskID
	attempt int
}

type run struct {
	key         runKey
	size        work.Size // room that the run occupies
	step        *step     // nil for a run of an unknown job
	task        *task     // nil for a run of an unknown job
	state       runState
	renewalMark int64     // renewals after this number show the state of the run; 0: inherited from a previous owner
	token       int64     // token of its start, if that was sent in this term
	listed      bool      // a report of this incarnation of its minion has listed it
	stopping    bool      // it is to end
	stopSentAt  time.Time // when the last stop was sent
	placedAt    time.Time
	confirmedAt time.Time   // when a reply or a report first showed that it has begun
	unreached   bool        // its start certainly did not reach the minion
	survived    bool        // a lasting run that has lasted for lastingProof
	onTrial     bool        // it has to survive before its task is no suspect any more
	fateOpen    bool        // it was fresh when its minion fell silent or was doubted
	carried     *accusation // holds if the next incarnation of its minion does not list it
	speed       int         // percentage at which it works, if speedKnown
	speedKnown  bool        // the minion has confirmed speed, or it is that of a start by this owner
	throttledAt time.Time   // when a speed was ordered that has no reply yet
	percent     int         // progress as last reported
	progressAt  time.Time   // when percent last changed
}

// minion is the known state of one incarnation of a minion.
type minion struct {
	work.Minion
	claim          *claim    // by a row; nil if there is none
	listed         bool      // has an entry in the store
	unlistedAt     time.Time // since when it has no entry
	rowValidUntil  time.Time // until when a start may rely on its row; zero if that is of an earlier incarnation
	synced         bool      // has answered under this term's token, so that its reports are complete
	token          int64     // token for the next order
	clock          int64     // its clock in ms at clockAt
	clockAt        time.Time
	leaseUntil     int64 // end of the longest lease it was sent, on its clock
	lastEnd        int64 // number of the last end that was processed
	runs           map[runKey]*run
	used           work.Size
	knownSince     time.Time     // when this incarnation became known
	hasCarriedRuns bool          // has runs that may have been meant for the previous incarnation
	silentSince    time.Time     // first unanswered renewal since the last reply
	pausedUntil    time.Time     // gets no new work before this time
	failed         []failure     // since the last success, oldest first, at most maxFailures
	failedAt       time.Time     // when the last of them was recorded
	restUntil      time.Time     // while it is a suspect it gets no new work before this time
	acquitted      bool          // it is no suspect, since most minions would be
	slowness       float64       // run times here relative to those elsewhere; 0 if unknown
	fillRuns       int           // runs of fill tasks
	targetRuns     int           // runs with a bound on their response times
	sharing        sharing       // how its fill runs and those with a bound share it
	leavesAt       time.Time     // while it drains: when it may leave
	reservations   []reservation // room reserved for waiting steps
	heldRoom       work.Size     // room held for starts that wait for tickets
	eligibleSteps  []*step       // steps that may run here; some may have ended
	zone           *zone         // maintained by State.zoneOf
	trial          *step         // step with runs on trial here; nothing else is started meanwhile
	unsettled      []accusation  // of runs whose lease has ended; whether the minion has crashed is unknown
	trialAt        time.Time     // when the last of them was placed or sent
}

// State is the state of a shard. Create it with New.
type State struct {
	Service         string
	Term            int64
	Limits          Limits
	Policy          Policy
	PlacementPaused bool   // no placements, because earlier ones cannot be made durable
	Notes           []Note // decisions since the caller last cleared them

	jobs              map[string]*job
	changed           []*job             // jobs whose rows have to be written
	majorityAcquitted bool               // as of the last check of all minions
	upcoming          []*job             // jobs with rounds that are not due yet
	forgotten         []forgottenJob     // archived jobs that are not in jobs any more, oldest first
	forgottenIDs      map[string]bool    // IDs of forgotten
	staleRows         []table.Key        // progress rows that can be deleted
	queue             []*step            // steps with tasks that wait
	candidates        []candidate        // buffer reused between decisions
	roomFreed         bool               // some minion has more room than at the last decision
	checkedAt         time.Time          // when all minions were last checked
	bundleCount       int                // number of bundles written in this term
	epoch             int64              // changes with the set of minions
	newIncarnations   []work.Incarnation // incarnations not returned by TakeNewIncarnations yet
	minions           map[string]*minion
	zones             map[string]*zone
	trials            []*minion                 // minions with a trial
	sortedMinions     []*minion                 // by ID; nil when minions has changed
	termStart         time.Time                 // when the term began
	renewalSeq        int64                     // sequence number of the last renewal
	runTimes          map[string]*runTimes      // by queue
	eligibleShares    map[string]*eligibleShare // by queue
	baseline          map[string]float64        // average ratio of run time to estimate, by queue
	queryCapacity     QueryCapacity             // remaining in this decision
	contendedQueries  int                       // queries that used up the capacity since turnOf last issued one
	turnOf            *step                     // the step that has waited longest, while it goes first
	queryOffset       uint                      // where the next query begins to name minions
	writeTime         time.Duration             // average duration of a write
	lastDurable       time.Time                 // start of the last write that became durable
	batch             Batch
	actions           Actions
}

// StartOrder is a start to be sent.
type StartOrder struct {
	Minion        work.Minion
	Start         work.Start
	ticketExpires time.Time // end of the ticket's validity, if there is a ticket
}

// StopOrder is a stop to be sent.
type StopOrder struct {
	Minion  work.Minion
	Task    work.TaskID
	Attempt int
	Token   int64
}

// ThrottleOrder is an order to let a run work at a percentage of its speed.
type ThrottleOrder struct {
	Minion  work.Minion
	Task    work.TaskID
	Attempt int
	Speed   int // percent
	Token   int64
}

// AdviceQuery is a query to the placement service.
type AdviceQuery struct {
	Step work.TaskID // Index is not used
	IDs  []string
	Cost time.Duration

	renewal bool // for minions that are known to be eligible
}

// JobStatus is the status of a job that clients see.
type JobStatus struct {
	ID    string
	Queue string
	State JobState // empty: the job has been deleted
	Begun bool
}

// Batch is a set of changes to make durable and the effects that follow once
// they are.
type Batch struct {
	Rows      []table.Row
	Delete    []table.Key
	Starts    []StartOrder
	AckedEnds map[work.Incarnation]int64 // ends that the minions may discard
	Statuses  []JobStatus
	Ended     []JobStatus // jobs to archive; HandleArchived reports that they are
}

// NeedsWrite reports whether the effects of the batch have to wait for a write
// that proves that this owner still has the shard: a former owner that lets a
// minion discard an end would hide the end from its successor.
func (b *Batch) NeedsWrite() bool { return len(b.Rows)+len(b.Delete)+len(b.AckedEnds) > 0 }

// Actions may be carried out without a durable write first.
type Actions struct {
	Stops     []StopOrder
	Throttles []ThrottleOrder // HandleThrottleReply has to be called for each
	Queries   []AdviceQuery
	Statuses  []JobStatus
}

// tokensPerTerm leaves an owner room to raise its token at a minion.
const tokensPerTerm = 1 << 16

// New returns an empty shard in a term that began at now.
func New(service string, term int64, now time.Time, l Limits) *State {
	return &State{
		Service: service, Term: term, Limits: l, Policy: DefaultPolicy, jobs: map[string]*job{}, forgottenIDs: map[string]bool{}, minions: map[string]*minion{}, zones: map[string]*zone{}, baseline: map[string]float64{}, runTimes: map[string]*runTimes{}, eligibleShares: map[string]*eligibleShare{},
		termStart: now, lastDurable: now, batch: Batch{AckedEnds: map[work.Incarnation]int64{}},
	}
}

// Submit adds an accepted job. Repeated calls have no effect.
func (s *State) Submit(now time.Time, j *work.Job) {
	if s.jobs[j.ID] != nil || s.forgottenIDs[j.ID] {
		return
	}
	n := &job{Job: j, state: Queued, rounds: map[int]*round{}, arrivedAt: now}
	s.jobs[j.ID] = n
	s.upcoming = append(s.upcoming, n)
	s.publishNow(n)
	s.note(Note{What: JobReceived, Job: j.ID})
}

// Cancel ends a job. It has no effect on jobs that have already ended.
func (s *State) Cancel(now time.Time, id string) {
	j := s.jobs[id]
	if j == nil || j.state.Terminal() {
		return
	}
	s.note(Note{What: CancellationReceived, Job: id})
	s.finishJob(now, j, Cancelled)
}

// HasJob reports whether the job is known.
func (s *State) HasJob(id string) bool { return s.jobs[id] != nil }

// markBegun records that a run of the job has begun.
func (s *State) markBegun(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	s.publishNow(j)
}

// status returns the status of the job as clients see it.
func (j *job) status() JobStatus { return JobStatus{j.ID, j.Queue, j.state, j.begun} }

// publishNow publishes a status that is already durable.
func (s *State) publishNow(j *job) {
	s.actions.Statuses = append(s.actions.Statuses, j.status())
}

// publish publishes a status once the batch is durable.
func (s *State) publish(j *job) {
	s.batch.Statuses = append(s.batch.Statuses, j.status())
}

// finishJob sets a final state and stops the runs that remain.
func (s *State) finishJob(now time.Time, j *job, st JobState) {
	j.state = st
	s.markChanged(j)
	s.note(Note{What: JobEnded, Job: j.ID, Why: string(st)})
	for _, r := range j.rounds {
		for _, p := range r.steps {
			for _, t := range p.tasks {
				s.stopTask(now, t)
			}
		}
	}
	s.stopCopies(now, j)
}

// stopTask stops the run of a task, if there may be one.
func (s *State) stopTask(now time.Time, t *task) {
	if t.phase != Placed {
		return
	}
	m := s.minions[t.incarnation.ID]
	if m == nil || m.Incarnation != t.incarnation {
		return
	}
	r := m.runs[runKey{t.id, t.attempt}]
	if r == nil {
		return
	}
	r.stopping = true
	if r.state == unsent {
		r.state = cancelled
		return
	}
	if r.state != sent {
		s.sendStop(now, m, r)
	}
}

func (s *State) newRound(j *job, k int) *round {
	r := &round{number: k, unfinished: len(j.Steps)}
	for i := range j.Steps {
		p := &step{Step: &j.Steps[i], index: i, job: j, round: r, unfinished: j.Steps[i].Tasks, waiting: j.Steps[i].Tasks}
		p.runTime = s.predictRunTime(j, p.Estimate)
		for x := range p.Tasks {
			p.tasks = append(p.tasks, &task{id: work.TaskID{Job: j.ID, Round: k, Step: i, Index: x}})
		}
		r.steps = append(r.steps, p)
	}
	for i := len(r.steps) - 1; i >= 0; i-- {
		r.steps[i].criticalPath = r.steps[i].longestChain()
	}
	return r
}

// minionsInObjective is how many minions the query names that the objective of a
// job allows for each step.
const minionsInObjective = 30

// adviceTime is the part of the objective that is meant for the step's query.
func (p *step) adviceTime() time.Duration {
	a := p.job.Advice
	if a == nil {
		return 0
	}
	return a.Decide + minionsInObjective*a.Each
}

// longestChain is the longest chain of queries and expected run times from the step on; the
// chains of later steps are already set.
func (p *step) longestChain() time.Duration {
	var after time.Duration
	for _, q := range p.round.steps[p.index+1:] {
		if slices.Contains(q.After, p.index) {
			after = max(after, q.criticalPath)
		}
	}
	return p.adviceTime() + p.runTime + after
}

// id returns the ID of the step; its Index is not used.
func (p *step) id() work.TaskID {
	return work.TaskID{Job: p.job.ID, Round: p.round.number, Step: p.index}
}

// ready reports whether the steps that this one depends on are finished.
func (p *step) ready() bool {
	for _, a := range p.After {
		if p.round.steps[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// runnable reports whether tasks of the step can be placed now.
func (p *step) runnable() bool {
	if p.waiting == 0 || !p.ready() {
		return false
	}
	return !p.Gang || p.waiting == p.unfinished || p.incomplete
}

// minionsByID returns the minions in order of ID, so that decisions are
// deterministic.
func (s *State) minionsByID() []*minion {
	if s.sortedMinions != nil {
		return s.sortedMinions
	}
	s.sortedMinions = make([]*minion, 0, len(s.minions))
	for _, m := range s.minions {
		s.sortedMinions = append(s.sortedMinions, m)
	}
	sort.Slice(s.sortedMinions, func(a, b int) bool { return s.sortedMinions[a].ID < s.sortedMinions[b].ID })
	return s.sortedMinions
}
