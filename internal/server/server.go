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

// PlacementService answers which minions may run a step.
type PlacementService interface {
	Ask(ctx context.Context, step string, ids []string) (map[string]string, time.Duration, error)
}

// Codec is what the platform's adapter knows of rows and bodies that others write.
type Codec struct {
	ConfigTable, ConfigRow, MinionTable string
	DecodeConfig                        func([]byte) (*work.Config, error)
	DecodeMinion                        func(id string, b []byte) (work.Minion, bool)
	DecodeJob                           func([]byte) (*work.Job, error)
	EncodeState                         func(state string) any
	EncodePending                       func(n int) any
	DeadlineHeader                      string // header with the milliseconds that a client waits
}

// Dependencies are what an entry works with.
type Dependencies struct {
	Log       hclog.Logger
	Store     table.Store
	Minions   carry.MinionClient
	Placement PlacementService
	Codec     Codec
}

// Server is one entry. Use New.
type Server struct {
	Settings Settings
	Dependencies
	relayStore *relay.Store
	instanceID string // this process, among all that ran under the name of the VM

	peers           *peer.Client
	peerListener    net.Listener
	clientServer    *web.Server
	readinessServer *web.Server
	metricsServer   *web.Server
	metrics         *metric.Meter
	carrier         *carry.Carrier
	pendingRPCs     atomic.Int64

	cfg      atomic.Pointer[work.Config]
	stopping atomic.Bool
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	claimMu  sync.Mutex
	adviceMu sync.Mutex // held while this entry asks the placement service

	mu              sync.Mutex
	entries         map[string]Entry        // entries, by name
	failures        map[string]callFailures // entries that did not answer, by address
	ownerRows       map[string]OwnerRow     // owners, by service
	localOwners     map[string]*owner       // shards owned here, by service
	ownerRowsLoaded bool                    // leads has all rows there are

	entriesReadAt time.Time     // first list of entries
	ownersChanged chan struct{} // closed at the next change of owners
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
		Settings: set, Dependencies: p, instanceID: uuid.NewString()[:8],
		entries: map[string]Entry{}, failures: map[string]callFailures{},
		ownerRows: map[string]OwnerRow{}, localOwners: map[string]*owner{},
	}
	s.relayStore = &relay.Store{Own: p.Store, Peers: storeRelays{s}, Now: monotonicNow, Lost: s.reportStoreLoss}
	s.carrier = carry.NewCarrier(p.Minions, s.instanceID, monotonicNow)
	s.peers = peer.New(transport.From(""), &transport.Counter{})
	var err error
	if s.peerListener, err = net.Listen("tcp", set.PeerAddr); err != nil {
		return nil, fmt.Errorf("listen to entries: %w", err)
	}
	if s.clientServer, err = web.Any(set.ClientAddr, s.withMetrics(s.serveClient)); err != nil {
		return nil, fmt.Errorf("listen to clients: %w", err)
	}
	if s.metrics, err = metric.New(); err != nil {
		return nil, err
	}
	if err = s.metrics.Watch(s.gauges); err != nil {
		return nil, err
	}
	if s.metricsServer, err = web.Any(set.MetricsAddr, s.metrics.Handler()); err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	if s.readinessServer, err = web.Any(set.ReadinessAddr, http.HandlerFunc(s.readiness)); err != nil {
		return nil, fmt.Errorf("listen to the balancer: %w", err)
	}
	return s, nil
}

// Start begins to serve.
func (s *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.clientServer.Start()
	s.readinessServer.Start()
	s.metricsServer.Start()
	s.spawn(func() {
		err := peer.Serve(s.peerListener, &peerService{s}, &s.pendingRPCs, &transport.Counter{})
		s.Log.Debug("peers end", "why", err)
	})
	s.spawn(func() { s.relayStore.Watch(ctx) })
	s.spawn(func() { s.writeEntryRow(ctx, false) })
	s.spawn(func() {
		followTable(ctx, s.relayStore, s.Codec.ConfigTable, -1, feedLongPoll, 0, s.feedLogger("configuration"), s.applyConfig)
	})
	s.spawn(func() {
		followTable(ctx, s.relayStore, entryTable, -1, feedLongPoll, entryFeedInterval, s.feedLogger("entries"), s.applyEntryTable)
	})
	s.spawn(func() { s.watchServices(ctx) })
	s.Log.Info("start", "id", s.Settings.ID, "zone", s.Settings.Zone, "life", s.instanceID)
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
	feedLongPoll      = 1800 * time.Millisecond
	entryFeedInterval = 50 * time.Millisecond
)

// dependency returns a function that logs when a feed is lost and regained.
func (s *Server) feedLogger(name string) func(error) {
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
func (s *Server) applyConfig(rows []table.Row, _ bool) {
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
	if s.cfg.Load() == nil || s.stopping.Load() || !s.relayStore.Reached() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notice is how long the readiness fails before connections are refused, so
// that the balancer has seen it twice.
const readinessNotice = 2500 * time.Millisecond

// exitMargin is how long before the end of the grace time a planned stop ends.
const shutdownMargin = 700 * time.Millisecond

// Stop is the planned stop: shards are handed over, the balancer is told, and
// what is in progress is answered.
func (s *Server) Stop() {
	s.Log.Info("stop")
	s.stopping.Store(true)
	s.carrier.StartDraining()
	grace, cancel := context.WithTimeout(context.Background(), time.Duration(s.Settings.Grace)*time.Millisecond-shutdownMargin)
	defer cancel()
	go s.writeEntryRow(grace, true)
	s.handOverAll()
	sleep(grace, readinessNotice)
	if err := s.clientServer.Stop(grace); err != nil {
		s.Log.Warn("stop", "why", err.Error())
	}
	s.cancel()
	s.Log.Info("end")
}

// Kill ends at once.
func (s *Server) Kill() {
	s.cancel()
	s.clientServer.Close()
	s.readinessServer.Close()
	s.metricsServer.Close()
	_ = s.peerListener.Close()
	s.peers.Close()
	s.wg.Wait()
}
