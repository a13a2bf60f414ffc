package shard

import (
	"slices"
	"time"

	"jasminestep/internal/work"
)

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
	id           work.TaskID
	phase        Phase
	attempt      int              // number of the last start; 0 before the first
	failures     int              // failed runs
	failedOn     []string         // minions where its runs have failed since one has succeeded, at most minionsForOwnFault
	incarnation  work.Incarnation // where the task is placed; only while Placed
	checkpoint   string           // newest checkpoint
	openAttempts []int            // attempts left running for a copy whose end has not been reported
	openCopies   []int            // attempts of openAttempts that a previous owner had left running, and whose minions may have crashed
	crash        crashRecord      // what is known of minions that crashed under it
	openFates    int              // its runs with fateOpen
	unsettled    int              // accusations of it in minion.unsettled with waits, of runs that had begun
	openDoubts   int              // the same, whether or not the runs had begun
	absence      *absence         // nil unless a lasting task is absent
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
	failedOn        []string      // minions where that was, since the last success, at most minionsForOwnFault
	succeeded       bool          // one of its tasks has succeeded, or has lasted for long
	hasReservations bool          // room is reserved for the step
	incomplete      bool          // some members of a gang were refused; the others wait for them at their minions
	failedAttempt   int           // attempt of a gang whose failure has been counted
	gangPlacedAt    time.Time     // when the current attempt of a gang was placed
	leaving         int           // its runs on minions that drain, or whose leases end soon; only of steps that must run
	runTime         time.Duration // expected run time of a task
	criticalPath    time.Duration // longest chain of queries and expected run times from this step on
	urgent          bool          // it may use room that others have reserved
	preferredZone   string        // availability zone that its tasks should share; empty if none is chosen

	queued          bool              // in State.queue
	aheadAt         time.Time         // when places for its leaving runs are looked for next
	checkAt         time.Time         // time of the next check by a decision
	notBefore       time.Time         // no check before this time, even if there is more room
	deferredCost    time.Duration     // cost of a query that could not be issued; 0 if there is none
	ticketHolds     []*minion         // minions with room held until their tickets arrive, one for each task
	reservations    []stepReservation // reserved room
	reservedAt      time.Time         // when the first of that room was reserved
	missesObjective bool              // it will miss its objective
	waitsSince      time.Time         // since when it could run and none of its tasks has been placed; zero if it can't or has just been
	shortSince      time.Time         // since when it has been short of places: unlike waitsSince, until all its tasks are placed
	waitNotedAt     time.Time         // when its waiting was last noted, or when it began
	overQuota       bool              // the allowance of its account has no room for all its waiting tasks; as of its last check
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
	copied          []copiedRun   // runs left running for copies; some may have ended

	account *clientAccount // nil if it belongs to none
	excess  bool           // it arrived beyond the rate of its account
}

// markBegun records that a run of the job has begun.
func (s *State) markBegun(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	s.publishNow(j)
}

// status returns the status of the job as clients see it.
func (j *job) status() JobStatus { return JobStatus{j.ID, j.Queue, j.state, j.begun, j.Account} }

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
	m, r := s.runAt(t.incarnation, runKey{t.id, t.attempt})
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
		p.runTime = s.predictRunTime(j, p.Image, p.Estimate)
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

// openTasks is the number of tasks of the job's unfinished rounds.
func (j *job) openTasks() int {
	n := 0
	for _, p := range j.Steps {
		n += p.Tasks
	}
	return n * (j.nextRound - j.finished)
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

// wanted is for how many tasks the step looks for places: those that wait, and those
// whose minions drain or are lost.
func (p *step) wanted() int { return p.waiting + p.leaving }

// mustRun reports whether the tasks of the step have value for as long as they run,
// and go before work that may wait.
func (p *step) mustRun() bool { return mustRun(*p.Step) }

func mustRun(p work.Step) bool { return p.Lasting && !p.Fill }

// awaitsLasting reports whether the job has tasks that must run and have not ended.
func (j *job) awaitsLasting() bool {
	if j.state.Terminal() {
		return false
	}
	for _, r := range j.rounds {
		for _, p := range r.steps {
			if p.mustRun() && p.unfinished > 0 {
				return true
			}
		}
	}
	return false
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
