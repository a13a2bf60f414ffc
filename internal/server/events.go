package server

// LogEvent documents one log message.
type LogEvent struct {
	Name   string
	Fields string
	Doc    string
}

// LogEvents lists every message that an entry logs. Lines about a job have its
// ID in the field job; lines of an owner have service and term. One line may
// cover the same event of several tasks of a job; task and minion are then
// comma-separated lists in the same order.
var LogEvents = []LogEvent{
	{"start", "id zone life", "an entry started serving"},
	{"stop", "", "a planned stop began"},
	{"end", "", "a planned stop is complete"},
	{"reload", "level addresses", "the settings file was reloaded; only the log level takes effect"},
	{"configuration", "version queues services why", "a configuration took effect or could not be decoded"},
	{"lost", "what why", "the store or one of its feeds is unreachable; or, with a task, a run was given up and the task is pending again"},
	{"regained", "what", "a feed of the store is reachable again"},
	{"entry row not written", "why", "the entry's own row could not be written; it is retried"},
	{"accepted", "job queue fresh version", "a job is durable; fresh is false if it already was"},
	{"rejected", "job why", "a request was rejected without effect"},
	{"unknown", "job why", "the outcome of a request is unknown: the store did not respond in time"},
	{"cancelled", "job", "a cancellation is durable"},
	{"owner", "service term why", "this entry became the owner of a shard"},
	{"claim failed", "service why", "a shard could not be claimed: the store did not respond"},
	{"claim lost", "service term why", "another entry claimed the shard first"},
	{"loaded", "service term jobs minions", "an owner has read its shard"},
	{"deposed", "service term why", "this entry no longer owns the shard"},
	{"handed over", "service term next", "a shard was released for another entry to claim"},
	{"handover failed", "service why", "a shard could not be released; other entries have to detect that it has no owner"},
	{"owner row", "service why", "an owner row cannot be decoded"},
	{"write", "service term why", "an owner's write failed and is retried"},
	{"row of a job", "job why", "a job's row cannot be decoded"},
	{"jobs not archived yet", "service jobs why", "ended jobs could not be archived; it is retried"},
	{"jobs not archived", "service jobs why", "the outcomes of ended jobs could not be encoded"},
	{"outcomes not deleted", "part why", "outcomes past their retention time could not be deleted; it is retried"},
	{"job", "job", "the owner learned of a job"},
	{"cancel", "job", "the owner learned of a cancellation"},
	{"over", "job why", "a job ended: completed, failed or canceled"},
	{"ask", "job task why", "the placement service was asked about a step"},
	{"advised", "job task why", "the placement service responded"},
	{"unadvised", "job task why", "the placement service did not respond"},
	{"placed", "job task attempt minion", "a task was assigned to a minion; its start is sent once the assignment is durable"},
	{"refused", "job task attempt minion why", "the minion refused the start"},
	{"unanswered", "job task attempt minion why", "a start got no response; a later report shows whether the task runs"},
	{"ended", "job task attempt minion why", "a minion reported the end of a run"},
	{"still", "job task attempt minion why", "a run made no progress and is stopped"},
	{"stray", "job task attempt minion", "a minion runs a task that the owner did not order; the run is stopped"},
	{"minion", "minion why", "a minion's row appeared; why is its availability zone"},
	{"draining", "minion", "a minion is draining"},
	{"evacuated", "job task attempt minion why", "a run was stopped because it cannot end before its minion shuts down; why is the remaining time"},
	{"gone", "minion", "another minion has its address, so none of its runs are left"},
	{"unlisted", "minion", "a minion's row was deleted"},
	{"forgotten", "minion", "a minion without a row does not respond and its leases have expired"},
	{"reborn", "minion", "a minion restarted under the same id"},
	{"copy", "job task attempt minion why", "a second run of a task of a speculative step is pending; the first may continue"},
	{"minion crashed under task", "job task attempt minion why", "a run of the task was there when its minion crashed; why is how long it had lasted, and whether it was on trial"},
	{"minion may have crashed under task", "job task attempt minion why", "the same, but it is not certain that the run had begun or that the minion has crashed"},
	{"task on trial", "job task attempt minion", "a minion may have crashed because of the task, so this run begins where nothing else does"},
	{"task survived its trial", "job task attempt minion", "the task is started like any other again"},
	{"task given up after crashes", "job task attempt why", "the task has crashed minions, so its job fails; why is how many"},
	{"doubted", "minion why", "calls to several minions of an availability zone are late; the zone gets no new tasks until one of them responds"},
	{"silent", "minion", "a minion did not respond to a lease renewal"},
	{"answers", "minion", "the minion responds again"},
	{"carrier left", "service term carrier why", "an entry that made calls to minions for this owner does not respond; the owner makes them itself or through another entry"},
	{"paused", "minion why", "a minion failed too often and gets no tasks for a while"},
	{"dropped", "lines", "log lines were dropped because the reader is slow or there were too many"},
}
