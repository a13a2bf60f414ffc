// Package quota divides the limit of a client account among the shards that run
// its tasks.
//
// Every shard has a part of the limit, its grant, and starts tasks only within
// it. Grants are kept in rows of the store, one for each shard, and change only by
// a transaction that depends on all of these rows, so their sum never exceeds the
// limit. A shard that needs more takes what nobody has, and writes what it still
// lacks into its row; the others then give back what they don't use.
//
// A gang, or a task of a scarce resource, may need more than an equal division gives
// its shard. Shards take turns then: the one that has waited longest gets enough for
// it, the others divide the rest.
package quota

import (
	"slices"
	"time"

	"jasminestep/internal/work"
)

// Share is the part of an account's limit that one shard has. The zero value has
// nothing and wants nothing.
type Share struct {
	Granted work.Size `json:"g"` // may run at once
	Wanted  work.Size `json:"w"` // the shard would use, where that is more than Granted; else zero

	Least work.Size `json:"l,omitzero"`  // needed to start anything that waits, where an equal division gives less; else zero
	Since int64     `json:"s,omitempty"` // from when Least is needed, in microseconds since 1970
}

// Demand is what an account uses, and would use, in one shard.
type Demand struct {
	Used   work.Size // by runs that may exist
	Needed work.Size // by these and by the tasks that could start now; at least Used
	Least  work.Size // by the smallest of the waiting tasks and gangs; zero if nothing waits
}

// Balance returns the share that a shard should have next, from its present share
// and those of the other shards, by an account's limit of which every one of n
// shards may have an equal part without need. It grows only into what nobody has
// and shrinks only for others that want more, never below what is in use.
func Balance(now time.Time, limit work.Size, own Share, d Demand, others []Share, n int) Share {
	next := Share{}
	if exceedsEqualDivision(limit, d, others) {
		next.Least, next.Since = d.Least.AtMost(limit), own.Since
		if next.Since == 0 {
			next.Since = now.UnixMicro()
		}
	}
	turn := turnOf(&next, others)
	for _, r := range resources {
		in := newBalance(r, limit, d, others, turn)
		in.granted, in.equal = *r(&own.Granted), in.limit/int64(max(n, 1))
		if turn == &next {
			in.least = *r(&next.Least)
			in.needed = max(in.needed, in.least)
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

// exceedsEqualDivision reports whether nothing that waits could start with what an
// equal division of the limit gives the shard, and nothing as large runs already.
func exceedsEqualDivision(limit work.Size, d Demand, others []Share) bool {
	exceeds, served := false, true
	for _, r := range resources {
		least := *r(&d.Least)
		if least == 0 || *r(&limit) == 0 {
			continue
		}
		in := newBalance(r, limit, d, others, nil)
		exceeds = exceeds || least > in.fair(min(max(in.needed, least), in.limit))
		served = served && in.used >= min(least, in.limit)
	}
	return exceeds && !served
}

// turnOf returns the share, own or one of the others, of the shard that has needed
// more than an equal division gives it for longest, or nil if there is none.
func turnOf(own *Share, others []Share) *Share {
	var first *Share
	if own.Since != 0 {
		first = own
	}
	for i := range others {
		if o := &others[i]; o.Since != 0 && (first == nil || o.Since < first.Since) {
			first = o
		}
	}
	return first
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
	least                        int64   // that the shard gets, because it is its turn
	ahead                        int64   // that the shard gets whose turn it is
	equal                        int64   // part of the limit that a shard takes without need
	othersGranted                int64   // sum
	othersWant                   []int64 // what each of the others would use
	lacking                      bool    // some other wants more than it has
}

// newBalance returns the division of a resource among a shard and the others, of
// which one may have its turn.
func newBalance(r func(*work.Size) *int64, limit work.Size, d Demand, others []Share, turn *Share) balance {
	b := balance{limit: *r(&limit), used: *r(&d.Used), needed: *r(&d.Needed)}
	for i := range others {
		o := &others[i]
		granted, wanted, least := *r(&o.Granted), *r(&o.Wanted), int64(0)
		if o == turn {
			least = min(*r(&o.Least), b.limit)
			b.ahead = least
		}
		b.othersGranted += granted
		b.othersWant = append(b.othersWant, max(granted-least, wanted-least, 0))
		b.lacking = b.lacking || max(wanted, least) > granted
	}
	return b
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
		granted = min(granted, max(b.fair(need), b.least))
	}
	return max(granted, min(b.used, b.granted))
}

// fair is what the shard keeps while others want more: all that they leave or,
// if there isn't enough for all, what an equal division gives it, of what the shard
// leaves whose turn it is.
func (b *balance) fair(need int64) int64 {
	wants := append([]int64{need}, b.othersWant...)
	total := int64(0)
	for _, w := range wants {
		total += w
	}
	left := b.limit - b.ahead
	if total <= left {
		return left - (total - need)
	}
	slices.Sort(wants)
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
