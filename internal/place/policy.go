package place

import (
	"time"

	"jasminestep/pkg/operator"
)

// View is what a policy may look at besides the item: how much of the zone each
// member holds.
type PolicyView struct {
	Cluster *Cluster
	Members map[string]operator.Member
	Now     time.Time
}

// Share is the member's dominant share of the zone divided by its weight.
func (v *PolicyView) WeightedShare(member string) float64 {
	return v.Cluster.MemberUsage[member].Share(v.Cluster.Total) / v.Members[member].Share()
}

// over reports whether the member holds more than its quota; a member without
// a quota borrows all it has.
func (v *PolicyView) overQuota(member string) bool {
	return !v.Cluster.MemberUsage[member].Fits(v.Members[member].Quota)
}

// Policy orders what waits and chooses among workers that fit. Implementations
// are stateless values; Decide is instantiated for each.
type Policy interface {
	// Rank of an item; the highest is placed first.
	Rank(v *PolicyView, it *Item) float64
	// Score of a worker that fits; the highest is taken.
	Score(c *Cluster, w *Worker, a *TaskRequest) float64
	// Tight policies look at the fullest workers first.
	FullestFirst() bool
	// Strict policies let nothing pass an item that does not fit.
	StrictOrder() bool
}

// Known is one policy as it is listed, documented and chosen by name.
type NamedPolicy struct {
	Name   string
	Doc    string
	Decide func(c *Cluster, q *Queue, members map[string]operator.Member, now time.Time, most int) []Placement
}

// Policies lists what a cell's configuration may name.
var Policies = []NamedPolicy{
	{"pack", "multi-resource alignment, accelerators and whole racks kept free, worth per member's share", Decide[Pack]},
	{"wait", "priority with ageing, short work first on learned run times, spread", Decide[ResponseRatio]},
	{"first", "baseline: first come, best fit, nothing overtakes", Decide[FIFO]},
	{"short", "baseline: shortest declared run time first, best fit", Decide[ShortestFirst]},
}

// Find returns the policy of that name; an empty name is pack.
func PolicyByName(name string) NamedPolicy {
	for _, p := range Policies {
		if p.Name == name {
			return p
		}
	}
	return Policies[0]
}

// urgent outranks everything that the other terms of a rank can add up to.
const urgencyWeight = 1e9

// Pack places the most worth on the least capacity.
type Pack struct{}

// Rank is worth for each unit of the zone's time, raised for members below
// their share and by age, so that nothing waits for ever.
func (Pack) Rank(v *PolicyView, it *Item) float64 {
	a := it.Requests[0]
	cost := a.Size.Share(v.Cluster.Total) * expectedRuntime(a).Seconds()
	gain := a.Worth / (cost + epsilon)
	fair := 1 / (v.WeightedShare(a.Member) + minShare)
	waited := v.Now.Sub(a.Submitted)
	return float64(a.Urgency)*urgencyWeight + gain*fair*ageFactor(waited, packAgeUnit) + overdueBonus(waited, packMaxWait)
}

// Score prefers the worker whose free resources have the same proportions as
// the task, is left fullest, and whose accelerators are not wasted on a task
// that wants none.
func (Pack) Score(c *Cluster, w *Worker, a *TaskRequest) float64 {
	return alignment(w.Free(), w.Capacity, a.Size) - remainingFraction(w, a) - strandedAccel(w, a) - avoidPenalty(c, w, a)
}

// Tight is true: fill what is already in use.
func (Pack) FullestFirst() bool { return true }

// Strict is false.
func (Pack) StrictOrder() bool { return false }

// Wait keeps waiting short.
type ResponseRatio struct{}

// Rank is the response ratio: waiting time against expected run time. Short
// work goes first, and whatever has waited long enough goes before it.
func (ResponseRatio) Rank(v *PolicyView, it *Item) float64 {
	a := it.Requests[0]
	run := expectedRuntime(a).Seconds() + epsilon
	waited := v.Now.Sub(a.Submitted).Seconds()
	response := 1 + waited/run
	fair := 1 / (1 + v.WeightedShare(a.Member))
	return float64(a.Urgency)*urgencyWeight + response*fair/run + overdueBonus(v.Now.Sub(a.Submitted), responseRatioMaxWait)
}

