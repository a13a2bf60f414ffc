package shard

// Event names what a Note reports; it is the message of the log line.
type Event string

// Events of jobs.
const (
	JobReceived          Event = "job received"           // the owner learned of an accepted job
	CancellationReceived Event = "cancellation received"  // the owner learned of a cancellation
	JobEnded             Event = "job ended"              // the job completed, failed or was cancelled
	PlacementQueried     Event = "placement queried"      // the placement service is asked about a step
	PlacementAnswered    Event = "placement answered"     // the placement service told which minions are eligible
	PlacementQueryFailed Event = "placement query failed" // the placement service did not answer
	StepWaits            Event = "step waits"             // tasks of a step could run and have waited for long
)

// Events of runs.
const (
	TaskPlaced      Event = "task placed"          // a minion was chosen; the start is sent once that is durable
	StartRefused    Event = "start refused"        // the minion refused the start
	StartUnanswered Event = "start unanswered"     // the start got no reply; later reports show whether the task runs
	RunEnded        Event = "run ended"            // the minion reported the end of the run
	RunLost         Event = "run lost"             // the run was given up; its task waits again
	RunStalled      Event = "run stalled"          // the run makes no progress and is stopped
	RunEvacuated    Event = "run evacuated"        // the run is stopped because it would not end before its minion leaves
	RunEvicted      Event = "run evicted"          // the run is stopped to make room for a lasting task
	CopyQueued      Event = "copy of run queued"   // a second run of a speculative task waits; the first may continue
	TaskAbsent      Event = "lasting task away"    // its last run has been gone for long
	TaskReturns     Event = "lasting task back"    // a run of it has begun after a long absence
	UnexpectedRun   Event = "unexpected run found" // a minion has a run that its owner did not order or gave up
)

// Events of tasks under which minions crash.
const (
	CrashUnderRun  Event = "minion crashed under task"          // a run was there when its minion crashed
	CrashSuspected Event = "minion may have crashed under task" // whether the run had begun, or the minion has crashed, is unknown
	TrialBegun     Event = "trial begun"                        // a suspect is placed where nothing else begins meanwhile
	TrialSurvived  Event = "trial survived"                     // its minion has not crashed; the task is no suspect any more
	TaskGivenUp    Event = "task given up after crashes"        // the job fails
)

// Events of minions.
const (
	MinionAdded        Event = "minion row added"           // a row of a minion appeared
	MinionUnlisted     Event = "minion row deleted"         // the minion's row is gone; the minion may still run and answer
	MinionDraining     Event = "minion draining"            // the minion's row says that it drains
	MinionRestarted    Event = "minion restarted"           // a new incarnation has the same ID
	MinionFirstAnswer  Event = "minion answers"             // the first reply of an incarnation to this owner
	RestartUnconfirmed Event = "minion restart unconfirmed" // a row has a later incarnation, which has not answered yet
	MinionReplaced     Event = "minion replaced"            // another minion has its address, so that none of its runs are left
	MinionForgotten    Event = "minion forgotten"           // it has no row, does not answer, and its leases have ended
	MinionPaused       Event = "minion paused"              // too many failures; it gets no new tasks for a while
	FillThrottled      Event = "fill tasks throttled"       // the speed of fill tasks beside others with a bound on response times has changed
	MinionSilent       Event = "minion silent"              // a lease renewal got no reply
	MinionAnswers      Event = "minion answers again"       // the first reply after a silence
	ZoneUnreachable    Event = "zone unreachable"           // several minions of the zone are slow to answer
)

// Note is one decision, for the log.
type Note struct {
	What    Event
	Job     string
	Task    string
	Attempt int
	Minion  string
	Why     string
}

func (s *State) note(n Note) { s.Notes = append(s.Notes, n) }
