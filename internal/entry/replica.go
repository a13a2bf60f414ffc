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

// replica is a zone's durable state as far as this entry has read the journal,
// with the latest batches for followers to read.
type replica struct {
	mu      sync.RWMutex
	state   *book.ZoneState
	log     []journal.Batch // consecutive; the last one has the sequence number state.Seq
	changed chan struct{}   // closed and replaced at every change
	loaded  bool            // the journal was read at least once
}

// minKeptBatches is how many batches a replica keeps at least for followers.
const minKeptBatches = 512

func (r *replica) init() {
	r.state = &book.ZoneState{}
	_ = r.state.Rebuild()
	r.changed = make(chan struct{})
}

func (r *replica) ready() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loaded
}

// read calls f with the state, which f must not retain.
func (r *replica) read(f func(*book.ZoneState)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	f(r.state)
}

func (r *replica) seq() (n int64) {
	r.read(func(b *book.ZoneState) { n = b.Seq })
	return n
}

// nextChange returns a channel that is closed at the next change.
func (r *replica) nextChange() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// apply replays batches and skips those already applied. It returns false if
// there is a gap before one of them.
func (r *replica) apply(bs []journal.Batch) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loaded = true
	ok := true
	for i := range bs {
		if bs[i].Seq <= r.state.Seq {
			continue
		}
		if !journal.Replay(r.state, &bs[i]) {
			ok = false
			break
		}
		r.log = append(r.log, bs[i])
	}
	if over := len(r.log) - minKeptBatches; over > minKeptBatches {
		r.log = append([]journal.Batch(nil), r.log[over:]...)
	}
	if len(bs) > 0 {
		r.notify()
	}
	return ok
}

// replace replaces the state by one that was read from a snapshot, unless that
// is older.
func (r *replica) replace(state *book.ZoneState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if state.Seq < r.state.Seq {
		return
	}
	r.state, r.log, r.loaded = state, nil, true
	r.notify()
}

func (r *replica) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// after returns up to most batches after seq. ok is false if they are no longer
// kept.
func (r *replica) after(seq int64, most int) (bs []journal.Batch, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if seq >= r.state.Seq {
		return nil, true
	}
	i := len(r.log) - int(r.state.Seq-seq)
	if i < 0 {
		return nil, false
	}
	return append([]journal.Batch(nil), r.log[i:min(len(r.log), i+most)]...), true
}

// encode returns the state as JSON, as snapshots store it.
func (r *replica) encode() (seq int64, b []byte, err error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	b, err = json.Marshal(r.state)
	if err != nil {
		return 0, nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return r.state.Seq, b, nil
}

// clone returns a deep copy of the state for an owner to work on.
func (r *replica) clone() (*book.ZoneState, error) {
	_, b, err := r.encode()
	if err != nil {
		return nil, err
	}
	state := &book.ZoneState{}
	if err = json.Unmarshal(b, state); err != nil {
		return nil, fmt.Errorf("copy state: %w", err)
	}
	return state, state.Rebuild()
}

// awaitSeq waits until the replica has the state seq, for at most wait, and
// reports whether it has.
func (r *replica) awaitSeq(ctx context.Context, seq int64, wait time.Duration) bool {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		ch := r.nextChange()
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
