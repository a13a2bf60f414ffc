package server

// Event documents one message of the log.
type LogEvent struct {
	Name   string
	Fields string
	Doc    string
}

// Events lists every message that an entry logs. Lines about a job carry its id
// under job; lines of an owner carry service and term. A line may tell the same
// of several tasks of a job: task and minion are then lists with commas, in the
// same order.
var LogEvents = []LogEvent{
	{"start", "id zone life", "an entry began to serve"},
	{"stop", "", "a planned stop began"},
	{"end", "", "a planned stop is over"},
	{"reload", "level addresses", "the settings file was read again; only the level takes effect"},
	{"configuration", "version queues services why", "a configuration is in force, or cannot be read"},
	{"lost", "what why", "the store, or a feed of it, is lost; or, with a task, a run is given up and the task waits again"},
	{"regained", "what", "a feed of the store answers again"},
	{"enrol", "why", "the entry's own row could not be written yet"},
	{"accepted", "job queue fresh version", "a job is durable; fresh is false if it was before"},
	{"rejected", "job why", "a request was told that nothing was done"},
	{"unknown", "job why", "a request got no final answer: the store did not answer in time"},
	{"cancelled", "job", "a cancellation is durable"},
	{"owner", "service term why", "this entry owns a shard now"},
	{"claim", "service why", "a shard could not be claimed: the store did not answer"},
	{"claim lost", "service term why", "another entry claimed the shard first"},
	{"loaded", "service term jobs minions", "an owner has read its shard"},
	{"deposed", "service term why", "this entry does not own the shard any more"},
	{"handed over", "service term next", "a shard was given up, for the next entry to claim"},
	{"handover", "service why", "a shard could not be given up; others have to find out"},
	{"owner row", "service why", "the row that names an owner cannot be read"},
	{"write", "service term why", "an owner's write failed and is made again"},
	{"row of a job", "job why", "a job's row cannot be read"},
	{"job row stays", "job why", "the row of a job that is long over could not be deleted yet"},
	{"job", "job", "the owner knows of a job"},
	{"cancel", "job", "the owner knows of a cancellation"},
	{"over", "job why", "a job has ended: completed, failed or canceled"},
	{"ask", "job task why", "the placement service is asked about a step"},
	{"advised", "job task why", "it answered"},
	{"unadvised", "job task why", "it did not"},
	{"placed", "job task attempt minion", "a task is to run on a minion; its start is sent once that is durable"},
	{"refused", "job task attempt minion why", "the minion refused the start"},
	{"unanswered", "job task attempt minion why", "a start got no answer; a report will settle it"},
	{"ended", "job task attempt minion why", "a minion reported the end of a run"},
	{"still", "job task attempt minion why", "a run makes no progress and is ended"},
	{"stray", "job task attempt minion", "a minion runs what the owner did not ask for; it is stopped"},
	{"minion", "minion why", "a minion's entry appeared; why is its availability zone"},
	{"draining", "minion", "a minion is leaving"},
	{"evacuated", "job task attempt minion why", "a run will not end before its minion leaves, and is stopped; why is the time that is left"},
	{"gone", "minion", "another minion has its address: nothing runs there any more"},
	{"unlisted", "minion", "a minion's entry is gone"},
	{"forgotten", "minion", "a minion without an entry does not answer, and its leases are over"},
	{"reborn", "minion", "a minion started anew under its id"},
	{"copy", "job task attempt minion why", "a task of a speculative step waits for a second run; the first may go on"},
	{"doubted", "minion why", "several minions of an availability zone let calls wait; it gets no new work until one answers"},
	{"silent", "minion", "a minion did not answer a renewal"},
	{"answers", "minion", "it answers again"},
	{"carrier left", "service term carrier why", "an entry that made calls to minions for this owner gives no sign of life; the owner makes them itself or through another"},
	{"paused", "minion why", "a minion failed too often and gets nothing for a while"},
	{"dropped", "lines", "lines were left out: the reader of the log is slow, or there were too many"},
}
