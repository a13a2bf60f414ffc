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

// Timing of holding.
const (
	holdTick   = 100 * time.Millisecond
	flushEvery = 400 * time.Millisecond // between writes of outcomes to the journal
	ownerCall  = 4 * time.Second        // a call to the owner that waits for the journal
	probeTick  = 200 * time.Millisecond
)

// holdLoop brings what this entry spends in line with the grants in the
// journal, gives up what it is asked to, and journals outcomes of keys.
func (e *Entry) holdLoop(ctx context.Context) {
	var flushed time.Time
	busy := make(chan struct{}, 1) // one call to the owner at a time
	for ctx.Err() == nil {
		select {
		case <-e.rep.wait():
		case <-time.After(holdTick):
		case <-ctx.Done():
			return
		}
		now := time.Now()
		give := e.hold(now)
		flush := now.Sub(flushed) >= flushEvery
		if len(give) == 0 && !flush {
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
			e.release(ctx, give)
		}()
	}
}

// held lists what the journal grants this process.
func (e *Entry) held() (ms []slots.Assignment, shares map[int]book.Grant) {
	shares = map[int]book.Grant{}
	quiet := e.Settings.Timing().RequestTimeout
	e.rep.read(func(b *book.ZoneState) {
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
			ms = append(ms, h)
		}
	})
	return ms, shares
}

// hold applies the grants to the slots and to the ledger, and lists what is to
// be given up and no longer in use.
func (e *Entry) hold(now time.Time) (give []string) {
	ms, shares := e.held()
	give = e.slots.SetAssignments(ms, e.cells.get().Limits.Filled().Queue, now)
	for n := range book.KeyShares {
		g, ok := shares[n]
		e.ledger.SetServing(n, ok && !g.Drain)
		if ok && g.Drain && e.ledger.Drained(n) {
			give = append(give, book.KeyShareName(n))
		}
	}
	return give
}

// ReleaseArgs gives grants up.
type ReleaseArgs struct {
	Names []string
	Entry string
	Boot  int64
}

// release tells the owner what is given up. The owner journals it in its own
// time; until it has, the release is said again.
func (e *Entry) release(ctx context.Context, names []string) {
	if len(names) == 0 {
		return
	}
	a := &ReleaseArgs{names, e.Settings.ID, e.Boot}
	if o := e.own.get(); o != nil {
		e.takeRelease(o, a)
		return
	}
	addr, _ := e.ownerAddr()
	if addr == "" {
		return
	}
	cctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_ = e.peers.Call(cctx, addr, peer.Control, "Release", a, &struct{}{}) // said again until the journal shows it
}

func (e *Entry) takeRelease(o *control.Owner, a *ReleaseArgs) {
	for _, name := range a.Names {
		select {
		case o.Inbox <- control.GrantReleased{Minion: name, Entry: a.Entry, Boot: a.Boot}:
		default:
		}
	}
}

// Release answers ReleaseArgs.
func (p *Peer) Release(a *ReleaseArgs, _ *struct{}) error {
	o := p.e.own.get()
	if o == nil {
		return errNotOwner
	}
	p.e.takeRelease(o, a)
	return nil
}

var errNotOwner = errors.New("not the zone's owner")

// flushKeys journals the outcomes of requests with keys. While the table is
// down they wait in memory; all that is lost with this process then is that a
// repeated key hears unknown in place of what became of it.
func (e *Entry) flushKeys(ctx context.Context) {
	for n := range book.KeyShares {
		todo := e.ledger.Unjournaled(n)
		if len(todo) == 0 {
			continue
		}
		a, err := e.toOwner(ctx, &OwnerArgs{Keys: &control.RecordKeys{Share: n, Seen: todo}})
		if err != nil || !a.OK {
			return
		}
		e.ledger.MarkJournaled(n, len(todo))
	}
	e.ledger.Sweep(time.Now())
}

// holdsNothing reports whether a stop would leave nothing behind that another
// entry of the zone would have to prove abandoned.
func (e *Entry) holdsNothing() bool {
	if e.own.get() != nil {
		return false
	}
	ms, shares := e.held()
	return len(ms) == 0 && len(shares) == 0 || e.alone(time.Now())
}

// probeLoop asks minions of which it is in doubt whether they are idle. Twice
// in a row, so that a request still on its way is not overlooked.
func (e *Entry) probeLoop(ctx context.Context) {
	seen := map[string]bool{}
	for ctx.Err() == nil {
		sleep(ctx, probeTick)
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
		again := map[string]bool{}
		for i, d := range doubts {
			if idle[i] && seen[d.Name] {
				e.slots.ConfirmIdle(d.Name, time.Now())
			}
			again[d.Name] = idle[i] && !seen[d.Name]
		}
		seen = again
	}
}

// probe reports whether a minion runs no more than what this entry knows of.
func (e *Entry) probe(ctx context.Context, d slots.IdleCheck) bool {
	s, err := e.minions.Status(ctx, d.Addr)
	if err == nil && s.Leaving {
		e.slots.MarkLeaving(d.Name)
	}
	return err == nil && s.Busy <= d.Active
}
