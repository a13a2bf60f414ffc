package server

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"jasminestep/internal/carry"
	"jasminestep/internal/peer"
)

// carriersPerZone is how many entries of an availability zone may make calls to its
// minions for one owner. The first does, the others replace it when it is lost: more
// carriers at a time would make for smaller batches.
const carriersPerZone = 2

// carrierListTTL is how long a list of carriers is used before it is computed
// again.
const carrierListTTL = 500 * time.Millisecond

// newDispatcher returns the dispatcher for an owner's calls to minions.
func (s *Server) newDispatcher(o *owner) *carry.Dispatcher {
	cache := &carrierCache{o: o}
	return &carry.Dispatcher{
		Direct:        &carry.DirectCaller{MinionClient: s.Minions, Now: monotonicNow},
		Transport:     carryTransport{s},
		SessionPrefix: fmt.Sprintf("%s.%s.%d", s.instanceID, o.service, o.term),
		Carriers:      cache.inZone,
		OnCarrierLost: func(addr, why string) {
			s.Log.Info("carrier abandoned", "service", o.service, "term", o.term, "carrier", addr, "why", why)
		},
		Now: monotonicNow,
	}
}

// carrierCache caches the entries that make an owner's calls, by availability
// zone.
type carrierCache struct {
	o *owner

	mu        sync.Mutex
	updatedAt time.Time // when byZone was computed
	byZone    map[string][]string
}

// inZone returns the addresses of the carriers for a zone, or none if the owner
// has few enough minions to call them all itself.
func (c *carrierCache) inZone(zone string) []string {
	if c.o.minionCount.Load() <= c.o.s.Settings.MaxDirectMinions {
		return nil
	}
	now := monotonicNow()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.updatedAt) > carrierListTTL {
		c.updatedAt, c.byZone = now, c.o.s.chooseCarriers(now, c.o.service)
	}
	return c.byZone[zone]
}

// chooseCarriers chooses the carriers of a shard: in each zone the entries of
// highest strength that respond and own no shard.
func (s *Server) chooseCarriers(now time.Time, service string) map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	owns := s.ownerNames()
	owns[s.Settings.ID] = true
	zones := map[string][]Entry{}
	for _, e := range s.entries {
		if !owns[e.Name] && !e.Leaving && !s.avoided(now, e.Addr) {
			zones[e.Zone] = append(zones[e.Zone], e)
		}
	}
	out := map[string][]string{}
	for z, es := range zones {
		slices.SortFunc(es, func(a, b Entry) int {
			return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(rank(service, a.Name), rank(service, b.Name)))
		})
		for _, e := range es[:min(len(es), carriersPerZone)] {
			out[z] = append(out[z], e.Addr)
		}
	}
	return out
}

// carryTransport sends batches to other entries over RPC.
type carryTransport struct{ s *Server }

// SendBatch implements carry.Transport.
func (t carryTransport) SendBatch(ctx context.Context, addr string, b carry.Batch) error {
	return t.s.peers.Call(ctx, addr, peer.Traffic, "Carry", b, &struct{}{})
}

// FetchResults implements carry.Transport.
func (t carryTransport) FetchResults(ctx context.Context, addr, session string) (reply carry.FetchReply, err error) {
	err = t.s.peers.Call(ctx, addr, peer.Traffic, "Carried", session, &reply)
	return reply, err
}
