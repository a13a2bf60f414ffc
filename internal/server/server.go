// Package server implements an entry: a server process that accepts clients'
// jobs, keeps them in the platform's store and owns shards. A shard is the set
// of minions of one service.
//
// All entries are alike. Any of them accepts a job by writing it to the store
// and notifies the shard's owner, which decides where tasks run. Ownership is a
// row in the store: the entry that replaces it owns the shard, and every later
// write of the previous owner fails. Minions reject orders of a previous owner
// by their fencing token.
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

// PlacementService tells which minions may run a step.
type PlacementService interface {
	Ask(ctx context.Context, step string, ids []string) (map[string]string, time.Duration, error)
}

// Codec holds the platform's table names, its header name and its functions for
// rows and bodies that other programs read or write.
type Codec struct {
	ConfigTable, ConfigRow, MinionTable string
	DecodeConfig                        func([]byte) (*work.Config, error)
	DecodeMinion                        func(id string, b []byte) (work.Minion, bool)
	DecodeJob                           func([]byte) (*work.Job, error)
	EncodeState                         func(state string) any
	EncodePending                       func(n int) any
	DeadlineHeader                      string // header with the time in milliseconds that a client waits
	KeyHeader                           string // header with a key of the client's account
}

// Dependencies are the services that an entry uses.
type Dependencies struct {
	Log       hclog.Logger
	Store     table.Store
	Minions   carry.MinionClient
	Placement PlacementService
	Codec     Codec
}

// Server is an entry. Use New.
type Server struct {
	Settings Settings
	Dependencies
	relayStore *relay.Store
	instanceID string // identifies this process among all that ran on this VM

	peers           *peer.Client
	peerListener    net.Listener
	clientServer    *web.Server
	readinessServer *web.Server
	metricsServer   *web.Server
	metrics         *metric.Meter
	writeTimes      writeTimes // of rows of the store
	storeClock      storeClock
	carrier         *carry.Carrier
	pendingRPCs     atomic.Int64

	cfg      atomic.Pointer[work.Config]
	cfgSince atomic.Int64 // since when cfg is in force here, in nanoseconds of monotonicNow
	cfgSeen  atomic.Int64 // when cfg was last known to be the newest configuration, in nanoseconds of monotonicNow
	stopping atomic.Bool
	cancel   context.CancelFunc
	wg       sync.WaitGroup

	claimMu  sync.Mutex
	adviceMu sync.Mutex // held during a request to the placement service

	formerServices formerServices
	rooms          jobRooms

	mu              sync.Mutex
	entries         map[string]Entry        // by name
	failures        map[string]callFailures // entries that did not respond, by address
	ownerRows       map[string]OwnerRow     // by service
	localOwners     map[string]*owner       // shards owned by this entry, by service
	lastTerms       map[string]int64        // of the last owner that this process had, by service
	ownerRowsLoaded bool                    // ownerRows is complete

	entriesReadAt time.Time     // when the rows of entries were first read
	ownersChanged chan struct{} // closed at the next change of an owner row
}

// New returns an entry that listens on its addresses but does not serve yet.
func New(set Settings, deps Dependencies) (*Server, error) {
	s := &Server{
		Settings: set, Dependencies: deps, instanceID: uuid.NewString()[:8],
		entries: map[string]Entry{}, failures: map[string]callFailures{},
		ownerRows: map[string]OwnerRow{}, localOwners: map[string]*owner{}, lastTerms: map[string]int64{},
	}
	s.relayStore = &relay.Store{Direct: deps.Store, Peers: storeRelays{s}, Now: monotonicNow, OnUnreachable: s.reportStoreLoss}
	s.carrier = carry.NewCarrier(deps.Minions, s.instanceID, monotonicNow)
	s.peers = peer.New(transport.DialFrom(""), &transport.ByteCounter{})
	set.tuneGC(0)
	var err error
	if s.peerListener, err = net.Listen("tcp", set.PeerAddr); err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if s.clientServer, err = web.NewWithHandler(set.ClientAddr, s.withMetrics(s.serveClient), set.clientLimits()); err != nil {
		return nil, fmt.Errorf("listen for clients: %w", err)
	}
	if s.metrics, err = metric.New(); err != nil {
		return nil, err
	}
	if err = s.metrics.RegisterGauges(s.gauges); err != nil {
		return nil, err
	}
	admin := http.NewServeMux()
	admin.Handle("/", s.metrics.Handler())
	admin.HandleFunc(WherePath, s.where)
	if s.metricsServer, err = web.NewWithHandler(set.MetricsAddr, admin, web.SmallLimits); err != nil {
		return nil, fmt.Errorf("listen for metrics: %w", err)
	}
	if s.readinessServer, err = web.NewWithHandler(set.ReadinessAddr, http.HandlerFunc(s.readiness), web.SmallLimits); err != nil {
		return nil, fmt.Errorf("listen for readiness checks: %w", err)
	}
	return s, nil
}

