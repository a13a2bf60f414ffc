// Package slots manages the slots of the minions that are assigned to this
// entry.
//
// A slot is acquired before a request is sent and released once the request is
// known not to run any more. A request that is abandoned because its answer did
// not arrive in time keeps its slot until the minion reports that it is idle. A
// minion taken over from an entry that may have left requests running is
// quarantined until it reports that it is idle or the maximum run time has
// passed.
package slots

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/fair"
)

// Errors of Acquire. Each of them implies that the request did not run.
var (
	ErrNoMinion  = errors.New("pool has no minion assigned to this entry")
	ErrQueueFull = errors.New("pool queue is full")
	ErrDeadline  = errors.New("no slot before the deadline")
)

type waiter struct {
	ready chan *Minion // buffered; nil if the pool has no usable minion any more
}

type pool struct {
	minions     []*Minion
	queue       fair.Queue[*waiter]
	avgHoldTime time.Duration // moving average of the time that a request holds a slot
}

// Table holds all minions that are assigned to this entry. The zero value is
// empty.
type Table struct {
	mu     sync.Mutex
	pools  map[string]*pool
	byName map[string]*Minion
}

// Assignment assigns a minion to this entry.
type Assignment struct {
	Name            string
	Pool            string
	Addr            string
	Slots           int
	Draining        bool
	QuarantineUntil time.Time // not to be used before, unless it is confirmed idle
}

// SetAssignments replaces the set of assigned minions. It returns the names of
// the draining minions that have no slots in use.
func (t *Table) SetAssignments(assignments []Assignment, queueMax int, now time.Time) (released []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byName == nil {
		t.byName, t.pools = map[string]*Minion{}, map[string]*pool{}
	}
	keep := map[string]bool{}
	for _, h := range assignments {
		keep[h.Name] = true
		m := t.byName[h.Name]
		if m == nil || m.Addr != h.Addr {
			m = &Minion{Name: h.Name, Pool: h.Pool, Addr: h.Addr, Limit: 1, UnusableUntil: h.QuarantineUntil, Quarantined: true}
			t.byName[h.Name] = m
		}
		m.Slots, m.Draining = h.Slots, h.Draining
		if h.Draining && m.Busy == 0 {
			released = append(released, h.Name)
		}
	}
	for name := range t.byName {
		if !keep[name] {
			delete(t.byName, name)
		}
	}
	t.rebuildPools(queueMax)
	for _, p := range t.pools {
		p.dispatch(now)
	}
	return released
}

func (t *Table) rebuildPools(queueMax int) {
	for _, p := range t.pools {
		p.minions = p.minions[:0]
		p.queue.Max = queueMax
	}
	for _, m := range t.byName {
		p := t.pools[m.Pool]
		if p == nil {
			p = &pool{}
			p.queue.Max = queueMax
			t.pools[m.Pool] = p
		}
		p.minions = append(p.minions, m)
	}
}

// accepting reports whether the pool has a minion that is neither draining nor
// leaving.
func (p *pool) accepting() bool {
	for _, m := range p.minions {
		if !m.Draining && !m.Leaving {
			return true
		}
	}
	return false
}

