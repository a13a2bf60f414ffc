package shard

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// Guards against an answer that differs from what is decided once the job is there.
func TestOutlookNamesTheMinionThatIsChosen(t *testing.T) {
	for seed := range uint64(20) {
		w, o := newOwnedCluster(t, 6)
		rng := rand.New(rand.NewPCG(seed, 1))
		for i := range 4 {
			w.submit(newJob(fmt.Sprintf("b%d", i), tasks(1+rng.IntN(3), int64(500*(1+rng.IntN(4))))))
		}
		w.cycle()
		j := newJob("j", tasks(1, 1000))
		got := o.st.Outlook(w.now, w.now, j).Steps[0]
		w.submit(j)
		w.cycle()
		chosen := ""
		for id, m := range o.st.minions {
			for _, r := range m.runs {
				if r.step != nil && r.step.job.ID == "j" {
					chosen = id
				}
			}
		}
		assert.Equal(t, got.Start == 0, chosen != "", "seed %d: %+v", seed, got)
		if chosen != "" {
			assert.Equal(t, got.Now[0], chosen, "seed %d", seed)
		}
	}
}

func TestOutlookTellsWhatHoldsAJobBack(t *testing.T) {
	w, o := newOwnedCluster(t, 2)
	limitAccount(o, work.Account{Name: "a", Weight: 1, Limit: work.Size{CPU: 3000}}, 2000)
	big := tasks(1, 100_000)
	big.After = []int{0}
	ask := func(account string, steps ...work.Step) Outlook {
		return o.st.Outlook(w.now, w.now, jobOf(account, "x", steps...))
	}
	first := ask("a", tasks(3, 1000), big)
	assert.Equal(t, first.Steps[0].Allowed, 2)
	assert.Equal(t, first.Later, 1)
	assert.Equal(t, ask("", tasks(1, 100_000)).Steps[0].Start, int64(unknownStart))
	w.submit(newJob("full", tasks(10, 1000)))
	w.cycle()
	got := ask("", tasks(1, 1000)).Steps[0]
	assert.Assert(t, got.NowCount == 0 && got.Full == 2, "%+v", got)
	assert.Equal(t, got.Ahead, 2)
	assert.Assert(t, got.Start > 0, "%+v", got)
	text := strings.Join(ask("a", tasks(3, 1000)).Text(), "\n")
	assert.Assert(t, strings.Contains(text, "has room for 2 of 3 tasks") && strings.Contains(text, "2 waiting tasks go first"), text)
	assert.Equal(t, w.running(), 8)
	assert.Assert(t, !o.st.HasJob("x"))
}
