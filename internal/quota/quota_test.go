package quota

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jasminestep/internal/work"
)

// store is the plain oracle: rows that change only if all are as the writer knew
// them.
type store struct {
	shares  []Share
	version int
}

// member is one shard's owner, with what it has read and what it may use.
type member struct {
	id      int
	seen    []Share
	version int
	own     Share // lesser of all that the store may have for it
	claimed bool
	late    *write // a write of it without a reply
	used    work.Size
	needed  work.Size
}

type write struct {
	share   Share
	version int
}

func (s *store) apply(id int, w write) bool {
	if s.version != w.version {
		return false
	}
	s.shares[id] = w.share
	s.version++
	return true
}

func (m *member) read(s *store) {
	m.seen, m.version = append([]Share(nil), s.shares...), s.version
}

func (m *member) others() []Share {
	var out []Share
	for i, s := range m.seen {
		if i != m.id {
			out = append(out, s)
		}
	}
	return out
}

func (m *member) allowance(limit work.Size) work.Size {
	if !m.claimed {
		return work.Size{}
	}
	return Allowance(limit, m.own, m.others())
}

// balance writes what the shard should have. The reply may be lost, and the write
// be done later.
func (m *member) balance(s *store, limit work.Size, lost, done bool) {
	own := m.own
	if !m.claimed {
		own = m.seen[m.id]
	}
	next := Balance(time.Time{}, limit, own, Demand{Used: m.used, Needed: m.needed.AtLeast(m.used)}, m.others(), len(s.shares))
	w := write{next, m.version}
	m.own.Granted = m.own.Granted.AtMost(next.Granted)
	if lost {
		if m.late = &w; done {
			s.apply(m.id, w)
		}
		return
	}
	if s.apply(m.id, w) {
		m.own, m.claimed = next, true
	}
	m.read(s)
	if !m.claimed {
		return
	}
	m.own = s.shares[m.id]
}

// Guards the limit of an account through stale views, lost replies, late writes
// and lost owners: the shards together never may use more than the limit.
func TestGrantsNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := work.Size{CPU: rapid.Int64Range(0, 1000).Draw(t, "cpu"), GPU: rapid.Int64Range(0, 40).Draw(t, "gpu")}
		n := rapid.IntRange(1, 4).Draw(t, "shards")
		s := &store{shares: make([]Share, n)}
		ms := make([]*member, n)
		for i := range ms {
			ms[i] = &member{id: i}
			ms[i].read(s)
		}
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			m := rapid.SampledFrom(ms).Draw(t, "shard")
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				m.read(s)
				if m.claimed {
					m.own = s.shares[m.id]
				}
			case 1:
				m.needed = work.Size{CPU: rapid.Int64Range(0, 1500).Draw(t, "need"), GPU: rapid.Int64Range(0, 60).Draw(t, "gpus")}
			case 2:
				m.balance(s, limit, rapid.Bool().Draw(t, "lost"), rapid.Bool().Draw(t, "done"))
			case 3:
				if m.late != nil {
					s.apply(m.id, *m.late)
				}
			case 4: // starts what it may
				m.used = m.used.AtLeast(m.needed.AtMost(m.allowance(limit)))
			case 5: // its owner is lost; the next one inherits the runs
				m.claimed, m.own, m.late = false, Share{}, nil
				m.read(s)
			}
			if m.needed.CPU < m.used.CPU || m.needed.GPU < m.used.GPU { // runs end
				m.used = m.used.AtMost(m.needed)
			}
			used := work.Size{}
			for _, m := range ms {
				used = used.Plus(m.used)
			}
			if limit.CPU > 0 && used.CPU > limit.CPU || limit.GPU > 0 && used.GPU > limit.GPU {
				t.Fatalf("%v in use, the limit is %v", used, limit)
			}
		}
		// In calm all that is needed is granted, if there is enough for all.
		for _, m := range ms {
			m.late, m.used = nil, work.Size{}
			m.needed = work.Size{CPU: limit.CPU / int64(n), GPU: limit.GPU / int64(n)}
		}
		ms[0].needed.CPU += limit.CPU % int64(n)
		for range 12 {
			for _, m := range ms {
				m.read(s)
				if m.claimed {
					m.own = s.shares[m.id]
				}
				m.balance(s, limit, false, false)
			}
		}
		for _, m := range ms {
			if a := m.allowance(limit); !a.CanFit(m.needed) {
				t.Fatalf("shard %d may use %v, it needs %v of %v: %+v", m.id, a, m.needed, limit, s.shares)
			}
		}
	})
}

