package ledger

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"jasminestep/internal/book"
)

var t0 = time.UnixMilli(1_800_000_000_000)

const margin = 250 * time.Millisecond

func TestParse(t *testing.T) {
	id := uuid.Must(uuid.NewV7())
	k, err := Parse("quito." + id.String())
	assert.NilError(t, err)
	assert.Equal(t, k.Zone, "quito")
	assert.Assert(t, time.Since(k.CreatedAt).Abs() < time.Minute)
	bare, err := Parse(id.String())
	assert.NilError(t, err)
	assert.Equal(t, bare.Share(), k.Share())
	for _, bad := range []string{"", "x", uuid.NewString(), id.String() + "0", "urn:uuid:" + id.String()} {
		_, err = Parse(bad)
		assert.ErrorIs(t, err, ErrMalformedKey, bad)
	}
}

func TestJudge(t *testing.T) {
	at := func(ms int64) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	old := int64(book.KeyRetentionMS)
	for _, c := range []struct {
		name             string
		made, floor, now time.Time
		want             Decision
	}{
		{"fresh", at(0), time.Time{}, at(10), Run},
		{"clock ahead within the margin", at(200), time.Time{}, at(0), Run},
		{"from the future", at(300), time.Time{}, at(0), FromFuture},
		{"before the home's time", at(0), at(100), at(5000), Unknown},
		{"within the margins after it", at(800), at(100), at(5000), Unknown},
		{"well after it", at(851), at(100), at(5000), Run},
		{"too old", at(0), time.Time{}, at(old), Unknown},
		{"nearly too old", at(1), time.Time{}, at(old), Run},
	} {
		assert.Equal(t, Decide(c.made, c.floor, c.now, margin), c.want, c.name)
	}
}

func key(t testing.TB) Key {
	k, err := Parse(uuid.Must(uuid.NewV7()).String())
	assert.NilError(t, err)
	return k
}

func run() Decision { return Run }

func TestUnrunMayBeTriedAgain(t *testing.T) {
	l, k := &Ledger{}, key(t)
	l.SetServing(k.Share(), true)
	e, first, _ := l.Begin(k, t0, run)
	assert.Assert(t, first)
	l.End(k, e, OutcomeNotRun, "no", 2)
	_, first, _ = l.Begin(k, t0, run)
	assert.Assert(t, first)
}

// A share is closed only when it takes no more, nothing of it runs and its
// outcomes are journalled.
func TestClosed(t *testing.T) {
	l, k := &Ledger{}, key(t)
	n := k.Share()
	l.SetServing(n, true)
	e, _, _ := l.Begin(k, t0, run)
	assert.Assert(t, !l.Drained(n), "serving")
	l.SetServing(n, false)
	assert.Assert(t, !l.Drained(n), "running")
	l.End(k, e, OutcomeAnswered, "yes", 3)
	assert.Assert(t, !l.Drained(n), "not journalled")
	l.MarkJournaled(n, len(l.Unjournaled(n)))
	assert.Assert(t, l.Drained(n))
	_, _, v := l.Begin(key2(t, n), t0, run)
	assert.Equal(t, v, NotHome)
}

func key2(t testing.TB, share int) Key {
	for {
		if k := key(t); k.Share() == share {
			return k
		}
	}
}

func TestSweepKeepsWhatMayBeAsked(t *testing.T) {
	l, k := &Ledger{}, key(t)
	l.SetServing(k.Share(), true)
	e, _, _ := l.Begin(k, t0, run)
	l.End(k, e, OutcomeAnswered, "yes", 3)
	l.Sweep(t0.Add(book.KeyRetentionMS * time.Millisecond))
	assert.Equal(t, l.Len(), 1)
	l.Sweep(t0.Add(book.KeyRetentionMS*time.Millisecond + 2*time.Minute))
	assert.Equal(t, l.Len(), 0)
}

// op is a request with a key as its caller sees it.
type op struct{ key int }

