// Package server is one entry on a platform: it takes clients' jobs, keeps them
// in the platform's store, and owns shards, each the minions of one service.
//
// Every entry is alike. Any of them accepts a job by writing it to the store and
// tells the shard's owner; the owner decides where tasks run. Ownership is a
// row: who replaces it owns the shard, and every write of the former owner fails
// from then on. Minions refuse orders of a former owner by their token.
package server

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"

	"jasminestep/internal/carry"
	"jasminestep/internal/metric"
	"jasminestep/internal/peer"
	"jasminestep/internal/relay"
	"jasminestep/internal/table"
	"jasminestep/internal/transport"
	"jasminestep/internal/web"
	"jasminestep/internal/work"
)

// Adviser answers which minions may run a step.
type PlacementService interface {
	Ask(ctx context.Context, step string, ids []string) (map[string]string, time.Duration, error)
}

// Wire is what the platform's adapter knows of rows and bodies that others write.
type Codec struct {
	ConfigTable, ConfigRow, MinionTable string
	DecodeConfig                        func([]byte) (*work.Config, error)
	DecodeMinion                        func(id string, b []byte) (work.Minion, bool)
	DecodeJob                           func([]byte) (*work.Job, error)
	EncodeState                         func(state string) any
	EncodePending                       func(n int) any
	DeadlineHeader                      string // header with the milliseconds that a client waits
}

// Parts are what an entry works with.
type Dependencies struct {
	Log       hclog.Logger
	Store     table.Store
	Minions   carry.Minions
	Placement PlacementService
	Codec     Codec
}

// Server is one entry. Use New.
type Server struct {
	Settings Settings
	Dependencies
	store *relay.Store
	life  string // this process, among all that ran under the name of the VM

	peers   *peer.Client
	l       net.Listener
	front   *web.Server
	ready   *web.Server
	admin   *web.Server
	meter   *metric.Meter
	carrier *carry.Carrier
	busy    atomic.Int64

	cfg      atomic.Pointer[work.Config]
	stopping atomic.Bool
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	claiming sync.Mutex
	asks     sync.Mutex // held while this entry asks the placement service

	mu     sync.Mutex
	names  map[string]Entry  // entries, by name
	blame  map[string]blame  // entries that did not answer, by address
	leads  map[string]Lead   // owners, by service
	owners map[string]*owner // shards owned here, by service
	loaded bool              // leads has all rows there are

	enrolledAt time.Time     // first list of entries
	news       chan struct{} // closed at the next change of owners
}

// Tables of the product's own rows.
const (
	entryTable = "entry" // entries, and in the part of each service its owner
	seqTable   = "seq"
	jobTable   = "job"
)

// New returns an entry that listens but does not serve yet.
func New(set Settings, p Dependencies) (*Server, error) {
	s := &Server{
		Settings: set, Dependencies: p, life: uuid.NewString()[:8],
		names: map[string]Entry{}, blame: map[string]blame{},
		leads: map[string]Lead{}, owners: map[string]*owner{},
	}
	s.store = &relay.Store{Own: p.Store, Peers: relays{s}, Now: steady, Lost: s.warn}
	s.carrier = carry.NewCarrier(p.Minions, s.life, steady)
	s.peers = peer.New(transport.DialFrom(""), &transport.ByteCounter{})
	var err error
	if s.l, err = net.Listen("tcp", set.Peer); err != nil {
		return nil, fmt.Errorf("listen to entries: %w", err)
	}
	if s.front, err = web.NewWithHandler(set.Caller, s.measured(s.client)); err != nil {
		return nil, fmt.Errorf("listen to clients: %w", err)
	}
	if s.meter, err = metric.New(); err != nil {
		return nil, err
	}
	if err = s.meter.RegisterGauges(s.samples); err != nil {
		return nil, err
	}
	if s.admin, err = web.NewWithHandler(set.Admin, s.meter.Handler()); err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	if s.ready, err = web.NewWithHandler(set.Ready, http.HandlerFunc(s.readiness)); err != nil {
		return nil, fmt.Errorf("listen to the balancer: %w", err)
	}
	return s, nil
}

// Start begins to serve.
func (s *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.front.Start()
	s.ready.Start()
	s.admin.Start()
	s.spawn(func() {
		err := peer.Serve(s.l, &calls{s}, &s.busy, &transport.ByteCounter{})
		s.Log.Debug("peers end", "why", err)
	})
	s.spawn(func() { s.store.Watch(ctx) })
	s.spawn(func() { s.enrol(ctx, false) })
	s.spawn(func() {
		follow(ctx, s.store, s.Codec.ConfigTable, -1, feedWait, 0, s.dependency("configuration"), s.configured)
	})
	s.spawn(func() { follow(ctx, s.store, entryTable, -1, feedWait, entryGap, s.dependency("entries"), s.members) })
	s.spawn(func() { s.guard(ctx) })
	s.Log.Info("start", "id", s.Settings.ID, "zone", s.Settings.Zone, "life", s.life)
}

func (s *Server) spawn(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// How the store's feeds are followed. A feed that has gone silent is asked
// again soon enough for a configuration to be in force in time.
const (
	feedWait = 1800 * time.Millisecond
	entryGap = 50 * time.Millisecond
)

// dependency returns a function that logs when a feed is lost and regained.
func (s *Server) dependency(name string) func(error) {
	up := true
	return func(err error) {
		if (err == nil) == up {
			return
		}
		up = err == nil
		if up {
			s.Log.Info("regained", "what", name)
			return
		}
		s.Log.Warn("lost", "what", name, "why", err.Error())
	}
}

// configured takes in configurations.
func (s *Server) configured(rows []table.Row, _ bool) {
	for _, r := range rows {
		if r.Name != s.Codec.ConfigRow || r.Deleted {
			continue
		}
		c, err := s.Codec.DecodeConfig(r.Value)
		if err != nil {
			s.Log.Error("configuration", "why", err.Error())
			continue
		}
		old := s.cfg.Load()
		if old != nil && old.Version >= c.Version {
			continue
		}
		s.cfg.Store(c)
		s.Log.Info("configuration", "version", c.Version, "queues", len(c.Queues), "services", len(c.Services))
	}
}

// readiness answers the balancer. An entry that no way leads to the store from
// can accept nothing; clients do better in another availability zone.
func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if s.cfg.Load() == nil || s.stopping.Load() || !s.store.Reached() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notice is how long the readiness fails before connections are refused, so
// that the balancer has seen it twice.
const notice = 2500 * time.Millisecond

// exitMargin is how long before the end of the grace time a planned stop ends.
const exitMargin = 700 * time.Millisecond

// Stop is the planned stop: shards are handed over, the balancer is told, and
// what is in progress is answered.
func (s *Server) Stop() {
	s.Log.Info("stop")
	s.stopping.Store(true)
	s.carrier.Leave()
	grace, cancel := context.WithTimeout(context.Background(), time.Duration(s.Settings.Grace)*time.Millisecond-exitMargin)
	defer cancel()
	go s.enrol(grace, true)
	s.release()
	pause(grace, notice)
	if err := s.front.Stop(grace); err != nil {
		s.Log.Warn("stop", "why", err.Error())
	}
	s.cancel()
	s.Log.Info("end")
}

// Kill ends at once.
func (s *Server) Kill() {
	s.cancel()
	s.front.Close()
	s.ready.Close()
	s.admin.Close()
	_ = s.l.Close()
	s.peers.Close()
	s.wg.Wait()
}