// Guards against room of an account's limit that stays idle in one shard while
// its work is in the other.
func TestIdleGrantMovesToTheShardWithWork(t *testing.T) {
	limit := work.Size{CPU: 100}
	a, b := Share{Granted: work.Size{CPU: 50}}, Share{Granted: work.Size{CPU: 50}}
	b = Balance(time.Time{}, limit, b, Demand{Needed: work.Size{CPU: 90}}, []Share{a}, 2)
	assert.Equal(t, b.Wanted.CPU, int64(90))
	a = Balance(time.Time{}, limit, a, Demand{Used: work.Size{CPU: 5}, Needed: work.Size{CPU: 5}}, []Share{b}, 2)
	assert.Equal(t, a.Granted.CPU, int64(10))
	b = Balance(time.Time{}, limit, b, Demand{Needed: work.Size{CPU: 90}}, []Share{a}, 2)
	assert.Equal(t, b, Share{Granted: work.Size{CPU: 90}})
}

func TestLoweredLimitIsDividedAtOnce(t *testing.T) {
	a, b := Share{Granted: work.Size{CPU: 60, Mem: 7}}, Share{Granted: work.Size{CPU: 40}}
	low := work.Size{CPU: 50}
	assert.Equal(t, Allowance(low, a, []Share{b}), work.Size{CPU: 30, Mem: 7})
	assert.Equal(t, Allowance(low, b, []Share{a}), work.Size{CPU: 20})
}

// Guards against gangs of an account that wait for ever in several shards, since an
// equal division of its limit is too little for each of them (soak --accounts, seed 32).
func TestEveryShardGetsItsTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := work.Size{CPU: rapid.Int64Range(1, 100).Draw(t, "limit")}
		n := rapid.IntRange(1, 4).Draw(t, "shards")
		s := &store{shares: make([]Share, n)}
		gangs, runs, order := make([][]int64, n), make([]int64, n), make([]int, n)
		for i := range gangs {
			order[i] = i
			gangs[i] = rapid.SliceOfN(rapid.Int64Range(1, limit.CPU), 0, 4).Draw(t, "gangs")
		}
		now := time.Unix(1, 0)
		for round := 0; slices.ContainsFunc(gangs, func(g []int64) bool { return len(g) > 0 }); round++ {
			if round > 400 {
				t.Fatalf("of a limit of %d, gangs still wait: %v; shares %+v", limit.CPU, gangs, s.shares)
			}
			for _, i := range rapid.Permutation(order).Draw(t, "order") {
				now = now.Add(time.Millisecond)
				if rapid.Bool().Draw(t, "end") {
					runs[i] = 0
				}
				m := &member{id: i}
				m.read(s)
				d := Demand{Used: work.Size{CPU: runs[i]}, Needed: work.Size{CPU: runs[i]}}
				for _, g := range gangs[i] {
					d.Needed.CPU = min(d.Needed.CPU+g, limit.CPU)
				}
				if len(gangs[i]) > 0 {
					d.Least.CPU = slices.Min(gangs[i])
				}
				s.apply(i, write{Balance(now, limit, m.seen[i], d, m.others(), n), m.version})
				m.read(s)
				free := Allowance(limit, s.shares[i], m.others()).CPU - runs[i]
				for k, g := range gangs[i] {
					if g <= free {
						runs[i] += g
						gangs[i] = slices.Delete(gangs[i], k, k+1)
						break
					}
				}
			}
		}
	})
}
