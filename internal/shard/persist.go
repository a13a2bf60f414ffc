package shard

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sort"
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// ProgressTable has a row for each job that has begun, in the part of its service.
const ProgressTable = "progress"

// ProgressKey names the row of a job's progress.
func ProgressKey(service, id string) table.Key {
	return table.Key{Table: ProgressTable, Part: service, Name: id}
}

// savedTask is a task in a row.
type savedTask struct {
	Phase    Phase  `json:"p,omitempty"`
	Attempt  int    `json:"a,omitempty"`
	Failures int    `json:"f,omitempty"`
	Minion   string `json:"m,omitempty"`
	Born     int64  `json:"b,omitempty"`
	Saved    string `json:"c,omitempty"`
	Open     []int  `json:"o,omitempty"`
}

type savedRound struct {
	K     int           `json:"k,omitempty"`
	Done  bool          `json:"d,omitempty"`
	Steps [][]savedTask `json:"s,omitempty"`
	May   [][]string    `json:"y,omitempty"` // by step: minions that may run it, if advice about it is dear
}

type progress struct {
	State  JobState     `json:"st"`
	Begun  bool         `json:"b,omitempty"`
	Rounds []savedRound `json:"r,omitempty"`
}

// row encodes a job's progress.
func (j *job) row(service string) (table.Row, error) {
	p := progress{State: j.state, Begun: j.begun}
	if !j.state.Over() {
		for _, r := range j.rounds {
			p.Rounds = append(p.Rounds, r.save())
		}
		sort.Slice(p.Rounds, func(a, b int) bool { return p.Rounds[a].K < p.Rounds[b].K })
	}
	b, err := json.Marshal(p)
	if err != nil {
		return table.Row{}, fmt.Errorf("encode progress of %s: %w", j.ID, err)
	}
	return table.Row{Key: ProgressKey(service, j.ID), Value: b}, nil
}

func (r *round) save() savedRound {
	out := savedRound{K: r.k, Done: r.left == 0}
	if out.Done {
		return out
	}
	for _, p := range r.steps {
		var ts []savedTask
		if p.left > 0 {
			for _, t := range p.tasks {
				ts = append(ts, savedTask{t.phase, t.attempt, t.failures, t.life.ID, t.life.Born, t.saved, t.open})
			}
		}
		out.Steps = append(out.Steps, ts)
		if may := p.may(); len(may) > 0 {
			for len(out.May) < p.index {
				out.May = append(out.May, nil)
			}
			out.May = append(out.May, may)
		}
	}
	return out
}

// may lists the minions that are known to be allowed, for a successor that would
// have to ask again: of steps that wait and about which questions are long.
func (p *step) may() []string {
	if p.waiting == 0 || !p.dear() {
		return nil
	}
	return slices.Sorted(maps.Keys(p.advice.good))
}

// dear says that a question about the step takes long.
func (p *step) dear() bool { return p.job.Advice != nil && p.job.Advice.Decide >= dearFrom }

// dearFrom is the time for a question from which on its answer is kept.
const dearFrom = 300 * time.Millisecond

// check says what in the row cannot be of the job.
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
			}
		}
	}
	return nil
}

// Load takes in a job as a predecessor left it; row is nil if it had not begun. A
// job whose row makes no sense is not taken in: what it has done is not known.
func (s *State) Load(now time.Time, j *work.Job, row []byte) error {
	if row == nil {
		s.Submit(now, j)
		return nil
	}
	var p progress
	if err := json.Unmarshal(row, &p); err != nil {
		return fmt.Errorf("progress of %s: %w", j.ID, err)
	}
	if err := p.check(j); err != nil {
		return fmt.Errorf("progress of %s: %w", j.ID, err)
	}
	s.Submit(now, j)
	n := s.jobs[j.ID]
	n.state, n.begun = p.State, p.Begun
	if n.state.Over() {
		n.begun, n.ended = true, now
		s.ended = append(s.ended, n)
		s.showNow(n)
		return nil
	}
	for _, r := range p.Rounds {
		n.next = max(n.next, r.K+1)
		if r.Done {
			n.rounds[r.K] = &round{k: r.K}
			n.finished++
			continue
		}
		s.addRound(n, s.loadRound(n, r))
	}
	s.showNow(n)
	return nil
}

func (s *State) loadRound(j *job, in savedRound) *round {
	r := newRound(j, in.K)
	for i, ts := range in.Steps {
		p := r.steps[i]
		if len(ts) == 0 && p.Tasks > 0 {
			p.left, p.waiting = 0, 0
			r.left--
			for _, t := range p.tasks {
				t.phase = Finished
			}
			continue
		}
		for x, t := range ts {
			s.loadTask(p, p.tasks[x], t)
		}
		if i < len(in.May) && len(in.May[i]) > 0 {
			p.advice.know(in.May[i])
		}
	}
	return r
}

func (s *State) loadTask(p *step, t *task, in savedTask) {
	t.attempt, t.failures, t.saved, t.open = in.Attempt, in.Failures, in.Saved, in.Open
	switch in.Phase {
	case Finished:
		t.phase = Finished
		p.left--
		p.waiting--
	case Placed:
		t.phase = Placed
		p.waiting--
		t.life = work.Incarnation{ID: in.Minion, Born: in.Born}
		m := s.minions[in.Minion]
		if m == nil {
			m = s.newMinion(work.Minion{Incarnation: t.life})
		}
		r := &run{key: runKey{t.id, t.attempt}, size: p.Reserved(), step: p, task: t, state: unsure}
		if m.Born == in.Born {
			m.add(r)
			return
		}
		s.carry(m, r) // its start may have reached the minion's next life
	}
}

// Take returns what is to be made durable now, and starts a new batch. To be
// called when no earlier batch is under way.
func (s *State) Take() (Batch, error) {
	if err := s.encode(); err != nil {
		return Batch{}, err
	}
	b := s.batch
	s.batch = Batch{Seen: map[work.Incarnation]int64{}}
	return b, nil
}

// encode adds the progress of all jobs that have changed to the batch.
func (s *State) encode() error {
	var packed []*job
	for i, j := range s.changed {
		j.dirty = false
		s.show(j)
		if i >= s.Limits.Rows && !j.state.Over() {
			packed = append(packed, j)
			continue
		}
		r, err := j.row(s.Service)
		if err != nil {
			return err
		}
		s.unpack(j)
		s.batch.Rows = append(s.batch.Rows, r)
	}
	s.changed = s.changed[:0]
	if len(packed) == 0 {
		return nil
	}
	return s.pack(packed)
}

// Orders returns what may be done at once.
func (s *State) Orders() Orders {
	o := s.now
	s.now = Orders{}
	return o
}

// writeWeight is the weight of the newest write in the usual time of one.
const writeWeight = 0.3

// Durable tells that a write that had begun at began is durable now.
func (s *State) Durable(now, began time.Time) {
	s.writing += time.Duration(writeWeight * float64(now.Sub(began)-s.writing))
	if began.After(s.durable) {
		s.durable = began
	}
}

// SavedState reads the state of a job from its row.
func SavedState(row []byte) (JobState, error) {
	var p progress
	if err := json.Unmarshal(row, &p); err != nil {
		return "", fmt.Errorf("progress: %w", err)
	}
	return p.State, nil
}
