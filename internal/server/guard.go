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
	watchGap     = 100 * time.Millisecond
	pingGap      = 200 * time.Millisecond
	pingTimeout  = 300 * time.Millisecond
	quietFor     = 700 * time.Millisecond // without an answer or a write, before a shard is taken over
	seqTimeout   = 700 * time.Millisecond
	claimTimeout = 4 * time.Second
	staleWrite   = 3 * time.Second        // an owner that answers but makes nothing durable is replaced
	enrolTime    = 700 * time.Millisecond // from the first list of entries, for others to be in it
	claimStagger = 80 * time.Millisecond
	nextFirst    = 250 * time.Millisecond // that the entry named by a handover has for its claim
	refusedQuiet = 250 * time.Millisecond // in place of quietFor if the owner's port is closed
	ownsAlready  = 4                      // ranks that an owner of another shard steps back
)

func (s *Server) owner(service string) *owner {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owners[service]
}

// guard watches the owner of every service.
func (s *Server) guard(ctx context.Context) {
	watched := map[string]bool{}
	for ctx.Err() == nil {
		if c := s.cfg.Load(); c != nil {
			for _, v := range c.Services {
				if !watched[v.Name] {
					watched[v.Name] = true
					s.spawn(func() { s.watch(ctx, v.Name) })
				}
			}
		}
		pause(ctx, watchGap)
	}
}

// turn is how many entries go before this one in claiming a shard.
func (s *Server) turn(service string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	me := Entry{Name: s.Settings.ID, Strength: s.Settings.Strength()}
	t := 0
	for n, e := range s.names {
		if n != me.Name && !e.Leaving && e.before(me, service) {
			t++
		}
	}
	if len(s.owners) > 0 {
		t += ownsAlready
	}
	return t
}

// before says whether e claims a shard before f: the stronger first.
func (e Entry) before(f Entry, service string) bool {
	if e.Strength != f.Strength {
		return e.Strength > f.Strength
	}
	return rank(service, e.Name) < rank(service, f.Name)
}

// watched is what an entry has seen of a shard's owner.
type watched struct {
	asked time.Time // last ping
	quiet time.Time // since when there is no answer; zero if there is one
	free  time.Time // since when nobody owns the shard
	seq   int64     // version of the owner's last write when it fell quiet
}

// watch takes the shard of a service over when its owner is gone.
func (s *Server) watch(ctx context.Context, service string) {
	var v watched
	for ctx.Err() == nil {
		s.await(ctx, watchGap)
		if s.stopping.Load() || s.owner(service) != nil || !s.hasLeads() {
			v = watched{}
			continue
		}
		now := steady()
		l, _ := s.lead(service)
		stepped := s.owns()
		stagger := time.Duration(s.turn(service)) * claimStagger
		switch {
		case l.Name == s.Settings.ID:
			s.claim(ctx, service, l, stepped, "a former process of this VM had it")
		case l.Name == "":
			if v.free.IsZero() {
				v.free = now
			}
			switch l.Next {
			case "":
			case s.Settings.ID:
				stagger, stepped = 0, true
			default:
				stagger += nextFirst
			}
			if now.Sub(v.free) >= stagger {
				s.claim(ctx, service, l, stepped, "nobody had it")
			}
		default:
			v.free = time.Time{}
			if s.lostOwner(ctx, service, l, &v, stagger) {
				s.claim(ctx, service, l, stepped, "its owner was silent")
				v = watched{}
			}
		}
	}
}

func (s *Server) hasLeads() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded || s.enrolledAt.IsZero() {
		return false
	}
	return !s.Settings.First || steady().Sub(s.enrolledAt) >= enrolTime
}

