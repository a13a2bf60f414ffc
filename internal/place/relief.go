package place

import (
	"slices"
	"strings"
	"time"

	"jasminestep/pkg/operator"
)

// Relief is a step against a worker that runs short, or against a member that
// holds what another's quota guarantees.
type Relief struct {
	Task string
	How  Step
}

// Step is how a task is made to use less.
type Step string

// The steps, from the mildest.
const (
	Throttle   Step = "throttle"
	Checkpoint Step = "checkpoint"
	Stop       Step = "stop"
)

// Squeeze says what to do on workers whose tasks have grown beyond capacity:
// the least worth is throttled, then checkpointed if that did not help, and
// services, which cannot resume from a checkpoint, are stopped to be restarted
// elsewhere. One step a worker and call, so that each shows its effect first.
func Squeeze(c *Cluster) []Relief {
	var out []Relief
	for _, w := range c.Workers {
		if w.Used.Fits(w.Cap) {
			continue
		}
		al := least(w)
		if al == nil {
			continue
		}
		switch {
		case !al.Soft:
			al.Soft = true
			out = append(out, Relief{al.Ask.Task, Throttle})
		case al.Ask.Kind == operator.Service:
			out = append(out, Relief{al.Ask.Task, Stop})
		default:
			out = append(out, Relief{al.Ask.Task, Checkpoint})
		}
	}
	slices.SortFunc(out, func(a, b Relief) int { return strings.Compare(a.Task, b.Task) })
	return out
}

func least(w *Worker) *Alloc {
	var low *Alloc
	for _, al := range w.Tasks {
		if low == nil || al.Ask.Worth < low.Ask.Worth || al.Ask.Worth == low.Ask.Worth && al.Ask.Task < low.Ask.Task {
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
func Reclaim(c *Cluster, q *Queue, members map[string]operator.Member, now time.Time) []Relief {
	v := &View{Cluster: c, Members: members, Now: now}
	for _, it := range q.items {
		a := it.Asks[0]
		held := c.Shares[a.Member].Add(a.Size.Times(int64(len(it.Asks))))
		if it.Gang || now.Sub(a.Submitted) < reclaimAfter || !held.Fits(members[a.Member].Quota) {
			continue
		}
		if al := victim(c, v, a); al != nil {
			return []Relief{{al.Ask.Task, Checkpoint}}
		}
	}
	return nil
}

func victim(c *Cluster, v *View, a *Ask) *Alloc {
	var best *Alloc
	for _, al := range c.Allocs {
		b := al.Ask
		if b.Member == a.Member || b.Kind != operator.Batch || b.Urgency > a.Urgency || !v.over(b.Member) {
			continue
		}
		if al.Worker.Held || !a.Size.Fits(al.Worker.Free().Add(al.Size)) {
			continue
		}
		if best == nil || better(v, al, best) {
			best = al
		}
	}
	return best
}

func better(v *View, x, y *Alloc) bool {
	sx, sy := v.Share(x.Ask.Member), v.Share(y.Ask.Member)
	if sx != sy {
		return sx > sy
	}
	if !x.Until.Equal(y.Until) {
		return x.Until.After(y.Until)
	}
	return x.Ask.Task < y.Ask.Task
}

// Never reports why the item can never be placed, or an empty string. Workers
// that are held for the moment count: they may come back.
func Never(c *Cluster, it *Item) string {
	a := it.Asks[0]
	room := int64(0)
	for _, w := range c.Workers {
		if a.Rack == "" || a.Rack == w.Rack {
			room += Room(w.Cap, a.Size)
		}
	}
	switch {
	case room == 0:
		return "no worker of the zone is large enough for one task"
	case room < int64(len(it.Asks)):
		return "the zone's workers together are too small for the gang"
	}
	return ""
}
