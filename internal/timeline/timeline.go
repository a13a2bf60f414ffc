// Package timeline records what a process did, and merges what many did into
// one line.
package timeline

import (
	"cmp"
	"slices"
	"strings"
	"sync"
)

// Event is one thing that a process did or noticed.
type Event struct {
	At    int64  `json:"at"` // Unix milliseconds by the clock of VM
	VM    string `json:"vm"`
	Kind  string `json:"kind"` // one of Kinds
	Who   string `json:"who"`  // job, task, request, minion, worker or entry
	Why   string `json:"why,omitempty"`
	Zone  string `json:"zone,omitempty"`
	Epoch int64  `json:"epoch,omitempty"`
	Seq   int64  `json:"seq,omitempty"` // journal row of Zone that holds its cause
	N     int64  `json:"n"`             // running number within VM
}

// Kind documents one kind of event.
type Kind struct {
	Name string
	Doc  string
}

// Kinds lists every kind of event that an entry records.
var Kinds = []Kind{
	{"serve", "an entry began to serve"},
	{"drain", "an entry began its planned stop"},
	{"own", "an entry became a zone's owner"},
	{"depose", "an entry found that it owns the zone no more"},
	{"hand", "an owner gave its zone up in a planned stop"},
	{"adopt", "an entry took over the journal of a zone that is out of sight"},
	{"accept", "a job was accepted"},
	{"cancel", "a job was cancelled"},
	{"start", "a task was given to a worker"},
	{"run", "a worker confirmed that it runs a task"},
	{"end", "an attempt of a task ended"},
	{"stop", "a task is being stopped"},
	{"throttle", "a task was slowed down because its worker runs short"},
	{"hold", "a worker was quarantined, or released from it"},
	{"give", "a minion or a share of the keys was given to an entry"},
	{"eject", "a minion that fails was left out for a while"},
	{"unknown", "the fate of a request could not be told"},
	{"cell", "a configuration came into force"},
	{"peer", "membership changed its opinion of an entry"},
	{"lapse", "the owner's lease lapsed without an answer from the table"},
	{"snap", "a snapshot was saved"},
	{"wake", "the process found that it had been paused"},
}

// size is how many events a process keeps.
const size = 8192

// Ring keeps the latest events of a process. The zero value is ready; a nil
// ring ignores what is added.
type Ring struct {
	mu sync.Mutex
	ev []Event
	n  int64
}

// Add records e under the next running number.
func (r *Ring) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	e.N = r.n
	if len(r.ev) < size {
		r.ev = append(r.ev, e)
		return
	}
	r.ev[int((r.n-1)%size)] = e
}

// Since returns the events after running number n, oldest first.
func (r *Ring) Since(n int64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := max(n, r.n-size); i < r.n; i++ {
		out = append(out, r.ev[int(i%size)])
	}
	return out
}

// Merge puts events of several processes into one order: by zone, epoch and
// journal row where two events have these, since the journal orders causes
// whatever the clocks say, and by time otherwise. Events of one process keep
// their order.
func Merge(lines ...[]Event) []Event {
	all := slices.Concat(lines...)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	// One pass of insertion repairs clock differences within a zone.
	for i := 1; i < len(all); i++ {
		for j := i; j > 0 && after(all[j-1], all[j]); j-- {
			all[j-1], all[j] = all[j], all[j-1]
		}
	}
	return all
}

// after reports whether a, though placed before b, was caused after it.
func after(a, b Event) bool {
	if a.VM == b.VM {
		return a.N > b.N
	}
	return a.Zone == b.Zone && a.Zone != "" && a.Seq != 0 && b.Seq != 0 && a.Seq > b.Seq
}

// About reports whether e concerns what: its subject or process, or a job
// whose task is the subject.
func About(e Event, what string) bool {
	return e.Who == what || e.VM == what || strings.HasPrefix(e.Who, what+"#") || strings.Contains(e.Why, what)
}
