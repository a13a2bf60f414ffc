package shard

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// A task may crash the minion that starts it, and all that runs there with it.
// Being there is no proof, since most runs on a minion that crashes are
// bystanders. So the tasks of runs that had just begun are suspects: each is
// started next on a minion where nothing else begins until it has survived, and
// a task that crashes its minion there as well is given up with its job. Until
// it is known whether a silent minion has crashed, a suspect is not started
// again and again.

// Limits of suspicion and trials.
const (
	freshWindow    = 500 * time.Millisecond // from its start, in which a run is suspected if its minion crashes
	trialTimeout   = 2 * time.Second        // for a start on trial whose outcome stays open, so that the minion is not blocked
	lastingProof   = 10 * time.Second       // after which a lasting run has not crashed its minion
	suspectCrashes = 2                      // a task with as many is a suspect even if its runs were not fresh
	fateTimeout    = 10 * time.Second       // from its silence, in which a minion is expected to show whether it has crashed
)

// How many crashes are enough to give a task up. It must not be given up after fewer than
// two, and a minion that crashes may have ended the run just before, which nobody has heard.
// So one more is needed. The fourth leaves it fewer starts than it may have, for those that
// a previous owner could not record.
const (
	provenCrashes   = 3 // one of them certain and one on trial
	unprovenCrashes = 4 // one of them certain or on trial
	maxDoubts       = 5 // none of them certain
)

// crashRecord is what is known of crashes of minions under a task. It is part
// of the progress row.
type crashRecord struct {
	Crashes int  `json:"n,omitempty"` // minions that crashed while a run of the task was there
	Doubts  int  `json:"d,omitempty"` // minions that may have crashed, or on which the run may not have begun, since the last survived trial
	Suspect bool `json:"s,omitempty"` // its next start is a trial
	Proven  bool `json:"t,omitempty"` // one of the crashes followed a start on trial
}

// doubts is the number of minions that may have crashed under the task.
func (t *task) doubts() int { return t.crash.Doubts + len(t.openCopies) }

// guilty reports whether the task is given up.
func (t *task) guilty() bool {
	c := &t.crash
	n := c.Crashes + t.doubts()
	switch {
	case c.Crashes == 0:
		return n >= maxDoubts || n >= unprovenCrashes && c.Proven
	case c.Proven:
		return n >= provenCrashes
	}
	return n >= unprovenCrashes
}

// needsTrial reports whether the next start of the task is a trial.
func (t *task) needsTrial() bool { return t.crash.Suspect || t.openFates > 0 }

// held reports whether the task is not started before more is known of the
// silent minions with fresh runs of it. It is not if there is one such minion
// and no other reason to suspect the task.
func (t *task) held() bool {
	if t.guilty() {
		return true
	}
	open := t.openFates + t.unsettled
	if open == 1 && t.unsettled == 1 && t.crash.Crashes+t.crash.Doubts == 1 {
		return false
	}
	return open > 1 || open == 1 && t.crash.Suspect
}

// savedCrash is the record to persist, nil if it is empty.
func (t *task) savedCrash() *crashRecord {
	c := t.crash
	c.Suspect = t.needsTrial()
	if c == (crashRecord{}) {
		return nil
	}
	return &c
}

// savedOpenCopies lists the attempts left for copies of which the next owner
// should know that their minions may have crashed.
func (t *task) savedOpenCopies(j *job) []int {
	if len(t.openAttempts) == 0 {
		return nil
	}
	out := slices.Clone(t.openCopies)
	for _, c := range j.copied {
		if c.run.task == t && c.run.fateOpen && c.exists() && !c.run.isCurrent(c.minion) {
			out = append(out, c.run.key.attempt)
		}
	}
	return out
}

// closeOpenCopy records that a minion has shown what became of a run that a
// previous owner had left for a copy: it has not crashed under it.
func (s *State) closeOpenCopy(p *step, k runKey) {
	if k.task.Index < 0 || k.task.Index >= len(p.tasks) {
		return
	}
	t := p.tasks[k.task.Index]
	if i := slices.Index(t.openCopies, k.attempt); i >= 0 {
		t.openCopies = slices.Delete(t.openCopies, i, i+1)
		s.markChanged(p.job)
	}
}

