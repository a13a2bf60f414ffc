package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/member"
	"jasminestep/internal/minion"
	"jasminestep/internal/peer"
	"jasminestep/internal/route"
	"jasminestep/internal/slots"
)

// Timing of requests.
const (
	callSlack       = 500 * time.Millisecond // time allowed for a forwarded call beyond the deadline of the request
	movedRetryPause = 40 * time.Millisecond  // before a key's home is looked up again
	minTryTime      = 500 * time.Millisecond // shortest try of a request that may be repeated
	maxTries        = 4
)

// Serve answers a validated request of a caller.
func (e *Entry) Serve(ctx context.Context, r *route.Request) route.Answer {
	e.inflight.Add(1)
	defer e.inflight.Done()
	began := time.Now()
	var a route.Answer
	if r.Key != "" {
		a = e.serveKeyed(ctx, r)
	} else {
		a = e.dispatch(ctx, r)
	}
	if a.Outcome == route.Unknown {
		e.recordEvent("unknown", r.ID, string(a.Reason)+" "+r.Key)
	}
	e.Metrics.Request(string(a.Outcome), string(a.Reason), time.Since(began))
	return a
}

// retryBudget bounds retries to a percentage of requests.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// maxRetryTokens is how many retries can be saved up.
const maxRetryTokens = 50

func (b *retryBudget) earn(percent int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxRetryTokens, b.tokens+float64(percent)/100)
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// dispatch sends a request to an entry with a slot for it. A request that
// provably did not run is tried elsewhere. One that may have run is tried again
// only if it is repeatable, and only within the retry budget.
func (e *Entry) dispatch(ctx context.Context, r *route.Request) route.Answer {
	limit := e.config.get().Limits.Filled()
	e.retries.earn(limit.Retry)
	a := route.NoAnswer(route.NotRun, route.NoMinion)
	tried := map[string]bool{}
	for try := range maxTries {
		left := time.Until(time.UnixMilli(r.Deadline))
		if left <= 0 || ctx.Err() != nil {
			break
		}
		t, ok := e.choose(r.Pool, tried)
		if !ok {
			break
		}
		got := e.send(r, t, try)
		if got.Outcome == route.Answered {
			return got
		}
		if a.Outcome != route.Unknown {
			a = got
		}
		if got.Outcome == route.Unknown && (!r.Repeat || !e.retries.spend()) {
			return got
		}
		if got.Outcome == route.NotRun {
			tried[t.ID] = true
		}
		e.Metrics.Retry(string(got.Reason))
		sleep(ctx, jitter(try))
	}
	return a
}

// leavingGrace is how long after its last heartbeat a stopping entry is still sent
// requests: it uses its slots until they are handed over.
const leavingGrace = time.Second

// jitter returns the random pause before the next try.
func jitter(try int) time.Duration {
	const unit = 4 * time.Millisecond
	return time.Duration(rand.Int64N(int64(unit << try)))
}

// choose picks an entry for a request among those not yet tried.
func (e *Entry) choose(pool string, tried map[string]bool) (route.Target, bool) {
	now := time.Now()
	ts := []route.Target{{Load: e.slots.Loads(now)[pool]}}
	e.view.Lock()
	for id, p := range e.view.Peers {
		l, ok := e.view.loads[id]
		if !ok || !e.view.Alive(p, now) && (p.Status != member.Left || now.Sub(l.at) > leavingGrace) {
			continue
		}
		ts = append(ts, route.Target{
			ID: id, Addr: p.Addr, OtherZone: p.Zone != e.Settings.Zone, Load: l.loads[pool], LoadAge: now.Sub(l.at), SentSinceLoad: l.sent[pool],
		})
	}
	e.view.Unlock()
	var left []route.Target
	for _, t := range ts {
		if !tried[t.ID] {
			left = append(left, t)
		}
	}
	e.random.Lock()
	order := route.RankTargets(left, e.random.Rand)
	e.random.Unlock()
	if len(order) == 0 {
		return route.Target{}, false
	}
	if id := order[0].ID; id != "" {
		e.view.Lock()
		if l := e.view.loads[id]; l.sent != nil {
			l.sent[pool]++
		}
		e.view.Unlock()
	}
	return order[0], true
}

