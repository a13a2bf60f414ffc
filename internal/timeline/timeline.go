// Package timeline records the events of a process and merges the events of
// several processes into one timeline.
package timeline

import (
	"cmp"
	"slices"
	"strings"
	"sync"
)

// Event is one action or observation of a process.
type Event struct {
	At    int64  `json:"at"` // Unix milliseconds on the clock of VM
	VM    string `json:"vm"`
	Kind  string `json:"kind"` // one of Kinds
	Who   string `json:"who"`  // job, task, request, minion, worker or entry
	Why   string `json:"why,omitempty"`
	Zone  string `json:"zone,omitempty"`
	Epoch int64  `json:"epoch,omitempty"`
	Seq   int64  `json:"seq,omitempty"` // row of Zone's journal that caused the event
	N     int64  `json:"n"`             // sequence number within the process on VM
}

// Kind describes one kind of event.
type Kind struct {
	Name string
	Doc  string
}

// Kinds lists the kinds of event that an entry records.
var Kinds = []Kind{
	{"serve", "an entry started serving"},
	{"drain", "an entry began its planned stop"},
	{"own", "an entry became the owner of a zone"},
	{"depose", "an entry no longer owns the zone"},
	{"hand", "an owner released its zone during a planned stop"},
	{"adopt", "an entry took over the journal of an unreachable zone"},
	{"accept", "a job was accepted"},
	{"cancel", "a job was cancelled"},
	{"start", "a task was assigned to a worker"},
	{"run", "a worker confirmed that it is running a task"},
	{"end", "an attempt of a task ended"},
	{"stop", "a task is being stopped"},
	{"throttle", "a task was throttled because its worker is short of resources"},
	{"hold", "a worker was quarantined or released from quarantine"},
	{"give", "a minion or a share of the keys was granted to an entry"},
	{"eject", "a failing minion was temporarily excluded from serving requests"},
	{"unknown", "the outcome of a request is unknown: it may have run"},
	{"cell", "a configuration took effect"},
	{"peer", "the membership view changed, or an entry was suspected"},
	{"lapse", "the owner's lease expired before the table confirmed a write"},
	{"snap", "a snapshot was saved"},
	{"wake", "the process detected that it had been paused"},
}

// capacity is the number of events that a process keeps.
const capacity = 8192

// Ring is a ring buffer of the latest events of a process. The zero value is
// ready to use; Add on a nil ring does nothing.
type Ring struct {
	mu     sync.Mutex
	events []Event
	n      int64
}

// Add records e under the next sequence number.
func (r *Ring) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
	e.N = r.n
	if len(r.events) < capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[int((r.n-1)%capacity)] = e
}

// Since returns the events that are kept and have a sequence number above n,
// oldest first.
func (r *Ring) Since(n int64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for i := max(n, r.n-capacity); i < r.n; i++ {
		out = append(out, r.events[int(i%capacity)])
	}
	return out
}

// Merge orders the events of several processes. Events of one process keep their
// order. Two events of different processes that were caused by rows of the same
// zone's journal are ordered by row, because the journal orders causes even where
// the clocks of the VMs differ. Other events are ordered by time.
func Merge(timelines ...[]Event) []Event {
	all := slices.Concat(timelines...)
	slices.SortStableFunc(all, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	// The insertion sort corrects clock differences within a zone.
	for i := 1; i < len(all); i++ {
		for j := i; j > 0 && causedAfter(all[j-1], all[j]); j-- {
			all[j-1], all[j] = all[j], all[j-1]
		}
	}
	return all
}

// causedAfter reports whether a, which precedes b by time, was caused after b.
func causedAfter(a, b Event) bool {
	if a.VM == b.VM {
		return a.N > b.N
	}
	return a.Zone == b.Zone && a.Zone != "" && a.Seq != 0 && b.Seq != 0 && a.Seq > b.Seq
}

// About reports whether e concerns subject: e names it in Who, VM or Why, or Who
// is a task of the job subject.
func About(e Event, subject string) bool {
	return e.Who == subject || e.VM == subject || strings.HasPrefix(e.Who, subject+"#") || strings.Contains(e.Why, subject)
}
