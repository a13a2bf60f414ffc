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
	BatchLease    time.Duration // the same while no step must run, if longer
	MaxLease      time.Duration // longest lease that a minion grants, whatever it is sent
	RenewWindow   time.Duration // leases end at most a lease and this after the owner's last durable write
	MaxOrderDelay time.Duration // how late a delayed order may still be executed
	MaxClockDrift float64       // how much slower a minion's clock may run, as a fraction
	MaxRowAge     time.Duration // how old a minion's row may be for a start that relies on it: the minion may have less room since
	Retention     time.Duration // how long an ended job is remembered after its archival
	MaxEnds       int           // maximum number of ends in one report of a minion; there may be more
	MaxRows       int           // jobs with rows of their own in one batch
	RateWindow    time.Duration // over which the rate of jobs of an account is measured
}

// DefaultLimits suit minions that allow leases of 10 s.
var DefaultLimits = Limits{
	Lease: 5 * time.Second, MaxLease: 10 * time.Second, RenewWindow: 500 * time.Millisecond, MaxOrderDelay: 15 * time.Second, MaxClockDrift: 0.02, MaxRowAge: 4 * time.Second, Retention: 150 * time.Second,
	MaxEnds: 500, MaxRows: maxOwnRows, RateWindow: 5 * time.Second,
}

// State is the state of a shard. Create it with New.
type State struct {
	Service         string
	Term            int64
	Limits          Limits
	Policy          Policy
	PlacementPaused bool   // no placements, because earlier ones cannot be made durable
	Notes           []Note // decisions since the caller last cleared them
	RunTimeErrors   RunTimeErrors
	Absences        []Absence   // absences that have ended since the caller last cleared them
	StoreClock      table.Clock // as of the last answer of the store

	jobs             map[string]*job
	accounts         map[string]*clientAccount // by name
	changed          []*job                    // jobs whose rows have to be written
	commonFailures   bool                      // as of the last check of all minions
	upcoming         []*job                    // jobs with rounds that are not due yet
	forgotten        []forgottenJob            // archived jobs that are not in jobs any more, oldest first
	forgottenIDs     map[string]bool           // IDs of forgotten
	staleRows        []table.Key               // progress rows that can be deleted
	queue            []*step                   // steps with tasks that wait
	candidates       []candidate               // buffer reused between decisions
	roomFreed        bool                      // some minion has more room than at the last decision
	checkedAt        time.Time                 // when all minions were last checked
	decidedAt        time.Time                 // when the last decision was made
	bundleCount      int                       // number of bundles written in this term
	epoch            int64                     // changes with the set of minions
	newIncarnations  []work.Incarnation        // incarnations not returned by TakeNewIncarnations yet
	minions          map[string]*minion
	zones            map[string]*zone
	trials           []*minion // minions with a trial
	verdicts         []verdict // on tasks that are guilty
	copyBudget       copyBudget
	sortedMinions    []*minion // by ID; nil when minions has changed
	termStart        time.Time // when the term began
	renewalSeq       int64     // sequence number of the last renewal
	runTimes         map[runTimeKey]*runTimes
	leftovers        map[runKey]leftover
	learned          bool // something was learned since it was saved
	learnedSavedAt   time.Time
	eligibleShares   map[string]*eligibleShare // by queue
	baseline         map[string]float64        // average ratio of run time to estimate, by queue
	queryCapacity    QueryCapacity             // remaining in this decision
	contendedQueries int                       // queries that used up the capacity since turnOf last issued one
	turnOf           *step                     // the step that has waited longest, while it goes first
	queryOffset      uint                      // where the next query begins to name minions
	lostLookAt       time.Time                 // when the work on silent minions is looked at next, for queries
	writeTime        time.Duration             // average duration of a write
	formerEnd        time.Time                 // when all leases that former owners sent have ended
	promised         time.Time                 // when all leases end that are sent under the last durable write; zero before the first
	promiseLease     time.Duration             // duration of leases that writes promise, if longer than Limits.Lease; set by TakeBatch
	lastingJobs      map[string]*job           // those of jobs with steps that must run
	promiseKnown     bool                      // formerEnd is what the last owner promised
	leaseRow         leaseRow
	record           callRecord
	leaving          []*leavingStep
	absences         []*absence // of lasting tasks, at present
	batch            Batch
	actions          Actions
}

// tokensPerTerm leaves an owner room to raise its token at a minion, several times a
// second for years.
const tokensPerTerm = 1 << 32

// New returns an empty shard in a term that began at now.
func New(service string, term int64, now time.Time, l Limits) *State {
	s := &State{
		Service: service, Term: term, Limits: l, Policy: DefaultPolicy, termStart: now,
		jobs: map[string]*job{}, forgottenIDs: map[string]bool{}, minions: map[string]*minion{}, zones: map[string]*zone{},
		lastingJobs: map[string]*job{}, baseline: map[string]float64{}, runTimes: map[runTimeKey]*runTimes{}, eligibleShares: map[string]*eligibleShare{},
		batch: Batch{AckedEnds: map[work.Incarnation]int64{}},
	}
	s.record.complete = term <= 1
	if term > 1 {
		s.formerEnd = now.Add(unrecordedWindow + s.slowClock(l.MaxLease) + leaseMargin)
	}
	return s
}

// Submit adds an accepted job. Repeated calls have no effect.
func (s *State) Submit(now time.Time, j *work.Job) {
	if s.jobs[j.ID] != nil || s.forgottenIDs[j.ID] {
		return
	}
	n := &job{Job: j, state: Queued, rounds: map[int]*round{}, arrivedAt: now, account: s.accountNamed(j.Account)}
	n.excess = n.account != nil && !n.account.takePermit(now, s.Limits.RateWindow)
	s.jobs[j.ID] = n
	if slices.ContainsFunc(j.Steps, mustRun) {
		s.lastingJobs[j.ID] = n
	}
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
