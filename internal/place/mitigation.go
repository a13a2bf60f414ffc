package place

import (
	"slices"
	"strings"
	"time"

	"jasminestep/pkg/operator"
)

// Mitigation is an action on a task to relieve an overcommitted worker, or to
// reclaim capacity for another member's quota or for a claim.
type Mitigation struct {
	Task   string
	Action Action
}

// Action is a way to reduce what a task uses on its worker.
type Action string

// The actions, from the mildest to the most severe.
const (
	Throttle   Action = "throttle"
	Checkpoint Action = "checkpoint"
	Move       Action = "move"
)

// MitigateOvercommit returns actions for workers whose tasks have outgrown
// their capacity. On each worker it picks the task of least worth, a service only
// if there is nothing else. The task is
// throttled first. If that was not enough, it is checkpointed; a service, which
// cannot resume from a checkpoint, is to be moved to another worker. Each
// call returns at most one action per worker, so that its effect shows before
// the next.
func MitigateOvercommit(c *Cluster) []Mitigation {
	var out []Mitigation
	for _, w := range c.Workers {
		if w.Used.Fits(w.Capacity) {
			continue
		}
		al := lowestWorth(w)
		if al == nil {
			continue
		}
		switch {
		case !al.Throttled:
			al.Throttled = true
			out = append(out, Mitigation{al.Request.Task, Throttle})
		case al.Request.Kind == operator.Service:
			out = append(out, Mitigation{al.Request.Task, Move})
		default:
			out = append(out, Mitigation{al.Request.Task, Checkpoint})
		}
	}
	slices.SortFunc(out, func(a, b Mitigation) int { return strings.Compare(a.Task, b.Task) })
	return out
}

func lowestWorth(w *Worker) *Alloc {
	var lowest *Alloc
	for _, al := range w.Tasks {
		if lowest == nil || compareYield(al, lowest) < 0 {
			lowest = al
		}
	}
	return lowest
}

// compareYield orders allocations by what is given up first: services last, then
// by worth.
func compareYield(x, y *Alloc) int {
	if service := x.Request.Kind == operator.Service; service != (y.Request.Kind == operator.Service) {
		if service {
			return 1
		}
		return -1
	}
	return compareWorth(x, y)
}

// reclaimDelay is how long an item within its member's quota must have waited
// before borrowed capacity is reclaimed for it, and how long a claim waits for
// batch tasks to end by themselves.
const reclaimDelay = 2 * time.Second

// ReclaimQuota returns which task to checkpoint for an item that has waited
// within its member's quota. Among the members above their quota it chooses the
// one with the highest weighted share, and of its tasks the one expected to end
// last. Services and gangs are exempt. Each call returns at most one task.
func ReclaimQuota(c *Cluster, q *Queue, members map[string]operator.Member, now time.Time) []Mitigation {
	v := &PolicyView{Cluster: c, Members: members, Now: now}
	for _, it := range q.sorted {
		a := it.Requests[0]
		usage := c.MemberUsage[a.Member].Add(a.Size.Times(int64(len(it.Requests))))
		if it.Gang || now.Sub(a.Submitted) < reclaimDelay || !usage.Fits(members[a.Member].Quota) {
			continue
		}
		if al := reclaimVictim(c, v, a); al != nil {
			return []Mitigation{{al.Request.Task, Checkpoint}}
		}
	}
	return nil
}

func reclaimVictim(c *Cluster, v *PolicyView, a *TaskRequest) *Alloc {
	var best *Alloc
	for _, al := range c.Allocs {
		b := al.Request
		if b.Member == a.Member || b.Kind != operator.Batch || b.Urgency > a.Urgency || !v.overQuota(b.Member) {
			continue
		}
		if al.Worker.Unschedulable || !a.Size.Fits(al.Worker.Free().Add(al.Size)) {
			continue
		}
		if best == nil || betterVictim(v, al, best) {
			best = al
		}
	}
	return best
}

func betterVictim(v *PolicyView, x, y *Alloc) bool {
	sx, sy := v.WeightedShare(x.Request.Member), v.WeightedShare(y.Request.Member)
	if sx != sy {
		return sx > sy
	}
	if !x.ExpectedEnd.Equal(y.ExpectedEnd) {
		return x.ExpectedEnd.After(y.ExpectedEnd)
	}
	return x.Request.Task < y.Request.Task
}

// Infeasible returns the reason why the item can never be placed, or an empty
// string. Workers that are unschedulable at the moment are included, since they
// may return.
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
