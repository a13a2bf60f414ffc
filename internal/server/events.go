package server

import "jasminestep/internal/shard"

// LogEvent documents one log message.
type LogEvent struct {
	Name   shard.Event
	Fields string
	Doc    string // what it means
	Look   string // what to look at; empty if it is part of normal operation
}

// LogEvents lists every message that an entry logs. Lines about a job have its
// ID in the field job; lines of an owner have service and term. One line may
// cover the same event of several tasks of a job; task and minion are then
// comma-separated lists in the same order.
var LogEvents = []LogEvent{
	{"entry started", "id zone life", "an entry started serving", ""},
	{"entry stopping", "", "a planned stop began", ""},
	{"requests unfinished at stop", "why", "requests were cut off, because they took longer than the grace period", "the store's response times before it"},
	{"entry stopped", "", "a planned stop is complete", "without it, the entry was killed or froze"},
	{"settings reloaded", "level addresses", "the settings file was read again; only the log level takes effect", ""},
	{"settings not reloaded", "why", "the settings file is invalid; the old settings stay", "the file and line in why"},
	{"configuration applied", "version queues services", "a new configuration is in use", ""},
	{"configuration row invalid", "why", "a configuration could not be decoded; the old one stays", "who wrote the row"},
	{"feed lost", "what why", "a feed of the store is unreachable", "other entries: all mean the store, one zone a partition"},
	{"feed regained", "what", "a feed of the store is reachable again", ""},
	{"store unreachable", "", "neither this entry nor another one that it can reach has access to the store", "the store and the entry's network"},
	{"entry row not written", "why", "the entry's own row could not be written; it is retried", "the store"},
	{"log lines dropped", "lines", "log lines were left out because their reader is slow or there were too many", "the log collector; counts from this log are too low"},
	{"earlier lines", "lines", "the last lines of rare events again, for readers that keep only part of the log; the longest are shortened", ""},

	{"job accepted", "job queue account fresh version", "a job is durable; fresh is false if it already was", ""},
	{"cancellation accepted", "job", "a cancellation is durable", ""},
	{"request rejected", "job why", "a request was rejected without effect", "`feed lost` and `shard write failed` at that time, on this entry and on others; for want of memory: jobs that never end"},
	{"request outcome unknown", "job why", "the store did not respond in time; the request may have taken effect", "the store; a later line about the job"},

	{"shard claimed", "service term why", "this entry became the owner of a shard", "why; the log of the former owner"},
	{"shard claim failed", "service why", "a shard could not be claimed because the store did not respond", "the store"},
	{"shard claim lost", "service term why", "another entry claimed the shard first", "nothing, unless owners change every few seconds: then the store"},
	{"shard loaded", "service term jobs minions", "an owner has read its shard and makes decisions", ""},
	{"owner deposed", "service term why", "this entry no longer owns the shard; its later writes have no effect", "whether it was frozen, cut off or slow"},
	{"owner activity", "service term cores lag decisions deciding longest waiting runs copies needless delay", "what an owner has done in the last 2 s: cores of its process, the longest that something waited for it, decisions, the time spent on them and the longest, in ms; tasks that wait and runs now; copies and needless ones in this term, and the silence in ms from which on copies start", "cores near the setting `cores`, or a lag above 100: the owner is short of processor time"},
	{"shard handed over", "service term next", "a shard was released for another entry to claim", ""},
	{"shard handover failed", "service why", "a shard could not be released; other entries have to detect that it has no owner", "the store"},
	{"shard write failed", "service term why", "an owner's write failed and is retried; logged once a write", "the store"},
	{"owner row invalid", "service why", "an owner row cannot be decoded; the shard is left as it is", "who wrote the row"},
	{"job row invalid", "job why", "a job's row or its progress is invalid; the job is left as it is", "who wrote the row"},
	{"outcome row invalid", "job why", "the outcome of an archived job cannot be decoded", "who wrote the row"},
	{"jobs not archived yet", "service jobs why", "ended jobs could not be archived; it is retried", "the store, if it lasts: the next owner then reads more rows"},
	{"jobs cannot be archived", "service jobs why", "the outcomes of ended jobs could not be encoded; this owner archives no more", "a fault of the program"},
	{"outcomes not deleted", "part why", "outcomes past their retention time could not be deleted; it is retried", "the store"},
	{"clients sent away", "connections bytes full held fields stalled", "clients took too much in the last 5 s: connections refused because there are too many, requests because too much is held or they have too many header fields, connections closed because they stalled", "the addresses that connect; `step_clients_sent_away` of other entries"},
	{"learned run times invalid", "service why", "some of what a former owner has learned of run times cannot be used; it is learned anew", "who wrote the row"},
	{"record of called minions invalid", "service why", "which incarnations former owners called cannot be read; leases of minions that restart count as long", "who wrote the rows"},
	{"lease row invalid", "service why", "what a former owner knew of silent minions cannot be used; their runs wait longer", "who wrote the row"},
	{"account limited", "service account used allowed steps tasks", "an account could start more in this shard but for its limit", "the limit in the configuration; the same line of the other services' owners"},
	{"grants cannot be written", "service accounts bytes why", "the row with what a shard may use of the limits of accounts is too large; its grants stay", "the number of accounts"},
	{"grants invalid", "service why", "the row of a shard cannot be decoded; it counts as empty", "who wrote the row"},
	{"carrier abandoned", "service term carrier why", "an entry that made calls to minions for this owner does not respond; the owner makes them itself or through another entry", "that entry's log"},

	{shard.JobReceived, "job", "the owner learned of an accepted job", "`shard claimed`, if it is long after `job accepted`"},
	{shard.CancellationReceived, "job", "the owner learned of a cancellation", ""},
	{shard.JobEnded, "job why", "a job completed, failed or was cancelled", "`run ended` and `run stalled`, if it failed: several minions mean the job"},
	{shard.PlacementQueried, "job task why", "the placement service is asked which minions are eligible for a step", ""},
	{shard.PlacementAnswered, "job task why", "the placement service told which minions are eligible", "why, if few are"},
	{shard.PlacementQueryFailed, "job task why", "the placement service did not answer; it is asked again", "the placement service"},

	{shard.TaskPlaced, "job task attempt minion", "a minion was chosen for a task; the start is sent once that is durable", ""},
	{shard.StartRefused, "job task attempt minion why", "the minion refused the start", "why; other starts on the minion"},
	{shard.StartUnanswered, "job task attempt minion why", "the start got no reply; a later report shows whether the task runs", "the minion and the network to it, if there are many"},
	{shard.RunEnded, "job task attempt minion why", "a minion reported the end of a run", "the minion's other runs, if it failed"},
	{shard.StepWaits, "job task why", "tasks of a step could run and have waited for long", "why: no minion with room, none known to be eligible, no query to be had, or what keeps the step off minions that have room"},
	{shard.RunLost, "job task attempt minion why", "a run was given up; its task waits again", "why; the minion's lines before it"},
	{shard.RunStalled, "job task attempt minion why", "a run makes no progress and is stopped; why is for how long", "the minion's other runs"},
	{shard.RunEvacuated, "job task attempt minion why", "a run is stopped because it would not end before its minion leaves; why is the remaining time", ""},
	{shard.CopyQueued, "job task attempt minion why", "a second run of a speculative task waits, because the minion of the first does not answer; the first may continue", "`minion silent`, `zone unreachable`"},
	{shard.TaskAbsent, "job task attempt minion why", "a lasting task has been away for 6 s, and again each 10 s; why is how that began, for what it has waited and now waits, and what its minions lack", "what it waits for: lease: the minion that was lost; answer: the placement service; preemptible: work that may wait holds the room, a fault of ours if it lasts; room: too few minions for what lasts; minion: no minion may run it; account: its limit"},
	{shard.TaskReturns, "job task attempt minion why", "a run of a lasting task that had been away for over 6 s has begun; why is for what it waited", "the same"},
	{shard.UnexpectedRun, "job task attempt minion", "a minion has a run that its owner did not order or gave up; it is stopped", "the minion, if it repeats: it executes orders late"},

	{shard.RunEvicted, "job task attempt minion why", "a run that may wait is stopped to make room for a lasting task, whose step is in why", "how full the minions are that may run lasting tasks"},
	{shard.CrashUnderRun, "job task attempt minion why", "a run was there when its minion crashed; why is how long it had lasted, and whether it was on trial", "other runs on that minion: one of them may have crashed it"},
	{shard.CrashSuspected, "job task attempt minion why", "the same, but whether the run had begun, or its minion has crashed, is unknown", "the minion's lines before it"},
	{shard.TrialBegun, "job task attempt minion", "a suspect is placed where nothing else begins meanwhile", ""},
	{shard.TrialSurvived, "job task attempt minion", "the minion has not crashed; the task is no suspect any more", ""},
	{shard.TaskGivenUp, "job task attempt why", "a task has crashed the minions that started it, and no silent minion can clear it any more; its job fails; why is how many", "what the task runs; the crashes before it"},
	{shard.MinionAdded, "minion why", "a minion's row appeared; why is its availability zone", ""},
	{shard.MinionUnlisted, "minion", "a minion's row was deleted; it may still run and answer", ""},
	{shard.MinionDraining, "minion", "a minion drains and gets no new tasks", ""},
	{shard.MinionRestarted, "minion why", "a minion restarted under the same ID; its earlier runs are gone. why: what its former incarnation was told, and said last", "the minion"},
	{shard.MinionFirstAnswer, "minion why", "the first reply of an incarnation of a minion to this owner. why: its clock, on which leases are measured", ""},
	{shard.RestartUnconfirmed, "minion why", "a row of a minion tells of a later incarnation, which has not answered; why is its address. The runs of the known one continue", "who wrote the row, if no `minion restarted` follows"},
	{shard.MinionReplaced, "minion", "another minion has the address; none of the former one's runs are left", ""},
	{shard.MinionForgotten, "minion", "a minion without a row does not answer and its leases have ended", ""},
	{shard.MinionPaused, "minion why", "a minion failed too often and gets no new tasks for the time in why, which names the tasks that failed", "whether they fail elsewhere, too; `run ended`, `run stalled` and `start refused` of the minion"},
	{shard.FillThrottled, "minion why", "fill tasks share a minion with tasks that have a bound on response times; why is the speed that they may have, and what decided it", "the response times of the minion's other tasks, if it is 0 %"},
	{shard.MinionSilent, "minion why", "a lease renewal got no reply; why is how many runs wait for the end of its leases, for how long, and how that is known", "other minions of its zone at that time"},
	{shard.MinionAnswers, "minion", "the first reply of a minion after its silence", ""},
	{shard.ZoneUnreachable, "minion why", "several minions of an availability zone are slow to answer; the zone gets no new tasks until one answers", "the network to that zone"},
}

