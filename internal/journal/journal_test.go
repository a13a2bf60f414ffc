package journal

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"jasminestep/internal/book"
	"jasminestep/internal/fixed"
	"jasminestep/internal/platform"
)

func TestMain(m *testing.M) { fixed.Main(m, "60") }

// store is an in-memory table and object store with injected faults.
type store struct {
	rows      map[string][]byte
	objects   map[string][]byte
	faults    []string // faults of the next calls; lost: takes effect, no reply; down: no effect, no reply
	beforePut func()   // called before an object is stored
}

func newStore() *store { return &store{rows: map[string][]byte{}, objects: map[string][]byte{}} }

func (s *store) nextFault() string {
	if len(s.faults) == 0 {
		return ""
	}
	fault := s.faults[0]
	s.faults = s.faults[1:]
	return fault
}

func (s *store) Create(_ context.Context, key string, value []byte) error {
	fault := s.nextFault()
	if fault == "down" {
		return platform.ErrUnknown
	}
	if _, ok := s.rows[key]; ok {
		return platform.ErrExists
	}
	s.rows[key] = slices.Clone(value)
	if fault == "lost" {
		return platform.ErrUnknown
	}
	return nil
}

func (s *store) Read(_ context.Context, key string) ([]byte, error) {
	if s.nextFault() == "down" {
		return nil, platform.ErrUnknown
	}
	if b, ok := s.rows[key]; ok {
		return b, nil
	}
	return nil, platform.ErrMissing
}

