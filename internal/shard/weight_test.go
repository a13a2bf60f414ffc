package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEndedJobsWeighNothing(t *testing.T) {
	s := New("s", 1, time.Time{}, Limits{})
	a, b := newJob("a", tasks(100, 1000)), newJob("b", tasks(1, 1000), tasks(1, 1000))
	b.Times, b.Every = 3, time.Millisecond
	s.Submit(time.Time{}, a)
	s.Submit(time.Time{}, b)
	s.beginRounds(time.Unix(1, 0))
	assert.Equal(t, s.Weight(), Weight(a)+3*Weight(b))
	s.Cancel(time.Time{}, "a")
	assert.Equal(t, s.Weight(), 3*Weight(b))
	s.Cancel(time.Time{}, "b")
	assert.Equal(t, s.Weight(), int64(0))
}
