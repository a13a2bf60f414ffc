package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

func TestTicketsAreRenewedBeforeUse(t *testing.T) {
	w, o := begun(t, 2)
	j := newJob("a", tasks(1, 4000))
	j.Advice = &work.AdviceTiming{Decide: 10 * time.Millisecond, Each: time.Millisecond, Valid: time.Second}
	w.submit(j)
	free := Askers{All: 1, Long: 1, From: time.Second}
	o.st.Decide(w.now, w.now, free)
	asks := o.st.Orders().Asks
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, len(asks[0].IDs), 2)
	o.st.Advised(w.now, w.now, asks[0], map[string]string{"m1": "t1"}, time.Second, nil)
	w.pass(2 * time.Second)
	for _, b := range w.minions {
		o.renew(b)
	}
	o.st.Decide(w.now, w.now, free)
	b, err := o.st.Take()
	assert.NilError(t, err)
	assert.Equal(t, len(b.Starts), 0, "the ticket has ended")
	asks = o.st.Orders().Asks
	assert.Equal(t, len(asks), 1)
	assert.DeepEqual(t, asks[0].IDs, []string{"m1"})
	o.st.Advised(w.now, w.now, asks[0], map[string]string{"m1": "t2"}, time.Second, nil)
	o.st.Decide(w.now, w.now, free)
	b, err = o.st.Take()
	assert.NilError(t, err)
	assert.Equal(t, len(b.Starts), 1)
	assert.Equal(t, b.Starts[0].Start.Ticket, "t2")
	assert.Equal(t, b.Starts[0].Minion.ID, "m1")
}

func TestAdviceIsAskedAheadOfAShortStepsTurn(t *testing.T) {
	w, o := begun(t, 2)
	second := tasks(1, 1000)
	second.After = []int{0}
	j := newJob("a", tasks(1, 1000), second)
	j.Advice = &work.AdviceTiming{Decide: 10 * time.Millisecond, Valid: 2 * time.Second}
	w.submit(j)
	free := Askers{All: 2, Long: 2, From: time.Second}
	o.st.Decide(w.now, w.now, free)
	asks := o.st.Orders().Asks
	assert.Equal(t, len(asks), 1)
	o.st.Advised(w.now, w.now, asks[0], map[string]string{"m0": "t", "m1": "t"}, 2*time.Second, nil)
	o.st.Decide(w.now, w.now, free)
	asks = o.st.Orders().Asks
	assert.Equal(t, len(asks), 1)
	assert.Equal(t, asks[0].Step.Step, 1)
}

// A minion that was forgotten when the answer about it came is asked about again
// once it is back.
func TestMinionsThatWereAwayAreAskedAboutAgain(t *testing.T) {
	w, o := begun(t, 1)
	j := newJob("a", tasks(1, 1000))
	j.Advice = &work.AdviceTiming{Decide: 10 * time.Millisecond, Valid: 2 * time.Second}
	w.submit(j)
	asks := func() []Ask {
		o.st.Decide(w.now, w.now, Askers{All: 4, Long: 4, From: time.Second})
		return o.st.Orders().Asks
	}
	first := asks()
	assert.Equal(t, len(first), 1)
	b := w.minions[0]
	o.st.Unlist(w.now, b.ID)
	o.st.Silent(w.now, b.Incarnation)
	w.pass(10 * time.Second)
	assert.Equal(t, len(asks()), 0)
	o.st.Advised(w.now, w.now, first[0], map[string]string{b.ID: "t"}, 2*time.Second, nil)
	o.st.See(w.now, b.Minion)
	w.turn()
	w.pass(time.Second)
	again := asks()
	assert.Equal(t, len(again), 1)
	assert.DeepEqual(t, again[0].IDs, []string{b.ID})
}
