// Package route decides which entry serves a request, and says what can become
// of one.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"jasminestep/internal/slots"
)

// Outcome is what became of a request. There is no fourth.
type Outcome string

// The outcomes.
const (
	Answered Outcome = "answered" // the whole answer of a minion
	NotRun   Outcome = "unrun"    // it provably did not run
	Unknown  Outcome = "unknown"  // it may have run
)

// Request is a caller's request.
type Request struct {
	ID       string // unique to the request
	Member   string
	Pool     string
	Key      string // idempotency key; empty: none
	Repeat   bool   // may run more than once
	Method   string
	Path     string
	Type     string // content type
	Body     []byte
	Deadline int64 // Unix milliseconds
}

// Reason says why there is no answer. Callers may rely on the words.
type Reason string

// The reasons.
const (
	NoMinion            Reason = "no-minion"    // no upstream of the pool can be reached
	QueueFull           Reason = "full"         // queues are full
	NoSlotInTime        Reason = "late"         // no slot before the deadline
	UpstreamRefused     Reason = "refused"      // the upstream refused it
	KeyInFuture         Reason = "early"        // the key's time is ahead of the clock
	KeyTooOld           Reason = "stale"        // the key is too old for absence to prove anything
	KeyOwnerUnreachable Reason = "home"         // the key's home cannot be reached
	NotKeyOwner         Reason = "moved"        // this entry is not the key's home
	AnswerLost          Reason = "lost"         // no whole answer came back
	AnswerDiscarded     Reason = "forgotten"    // it ran and was answered; the answer is no longer kept
	EntryPaused         Reason = "paused"       // this entry is not sure of what it holds
	UnknownMember       Reason = "bad-member"   // no such member
	BadKey              Reason = "bad-key"      // the key is not well-formed
	TooLarge            Reason = "too-large"    // the body is over the limit
	BadBody             Reason = "bad-body"     // the body did not arrive whole
	BadDeadline         Reason = "bad-deadline" // the deadline is not a number of milliseconds
)

// Answer is what a request gets.
type Answer struct {
	Outcome Outcome
	Reason  Reason // unless answered
	Status  int    // of the minion's answer
	Type    string
	Body    []byte
	Minion  string
	Entry   string                // that spent the slot
	Loads   map[string]slots.Load // of that entry, as news for the one that asked
}

// No returns an answer without an answer.
func NoAnswer(o Outcome, r Reason) Answer { return Answer{Outcome: o, Reason: r} }

// Target is an entry that may serve a request.
type Target struct {
	ID            string // empty: this entry
	Addr          string
	OtherZone     bool // in another zone
	Load          slots.Load
	LoadAge       time.Duration // of Load
	SentSinceLoad int           // requests sent there since Load was told
}

// farCost is how much longer a request may wait in its own zone before another
// zone with free slots is the better choice.
const farCost = 10 * time.Millisecond

// staleLoad is the age beyond which a load says little about free slots.
const staleLoad = 3 * time.Second

// Choose orders the targets for one request, best first. Its own entry comes
// first while it has a free slot, then others of the zone with one, the better
// of two taken at random; then the shortest queue of the zone. Other zones are
// chosen when this one has nothing, or is full while they are not.
func RankTargets(ts []Target, rnd *rand.Rand) []Target {
	usable := slices.DeleteFunc(slices.Clone(ts), func(t Target) bool { return t.Load.Slots == 0 })
	if len(usable) < 2 {
		return usable
	}
	type ranked struct {
		Target
		cost float64
	}
	rs := make([]ranked, len(usable))
	for i, t := range usable {
		rs[i] = ranked{t, cost(t)}
	}
	rnd.Shuffle(len(rs), func(i, j int) { rs[i], rs[j] = rs[j], rs[i] })
	slices.SortStableFunc(rs, func(a, b ranked) int { return cmp.Compare(a.cost, b.cost) })
	// The best is often best for everybody at once; the second best of those
	// with a free slot shares the rush.
	if rs[0].ID != "" && rs[0].cost < 0 && rs[1].cost < 0 && !rs[1].OtherZone && rnd.IntN(2) == 0 {
		rs[0], rs[1] = rs[1], rs[0]
	}
	for i := range rs {
		usable[i] = rs[i].Target
	}
	return usable
}

// cost is below zero for targets with a free slot and grows with the expected
// wait, in milliseconds, for others.
func cost(t Target) float64 {
	free := float64(t.Load.Free - t.SentSinceLoad)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	wait := ms(t.Load.Wait)
	if t.Load.Slots > 0 {
		wait += float64(t.Load.Queue+max(0, t.SentSinceLoad-t.Load.Free)) / float64(t.Load.Slots)
	}
	switch {
	case t.ID == "" && t.Load.Free > 0 && t.Load.Queue == 0:
		return -1e6
	case free > 0 && t.Load.Queue == 0 && t.LoadAge < staleLoad && !t.OtherZone:
		return -free / float64(t.Load.Slots)
	case t.OtherZone && free > 0 && t.Load.Queue == 0:
		return ms(farCost) - free/float64(t.Load.Slots)
	case t.OtherZone:
		return ms(farCost)*2 + wait
	}
	return wait
}
