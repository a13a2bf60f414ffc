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

// activeConfig holds the configuration in force. Its version never decreases.
type activeConfig struct {
	mu           sync.Mutex
	cell         operator.Cell
	digest       string
	zonesChanged time.Time // when this entry learned of the current cell.Zones; zero if they never changed here
}

func (c *activeConfig) get() operator.Cell {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell
}

func (c *activeConfig) version() (int64, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.Version, c.digest
}

// zonesSince returns the time before which keys may have had another home zone.
func (c *activeConfig) zonesSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.zonesChanged
}

// update puts n in force if it is newer, and reports whether it did.
func (c *activeConfig) update(n operator.Cell, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n.Version <= c.cell.Version {
		return false
	}
	if c.cell.Version > 0 && fmt.Sprint(n.Zones) != fmt.Sprint(c.cell.Zones) {
		c.zonesChanged = now
	}
	c.cell, c.digest = n, digest(&n)
	return true
}

func digest(c *operator.Cell) string {
	b, _ := json.Marshal(c) // Cell holds plain data only, which always encodes
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

const cellPrefix = "cell."

func cellKey(version int64) string { return fmt.Sprintf("%s%016d", cellPrefix, version) }

func itoa(n int64) string { return strconv.FormatInt(n, 10) }

// Timing of configuration.
const (
	configPollInterval        = 2 * time.Second        // between reads of the table
	initialConfigPollInterval = 300 * time.Millisecond // the same, while no configuration is known
)

// configLoop polls the table for newer configurations. Heartbeats announce them
// sooner; this finds those that no peer has announced.
func (e *Entry) configLoop(ctx context.Context) {
	for ctx.Err() == nil {
		version, _ := e.config.version()
		rows, err := e.platform.List(ctx, cellPrefix, cellKey(version), 100)
		if err == nil && len(rows) > 0 {
			e.updateConfig(rows[len(rows)-1].Value)
		}
		pause := configPollInterval
		if v, _ := e.config.version(); v == 0 {
			pause = initialConfigPollInterval
		}
		sleep(ctx, pause)
	}
}

func (e *Entry) updateConfig(b []byte) {
	var c operator.Cell
	if err := json.Unmarshal(b, &c); err != nil {
		e.log.Error("cell", "error", err)
		return
	}
	if e.config.update(c, time.Now()) {
		e.recordEvent("cell", "version "+itoa(c.Version), c.Author)
		e.log.Info("cell", "version", c.Version, "author", c.Author)
	}
}

// ErrConflict means that a configuration was derived from a version that is no
// longer in force.
var ErrConflict = errors.New("made from another version than the one in force")

// ErrUnknownOutcome means that it is not known whether a change was accepted.
var ErrUnknownOutcome = errors.New("not known whether it was accepted")

// ErrUnavailable means that a change was not accepted because the table is out of
// reach.
var ErrUnavailable = errors.New("not accepted: the platform's table does not answer")

// Apply publishes c, which was derived from version c.Version, as the next
// version and returns that version. A conflict error names the version in force
// and its author.
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
			e.updateConfig(now.Value)
			return 0, e.conflictError()
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
	if err != nil && !e.readBack(ctx, c.Version, b) {
		if errors.Is(err, platform.ErrExists) {
			return 0, e.conflictError()
		}
		return 0, fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
	}
	e.updateConfig(b)
	return c.Version, nil
}

// readBack reports whether the stored version equals b. Two authors who write
// identical bytes are both told that theirs was accepted, which is true.
func (e *Entry) readBack(ctx context.Context, version int64, b []byte) bool {
	const tries = 3
	for range tries {
		got, err := e.platform.Read(ctx, cellKey(version))
		if err == nil {
			e.updateConfig(got)
			return string(got) == string(b)
		}
		if errors.Is(err, platform.ErrMissing) {
			return false
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return false
}

func (e *Entry) conflictError() error {
	c := e.config.get()
	return fmt.Errorf("version %d by %s is in force: %w", c.Version, c.Author, ErrConflict)
}

// CellArgs asks a peer for its configuration.
type CellArgs struct{}

// CellReply is the configuration, as JSON.
type CellReply struct{ Cell []byte }

// Cell returns the configuration in force.
func (p *Peer) Cell(_ *CellArgs, r *CellReply) (err error) {
	c := p.e.config.get()
	r.Cell, err = json.Marshal(&c)
	return err
}

// fetchConfig fetches a newer configuration from the peer that announced it.
func (e *Entry) fetchConfig(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r := &CellReply{}
	if e.peers.Call(ctx, addr, peer.Control, "Cell", &CellArgs{}, r) == nil {
		e.updateConfig(r.Cell)
	}
}

func (c *activeConfig) find(name string) (operator.Member, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cell.Find(name)
}

func (c *activeConfig) hasZone(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Contains(c.cell.Zones, name)
}

// Config returns the configuration in force.
func (e *Entry) Config() operator.Cell { return e.config.get() }

// MaxRequestTime returns how long a request may run.
func (e *Entry) MaxRequestTime() time.Duration { return e.Settings.Timing().RequestTimeout }
