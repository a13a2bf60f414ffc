package place

import (
	"time"

	"jasminestep/pkg/operator"
)

// PolicyView is the input of a policy besides the item itself: the cluster with
// each member's usage, the members and the current time.
type PolicyView struct {
	Cluster *Cluster
	Members map[string]operator.Member
	Now     time.Time
}

// WeightedShare returns the member's dominant share of the zone divided by its
// weight.
func (v *PolicyView) WeightedShare(member string) float64 {
	return v.Cluster.MemberUsage[member].Share(v.Cluster.Total) / v.Members[member].Share()
}

// overQuota reports whether the member uses more than its quota. All usage of a
// member without a quota is over quota.
func (v *PolicyView) overQuota(member string) bool {
	return !v.Cluster.MemberUsage[member].Fits(v.Members[member].Quota)
}

// Policy ranks queued items and scores the workers that fit them.
// Implementations are stateless; Decide is instantiated for each.
type Policy interface {
	// Rank returns the priority of an item among those of the same urgency that
	// have not begun, or that resume; items with higher ranks are placed first.
	Rank(v *PolicyView, it *Item) float64
	// Score rates a worker that fits; the one with the highest score is chosen.
	Score(c *Cluster, w *Worker, a *TaskRequest) float64
	// FullestFirst reports whether the search starts with the fullest workers.
	FullestFirst() bool
	// StrictOrder reports whether an item that does not fit blocks all items
	// ranked after it.
	StrictOrder() bool
}

// NamedPolicy is a policy under the name by which it is configured and
// documented.
type NamedPolicy struct {
	Name   string
	Doc    string
	Decide func(c *Cluster, q *Queue, members map[string]operator.Member, now time.Time, limit int) []Placement
}

// Policies lists the policies that the cell configuration may name.
var Policies = []NamedPolicy{
	{"pack", "multi-resource alignment; keeps accelerators and whole racks free; ranks by worth per capacity and run time, higher for members with a low share", Decide[Pack]},
	{"wait", "priority with ageing; short learned run times first; spreads tasks over workers", Decide[ResponseRatio]},
	{"first", "baseline: first come, first served in strict order, best fit", Decide[FIFO]},
	{"short", "baseline: shortest declared run time first, best fit", Decide[ShortestFirst]},
}

// PolicyByName returns the policy with the given name, or pack if there is
// none.
func PolicyByName(name string) NamedPolicy {
	for _, p := range Policies {
		if p.Name == name {
			return p
		}
	}
	return Policies[0]
}

// Pack maximizes the worth of the placed tasks per capacity used.
type Pack struct{}

// Rank is the worth per share of the zone and run time. It is raised for
// members with a low share and grows with age, so that no item starves.
func (Pack) Rank(v *PolicyView, it *Item) float64 {
	a := it.Requests[0]
	cost := a.Size.Share(v.Cluster.Total) * expectedRuntime(a).Seconds()
	gain := a.Worth / (cost + epsilon)
	fair := 1 / (v.WeightedShare(a.Member) + minShare)
	waited := v.Now.Sub(a.Submitted)
	return gain*fair*ageFactor(waited, packAgeUnit) + overdueBonus(waited, packMaxWait)
}

// Score prefers workers whose free resources have the same proportions as the
// request, that have little capacity left afterwards, and whose accelerators
// are not stranded by a task that uses none.
func (Pack) Score(c *Cluster, w *Worker, a *TaskRequest) float64 {
	return alignment(w.Free(), w.Capacity, a.Size) - remainingFraction(w, a) - strandedAccel(w, a) - avoidPenalty(c, w, a)
}

// FullestFirst reports true: workers that are already in use are filled first.
func (Pack) FullestFirst() bool { return true }

// StrictOrder reports false.
func (Pack) StrictOrder() bool { return false }

// ResponseRatio minimizes waiting times by placing the item with the highest
// response ratio next.
type ResponseRatio struct{}

// Rank is the response ratio, waiting time over expected run time. Short tasks
// are placed first; an item that has waited longer than responseRatioMaxWait
// precedes them.
func (ResponseRatio) Rank(v *PolicyView, it *Item) float64 {
	a := it.Requests[0]
	run := expectedRuntime(a).Seconds() + epsilon
	waited := v.Now.Sub(a.Submitted).Seconds()
	response := 1 + waited/run
	fair := 1 / (1 + v.WeightedShare(a.Member))
	return response*fair/run + overdueBonus(v.Now.Sub(a.Submitted), responseRatioMaxWait)
}

