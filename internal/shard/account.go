package shard

import (
	"cmp"
	"slices"
	"time"

	"jasminestep/internal/quota"
	"jasminestep/internal/work"
)

// Jobs of client accounts compete for the minions of a shard. An account runs at
// most its allowance here, which the owner of the shard obtains for it. When not
// all fit, an account that runs its weight's share of the shard goes after the
// others in the same tier, and jobs beyond the rate of an account go after all
// that are late. Nothing is kept free for anybody.

// clientAccount is what a shard knows of a client account.
type clientAccount struct {
	work.Account
	allowance work.Size // may run here at once, of the limited resources
	used      work.Size // by all runs that may exist
	share     float64   // of all room that is due to it by its weight
	active    bool      // has waiting tasks, as of the last decision
	freed     bool      // may start more than at the last decision
	permits   float64   // jobs that it may submit now within its rate, see takePermit
	permitsAt time.Time // when permits was updated; zero if it has submitted nothing
}

// accountNamed returns an account, or nil if name is empty. One that the
// configuration does not list has no limit.
func (s *State) accountNamed(name string) *clientAccount {
	if name == "" {
		return nil
	}
	a := s.accounts[name]
	if a == nil {
		a = &clientAccount{Account: work.Account{Name: name, Weight: 1}}
		if s.accounts == nil {
			s.accounts = map[string]*clientAccount{}
		}
		s.accounts[name] = a
	}
	return a
}

// SetAccounts applies the accounts of a configuration.
func (s *State) SetAccounts(list []work.Account) {
	listed := make(map[string]bool, len(list))
	for _, l := range list {
		listed[l.Name] = true
		a := s.accountNamed(l.Name)
		a.Account, a.freed = l, true
	}
	for name, a := range s.accounts {
		if !listed[name] {
			a.Limit, a.freed = work.Size{}, true
		}
	}
}

// SetAllowance sets what an account may run at once in this shard.
func (s *State) SetAllowance(name string, allowance work.Size) {
	a := s.accountNamed(name)
	a.freed = a.freed || allowance.AtLeast(a.allowance) != a.allowance
	a.allowance = allowance
}

// AccountUse is what one account does in a shard.
type AccountUse struct {
	Name      string
	Demand    quota.Demand
	Allowance work.Size
	Waiting   int // tasks that could start
	Limited   int // steps that the allowance has no room for
}

// AccountUses lists the accounts that have a limit, by name.
func (s *State) AccountUses() []AccountUse {
	uses := make(map[string]*AccountUse, len(s.accounts))
	out := make([]AccountUse, 0, len(s.accounts))
	for _, a := range s.accounts {
		if a.Limit != (work.Size{}) {
			out = append(out, AccountUse{Name: a.Name, Demand: quota.Demand{Used: a.used, Needed: a.used}, Allowance: a.allowance})
		}
	}
	slices.SortFunc(out, func(x, y AccountUse) int { return cmp.Compare(x.Name, y.Name) })
	for i := range out {
		uses[out[i].Name] = &out[i]
	}
	for _, p := range s.queue {
		if p.job.account == nil || !p.runnable() || p.job.state.Terminal() {
			continue
		}
		if u := uses[p.job.account.Name]; u != nil {
			u.Waiting += p.waiting
			n := p.job.account.fitting(u.Demand.Needed, p.Size, p.waiting)
			u.Demand.Needed = u.Demand.Needed.Plus(p.Size.Times(int64(n)))
			u.Demand.Least = p.job.account.lesserUnit(u.Demand.Least, p)
			if p.overQuota {
				u.Limited++
			}
		}
	}
	return out
}

// count adds n runs of a task of the step to what its account uses.
func (a *clientAccount) count(p *step, n int64) {
	if a == nil {
		return
	}
	a.used = a.used.Plus(p.Size.Times(n))
	a.freed = a.freed || n < 0
}