// FindLogEvent returns the documentation of a message.
func FindLogEvent(name shard.Event) (LogEvent, bool) {
	for _, e := range LogEvents {
		if e.Name == name {
			return e, true
		}
	}
	return LogEvent{}, false
}

// rareEvents are the messages that few lines have and that decide what the others
// mean.
var rareEvents = map[shard.Event]bool{
	"entry started": true, "entry stopping": true, "entry stopped": true, "configuration applied": true,
	"feed lost": true, "feed regained": true, "store unreachable": true,
	"shard claimed": true, "shard claim failed": true, "shard claim lost": true, "shard loaded": true, "owner deposed": true,
	"shard handed over": true, "shard handover failed": true, "shard write failed": true,
	shard.StepWaits: true, shard.RunLost: true, shard.RunEvacuated: true, shard.RunEvicted: true, shard.TaskAbsent: true, shard.TaskReturns: true,
	shard.MinionDraining: true, shard.MinionRestarted: true, shard.MinionReplaced: true, shard.MinionForgotten: true,
	shard.MinionPaused: true, shard.MinionSilent: true, shard.MinionAnswers: true, shard.ZoneUnreachable: true,
}

// IsRare reports whether lines of a message are written and repeated even if there
// are too many others.
func IsRare(message string) bool { return rareEvents[shard.Event(message)] }
