// Package carry passes an owner's calls to minions through other entries.
//
// A call to a minion costs the owner many times what it costs to decide on it:
// a request, its encoding, a connection. An owner of many minions therefore has
// other entries, its carriers, make the calls. What it asks of one carrier within
// a few milliseconds travels as one batch, and so do the answers. A carrier
// decides nothing and keeps nothing: it makes each call at once, or not at all.
//
// A carrier that gives no sign of life is left, and its minions are called by
// the owner itself. What was under way there has no answer, as if the minion
// had given none; orders carry tokens, so that one that comes late does no harm.
package carry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/work"
)

// Minions carries orders to minions.
type Minions interface {
	Start(ctx context.Context, to *work.Minion, s work.Start) (work.Refusal, error)
	Stop(ctx context.Context, to *work.Minion, t work.TaskID, attempt int, token int64) error
	Renew(ctx context.Context, to *work.Minion, token, until, seen int64, wait time.Duration) (work.Report, bool, error)
}

// ErrLost means that the carrier of a call is gone, and what became of the call
// is not known.
var ErrLost = errors.New("the carrier of the call gives no sign of life")

// kind says what a call asks for.
type kind int8

const (
	start kind = iota
	stop
	renew
)

// Call is one call to a minion.
type Call struct {
	N       int64 // numbers the calls of a session
	Kind    kind
	To      work.Incarnation
	Address string
	Limit   time.Duration // the carrier gives the call up after it
	Start   work.Start    // of a start
	Task    work.TaskID   // of a stop
	Attempt int           // likewise
	Token   int64         // of a stop or renewal
	Until   int64         // of a renewal
	Durable int64         // of a renewal: ends up to this one may be forgotten
	Wait    time.Duration // of a renewal
}

// Result is what came of a call.
type Result struct {
	N       int64
	Refusal work.Refusal
	Report  work.Report
	Fenced  bool
	Error   string // empty: there was an answer
	Gone    bool   // another minion has the address
}

// err is the error of a call, as the minion's adapter gave it.
func (r *Result) err() error {
	switch {
	case r.Error == "":
		return nil
	case r.Gone:
		return errors.Mark(errors.New(r.Error), work.ErrWrongMinion)
	}
	return errors.New(r.Error)
}

// Batch is what an owner asks of a carrier at once.
type Batch struct {
	Session string
	Sent    int64 // nanoseconds on the owner's clock
	Calls   []Call
}

// Answers are results that a carrier has for an owner.
type Answers struct {
	Life    string // of the carrier's process
	Leaving bool   // it takes no more calls soon
	Results []Result
}
