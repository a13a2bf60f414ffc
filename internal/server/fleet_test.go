package server

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/work"
)

// fleet is a set of in-memory minions. A run takes the time given by its spec.
type fleet struct {
	mu         sync.Mutex
	minions    map[string]*fakeMinion
	violations []string // guarantees of the protocol that were broken
	starts     int

	noisyJob string // each run of it at full speed adds noise to the figures of all runs on its minion
	noise    int64
}

// quietFigure is the figure of a run without noise.
const quietFigure = 10

// figure is that of the runs on the minion; the fleet is locked.
func (f *fleet) figure(m *fakeMinion) int64 {
	n := int64(quietFigure)
	for _, r := range m.runs {
		if r.id.Job == f.noisyJob {
			n += f.noise * int64(r.speed) / 100
		}
	}
	return n
}

type fakeMinion struct {
	born          int64
	startedAt     time.Time
	token         int64
	until         int64
	lastEnd       int64
	lastListedEnd int64 // number of the last end listed in the last report
	lastReport    time.Time
	runs          map[string]*fakeRun
	ends          []work.End
	capacity      int64
	wake          chan struct{}
	crashed       bool // it is gone for good
}

var errCrashed = errors.New("connection refused")

// crash ends a minion for good.
func (f *fleet) crash(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.minions[id].crashed, f.minions[id].runs = true, map[string]*fakeRun{}
}

// add adds a minion.
func (f *fleet) add(id string, room int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.minions[id] = newFakeMinion(room)
}

// maxAckAge is how old a report may be when its ends are acknowledged.
const maxAckAge = 250 * time.Millisecond

type fakeRun struct {
	id      work.TaskID
	attempt int
	cpu     int64
	speed   int // percent; it changes noise, not run time
	endsAt  time.Time
}

func newFleet(n int, room int64) *fleet {
	f := &fleet{minions: map[string]*fakeMinion{}}
	for i := range n {
		f.minions[fmt.Sprintf("m%d", i)] = newFakeMinion(room)
	}
	return f
}

func newFakeMinion(room int64) *fakeMinion {
	return &fakeMinion{born: time.Now().UnixMilli(), startedAt: time.Now(), runs: map[string]*fakeRun{}, capacity: room, wake: make(chan struct{})}
}

func (m *fakeMinion) clock() int64 { return time.Since(m.startedAt).Milliseconds() }

// endRuns ends runs that are complete or whose lease has expired.
func (m *fakeMinion) endRuns() {
	for k, r := range m.runs {
		how := work.Done
		switch {
		case m.clock() >= m.until:
			how = work.LeaseExpired
		case time.Now().Before(r.endsAt):
			continue
		}
		delete(m.runs, k)
		m.lastEnd++
		m.ends = append(m.ends, work.End{N: m.lastEnd, Task: r.id, Attempt: r.attempt, How: how})
	}
}

// Start implements carry.MinionClient. The spec is the run time.
func (f *fleet) Start(_ context.Context, to *work.Minion, s work.Start) (work.Refusal, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.minions[to.ID]
	if m.crashed {
		return work.Other, errCrashed
	}
	m.endRuns()
	if s.Token < m.token {
		return work.Fenced, nil
	}
	m.token = s.Token
	if r := m.runs[s.Task.String()]; r != nil && r.attempt == s.Attempt {
		return work.Accepted, nil
	}
	for id, o := range f.minions {
		o.endRuns()
		if o.runs[s.Task.String()] != nil {
			f.violations = append(f.violations, fmt.Sprintf("task %s runs on %s and was also started on %s", s.Task, id, to.ID))
		}
	}
	d, err := time.ParseDuration(s.Spec)
	if err != nil {
		return work.Other, nil
	}
	f.starts++
	m.runs[s.Task.String()] = &fakeRun{id: s.Task, attempt: s.Attempt, speed: 100, endsAt: time.Now().Add(d)}
	m.until = max(m.until, s.Until)
	return work.Accepted, nil
}

// Stop implements carry.MinionClient.
func (f *fleet) Stop(_ context.Context, to *work.Minion, t work.TaskID, attempt int, token int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.minions[to.ID]
	if r := m.runs[t.String()]; r != nil && r.attempt == attempt && token >= m.token {
		delete(m.runs, t.String())
		m.lastEnd++
		m.ends = append(m.ends, work.End{N: m.lastEnd, Task: t, Attempt: attempt, How: work.Stopped})
	}
	return nil
}

// Throttle implements carry.MinionClient.
func (f *fleet) Throttle(_ context.Context, to *work.Minion, t work.TaskID, attempt, percent int, token int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.minions[to.ID]
	if token < m.token {
		return errors.New("fenced")
	}
	m.token = token
	r := m.runs[t.String()]
	if r == nil || r.attempt != attempt {
		return errors.New("no such run")
	}
	r.speed = percent
	return nil
}

// Renew implements carry.MinionClient.
func (f *fleet) Renew(ctx context.Context, to *work.Minion, token, until, seen int64, wait time.Duration) (work.Report, bool, error) {
	for end := time.Now().Add(wait); ; {
		if f.hasCrashed(to.ID) {
			return work.Report{}, false, errCrashed
		}
		rep, fenced := f.report(to.ID, token, until, seen)
		seen = 0
		if fenced {
			return rep, true, errors.New("fenced")
		}
		if len(rep.Ended) > 0 || time.Now().After(end) {
			return rep, false, nil
		}
		sleep(ctx, 5*time.Millisecond)
		if ctx.Err() != nil {
			return rep, false, ctx.Err()
		}
	}
}

func (f *fleet) report(id string, token, until, seen int64) (work.Report, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.minions[id]
	if token < m.token {
		return work.Report{}, true
	}
	m.token = token
	if seen > m.lastListedEnd {
		f.violations = append(f.violations, fmt.Sprintf("minion %s: acknowledged end %d was not in the last report and may belong to another incarnation", id, seen))
	}
	if age := time.Since(m.lastReport); seen > 0 && age > maxAckAge {
		f.violations = append(f.violations, fmt.Sprintf("minion %s: end %d was acknowledged %v after the report and may belong to another incarnation by now", id, seen, age))
	}
	m.until = max(m.until, until)
	m.endRuns()
	kept := m.ends[:0:0]
	for _, e := range m.ends {
		if e.N > seen {
			kept = append(kept, e)
		}
	}
	m.ends = kept
	m.lastListedEnd, m.lastReport = 0, time.Now()
	for _, e := range kept {
		m.lastListedEnd = e.N
	}
	rep := work.Report{Born: m.born, Clock: m.clock(), Ended: append([]work.End(nil), kept...)}
	for _, r := range m.runs {
		rep.Running = append(rep.Running, work.Run{Task: r.id, Attempt: r.attempt, Percent: int(m.clock()/20) % 100, Figure: f.figure(m)})
	}
	return rep, false
}

func (f *fleet) hasCrashed(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.minions[id].crashed
}

func (f *fleet) running() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, m := range f.minions {
		n += len(m.runs)
	}
	return n
}
