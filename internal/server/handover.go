package server

import "time"

// handOver gives up the shard at once so that another entry can claim it.
// Decisions that are not durable yet are left to that entry.
func (o *owner) handOver() {
	o.post(func(time.Time) { o.handingOver = true })
	select {
	case <-o.done:
	case <-time.After(handOverTimeout):
		o.depose("handover timed out")
	}
}

// handOverTimeout limits the time of a handover; after it other entries have to
// detect that the shard has no owner.
const handOverTimeout = 2 * time.Second

// releaseShard writes an owner row that names no owner, but the entry that
// should claim the shard next.
func (o *owner) releaseShard() {
	defer o.cancel()
	next := OwnerRow{Term: o.term, Next: o.s.successor(monotonicNow(), o.service)}
	if _, err := o.s.replaceOwnerRow(o.ctx, o.service, o.ownerVersion, o.seq, next); err != nil {
		o.s.Log.Warn("shard handover failed", "service", o.service, "why", err.Error())
		return
	}
	o.s.Log.Info("shard handed over", "service", o.service, "term", o.term, "next", next.Next)
}

// handOverAll hands over all shards.
func (s *Server) handOverAll() {
	for _, o := range s.allLocalOwners() {
		go o.handOver()
	}
}

// successor returns the name of the entry that should claim a shard released by
// this one: the one of highest strength that responds and owns no shard.
func (s *Server) successor(now time.Time, service string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	owns := s.ownerNames()
	best := Entry{}
	for _, e := range s.entries {
		if e.Name == s.Settings.ID || owns[e.Name] || e.Leaving || s.avoided(now, e.Addr) {
			continue
		}
		if best.Name == "" || e.claimsBefore(best, service, s.Settings.Zone) {
			best = e
		}
	}
	return best.Name
}
