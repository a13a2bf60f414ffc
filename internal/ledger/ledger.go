// Package ledger provides at-most-once execution of requests by idempotency key.
//
// Every key has one home, the only entry that admits its requests. The home
// keeps a record of the admitted keys in memory; their outcomes are written to
// the journal of the zone. A key contains its creation time. A new home does not
// know which keys its predecessor admitted unless that one completed a handover,
// so a key that was created before the new home took over and has no record is
// answered as unknown and never run. The package does not depend on the
// availability of the platform's table.
//
// The keys of a zone are hash-partitioned into shares, each with its own home.
package ledger

import (
	"fmt"
	"hash/fnv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"jasminestep/internal/book"
)

// Key is the idempotency key of a request: a version 7 UUID, which contains a
// timestamp, optionally prefixed with the home zone and a dot.
type Key struct {
	Text      string
	Zone      string // empty: chosen by hash
	CreatedAt time.Time
	hash      uint32
}

// ErrMalformedKey is returned for keys that are not well-formed.
var ErrMalformedKey = errors.New("want a UUID of version 7, optionally with a zone and a dot before it")

// Parse parses an idempotency key.
func Parse(s string) (Key, error) {
	k := Key{Text: s}
	id := s
	if i := strings.LastIndexByte(s, '.'); i >= 0 {
		k.Zone, id = s[:i], s[i+1:]
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 || len(id) != len(u.String()) {
		return k, fmt.Errorf("key %q: %w", s, ErrMalformedKey)
	}
	ms := int64(0)
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	k.CreatedAt = time.UnixMilli(ms)
	h := fnv.New32a()
	_, _ = h.Write([]byte(strings.ToLower(id)))
	k.hash = h.Sum32()
	return k, nil
}

// Share returns the hash partition of the home zone to which k belongs.
func (k Key) Share() int { return int(k.hash % book.KeyShares) }

// Home returns the zone of k's home. All entries must pass zones in the same order.
func (k Key) Home(zones []string) string {
	if k.Zone != "" || len(zones) == 0 {
		return k.Zone
	}
	return zones[int(k.hash/book.KeyShares)%len(zones)]
}

// Decision is the result of an admission check of a key.
type Decision int

// Decisions.
const (
	Run        Decision = iota // it has provably not run and may run now
	FromFuture                 // created in the future: refuse; it was not run
	Unknown                    // it may have run already
	NotHome                    // this entry is not the home, or no longer: refuse; nothing was run
)

// Decide decides about a key without a record. floor is the time before which a
// missing record does not prove that the request has not run; zero if there is
// none. margin is the maximum difference between two clocks.
func Decide(made, floor, now time.Time, margin time.Duration) Decision {
	if made.After(now.Add(margin)) {
		return FromFuture
	}
	// One margin each: the previous home accepted keys up to margin ahead of its
	// clock, its clock may have been margin ahead of the owner's, and floor may
	// be margin behind.
	const skewMargins = 3
	provableFrom := floor
	if !floor.IsZero() {
		provableFrom = floor.Add(skewMargins * margin)
	}
	if retentionStart := now.Add(-book.KeyRetentionMS * time.Millisecond); retentionStart.After(provableFrom) {
		provableFrom = retentionStart
	}
	if !made.After(provableFrom) {
		return Unknown
	}
	return Run
}

// Record is the state of an admitted key.
type Record struct {
	Done      chan struct{} // closed when the request has ended
	answer    any           // for repeated requests; nil if dropped to save memory
	startedAt time.Time
	size      int
	share     *shareState
}

// Ledger holds the records of the shares for which this entry is the home. The
// zero value serves no share.
type Ledger struct {
	mu          sync.Mutex
	shares      map[int]*shareState
	answerBytes int
}

type shareState struct {
	serving     bool
	records     map[string]*Record
	running     int               // requests that have begun and not ended
	unjournaled []book.KeyOutcome // in order of their end
}

// maxAnswerBytes is the size of the answers above which Sweep drops some.
const maxAnswerBytes = 16 << 20

func (l *Ledger) shareFor(n int) *shareState {
	if l.shares == nil {
		l.shares = map[int]*shareState{}
	}
	if l.shares[n] == nil {
		l.shares[n] = &shareState{records: map[string]*Record{}}
	}
	return l.shares[n]
}

// SetServing sets whether this entry admits keys of share n.
func (l *Ledger) SetServing(n int, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shareFor(n).serving = on
}

// Begin returns the record of k, or creates one if decide returns Run. first is
// true for the call that created it, which must run the request and call End.
func (l *Ledger) Begin(k Key, now time.Time, decide func() Decision) (e *Record, first bool, v Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shareFor(k.Share())
	if !s.serving {
		return nil, false, NotHome
	}
	if e = s.records[k.Text]; e != nil {
		return e, false, Run
	}
	if v = decide(); v != Run {
		return nil, false, v
	}
	e = &Record{Done: make(chan struct{}), startedAt: now, share: s}
	s.records[k.Text] = e
	s.running++
	return e, true, Run
}

// Outcomes of requests, as stored in the journal.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "unrun"
	OutcomeUnknown  = "unknown"
)

// End records the outcome of a request. The record of a request that has not run
// is removed, so that it can be retried with the same key.
func (l *Ledger) End(k Key, e *Record, outcome string, answer any, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := e.share
	s.running--
	e.answer = answer
	if outcome == OutcomeNotRun {
		delete(s.records, k.Text)
	} else {
		s.unjournaled = append(s.unjournaled, book.KeyOutcome{Key: k.Text, Outcome: outcome, Made: k.CreatedAt.UnixMilli()})
		e.size = size
		l.answerBytes += size
	}
	close(e.Done)
}

// Answer returns the answer of an ended request, or nil if it was dropped.
func (l *Ledger) Answer(e *Record) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.answer
}

// Unjournaled returns the outcomes of share n that are not in the journal yet.
func (l *Ledger) Unjournaled(n int) []book.KeyOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]book.KeyOutcome(nil), l.shareFor(n).unjournaled...)
}

// MarkJournaled removes the first n outcomes of the share from Unjournaled.
func (l *Ledger) MarkJournaled(share, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shareFor(share)
	s.unjournaled = s.unjournaled[min(n, len(s.unjournaled)):]
}

// Drained reports whether share n is no longer served, has no running requests
// and no outcomes that are not in the journal.
func (l *Ledger) Drained(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.shareFor(n)
	return !s.serving && s.running == 0 && len(s.unjournaled) == 0
}

// Drop removes the records of a share that has moved to another home.
func (l *Ledger) Drop(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.shareFor(n).records {
		l.answerBytes -= e.size
	}
	delete(l.shares, n)
}

// Sweep removes the records of ended requests after the retention period, when
// Decide answers Unknown for their keys anyway, and drops answers while their
// total size exceeds maxAnswerBytes.
func (l *Ledger) Sweep(now time.Time) {
	const grace = time.Minute
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.shares {
		for key, e := range s.records {
			select {
			case <-e.Done:
			default:
				continue
			}
			if now.Sub(e.startedAt) > book.KeyRetentionMS*time.Millisecond+grace {
				l.answerBytes -= e.size
				delete(s.records, key)
			} else if l.answerBytes > maxAnswerBytes && e.answer != nil {
				l.answerBytes -= e.size
				e.answer, e.size = nil, 0
			}
		}
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.shares {
		n += len(s.records)
	}
	return n
}
