package shard

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"jasminestep/internal/work"
)

// Outlook tells where the tasks of a job that is not submitted would go now.
type Outlook struct {
	Account []string      `json:"account,omitempty"` // what holds the job back for its account's sake
	Steps   []StepOutlook `json:"steps"`             // those that come after no other
	Later   int           `json:"later"`             // number of the other steps
}

// StepOutlook tells where the tasks of a step would go now. Times are in
// milliseconds.
type StepOutlook struct {
	Step      int            `json:"step"`
	Tasks     int            `json:"tasks"`
	Estimate  int64          `json:"estimate"`            // run time of a task, by the client
	RunTime   int64          `json:"runtime"`             // expected run time of a task
	Ahead     int            `json:"ahead"`               // waiting tasks that would be considered before
	Allowed   int            `json:"allowed"`             // tasks that may start at once within what the shard has of the account's limit
	Now       []string       `json:"now,omitempty"`       // minions that could take a task now, best first, at most outlookMinions
	NowCount  int            `json:"free"`                // number of those minions
	Full      int            `json:"full"`                // other minions that suit the step, without room
	Obstacles map[string]int `json:"obstacles,omitempty"` // minions that get no task, by reason
	Asks      bool           `json:"asks,omitempty"`      // the placement service has to name the minions that are allowed first
	Start     int64          `json:"start"`               // when the first task is expected to start, or the whole gang; -1 if unknown
}

// outlookMinions is the number of minions that an outlook names.
const outlookMinions = 5

// unknownStart is StepOutlook.Start if it is unknown.
const unknownStart = -1

// Outlook returns where the tasks of a job would go. The state does not change.
func (s *State) Outlook(now, wall time.Time, j *work.Job) Outlook {
	plain := *j
	plain.Advice = nil // which minions are allowed is not known before the placement service is asked
	n := &job{Job: &plain, state: Queued, rounds: map[int]*round{}, arrivedAt: now, account: s.accounts[j.Account]}
	r := s.newRound(n, 0)
	n.rounds[0] = r
	v := &view{s: s, now: now, send: now.Add(s.writeTime), ms: s.minionsByID()}
	var out Outlook
	if a := n.account; a != nil {
		permits := *a
		n.excess = !permits.takePermit(now, s.Limits.RateWindow)
		out.Account = v.accountReasons(n)
	}
	for _, p := range r.steps {
		if !p.runnable() {
			out.Later++
			continue
		}
		o := v.stepOutlook(s.candidate(now, wall, p), wall)
		o.Asks = j.Advice != nil
		out.Steps = append(out.Steps, o)
	}
	return out
}

// accountReasons tells what holds a job back for its account's sake.
func (v *view) accountReasons(j *job) (out []string) {
	a := j.account
	if j.excess {
		out = append(out, fmt.Sprintf("account %s is beyond its rate: the job goes after all that are within theirs", a.Name))
	}
	if v.runsItsShare(a) {
		out = append(out, fmt.Sprintf("account %s runs %.3f of the room and %.3f is due to it: the job goes after those of other accounts", a.Name, dominantShare(a.used, v.room().total), a.share))
	}
	if a.Limit != (work.Size{}) {
		out = append(out, fmt.Sprintf("account %s uses %v and may use %v here, of its limit of %v", a.Name, a.used, a.allowance, a.Limit))
	}
	return out
}

func (v *view) stepOutlook(c candidate, wall time.Time) StepOutlook {
	p := c.step
	p.urgent = v.isUrgent(c)
	o := StepOutlook{
		Step: p.index, Tasks: p.Tasks, Estimate: p.Estimate.Milliseconds(), RunTime: p.runTime.Milliseconds(),
		Ahead: v.tasksAhead(c, wall), Allowed: p.job.account.startable(p), Obstacles: map[string]int{}, Start: unknownStart,
	}
	free := v.scoreMinions(p)
	o.NowCount = len(free)
	for _, sm := range free[:min(len(free), outlookMinions)] {
		o.Now = append(o.Now, sm.ID)
	}
	for _, m := range v.ms {
		if b := p.obstacle(v.now, v.send, m); b != noObstacle {
			o.Obstacles[obstacleTexts[b]]++
		} else {
			o.Full++
		}
	}
	o.Full -= o.NowCount
	p.waiting += o.Ahead // as if the tasks ahead were of this step too
	slots, first := v.slots(p), o.Ahead
	if p.Gang {
		first += p.Tasks - 1
	}
	if o.Allowed > 0 && first < len(slots) {
		o.Start = slots[first].freeIn.Milliseconds()
	}
	return o
}

// tasksAhead counts the waiting tasks that are considered before a candidate and
// are not held back by the limits of their accounts.
func (v *view) tasksAhead(c candidate, wall time.Time) int {
	n := 0
	for _, p := range v.s.queue {
		if p.waiting == 0 || p.job.state.Terminal() || p.overQuota || !p.runnable() {
			continue
		}
		if v.s.candidate(v.now, wall, p).compare(c) < 0 {
			n += p.waiting
		}
	}
	return n
}

// Text describes the outlook for a reader, one fact a line.
func (o Outlook) Text() []string {
	out := slices.Clone(o.Account)
	for _, p := range o.Steps {
		for _, l := range p.text() {
			out = append(out, fmt.Sprintf("step %d: %s", p.Step, l))
		}
	}
	if o.Later > 0 {
		out = append(out, fmt.Sprintf("%d steps come later, after others", o.Later))
	}
	return out
}

func (o StepOutlook) text() (out []string) {
	out = append(out, fmt.Sprintf("%d tasks of some %d ms each (%d ms by the job's own estimate)", o.Tasks, o.RunTime, o.Estimate))
	switch {
	case o.Start == 0:
		out = append(out, "would start now")
	case o.Start > 0:
		out = append(out, fmt.Sprintf("would start in some %d ms, when room becomes free", o.Start))
	case o.Allowed == 0:
		out = append(out, "would wait until runs of its account end, or another service gives back part of the limit")
	case o.NowCount+o.Full == 0:
		out = append(out, "would wait: no minion suits it at present")
	default:
		out = append(out, "would wait longer than can be foreseen: more tasks go first than end soon")
	}
	if o.Allowed < o.Tasks {
		out = append(out, fmt.Sprintf("what this service may use of its account's limit has room for %d of %d tasks; more is asked for once they wait", o.Allowed, o.Tasks))
	}
	if o.Ahead > 0 {
		out = append(out, fmt.Sprintf("%d waiting tasks go first", o.Ahead))
	}
	if o.Asks {
		out = append(out, "the placement service is asked first and may rule out minions")
	}
	out = append(out, fmt.Sprintf("%d minions have room now (best first: %v), %d that suit it are full", o.NowCount, o.Now, o.Full))
	for _, why := range slices.Sorted(maps.Keys(o.Obstacles)) {
		out = append(out, fmt.Sprintf("%d minions %s", o.Obstacles[why], why))
	}
	return out
}
