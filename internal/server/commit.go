package server

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/shard"
	"jasminestep/internal/table"
)

// errDeposed means that another entry owns the shard.
var errDeposed = errors.New("another entry owns the shard")

// commit makes a batch durable and then applies its effects.
func (o *owner) commit(b shard.Batch) {
	startTime, err := o.writeAll(b)
	o.post(func(now time.Time) {
		o.writing = false
		if err != nil {
			o.depose(err.Error())
			return
		}
		o.state.HandleWritten(now, startTime)
		o.applyEffects(b)
	})
}

// writeAll writes a batch in as many transactions as needed.
func (o *owner) writeAll(b shard.Batch) (startTime time.Time, err error) {
	rows, deletes := b.Rows, b.Delete
	for first := true; first || len(rows)+len(deletes) > 0; first = false {
		n := fitting(rows)
		k := min(len(deletes), maxRowsPerTx-n)
		if startTime, err = o.write(rows[:n], deletes[:k]); err != nil {
			return startTime, err
		}
		rows, deletes = rows[n:], deletes[k:]
	}
	return startTime, nil
}

// fitting is how many of the first rows fit in one transaction, at least one if there are
// any.
func fitting(rows []table.Row) int {
	size := 0
	for n, r := range rows {
		size += len(r.Value)
		if n == maxRowsPerTx || n > 0 && size > maxTxBytes {
			return n
		}
	}
	return len(rows)
}

// write makes rows durable if this entry still owns the shard. Every write
// changes the seq row and is conditional on its version. Thus a write that got
// no response can be sent again, and it cannot take effect late and overwrite a
// later one. It returns when the attempt began that took effect: its promise is
// the one that a successor reads.
func (o *owner) write(rows []table.Row, deletes []table.Key) (time.Time, error) {
	o.writeCount++
	writeID := fmt.Sprintf("%s.%d.%d", o.s.instanceID, o.term, o.writeCount)
	tx := table.Tx{
		If:     []table.Row{{Key: ownerKey(o.service), Version: o.ownerVersion}, {Key: seqKey(o.service), Version: o.seq.version}},
		Put:    append([]table.Row{{}}, rows...),
		Delete: deletes,
	}
	attempts := map[int64]time.Time{} // when those with a promise began, first
	for logged := false; ; {
		startTime := monotonicNow()
		seq := seqRow{Write: writeID, Promise: o.promise(startTime), Called: o.state.RecordComplete()}
		if _, ok := attempts[seq.Promise]; !ok {
			attempts[seq.Promise] = startTime
		}
		var err error
		if tx.Put[0], err = seq.row(o.service); err != nil {
			return startTime, err
		}
		res, err := o.s.relayStore.Do(o.ctx, tx)
		switch {
		case o.ctx.Err() != nil:
			return startTime, fmt.Errorf("write: %w", o.ctx.Err())
		case err != nil:
			if !logged {
				o.s.Log.Warn("shard write failed", "service", o.service, "term", o.term, "why", err.Error())
			}
			logged = true
			sleep(o.ctx, writeRetryDelay)
			continue
		case res.Done:
			seq.version = res.Version
		default:
			if seq = committedRow(res.Rows, writeID); seq.version == 0 {
				return startTime, errDeposed
			}
		}
		o.s.storeClock.observe(res.Now, startTime)
		o.seq, startTime = seq, attempts[seq.Promise]
		o.lastWriteNanos.Store(startTime.UnixNano())
		o.s.metrics.Write(monotonicNow().Sub(startTime))
		return startTime, nil
	}
}

// promise returns the promise of a write that starts at startTime, 0 if the
// store's clock is not known.
func (o *owner) promise(startTime time.Time) int64 {
	promise, ok := o.s.storeClock.now().Latest(o.state.PromisedEnd(startTime))
	if !ok {
		return 0
	}
	return promise
}

// committedRow returns the seq row if an earlier attempt of the same write was
// committed, else an empty one.
func committedRow(rows []table.Row, writeID string) seqRow {
	for _, r := range rows {
		if r.Table != seqTable {
			continue
		}
		if q := decodeSeqRow(r); q.Write == writeID {
			return q
		}
	}
	return seqRow{}
}

// applyEffects does what may be done once a batch is durable.
func (o *owner) applyEffects(b shard.Batch) {
	now := monotonicNow()
	for _, start := range b.Starts {
		h := o.handlers[start.Minion.Incarnation]
		if o.handingOver || !o.state.PrepareStart(now, &start) || h == nil {
			continue
		}
		h.sendStart(now, start)
	}
	for inc, end := range b.AckedEnds {
		o.state.HandleEndsDurable(inc, end)
		if h := o.handlers[inc]; h != nil {
			h.acknowledge(end)
		}
	}
	o.updateJobs(b.Statuses)
	o.archive.add(now, b.Ended)
}
