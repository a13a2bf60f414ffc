package shard

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"jasminestep/internal/work"
)

// runState is what is known of a run at a minion.
type runState int8

const (
	unsent    runState = iota // placed; its row is not durable yet or its start has not been sent
	sent                      // its start is in flight
	live                      // it runs
	uncertain                 // its start got no reply, or a previous owner may have sent it
	cancelled                 // placed, and to be given up before it is sent
)

type runKey struct {
	task    work.TaskID
	attempt int
}

func (k runKey) compare(o runKey) int {
	return cmp.Or(strings.Compare(k.task.Job, o.task.Job), cmp.Compare(k.task.Round, o.task.Round), cmp.Compare(k.task.Step, o.task.Step), cmp.Compare(k.task.Index, o.task.Index), cmp.Compare(k.attempt, o.attempt))
}

func (k runKey) String() string { return fmt.Sprintf("%s/%d", k.task, k.attempt) }

type run struct {
	key         runKey
	size        work.Size // room that the run occupies
	step        *step     // nil for a run of an unknown job
	task        *task     // nil for a run of an unknown job
	state       runState
	renewalMark int64     // renewals after this number show the state of the run; 0: inherited from a previous owner
	token       int64     // token of its start, if that was sent in this term
	listed      bool      // a report of this incarnation of its minion has listed it
	stopping    bool      // it is to end
	stopSentAt  time.Time // when the last stop was sent
	placedAt    time.Time
	sentAt      time.Time   // when its start was sent, if by this owner
	confirmedAt time.Time   // when a reply or a report first showed that it has begun
	unreached   bool        // its start certainly did not reach the minion
	fenced      bool        // this incarnation of its minion has answered a higher token than its start had
	survived    bool        // a lasting run that has lasted for lastingProof
	onTrial     bool        // it has to survive before its task is no suspect any more
	copied      bool        // it was left running for a copy, and has not ended by itself
	fateOpen    bool        // it was fresh when its minion fell silent or was doubted
	carried     *accusation // holds if the next incarnation of its minion does not list it
	speed       int         // percentage at which it works, if speedKnown
	speedKnown  bool        // the minion has confirmed speed, or it is that of a start by this owner
	throttledAt time.Time   // when a speed was ordered that has no reply yet
	percent     int         // progress as last reported
	progressAt  time.Time   // when percent last changed
}

// mayHaveBegun reports whether the start of the run has been sent.
func (r *run) mayHaveBegun() bool { return r.state != unsent && r.state != cancelled }

// confirm records that the run has certainly begun.
func (r *run) confirm(now time.Time) {
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
}

// age is how long the run had certainly lasted at a time. Its start may have
// been carried out late, so only the time since its confirmation counts.
func (r *run) age(at time.Time) time.Duration {
	if r.confirmedAt.IsZero() {
		return 0
	}
	return at.Sub(r.confirmedAt)
}

// runsWithoutLease returns the runs of a minion that have certainly ended once all its
// leases have.
func (s *State) runsWithoutLease(now time.Time, m *minion) (out []*run) {
	for _, r := range m.runs {
		if !now.Before(s.mayBeginUntil(m, r)) {
			out = append(out, r)
		}
	}
	return out
}

// dropRuns gives up runs of a minion after they have certainly ended.
func (s *State) dropRuns(now time.Time, m *minion, runs []*run, why string) {
	for _, r := range runs {
		s.remove(m, r)
		s.requeueLost(now, r, why)
	}
}

// requeueLost requeues the task of a run that no longer exists.
func (s *State) requeueLost(now time.Time, r *run, why string) {
	t := r.task
	if t == nil || t.phase != Placed || t.attempt != r.key.attempt {
		return
	}
	s.note(Note{What: RunLost, Job: t.id.Job, Task: t.id.String(), Attempt: t.attempt, Minion: t.incarnation.ID, Why: why})
	if !r.confirmedAt.IsZero() {
		s.beginAbsence(now, s.lostSince(now, t.incarnation), r.step, t, MinionLost)
	}
	s.requeue(r.step, t)
	if r.step.Gang && (r.state == unsent || r.state == sent) && s.repairGang(now, r.step) {
		return // the run has certainly not begun
	}
	s.stopGang(now, r.step)
}

// requeue makes a placed task wait again.
func (s *State) requeue(p *step, t *task) {
	t.phase = Waiting
	t.incarnation = work.Incarnation{}
	p.waiting++
	p.leaving = max(p.leaving-1, 0)
	s.enqueue(p)
	s.markChanged(p.job)
}

// stopGang stops the other runs of a gang that has lost one.
func (s *State) stopGang(now time.Time, p *step) {
	if !p.Gang {
		return
	}
	for _, t := range p.tasks {
		s.stopTask(now, t)
	}
}
