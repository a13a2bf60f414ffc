// Package carry routes an owner's calls to minions through other entries,
// called carriers.
//
// A call to a minion (a request, its encoding, a connection) costs the owner
// many times what it costs to decide on it. An owner of many minions therefore
// has carriers make the calls. Calls issued to one carrier within a few
// milliseconds are sent as one batch, and results are returned in batches too.
// A carrier makes no decisions and stores nothing: it makes each call at once
// or not at all.
//
// When a carrier stops responding, the owner stops using it and calls the
// minions directly. Calls in progress on it end without a result, as if the
// minion had not answered; orders carry fencing tokens, so a late one does no
// harm.
package carry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// MinionClient sends orders to minions.
type MinionClient interface {
	Start(ctx context.Context, to *work.Minion, s work.Start) (work.Refusal, error)
	Stop(ctx context.Context, to *work.Minion, t work.TaskID, attempt int, token int64) error
	Throttle(ctx context.Context, to *work.Minion, t work.TaskID, attempt, percent int, token int64) error
	Renew(ctx context.Context, to *work.Minion, token, until, seen int64, wait time.Duration) (work.Report, bool, error)
}

// ErrCarrierLost means that the carrier of a call was lost, so the outcome of
// the call is unknown.
var ErrCarrierLost = errors.New("carrier lost; outcome of the call unknown")

// ErrNotMade means that a call has not been made, because it would have come too late.
// Errors marked with it are also marked table.ErrNotApplied.
var ErrNotMade = errors.New("the call was held up and not made")

// notMade marks the error of a call that has not been made.
func notMade(err error) error { return errors.Mark(errors.Mark(err, ErrNotMade), table.ErrNotApplied) }

// callKind is the operation that a Call performs.
type callKind int8

const (
	startCall callKind = iota
	stopCall
	renewCall
	throttleCall
)

// Call is one call to a minion, as sent to a carrier.
type Call struct {
	N       int64 // sequence number within the session
	Kind    callKind
	To      work.Incarnation
	Address string
	Limit   time.Duration // timeout that the carrier applies to the call
	Start   work.Start    // for startCall
	Task    work.TaskID   // for stopCall and throttleCall
	Attempt int           // for stopCall and throttleCall
	Percent int           // for throttleCall: share of its speed at which the run may work
	Token   int64         // for all but startCall
	Until   int64         // for renewCall
	Durable int64         // for renewCall: number of the last end that may be acknowledged
	Wait    time.Duration // for renewCall
}

// Result is the outcome of a call.
type Result struct {
	N       int64
	Refusal work.Refusal
	Report  work.Report
	Fenced  bool
	Error   string // empty if the minion answered
	Gone    bool   // another minion has the address
	NotMade bool   // the call was held up
}

// err restores the error that the minion client returned to the carrier.
func (r *Result) err() error {
	switch {
	case r.Error == "":
		return nil
	case r.Gone:
		return errors.Mark(errors.New(r.Error), work.ErrWrongMinion)
	case r.NotMade:
		return notMade(errors.New(r.Error))
	}
	return errors.New(r.Error)
}

// Batch is a group of calls sent to a carrier in one request.
type Batch struct {
	Session string
	Sent    int64         // nanoseconds on the owner's clock
	Delay   time.Duration // time to collect results for the same reply, if above minResultDelay
	Calls   []Call
}

// FetchReply holds the results that a carrier has for an owner.
type FetchReply struct {
	Life    string // instance ID of the carrier's process
	Leaving bool   // the carrier is draining and soon accepts no more calls
	Results []Result
}