// clearDoubts forgets all doubts once the task has shown that it crashes no minion.
func (t *task) clearDoubts() { t.crash.Doubts, t.openCopies = 0, nil }

// openFates marks the fresh runs of a minion that has fallen silent: it may have
// crashed under one of them.
func (m *minion) openFates(now time.Time) {
	for _, r := range m.runs {
		m.openFate(now, r)
	}
}

func (m *minion) openFate(now time.Time, r *run) {
	if r.task == nil || r.fateOpen || m.Draining || !r.mayHaveBegun() || r.unreached || r.age(now) >= freshWindow {
		return
	}
	r.fateOpen = true
	r.task.openFates++
}

func (s *State) closeFate(r *run) {
	if !r.fateOpen {
		return
	}
	r.fateOpen = false
	r.task.openFates--
	if r.copied && !r.step.job.state.Terminal() {
		s.markChanged(r.step.job)
	}
}

// closeFates clears the marks of a minion that has not crashed.
func (s *State) closeFates(m *minion) {
	for _, r := range m.runs {
		s.closeFate(r)
	}
}

// accusation is what the crash of a minion says about one run there.
type accusation struct {
	run      *run
	minion   string
	inFlight bool // its start had no reply yet
	begun    bool // it had certainly begun
	crashed  bool // it is certain that the minion has crashed
	fresh    bool // it had begun shortly before
	onTrial  bool
	age      time.Duration
	waits    bool // it is unsettled, and the fate of its minion is awaited
}

// accuseRuns returns the accusations that follow from the crash of a minion. A
// minion that drains stops as planned.
func (s *State) accuseRuns(now time.Time, m *minion) []accusation {
	if m.Draining {
		return nil
	}
	at := m.silentSince
	if at.IsZero() {
		at = now
	}
	var out []accusation
	for _, r := range m.runs {
		switch {
		case r.task == nil || !r.mayHaveBegun() || r.unreached:
		case r.carried != nil:
			out = append(out, *r.carried)
		default:
			age, begun := r.age(at), !r.confirmedAt.IsZero()
			out = append(out, accusation{run: r, minion: m.ID, inFlight: r.state == sent, begun: begun, crashed: true, fresh: age < freshWindow, onTrial: r.onTrial, age: age})
		}
	}
	return onePerTask(out)
}

// onePerTask keeps one accusation for each task, that about its newest run: a
// copy may have come to the minion of the original.
func onePerTask(as []accusation) []accusation {
	slices.SortFunc(as, func(a, b accusation) int { return cmp.Compare(b.run.key.attempt, a.run.key.attempt) })
	seen := map[*task]bool{}
	return slices.DeleteFunc(as, func(a accusation) bool {
		was := seen[a.run.task]
		seen[a.run.task] = true
		return was
	})
}

// doubtRuns returns the accusations that follow when the lease of runs on a silent
// minion ends: the fresh ones are suspected, but nothing is proven.
func (s *State) doubtRuns(now time.Time, m *minion, ended []*run) []accusation {
	as := s.accuseRuns(now, m)
	as = slices.DeleteFunc(as, func(a accusation) bool {
		unknown := m.clockAt.IsZero() && !a.begun && a.run.task.needsTrial()
		return !a.run.fateOpen && !unknown || !slices.Contains(ended, a.run)
	})
	for i := range as {
		as[i].crashed = false
	}
	return as
}

// keepUnsettled keeps the accusations that follow from the end of a lease until
// the minion shows whether it has crashed. The tasks of runs that had begun wait
// for that, and so does the verdict on any task.
func (m *minion) keepUnsettled(as []accusation) {
	for _, a := range as {
		if a.inFlight && !a.begun || a.run.carried != nil {
			continue // not counted, or about the incarnation before
		}
		a.waits = true
		a.run.task.await(&a, 1)
		m.unsettled = append(m.unsettled, a)
	}
}

// await counts an accusation for which the fate of its minion is awaited.
func (t *task) await(a *accusation, n int) {
	t.openDoubts += n
	if a.begun {
		t.unsettled += n
	}
}

