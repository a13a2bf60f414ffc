package server

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/peer"
)

// Timing of ownership.
const (
	watchInterval      = 100 * time.Millisecond
	pingInterval       = 200 * time.Millisecond
	pingTimeout        = 300 * time.Millisecond
	ownerTimeout       = 700 * time.Millisecond // without an answer or a write, before a shard is taken over
	seqReadTimeout     = 700 * time.Millisecond
	claimTimeout       = 4 * time.Second
	maxWriteAge        = 3 * time.Second        // an owner that answers but makes nothing durable is replaced
	firstStartDelay    = 700 * time.Millisecond // from the first list of entries, for others to be in it
	claimStagger       = 80 * time.Millisecond
	successorHeadStart = 250 * time.Millisecond // that the entry named by a handover has for its claim
	closedPortTimeout  = 250 * time.Millisecond // in place of quietFor if the owner's port is closed
	ownerRankPenalty   = 4                      // ranks that an owner of another shard steps back
)

func (s *Server) localOwner(service string) *owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.localOwners[service]
}

// guard watches the owner of every service.
func (s *Server) watchServices(ctx context.Context) {
	watched := map[string]bool{}
	for ctx.Err() == nil {
		if c := s.cfg.Load(); c != nil {
			for _, v := range c.Services {
				if !watched[v.Name] {
					watched[v.Name] = true
					s.spawn(func() { s.watchOwner(ctx, v.Name) })
				}
			}
		}
		sleep(ctx, watchInterval)
	}
}

// turn is how many entries go before this one in claiming a shard.
func (s *Server) claimRank(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	me := Entry{Name: s.Settings.ID, Strength: s.Settings.Strength()}
	t := 0
	for n, e := range s.entries {
		if n != me.Name && !e.Leaving && e.claimsBefore(me, service) {
			t++
		}
	}
	if len(s.localOwners) > 0 {
		t += ownerRankPenalty
	}
	return t
}

// before says whether e claims a shard before f: the stronger first.
func (e Entry) claimsBefore(f Entry, service string) bool {
	if e.Strength != f.Strength {
		return e.Strength > f.Strength
	}
	return rank(service, e.Name) < rank(service, f.Name)
}

// watched is what an entry has seen of a shard's owner.
type ownerWatch struct {
	lastPing     time.Time // last ping
	silentSince  time.Time // since when there is no answer; zero if there is one
	unownedSince time.Time // since when nobody owns the shard
	seqVersion   int64     // version of the owner's last write when it fell quiet
}

// watch takes the shard of a service over when its owner is gone.
func (s *Server) watchOwner(ctx context.Context, service string) {
	var v ownerWatch
	for ctx.Err() == nil {
		s.awaitOwnerChange(ctx, watchInterval)
		if s.stopping.Load() || s.localOwner(service) != nil || !s.canClaim() {
			v = ownerWatch{}
			continue
		}
		now := monotonicNow()
		l, _ := s.ownerRow(service)
		mayOwnMore := s.ownsShard()
		stagger := time.Duration(s.claimRank(service)) * claimStagger
		switch {
		case l.Name == s.Settings.ID:
			s.claim(ctx, service, l, mayOwnMore, "a former process of this VM had it")
		case l.Name == "":
			if v.unownedSince.IsZero() {
				v.unownedSince = now
			}
			switch l.Next {
			case "":
			case s.Settings.ID:
				stagger, mayOwnMore = 0, true
			default:
				stagger += successorHeadStart
			}
			if now.Sub(v.unownedSince) >= stagger {
				s.claim(ctx, service, l, mayOwnMore, "nobody had it")
			}
		default:
			v.unownedSince = time.Time{}
			if s.ownerLost(ctx, service, l, &v, stagger) {
				s.claim(ctx, service, l, mayOwnMore, "its owner was silent")
				v = ownerWatch{}
			}
		}
	}
}

func (s *Server) canClaim() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ownerRowsLoaded || s.entriesReadAt.IsZero() {
		return false
	}
	return !s.Settings.FirstStart || monotonicNow().Sub(s.entriesReadAt) >= firstStartDelay
}