// The history of one key is that of a register that is written at most once:
// every answer to the key is the answer of its one run, or proves no run.
var atMostOnce = porcupine.Model{
	Partition: func(h []porcupine.Operation) [][]porcupine.Operation {
		by := map[int][]porcupine.Operation{}
		for _, o := range h {
			by[o.Input.(op).key] = append(by[o.Input.(op).key], o)
		}
		out := make([][]porcupine.Operation, 0, len(by))
		for _, p := range by {
			out = append(out, p)
		}
		return out
	},
	Init: func() any { return "" },
	Step: func(state, _, output any) (bool, any) {
		s, got := state.(string), output.(string)
		switch {
		case got == "unrun" || got == "unknown":
			return true, s
		case s == "":
			return true, got
		}
		return s == got, s
	},
}

// TestAtMostOnce sends keys, old and new ones, from many callers at once
// through a home that dies in the middle and its successor, and checks the
// history.
func TestAtMostOnce(t *testing.T) {
	r := &homes{ledgers: []*Ledger{{}, {}}}
	r.serve(0)
	const callers, each = 8, 300
	var history []porcupine.Operation
	began := time.Now()
	var wg sync.WaitGroup
	for c := range callers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rnd := rand.New(rand.NewPCG(1, uint64(c)))
			for n := range each {
				if c == 0 && n == each/2 {
					r.die()
				}
				i, k := r.key(rnd)
				call := time.Since(began).Nanoseconds()
				out := r.once(i, k, rnd)
				r.mu.Lock()
				history = append(history, porcupine.Operation{ClientId: c, Input: op{i}, Call: call, Output: out, Return: time.Since(began).Nanoseconds()})
				r.mu.Unlock()
			}
		}()
	}
	wg.Wait()
	assert.Assert(t, porcupine.CheckOperations(atMostOnce, history))
	after := 0
	for i, n := range r.ran {
		assert.Assert(t, n <= 1, "key %d ran %d times", i, n)
		if n == 1 && r.keys[i].CreatedAt.After(r.floor) {
			after++
		}
	}
	assert.Assert(t, after > 0, "the second home let nothing run")
}

// homes is a share's home and its successor, which shares nothing with it.
type homes struct {
	ledgers []*Ledger

	mu    sync.Mutex
	home  int
	floor time.Time
	keys  []Key
	ran   []int
}

func (r *homes) serve(i int) {
	for n := range book.KeyShares {
		r.ledgers[i].SetServing(n, true)
	}
}

// die ends the first home without a word.
func (r *homes) die() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.home, r.floor = 1, time.Now()
	r.serve(1)
	for n := range book.KeyShares {
		r.ledgers[0].SetServing(n, false)
	}
}

// key returns some key, often a new one.
func (r *homes) key(rnd *rand.Rand) (int, Key) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.keys) == 0 || rnd.IntN(4) == 0 {
		k, err := Parse(uuid.Must(uuid.NewV7()).String())
		if err != nil {
			panic(err)
		}
		r.keys, r.ran = append(r.keys, k), append(r.ran, 0)
	}
	i := len(r.keys) - 1 - rnd.IntN(min(len(r.keys), 20))
	return i, r.keys[i]
}

func (r *homes) once(i int, k Key, rnd *rand.Rand) string {
	time.Sleep(time.Duration(100+rnd.IntN(300)) * time.Microsecond)
	r.mu.Lock()
	l, floor := r.ledgers[r.home], r.floor
	r.mu.Unlock()
	e, first, v := l.Begin(k, time.Now(), func() Decision { return Decide(k.CreatedAt, floor, time.Now(), time.Millisecond) })
	switch {
	case v == Unknown:
		return "unknown"
	case v != Run:
		return "unrun"
	case !first:
		<-e.Done
		return fmt.Sprint(l.Answer(e))
	}
	if rnd.IntN(4) == 0 {
		l.End(k, e, OutcomeNotRun, "unrun", 0)
		return "unrun"
	}
	r.mu.Lock()
	r.ran[i]++
	r.mu.Unlock()
	time.Sleep(time.Duration(rnd.IntN(300)) * time.Microsecond)
	a := fmt.Sprint(rnd.Uint64())
	l.End(k, e, OutcomeAnswered, a, len(a))
	return a
}

func FuzzParse(f *testing.F) {
	f.Add("quito.0193a5b0-0000-7000-8000-000000000000")
	f.Add("..")
	f.Fuzz(func(t *testing.T, s string) {
		k, err := Parse(s)
		if err == nil && (k.Share() < 0 || k.Share() >= book.KeyShares || k.Home([]string{"a", "b"}) == "") {
			t.Fatalf("%q: %+v", s, k)
		}
	})
}
