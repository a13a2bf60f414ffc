package shard

import (
	"sort"
	"time"
)

// kindResult is the result of one job kind.
type kindResult struct {
	name                  string
	jobs, inTime, late    int
	worth, owed           float64
	large, largeOwed      float64
	p50, p95              time.Duration
	smallWorth, smallOwed float64
}

func (e kindResult) share() float64 { return e.worth / e.owed }

// results adds up the value by job kind; the value of a job grows with its work.
func (p *replay) results() []kindResult {
	var out []kindResult
	for i := range p.load.kinds {
		k := &p.load.kinds[i]
		e := kindResult{name: k.name}
		var mean float64
		var all []*arrival
		for _, s := range p.arrivals {
			if s.kind == k {
				all = append(all, s)
				mean += s.coreSecs
			}
		}
		if len(all) == 0 {
			continue
		}
		mean /= float64(len(all))
		var times []time.Duration
		for _, s := range all {
			obj := s.objective()
			w := min(k.worth*(0.3+0.7*s.coreSecs/mean), 4*k.worth)
			e.jobs++
			e.owed += w
			t := s.duration
			if t == 0 {
				t = replayEnd
			}
			times = append(times, t)
			switch {
			case s.duration > 0 && t <= obj:
				e.inTime++
				e.worth += w
			case s.duration > 0 && t <= maxLateness*obj:
				e.late++
				e.worth += w / 5
			}
		}
		sort.Slice(times, func(a, b int) bool { return times[a] < times[b] })
		e.p50, e.p95 = times[len(times)/2], times[len(times)*95/100]
		out = append(out, e)
	}
	return out
}

// objective is computed from the actual work, not from the estimates.
func (s *arrival) objective() time.Duration {
	var chain time.Duration
	for i, ws := range s.work {
		var longest time.Duration
		for x, w := range ws {
			if s.firstFails[i][x] && !s.job.Steps[i].Gang {
				w += w / 2
			}
			longest = max(longest, w)
		}
		chain += longest + s.kind.advice.Decide + 30*s.kind.advice.Each
	}
	return time.Duration(s.kind.slack*float64(chain)) + s.kind.target
}