// lostOwner says that an owner neither answers nor writes any more.
func (s *Server) ownerLost(ctx context.Context, service string, l OwnerRow, v *ownerWatch, stagger time.Duration) bool {
	now := monotonicNow()
	if now.Sub(v.lastPing) < pingInterval {
		return false
	}
	v.lastPing = now
	ok, closed := s.pingOwner(ctx, service, l)
	if ok {
		v.silentSince = time.Time{}
		return false
	}
	seq, err := s.readSeqVersion(ctx, service)
	if err != nil {
		s.Log.Debug("cannot tell whether the owner is gone", "service", service, "why", err.Error())
		return false
	}
	if v.silentSince.IsZero() || seq != v.seqVersion {
		v.silentSince, v.seqVersion = now, seq
		return false
	}
	if closed {
		return now.Sub(v.silentSince) >= closedPortTimeout+stagger
	}
	return now.Sub(v.silentSince) >= ownerTimeout+stagger
}

// ping says whether an owner answers, and if not, whether its port is closed.
func (s *Server) pingOwner(ctx context.Context, service string, l OwnerRow) (ok, closed bool) {
	c, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var out AliveReply
	err := s.peers.Call(c, l.Addr, peer.Control, "Alive", service, &out)
	return err == nil && out.Owns && out.Age < maxWriteAge, errors.Is(err, syscall.ECONNREFUSED)
}

// written is the version of the owner's last write.
func (s *Server) readSeqVersion(ctx context.Context, service string) (int64, error) {
	c, cancel := context.WithTimeout(ctx, seqReadTimeout)
	defer cancel()
	r, err := s.relayStore.ReadOwn(c, seqTable, service)
	if err != nil {
		return 0, err
	}
	if len(r.Rows) == 0 {
		return 0, nil
	}
	return r.Rows[0].Version, nil
}

// owns says that this entry owns a shard.
func (s *Server) ownsShard() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.localOwners) > 0
}

// claim tries to make this entry the owner of a shard.
func (s *Server) claim(ctx context.Context, service string, l OwnerRow, mayOwnMore bool, why string) {
	s.claimMu.Lock() // one at a time: an owner of one shard lets others go first
	defer s.claimMu.Unlock()
	if s.ownsShard() && !mayOwnMore {
		return // the wait was for an entry that owns nothing
	}
	c, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	rows, err := s.relayStore.Read(c, entryTable, service, "", "")
	if err != nil {
		s.Log.Warn("claim", "service", service, "why", err.Error())
		return
	}
	current := OwnerRow{}
	if len(rows.Rows) > 0 {
		if current, err = decodeOwnerRow(rows.Rows[0]); err != nil {
			s.Log.Error("owner row", "service", service, "why", err.Error())
			return
		}
	}
	if current.version != l.version && current.Life != s.instanceID {
		s.applyOwnerRows(rows.Rows, false)
		return
	}
	seq, err := s.readSeqVersion(c, service)
	if err != nil {
		s.Log.Warn("claim", "service", service, "why", err.Error())
		return
	}
	if current.Life == s.instanceID && current.Name == s.Settings.ID {
		s.setOwnerRow(service, current)
		s.startOwner(ctx, service, current, seq) // an earlier claim that got no answer
		return
	}
	next := OwnerRow{Name: s.Settings.ID, Addr: s.Settings.PeerAddr, Life: s.instanceID, Term: current.Term + 1}
	res, err := s.replaceOwnerRow(c, service, current.version, seq, next)
	if err != nil || !res.Done {
		s.Log.Info("claim lost", "service", service, "term", next.Term, "why", fmt.Sprint(err))
		return
	}
	next.version = res.Version
	s.Log.Info("owner", "service", service, "term", next.Term, "why", why)
	s.setOwnerRow(service, next)
	s.startOwner(ctx, service, next, res.Version)
}

// own starts deciding for a shard.
func (s *Server) startOwner(ctx context.Context, service string, l OwnerRow, seq int64) {
	o := newOwner(ctx, s, service, l, seq)
	s.mu.Lock()
	s.localOwners[service] = o
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

// release hands all shards over.
func (s *Server) handOverAll() {
	s.mu.Lock()
	var owners []*owner
	for _, o := range s.localOwners {
		owners = append(owners, o)
	}
	s.mu.Unlock()
	for _, o := range owners {
		go o.handOver()
	}
}
