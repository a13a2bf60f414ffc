package place

import (
	"time"

	"jasminestep/pkg/operator"
)

// Explain counts what keeps a task from the zone's workers now.
type FitCounts struct {
	Fit      int `json:"fit"`      // workers that have room
	Busy     int `json:"busy"`     // large enough, but in use
	Small    int `json:"small"`    // never large enough
	Held     int `json:"held"`     // quarantined, leaving or out of reach
	Reserved int `json:"reserved"` // kept for a gang
	Rack     int `json:"rack"`     // in another rack than asked
}

// Why explains what keeps a from the workers of c.
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
		case w.resv != nil && !w.resv.admits(a, now):
			e.Reserved++
		default:
			e.Fit++
		}
	}
	return e
}

// Reason says what an item waits for.
type WaitReason struct {
	Workers  FitCounts `json:"workers"`            // for its first task
	Before   int       `json:"before"`             // items ranked before it; -1 while it is not ranked
	Share    float64   `json:"share"`              // of the zone that its member holds, by weight
	After    int64     `json:"after,omitempty"`    // not to be placed before, Unix milliseconds
	Reserved int       `json:"reserved,omitempty"` // workers kept for it
	Start    int64     `json:"start,omitempty"`    // when they are expected to be free, Unix milliseconds
}

// Explain says what it waits for.
func (q *Queue) Explain(c *Cluster, it *Item, members map[string]operator.Member, now time.Time) *WaitReason {
	a := it.Requests[0]
	v := &PolicyView{Cluster: c, Members: members, Now: now}
	w := &WaitReason{Workers: CountFits(c, a, now), Before: q.Position(it.Key()), Share: v.WeightedShare(a.Member)}
	if a.NotBefore.After(now) {
		w.After = a.NotBefore.UnixMilli()
	}
	if it.resv != nil {
		w.Reserved, w.Start = len(it.resv.Workers), it.resv.ExpectedStart.UnixMilli()
	}
	return w
}