// lostOwner says that an owner neither answers nor writes any more.
func (s *Server) lostOwner(ctx context.Context, service string, l Lead, v *watched, stagger time.Duration) bool {
	now := steady()
	if now.Sub(v.asked) < pingGap {
		return false
	}
	v.asked = now
	ok, closed := s.ping(ctx, service, l)
	if ok {
		v.quiet = time.Time{}
		return false
	}
	seq, err := s.written(ctx, service)
	if err != nil {
		s.Log.Debug("cannot tell whether the owner is gone", "service", service, "why", err.Error())
		return false
	}
	if v.quiet.IsZero() || seq != v.seq {
		v.quiet, v.seq = now, seq
		return false
	}
	if closed {
		return now.Sub(v.quiet) >= refusedQuiet+stagger
	}
	return now.Sub(v.quiet) >= quietFor+stagger
}

// ping says whether an owner answers, and if not, whether its port is closed.
func (s *Server) ping(ctx context.Context, service string, l Lead) (ok, closed bool) {
	c, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var out AliveReply
	err := s.peers.Call(c, l.Addr, peer.Control, "Alive", service, &out)
	return err == nil && out.Owns && out.Age < staleWrite, errors.Is(err, syscall.ECONNREFUSED)
}

// written is the version of the owner's last write.
func (s *Server) written(ctx context.Context, service string) (int64, error) {
	c, cancel := context.WithTimeout(ctx, seqTimeout)
	defer cancel()
	r, err := s.store.ReadOwn(c, seqTable, service)
	if err != nil {
		return 0, err
	}
	if len(r.Rows) == 0 {
		return 0, nil
	}
	return r.Rows[0].Version, nil
}

// owns says that this entry owns a shard.
func (s *Server) owns() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.owners) > 0
}

// claim tries to make this entry the owner of a shard.
func (s *Server) claim(ctx context.Context, service string, l Lead, stepped bool, why string) {
	s.claiming.Lock() // one at a time: an owner of one shard lets others go first
	defer s.claiming.Unlock()
	if s.owns() && !stepped {
		return // the wait was for an entry that owns nothing
	}
	c, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	own, err := s.store.Read(c, entryTable, service, "", "")
	if err != nil {
		s.Log.Warn("claim", "service", service, "why", err.Error())
		return
	}
	now := Lead{}
	if len(own.Rows) > 0 {
		if now, err = decodeLead(own.Rows[0]); err != nil {
			s.Log.Error("owner row", "service", service, "why", err.Error())
			return
		}
	}
	if now.version != l.version && now.Life != s.life {
		s.owned(own.Rows, false)
		return
	}
	seq, err := s.written(c, service)
	if err != nil {
		s.Log.Warn("claim", "service", service, "why", err.Error())
		return
	}
	if now.Life == s.life && now.Name == s.Settings.ID {
		s.noteLead(service, now)
		s.own(ctx, service, now, seq) // an earlier claim that got no answer
		return
	}
	next := Lead{Name: s.Settings.ID, Addr: s.Settings.Peer, Life: s.life, Term: now.Term + 1}
	res, err := s.swap(c, service, now.version, seq, next)
	if err != nil || !res.Done {
		s.Log.Info("claim lost", "service", service, "term", next.Term, "why", fmt.Sprint(err))
		return
	}
	next.version = res.Version
	s.Log.Info("owner", "service", service, "term", next.Term, "why", why)
	s.noteLead(service, next)
	s.own(ctx, service, next, res.Version)
}

// own starts deciding for a shard.
func (s *Server) own(ctx context.Context, service string, l Lead, seq int64) {
	o := newOwner(ctx, s, service, l, seq)
	s.mu.Lock()
	s.owners[service] = o
	s.Settings.tune(len(s.owners))
	s.mu.Unlock()
	s.spawn(func() {
		o.run()
		s.mu.Lock()
		if s.owners[service] == o {
			delete(s.owners, service)
		}
		s.Settings.tune(len(s.owners))
		s.mu.Unlock()
	})
}

// release hands all shards over.
func (s *Server) release() {
	s.mu.Lock()
	var os []*owner
	for _, o := range s.owners {
		os = append(os, o)
	}
	s.mu.Unlock()
	for _, o := range os {
		go o.handOver()
	}
}
