package shard

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"jasminestep/internal/work"
)

// A lasting task is absent from the end of a run that had begun, or from the first
// sign that its minion is lost, until its next run has certainly begun. Meanwhile
// what it waits for is sampled, so that the log and the metrics tell an absence
// that nobody could have shortened from one that this scheduler has caused.

// AbsenceStart is how an absence began.
type AbsenceStart string

// How absences begin.
const (
	MinionLost AbsenceStart = "lost"    // its minion fell silent, or the run was not there any more
	RunFailed  AbsenceStart = "failed"  // the run ended by itself
	RunDrained AbsenceStart = "drained" // the run was stopped because its minion drains
	RunStopped AbsenceStart = "stopped" // the run was stopped for another reason
)

// AbsenceCause is what an absent task waits for.
type AbsenceCause int8

// What absent tasks wait for.
const (
	AwaitsLease       AbsenceCause = iota // the end of the leases of its former minion
	AwaitsAnswer                          // an answer of the placement service
	AwaitsPreemptible                     // room that work which may wait occupies or has reserved
	AwaitsRoom                            // room that other lasting work occupies
	AwaitsMinion                          // a minion that may run it: none is there
	AwaitsAccount                         // the limit of its account
	AwaitsStart                           // its next start, which is being written or sent
	AwaitsOther                           // anything else, like the other members of its gang or a trial
	absenceCauses                         // number of causes
)

var absenceCauseTexts = [absenceCauses]string{"lease", "answer", "preemptible", "room", "minion", "account", "start", "other"}

// String returns the label of the cause.
func (c AbsenceCause) String() string { return absenceCauseTexts[c] }

// Absence is an absence that has ended.
type Absence struct {
	Start AbsenceStart
	Cause AbsenceCause // that lasted longest
	Took  time.Duration
}

// absence is the state of the absence of one task.
type absence struct {
	step    *step
	task    *task
	attempt int // of the run that is gone
	start   AbsenceStart
	since   time.Time
	stored  int64                        // since, on the store's clock in ms; 0 if that is unknown
	sampled time.Time                    // when what it waits for was last sampled
	by      [absenceCauses]time.Duration // how long it has waited for what
	noteAt  time.Time                    // when it is noted next
}

// When an absence is noted.
const (
	absenceNoteAfter    = 6 * time.Second
	absenceNoteInterval = 10 * time.Second // after the first note
)

// beginAbsence records that a lasting task has been absent since a time.
func (s *State) beginAbsence(now, since time.Time, p *step, t *task, start AbsenceStart) {
	if !p.Lasting || t.absence != nil || p.job.state.Terminal() {
		return
	}
	t.absence = &absence{step: p, task: t, attempt: t.attempt, start: start, since: since, sampled: now, noteAt: since.Add(absenceNoteAfter)}
	t.absence.by[AwaitsLease] = max(now.Sub(since), 0)
	if stored, ok := s.StoreClock.Latest(since); ok {
		t.absence.stored = stored
	}
	s.absences = append(s.absences, t.absence)
}

// beginAbsences records that the lasting tasks of a minion that has fallen silent
// are absent.
func (s *State) beginAbsences(now time.Time, m *minion) {
	since := m.lostSince(now)
	for _, r := range m.runs {
		if r.task != nil && r.isCurrent(m) && (!r.confirmedAt.IsZero() || r.renewalMark == 0) {
			s.beginAbsence(now, since, r.step, r.task, MinionLost)
		}
	}
}

// savedAbsence is the absence of the task to persist, nil if there is none.
func (t *task) savedAbsence() *savedAbsence {
	if t.absence == nil || t.absence.stored == 0 {
		return nil
	}
	return &savedAbsence{t.absence.stored, t.absence.start, t.absence.attempt}
}

// inheritAbsence takes over an absence that a former owner has recorded. What the
// task has waited for until now is not known.
func (s *State) inheritAbsence(p *step, t *task, in *savedAbsence) {
	since, ok := s.StoreClock.Reached(in.Since)
	if !ok {
		return
	}
	s.beginAbsence(s.termStart, minTime(since, s.termStart), p, t, in.Start)
	if a := t.absence; a != nil {
		a.stored, a.attempt = in.Since, in.Attempt
		a.by[AwaitsLease], a.by[AwaitsOther] = 0, a.by[AwaitsLease]
	}
}

// stoppedBy is how the absence of a task begins whose run on the minion was stopped.
func stoppedBy(m *minion) AbsenceStart {
	if m.Draining {
		return RunDrained
	}
	return RunStopped
}

// lostSince is when an incarnation of a minion fell silent, or now if it has not.
func (s *State) lostSince(now time.Time, l work.Incarnation) time.Time {
	if m := s.current(l); m != nil {
		return m.lostSince(now)
	}
	return now
}

// lostSince is when the minion fell silent, or now if it has not.
func (m *minion) lostSince(now time.Time) time.Time {
	switch {
	case !m.formerSilence.IsZero():
		return m.formerSilence
	case !m.silentSince.IsZero():
		return m.silentSince
	}
	return now
}

