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

// store is a table and objects in memory. fate decides about the next create.
type store struct {
	rows    map[string][]byte
	objects map[string][]byte
	fate    []string // lost: takes effect, no reply; down: no effect, no reply
	put     func()   // called before an object is stored
}

func newStore() *store { return &store{rows: map[string][]byte{}, objects: map[string][]byte{}} }

func (s *store) next() string {
	if len(s.fate) == 0 {
		return ""
	}
	f := s.fate[0]
	s.fate = s.fate[1:]
	return f
}

func (s *store) Create(_ context.Context, key string, value []byte) error {
	f := s.next()
	if f == "down" {
		return platform.ErrUnknown
	}
	if _, ok := s.rows[key]; ok {
		return platform.ErrExists
	}
	s.rows[key] = slices.Clone(value)
	if f == "lost" {
		return platform.ErrUnknown
	}
	return nil
}

func (s *store) Read(_ context.Context, key string) ([]byte, error) {
	if s.next() == "down" {
		return nil, platform.ErrUnknown
	}
	if b, ok := s.rows[key]; ok {
		return b, nil
	}
	return nil, platform.ErrMissing
}

func (s *store) List(_ context.Context, prefix, after string, n int) (out []platform.Row, _ error) {
	if s.next() == "down" {
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
	if s.put != nil {
		s.put()
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

var later = time.Now().Add(time.Hour)

func TestAppendReadsBackLostReply(t *testing.T) {
	for _, fate := range [][]string{{"lost"}, {"lost", "down"}, {"down"}, {"down", "down", "lost"}} {
		t.Run(strings.Join(fate, " "), func(t *testing.T) {
			s := newStore()
			s.fate = fate
			assert.NilError(t, Append(t.Context(), s, batch(1, "a"), later))
			assert.Equal(t, len(s.rows), 1)
		})
	}
}

func TestAppendIsFenced(t *testing.T) {
	s := newStore()
	assert.NilError(t, Append(t.Context(), s, batch(1, "a"), later))
	assert.ErrorIs(t, Append(t.Context(), s, batch(1, "b"), later), ErrDeposed)
	s.fate = []string{"lost"}
	assert.ErrorIs(t, Append(t.Context(), s, batch(1, "c"), later), ErrDeposed)
}

func save(t testing.TB, s *store, bk *book.ZoneState) {
	b, err := json.Marshal(bk)
	assert.NilError(t, err)
	assert.NilError(t, Save(t.Context(), s, "z", bk.Seq, b))
}

// An owner that was paused for so long that its next row was written by its
// successor and deleted behind a snapshot must still find that it was deposed.
func TestAppendIntoHoleIsFenced(t *testing.T) {
	s := newStore()
	bk := &book.ZoneState{}
	for i := int64(1); i <= 2*keepRows; i++ {
		b := batch(i, fmt.Sprint("b", i))
		assert.NilError(t, Append(t.Context(), s, b, later))
		Replay(bk, b)
	}
	save(t, s, bk)
	_, ok := s.rows[Key("z", 5)]
	assert.Assert(t, !ok, "row 5 is deleted")
	lapsed := time.Now()
	assert.ErrorIs(t, Append(t.Context(), s, batch(5, "paused"), lapsed), ErrDeposed)
}

func TestTailSeesGap(t *testing.T) {
	s := newStore()
	bk := &book.ZoneState{}
	for i := int64(1); i <= 2*keepRows; i++ {
		b := batch(i, fmt.Sprint("b", i))
		assert.NilError(t, Append(t.Context(), s, b, later))
		Replay(bk, b)
	}
	save(t, s, bk)
	_, err := Tail(t.Context(), s, "z", 3)
	assert.ErrorIs(t, err, ErrGap)
	got, err := Load(t.Context(), s, "z")
	assert.NilError(t, err)
	assert.Equal(t, got.Seq, bk.Seq)
}

// A deposed owner that saves late must not set the zone back.
func TestLateSnapshotDoesNotSetBack(t *testing.T) {
	s := newStore()
	old, bk := &book.ZoneState{}, &book.ZoneState{}
	for i := int64(1); i <= 3*keepRows; i++ {
		b := batch(i, fmt.Sprint("b", i))
		assert.NilError(t, Append(t.Context(), s, b, later))
		Replay(bk, b)
		if i <= keepRows {
			Replay(old, b)
		}
	}
	save(t, s, bk)
	save(t, s, old)
	got, err := Load(t.Context(), s, "z")
	assert.NilError(t, err)
	assert.Equal(t, got.Seq, bk.Seq)
}

// TestJournalAgainstOracle has several owners append, save and load under a
// store that loses replies; whoever replays the journal must see exactly the
// batches that were reported as durable, in one order.
func TestJournalAgainstOracle(t *testing.T) {
	// The fuzzer asks a T for its deadline, which a bubble of time has not.
	synctest.Test(t, func(t *testing.T) { rapid.Check(struct{ testing.TB }{t}, journalAgainstOracle) })
}

func journalAgainstOracle(t *rapid.T) {
	s := newStore()
	var durable []string // ids in order
	books := []*book.ZoneState{{}, {}, {}}
	n := 0
	fate := rapid.SliceOfN(rapid.SampledFrom([]string{"", "lost", "down"}), 0, 4)
	catch := func(bk *book.ZoneState) *book.ZoneState {
		s.fate = nil
		_, err := CatchUp(context.Background(), s, "z", bk)
		if errors.Is(err, ErrGap) {
			if bk, err = Load(context.Background(), s, "z"); err == nil {
				_, err = CatchUp(context.Background(), s, "z", bk)
			}
		}
		if err != nil {
			t.Fatalf("catch up: %v", err)
		}
		return bk
	}
	t.Repeat(map[string]func(*rapid.T){
		"append": func(t *rapid.T) {
			i := rapid.IntRange(0, 2).Draw(t, "owner")
			n++
			b := batch(books[i].Seq+1, fmt.Sprint(n))
			b.Events[0].Own.Epoch = int64(len(durable) + 1)
			s.fate = fate.Draw(t, "fate")
			err := Append(context.Background(), s, b, time.Now())
			switch {
			case err == nil:
				if int(b.Seq) != len(durable)+1 {
					t.Fatalf("row %d is durable after %d", b.Seq, len(durable))
				}
				durable = append(durable, b.ID)
				Replay(books[i], b)
			case !errors.Is(err, ErrDeposed):
				t.Fatalf("append: %v", err)
			}
		},
		"catch": func(t *rapid.T) {
			i := rapid.IntRange(0, 2).Draw(t, "owner")
			books[i] = catch(books[i])
			if int(books[i].Seq) != len(durable) || len(durable) > 0 && books[i].Owner != durable[len(durable)-1] {
				t.Fatalf("state %d by %s, want %d by %v", books[i].Seq, books[i].Owner, len(durable), durable)
			}
		},
		"save": func(t *rapid.T) {
			i := rapid.IntRange(0, 2).Draw(t, "owner")
			s.fate = nil
			b, _ := json.Marshal(books[i]) // plain data
			if books[i].Seq > 0 {
				_ = Save(context.Background(), s, "z", books[i].Seq, b) // a deposed owner may fail
			}
			// Keep fewer rows than the real journal, to reach gaps sooner.
			_ = s.Delete(context.Background(), prefix("z"), Key("z", books[i].Seq-2))
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
				return // refused when it was submitted
			}
		}
		bk := &book.ZoneState{}
		x.Seq = 1
		Replay(bk, &x) // must not panic, whatever the events refer to
	})
}
