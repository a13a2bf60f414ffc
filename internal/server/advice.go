package server

import (
	"context"
	"slices"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/shard"
)

// The placement service handles one request at a time per VM. Owners therefore
// spread their requests over the entries, with at most one per entry in
// progress. Each shard prefers entries of its own, and while it makes short requests,
// some of them are reserved for these, so that urgent jobs do not wait for long ones.

// longRequestTime is the expected time from which a request counts as long.
const longRequestTime = 100 * time.Millisecond

// adviceEntries returns the addresses of the entries that send a shard's
// requests to the placement service, in order of preference. The underlying
// order is the same on all entries. There is always at least one address.
func (s *Server) adviceEntries(now time.Time, service string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := []string{s.Settings.ID}
	addrs := map[string]string{s.Settings.ID: s.Settings.PeerAddr}
	for n, e := range s.entries {
		if n != s.Settings.ID && !e.Leaving && !s.avoided(now, e.Addr) {
			names = append(names, n)
			addrs[n] = e.Addr
		}
	}
	sort.Slice(names, func(a, b int) bool { return rank("ask", names[a]) < rank("ask", names[b]) })
	services := s.activeServices()
	first := 0
	if i := sort.SearchStrings(services, service); i < len(services) {
		first = i * len(names) / len(services)
	}
	count := max(1, int(min(1, adviceListsPerEntry/float64(max(1, len(services))))*float64(len(names))))
	out := make([]string, 0, count)
	for k := range count {
		out = append(out, addrs[names[(first+k)%len(names)]])
	}
	return out
}

// adviceListsPerEntry is the mean number of shards whose lists include an
// entry. Above 1, neighbouring shards share a few entries, which are last in
// order for one of them.
const adviceListsPerEntry = 1.4

// activeServices returns the names of the services that have shards, sorted.
func (s *Server) activeServices() []string {
	c := s.cfg.Load()
	if c == nil {
		return nil
	}
	var out []string
	for _, svc := range c.Services {
		if !svc.Standby {
			out = append(out, svc.Name)
		}
	}
	sort.Strings(out)
	return out
}

// adviceRequests tracks an owner's requests to the placement service. It
// belongs to the control goroutine.
type adviceRequests struct {
	addrs    []string
	inFlight map[string]bool // addresses of entries with a request in progress
	listedAt time.Time       // when addrs was computed
	shortAt  time.Time       // when the last short request was sent
}

// remove removes an entry that did not respond, unless it is the only one.
func (a *adviceRequests) remove(addr string) {
	if len(a.addrs) > 1 {
		a.addrs = slices.DeleteFunc(slices.Clone(a.addrs), func(x string) bool { return x == addr })
	}
}

// adviceListTTL is how long a list of entries is used before it is computed
// again.
const adviceListTTL = 500 * time.Millisecond

// adviceCapacity returns how many more requests can be sent now.
func (o *owner) adviceCapacity(now time.Time) shard.QueryCapacity {
	if now.Sub(o.advice.listedAt) > adviceListTTL {
		o.advice.addrs, o.advice.listedAt = o.s.adviceEntries(now, o.service), now
	}
	free := 0
	for _, a := range o.advice.addrs {
		if !o.advice.inFlight[a] {
			free++
		}
	}
	return shard.QueryCapacity{Total: free, Slow: max(0, free-o.advice.reserved(now)), SlowFrom: longRequestTime}
}

// reserved returns how many entries are reserved for short requests: none if the shard
// has made none for shortRequestMemory.
func (a *adviceRequests) reserved(now time.Time) int {
	if a.shortAt.IsZero() || now.Sub(a.shortAt) > shortRequestMemory {
		return 0
	}
	return reservedForShort(len(a.addrs))
}

// shortRequestMemory is how long entries stay reserved after a short request.
const shortRequestMemory = 10 * time.Second

// reservedForShort returns how many of n entries are reserved for short
// requests.
func reservedForShort(n int) int {
	if n < 2 {
		return 0
	}
	return max(1, n/entriesPerShortSlot)
}

// entriesPerShortSlot is the number of entries per entry reserved for short
// requests.
const entriesPerShortSlot = 6

// requestAdvice sends a request through an entry that has none from this owner
// in progress.
func (o *owner) requestAdvice(query shard.AdviceQuery) {
	addr := ""
	for _, candidate := range o.advice.addrs {
		if !o.advice.inFlight[candidate] {
			addr = candidate
			break
		}
	}
	if addr == "" {
		o.state.HandleAdvice(monotonicNow(), monotonicNow(), query, nil, 0, errors.New("all entries have an advice request in progress"))
		return
	}
	o.advice.inFlight[addr] = true
	if query.Cost < longRequestTime {
		o.advice.shortAt = monotonicNow()
	}
	go func() {
		reply, err := o.callAdvise(addr, query)
		given := monotonicNow()
		o.post(func(now time.Time) {
			delete(o.advice.inFlight, addr)
			if err != nil {
				o.advice.remove(addr) // a later list includes it once it responds
			}
			o.state.HandleAdvice(now, given, query, reply.Tickets, reply.Valid, err)
		})
	}()
}

// adviseRPCMargin is added to the expected time of the placement service.
const adviseRPCMargin = 700 * time.Millisecond

// callAdvise sends a request through the entry at addr.
func (o *owner) callAdvise(addr string, query shard.AdviceQuery) (out AdviseReply, err error) {
	ctx, cancel := context.WithTimeout(o.ctx, query.Cost+adviseRPCMargin)
	defer cancel()
	args := AdviseArgs{query.Step.StepID(), query.IDs}
	if addr == o.s.Settings.PeerAddr {
		err = (&peerService{o.s}).Advise(args, &out)
	} else {
		err = o.s.callEntry(ctx, addr, "Advise", args, &out)
	}
	if err == nil && out.Error != "" {
		err = errors.New(out.Error)
	}
	return out, err
}
