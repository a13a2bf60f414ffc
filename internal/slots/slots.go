// Package slots spends the slots of the minions that this entry holds.
//
// A slot is taken before a request is sent and given back once the request
// provably no longer runs. A request that was abandoned, because its answer did
// not come in time, keeps its slot until the minion says that it is idle or the
// longest run time has passed.
package slots

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/fair"
)

// The ways in which a request gets no slot; each proves that it did not run.
var (
	ErrNoMinion  = errors.New("no minion of the pool here")
	ErrQueueFull = errors.New("queue is full")
	ErrDeadline  = errors.New("would not get a slot before its deadline")
)

type waiter struct {
	ready chan *Minion // buffered; nil: there will be no slot here
}

type pool struct {
	minions []*Minion
	queue   fair.Queue[*waiter]
	service time.Duration // smoothed time that a request holds a slot
}

// Table is all minions that this entry holds. The zero value holds none.
type Table struct {
	mu    sync.Mutex
	pools map[string]*pool
	all   map[string]*Minion
}

// Held says that this entry holds a minion.
type Assignment struct {
	Name            string
	Pool            string
	Addr            string
	Slots           int
	Draining        bool
	QuarantineUntil time.Time // not to be used before, unless it is seen idle
}

// Set makes the table hold just these minions. It returns the names of those
// that are to be given up and of which nothing is in use any more.
func (t *Table) SetAssignments(held []Assignment, queueMax int, now time.Time) (released []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.all == nil {
		t.all, t.pools = map[string]*Minion{}, map[string]*pool{}
	}
	keep := map[string]bool{}
	for _, h := range held {
		keep[h.Name] = true
		m := t.all[h.Name]
		if m == nil || m.Addr != h.Addr {
			m = &Minion{Name: h.Name, Pool: h.Pool, Addr: h.Addr, Limit: 1, UnusableUntil: h.QuarantineUntil, Quarantined: true}
			t.all[h.Name] = m
		}
		m.Slots, m.Draining = h.Slots, h.Draining
		if h.Draining && m.Busy == 0 {
			released = append(released, h.Name)
		}
	}
	for name := range t.all {
		if !keep[name] {
			delete(t.all, name)
		}
	}
	t.regroup(queueMax)
	for _, p := range t.pools {
		p.serve(now)
	}
	return released
}

func (t *Table) regroup(queueMax int) {
	for _, p := range t.pools {
		p.minions = p.minions[:0]
		p.queue.Max = queueMax
	}
	for _, m := range t.all {
		p := t.pools[m.Pool]
		if p == nil {
			p = &pool{}
			p.queue.Max = queueMax
			t.pools[m.Pool] = p
		}
		p.minions = append(p.minions, m)
	}
}

// open reports whether the pool has a minion that may come free here.
func (p *pool) open() bool {
	for _, m := range p.minions {
		if !m.Draining && !m.Leaving {
			return true
		}
	}
	return false
}

// serve gives free slots to whoever waits, the fairest first. If there will be
// none here, all are sent away at once, to be served elsewhere.
func (p *pool) serve(now time.Time) {
	if !p.open() {
		for p.queue.Len() > 0 {
			p.queue.Pop().Value.ready <- nil
		}
		return
	}
	for p.queue.Len() > 0 {
		i := PickMinion(p.minions, now)
		if i < 0 {
			return
		}
		p.minions[i].Busy++
		p.queue.Pop().Value.ready <- p.minions[i]
	}
}

// Slot is a taken slot.
type Slot struct {
	*Minion
	taken time.Time
	pool  *pool
}

// Take waits for a slot of the pool until deadline. It refuses at once what
// would come too late.
func (t *Table) Acquire(ctx context.Context, name, member string, weight float64, deadline, now time.Time) (*Slot, error) {
	t.mu.Lock()
	p := t.pools[name]
	if p == nil || !p.open() {
		t.mu.Unlock()
		return nil, ErrNoMinion
	}
	if p.queue.Len() == 0 {
		if i := PickMinion(p.minions, now); i >= 0 {
			m := p.minions[i]
			m.Busy++
			t.mu.Unlock()
			return &Slot{m, now, p}, nil
		}
	}
	if now.Add(p.wait()).After(deadline) {
		t.mu.Unlock()
		return nil, ErrDeadline
	}
	w := &waiter{ready: make(chan *Minion, 1)}
	it := p.queue.Push(w, member, weight)
	t.mu.Unlock()
	if it == nil {
		return nil, ErrQueueFull
	}
	return t.await(ctx, p, it, deadline.Sub(now))
}

