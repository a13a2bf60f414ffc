package entry

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/book"
	"jasminestep/internal/control"
	"jasminestep/internal/peer"
	"jasminestep/internal/slots"
)

// Timing of grants.
const (
	grantInterval    = 100 * time.Millisecond // between checks while the journal does not change
	flushInterval    = 400 * time.Millisecond // between writes of key outcomes to the journal
	ownerCallTimeout = 4 * time.Second        // default time limit of a call to a zone's owner, which waits for the journal
	probeInterval    = 200 * time.Millisecond // between probes of minions in doubt
)

// grantLoop applies the grants in the journal to the slots and the ledger,
// releases grants that are to be given up, and journals the outcomes of keys.
func (e *Entry) grantLoop(ctx context.Context) {
	var flushed time.Time
	busy := make(chan struct{}, 1) // one call to the owner at a time
	for ctx.Err() == nil {
		select {
		case <-e.replica.nextChange():
		case <-time.After(grantInterval):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		releasable := e.applyGrants(now)
		flush := now.Sub(flushed) >= flushInterval
		if len(releasable) == 0 && !flush {
			continue
		}
		select {
		case busy <- struct{}{}:
		default:
			continue
		}
		flushed = now
		go func() {
			defer func() { <-busy }()
			e.flushKeys(ctx)
			e.release(ctx, releasable)
		}()
	}
}

// heldGrants returns the minions and the shares of keys that the journal grants
// to this process.
func (e *Entry) heldGrants() (minions []slots.Assignment, shares map[int]book.Grant) {
	shares = map[int]book.Grant{}
	quiet := e.Settings.Timing().RequestTimeout
	e.replica.read(func(b *book.ZoneState) {
		for name, g := range b.Grants {
			if g.Entry != e.Settings.ID || g.Boot != e.Boot {
				continue
			}
			if book.IsKeyShare(name) {
				var n int
				if _, err := fmt.Sscanf(name, "key/%d", &n); err == nil {
					shares[n] = g
				}
				continue
			}
			h := slots.Assignment{Name: name, Pool: g.Pool, Addr: g.Addr, Slots: g.Slots, Draining: g.Drain}
			if !g.Clean {
				h.QuarantineUntil = time.UnixMilli(g.Since).Add(quiet)
			}
			minions = append(minions, h)
		}
	})
	return minions, shares
}

// applyGrants applies the grants to the slots and the ledger. It returns the
// names of those that are to be given up and are no longer in use.
func (e *Entry) applyGrants(now time.Time) (releasable []string) {
	minions, shares := e.heldGrants()
	releasable = e.slots.SetAssignments(minions, e.config.get().Limits.Filled().Queue, now)
	for n := range book.KeyShares {
		g, ok := shares[n]
		e.ledger.SetServing(n, ok && !g.Drain)
		if ok && g.Drain && e.ledger.Drained(n) {
			releasable = append(releasable, book.KeyShareName(n))
		}
	}
	return releasable
}

// ReleaseArgs names grants that an entry gives up.
type ReleaseArgs struct {
	Names []string
	Entry string
	Boot  int64
}

// release tells the owner which grants this entry gives up. The call is repeated
// until the release shows in the journal, which the owner writes later.
func (e *Entry) release(ctx context.Context, names []string) {
	if len(names) == 0 {
		return
	}
	a := &ReleaseArgs{names, e.Settings.ID, e.Boot}
	if o := e.ownership.get(); o != nil {
		e.enqueueRelease(o, a)
		return
	}
	addr, _ := e.ownerAddr()
	if addr == "" {
		return
	}
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = e.peers.Call(cctx, addr, peer.Control, "Release", a, &struct{}{}) // repeated until the journal shows it
}

func (e *Entry) enqueueRelease(o *control.Owner, a *ReleaseArgs) {
	for _, name := range a.Names {
		select {
		case o.Inbox <- control.GrantReleased{Minion: name, Entry: a.Entry, Boot: a.Boot}:
		default:
		}
	}
}

// Release accepts grants that another entry gives up.
func (p *Peer) Release(a *ReleaseArgs, _ *struct{}) error {
	o := p.e.ownership.get()
	if o == nil {
		return errNotOwner
	}
	p.e.enqueueRelease(o, a)
	return nil
}

var errNotOwner = errors.New("not the zone's owner")

// flushKeys journals the outcomes of requests with keys. While the table is
// down they are kept in memory. If the process ends before they are written, a
// repeated key is answered unknown in place of its outcome; nothing else is
// lost.
func (e *Entry) flushKeys(ctx context.Context) {
	for n := range book.KeyShares {
		unwritten := e.ledger.Unjournaled(n)
		if len(unwritten) == 0 {
			continue
		}
		a, err := e.askOwner(ctx, &OwnerArgs{Keys: &control.RecordKeys{Share: n, Seen: unwritten}})
		if err != nil || !a.OK {
			return
		}
		e.ledger.MarkJournaled(n, len(unwritten))
	}
	e.ledger.Sweep(time.Now())
}

// holdsNothing reports whether the entry can stop without leaving grants that
// another entry of the zone would first have to prove abandoned, or with no
// other entry there to take them.
func (e *Entry) holdsNothing() bool {
	if e.ownership.get() != nil {
		return false
	}
	minions, shares := e.heldGrants()
	return len(minions) == 0 && len(shares) == 0 || e.alone(time.Now())
}

// probeLoop asks minions that may still run requests abandoned by this entry or
// sent by a previous holder whether they are idle, and leaving ones whether they
// have started again. A minion must be seen idle twice in a row, so that a request
// still in transit is not missed.
func (e *Entry) probeLoop(ctx context.Context) {
	type process struct{ name, addr string }
	idleOnce := map[process]bool{}
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		doubts := e.slots.IdleChecks(time.Now())
		idle := make([]bool, len(doubts))
		var wg sync.WaitGroup
		for i, d := range doubts {
			wg.Add(1)
			go func() {
				defer wg.Done()
				idle[i] = e.probe(ctx, d)
			}()
		}
		wg.Wait()
		again := map[process]bool{}
		for i, d := range doubts {
			p := process{d.Name, d.Addr}
			if idle[i] && idleOnce[p] {
				e.slots.ConfirmIdle(d.Name, d.Addr, time.Now())
			}
			again[p] = idle[i] && !idleOnce[p]
		}
		idleOnce = again
	}
}

// probe reports whether a minion runs no requests besides those that this entry
// knows to be active.
func (e *Entry) probe(ctx context.Context, d slots.IdleCheck) bool {
	s, err := e.minions.Status(ctx, d.Addr)
	if err == nil && s.Leaving != d.Leaving {
		e.slots.SetLeaving(d.Name, d.Addr, s.Leaving, time.Now())
	}
	return err == nil && s.Busy <= d.Active
}
