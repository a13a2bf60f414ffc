package server

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/peer"
)

// Timing of failure detection and of claims.
const (
	watchInterval      = 100 * time.Millisecond
	silentInterval     = 25 * time.Millisecond  // replaces watchInterval while the owner does not respond
	pingInterval       = 100 * time.Millisecond // of the entries that come first in claiming the shard
	slowPingInterval   = 400 * time.Millisecond // of the others
	pingTimeout        = 150 * time.Millisecond
	ownerTimeout       = 500 * time.Millisecond // without a response or a write, before a shard is taken over; above maxWriteInterval
	seqReadTimeout     = 700 * time.Millisecond
	claimTimeout       = 4 * time.Second
	maxWriteAge        = 3 * time.Second        // an owner that responds but makes nothing durable for longer is replaced
	firstStartDelay    = 700 * time.Millisecond // after the first read of the entries, for the others to register
	claimStagger       = 80 * time.Millisecond  // per rank
	firstClaimants     = 4                      // entries that ping the owner at pingInterval
	successorHeadStart = 250 * time.Millisecond // for the claim of the entry named by a handover
	closedPortTimeout  = 250 * time.Millisecond // replaces ownerTimeout if the owner's port refuses connections
	ownerRankPenalty   = 4                      // added to the rank of an entry that owns another shard
)

func (s *Server) localOwner(service string) *owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.localOwners[service]
}

// allLocalOwners returns the owners that run in this entry.
func (s *Server) allLocalOwners() []*owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.localOwners))
}

// watchServices starts watching the owner of every configured service.
func (s *Server) watchServices(ctx context.Context) {
	watched := map[string]bool{}
	for ctx.Err() == nil {
		if c := s.cfg.Load(); c != nil {
			for _, svc := range c.Services {
				if !watched[svc.Name] {
					watched[svc.Name] = true
					s.spawn(func() { s.watchOwner(ctx, svc.Name) })
				}
			}
		}
		sleep(ctx, watchInterval)
	}
}

// claimRank returns how many entries precede this one in claiming a shard from
// its present owner.
func (s *Server) claimRank(now time.Time, service string, row OwnerRow) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	me := Entry{Name: s.Settings.ID, Zone: s.Settings.Zone, Strength: s.Settings.Strength()}
	lostZone := s.entries[row.Name].Zone
	ahead := 0
	for n, e := range s.entries {
		if n != me.Name && n != row.Name && !e.Leaving && !s.avoided(now, e.Addr) && e.claimsBefore(me, service, lostZone) {
			ahead++
		}
	}
	if len(s.localOwners) > 0 {
		ahead += ownerRankPenalty
	}
	return ahead
}

// claimsBefore reports whether e claims a shard before f. Entries of higher
// strength come first, then those outside the zone of the lost owner, which may
// be lost as a whole.
func (e Entry) claimsBefore(f Entry, service, lostZone string) bool {
	if e.Strength != f.Strength {
		return e.Strength > f.Strength
	}
	if lost := e.Zone == lostZone; lost != (f.Zone == lostZone) {
		return !lost
	}
	return rank(service, e.Name) < rank(service, f.Name)
}

// ownerWatch is what an entry has observed of a shard's owner.
type ownerWatch struct {
	lastPing     time.Time
	silentSince  time.Time // zero while the owner responds
	unownedSince time.Time // zero while the shard has an owner
	seqVersion   int64     // version of the seq row when the owner stopped responding
}

// interval returns how long to wait before the owner is looked at again.
func (w *ownerWatch) interval() time.Duration {
	if w.silentSince.IsZero() {
		return watchInterval
	}
	return silentInterval
}

// pingInterval returns the time between two calls to the owner. The entries that
// claim the shard first call it often, the others often only while it is silent.
func (w *ownerWatch) pingInterval(rank int) time.Duration {
	switch {
	case !w.silentSince.IsZero():
		return 0
	case rank < firstClaimants:
		return pingInterval
	}
	return slowPingInterval
}

// watchOwner claims the shard of a service whenever its owner is lost.
func (s *Server) watchOwner(ctx context.Context, service string) {
	var watch ownerWatch
	for ctx.Err() == nil {
		s.awaitOwnerChange(ctx, watch.interval())
		if s.stopping.Load() || s.localOwner(service) != nil || !s.canClaim() {
			watch = ownerWatch{}
			continue
		}
		now := monotonicNow()
		row, _ := s.ownerRow(service)
		mayOwnMore := s.ownsShard()
		rank := s.claimRank(now, service, row)
		stagger := time.Duration(rank) * claimStagger
		switch {
		case row.Name == s.Settings.ID:
			s.claim(ctx, service, row, mayOwnMore, "the previous process on this VM owned it")
		case row.Name == "":
			if watch.unownedSince.IsZero() {
				watch.unownedSince = now
			}
			switch row.Next {
			case "":
			case s.Settings.ID:
				stagger, mayOwnMore = 0, true
			default:
				stagger += successorHeadStart
			}
			if now.Sub(watch.unownedSince) >= stagger {
				s.claim(ctx, service, row, mayOwnMore, "it had no owner")
			}
		default:
			watch.unownedSince = time.Time{}
			if now.Sub(watch.lastPing) >= watch.pingInterval(rank) && s.ownerLost(ctx, service, row, &watch, stagger) {
				s.claim(ctx, service, row, mayOwnMore, "its owner was silent")
				watch = ownerWatch{}
			}
		}
	}
}

