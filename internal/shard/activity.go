package shard

import "time"

// Activity describes what a shard does at present.
type Activity struct {
	Waiting        int           // tasks that could run
	Runs           int           // runs that may exist
	Copies         int           // copies in this term
	NeedlessCopies int           // of these, those whose originals ended by themselves
	CopyDelay      time.Duration // silence from which on copies start
}

// Activity returns what the shard does at present.
func (s *State) Activity() Activity {
	a := Activity{Copies: s.copyBudget.started, NeedlessCopies: s.copyBudget.needless, CopyDelay: s.copyBudget.delay}
	for _, p := range s.queue {
		if p.runnable() && !p.job.state.Terminal() {
			a.Waiting += p.waiting
		}
	}
	for _, m := range s.minions {
		a.Runs += len(m.runs)
	}
	return a
}