// Start starts serving.
func (s *Server) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.clientServer.Start()
	s.readinessServer.Start()
	s.metricsServer.Start()
	s.spawn(func() {
		err := peer.Serve(s.peerListener, &peerService{s}, &s.pendingRPCs, &transport.ByteCounter{})
		s.Log.Debug("peer server stopped", "why", err)
	})
	s.spawn(func() { s.relayStore.Watch(ctx) })
	s.spawn(func() { s.writeEntryRow(ctx, false) })
	s.spawn(func() {
		follower{store: s.relayStore, table: s.Codec.ConfigTable, wait: s.Settings.configPoll(), report: s.feedLogger("configuration"), observe: s.observeConfig, apply: s.applyConfig}.run(ctx, -1)
	})
	s.spawn(func() {
		follower{store: s.relayStore, table: entryTable, wait: feedLongPoll, gap: entryFeedInterval, report: s.feedLogger("entries"), observe: s.writeTimes.observe, apply: s.applyEntryTable}.run(ctx, -1)
	})
	s.spawn(func() {
		for ctx.Err() == nil {
			s.carrier.Beat()
			sleep(ctx, carry.BeatInterval)
		}
	})
	s.spawn(func() { s.watchServices(ctx) })
	s.spawn(func() { s.watchClients(ctx) })
	s.Log.Info("entry started", "id", s.Settings.ID, "zone", s.Settings.Zone, "life", s.instanceID)
}

func (s *Server) spawn(f func()) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		f()
	}()
}

// Timing of the feeds of the configuration and of entries. feedLongPoll is
// short enough that a new configuration takes effect in time even if a request
// stalls.
const (
	feedLongPoll      = 1800 * time.Millisecond
	entryFeedInterval = 50 * time.Millisecond
)

// feedLogger returns a function that logs when a feed is lost and when it is
// regained.
func (s *Server) feedLogger(name string) func(error) {
	up := true
	return func(err error) {
		if (err == nil) == up {
			return
		}
		up = err == nil
		if up {
			s.Log.Info("feed regained", "what", name)
			return
		}
		s.Log.Warn("feed lost", "what", name, "why", err.Error())
	}
}

// observeConfig records a reply of the configuration's feed.
func (s *Server) observeConfig(version int64, at time.Time) {
	s.writeTimes.observe(version, at)
	s.cfgSeen.Store(at.UnixNano())
}

// configCheckedAt is when the configuration was last known to be the newest.
func (s *Server) configCheckedAt() time.Time { return time.Unix(0, s.cfgSeen.Load()) }

// applyConfig applies new versions of the configuration.
func (s *Server) applyConfig(rows []table.Row, _ bool) {
	for _, r := range rows {
		if r.Name != s.Codec.ConfigRow || r.Deleted {
			continue
		}
		c, err := s.Codec.DecodeConfig(r.Value)
		if err != nil {
			s.Log.Error("configuration row invalid", "why", err.Error())
			continue
		}
		old := s.cfg.Load()
		if old != nil && old.Version >= c.Version {
			continue
		}
		s.cfgSince.Store(monotonicNow().UnixNano())
		s.cfg.Store(c)
		s.Log.Info("configuration applied", "version", c.Version, "queues", len(c.Queues), "services", len(c.Services))
	}
}

// readiness answers the load balancer's health check. An entry that cannot
// reach the store, directly or through another entry, accepts no jobs, so
// clients should use another availability zone.
func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if s.cfg.Load() == nil || s.stopping.Load() || !s.relayStore.Reachable() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// readinessNotice is how long readiness fails before connections are refused,
// so that the load balancer has seen it fail twice.
const readinessNotice = 2500 * time.Millisecond

// shutdownMargin is how long before the end of the grace period a planned stop
// ends.
const shutdownMargin = 700 * time.Millisecond

// Stop performs a planned stop: it hands over shards, fails readiness so that
// the load balancer sends clients elsewhere, and completes requests in
// progress.
func (s *Server) Stop() {
	s.Log.Info("entry stopping")
	s.stopping.Store(true)
	s.carrier.StartDraining()
	grace, cancel := context.WithTimeout(context.Background(), time.Duration(s.Settings.Grace)*time.Millisecond-shutdownMargin)
	defer cancel()
	go s.writeEntryRow(grace, true)
	s.handOverAll()
	sleep(grace, readinessNotice)
	if err := s.clientServer.Stop(grace); err != nil {
		s.Log.Warn("requests unfinished at stop", "why", err.Error())
	}
	s.cancel()
	s.Log.Info("entry stopped")
}

// Kill stops the entry without handing over shards or completing requests.
func (s *Server) Kill() {
	s.cancel()
	s.clientServer.Close()
	s.readinessServer.Close()
	s.metricsServer.Close()
	_ = s.peerListener.Close()
	s.peers.Close()
	s.wg.Wait()
}
