package shard

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// ProgressTable has a row for each job that has begun, in the part of its
// service.
const ProgressTable = "progress"

// ProgressKey names the row of a job's progress.
func ProgressKey(service, id string) table.Key {
	return table.Key{Table: ProgressTable, Part: service, Name: id}
}

// savedTask is the encoding of a task in a progress row.
type savedTask struct {
	Phase        Phase         `json:"p,omitempty"`
	Attempt      int           `json:"a,omitempty"`
	Failures     int           `json:"f,omitempty"`
	Minion       string        `json:"m,omitempty"`
	Born         int64         `json:"b,omitempty"`
	Place        int           `json:"n,omitempty"` // in progress.Minions, from 1, instead of Minion and Born
	Saved        string        `json:"c,omitempty"`
	OpenAttempts []int         `json:"o,omitempty"`
	OpenCopies   []int         `json:"y,omitempty"` // of these, those whose minions may have crashed
	Crash        *crashRecord  `json:"x,omitempty"`
	Absence      *savedAbsence `json:"w,omitempty"`
}

// savedMinion is the encoding of an incarnation that tasks refer to.
type savedMinion struct {
	ID   string `json:"i"`
	Born int64  `json:"b"`
}

// savedAbsence is the encoding of an absence.
type savedAbsence struct {
	Since   int64        `json:"s"` // on the store's clock in ms
	Start   AbsenceStart `json:"h"`
	Attempt int          `json:"a"` // of the run that is gone
}

type savedRound struct {
	K        int           `json:"k,omitempty"`
	Done     bool          `json:"d,omitempty"`
	Steps    [][]savedTask `json:"s,omitempty"`
	Eligible [][]string    `json:"y,omitempty"` // by step: minions eligible to run it, for steps with slow advice
}

type progress struct {
	State   JobState      `json:"st"`
	Begun   bool          `json:"b,omitempty"`
	Rounds  []savedRound  `json:"r,omitempty"`
	Minions []savedMinion `json:"m,omitempty"` // only if packed: those that tasks refer to
}

// row encodes a job's progress.
func (j *job) row(service string) (table.Row, error) {
	p := progress{State: j.state, Begun: j.begun}
	if !j.state.Terminal() {
		for _, r := range j.rounds {
			p.Rounds = append(p.Rounds, r.save())
		}
		sort.Slice(p.Rounds, func(a, b int) bool { return p.Rounds[a].K < p.Rounds[b].K })
	}
	b, err := p.encode()
	if err != nil {
		return table.Row{}, fmt.Errorf("encode progress of %s: %w", j.ID, err)
	}
	return table.Row{Key: ProgressKey(service, j.ID), Value: b}, nil
}

func (r *round) save() savedRound {
	out := savedRound{K: r.number, Done: r.unfinished == 0}
	if out.Done {
		return out
	}
	for _, p := range r.steps {
		var ts []savedTask
		if p.unfinished > 0 {
			for _, t := range p.tasks {
				ts = append(ts, t.save(p))
			}
		}
		out.Steps = append(out.Steps, ts)
		if may := p.savedEligible(); len(may) > 0 {
			for len(out.Eligible) < p.index {
				out.Eligible = append(out.Eligible, nil)
			}
			out.Eligible = append(out.Eligible, may)
		}
	}
	return out
}

func (t *task) save(p *step) savedTask {
	return savedTask{
		Phase: t.phase, Attempt: t.attempt, Failures: t.failures, Minion: t.incarnation.ID, Born: t.incarnation.Born, Saved: t.checkpoint,
		OpenAttempts: t.openAttempts, OpenCopies: t.savedOpenCopies(p.job), Crash: t.savedCrash(), Absence: t.savedAbsence(),
	}
}

// savedEligible lists the minions known to be eligible, so that a successor need
// not query again. It covers steps that wait, or whose tasks last and so may have
// to start again at any time, and whose queries are slow.
func (p *step) savedEligible() []string {
	if p.waiting == 0 && !p.Lasting || !p.slowAdvice() {
		return nil
	}
	return slices.Sorted(maps.Keys(p.advice.eligible))
}

// slowAdvice reports whether a query about the step takes long.
func (p *step) slowAdvice() bool { return p.job.Advice != nil && p.job.Advice.Decide >= slowAdviceFrom }

// slowAdviceFrom is the query duration from which on the answer is persisted.
const slowAdviceFrom = 300 * time.Millisecond

// check validates that the row can belong to the job.
func (p *progress) check(j *work.Job) error {
	for _, r := range p.Rounds {
		if r.K < 0 || r.K >= j.Rounds() || len(r.Steps) > len(j.Steps) {
			return fmt.Errorf("round %d with %d steps", r.K, len(r.Steps))
		}
		for i, ts := range r.Steps {
			if len(ts) > 0 && len(ts) != j.Steps[i].Tasks {
				return fmt.Errorf("step %d with %d tasks, not %d", i, len(ts), j.Steps[i].Tasks)
			}
			for _, t := range ts {
				if t.Phase < Waiting || t.Phase > Finished {
					return fmt.Errorf("step %d with a task in phase %d", i, t.Phase)
				}
				if t.Crash != nil && (t.Crash.Crashes < 0 || t.Crash.Doubts < 0) {
					return fmt.Errorf("step %d with a task with %d crashes, %d doubtful", i, t.Crash.Crashes, t.Crash.Doubts)
				}
			}
		}
	}
	return nil
}

