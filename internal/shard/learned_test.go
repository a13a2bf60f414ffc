package shard

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// Guards against a new owner that knows nothing of run times, and takes jobs with
// bad estimates for late or early until it has learned anew.
func TestNextOwnerKnowsRunTimes(t *testing.T) {
	st := New("s", 1, epoch, DefaultLimits)
	j := newJob("a", tasks(1, 1000))
	j.Queue = "q"
	st.Submit(epoch, j)
	st.UpdateMinion(epoch, work.Minion{Incarnation: work.Incarnation{ID: "m", Born: 7}, Service: "s"}, epoch)
	st.minions["m"].slowness = 2.5
	st.observeShare("q", 10, 4)
	step := &step{Step: &work.Step{Estimate: time.Second, Image: "i"}, job: st.jobs["a"]}
	for range 30 {
		st.observeRunTime(step, 4*time.Second)
	}
	assert.NilError(t, st.saveLearned(epoch.Add(saveLearnedInterval)))
	b, err := st.TakeBatch()
	assert.NilError(t, err)
	row := b.Rows[0]
	assert.Equal(t, row.Key, LearnedKey("s"))
	assert.NilError(t, st.saveLearned(epoch.Add(time.Hour)))
	assert.Equal(t, len(st.batch.Rows), 0, "nothing was learned since")

	next := New("s", 2, epoch, DefaultLimits)
	next.UpdateMinion(epoch, work.Minion{Incarnation: work.Incarnation{ID: "m", Born: 7}, Service: "s"}, epoch)
	assert.NilError(t, next.LoadLearned(row.Value))
	for _, image := range []string{"", "i", "unknown"} {
		got := next.predictRunTime(&job{Job: j}, image, time.Second)
		assert.Assert(t, got > 3900*time.Millisecond && got < 4100*time.Millisecond, "%v for image %q", got, image)
	}
	assert.Equal(t, next.eligibleShares["q"].share(), 0.4)
	assert.Equal(t, next.minions["m"].slowness, 2.5)
	other := New("s", 3, epoch, DefaultLimits)
	other.UpdateMinion(epoch, work.Minion{Incarnation: work.Incarnation{ID: "m", Born: 8}, Service: "s"}, epoch)
	assert.NilError(t, other.LoadLearned(row.Value))
	assert.Equal(t, other.minions["m"].slowness, 0.0, "another incarnation may be of another kind")
}

// Guards against a row of another writer that makes predictions absurd, or ends
// the owner.
func TestImpossibleLearnedRowsAreLeftOut(t *testing.T) {
	for _, bad := range []string{``, `{`, `[]`, `{"t":[{"q":"a","s":[-1,0,0,0,0]}]}`, `{"t":[{"q":"a","s":[1e999,0,0,0,0]}]}`, `{"t":[{"q":"a","s":[1,0,0,-1,0]}]}`} {
		st := New("s", 1, epoch, DefaultLimits)
		assert.Assert(t, st.LoadLearned([]byte(bad)) != nil, bad)
		assert.Equal(t, len(st.runTimes), 0)
	}
	st := New("s", 1, epoch, DefaultLimits)
	assert.NilError(t, st.LoadLearned([]byte(`{"e":[{"q":"a","n":1,"e":2}],"m":[{"i":"x","b":1,"s":-3}]}`)))
	assert.Equal(t, len(st.eligibleShares), 0)
}

// Guards against estimates that clients choose to be absurd.
func TestAbsurdEstimatesStayBounded(t *testing.T) {
	r := learn(200, 0.1)
	for _, d := range []time.Duration{0, -time.Second, 1, math.MaxInt64} {
		r.observe(d, time.Second)
		got := r.predict(time.Second)
		assert.Assert(t, got >= time.Second/maxCorrection && got <= maxCorrection*time.Second, "%v after an estimate of %v", got, d)
	}
}

// The row has to stay below what the store takes, whatever was learned.
func TestLearnedRowIsBounded(t *testing.T) {
	st := New("s", 1, epoch, DefaultLimits)
	p := &step{Step: &work.Step{Estimate: time.Second}, job: &job{Job: &work.Job{}}}
	for i := range 2 * maxRunTimes {
		p.job.Queue = strings.Repeat("long", 20) + fmt.Sprint(i)
		st.observeRunTime(p, 2*time.Second)
	}
	for i := range 2 * maxSavedMinions {
		m := st.newMinion(work.Minion{Incarnation: work.Incarnation{ID: fmt.Sprintf("i-%010d", i), Born: 1e12}})
		m.slowness = 3
	}
	assert.Equal(t, len(st.runTimes), maxRunTimes)
	b, err := json.Marshal(st.encodeLearned())
	assert.NilError(t, err)
	assert.Assert(t, len(b) < 48<<10, "%d bytes", len(b))
}
