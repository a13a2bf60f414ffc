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

// carriersEach is how many entries of an availability zone make calls to its
// minions for one owner. More of them would have less to put in a batch.
const carriersEach = 2

// carriersFor is how long a list of carriers is used.
const carriersFor = 500 * time.Millisecond

// pool returns the calls of an owner.
func (s *Server) pool(o *owner) *carry.Pool {
	cs := &carriers{o: o}
	return &carry.Pool{
		Hands: &carry.Hands{Minions: s.Minions, Now: steady},
		Peers: carryPeers{s},
		Name:  fmt.Sprintf("%s.%s.%d", s.life, o.service, o.term),
		Zone:  cs.of,
		Lost: func(addr, why string) {
			s.Log.Info("carrier left", "service", o.service, "term", o.term, "carrier", addr, "why", why)
		},
		Now: steady,
	}
}

// carriers are the entries that make an owner's calls, by availability zone.
type carriers struct {
	o *owner

	mu   sync.Mutex
	at   time.Time // when zone was made
	zone map[string][]string
}

// of returns the addresses of the carriers for a zone.
func (c *carriers) of(zone string) []string {
	if c.o.minions.Load() <= c.o.s.Settings.Direct {
		return nil
	}
	now := steady()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.at) > carriersFor {
		c.at, c.zone = now, c.o.s.carriers(now, c.o.service)
	}
	return c.zone[zone]
}

// carriers chooses carriers for a shard: in each zone the strongest entries that
// answer and own nothing.
func (s *Server) carriers(now time.Time, service string) map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	owns := map[string]bool{s.Settings.ID: true}
	for _, l := range s.leads {
		owns[l.Name] = true
	}
	zones := map[string][]Entry{}
	for _, e := range s.names {
		if !owns[e.Name] && !e.Leaving && !s.blamed(now, e.Addr) {
			zones[e.Zone] = append(zones[e.Zone], e)
		}
	}
	out := map[string][]string{}
	for z, es := range zones {
		slices.SortFunc(es, func(a, b Entry) int {
			return cmp.Or(cmp.Compare(b.Strength, a.Strength), cmp.Compare(rank(service, a.Name), rank(service, b.Name)))
		})
		for _, e := range es[:min(len(es), carriersEach)] {
			out[z] = append(out[z], e.Addr)
		}
		slices.Sort(out[z])
	}
	return out
}

// carryPeers carries batches between entries.
type carryPeers struct{ s *Server }

// Carry implements carry.Peers.
func (p carryPeers) Carry(ctx context.Context, addr string, b carry.Batch) error {
	return p.s.peers.Call(ctx, addr, peer.Traffic, "Carry", b, &struct{}{})
}

// Carried implements carry.Peers.
func (p carryPeers) Carried(ctx context.Context, addr, session string) (a carry.Answers, err error) {
	err = p.s.peers.Call(ctx, addr, peer.Traffic, "Carried", session, &a)
	return a, err
}
