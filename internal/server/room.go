package server

import (
	"context"
	"math"
	"sync"
	"time"

	"jasminestep/internal/shard"
	"jasminestep/internal/work"
)

// An owner holds all unfinished jobs of its service in memory, and its successor loads
// them from the store. If more were accepted than that memory holds, each owner in turn would
// exceed it. So an entry refuses jobs for which the owner has no room: about a large job it asks
// the owner first, and about small ones now and then. Large jobs leave half of the room to
// small ones.

const (
	jobsShare    = 3                      // an owner has one part in so many of its memory for jobs
	smallJob     = 64 << 10               // weight in bytes up to which a job is small
	roomAge      = 2 * time.Second        // for which what an owner has told is relied on
	roomInterval = 500 * time.Millisecond // between two requests about small jobs
	weighTime    = 100 * time.Millisecond // between two measurements of an owner's jobs
)

// jobRooms knows how much room the owners of services have for jobs.
type jobRooms struct {
	mu        sync.Mutex
	byService map[string]*jobRoom
}

// jobRoom is the room for jobs in one service.
type jobRoom struct {
	free    int64     // bytes, as told last
	toldAt  time.Time // zero if it has not been told
	askedAt time.Time
}

// admits reports whether a small job may be accepted. Without knowledge it may.
func (r *jobRoom) admits(now time.Time, weight int64) bool {
	return r.toldAt.IsZero() || now.Sub(r.toldAt) > roomAge || weight <= r.free
}

// mayAsk reports whether it is time to ask the owner, and records that it is asked.
func (r *jobRoom) mayAsk(now time.Time) bool {
	if !r.askedAt.IsZero() && now.Sub(r.askedAt) < roomInterval {
		return false
	}
	r.askedAt = now
	return true
}

// jobsLimit is the room in bytes that this entry has for jobs as an owner.
func (s *Settings) jobsLimit() int64 {
	if s.Memory == 0 {
		return math.MaxInt64
	}
	return s.Memory << 20 / jobsShare
}

// mayHold reports whether the owner of a job has memory for it, as far as is known here.
func (s *Server) mayHold(now time.Time, j *work.Job) bool {
	if s.Settings.Memory == 0 {
		return true
	}
	weight := shard.Weight(j)
	if weight > smallJob {
		out := s.ownersRoom(j.Service)
		return out.Owns && weight <= out.Free-out.Limit/2
	}
	r, ask := s.rooms.about(now, j.Service)
	if ask {
		go func() { s.rooms.told(j.Service, s.ownersRoom(j.Service)) }()
	}
	return r.admits(now, weight)
}

// about returns what is known of a service, and whether its owner should be asked.
func (rs *jobRooms) about(now time.Time, service string) (r jobRoom, ask bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.byService == nil {
		rs.byService = map[string]*jobRoom{}
	}
	known := rs.byService[service]
	if known == nil {
		known = &jobRoom{}
		rs.byService[service] = known
	}
	ask = known.mayAsk(now)
	return *known, ask
}

// told records the answer of an owner.
func (rs *jobRooms) told(service string, out RoomReply) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if r := rs.byService[service]; r != nil && out.Owns {
		r.free, r.toldAt = out.Free, monotonicNow()
	}
}

// ownersRoom asks the owner of a service for its room.
func (s *Server) ownersRoom(service string) (out RoomReply) {
	if o := s.localOwner(service); o != nil {
		return o.room()
	}
	row, ok := s.ownerRow(service)
	if !ok || row.Addr == "" {
		return RoomReply{}
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
	defer cancel()
	err := s.callEntry(ctx, row.Addr, "Room", service, &out)
	switch {
	case answered(err):
		return RoomReply{Owns: true, Free: math.MaxInt64} // an older version, which does not tell
	case err != nil:
		return RoomReply{}
	}
	return out
}

// room is the room that the owner has for jobs, beside those of other services that this
// entry owns.
func (o *owner) room() RoomReply {
	out := RoomReply{Owns: o.loaded.Load(), Limit: o.s.Settings.jobsLimit()}
	out.Free = out.Limit
	o.s.mu.Lock()
	defer o.s.mu.Unlock()
	for _, l := range o.s.localOwners {
		out.Free -= l.jobsWeight.Load() + l.postedWeight.Load()
	}
	return out
}

// weighJobs updates what room reports.
func (o *owner) weighJobs(now time.Time) {
	if now.Sub(o.weighedAt) < weighTime {
		return
	}
	o.weighedAt = now
	o.jobsWeight.Store(o.state.Weight())
}
