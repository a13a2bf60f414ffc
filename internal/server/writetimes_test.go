package server

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against starts by rows whose age is guessed: a row is never said to be
// newer than it is, and a row between two reads is known to be from after the
// first.
func TestWriteTimesAreLowerBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var w writeTimes
		now := time.Unix(1000, 0)
		writtenAt := []time.Time{now} // by version
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "write") {
				writtenAt = append(writtenAt, now)
				continue
			}
			// A read began some time ago and has the version of some time since.
			began := now.Add(-time.Duration(rapid.IntRange(0, 800).Draw(rt, "took")) * time.Millisecond)
			lowest := 0
			for v, at := range writtenAt {
				if !at.After(began) {
					lowest = v
				}
			}
			w.observe(int64(rapid.IntRange(lowest, len(writtenAt)-1).Draw(rt, "version")), began)
			for v, at := range writtenAt {
				after := w.writtenAfter(int64(v))
				assert.Assert(rt, after.Before(at), "version %d was written at %v, not after %v", v, at, after)
			}
		}
	})
}

func TestWriteTimesFollowReads(t *testing.T) {
	var w writeTimes
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	assert.Assert(t, w.writtenAfter(7).IsZero())
	w.observe(5, at(0))
	w.observe(8, at(2))
	w.observe(6, at(1))
	w.observe(8, at(1)) // says less
	assert.DeepEqual(t, w.samples, []versionSample{{5, at(0)}, {6, at(1)}, {8, at(2)}})
	assert.Assert(t, w.writtenAfter(5).IsZero())
	assert.Equal(t, w.writtenAfter(6), at(0))
	assert.Equal(t, w.writtenAfter(8), at(1))
	assert.Equal(t, w.writtenAfter(9), at(2))
	w.observe(8, at(3)) // nothing was written
	assert.Equal(t, w.writtenAfter(9), at(3))
	w.observe(20, at(12))
	assert.DeepEqual(t, w.samples, []versionSample{{8, at(3)}, {20, at(12)}})
}

// Guards against an owner that cannot tell how old the rows are that it reads
// when it takes over: entries that own nothing learn versions from owners.
func TestEntriesKnowVersionsBeforeTheyOwnAShard(t *testing.T) {
	s := newCluster(t, 3, 2)
	s.eventually("an owner", func() bool { _, e := s.owner(); return e != nil })
	time.Sleep(2 * time.Second)
	for _, e := range s.entries {
		v, ok := e.writeTimes.newest()
		assert.Assert(t, ok)
		assert.Assert(t, monotonicNow().Sub(v.At) < time.Second, "the newest version that %s knows is %v old", e.Settings.ID, monotonicNow().Sub(v.At))
	}
}
