package shard

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/work"
)

const (
	rowInterval    = 1500 * time.Millisecond // between two writes of a minion's row
	shrinkGrace    = 4500 * time.Millisecond // for which room that a minion no longer has still counts
	timelyDelivery = 500 * time.Millisecond  // after which an order counts as late
)

// minionRow is the row of a minion in the store.
type minionRow struct {
	work.Minion
	writtenAt time.Time
}

// formerCapacity is capacity that has shrunk and still counts until a time.
type formerCapacity struct {
	cpu   int64
	until time.Time
}

// writeRows writes the rows that are due.
func (w *simCluster) writeRows() {
	if w.storeDown {
		return
	}
	for _, b := range w.minions {
		if b.hasRow() && w.now.Sub(w.minionRows[b.ID].writtenAt) >= rowInterval {
			w.writeRow(b)
		}
	}
}

// hasRow reports whether the minion writes its row. One that is cut off from the
// owner still reaches the store.
func (b *simMinion) hasRow() bool { return b.crashedAt.IsZero() && !b.replaced }

// writeRow writes the row of a minion, of which the newest owner learns.
func (w *simCluster) writeRow(b *simMinion) {
	if w.storeDown {
		return
	}
	w.minionRows[b.ID] = minionRow{b.Minion, w.now}
	if len(w.owners) > 0 && !w.feedDown {
		w.tellRow(w.owners[len(w.owners)-1], b)
	}
}

// tellRow shows an owner the row of a minion, if it has one.
func (w *simCluster) tellRow(o *simOwner, b *simMinion) {
	if r, ok := w.minionRows[b.ID]; ok && b.hasRow() {
		o.st.UpdateMinion(w.now, r.Minion, r.writtenAt)
	}
}

// setFeed ends or restores the feed of rows to the newest owner.
func (w *simCluster) setFeed(down bool) {
	w.feedDown = down
	if down || w.storeDown {
		return
	}
	for _, b := range w.minions {
		w.tellRow(w.owners[len(w.owners)-1], b)
	}
}

// resize changes the room of a minion, which its next row shows. Starts in
// flight arrive before that.
func (w *simCluster) resize(b *simMinion, cpu int64) {
	var kept, orders []pendingOrder
	for _, f := range w.inFlight {
		if f.to == b {
			orders = append(orders, f)
		} else {
			kept = append(kept, f)
		}
	}
	w.inFlight = kept
	for _, f := range orders {
		f.deliver()
	}
	if cpu < b.Capacity.CPU {
		b.former = append(b.former, formerCapacity{b.Capacity.CPU, w.now.Add(shrinkGrace)})
	}
	b.Capacity.CPU = cpu
	w.record("%s has %d of cpu", b.ID, cpu)
}

// limit is what the minion may carry after a start that was sent at a time. One
// that arrives late counts as if it had arrived in time.
func (b *simMinion) limit(sent time.Time) work.Size {
	at := b.cluster.now
	if latest := sent.Add(timelyDelivery); at.After(latest) {
		at = latest
	}
	size := b.Capacity
	for _, f := range b.former {
		if at.Before(f.until) {
			size.CPU = max(size.CPU, f.cpu)
		}
	}
	return size
}

// Guards against LIMIT: after an outage of the store, tasks were placed by rows
// from before it, on a minion that had shrunk meanwhile.
func TestNothingIsPlacedByRowsFromBeforeAnOutage(t *testing.T) {
	w, _ := newOwnedCluster(t, 2)
	w.storeDown = true
	w.resize(w.minions[0], 1000)
	w.pass(5 * time.Second)
	w.storeDown = false
	w.submit(newJob("a", tasks(8, 1000)))
	w.cycle()
	assert.Equal(t, w.running(), 0, "no row has been written since")
	w.pass(rowInterval)
	w.cycle()
	assert.Equal(t, len(w.minions[0].runs), 1)
	assert.Equal(t, len(w.minions[1].runs), 4)
}

// Guards against LIMIT where only the owner's feed is behind.
func TestNothingIsPlacedByAFeedThatIsBehind(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	w.setFeed(true)
	w.resize(w.minions[0], 1000)
	w.pass(5 * time.Second)
	w.submit(newJob("a", tasks(4, 1000)))
	w.cycle()
	assert.Equal(t, w.running(), 0)
	w.setFeed(false)
	w.cycle()
	assert.Equal(t, w.running(), 1)
}

// Guards against LIMIT by an owner that takes over right after an outage.
func TestNewOwnerDoesNotRelyOnOldRows(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	w.storeDown = true
	w.resize(w.minions[0], 1000)
	w.pass(5 * time.Second)
	w.storeDown = false
	w.takeOver()
	w.startsAfterNextRows(t, 1)
}

// startsAfterNextRows submits a job of four tasks, and checks that none starts
// before rows are written again, and n after that.
func (w *simCluster) startsAfterNextRows(t *testing.T, n int) {
	t.Helper()
	w.submit(newJob("a", tasks(4, 1000)))
	w.cycle()
	assert.Equal(t, w.running(), 0)
	w.pass(rowInterval)
	w.cycle()
	assert.Equal(t, w.running(), n)
}

// Guards against LIMIT and ROUTE: an owner that learned of a minion's restart
// from its report placed by the room and the labels of the former one.
func TestNewLifeIsNotUsedBeforeItsRowIsRead(t *testing.T) {
	w, _ := newLabelledCluster(t)
	b := w.minions[0]
	b.Labels = []string{"r0"}
	b.Capacity.CPU = 1000
	w.now = w.now.Add(time.Millisecond)
	b.restart()
	w.submit(newJob("special", labelled(1, 500)), newJob("large", tasks(3, 4000)))
	w.cycle()
	w.cycle()
	assert.Equal(t, len(b.runs), 0)
	w.pass(rowInterval)
	w.submit(newJob("small", tasks(1, 1000)))
	w.cycle()
	assert.Equal(t, len(b.runs), 1)
	assert.Equal(t, w.runsOf("special"), 0)
	assert.Equal(t, w.runsOf("large"), 2)
}

// Guards against LIMIT by a start that waits for its row to become durable while
// the row of its minion grows old.
func TestStartThatWaitsForLongIsNotSentByAnOldRow(t *testing.T) {
	w, o := newOwnedCluster(t, 1)
	w.submit(newJob("a", tasks(4, 1000)))
	o.step()
	w.storeDown = true
	w.resize(w.minions[0], 1000)
	w.pass(5 * time.Second)
	o.renew(w.minions[0])
	w.storeDown = false
	o.commit(true)
	assert.Equal(t, len(w.inFlight), 0)
	w.pass(rowInterval)
	w.cycle()
	assert.Equal(t, w.running(), 1)
}

// An outage that is shorter than a row is relied on holds nothing up.
func TestShortOutageHoldsNothingUp(t *testing.T) {
	w, _ := newOwnedCluster(t, 1)
	w.storeDown = true
	w.pass(2 * time.Second)
	w.storeDown = false
	w.submit(newJob("a", tasks(4, 1000)))
	w.cycle()
	assert.Equal(t, w.running(), 4)
}
