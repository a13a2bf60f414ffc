package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/peer"
	"jasminestep/internal/platform"
	"jasminestep/pkg/operator"
)

// cells is the configuration in force. Its version never goes down.
type cells struct {
	mu     sync.Mutex
	cell   operator.Cell
	digest string
	zoned  time.Time // since when keys are spread over cell.Zones, as far as this entry knows
}

func (c *cells) get() operator.Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell
}

func (c *cells) version() (int64, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.Version, c.digest
}

// since is the time before which keys may have had another home zone.
func (c *cells) since() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zoned
}

// take puts a newer configuration in force and reports whether it did.
func (c *cells) take(n operator.Cell, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.Version <= c.cell.Version {
		return false
	}
	if c.cell.Version > 0 && fmt.Sprint(n.Zones) != fmt.Sprint(c.cell.Zones) {
		c.zoned = now
	}
	c.cell, c.digest = n, digest(&n)
	return true
}

func digest(c *operator.Cell) string {
	b, _ := json.Marshal(c) // plain data cannot fail to encode
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

const cellPrefix = "cell."

func cellKey(version int64) string { return fmt.Sprintf("%s%016d", cellPrefix, version) }

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// Timing of configuration.
const (
	cellPoll  = 2 * time.Second        // between looks at the table
	cellEager = 300 * time.Millisecond // while none is known
)

// cellLoop looks for newer configurations in the table. Heartbeats bring them
// sooner; this finds what no peer has told of.
func (e *Entry) cellLoop(ctx context.Context) {
	for ctx.Err() == nil {
		version, _ := e.cells.version()
		rows, err := e.platform.List(ctx, cellPrefix, cellKey(version), 100)
		if err == nil && len(rows) > 0 {
			e.takeCell(rows[len(rows)-1].Value)
		}
		pause := cellPoll
		if v, _ := e.cells.version(); v == 0 {
			pause = cellEager
		}
		sleep(ctx, pause)
	}
}

func (e *Entry) takeCell(b []byte) {
	var c operator.Cell
	if err := json.Unmarshal(b, &c); err != nil {
		e.log.Error("cell", "error", err)
		return
	}
	if e.cells.take(c, time.Now()) {
		e.note("cell", "version "+itoa(c.Version), c.Author)
		e.log.Info("cell", "version", c.Version, "author", c.Author)
	}
}

// ErrConflict means that a configuration was made from one that is no longer
// in force.
var ErrConflict = errors.New("made from another version than the one in force")

// ErrUnclear means that it is not known whether a change was accepted.
var ErrUnknownOutcome = errors.New("not known whether it was accepted")

// ErrDown means that a change was not accepted because the table is out of reach.
var ErrUnavailable = errors.New("not accepted: the platform's table does not answer")

// Apply makes c, which was made from version c.Version, the next version and
// returns it. A conflict names the version in force and its author.
func (e *Entry) Apply(ctx context.Context, c operator.Cell) (int64, error) {
	if err := c.Check(); err != nil {
		return 0, err
	}
	rows, err := e.platform.List(ctx, cellPrefix, cellKey(c.Version-1), 1000)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if len(rows) > 0 {
		if now := rows[len(rows)-1]; now.Key > cellKey(c.Version) {
			e.takeCell(now.Value)
			return 0, e.conflict()
		}
	}
	if len(rows) == 0 && c.Version != 0 {
		return 0, fmt.Errorf("version %d does not exist: %w", c.Version, ErrConflict)
	}
	c.Version++
	b, err := json.Marshal(&c)
	if err != nil {
		return 0, fmt.Errorf("apply: %w", err)
	}
	err = e.platform.Create(ctx, cellKey(c.Version), b)
	if err != nil && !e.isMine(ctx, c.Version, b) {
		if errors.Is(err, platform.ErrExists) {
			return 0, e.conflict()
		}
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	e.takeCell(b)
	return c.Version, nil
}

// isMine reads a version back. Two authors who write the very same bytes are
// both told that it was accepted, which it was.
func (e *Entry) isMine(ctx context.Context, version int64, b []byte) bool {
	const tries = 3
	for range tries {
		got, err := e.platform.Read(ctx, cellKey(version))
		if err == nil {
			e.takeCell(got)
			return string(got) == string(b)
		}
		if errors.Is(err, platform.ErrMissing) {
			return false
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return false
}

func (e *Entry) conflict() error {
	c := e.cells.get()
	return fmt.Errorf("version %d by %s is in force: %w", c.Version, c.Author, ErrConflict)
}

// CellArgs asks a peer for its configuration.
type CellArgs struct{}

// CellReply has it, encoded.
type CellReply struct{ Cell []byte }

// Cell answers CellArgs.
func (p *Peer) Cell(_ *CellArgs, r *CellReply) (err error) {
	c := p.e.cells.get()
	r.Cell, err = json.Marshal(&c)
	return err
}

// pullCell fetches a newer configuration from the peer that told of it.
func (e *Entry) pullCell(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r := &CellReply{}
	if e.peers.Call(ctx, addr, peer.Control, "Cell", &CellArgs{}, r) == nil {
		e.takeCell(r.Cell)
	}
}

func (c *cells) find(name string) (operator.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.Find(name)
}

func (c *cells) hasZone(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.cell.Zones, name)
}

// Config is the configuration in force.
func (e *Entry) Config() operator.Cell { return e.cells.get() }

// Longest is how long a request may run.
func (e *Entry) MaxRequestTime() time.Duration { return e.Settings.Timing().RequestTimeout }
