package timeline

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRingKeepsTheLatest(t *testing.T) {
	r := &Ring{}
	for range size + 10 {
		r.Add(Event{Kind: "run"})
	}
	all := r.Since(0)
	assert.Equal(t, len(all), size)
	assert.Equal(t, all[0].N, int64(11))
	assert.Equal(t, len(r.Since(size+8)), 2)
	(*Ring)(nil).Add(Event{}) // ignored
}

// The journal says what caused what, whatever the clocks say.
func TestMergeFollowsTheJournal(t *testing.T) {
	a := []Event{{At: 100, VM: "a", Kind: "own", Zone: "z", Seq: 1, N: 1}, {At: 300, VM: "a", Kind: "end", Zone: "z", Seq: 5, N: 2}}
	b := []Event{{At: 90, VM: "b", Kind: "own", Zone: "z", Seq: 9, N: 1}}
	got := Merge(a, b)
	var kinds []int64
	for _, e := range got {
		kinds = append(kinds, e.Seq)
	}
	assert.DeepEqual(t, kinds, []int64{1, 5, 9})
}

func TestAbout(t *testing.T) {
	e := Event{Who: "z.m.j#3", VM: "e1", Why: "done on w4"}
	for _, what := range []string{"z.m.j#3", "z.m.j", "e1", "w4"} {
		assert.Assert(t, About(e, what), what)
	}
	assert.Assert(t, !About(e, "z.m.other"))
}