// Score prefers workers with room, without taking accelerators from those who
// need them.
func (ResponseRatio) Score(c *Cluster, w *Worker, a *TaskRequest) float64 {
	return remainingFraction(w, a) - 4*strandedAccel(w, a) - avoidPenalty(c, w, a)
}

// Tight is false: work spreads, so that the loss of one worker costs least.
func (ResponseRatio) FullestFirst() bool { return false }

// Strict is false.
func (ResponseRatio) StrictOrder() bool { return false }

// First is the baseline of first come, first served with best fit.
type FIFO struct{}

// Rank is the order of submission, urgent work before the rest.
func (FIFO) Rank(v *PolicyView, it *Item) float64 {
	return float64(it.Requests[0].Urgency)*urgencyWeight + v.Now.Sub(it.Requests[0].Submitted).Seconds()
}

// Score is best fit.
func (FIFO) Score(_ *Cluster, w *Worker, a *TaskRequest) float64 { return -remainingFraction(w, a) }

// Tight is true.
func (FIFO) FullestFirst() bool { return true }

// Strict is true: that is what first come means.
func (FIFO) StrictOrder() bool { return true }

// Short is the baseline of shortest declared run time first with best fit.
type ShortestFirst struct{}

// Rank is the negative of the expected run time.
func (ShortestFirst) Rank(_ *PolicyView, it *Item) float64 {
	return float64(it.Requests[0].Urgency)*urgencyWeight - expectedRuntime(it.Requests[0]).Seconds()
}

// Score is best fit.
func (ShortestFirst) Score(_ *Cluster, w *Worker, a *TaskRequest) float64 {
	return -remainingFraction(w, a)
}

// Tight is true.
func (ShortestFirst) FullestFirst() bool { return true }

// Strict is false.
func (ShortestFirst) StrictOrder() bool { return false }

// Constants of the ranks.
const (
	epsilon              = 1e-4
	minShare             = 0.02             // below this share members count alike
	packAgeUnit          = 30 * time.Second // waiting time that doubles an item's rank under pack
	packMaxWait          = 60 * time.Second // waiting time beyond which age decides under pack
	responseRatioMaxWait = 15 * time.Second // and under wait
	overdueGain          = 1e6              // rank for each second beyond the patience
	defaultRuntime       = time.Minute      // assumed where nothing is known
)

func expectedRuntime(a *TaskRequest) time.Duration {
	if a.ExpectedRuntime <= 0 {
		return defaultRuntime
	}
	return a.ExpectedRuntime
}

// ageing grows with the square of the waiting time, so that it overtakes any
// steady stream of worthier items.
func ageFactor(waited, unit time.Duration) float64 {
	x := waited.Seconds() / unit.Seconds()
	return 1 + x*x
}

// overdue outweighs all but urgency once an item has waited longer than
// patience: from then on the oldest goes first.
func overdueBonus(waited, maxWait time.Duration) float64 {
	return overdueGain * max(0, (waited-maxWait).Seconds())
}

// align is the cosine-like product of what is free and what is asked, each
// as a fraction of the worker.
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

// left is how much of the worker stays free once a is on it.
func remainingFraction(w *Worker, a *TaskRequest) float64 {
	f := w.Free().Sub(a.Size)
	return fraction(f.CPU, w.Capacity.CPU) + fraction(f.Memory, w.Capacity.Memory) + fraction(f.Accel, w.Capacity.Accel)
}

// waste is the free accelerators that a task without need of them would bury.
func strandedAccel(w *Worker, a *TaskRequest) float64 {
	if a.Size.Accel > 0 {
		return 0
	}
	return fraction(w.Free().Accel, max(1, w.Capacity.Accel))
}

// shun keeps a task from racks that have one of its job already, if it wants
// that, and from workers on which it has failed.
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
