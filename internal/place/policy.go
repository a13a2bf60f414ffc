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
func (v *PolicyView) over(member string) bool {
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
const urgent = 1e9

// Pack places the most worth on the least capacity.
type Pack struct{}

// Rank is worth for each unit of the zone's time, raised for members below
// their share and by age, so that nothing waits for ever.
func (Pack) Rank(v *PolicyView, it *Item) float64 {
	a := it.Requests[0]
	cost := a.Size.Share(v.Cluster.Total) * est(a).Seconds()
	gain := a.Worth / (cost + tiny)
	fair := 1 / (v.WeightedShare(a.Member) + floorShare)
	waited := v.Now.Sub(a.Submitted)
	return float64(a.Urgency)*urgent + gain*fair*ageing(waited, packAge) + overdue(waited, packPatience)
}

// Score prefers the worker whose free resources have the same proportions as
// the task, is left fullest, and whose accelerators are not wasted on a task
// that wants none.
func (Pack) Score(c *Cluster, w *Worker, a *TaskRequest) float64 {
	return align(w.Free(), w.Capacity, a.Size) - left(w, a) - waste(w, a) - shun(c, w, a)
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
	run := est(a).Seconds() + tiny
	waited := v.Now.Sub(a.Submitted).Seconds()
	ratio := 1 + waited/run
	fair := 1 / (1 + v.WeightedShare(a.Member))
	return float64(a.Urgency)*urgent + ratio*fair/run + overdue(v.Now.Sub(a.Submitted), waitPatience)
}

// Score prefers workers with room, without taking accelerators from those who
// need them.
func (ResponseRatio) Score(c *Cluster, w *Worker, a *TaskRequest) float64 {
	return left(w, a) - 4*waste(w, a) - shun(c, w, a)
}

// Tight is false: work spreads, so that the loss of one worker costs least.
func (ResponseRatio) FullestFirst() bool { return false }

// Strict is false.
func (ResponseRatio) StrictOrder() bool { return false }

// First is the baseline of first come, first served with best fit.
type FIFO struct{}

// Rank is the order of submission, urgent work before the rest.
func (FIFO) Rank(v *PolicyView, it *Item) float64 {
	return float64(it.Requests[0].Urgency)*urgent + v.Now.Sub(it.Requests[0].Submitted).Seconds()
}

// Score is best fit.
func (FIFO) Score(_ *Cluster, w *Worker, a *TaskRequest) float64 { return -left(w, a) }

// Tight is true.
func (FIFO) FullestFirst() bool { return true }

// Strict is true: that is what first come means.
func (FIFO) StrictOrder() bool { return true }

// Short is the baseline of shortest declared run time first with best fit.
type ShortestFirst struct{}

// Rank is the negative of the expected run time.
func (ShortestFirst) Rank(_ *PolicyView, it *Item) float64 {
	return float64(it.Requests[0].Urgency)*urgent - est(it.Requests[0]).Seconds()
}

// Score is best fit.
func (ShortestFirst) Score(_ *Cluster, w *Worker, a *TaskRequest) float64 { return -left(w, a) }

// Tight is true.
func (ShortestFirst) FullestFirst() bool { return true }

// Strict is false.
func (ShortestFirst) StrictOrder() bool { return false }

// Constants of the ranks.
const (
	tiny         = 1e-4
	floorShare   = 0.02             // below this share members count alike
	packAge      = 30 * time.Second // waiting time that doubles an item's rank under pack
	packPatience = 60 * time.Second // waiting time beyond which age decides under pack
	waitPatience = 15 * time.Second // and under wait
	oldGain      = 1e6              // rank for each second beyond the patience
	usualRun     = time.Minute      // assumed where nothing is known
)

func est(a *TaskRequest) time.Duration {
	if a.ExpectedRuntime <= 0 {
		return usualRun
	}
	return a.ExpectedRuntime
}

// ageing grows with the square of the waiting time, so that it overtakes any
// steady stream of worthier items.
func ageing(waited, unit time.Duration) float64 {
	x := waited.Seconds() / unit.Seconds()
	return 1 + x*x
}

// overdue outweighs all but urgency once an item has waited longer than
// patience: from then on the oldest goes first.
func overdue(waited, patience time.Duration) float64 {
	return oldGain * max(0, (waited-patience).Seconds())
}

// align is the cosine-like product of what is free and what is asked, each
// as a fraction of the worker.
func align(free, size, ask operator.Size) float64 {
	return ratio(free.CPU, size.CPU)*ratio(ask.CPU, size.CPU) +
		ratio(free.Memory, size.Memory)*ratio(ask.Memory, size.Memory) +
		ratio(free.Accel, size.Accel)*ratio(ask.Accel, size.Accel)
}

func ratio(n, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// left is how much of the worker stays free once a is on it.
func left(w *Worker, a *TaskRequest) float64 {
	f := w.Free().Sub(a.Size)
	return ratio(f.CPU, w.Capacity.CPU) + ratio(f.Memory, w.Capacity.Memory) + ratio(f.Accel, w.Capacity.Accel)
}

// waste is the free accelerators that a task without need of them would bury.
func waste(w *Worker, a *TaskRequest) float64 {
	if a.Size.Accel > 0 {
		return 0
	}
	return ratio(w.Free().Accel, max(1, w.Capacity.Accel))
}

// shun keeps a task from racks that have one of its job already, if it wants
// that, and from workers on which it has failed.
func shun(c *Cluster, w *Worker, a *TaskRequest) float64 {
	const rack, failed = 10, 100
	v := 0.0
	if a.Spread {
		v += rack * float64(c.racks[a.Job][w.Rack])
	}
	for _, id := range a.Avoid {
		if id == w.ID {
			v += failed
		}
	}
	return v
}