// canClaim reports whether this entry knows the owner rows and the other
// entries well enough to claim shards.
func (s *Server) canClaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ownerRowsLoaded || s.entriesReadAt.IsZero() {
		return false
	}
	return !s.Settings.FirstStart || monotonicNow().Sub(s.entriesReadAt) >= firstStartDelay
}

// ownerLost reports whether an owner has neither responded nor written for its
// timeout, extended by stagger.
func (s *Server) ownerLost(ctx context.Context, service string, row OwnerRow, watch *ownerWatch, stagger time.Duration) bool {
	now := monotonicNow()
	watch.lastPing = now
	ok, closed := s.pingOwner(ctx, service, row)
	if ok {
		watch.silentSince = time.Time{}
		return false
	}
	seq, err := s.readSeq(ctx, service)
	if err != nil {
		s.Log.Debug("cannot read the version of the owner's last write", "service", service, "why", err.Error())
		return false
	}
	if watch.silentSince.IsZero() || seq.version != watch.seqVersion {
		watch.silentSince, watch.seqVersion = now, seq.version
		return false
	}
	silent := monotonicNow().Sub(watch.silentSince)
	if closed {
		return silent >= closedPortTimeout+stagger
	}
	return silent >= ownerTimeout+stagger
}

// pingOwner reports whether an owner responds and makes progress, and if the
// call failed, whether its port refused the connection.
func (s *Server) pingOwner(ctx context.Context, service string, row OwnerRow) (ok, closed bool) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var out AliveReply
	began := monotonicNow()
	err := s.peers.Call(ctx, row.Addr, peer.Control, "Alive", service, &out)
	if err == nil && out.Version > 0 {
		s.writeTimes.observe(out.Version, began.Add(-out.VersionAge))
	}
	return err == nil && out.Owns && out.Age < maxWriteAge, errors.Is(err, syscall.ECONNREFUSED)
}

// readSeq reads the seq row, which changes with every write of the owner.
func (s *Server) readSeq(ctx context.Context, service string) (seqRow, error) {
	ctx, cancel := context.WithTimeout(ctx, seqReadTimeout)
	defer cancel()
	began := monotonicNow()
	r, err := s.relayStore.ReadDirect(ctx, seqTable, service)
	if err != nil {
		return seqRow{}, err
	}
	s.writeTimes.observe(r.Version, began)
	s.storeClock.observe(r.Now, began)
	if len(r.Rows) == 0 {
		return seqRow{}, nil
	}
	return decodeSeqRow(r.Rows[0]), nil
}

// ownsShard reports whether this entry owns any shard.
func (s *Server) ownsShard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.localOwners) > 0
}

// claim tries to make this entry the owner of a shard. mayOwnMore allows the
// claim although this entry owns another shard: its delay included
// ownerRankPenalty, or a handover named it.
func (s *Server) claim(ctx context.Context, service string, known OwnerRow, mayOwnMore bool, why string) {
	s.claimMu.Lock() // one claim at a time, so that a new owner lets other entries claim the next shard
	defer s.claimMu.Unlock()
	if s.ownsShard() && !mayOwnMore {
		return // the delay was computed before this entry became an owner
	}
	claimCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	stored, err := s.relayStore.Read(claimCtx, entryTable, service, "", "")
	if err != nil {
		s.Log.Warn("shard claim failed", "service", service, "why", err.Error())
		return
	}
	current := OwnerRow{}
	if len(stored.Rows) > 0 {
		if current, err = decodeOwnerRow(stored.Rows[0]); err != nil {
			s.Log.Error("owner row invalid", "service", service, "why", err.Error())
			return
		}
	}
	if current.version != known.version && current.Life != s.instanceID {
		s.applyOwnerRows(stored.Rows, false)
		return
	}
	seq, err := s.readSeq(claimCtx, service)
	if err != nil {
		s.Log.Warn("shard claim failed", "service", service, "why", err.Error())
		return
	}
	if current.Life == s.instanceID && current.Name == s.Settings.ID && current.Term > s.lastTerm(service) {
		s.setOwnerRow(service, current)
		s.startOwner(ctx, service, current, seq) // an earlier claim succeeded but got no response
		return
	}
	next := OwnerRow{Name: s.Settings.ID, Addr: s.Settings.PeerAddr, Life: s.instanceID, Term: current.Term + 1}
	res, err := s.replaceOwnerRow(claimCtx, service, current.version, seq, next)
	if err != nil || !res.Done {
		s.Log.Info("shard claim lost", "service", service, "term", next.Term, "why", fmt.Sprint(err))
		return
	}
	next.version, seq.version = res.Version, res.Version
	s.Log.Info("shard claimed", "service", service, "term", next.Term, "why", why)
	s.setOwnerRow(service, next)
	s.startOwner(ctx, service, next, seq)
}

// lastTerm returns the term of the last owner that this process had of a shard, 0 if
// there was none. What an owner has sent is told apart by its term, so that none
// has the term of another.
func (s *Server) lastTerm(service string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastTerms[service]
}

// startOwner starts making decisions for a shard.
func (s *Server) startOwner(ctx context.Context, service string, row OwnerRow, seq seqRow) {
	o := newOwner(ctx, s, service, row, seq)
	s.mu.Lock()
	s.localOwners[service], s.lastTerms[service] = o, row.Term
	s.Settings.tuneGC(len(s.localOwners))
	s.mu.Unlock()
	s.spawn(func() {
		o.run()
		s.mu.Lock()
		if s.localOwners[service] == o {
			delete(s.localOwners, service)
		}
		s.Settings.tuneGC(len(s.localOwners))
		s.mu.Unlock()
	})
}
