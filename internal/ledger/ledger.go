// Package ledger makes requests that must not run twice run at most once.
//
// Every request with a key has one home, an entry, which alone lets it run. The
// home remembers in memory what it let run; outcomes ride the zone's journal.
// A key carries the time of its making. A new home knows nothing of what the
// home before it let run unless that one closed its ledger, so a key made
// before the new home's time and absent from the ledger is answered unknown and
// never run. Nothing here needs the platform's table to be up.
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

// Key is the idempotency key of a request: a UUID of version 7, which carries
// its time, and optionally the zone of its home in front of it, with a dot.
type Key struct {
	Text      string
	Zone      string // empty: the home is found by hashing
	CreatedAt time.Time
	hash      uint32
}

// ErrKey marks keys that are not well-formed.
var ErrMalformedKey = errors.New("want a UUID of version 7, optionally with a zone and a dot before it")

// Parse reads a key.
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

// Share is the share of the home zone's keys to which k belongs.
func (k Key) Share() int { return int(k.hash % book.KeyShares) }

// Home is the zone of k's home among zones, which are in the same order everywhere.
func (k Key) Home(zones []string) string {
	if k.Zone != "" || len(zones) == 0 {
		return k.Zone
	}
	return zones[int(k.hash/book.KeyShares)%len(zones)]
}

// Verdict is what a home does with a key.
type Decision int

// The verdicts.
const (
	Run        Decision = iota // it has provably not run: run it
	FromFuture                 // made in the future: refuse, it was not run
	Unknown                    // it may have run: say so
	NotHome                    // this entry is not, or no longer, the home: refuse, nothing was run
)

// Judge decides about a key that is absent from the ledger. floor is the time
// before which absence proves nothing; margin is the greatest difference
// between two clocks.
func Decide(made, floor, now time.Time, margin time.Duration) Decision {
	if made.After(now.Add(margin)) {
		return FromFuture
	}
	// The home before took keys up to margin ahead of its clock, its clock may
	// have been margin ahead of the owner's, and the floor margin behind.
	const margins = 3
	limit := floor
	if !floor.IsZero() {
		limit = floor.Add(margins * margin)
	}
	if old := now.Add(-book.KeyRetentionMS * time.Millisecond); old.After(limit) {
		limit = old
	}
	if !made.After(limit) {
		return Unknown
	}
	return Run
}

// Entry is what a home remembers of one key.
type Record struct {
	Done   chan struct{} // closed once the answer is there
	answer any           // to be repeated; nil if it was too large to keep
	made   time.Time
	size   int
	home   *share
}

// Ledger is what this entry remembers as a home. The zero value is home of nothing.
type Ledger struct {
	mu     sync.Mutex
	shares map[int]*share
	bytes  int
}

type share struct {
	serving bool
	keys    map[string]*Record
	open    int               // running
	todo    []book.KeyOutcome // not yet journalled
}

// keepBytes bounds the answers that are kept to be repeated.
const keepBytes = 16 << 20

func (l *Ledger) share(n int) *share {
	if l.shares == nil {
		l.shares = map[int]*share{}
	}
	if l.shares[n] == nil {
		l.shares[n] = &share{keys: map[string]*Record{}}
	}
	return l.shares[n]
}

// Serve makes this entry the home of a share, or stops it from taking keys.
func (l *Ledger) SetServing(n int, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share(n).serving = on
}

// Begin finds the key's entry, or makes one if judge lets it run. first is true
// for the call that made it and must run the request and call End.
func (l *Ledger) Begin(k Key, now time.Time, judge func() Decision) (e *Record, first bool, v Decision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.share(k.Share())
	if !s.serving {
		return nil, false, NotHome
	}
	if e = s.keys[k.Text]; e != nil {
		return e, false, Run
	}
	if v = judge(); v != Run {
		return nil, false, v
	}
	e = &Record{Done: make(chan struct{}), made: now, home: s}
	s.keys[k.Text] = e
	s.open++
	return e, true, Run
}

// Outcomes of requests, as the journal has them.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "unrun"
	OutcomeUnknown  = "unknown"
)

// End records what became of the key. An unrun request leaves the ledger: it
// may be tried again under the same key.
func (l *Ledger) End(k Key, e *Record, outcome string, answer any, size int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := e.home
	s.open--
	e.answer = answer
	if outcome == OutcomeNotRun {
		delete(s.keys, k.Text)
	} else {
		s.todo = append(s.todo, book.KeyOutcome{Key: k.Text, Outcome: outcome, Made: k.CreatedAt.UnixMilli()})
		e.size = size
		l.bytes += size
	}
	close(e.Done)
}

// Answer returns what was answered to a key that is done; nil if it was not kept.
func (l *Ledger) Answer(e *Record) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return e.answer
}

// Unwritten returns the outcomes of a share that the journal does not hold yet.
func (l *Ledger) Unjournaled(n int) []book.KeyOutcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]book.KeyOutcome(nil), l.share(n).todo...)
}

// Written records that the first n outcomes of the share are journalled.
func (l *Ledger) MarkJournaled(share, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.share(share)
	s.todo = s.todo[min(n, len(s.todo)):]
}

// Closed reports whether the share is no longer served and nothing of it runs
// or waits for the journal.
func (l *Ledger) Drained(n int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.share(n)
	return !s.serving && s.open == 0 && len(s.todo) == 0
}

// Drop forgets a share that has another home now.
func (l *Ledger) Drop(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.share(n).keys {
		l.bytes -= e.size
	}
	delete(l.shares, n)
}

// Sweep forgets keys that are older than absence proves anything for, and
// answers beyond what may be kept.
func (l *Ledger) Sweep(now time.Time) {
	const grace = time.Minute
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.shares {
		for key, e := range s.keys {
			select {
			case <-e.Done:
			default:
				continue
			}
			if now.Sub(e.made) > book.KeyRetentionMS*time.Millisecond+grace {
				l.bytes -= e.size
				delete(s.keys, key)
			} else if l.bytes > keepBytes && e.answer != nil {
				l.bytes -= e.size
				e.answer, e.size = nil, 0
			}
		}
	}
}

// Len is the number of keys remembered.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, s := range l.shares {
		n += len(s.keys)
	}
	return n
}
