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

// serveKeyed has the home of a request's key serve the request.
func (e *Entry) serveKeyed(ctx context.Context, r *route.Request) route.Answer {
	k, err := ledger.Parse(r.Key)
	if err != nil {
		return route.NoAnswer(route.NotRun, route.BadKey)
	}
	a := e.sendToHome(ctx, k, r, true)
	// While a share of the keys moves between two homes, neither runs its keys.
	// That takes an unknown time, so tries are bounded by the deadline, not by a
	// count.
	for a.Reason == route.NotKeyHome && ctx.Err() == nil && time.Until(time.UnixMilli(r.Deadline)) > movedRetryPause {
		sleep(ctx, movedRetryPause)
		a = e.sendToHome(ctx, k, r, true)
	}
	if a.Reason == route.NotKeyHome {
		// No home accepted this try, but an earlier one may have run the request.
		return route.NoAnswer(route.Unknown, route.KeyHomeUnreachable)
	}
	return a
}

// HomeArgs asks an entry to serve a request as the home of its key, or, with
// Forward, to pass it on to the home in its zone.
type HomeArgs struct {
	Request route.Request
	Forward bool
}

// sendToHome sends a request to the home of its key. The reason
// route.NotKeyHome means that no home accepted it.
func (e *Entry) sendToHome(ctx context.Context, k ledger.Key, r *route.Request, forward bool) route.Answer {
	zone := k.Home(e.config.get().Zones)
	addr, here, next := "", false, false
	if zone == e.Settings.Zone {
		addr, here = e.homeAddr(k)
	} else if forward {
		addr, next = e.anyEntry(zone), true
	}
	if here {
		return e.serveAsHome(ctx, k, r)
	}
	if addr == "" || !forward {
		return route.NoAnswer(route.Unknown, route.NotKeyHome)
	}
	cctx, cancel := context.WithDeadline(context.Background(), time.UnixMilli(r.Deadline).Add(callSlack))
	defer cancel()
	a := &route.Answer{}
	err := e.peers.Call(cctx, addr, peer.Traffic, "Home", &HomeArgs{*r, next}, a)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return route.NoAnswer(route.Unknown, route.NotKeyHome)
	case err != nil:
		return route.NoAnswer(route.Unknown, route.KeyHomeUnreachable)
	}
	return *a
}

// Home serves a request with a key that another entry accepted.
func (p *Peer) Home(h *HomeArgs, a *route.Answer) error {
	k, err := ledger.Parse(h.Request.Key)
	if err != nil {
		*a = route.NoAnswer(route.NotRun, route.BadKey)
		return nil
	}
	*a = p.e.sendToHome(context.Background(), k, &h.Request, h.Forward)
	return nil
}

// homeAddr returns the address of the home of k in this zone, empty if it is not
// known or is this entry. here reports whether it is this process.
func (e *Entry) homeAddr(k ledger.Key) (addr string, here bool) {
	var g book.Grant
	e.replica.read(func(b *book.ZoneState) { g = b.Grants[book.KeyShareName(k.Share())] })
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

// anyEntry returns the address of a random live entry of a zone, empty if there
// is none. Entries that answered their last heartbeat are preferred.
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
	e.random.Lock()
	defer e.random.Unlock()
	return addrs[e.random.IntN(len(addrs))]
}

// markSilent records that the entry at addr did not answer, so that anyEntry
// prefers others of its zone until its next heartbeat.
func (e *Entry) markSilent(addr string) {
	e.view.Lock()
	defer e.view.Unlock()
	for _, p := range e.view.Peers {
		if p.Addr == addr {
			p.FailedHeartbeats++
		}
	}
}

// serveAsHome serves a request whose key has its home at this entry: it runs
// the request unless the key was seen before or may have run elsewhere.
func (e *Entry) serveAsHome(ctx context.Context, k ledger.Key, r *route.Request) route.Answer {
	if !e.awaitCurrent(ctx) {
		return route.NoAnswer(route.Unknown, route.NotKeyHome)
	}
	now := time.Now()
	var known book.KeyOutcome
	var floor time.Time
	e.replica.read(func(b *book.ZoneState) {
		known = b.Keys[k.Text]
		if f := max(b.LastEvictedKeyMS, b.Grants[book.KeyShareName(k.Share())].KeysCompleteSince); f != 0 {
			floor = time.UnixMilli(f)
		}
	})
	if z := e.config.zonesSince(); z.After(floor) {
		floor = z
	}
	entry, first, v := e.ledger.Begin(k, now, func() ledger.Decision {
		if known.Key != "" {
			return ledger.Unknown
		}
		return ledger.Decide(k.CreatedAt, floor, now, e.Settings.Timing().ClockSkew)
	})
	switch {
	case v == ledger.NotHome:
		return route.NoAnswer(route.Unknown, route.NotKeyHome)
	case v == ledger.FromFuture:
		return route.NoAnswer(route.NotRun, route.KeyInFuture)
	case v == ledger.Unknown && known.Outcome == ledger.OutcomeAnswered:
		return route.NoAnswer(route.Unknown, route.AnswerDiscarded)
	case v == ledger.Unknown:
		return route.NoAnswer(route.Unknown, route.KeyTooOld)
	case !first:
		return e.repeatAnswer(ctx, entry, r)
	}
	a := e.dispatch(ctx, r)
	e.ledger.End(k, entry, string(a.Outcome), a, len(a.Body))
	return a
}

// repeatAnswer answers a key that was seen before with its first answer, for
// which it waits if the request still runs.
func (e *Entry) repeatAnswer(ctx context.Context, en *ledger.Record, r *route.Request) route.Answer {
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
