package shard

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// notesOf returns the reasons of the notes about an event.
func (s *State) notesOf(what Event) (whys []string) {
	for _, n := range s.Notes {
		if n.What == what {
			whys = append(whys, n.Why)
		}
	}
	return whys
}

func TestSilenceTellsWhatWaitsAndHowThatIsKnown(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(1, 1000)), newJob("b", lastingTasks(2)))
	w.cycle()
	w.minions[0].crash()
	w.cycle()
	whys := o.st.notesOf(MinionSilent)
	assert.Equal(t, len(whys), 1)
	assert.Assert(t, strings.HasPrefix(whys[0], "3 runs, 2 of them lasting, wait 5."), whys[0])
	assert.Assert(t, strings.HasSuffix(whys[0], "sent by this owner"), whys[0])

	o = w.takeOver()
	w.cycle()
	whys = o.st.notesOf(MinionSilent)
	assert.Equal(t, len(whys), 1)
	assert.Assert(t, strings.Contains(whys[0], "it has not answered this owner"), whys[0])
}

// lastingTasks is a step of n tasks that last.
func lastingTasks(n int) work.Step {
	p := tasks(n, 1000)
	p.Lasting = true
	return p
}