func (t *Table) await(ctx context.Context, p *pool, it *fair.Item[*waiter], limit time.Duration) (*Slot, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case m := <-it.Value.ready:
		if m == nil {
			return nil, ErrNoMinion
		}
		return &Slot{m, time.Now(), p}, nil
	case <-ctx.Done():
	case <-timer.C:
	}
	t.mu.Lock()
	gone := p.queue.Remove(it)
	t.mu.Unlock()
	if !gone {
		// A slot came at the last moment; it goes to the next.
		m := <-it.Value.ready
		if m == nil {
			return nil, ErrNoMinion
		}
		t.Release(&Slot{m, time.Now(), p}, NotSent, time.Now())
	}
	return nil, ErrDeadline
}

// wait estimates how long a request that joins the queue now waits for a slot.
func (p *pool) wait() time.Duration {
	n := 0
	for _, m := range p.minions {
		if !m.Draining && !m.Leaving {
			n += m.Slots
		}
	}
	if n == 0 {
		return 0
	}
	return p.service * time.Duration(p.queue.Len()) / time.Duration(n)
}

// Result is how a request that held a slot ended.
type Result int

// The results.
const (
	NotSent   Result = iota // it was not sent
	Succeeded               // a whole answer
	Failed                  // the minion answered wrongly or refused; nothing of the request runs
	Abandoned               // no answer: it may still run
)

// Give gives a slot back. It reports whether the minion was ejected, and
// whether it is to be given up and was idle now.
func (t *Table) Release(s *Slot, r Result, now time.Time) (ejected, released bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, p := s.Minion, s.pool
	switch r {
	case Succeeded:
		const eighth = 8
		p.service += (now.Sub(s.taken) - p.service) / eighth
		m.ConsecutiveFailures = 0
		m.Limit = min(float64(m.Slots), m.Limit+1)
	case Failed, Abandoned:
		m.ConsecutiveFailures++
		m.Limit = max(1, m.Limit/2)
		if ShouldEject(p.minions, m, now) {
			m.UnusableUntil, m.Quarantined, ejected = now.Add(ejectFor), false, true
		}
	}
	if r == Abandoned {
		m.Abandoned++
	} else {
		m.Busy--
	}
	p.serve(now)
	return ejected, m.Draining && m.Busy == 0
}

// Leaving records that a minion wants nothing new.
func (t *Table) MarkLeaving(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.all[name]; m != nil {
		m.Leaving = true
		t.pools[m.Pool].serve(time.Now())
	}
}

// Doubtful is a minion whose idleness somebody should ask for.
type IdleCheck struct {
	Name   string
	Addr   string
	Active int // requests of ours that run there beside the doubtful ones
}

// Doubts lists the minions that have ghosts or are quiet.
func (t *Table) IdleChecks(now time.Time) []IdleCheck {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []IdleCheck
	for _, m := range t.all {
		if m.Abandoned > 0 || m.Quarantined && now.Before(m.UnusableUntil) {
			out = append(out, IdleCheck{m.Name, m.Addr, m.Busy - m.Abandoned})
		}
	}
	return out
}

// Idle records that a minion was seen to run no more than what this entry knows
// of: ghosts are over, and quiet need not last.
func (t *Table) ConfirmIdle(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.all[name]
	if m == nil {
		return
	}
	m.Busy -= m.Abandoned
	m.Abandoned = 0
	if m.Quarantined {
		m.UnusableUntil = now
	}
	if p := t.pools[m.Pool]; p != nil {
		p.serve(now)
	}
}

// Serve gives slots that became free with time to whoever waits.
func (t *Table) DispatchAll(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.serve(now)
	}
}

// Load is what an entry tells others of a pool.
type Load struct {
	Free  int
	Queue int
	Slots int
	Wait  time.Duration // estimate for a request that joins now
}

// Loads returns the load of every pool.
func (t *Table) Loads(now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Load{}
	for name, p := range t.pools {
		l := Load{Queue: p.queue.Len(), Wait: p.wait()}
		for _, m := range p.minions {
			if m.Draining || m.Leaving || now.Before(m.UnusableUntil) {
				continue
			}
			l.Slots += m.Slots
			l.Free += m.Slots - m.Busy
		}
		if len(p.minions) > 0 {
			out[name] = l
		}
	}
	return out
}

// InUse counts the slots taken, ghosts included.
func (t *Table) InUse() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, m := range t.all {
		n += m.Busy
	}
	return n
}