func (s *store) List(_ context.Context, prefix, after string, n int) (out []platform.Row, _ error) {
	if s.nextFault() == "down" {
		return nil, platform.ErrUnknown
	}
	for k, v := range s.rows {
		if strings.HasPrefix(k, prefix) && k > after {
			out = append(out, platform.Row{Key: k, Value: v})
		}
	}
	slices.SortFunc(out, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return out[:min(n, len(out))], nil
}

func (s *store) Delete(_ context.Context, prefix, last string) error {
	for k := range s.rows {
		if strings.HasPrefix(k, prefix) && k <= last {
			delete(s.rows, k)
		}
	}
	return nil
}

func (s *store) Put(_ context.Context, name string, b []byte) error {
	if s.beforePut != nil {
		s.beforePut()
	}
	s.objects[name] = b
	return nil
}

func (s *store) Get(_ context.Context, name string) ([]byte, error) {
	if b, ok := s.objects[name]; ok {
		return b, nil
	}
	return nil, platform.ErrMissing
}

func (s *store) Remove(_ context.Context, name string) error {
	delete(s.objects, name)
	return nil
}

func batch(seq int64, id string) *Batch {
	return &Batch{Zone: "z", Seq: seq, ID: id, Events: []book.Event{{At: seq, Own: &book.OwnerChange{Entry: id, Epoch: seq}}}}
}

var farFuture = time.Now().Add(time.Hour)

func TestAppendReadsBackLostReply(t *testing.T) {
	for _, faults := range [][]string{{"lost"}, {"lost", "down"}, {"down"}, {"down", "down", "lost"}} {
		t.Run(strings.Join(faults, " "), func(t *testing.T) {
			s := newStore()
			s.faults = faults
			assert.NilError(t, Append(t.Context(), s, batch(1, "a"), farFuture))
			assert.Equal(t, len(s.rows), 1)
		})
	}
}

func TestAppendIsFenced(t *testing.T) {
	s := newStore()
	assert.NilError(t, Append(t.Context(), s, batch(1, "a"), farFuture))
	assert.ErrorIs(t, Append(t.Context(), s, batch(1, "b"), farFuture), ErrDeposed)
	s.faults = []string{"lost"}
	assert.ErrorIs(t, Append(t.Context(), s, batch(1, "c"), farFuture), ErrDeposed)
}

func saveSnapshot(t testing.TB, s *store, state *book.ZoneState) {
	b, err := json.Marshal(state)
	assert.NilError(t, err)
	assert.NilError(t, Save(t.Context(), s, "z", state.Seq, b))
}

// An owner may be paused for so long that its successor writes the owner's next
// row and deletes it after a snapshot. The create then succeeds, but Append must
// still return ErrDeposed.
func TestAppendIntoHoleIsFenced(t *testing.T) {
	s := newStore()
	state := &book.ZoneState{}
	for i := int64(1); i <= 2*keepRows; i++ {
		b := batch(i, fmt.Sprint("b", i))
		assert.NilError(t, Append(t.Context(), s, b, farFuture))
		Replay(state, b)
	}
	saveSnapshot(t, s, state)
	_, ok := s.rows[Key("z", 5)]
	assert.Assert(t, !ok, "row 5 is deleted")
	lapsed := time.Now()
	assert.ErrorIs(t, Append(t.Context(), s, batch(5, "paused"), lapsed), ErrDeposed)
}

func TestTailSeesGap(t *testing.T) {
	s := newStore()
	state := &book.ZoneState{}
	for i := int64(1); i <= 2*keepRows; i++ {
		b := batch(i, fmt.Sprint("b", i))
		assert.NilError(t, Append(t.Context(), s, b, farFuture))
		Replay(state, b)
	}
	saveSnapshot(t, s, state)
	_, err := Tail(t.Context(), s, "z", 3)
	assert.ErrorIs(t, err, ErrGap)
	got, err := Load(t.Context(), s, "z")
	assert.NilError(t, err)
	assert.Equal(t, got.Seq, state.Seq)
}

// A deposed owner that saves an older snapshot late must not roll the zone back.
func TestLateSnapshotDoesNotSetBack(t *testing.T) {
	s := newStore()
	old, state := &book.ZoneState{}, &book.ZoneState{}
	for i := int64(1); i <= 3*keepRows; i++ {
		b := batch(i, fmt.Sprint("b", i))
		assert.NilError(t, Append(t.Context(), s, b, farFuture))
		Replay(state, b)
		if i <= keepRows {
			Replay(old, b)
		}
	}
	saveSnapshot(t, s, state)
	saveSnapshot(t, s, old)
	got, err := Load(t.Context(), s, "z")
	assert.NilError(t, err)
	assert.Equal(t, got.Seq, state.Seq)
}

// TestJournalAgainstOracle lets several owners append, save and load on a store
// that loses replies. Every replay of the journal must yield exactly the batches
// that were reported as durable, in the same order.
func TestJournalAgainstOracle(t *testing.T) {
	// rapid.Check calls Deadline on a *testing.T, which is not allowed in a synctest
	// bubble.
	synctest.Test(t, func(t *testing.T) { rapid.Check(struct{ testing.TB }{t}, journalAgainstOracle) })
}

func journalAgainstOracle(t *rapid.T) {
	s := newStore()
	var durable []string // batch ids in order
	states := []*book.ZoneState{{}, {}, {}}
	n := 0
	faults := rapid.SliceOfN(rapid.SampledFrom([]string{"", "lost", "down"}), 0, 4)
	catchUp := func(state *book.ZoneState) *book.ZoneState {
		s.faults = nil
		_, err := CatchUp(context.Background(), s, "z", state)
		if errors.Is(err, ErrGap) {
			if state, err = Load(context.Background(), s, "z"); err == nil {
				_, err = CatchUp(context.Background(), s, "z", state)
			}
		}
		if err != nil {
			t.Fatalf("catch up: %v", err)
		}
		return state
	}
	t.Repeat(map[string]func(*rapid.T){
		"append": func(t *rapid.T) {
			i := rapid.IntRange(0, 2).Draw(t, "owner")
			n++
			b := batch(states[i].Seq+1, fmt.Sprint(n))
			b.Events[0].Own.Epoch = int64(len(durable) + 1)
			s.faults = faults.Draw(t, "fate")
			err := Append(context.Background(), s, b, time.Now())
			switch {
			case err == nil:
				if int(b.Seq) != len(durable)+1 {
					t.Fatalf("row %d reported as durable after row %d", b.Seq, len(durable))
				}
				durable = append(durable, b.ID)
				Replay(states[i], b)
			case !errors.Is(err, ErrDeposed):
				t.Fatalf("append: %v", err)
			}
		},
		"catch": func(t *rapid.T) {
			i := rapid.IntRange(0, 2).Draw(t, "owner")
			states[i] = catchUp(states[i])
			if int(states[i].Seq) != len(durable) || len(durable) > 0 && states[i].Owner != durable[len(durable)-1] {
				t.Fatalf("replayed up to row %d of %s, want row %d, the last of %v", states[i].Seq, states[i].Owner, len(durable), durable)
			}
		},
		"save": func(t *rapid.T) {
			i := rapid.IntRange(0, 2).Draw(t, "owner")
			s.faults = nil
			b, _ := json.Marshal(states[i]) // cannot fail
			if states[i].Seq > 0 {
				_ = Save(context.Background(), s, "z", states[i].Seq, b) // a deposed owner may fail
			}
			// Keep fewer rows than Save does, so that gaps occur early.
			_ = s.Delete(context.Background(), prefix("z"), Key("z", states[i].Seq-2))
		},
	})
}

func FuzzBatch(f *testing.F) {
	f.Add([]byte(`{"zone":"z","seq":1,"events":[{"at":1,"job":{"id":"a","spec":{"name":"a","tasks":2}}},{"start":{"task":"a#0","attempt":1,"worker":"w"}}]}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		var x Batch
		if json.Unmarshal(b, &x) != nil {
			return
		}
		for i := range x.Events {
			if j := x.Events[i].Job; j != nil && j.Spec.Tasks > 1000 {
				return // rejected on submission
			}
		}
		state := &book.ZoneState{}
		x.Seq = 1
		Replay(state, &x) // must not panic, whatever the events refer to
	})
}