// send has t, which is this entry or another one, serve r.
func (e *Entry) send(r *route.Request, t route.Target, try int) route.Answer {
	c := *r
	c.ID = r.ID + "." + itoa(int64(try))
	if t.ID == "" {
		return e.serveLocal(&c)
	}
	// The call outlives the caller's connection, because a slot is taken there
	// and its outcome must become known.
	ctx, cancel := context.WithDeadline(context.Background(), time.UnixMilli(r.Deadline).Add(callSlack))
	defer cancel()
	a := &route.Answer{}
	err := e.peers.Call(ctx, t.Addr, peer.Traffic, "Serve", &c, a)
	switch {
	case errors.Is(err, peer.ErrNotSent):
		return route.NoAnswer(route.NotRun, route.NoMinion)
	case err != nil:
		e.log.Debug("forward", "request", c.ID, "to", t.ID, "error", err)
		return route.NoAnswer(route.Unknown, route.AnswerLost)
	}
	if a.Loads != nil {
		e.view.Lock()
		e.view.loads[t.ID] = peerLoad{a.Loads, time.Now(), map[string]int{}, e.view.loads[t.ID].adopted}
		e.view.Unlock()
	}
	return *a
}

// Serve serves a request that another entry accepted, with a slot of this one.
func (p *Peer) Serve(r *route.Request, a *route.Answer) error {
	*a = p.e.serveLocal(r)
	a.Loads = p.e.slots.Loads(time.Now())
	return nil
}

// serveLocal serves a request with a slot of this entry.
func (e *Entry) serveLocal(r *route.Request) route.Answer {
	ctx, cancel := context.WithDeadline(context.Background(), time.UnixMilli(r.Deadline))
	defer cancel()
	if !e.awaitCurrent(ctx) {
		return route.NoAnswer(route.NotRun, route.EntryPaused)
	}
	m, _ := e.config.find(r.Member)
	began := time.Now()
	s, err := e.slots.Acquire(ctx, r.Pool, r.Member, m.Worth, time.UnixMilli(r.Deadline), began)
	switch {
	case errors.Is(err, slots.ErrNoMinion):
		return route.NoAnswer(route.NotRun, route.NoMinion)
	case errors.Is(err, slots.ErrQueueFull):
		return route.NoAnswer(route.NotRun, route.QueueFull)
	case err != nil:
		return route.NoAnswer(route.NotRun, route.NoSlotInTime)
	}
	e.Metrics.Wait(time.Since(began))
	if !e.stateCurrent() {
		e.slots.Release(s, slots.NotSent, time.Now())
		return route.NoAnswer(route.NotRun, route.EntryPaused)
	}
	return e.callMinion(ctx, r, s)
}

// callMinion sends r to the minion of slot s and gives the slot back.
func (e *Entry) callMinion(ctx context.Context, r *route.Request, s *slots.Slot) route.Answer {
	if r.Repeat {
		// Leave time for a retry on another connection or minion.
		left := time.Until(time.UnixMilli(r.Deadline))
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, max(minTryTime, left/2))
		defer cancel()
	}
	got, err := e.minions.Do(ctx, s.Addr, &minion.Request{
		ID: r.ID, Member: r.Member, Method: r.Method, Path: r.Path, Type: r.Type, Body: r.Body,
	})
	a := route.Answer{Minion: s.Name, Entry: e.Settings.ID}
	result := slots.Succeeded
	switch {
	case err == nil:
		a.Outcome, a.Status, a.Type, a.Body = route.Answered, got.Status, got.Type, got.Body
	case errors.Is(err, minion.ErrRefused):
		a.Outcome, a.Reason, result = route.NotRun, route.UpstreamRefused, slots.Failed
	case errors.Is(err, minion.ErrNotSent):
		a.Outcome, a.Reason, result = route.NotRun, route.NoMinion, slots.Failed
	default:
		a.Outcome, a.Reason, result = route.Unknown, route.AnswerLost, slots.Abandoned
		e.minions.CloseIdleConnections()
		e.log.Debug("request sent but no complete answer received", "request", r.ID, "minion", s.Name, "error", err)
	}
	if got != nil && got.Leaving {
		e.slots.SetLeaving(s.Name, s.Addr, true, time.Now())
	}
	if ejected, _ := e.slots.Release(s, result, time.Now()); ejected {
		e.recordEvent("eject", s.Name, "fails")
	}
	return a
}