// dispatch assigns free slots to the queued requests in fair order. If the pool
// is no longer accepting, all of them are rejected at once, so that another
// entry can serve them.
func (p *pool) dispatch(now time.Time) {
	if !p.accepting() {
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

// Slot is an acquired slot of a minion.
type Slot struct {
	*Minion
	acquired time.Time
	pool     *pool
}

// Acquire waits for a slot of the pool until the deadline. It fails at once if
// the estimated wait exceeds the deadline.
func (t *Table) Acquire(ctx context.Context, name, member string, weight float64, deadline, now time.Time) (*Slot, error) {
	t.mu.Lock()
	p := t.pools[name]
	if p == nil || !p.accepting() {
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
	if now.Add(p.estimatedWait()).After(deadline) {
		t.mu.Unlock()
		return nil, ErrDeadline
	}
	w := &waiter{ready: make(chan *Minion, 1)}
	it := p.queue.Push(w, member, weight)
	t.mu.Unlock()
	if it == nil {
		return nil, ErrQueueFull
	}
	return t.awaitSlot(ctx, p, it, deadline.Sub(now))
}

func (t *Table) awaitSlot(ctx context.Context, p *pool, it *fair.Item[*waiter], timeout time.Duration) (*Slot, error) {
	timer := time.NewTimer(timeout)
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
	removed := p.queue.Remove(it)
	t.mu.Unlock()
	if !removed {
		// A slot was granted concurrently with the timeout. Release it to the
		// next request.
		m := <-it.Value.ready
		if m == nil {
			return nil, ErrNoMinion
		}
		t.Release(&Slot{m, time.Now(), p}, NotSent, time.Now())
	}
	return nil, ErrDeadline
}

// estimatedWait estimates how long a request that is queued now waits for a
// slot.
func (p *pool) estimatedWait() time.Duration {
	n := 0
	for _, m := range p.minions {
		if !m.Draining && !m.Leaving {
			n += m.Slots
		}
	}
	if n == 0 {
		return 0
	}
	return p.avgHoldTime * time.Duration(p.queue.Len()) / time.Duration(n)
}

// Result is the result of a request that held a slot.
type Result int

// The results.
const (
	NotSent   Result = iota // the request was not sent
	Succeeded               // a complete answer arrived
	Failed                  // the minion refused the request or gave an invalid answer; nothing of it runs any more
	Abandoned               // no answer arrived; the request may still run
)

// Release releases a slot. ejected reports whether the minion was ejected,
// released whether it is draining and has no slots left in use.
func (t *Table) Release(s *Slot, r Result, now time.Time) (ejected, released bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, p := s.Minion, s.pool
	switch r {
	case Succeeded:
		const smoothing = 8
		p.avgHoldTime += (now.Sub(s.acquired) - p.avgHoldTime) / smoothing
		m.ConsecutiveFailures = 0
		m.Limit = min(float64(m.Slots), m.Limit+1)
	case Failed, Abandoned:
		m.ConsecutiveFailures++
		m.Limit = max(1, m.Limit/2)
		if ShouldEject(p.minions, m, now) {
			m.UnusableUntil, m.Quarantined, ejected = now.Add(ejectDuration), false, true
		}
	}
	if r == Abandoned {
		m.Abandoned++
	} else {
		m.Busy--
	}
	p.dispatch(now)
	return ejected, m.Draining && m.Busy == 0
}

// SetLeaving records whether the minion that has a name and an address accepts no
// new requests.
func (t *Table) SetLeaving(name, addr string, leaving bool, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m := t.find(name, addr); m != nil {
		m.Leaving = leaving
		t.pools[m.Pool].dispatch(now)
	}
}

// find returns the minion with a name and an address; another may have the name by
// now.
func (t *Table) find(name, addr string) *Minion {
	if m := t.byName[name]; m != nil && m.Addr == addr {
		return m
	}
	return nil
}

// IdleCheck is a minion that needs to be asked for its status.
type IdleCheck struct {
	Name    string
	Addr    string
	Active  int  // requests of this entry that run there, not counting abandoned ones
	Leaving bool // it accepted no new requests; the next process there may
}

// IdleChecks returns the minions that have abandoned requests, are quarantined or
// are leaving.
func (t *Table) IdleChecks(now time.Time) []IdleCheck {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []IdleCheck
	for _, m := range t.byName {
		if m.Abandoned > 0 || m.Quarantined && now.Before(m.UnusableUntil) || m.Leaving {
			out = append(out, IdleCheck{m.Name, m.Addr, m.Busy - m.Abandoned, m.Leaving})
		}
	}
	return out
}

// ConfirmIdle records that the minion that has a name and an address runs no
// requests other than those known to this entry. It frees the slots of abandoned
// requests and ends a quarantine.
func (t *Table) ConfirmIdle(name, addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.find(name, addr)
	if m == nil {
		return
	}
	m.Busy -= m.Abandoned
	m.Abandoned = 0
	if m.Quarantined {
		m.UnusableUntil = now
	}
	if p := t.pools[m.Pool]; p != nil {
		p.dispatch(now)
	}
}

// DispatchAll assigns slots that became usable with the passing of time, such
// as after an ejection, to queued requests.
func (t *Table) DispatchAll(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.pools {
		p.dispatch(now)
	}
}

// Load is the load of a pool that an entry reports to other entries.
type Load struct {
	Free  int
	Queue int
	Slots int
	Wait  time.Duration // estimate for a request that is queued now
}

// Loads returns the load of every pool.
func (t *Table) Loads(now time.Time) map[string]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := map[string]Load{}
	for name, p := range t.pools {
		l := Load{Queue: p.queue.Len(), Wait: p.estimatedWait()}
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

// InUse returns the number of slots in use, including those of abandoned
// requests.
func (t *Table) InUse() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, m := range t.byName {
		n += m.Busy
	}
	return n
}
