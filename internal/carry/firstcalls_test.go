package carry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

// A carrier that stood still made the first calls of a new session as late as that was:
// it takes the first batch of each session for one that was not delayed.
func TestFirstCallsOfASessionAreNotMadeLate(t *testing.T) {
	m := &fakeMinions{}
	k := &fakeClock{now: time.Unix(1000, 0)}
	c := NewCarrier(m, "life", k.Now)
	start := []Call{{N: 1, Kind: startCall, Limit: time.Second, Start: work.Start{}}}
	c.RunBatch(Batch{Session: "owner.1", Sent: k.Now().UnixNano(), Calls: start})
	c.FetchResults("owner.1")
	sent := k.Now()
	k.advance(20 * time.Second) // the carrier stands still; the batch waits in its socket
	c.RunBatch(Batch{Session: "owner.2", Sent: sent.UnixNano(), Calls: start})
	c.FetchResults("owner.2")
	started, _, _ := m.counts()
	assert.Equal(t, started, 1)
}

// The calls of a new session are made while the carrier is awake, however long it has been
// idle, and again after a standstill.
func TestFirstCallsOfASessionAreMadeInTime(t *testing.T) {
	m := &fakeMinions{}
	k := &fakeClock{now: time.Unix(1000, 0)}
	c := NewCarrier(m, "life", k.Now)
	made := func(session string) bool {
		before, _, _ := m.counts()
		c.RunBatch(Batch{Session: session, Sent: k.Now().UnixNano(), Calls: []Call{{N: 1, Kind: startCall, Limit: time.Second}}})
		c.FetchResults(session)
		after, _, _ := m.counts()
		return after > before
	}
	c.Beat()
	for range 100 {
		k.advance(BeatInterval)
		c.Beat()
	}
	assert.Assert(t, made("owner.1"))
	k.advance(20 * time.Second)
	c.Beat()
	assert.Assert(t, !made("owner.2"))
	for range 11 {
		k.advance(BeatInterval)
		c.Beat()
	}
	assert.Assert(t, made("owner.2"))
}