// Load adds a job as a previous owner left it; row is nil if it had not begun. A
// job with an invalid row is rejected, because what it has already done is
// unknown. wall is the time of day.
func (s *State) Load(now, wall time.Time, j *work.Job, row []byte) error {
	if row == nil {
		s.Submit(acceptedAt(now, wall, j), j)
		return nil
	}
	p, err := decodeProgress(row)
	if err != nil {
		return fmt.Errorf("progress of %s: %w", j.ID, err)
	}
	if err := p.check(j); err != nil {
		return fmt.Errorf("progress of %s: %w", j.ID, err)
	}
	s.Submit(acceptedAt(now, wall, j), j)
	n := s.jobs[j.ID]
	n.state, n.begun = p.State, p.Begun
	if n.state.Terminal() {
		n.begun = true
		s.batch.Ended = append(s.batch.Ended, n.status())
		s.publishNow(n)
		return nil
	}
	for _, r := range p.Rounds {
		n.nextRound = max(n.nextRound, r.K+1)
		if r.Done {
			n.rounds[r.K] = &round{number: r.K}
			n.finished++
			continue
		}
		s.addRound(n, s.loadRound(n, r))
	}
	s.publishNow(n)
	return nil
}

// acceptedAt is when the job was accepted, on the owner's clock. The clocks of
// the entries differ, so a job may seem to come from the future.
func acceptedAt(now, wall time.Time, j *work.Job) time.Time {
	if j.Accepted == 0 {
		return now
	}
	age := wall.Sub(time.UnixMilli(j.Accepted))
	return now.Add(-max(age, 0))
}

func (s *State) loadRound(j *job, in savedRound) *round {
	r := s.newRound(j, in.K)
	for i, ts := range in.Steps {
		p := r.steps[i]
		if len(ts) == 0 && p.Tasks > 0 {
			p.unfinished, p.waiting = 0, 0
			r.unfinished--
			for _, t := range p.tasks {
				t.phase = Finished
			}
			continue
		}
		for x, t := range ts {
			s.loadTask(p, p.tasks[x], t)
		}
		if i < len(in.Eligible) && len(in.Eligible[i]) > 0 {
			p.advice.restore(in.Eligible[i])
		}
	}
	return r
}

func (s *State) loadTask(p *step, t *task, in savedTask) {
	t.attempt, t.failures, t.checkpoint, t.openAttempts = in.Attempt, in.Failures, in.Saved, in.OpenAttempts
	t.openCopies = in.OpenCopies
	s.leaveOver(p, t)
	p.failures += in.Failures
	if in.Crash != nil {
		t.crash = *in.Crash
	}
	if in.Phase != Finished {
		s.charge(p, t, s.termStart.Add(fateTimeout))
	}
	if in.Absence != nil && in.Phase != Finished {
		s.inheritAbsence(p, t, in.Absence)
	}
	switch in.Phase {
	case Finished:
		t.phase, p.succeeded = Finished, true
		p.unfinished--
		p.waiting--
	case Placed:
		t.phase = Placed
		p.waiting--
		t.incarnation = work.Incarnation{ID: in.Minion, Born: in.Born}
		m := s.minions[in.Minion]
		if m == nil {
			m = s.newMinion(work.Minion{Incarnation: t.incarnation})
		}
		r := &run{key: runKey{t.id, t.attempt}, size: p.Reserved(), step: p, task: t, state: uncertain}
		if m.Born == in.Born {
			m.add(r)
			return
		}
		r.carried = &accusation{run: r, minion: m.ID, fresh: true}
		s.carryOver(s.termStart, m, r) // its start may have reached the next incarnation of the minion
	}
}

// TakeBatch returns the changes to make durable now and starts a new batch. It
// must not be called while an earlier batch is being written.
func (s *State) TakeBatch() (Batch, error) {
	if err := s.encode(); err != nil {
		return Batch{}, err
	}
	if err := s.saveLearned(s.decidedAt); err != nil {
		return Batch{}, err
	}
	if err := s.saveLeases(); err != nil {
		return Batch{}, err
	}
	if err := s.saveCalled(); err != nil {
		return Batch{}, err
	}
	s.deleteStaleRows()
	s.promiseLease = s.lease()
	b := s.batch
	s.batch = Batch{AckedEnds: map[work.Incarnation]int64{}}
	return b, nil
}

// encode adds the progress of all changed jobs to the batch.
func (s *State) encode() error {
	var packed []*job
	for i, j := range s.changed {
		j.dirty = false
		s.publish(j)
		if i >= s.Limits.MaxRows && !j.state.Terminal() {
			packed = append(packed, j)
			continue
		}
		r, err := j.row(s.Service)
		if err != nil {
			return err
		}
		s.leaveBundle(j)
		s.batch.Rows = append(s.batch.Rows, r)
		if j.state.Terminal() {
			s.batch.Ended = append(s.batch.Ended, j.status())
		}
	}
	s.changed = s.changed[:0]
	if len(packed) == 0 {
		return nil
	}
	return s.packBundles(packed)
}

// TakeActions returns the actions that need no durable write first.
func (s *State) TakeActions() Actions {
	o := s.actions
	s.actions = Actions{}
	return o
}

// writeWeight is the weight of the newest write in the average write time.
const writeWeight = 0.3

// ParseJobState reads the state of a job from its progress row.
func ParseJobState(row []byte) (JobState, error) {
	p, err := decodeProgress(row)
	if err != nil {
		return "", fmt.Errorf("progress: %w", err)
	}
	return p.State, nil
}
