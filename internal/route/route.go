// Package route selects the entry that serves a request and defines the
// possible results of a request.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jasminestep/internal/slots"
)

// Outcome is the final state of a request. The three values are exhaustive.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered" // a minion's answer arrived completely
	NotRun   Outcome = "unrun"    // the request is known not to have run
	Unknown  Outcome = "unknown"  // the request may have run
)

// Request is a request of a caller.
type Request struct {
	ID       string // unique to the request
	Member   string
	Pool     string
	Key      string // idempotency key; empty: none
	Repeat   bool   // the request may run more than once
	Method   string
	Path     string
	Type     string // content type
	Body     []byte
	Deadline int64 // Unix milliseconds
}

// Reason is the reason why a request has no answer. The values are part of the
// API.
type Reason string

// The reasons.
const (
	NoMinion           Reason = "no-minion"    // no upstream of the pool is reachable
	QueueFull          Reason = "full"         // the queues are full
	NoSlotInTime       Reason = "late"         // no slot before the deadline
	UpstreamRefused    Reason = "refused"      // rejected by the upstream
	KeyInFuture        Reason = "early"        // the timestamp of the key is ahead of the clock
	KeyTooOld          Reason = "stale"        // there is no record of the key, but it is too old for that to prove that it never ran
	KeyHomeUnreachable Reason = "home"         // the key's home is not reachable
	NotKeyHome         Reason = "moved"        // this entry is not the key's home
	AnswerLost         Reason = "lost"         // no complete answer arrived
	AnswerDiscarded    Reason = "forgotten"    // the request was answered, but the answer is no longer stored
	EntryPaused        Reason = "paused"       // this entry was paused and has not confirmed its assignments yet
	EntryStarting      Reason = "starting"     // this entry has no configuration yet
	UnknownMember      Reason = "bad-member"   // no such member
	BadKey             Reason = "bad-key"      // malformed key
	TooLarge           Reason = "too-large"    // the body exceeds the size limit
	BadBody            Reason = "bad-body"     // the body did not arrive completely
	BadDeadline        Reason = "bad-deadline" // the deadline is not a positive number of milliseconds
)

// Answer is the result of a request.
type Answer struct {
	Outcome Outcome
	Reason  Reason // empty if answered
	Status  int    // HTTP status of the minion's answer
	Type    string
	Body    []byte
	Minion  string
	Entry   string                // entry whose slot was used
	Loads   map[string]slots.Load // current loads of that entry, for the entry that forwarded the request
}

// NoAnswer returns the result of a request without an answer.
func NoAnswer(o Outcome, r Reason) Answer { return Answer{Outcome: o, Reason: r} }

// Target is an entry that may serve a request.
type Target struct {
	ID            string // empty: this entry
	Addr          string
	OtherZone     bool // in another zone
	Load          slots.Load
	LoadAge       time.Duration // age of Load
	SentSinceLoad int           // requests sent there since Load was reported
}

// crossZoneCost is the extra waiting time in the own zone up to which it is
// preferred over another zone with free slots.
const crossZoneCost = 10 * time.Millisecond

// maxLoadAge is the age beyond which a reported load is not trusted for free
// slots.
const maxLoadAge = 3 * time.Second

// RankTargets orders the targets for a request, best first. This entry comes
// first if it has a free slot, then the other entries of the zone that have
// one, with a random choice between the best two, then the entries of the zone
// with the shortest expected wait. Other zones are preferred only if the own
// zone has no slots or a long wait.
func RankTargets(ts []Target, rnd *rand.Rand) []Target {
	usable := slices.DeleteFunc(slices.Clone(ts), func(t Target) bool { return t.Load.Slots == 0 })
	if len(usable) < 2 {
		return usable
	}
	type rankedTarget struct {
		Target
		cost float64
	}
	rs := make([]rankedTarget, len(usable))
	for i, t := range usable {
		rs[i] = rankedTarget{t, targetCost(t)}
	}
	rnd.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
	slices.SortStableFunc(rs, func(a, b rankedTarget) int { return cmp.Compare(a.cost, b.cost) })
	// All entries tend to pick the same best target at once. Spread requests
	// over the two best targets if both have free slots.
	if rs[0].ID != "" && rs[0].cost < 0 && rs[1].cost < 0 && !rs[1].OtherZone && rnd.IntN(2) == 0 {
		rs[0], rs[1] = rs[1], rs[0]
	}
	for i := range rs {
		usable[i] = rs[i].Target
	}
	return usable
}

// targetCost is negative for this entry and for other entries of the zone that
// have a free slot. For all others it is the expected wait in milliseconds,
// with a surcharge for other zones.
func targetCost(t Target) float64 {
	free := float64(t.Load.Free - t.SentSinceLoad)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	wait := ms(t.Load.Wait)
	if t.Load.Slots > 0 {
		wait += float64(t.Load.Queue+max(0, t.SentSinceLoad-t.Load.Free)) / float64(t.Load.Slots)
	}
	switch {
	case t.ID == "" && t.Load.Free > 0 && t.Load.Queue == 0:
		return -1e6
	case free > 0 && t.Load.Queue == 0 && t.LoadAge < maxLoadAge && !t.OtherZone:
		return -free / float64(t.Load.Slots)
	case t.OtherZone && free > 0 && t.Load.Queue == 0:
		return ms(crossZoneCost) - free/float64(t.Load.Slots)
	case t.OtherZone:
		return ms(crossZoneCost)*2 + wait
	}
	return wait
}
