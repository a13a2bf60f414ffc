// Package journal keeps a zone's events in the platform's table.
//
// A row is keyed by zone and sequence number and holds a batch of events. It is
// created only if absent, and that conditional create is the fence: an owner
// that finds somebody else's batch at its next sequence number was deposed.
// Snapshots go to the object store; rows behind one are deleted.
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
	ID     string       `json:"id"`    // unique to the writer's attempt at this batch
	Epoch  int64        `json:"epoch"` // of the writer
	Entry  string       `json:"entry"`
	Time   int64        `json:"time"` // when the writer began to write it, Unix milliseconds
	Events []book.Event `json:"events"`
}

// ErrDeposed means that another entry wrote the row: the writer owns no more.
var ErrDeposed = errors.New("deposed: the journal went on without this owner")

// Store is what the journal needs of the platform.
type Store interface {
	Create(ctx context.Context, key string, value []byte) error
	Read(ctx context.Context, key string) ([]byte, error)
	List(ctx context.Context, prefix, after string, n int) ([]platform.Row, error)
	Delete(ctx context.Context, prefix, last string) error
	Put(ctx context.Context, name string, b []byte) error
	Get(ctx context.Context, name string) ([]byte, error)
	Remove(ctx context.Context, name string) error
}

// retryPause is the wait between tries at a store that does not answer.
const retryPause = 100 * time.Millisecond

// listPage is how many rows one read of the tail asks for.
const listPage = 500

// keepRows is how many rows stay behind a snapshot for followers to read.
const keepRows = 200

func prefix(zone string) string { return "journal." + zone + "." }

// Key is the table key of a zone's row.
func Key(zone string, seq int64) string { return fmt.Sprintf("%s%016d", prefix(zone), seq) }

// NewID returns a batch id.
func NewID() string { return uuid.NewString() }

// Append writes b and returns when its fate is known: nil once it is durable,
// ErrDeposed if another batch has its place, or the context's error, in which
// case the fate is not known. It tries again as long as the store is silent,
// reading the row back before each further try.
//
// lease is when the writer's ownership lapses. A create that succeeds later may
// have landed in the hole that a successor's snapshot left behind it, so it
// counts only if no row follows it.
func Append(ctx context.Context, st Store, b *Batch, lease time.Time) error {
	value, err := json.Marshal(b)
	if err != nil {
		return fmt.Errorf("append: %w", err)
	}
	key := Key(b.Zone, b.Seq)
	for {
		mine, known := false, true
		if err = st.Create(ctx, key, value); err != nil {
			mine, known = readBack(ctx, st, key, b.ID)
		} else {
			mine = true
		}
		if mine && !time.Now().Before(lease) {
			mine, known = last(ctx, st, b)
		}
		switch {
		case known && mine:
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

// readBack tells whose batch stands at key. It is not known while the store is
// silent, nor while the row is absent: a create that got no reply may yet land.
func readBack(ctx context.Context, st Store, key, id string) (mine, known bool) {
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

// last tells whether b, which stands in the table, is the journal's last row.
func last(ctx context.Context, st Store, b *Batch) (is, known bool) {
	rows, err := st.List(ctx, prefix(b.Zone), Key(b.Zone, b.Seq), 1)
	return len(rows) == 0, err == nil
}

// ErrGap means that the rows after a state were deleted behind a newer
// snapshot: load again.
var ErrGap = errors.New("journal rows deleted behind a newer snapshot")

// Tail reads up to a page of batches after seq, in order and without gaps.
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

// Replay applies b to bk if it is the next batch; others are ignored.
func Replay(bk *book.ZoneState, b *Batch) bool {
	if b.Seq != bk.Seq+1 {
		return false
	}
	for i := range b.Events {
		bk.Apply(&b.Events[i])
	}
	bk.Seq = b.Seq
	bk.At = max(bk.At, b.Time)
	return true
}

// A snapshot is an object named by its sequence number, and a row of the table
// that says it is whole. The highest row counts, so that a deposed owner that
// saves late cannot set the zone back.
func snapPrefix(zone string) string { return "snapshot." + zone + "." }

func snapKey(zone string, seq int64) string { return fmt.Sprintf("%s%016d", snapPrefix(zone), seq) }

// Load returns the zone's state from its newest snapshot; empty if it has none.
func Load(ctx context.Context, st Store, zone string) (*book.ZoneState, error) {
	bk := &book.ZoneState{}
	rows, err := st.List(ctx, snapPrefix(zone), "", listPage)
	if err != nil {
		return nil, fmt.Errorf("load %s: %w", zone, err)
	}
	if len(rows) == 0 {
		return bk, bk.Rebuild()
	}
	v, err := st.Get(ctx, rows[len(rows)-1].Key)
	if err != nil {
		return nil, fmt.Errorf("load %s: %w", zone, err)
	}
	if err = json.Unmarshal(v, bk); err != nil {
		return nil, fmt.Errorf("load %s: %w", zone, err)
	}
	return bk, bk.Rebuild()
}

// CatchUp replays the table's tail into bk until there is no more.
// It returns the time of the last row written, zero if there was none.
func CatchUp(ctx context.Context, st Store, zone string, bk *book.ZoneState) (newest time.Time, err error) {
	for {
		tail, err := Tail(ctx, st, zone, bk.Seq)
		if err != nil {
			return newest, err
		}
		for i := range tail {
			Replay(bk, &tail[i])
			newest = time.UnixMilli(tail[i].Time)
		}
		if len(tail) < listPage {
			return newest, nil
		}
	}
}

// Save stores an encoded snapshot taken at seq, then deletes what is well
// behind it: older snapshots, and rows but for some that followers may want.
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
