// Package quota divides the limit of a client account among the shards that run
// its tasks.
//
// Every shard has a part of the limit, its grant, and starts tasks only within
// it. Grants are kept in rows of the store, one for each shard, and change only by
// a transaction that depends on all of these rows, so their sum never exceeds the
// limit. A shard that needs more takes what nobody has, and writes what it still
// lacks into its row; the others then give back what they don't use.
package quota

import (
	"slices"

	"jasminestep/internal/work"
)

// Share is the part of an account's limit that one shard has. The zero value has
// nothing and wants nothing.
type Share struct {
	Granted work.Size `json:"g"` // may run at once
	Wanted  work.Size `json:"w"` // the shard would use, where that is more than Granted; else zero
}

// Demand is what an account uses, and would use, in one shard.
type Demand struct {
	Used   work.Size // by runs that may exist
	Needed work.Size // by these and by the tasks that could start now; at least Used
}

// Balance returns the share that a shard should have next, from its present share
// and those of the other shards, by an account's limit of which every one of n
// shards may have an equal part without need. It grows only into what nobody has
// and shrinks only for others that want more, never below what is in use.
func Balance(limit work.Size, own Share, d Demand, others []Share, n int) Share {
	next := Share{}
	for _, r := range resources {
		var in balance
		in.limit, in.granted, in.used, in.needed = *r(&limit), *r(&own.Granted), *r(&d.Used), *r(&d.Needed)
		in.equal = in.limit / int64(max(n, 1))
		for i := range others {
			in.add(*r(&others[i].Granted), *r(&others[i].Wanted))
		}
		if in.limit == 0 {
			continue
		}
		granted := in.next()
		*r(&next.Granted) = granted
		if need := min(in.needed, in.limit); need > granted {
			*r(&next.Wanted) = in.roundUp(need)
		}
	}
	return next
}

// Allowance is what a shard may run at once of an account. It is less than its
// grant while the limit is lower than the sum of all grants, because it has been
// lowered.
func Allowance(limit work.Size, own Share, others []Share) work.Size {
	out := own.Granted
	for _, r := range resources {
		sum := *r(&own.Granted)
		for i := range others {
			sum += *r(&others[i].Granted)
		}
		if l := *r(&limit); l > 0 && sum > l {
			*r(&out) = int64(float64(*r(&own.Granted)) * float64(l) / float64(sum))
		}
	}
	return out
}

// resources select one resource of a size each.
var resources = []func(*work.Size) *int64{
	func(s *work.Size) *int64 { return &s.CPU },
	func(s *work.Size) *int64 { return &s.Mem },
	func(s *work.Size) *int64 { return &s.GPU },
}

// balance is the division of one resource.
type balance struct {
	limit, granted, used, needed int64
	equal                        int64   // part of the limit that a shard takes without need
	othersGranted                int64   // sum
	othersWant                   []int64 // what each of the others would use
	lacking                      bool    // some other wants more than it has
}

func (b *balance) add(granted, wanted int64) {
	b.othersGranted += granted
	b.othersWant = append(b.othersWant, max(granted, wanted))
	b.lacking = b.lacking || wanted > granted
}

func (b *balance) next() int64 {
	need := min(b.needed, b.limit)
	unassigned := b.limit - b.othersGranted - b.granted
	granted := b.granted
	switch {
	case unassigned > 0 && need > granted:
		spare := max(unassigned-(need-granted), 0)
		granted += min(unassigned, need-granted+spare/2)
	case unassigned > 0 && granted < b.equal && !b.lacking:
		granted = min(granted+unassigned, b.equal)
	}
	if b.lacking {
		granted = min(granted, b.fair(need))
	}
	return max(granted, min(b.used, b.granted))
}

// fair is what the shard keeps while others want more: all that they leave or,
// if there isn't enough for all, what an equal division gives it.
func (b *balance) fair(need int64) int64 {
	wants := append([]int64{need}, b.othersWant...)
	total := int64(0)
	for _, w := range wants {
		total += w
	}
	if total <= b.limit {
		return b.limit - (total - need)
	}
	slices.Sort(wants)
	left := b.limit
	for i, w := range wants {
		part := left / int64(len(wants)-i)
		if w > part {
			return min(need, part)
		}
		left -= w
	}
	return need
}

// wishSteps is the number of steps of the limit in which wishes are written, so
// that rows don't change with every task.
const wishSteps = 32

func (b *balance) roundUp(n int64) int64 {
	step := max(b.limit/wishSteps, 1)
	return min((n+step-1)/step*step, b.limit)
}
