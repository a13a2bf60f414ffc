package shard

import "time"

// A leftover is the original of a copy that a former owner has left running, on a
// minion that its row does not name. It counts against the limit of its account
// until a minion reports it or its end, or its lease has certainly ended.
type leftover struct {
	step  *step
	until time.Time
}

// leaveOver counts the open attempts of a task that was loaded.
func (s *State) leaveOver(p *step, t *task) {
	if p.job.account == nil {
		return
	}
	until := maxTime(s.formerEnd, s.lateEnd(s.termStart))
	for _, a := range t.openAttempts {
		if s.leftovers == nil {
			s.leftovers = map[runKey]leftover{}
		}
		s.leftovers[runKey{t.id, a}] = leftover{p, until}
		p.job.account.count(p, 1)
	}
}

// dropLeftover ends the counting of a run that has been reported.
func (s *State) dropLeftover(k runKey) {
	if l, ok := s.leftovers[k]; ok {
		delete(s.leftovers, k)
		l.step.job.account.count(l.step, -1)
	}
}

// expireLeftovers ends the counting of runs whose leases have ended.
func (s *State) expireLeftovers(now time.Time) {
	for k, l := range s.leftovers {
		if now.After(l.until) {
			s.dropLeftover(k)
		}
	}
}

// lateEnd is when a run has certainly ended whose start was sent until from, and
// may be carried out late, by the next incarnation of its minion.
func (s *State) lateEnd(from time.Time) time.Time {
	return from.Add(s.Limits.MaxOrderDelay + s.slowClock(s.Limits.MaxLease) + leaseMargin)
}

// slowClock is how long a time on the clock of a minion may take.
func (s *State) slowClock(d time.Duration) time.Duration {
	return time.Duration(float64(d) / (1 - s.Limits.MaxClockDrift))
}
