package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/journal"
)

// replica is the durable state of the entry's zone, as far as this entry has
// read the journal, and the latest batches for others to read.
type replica struct {
	mu      sync.RWMutex
	bk      *book.ZoneState
	log     []journal.Batch // consecutive, the last one is bk.Seq
	changed chan struct{}   // closed and replaced at every change
	loaded  bool            // the journal was read at least once
}

// keepBatches is how many batches a replica keeps for others.
const keepBatches = 512

func (r *replica) init() {
	r.bk = &book.ZoneState{}
	_ = r.bk.Rebuild()
	r.changed = make(chan struct{})
}

func (r *replica) ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loaded
}

// read calls f with the state, which f must not keep.
func (r *replica) read(f func(*book.ZoneState)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.bk)
}

func (r *replica) seq() (n int64) {
	r.read(func(b *book.ZoneState) { n = b.Seq })
	return n
}

// wait returns a channel that is closed at the next change.
func (r *replica) wait() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// apply replays batches that follow; it returns whether all did.
func (r *replica) apply(bs []journal.Batch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = true
	ok := true
	for i := range bs {
		if bs[i].Seq <= r.bk.Seq {
			continue
		}
		if !journal.Replay(r.bk, &bs[i]) {
			ok = false
			break
		}
		r.log = append(r.log, bs[i])
	}
	if over := len(r.log) - keepBatches; over > keepBatches {
		r.log = append([]journal.Batch(nil), r.log[over:]...)
	}
	if len(bs) > 0 {
		r.wake()
	}
	return ok
}

// replace takes a newer state, read from a snapshot.
func (r *replica) replace(bk *book.ZoneState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if bk.Seq < r.bk.Seq {
		return
	}
	r.bk, r.log, r.loaded = bk, nil, true
	r.wake()
}

func (r *replica) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// after returns the batches after seq; ok is false if they are no longer kept.
func (r *replica) after(seq int64, most int) (bs []journal.Batch, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if seq >= r.bk.Seq {
		return nil, true
	}
	i := len(r.log) - int(r.bk.Seq-seq)
	if i < 0 {
		return nil, false
	}
	return append([]journal.Batch(nil), r.log[i:min(len(r.log), i+most)]...), true
}

// encode returns the state as it is kept in snapshots.
func (r *replica) encode() (seq int64, b []byte, err error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	b, err = json.Marshal(r.bk)
	if err != nil {
		return 0, nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return r.bk.Seq, b, nil
}

// copy returns a state of its own for an owner to work on.
func (r *replica) copy() (*book.ZoneState, error) {
	_, b, err := r.encode()
	if err != nil {
		return nil, err
	}
	bk := &book.ZoneState{}
	if err = json.Unmarshal(b, bk); err != nil {
		return nil, fmt.Errorf("copy state: %w", err)
	}
	return bk, bk.Rebuild()
}

// fresh waits until the replica has the state seq.
func (r *replica) fresh(ctx context.Context, seq int64, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		ch := r.wait()
		if r.seq() >= seq && r.ready() {
			return true
		}
		if wait == 0 {
			return false
		}
		select {
		case <-ch:
		case <-t.C:
			return r.seq() >= seq && r.ready()
		case <-ctx.Done():
			return false
		}
	}
}
