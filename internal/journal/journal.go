// Package journal stores a zone's events in the platform's table.
//
// A row is keyed by zone and sequence number and holds a batch of events. Rows
// are created only if absent, which fences off deposed owners: an owner that
// finds another writer's batch at its next sequence number has been deposed.
// Snapshots are stored in the object store, and old rows covered by a snapshot
// are deleted.
package journal

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"jasminestep/internal/book"
	"jasminestep/internal/platform"
)

// Batch is one row of the journal.
type Batch struct {
	Zone   string       `json:"zone"`
	Seq    int64        `json:"seq"`
	ID     string       `json:"id"`    // unique to one writer's attempt to write this row
	Epoch  int64        `json:"epoch"` // epoch of the writer
	Entry  string       `json:"entry"`
	Time   int64        `json:"time"` // start of the write, Unix milliseconds
	Events []book.Event `json:"events"`
}

// ErrDeposed means that another entry wrote the row: the writer is not the owner
// any more.
var ErrDeposed = errors.New("deposed: the journal went on without this owner")

// Store is the part of the platform that the journal uses.
type Store interface {
	Create(ctx context.Context, key string, value []byte) error
	Read(ctx context.Context, key string) ([]byte, error)
	List(ctx context.Context, prefix, after string, n int) ([]platform.Row, error)
	Delete(ctx context.Context, prefix, last string) error
	Put(ctx context.Context, name string, b []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Remove(ctx context.Context, name string) error
}

// retryPause is the delay before a store that did not answer is tried again.
const retryPause = 100 * time.Millisecond

// listPage is the maximum number of rows per List call.
const listPage = 500

// keepRows is the number of rows before a snapshot that are kept for followers.
const keepRows = 200

func prefix(zone string) string { return "journal." + zone + "." }

// Key returns the table key of a journal row.
func Key(zone string, seq int64) string { return fmt.Sprintf("%s%016d", prefix(zone), seq) }

// NewID returns a new batch id.
func NewID() string { return uuid.NewString() }

// Append writes b and returns nil once it is durable, ErrDeposed if another batch
// holds its sequence number, or the context's error, in which case the outcome is
// unknown. While the store does not answer, it reads the row back and retries.
//
// lease is the expiry of the writer's ownership. If the create succeeds after
// that, a successor may already have written and, after a snapshot, deleted a row
// with the same number, so the batch counts as durable only if no row follows it.
func Append(ctx context.Context, st Store, b *Batch, lease time.Time) error {
	value, err := json.Marshal(b)
	if err != nil {
		return fmt.Errorf("append: %w", err)
	}
	key := Key(b.Zone, b.Seq)
	for {
		written, known := false, true
		if err = st.Create(ctx, key, value); err != nil {
			written, known = readBack(ctx, st, key, b.ID)
		} else {
			written = true
		}
		if written && !time.Now().Before(lease) {
			written, known = isLastRow(ctx, st, b)
		}
		switch {
		case known && written:
			return nil
		case known:
			return fmt.Errorf("append %s: %w", key, ErrDeposed)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("append %s: %w", key, ctx.Err())
		case <-time.After(retryPause):
		}
	}
}

// readBack reports whether the row at key is the batch with the given id. That is
// unknown if the store does not answer, and also if the row is absent, because a
// create that got no reply may still take effect.
func readBack(ctx context.Context, st Store, key, id string) (written, known bool) {
	v, err := st.Read(ctx, key)
	if err != nil {
		return false, false
	}
	var got Batch
	if json.Unmarshal(v, &got) != nil {
		return false, true
	}
	return got.ID == id, true
}

// isLastRow reports whether b, which is in the table, is the last row of the
// journal.
func isLastRow(ctx context.Context, st Store, b *Batch) (isLast, known bool) {
	rows, err := st.List(ctx, prefix(b.Zone), Key(b.Zone, b.Seq), 1)
	return len(rows) == 0, err == nil
}

// ErrGap means that rows following a state were deleted after a newer snapshot
// was saved. The caller must load that snapshot.
var ErrGap = errors.New("journal rows deleted behind a newer snapshot")

// Tail reads up to listPage batches after seq, in order and without gaps.
func Tail(ctx context.Context, st Store, zone string, seq int64) ([]Batch, error) {
	rows, err := st.List(ctx, prefix(zone), Key(zone, seq), listPage)
	if err != nil {
		return nil, fmt.Errorf("tail %s: %w", zone, err)
	}
	out := make([]Batch, 0, len(rows))
	for _, r := range rows {
		var b Batch
		if err = json.Unmarshal(r.Value, &b); err != nil {
			return nil, fmt.Errorf("tail %s: row %s: %w", zone, r.Key, err)
		}
		if b.Seq != seq+int64(len(out))+1 {
			return nil, fmt.Errorf("tail %s after %d: %w", zone, seq, ErrGap)
		}
		out = append(out, b)
	}
	return out, nil
}

// Replay applies b to state and returns true if b is the next batch; other batches
// are ignored.
func Replay(state *book.ZoneState, b *Batch) bool {
	if b.Seq != state.Seq+1 {
		return false
	}
	for i := range b.Events {
		state.Apply(&b.Events[i])
	}
	state.Seq = b.Seq
	state.At = max(state.At, b.Time)
	return true
}

// A snapshot is an object named by its sequence number, plus a table row that
// marks the object as complete. The row with the highest number is the current
// one, so that a deposed owner that saves late cannot roll the zone back.
func snapPrefix(zone string) string { return "snapshot." + zone + "." }

func snapKey(zone string, seq int64) string { return fmt.Sprintf("%s%016d", snapPrefix(zone), seq) }

// Load returns the zone's state from its newest snapshot, or an empty state if
// there is none.
func Load(ctx context.Context, st Store, zone string) (*book.ZoneState, error) {
	state := &book.ZoneState{}
	rows, err := st.List(ctx, snapPrefix(zone), "", listPage)
	if err != nil {
		return nil, fmt.Errorf("load %s: %w", zone, err)
	}
	if len(rows) == 0 {
		return state, state.Rebuild()
	}
	v, err := st.Get(ctx, rows[len(rows)-1].Key)
	if err != nil {
		return nil, fmt.Errorf("load %s: %w", zone, err)
	}
	if err = json.Unmarshal(v, state); err != nil {
		return nil, fmt.Errorf("load %s: %w", zone, err)
	}
	return state, state.Rebuild()
}

// CatchUp replays all rows after state.Seq into state.
// It returns the time of the last row read, zero if there was none.
func CatchUp(ctx context.Context, st Store, zone string, state *book.ZoneState) (newest time.Time, err error) {
	for {
		tail, err := Tail(ctx, st, zone, state.Seq)
		if err != nil {
			return newest, err
		}
		for i := range tail {
			Replay(state, &tail[i])
			newest = time.UnixMilli(tail[i].Time)
		}
		if len(tail) < listPage {
			return newest, nil
		}
	}
}

// Save stores an encoded snapshot taken at seq. It then deletes older snapshots
// and all rows up to seq except the last keepRows, which followers may read.
func Save(ctx context.Context, st Store, zone string, seq int64, snap []byte) error {
	key := snapKey(zone, seq)
	if err := st.Put(ctx, key, snap); err != nil {
		return fmt.Errorf("save %s: %w", zone, err)
	}
	if err := st.Create(ctx, key, []byte("{}")); err != nil && !errors.Is(err, platform.ErrExists) {
		return fmt.Errorf("save %s: %w", zone, err)
	}
	rows, err := st.List(ctx, snapPrefix(zone), "", listPage)
	if err != nil {
		return fmt.Errorf("save %s: %w", zone, err)
	}
	for _, r := range rows {
		if r.Key >= key {
			break
		}
		if err = st.Remove(ctx, r.Key); err != nil {
			return fmt.Errorf("save %s: %w", zone, err)
		}
		if err = st.Delete(ctx, snapPrefix(zone), r.Key); err != nil {
			return fmt.Errorf("save %s: %w", zone, err)
		}
	}
	if seq <= keepRows {
		return nil
	}
	if err = st.Delete(ctx, prefix(zone), Key(zone, seq-keepRows)); err != nil {
		return fmt.Errorf("save %s: %w", zone, err)
	}
	return nil
}