// endWaits lets the tasks of unsettled accusations wait no longer.
func (m *minion) endWaits() {
	for i := range m.unsettled {
		if a := &m.unsettled[i]; a.waits {
			a.waits = false
			a.run.task.await(a, -1)
		}
	}
}

// fateAwaited reports whether the fate of the minion is awaited.
func (m *minion) fateAwaited() bool {
	return slices.ContainsFunc(m.unsettled, func(a accusation) bool { return a.waits })
}

// settle records what became of a minion whose lease had ended: it has crashed,
// or it answers again.
func (s *State) settle(now time.Time, m *minion, crashed bool) {
	as := m.dropUnsettled()
	for i := range as {
		a := &as[i]
		if a.run.step.job.state.Terminal() || a.run.task.phase == Finished {
			continue
		}
		c := &a.run.task.crash
		c.Doubts = max(c.Doubts-1, 0) // none is left if the task has survived a trial since
		s.markChanged(a.run.step.job)
		if crashed && !m.Draining {
			a.crashed = true
			s.accuseTask(now, a)
		}
	}
}

// dropUnsettled returns the unsettled accusations, which are kept no longer.
func (m *minion) dropUnsettled() []accusation {
	m.endWaits()
	as := m.unsettled
	m.unsettled = nil
	return as
}

// accuse records accusations, once their runs are removed.
func (s *State) accuse(now time.Time, as []accusation) {
	for i := range as {
		s.accuseTask(now, &as[i])
	}
}

func (s *State) accuseTask(now time.Time, a *accusation) {
	t, p := a.run.task, a.run.step
	if p.job.state.Terminal() || t.phase == Finished {
		return
	}
	s.markChanged(p.job)
	c := &t.crash
	if p.Lasting && a.age >= lastingProof {
		*c = crashRecord{}
		t.clearDoubts()
		return
	}
	n := Note{What: CrashSuspected}
	switch {
	case a.begun && a.crashed:
		n = Note{What: CrashUnderRun}
		c.Crashes++
	case !a.inFlight:
		c.Doubts++
	}
	n.Job, n.Task, n.Attempt, n.Minion, n.Why = t.id.Job, t.id.String(), a.run.key.attempt, a.minion, a.why()
	s.note(n)
	c.Suspect = c.Suspect || a.fresh || !a.begun || !a.crashed || c.Crashes >= suspectCrashes
	c.Proven = c.Proven || a.crashed && !a.inFlight && a.fresh && a.onTrial
	s.charge(p, t, now)
}

// verdict is a task that is given up unless it is known in time that minions have
// not crashed under it.
type verdict struct {
	step      *step
	task      *task
	notBefore time.Time
}

// charge adds a verdict on the task if it is guilty.
func (s *State) charge(p *step, t *task, notBefore time.Time) {
	known := func(v verdict) bool { return v.task == t }
	if t.guilty() && !slices.ContainsFunc(s.verdicts, known) {
		s.verdicts = append(s.verdicts, verdict{p, t, notBefore})
	}
}

// judge gives up the tasks that are guilty, once no silent minion can clear them any
// more.
func (s *State) judge(now time.Time) {
	s.verdicts = slices.DeleteFunc(s.verdicts, func(v verdict) bool {
		t, j := v.task, v.step.job
		switch {
		case j.state.Terminal() || t.phase == Finished || !t.guilty():
			return true
		case t.openDoubts > 0 || now.Before(v.notBefore):
			return false
		}
		s.note(Note{What: TaskGivenUp, Job: t.id.Job, Task: t.id.String(), Attempt: t.attempt, Why: fmt.Sprintf("%d minions crashed, %d may have", t.crash.Crashes, t.doubts())})
		s.finishJob(now, j, JobFailed)
		return true
	})
}

// why describes the accusation in the log.
func (a *accusation) why() string {
	at := a.age.Round(time.Millisecond).String() + " after it had begun"
	if a.onTrial {
		return "on trial, " + at
	}
	return at
}

// postponeCarried leaves accusations about runs that the minion's next
// incarnation may have until its first report, and returns the others.
func (s *State) postponeCarried(as []accusation) []accusation {
	return slices.DeleteFunc(as, func(a accusation) bool {
		if a.run.state != uncertain {
			return false
		}
		a.run.carried = &a
		return true
	})
}