// Score prefers workers with much free capacity. Stranded accelerators weigh
// four times as much as free capacity.
func (ResponseRatio) Score(c *Cluster, w *Worker, a *TaskRequest) float64 {
	return remainingFraction(w, a) - 4*strandedAccel(w, a) - avoidPenalty(c, w, a)
}

// FullestFirst reports false: tasks are spread, so that losing a worker affects
// few of them.
func (ResponseRatio) FullestFirst() bool { return false }

// StrictOrder reports false.
func (ResponseRatio) StrictOrder() bool { return false }

// FIFO is the baseline of first come, first served with best fit.
type FIFO struct{}

// Rank orders items by time of submission.
func (FIFO) Rank(v *PolicyView, it *Item) float64 {
	return v.Now.Sub(it.Requests[0].Submitted).Seconds()
}

// Score is best fit.
func (FIFO) Score(_ *Cluster, w *Worker, a *TaskRequest) float64 { return -remainingFraction(w, a) }

// FullestFirst reports true.
func (FIFO) FullestFirst() bool { return true }

// StrictOrder reports true: items are never overtaken.
func (FIFO) StrictOrder() bool { return true }

// ShortestFirst is the baseline of shortest expected run time first with best
// fit.
type ShortestFirst struct{}

// Rank orders items by expected run time.
func (ShortestFirst) Rank(_ *PolicyView, it *Item) float64 {
	return -expectedRuntime(it.Requests[0]).Seconds()
}

// Score is best fit.
func (ShortestFirst) Score(_ *Cluster, w *Worker, a *TaskRequest) float64 {
	return -remainingFraction(w, a)
}

// FullestFirst reports true.
func (ShortestFirst) FullestFirst() bool { return true }

// StrictOrder reports false.
func (ShortestFirst) StrictOrder() bool { return false }

// Parameters of the ranks.
const (
	epsilon              = 1e-4
	minShare             = 0.02             // lower shares are not distinguished
	packAgeUnit          = 30 * time.Second // waiting time at which pack doubles the rank of an item
	packMaxWait          = 60 * time.Second // waiting time beyond which pack ranks by age
	responseRatioMaxWait = 15 * time.Second // the same for ResponseRatio
	overdueGain          = 1e6              // rank per second of waiting beyond the maximum
	defaultRuntime       = time.Minute      // assumed if the run time is unknown
)

func expectedRuntime(a *TaskRequest) time.Duration {
	if a.ExpectedRuntime <= 0 {
		return defaultRuntime
	}
	return a.ExpectedRuntime
}

// ageFactor grows with the square of the waiting time, so that an item
// eventually outranks any steady stream of items with higher worth.
func ageFactor(waited, unit time.Duration) float64 {
	x := waited.Seconds() / unit.Seconds()
	return 1 + x*x
}

// overdueBonus outweighs the rest of a rank once an item has waited longer
// than maxWait: from then on the oldest item is placed first.
func overdueBonus(waited, maxWait time.Duration) float64 {
	return overdueGain * max(0, (waited-maxWait).Seconds())
}

// alignment is the dot product of free and requested resources, each as a
// fraction of the worker's capacity.
func alignment(free, size, request operator.Size) float64 {
	return fraction(free.CPU, size.CPU)*fraction(request.CPU, size.CPU) +
		fraction(free.Memory, size.Memory)*fraction(request.Memory, size.Memory) +
		fraction(free.Accel, size.Accel)*fraction(request.Accel, size.Accel)
}

func fraction(n, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// remainingFraction is the capacity of w that stays free once a is placed on
// it, summed over the resources as fractions.
func remainingFraction(w *Worker, a *TaskRequest) float64 {
	f := w.Free().Sub(a.Size)
	return fraction(f.CPU, w.Capacity.CPU) + fraction(f.Memory, w.Capacity.Memory) + fraction(f.Accel, w.Capacity.Accel)
}

// strandedAccel is the fraction of free accelerators of w that would be blocked
// by a task that uses none.
func strandedAccel(w *Worker, a *TaskRequest) float64 {
	if a.Size.Accel > 0 {
		return 0
	}
	return fraction(w.Free().Accel, max(1, w.Capacity.Accel))
}

// avoidPenalty lowers the score of racks that already run a task of the same
// job, if a.Spread is set, and of workers in a.Avoid, on which the task has
// failed before.
func avoidPenalty(c *Cluster, w *Worker, a *TaskRequest) float64 {
	const rack, failed = 10, 100
	v := 0.0
	if a.Spread {
		v += rack * float64(c.rackTasks[a.Job][w.Rack])
	}
	for _, id := range a.Avoid {
		if id == w.ID {
			v += failed
		}
	}
	return v
}
