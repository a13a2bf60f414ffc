package server

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"jasminestep/internal/web"
	"jasminestep/internal/work"
)

// formerServices knows at which services, besides the one to which a queue is sent, jobs
// of the queue may wait: the configuration has sent the queue there before, and the jobs
// that were accepted then stay there. The zero value knows nothing.
type formerServices struct {
	mu      sync.Mutex
	version int64               // of the configuration for which byQueue holds
	byQueue map[string][]string // services that had pending jobs when they were last asked, by queue
}

// acceptWindow is how long after a change of the configuration a job may still be accepted
// by an entry that does not know of it.
const acceptWindow = 6 * time.Second

// of returns the services that may have jobs of a queue. known is false if that is not
// known for this version of the configuration, so that all have to be asked.
func (f *formerServices) of(queue string, version int64) (services []string, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	services, known = f.byQueue[queue]
	return services, known && f.version == version
}

// learn records which services have jobs of a queue. The configuration must have been in
// force for acceptWindow.
func (f *formerServices) learn(queue string, version int64, services []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if version < f.version {
		return
	}
	if version > f.version || f.byQueue == nil {
		f.version, f.byQueue = version, map[string][]string{}
	}
	f.byQueue[queue] = services
}

// pendingJobs responds with the number of jobs of a queue that have not started.
// It waits a short time for an owner that has just claimed the shard to read it.
func (s *Server) pendingJobs(ctx context.Context, w http.ResponseWriter, cfg *work.Config, q *work.Queue) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	for {
		if n, ok := s.countPending(ctx, monotonicNow(), cfg, q); ok {
			web.Reply(w, http.StatusOK, s.Codec.EncodePending(n))
			return
		}
		if ctx.Err() != nil {
			failRetryable(w, http.StatusServiceUnavailable, "the owner of the queue does not answer")
			return
		}
		sleep(ctx, pendingRetryDelay)
	}
}

// pendingRetryDelay is the pause before the owner is asked again for the number
// of pending jobs.
const pendingRetryDelay = 30 * time.Millisecond

// countPending asks the owner of a queue's service, and those of services that may have
// jobs of the queue from before, for the number of pending jobs. ok is false if one
// does not know that is known to have some, or if the queue's service has no owner.
func (s *Server) countPending(ctx context.Context, now time.Time, cfg *work.Config, q *work.Queue) (n int, ok bool) {
	if _, ok = s.waitForOwner(ctx, q.Service); !ok {
		return 0, false
	}
	if n, ok = s.askPending(ctx, q.Service, q.Key()); !ok {
		return 0, false
	}
	former, known := s.formerServices.of(q.Key(), cfg.Version)
	if !known {
		former = s.otherServices(q.Service)
	}
	holders, complete := []string{}, true
	for _, service := range former {
		k, answered := s.askPending(ctx, service, q.Key())
		if known && !answered {
			return 0, false
		}
		complete = complete && answered
		if n += k; k > 0 {
			holders = append(holders, service)
		}
	}
	if complete && now.UnixNano()-s.cfgSince.Load() >= acceptWindow.Nanoseconds() {
		s.formerServices.learn(q.Key(), cfg.Version, holders)
	}
	return n, true
}

// otherServices returns all services that have an owner, but one, in order.
func (s *Server) otherServices(but string) (out []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service, row := range s.ownerRows {
		if service != but && row.Addr != "" {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// askPending asks the owner of a service for the number of pending jobs of a queue. ok is
// false if it does not know, or there is none.
func (s *Server) askPending(ctx context.Context, service, queue string) (n int, ok bool) {
	if o := s.localOwner(service); o != nil {
		return o.pendingJobs(queue)
	}
	row, ok := s.ownerRow(service)
	if !ok || row.Addr == "" {
		return 0, false
	}
	var out PendingReply
	if err := s.callEntry(ctx, row.Addr, "Pending", PendingArgs{service, queue}, &out); err != nil {
		s.Log.Debug("pending jobs not counted", "service", service, "why", err.Error())
	}
	return out.N, out.Owns
}