// endAbsence records that a run of a task has certainly begun. If it is the one
// that was taken for lost, the task was never absent.
func (s *State) endAbsence(now time.Time, r *run) {
	if r.task == nil || r.task.absence == nil {
		return
	}
	a := r.task.absence
	r.task.absence = nil
	s.absences = slices.DeleteFunc(s.absences, func(b *absence) bool { return a == b })
	if a.attempt == r.key.attempt {
		return
	}
	s.sampleAbsence(now, a, AwaitsStart)
	s.recordAbsence(now, a)
	s.markChanged(a.step.job) // its row tells of the absence
	if took := now.Sub(a.since); took >= absenceNoteAfter {
		s.note(Note{What: TaskReturns, Job: r.key.task.Job, Task: r.key.task.String(), Attempt: r.key.attempt, Minion: r.task.incarnation.ID, Why: a.describe(now)})
	}
}

func (s *State) recordAbsence(now time.Time, a *absence) {
	cause := AbsenceCause(0)
	for c, d := range a.by {
		if d > a.by[cause] {
			cause = AbsenceCause(c)
		}
	}
	s.Absences = append(s.Absences, Absence{Start: a.start, Cause: cause, Took: now.Sub(a.since)})
}

// sampleAbsences samples what absent tasks wait for, and notes those that have
// been absent for long.
func (s *State) sampleAbsences(now time.Time) {
	causes := map[*step]AbsenceCause{}
	s.absences = slices.DeleteFunc(s.absences, func(a *absence) bool {
		if !a.step.job.state.Terminal() {
			return false
		}
		s.recordAbsence(now, a)
		a.task.absence = nil
		return true
	})
	for _, a := range s.absences {
		cause := AwaitsOther
		if a.task.phase == Placed {
			cause = s.placedCause(a.task)
		} else {
			c, ok := causes[a.step]
			if !ok {
				c = s.waitCause(now, a.step)
				causes[a.step] = c
			}
			cause = c
		}
		s.sampleAbsence(now, a, cause)
		if !now.Before(a.noteAt) {
			a.noteAt = now.Add(absenceNoteInterval)
			s.note(Note{What: TaskAbsent, Job: a.step.job.ID, Task: a.task.id.String(), Attempt: a.attempt, Minion: a.task.incarnation.ID, Why: fmt.Sprintf("%s; now %s: %s", a.describe(now), cause, s.waitState(now, a.step))})
		}
	}
}

func (s *State) sampleAbsence(now time.Time, a *absence, cause AbsenceCause) {
	a.by[cause] += now.Sub(a.sampled)
	a.sampled = now
}

// placedCause is what a task waits for whose run is not known to have begun, or is
// on a silent minion.
func (s *State) placedCause(t *task) AbsenceCause {
	m, r := s.runAt(t.incarnation, runKey{t.id, t.attempt})
	if r == nil {
		return AwaitsOther
	}
	if !m.answered() || !m.silentSince.IsZero() {
		return AwaitsLease
	}
	return AwaitsStart
}

// waitCause is what the waiting tasks of a step wait for.
func (s *State) waitCause(now time.Time, p *step) AbsenceCause {
	if p.overQuota {
		return AwaitsAccount
	}
	need := 1
	if p.Gang {
		need = p.waiting
	}
	var allowed, ready, free, freed int // minions, and places on them
	for _, m := range s.eligibleMinions(p) {
		if p.persistentObstacle(now, m) != noObstacle {
			continue
		}
		allowed++
		n := p.places(m, m.roomBeside(p))
		if elig, _ := p.eligibility(now, m); elig == eligible {
			ready += n
		}
		free += n
		freed += p.places(m, m.roomWithoutPreemptible())
	}
	switch {
	case ready >= need:
		return AwaitsStart
	case free >= need:
		return AwaitsAnswer
	case freed >= need:
		return AwaitsPreemptible
	case p.advice.inFlight > 0 || s.hasUnqueried(now, p):
		return AwaitsAnswer
	case allowed > 0:
		return AwaitsRoom
	}
	return AwaitsMinion
}

// places is how many tasks of the step fit into room on a minion.
func (p *step) places(m *minion, room work.Size) int {
	n := countFitting(room, p.Reserved(), p.waiting)
	if p.PerMinion > 0 {
		n = min(n, p.PerMinion-p.runsOn(m))
	}
	return max(n, 0)
}

// hasUnqueried reports whether a query could name further minions that suit the
// step.
func (s *State) hasUnqueried(now time.Time, p *step) bool {
	return p.job.Advice != nil && slices.ContainsFunc(s.minionsByID(), func(m *minion) bool {
		return !p.advice.queried[m.ID] && p.persistentObstacle(now, m) == noObstacle
	})
}

// roomBeside is the room for the step that nothing occupies or has reserved.
func (m *minion) roomBeside(p *step) work.Size {
	return m.free().Minus(m.reservedByOthers(p)).Minus(m.heldRoom)
}

// roomWithoutPreemptible is the room that the lasting runs of a minion leave.
func (m *minion) roomWithoutPreemptible() work.Size {
	room := m.Capacity
	for _, r := range m.runs {
		if r.step == nil || r.step.mustRun() {
			room = room.Minus(r.size)
		}
	}
	return room
}

// describe tells how the absence began, how long it has lasted and for what the
// task has waited.
func (a *absence) describe(now time.Time) string {
	var by []string
	for c, d := range a.by {
		if d > 0 {
			by = append(by, fmt.Sprintf("%s %v", AbsenceCause(c), d.Round(10*time.Millisecond)))
		}
	}
	return fmt.Sprintf("%s, away for %v: %s", a.start, now.Sub(a.since).Round(10*time.Millisecond), strings.Join(by, ", "))
}
