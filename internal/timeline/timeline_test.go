package timeline

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRingKeepsTheLatest(t *testing.T) {
	r := &Ring{}
	for range capacity + 10 {
		r.Add(Event{Kind: "run"})
	}
	all := r.Since(0)
	assert.Equal(t, len(all), capacity)
	assert.Equal(t, all[0].N, int64(11))
	assert.Equal(t, len(r.Since(capacity+8)), 2)
	(*Ring)(nil).Add(Event{}) // must not panic
}

// The clock of b is behind that of a: ordering by time alone would put b's event
// before the events that the journal has ahead of it.
func TestMergeFollowsTheJournal(t *testing.T) {
	a := []Event{{At: 100, VM: "a", Kind: "own", Zone: "z", Seq: 1, N: 1}, {At: 300, VM: "a", Kind: "end", Zone: "z", Seq: 5, N: 2}}
	b := []Event{{At: 90, VM: "b", Kind: "own", Zone: "z", Seq: 9, N: 1}}
	got := Merge(a, b)
	var seqs []int64
	for _, e := range got {
		seqs = append(seqs, e.Seq)
	}
	assert.DeepEqual(t, seqs, []int64{1, 5, 9})
}

func TestAbout(t *testing.T) {
	e := Event{Who: "z.m.j#3", VM: "e1", Why: "done on w4"}
	for _, subject := range []string{"z.m.j#3", "z.m.j", "e1", "w4"} {
		assert.Assert(t, About(e, subject), subject)
	}
	assert.Assert(t, !About(e, "z.m.other"))
}
