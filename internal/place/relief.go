package place

import (
	"slices"
	"strings"
	"time"

	"jasminestep/pkg/operator"
)

// Relief is a step against a worker that runs short, or against a member that
// holds what another's quota guarantees.
type Mitigation struct {
	Task   string
	Action Action
}

// Step is how a task is made to use less.
type Action string

// The steps, from the mildest.
const (
	Throttle   Action = "throttle"
	Checkpoint Action = "checkpoint"
	Stop       Action = "stop"
)

// Squeeze says what to do on workers whose tasks have grown beyond capacity:
// the least worth is throttled, then checkpointed if that did not help, and
// services, which cannot resume from a checkpoint, are stopped to be restarted
// elsewhere. One step a worker and call, so that each shows its effect first.
func MitigateOvercommit(c *Cluster) []Mitigation {
	var out []Mitigation
	for _, w := range c.Workers {
		if w.Used.Fits(w.Capacity) {
			continue
		}
		al := least(w)
		if al == nil {
			continue
		}
		switch {
		case !al.Throttled:
			al.Throttled = true
			out = append(out, Mitigation{al.Request.Task, Throttle})
		case al.Request.Kind == operator.Service:
			out = append(out, Mitigation{al.Request.Task, Stop})
		default:
			out = append(out, Mitigation{al.Request.Task, Checkpoint})
		}
	}
	slices.SortFunc(out, func(a, b Mitigation) int { return strings.Compare(a.Task, b.Task) })
	return out
}

func least(w *Worker) *Alloc {
	var low *Alloc
	for _, al := range w.Tasks {
		if low == nil || al.Request.Worth < low.Request.Worth || al.Request.Worth == low.Request.Worth && al.Request.Task < low.Request.Task {
			low = al
		}
	}
	return low
}

// reclaimAfter is how long a member must have waited within its quota before
// borrowed capacity is taken back for it.
const reclaimAfter = 2 * time.Second

// Reclaim says which borrowers to checkpoint for items that have waited within
// their member's quota: the latest started of the member most above its share,
// services and gangs excepted. At most one task is taken a call.
func ReclaimQuota(c *Cluster, q *Queue, members map[string]operator.Member, now time.Time) []Mitigation {
	v := &PolicyView{Cluster: c, Members: members, Now: now}
	for _, it := range q.items {
		a := it.Requests[0]
		held := c.MemberUsage[a.Member].Add(a.Size.Times(int64(len(it.Requests))))
		if it.Gang || now.Sub(a.Submitted) < reclaimAfter || !held.Fits(members[a.Member].Quota) {
			continue
		}
		if al := victim(c, v, a); al != nil {
			return []Mitigation{{al.Request.Task, Checkpoint}}
		}
	}
	return nil
}

func victim(c *Cluster, v *PolicyView, a *TaskRequest) *Alloc {
	var best *Alloc
	for _, al := range c.Allocs {
		b := al.Request
		if b.Member == a.Member || b.Kind != operator.Batch || b.Urgency > a.Urgency || !v.over(b.Member) {
			continue
		}
		if al.Worker.Unschedulable || !a.Size.Fits(al.Worker.Free().Add(al.Size)) {
			continue
		}
		if best == nil || better(v, al, best) {
			best = al
		}
	}
	return best
}

func better(v *PolicyView, x, y *Alloc) bool {
	sx, sy := v.WeightedShare(x.Request.Member), v.WeightedShare(y.Request.Member)
	if sx != sy {
		return sx > sy
	}
	if !x.ExpectedEnd.Equal(y.ExpectedEnd) {
		return x.ExpectedEnd.After(y.ExpectedEnd)
	}
	return x.Request.Task < y.Request.Task
}

// Never reports why the item can never be placed, or an empty string. Workers
// that are held for the moment count: they may come back.
func Infeasible(c *Cluster, it *Item) string {
	a := it.Requests[0]
	room := int64(0)
	for _, w := range c.Workers {
		if a.Rack == "" || a.Rack == w.Rack {
			room += TasksThatFit(w.Capacity, a.Size)
		}
	}
	switch {
	case room == 0:
		return "no worker of the zone is large enough for one task"
	case room < int64(len(it.Requests)):
		return "the zone's workers together are too small for the gang"
	}
	return ""
}
