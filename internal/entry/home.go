package entry

import (
	"context"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/ledger"
	"jasminestep/internal/peer"
	"jasminestep/internal/route"

	"github.com/cockroachdb/errors"
)

// keyed finds the home of a request's key and has it decide.
func (e *Entry) keyed(ctx context.Context, r *route.Request) route.Answer {
	k, err := ledger.Parse(r.Key)
	if err != nil {
		return route.NoAnswer(route.NotRun, route.BadKey)
	}
	a := e.toHome(ctx, k, r, true)
	// While a share of the keys is between two homes nobody lets its keys run;
	// how long that takes is not for a count of tries to say.
	for a.Reason == route.NotKeyOwner && ctx.Err() == nil && time.Until(time.UnixMilli(r.Deadline)) > movedPause {
		sleep(ctx, movedPause)
		a = e.toHome(ctx, k, r, true)
	}
	if a.Reason == route.NotKeyOwner {
		// No home took this try, but an earlier one may have run it.
		return route.NoAnswer(route.Unknown, route.KeyOwnerUnreachable)
	}
	return a
}

// HomeArgs asks an entry to decide about a request with a key, or, if it may
// forward, to find the entry of its zone that does.
type HomeArgs struct {
	Request route.Request
	Forward bool
}

// toHome sends a request to its key's home; Moved means that nobody took it.
func (e *Entry) toHome(ctx context.Context, k ledger.Key, r *route.Request, forward bool) route.Answer {
	zone := k.Home(e.cells.get().Zones)
	addr, here, next := "", false, false
	if zone == e.Settings.Zone {
		addr, here = e.homeAddr(k)
	} else if forward {
		addr, next = e.anyEntry(zone), true
	}
	if here {
		return e.home(ctx, k, r)
	}
	if addr == "" || !forward {
		return route.NoAnswer(route.Unknown, route.NotKeyOwner)
	}
	cctx, cancel := context.WithDeadline(context.Background(), time.UnixMilli(r.Deadline).Add(callSlack))
	defer cancel()
	a := &route.Answer{}
	err := e.peers.Call(cctx, addr, peer.Traffic, "Home", &HomeArgs{*r, next}, a)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return route.NoAnswer(route.Unknown, route.NotKeyOwner)
	case err != nil:
		return route.NoAnswer(route.Unknown, route.KeyOwnerUnreachable)
	}
	return *a
}

// Home answers HomeArgs.
func (p *Peer) Home(h *HomeArgs, a *route.Answer) error {
	k, err := ledger.Parse(h.Request.Key)
	if err != nil {
		*a = route.NoAnswer(route.NotRun, route.BadKey)
		return nil
	}
	*a = p.e.toHome(context.Background(), k, &h.Request, h.Forward)
	return nil
}

// homeAddr is where the home of k in this zone can be called.
func (e *Entry) homeAddr(k ledger.Key) (addr string, here bool) {
	var g book.Grant
	e.rep.read(func(b *book.ZoneState) { g = b.Grants[book.KeyShareName(k.Share())] })
	if g.Entry == e.Settings.ID {
		return "", g.Boot == e.Boot
	}
	e.view.Lock()
	defer e.view.Unlock()
	if p := e.view.Peers[g.Entry]; p != nil && p.Boot == g.Boot {
		return p.Addr, false
	}
	return "", false
}

// anyEntry is the address of some live entry of a zone; empty if there is none.
func (e *Entry) anyEntry(zone string) string {
	now := time.Now()
	var addrs, doubtful []string
	e.view.Lock()
	for _, p := range e.view.Peers {
		switch {
		case p.Zone != zone || !e.view.Alive(p, now):
		case p.FailedHeartbeats > 0:
			doubtful = append(doubtful, p.Addr)
		default:
			addrs = append(addrs, p.Addr)
		}
	}
	e.view.Unlock()
	if len(addrs) == 0 {
		addrs = doubtful
	}
	if len(addrs) == 0 {
		return ""
	}
	e.rnd.Lock()
	defer e.rnd.Unlock()
	return addrs[e.rnd.IntN(len(addrs))]
}

// silent records that the entry at addr did not answer, so that others of its
// zone are asked before it is heard again.
func (e *Entry) silent(addr string) {
	e.view.Lock()
	defer e.view.Unlock()
	for _, p := range e.view.Peers {
		if p.Addr == addr {
			p.FailedHeartbeats++
		}
	}
}

// home decides about a request whose key is at home here.
func (e *Entry) home(ctx context.Context, k ledger.Key, r *route.Request) route.Answer {
	if !e.awaitAwake(ctx) {
		return route.NoAnswer(route.Unknown, route.NotKeyOwner)
	}
	now := time.Now()
	var known book.KeyOutcome
	var floor time.Time
	e.rep.read(func(b *book.ZoneState) {
		known = b.Keys[k.Text]
		if f := max(b.LastEvictedKeyMS, b.Grants[book.KeyShareName(k.Share())].KeysCompleteSince); f != 0 {
			floor = time.UnixMilli(f)
		}
	})
	if z := e.cells.since(); z.After(floor) {
		floor = z
	}
	en, first, v := e.ledger.Begin(k, now, func() ledger.Decision {
		if known.Key != "" {
			return ledger.Unknown
		}
		return ledger.Decide(k.CreatedAt, floor, now, e.Settings.Timing().ClockSkew)
	})
	switch {
	case v == ledger.NotHome:
		return route.NoAnswer(route.Unknown, route.NotKeyOwner)
	case v == ledger.FromFuture:
		return route.NoAnswer(route.NotRun, route.KeyInFuture)
	case v == ledger.Unknown && known.Outcome == ledger.OutcomeAnswered:
		return route.NoAnswer(route.Unknown, route.AnswerDiscarded)
	case v == ledger.Unknown:
		return route.NoAnswer(route.Unknown, route.KeyTooOld)
	case !first:
		return e.again(ctx, en, r)
	}
	a := e.run(ctx, r)
	e.ledger.End(k, en, string(a.Outcome), a, len(a.Body))
	return a
}

// again answers a key that was seen before, with the answer of then.
func (e *Entry) again(ctx context.Context, en *ledger.Record, r *route.Request) route.Answer {
	select {
	case <-en.Done:
	case <-ctx.Done():
		return route.NoAnswer(route.Unknown, route.AnswerLost)
	case <-time.After(time.Until(time.UnixMilli(r.Deadline))):
		return route.NoAnswer(route.Unknown, route.AnswerLost)
	}
	if a, ok := e.ledger.Answer(en).(route.Answer); ok {
		return a
	}
	return route.NoAnswer(route.Unknown, route.AnswerDiscarded)
}