// lesserUnit returns the lesser of two needs: least, and what the smallest unit of a
// step, a task or the whole gang, needs of the limited resources. A unit that the
// limit can never let through does not count.
func (a *clientAccount) lesserUnit(least work.Size, p *step) work.Size {
	var needs [3]int64
	for i, l := range a.limits() {
		if l.limit == 0 {
			continue
		}
		if needs[i] = l.need(p); needs[i] > l.limit {
			return least
		}
	}
	unit := work.Size{CPU: needs[0], Mem: needs[1], GPU: needs[2]}
	if least != (work.Size{}) && dominantShare(least, a.Limit) <= dominantShare(unit, a.Limit) {
		return least
	}
	return unit
}

// fitting returns how many of n tasks of a size fit into the limit beside what is
// needed already. Tasks that one resource leaves no room for need none of the
// others.
func (a *clientAccount) fitting(needed, size work.Size, n int) int {
	for _, l := range a.limits() {
		if l.limit > 0 && l.of(size) > 0 {
			n = min(n, int(max(l.limit-l.of(needed), 0)/l.of(size)))
		}
	}
	return n
}

// startable returns how many waiting tasks of a step the allowance of its account
// leaves room for.
func (a *clientAccount) startable(p *step) int {
	if a == nil || a.Limit == (work.Size{}) {
		return p.waiting
	}
	n := p.waiting
	for _, l := range a.limits() {
		if l.limit == 0 {
			continue
		}
		need, free := l.need(p), l.allowance-l.used
		switch {
		case need == 0:
		case p.Gang && need > free:
			return 0
		case !p.Gang:
			n = min(n, int(max(free, 0)/need))
		}
	}
	return n
}

// accountLimit is one resource of an account.
type accountLimit struct {
	limit, allowance, used int64
	of                     func(work.Size) int64
}

// need is what a task of the step needs, or the whole gang. The last task may exceed
// the limit where nothing smaller is possible.
func (l accountLimit) need(p *step) int64 {
	size := l.of(p.Size)
	need := size
	if p.Gang {
		need *= int64(p.waiting)
	}
	if need > l.limit && need-size <= l.limit {
		return l.limit
	}
	return need
}

func (a *clientAccount) limits() [3]accountLimit {
	return [3]accountLimit{
		{a.Limit.CPU, a.allowance.CPU, a.used.CPU, func(s work.Size) int64 { return s.CPU }},
		{a.Limit.Mem, a.allowance.Mem, a.used.Mem, func(s work.Size) int64 { return s.Mem }},
		{a.Limit.GPU, a.allowance.GPU, a.used.GPU, func(s work.Size) int64 { return s.GPU }},
	}
}

// takePermit reports whether a job that arrives at a time is within the rate of
// the account. window is the time over which the rate is measured.
func (a *clientAccount) takePermit(at time.Time, window time.Duration) bool {
	most := max(a.Weight*window.Seconds(), 1)
	switch {
	case a.permitsAt.IsZero():
		a.permits, a.permitsAt = most, at
	case at.After(a.permitsAt):
		a.permits = min(a.permits+a.Weight*at.Sub(a.permitsAt).Seconds(), most)
		a.permitsAt = at
	}
	if a.permits < 1 {
		return false
	}
	a.permits--
	return true
}

// weighAccounts determines what share of the room is due to each account. Those
// that neither run nor want to run anything have none.
func (s *State) weighAccounts() {
	sum := 0.0
	for _, a := range s.accounts {
		if a.active || a.used != (work.Size{}) {
			sum += a.Weight
		}
	}
	for _, a := range s.accounts {
		a.share = a.Weight / max(sum, a.Weight)
		a.active, a.freed = false, false
	}
}

// runsItsShare reports whether an account runs all that is due to it.
func (v *view) runsItsShare(a *clientAccount) bool {
	return a != nil && dominantShare(a.used, v.room().total) >= a.share
}

// dominantShare is the share of the resource of which used has the largest one.
func dominantShare(used, total work.Size) float64 {
	share := 0.0
	for _, r := range [][2]int64{{used.CPU, total.CPU}, {used.Mem, total.Mem}, {used.GPU, total.GPU}} {
		if r[1] > 0 {
			share = max(share, float64(r[0])/float64(r[1]))
		}
	}
	return share
}
