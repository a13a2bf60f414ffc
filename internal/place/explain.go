package place

import (
	"time"

	"jasminestep/pkg/operator"
)

// FitCounts counts the workers of the zone by whether a task can be placed on
// them now.
type FitCounts struct {
	Fit      int `json:"fit"`      // workers that can take the task
	Busy     int `json:"busy"`     // large enough, but in use
	Small    int `json:"small"`    // total capacity too small
	Held     int `json:"held"`     // quarantined, leaving or unreachable
	Reserved int `json:"reserved"` // reserved for a gang, or claimed by tasks that resume
	Rack     int `json:"rack"`     // not in the required rack
}

// CountFits counts which workers of c can take a, and why the others cannot.
func CountFits(c *Cluster, a *TaskRequest, now time.Time) FitCounts {
	var e FitCounts
	for _, w := range c.Workers {
		switch {
		case a.Rack != "" && a.Rack != w.Rack:
			e.Rack++
		case !a.Size.Fits(w.Capacity):
			e.Small++
		case w.Unschedulable:
			e.Held++
		case !a.Size.Fits(w.Free()):
			e.Busy++
		case !c.fits(a, w, now):
			e.Reserved++
		default:
			e.Fit++
		}
	}
	return e
}

// WaitReason describes why an item is still queued.
type WaitReason struct {
	Workers  FitCounts `json:"workers"`            // for its first task
	Before   int       `json:"before"`             // number of items ranked before it
	Share    float64   `json:"share"`              // dominant share of its member, divided by the member's weight
	After    int64     `json:"after,omitempty"`    // earliest time of placement, Unix milliseconds
	Reserved int       `json:"reserved,omitempty"` // number of workers reserved for it
	Start    int64     `json:"start,omitempty"`    // when the reserved workers are expected to be free, Unix milliseconds
}

// Explain returns the reason why a queued item has not been placed.
func (q *Queue) Explain(c *Cluster, it *Item, members map[string]operator.Member, now time.Time) *WaitReason {
	a := it.Requests[0]
	v := &PolicyView{Cluster: c, Members: members, Now: now}
	w := &WaitReason{Workers: CountFits(c, a, now), Before: q.Position(it.Key()), Share: v.WeightedShare(a.Member)}
	if a.NotBefore.After(now) {
		w.After = a.NotBefore.UnixMilli()
	}
	if it.reservation != nil {
		w.Reserved, w.Start = len(it.reservation.Workers), it.reservation.ExpectedStart.UnixMilli()
	}
	return w
}
