package server

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/account"
	"jasminestep/internal/table"
	"jasminestep/internal/web"
	"jasminestep/internal/work"
)

// Limits on requests of clients.
const (
	defaultDeadline = 3 * time.Second
	replyMargin     = 100 * time.Millisecond // before a client's deadline, to deliver the response
	maxSpecBytes    = 4000
	MaxSteps        = 64     // of a job
	maxTasks        = 10_000 // of a job, over all steps
	maxRowBytes     = 64 << 10
)

var jobIDPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// serveClient handles a client's request.
func (s *Server) serveClient(w http.ResponseWriter, r *http.Request) {
	cfg := s.cfg.Load()
	if cfg == nil {
		failRetryable(w, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	q := cfg.FindQueue(r.Host, r.URL.Path)
	if q == nil {
		web.Fail(w, http.StatusNotFound, "no such queue")
		return
	}
	a, ok := s.admit(w, r, cfg, q)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), s.deadline(r))
	defer cancel()
	id := strings.TrimPrefix(r.URL.Path, q.Prefix)
	switch {
	case id == "" && r.Method == http.MethodGet:
		s.pendingJobs(ctx, w, cfg, q)
	case !jobIDPattern.MatchString(id):
		web.Fail(w, http.StatusBadRequest, "job id %q: want 16 hexadecimal digits", id)
	case r.Method == http.MethodPost:
		s.submit(ctx, w, r, cfg, q, a, id)
	case r.Method == http.MethodGet:
		s.jobState(ctx, w, q, a, id)
	case r.Method == http.MethodDelete:
		s.cancelJob(ctx, w, q, a, id)
	default:
		web.Fail(w, http.StatusMethodNotAllowed, "method %s", r.Method)
	}
}

// admit reports whether a request may be served, and for which account; otherwise
// it has responded.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, cfg *work.Config, q *work.Queue) (name string, ok bool) {
	age := monotonicNow().Sub(s.configCheckedAt())
	a, verdict := s.admission().Admit(cfg, q, r.Header.Get(s.Codec.KeyHeader), age)
	switch verdict {
	case account.UnknownKey:
		web.Fail(w, http.StatusUnauthorized, "no account has this key; nothing was done")
		return "", false
	case account.Outdated:
		failRetryable(w, http.StatusServiceUnavailable, "keys can't be checked at present; nothing was done")
		return "", false
	}
	if a == nil {
		return "", true
	}
	return a.Name, true
}

// admission returns the rule for requests with keys.
func (s *Server) admission() account.Rule {
	return account.Rule{FailClosed: s.Settings.FailClosed, MaxAge: time.Duration(s.Settings.RevokeTime) * time.Millisecond}
}

func (s *Server) deadline(r *http.Request) time.Duration {
	n, err := strconv.Atoi(r.Header.Get(s.Codec.DeadlineHeader))
	if err != nil || n <= 0 {
		return defaultDeadline
	}
	return max(time.Duration(n)*time.Millisecond-replyMargin, replyMargin)
}

// failRetryable responds that nothing was done and that the client may retry.
func failRetryable(w http.ResponseWriter, code int, format string, args ...any) {
	failUntil(w, code, minRetryAfter, format, args...)
}

// failUntil responds that nothing was done and when the client should retry.
func failUntil(w http.ResponseWriter, code int, after time.Duration, format string, args ...any) {
	w.Header().Set("Retry-After", strconv.Itoa(int(after.Seconds())))
	web.Fail(w, code, format, args...)
}

// storeFailed responds to a request whose store call failed.
func (s *Server) storeFailed(w http.ResponseWriter, id string, err error) {
	s.storeFailedFor(w, id, minRetryAfter, err)
}

// storeFailedFor responds to a request whose store call failed and that is worth
// repeating after the given time.
func (s *Server) storeFailedFor(w http.ResponseWriter, id string, after time.Duration, err error) {
	if errors.Is(err, table.ErrNotApplied) {
		s.Log.Info("request rejected", "job", id, "why", err.Error())
		w.Header().Set("Connection", "close") // the client may reach an entry that can reach the store
		failUntil(w, http.StatusServiceUnavailable, after, "the store is not to be reached")
		return
	}
	s.Log.Info("request outcome unknown", "job", id, "why", err.Error())
	web.Fail(w, http.StatusGatewayTimeout, "the store did not answer in time")
}

// notifyOwner tells a shard's owner of a change that is already durable, so
// that the owner does not have to wait for it in the store's feed.
func (s *Server) notifyOwner(service, method string, args any, local func(*owner)) {
	if o := s.localOwner(service); o != nil {
		local(o)
		return
	}
	row, ok := s.ownerRow(service)
	if !ok || row.Addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
	defer cancel()
	var owns bool
	if err := s.callEntry(ctx, row.Addr, method, args, &owns); err != nil || !owns {
		s.Log.Debug("owner not notified", "method", method, "owner", row.Name, "owns", owns, "why", fmt.Sprint(err))
	}
}

// ownerCallTimeout limits a call to an owner; a job's state is read from the
// store after it.
const ownerCallTimeout = 700 * time.Millisecond

func failNoSuchJob(w http.ResponseWriter) { web.Fail(w, http.StatusGone, "no such job") }
