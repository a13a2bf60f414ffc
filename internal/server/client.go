package server

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/shard"
	"jasminestep/internal/table"
	"jasminestep/internal/web"
	"jasminestep/internal/work"
)

// Limits on requests of clients.
const (
	defaultDeadline = 3 * time.Second
	replyMargin     = 100 * time.Millisecond // before a client's deadline, to deliver the response
	maxSpecBytes    = 4000
	maxSteps        = 64
	maxTasks        = 10_000 // of a job, over all steps
	maxRowBytes     = 64 << 10
	jobParts        = 64
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
	ctx, cancel := context.WithTimeout(r.Context(), s.deadline(r))
	defer cancel()
	id := strings.TrimPrefix(r.URL.Path, q.Prefix)
	switch {
	case id == "" && r.Method == http.MethodGet:
		s.pendingJobs(ctx, w, q)
	case !jobIDPattern.MatchString(id):
		web.Fail(w, http.StatusBadRequest, "job id %q: want 16 hexadecimal digits", id)
	case r.Method == http.MethodPost:
		s.submit(ctx, w, r, cfg, q, id)
	case r.Method == http.MethodGet:
		s.jobState(ctx, w, q, id)
	case r.Method == http.MethodDelete:
		s.cancelJob(ctx, w, q, id)
	default:
		web.Fail(w, http.StatusMethodNotAllowed, "method %s", r.Method)
	}
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

func jobKey(name string) table.Key {
	id, _, _ := strings.Cut(name, ".")
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never returns an error
	return table.Key{Table: jobTable, Part: partName(int(h.Sum32() % jobParts)), Name: name}
}

// cancelSuffix ends the name of the row that records a job's cancellation.
const cancelSuffix = ".cancel"

func (s *Server) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, cfg *work.Config, q *work.Queue, id string) {
	limit := cfg.MaxBody
	if limit <= 0 {
		limit = maxRowBytes
	}
	b, err := web.Body(r, limit)
	switch {
	case errors.Is(err, web.ErrTooLarge):
		web.Fail(w, http.StatusRequestEntityTooLarge, "%v", err)
		return
	case err != nil:
		web.Fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	j, err := s.Codec.DecodeJob(b)
	if err == nil {
		err = validateJob(j)
	}
	if err != nil {
		web.Fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	j.ID, j.Queue, j.Service, j.Accepted = id, q.Key(), q.Service, time.Now().UnixMilli()
	j.Attempts, j.Priority, j.Slack, j.Target, j.Advice = q.Attempts, q.Priority, q.Slack, q.Target, q.Advice
	row, err := json.Marshal(j)
	if err != nil || len(row) > maxRowBytes*3/4 {
		web.Fail(w, http.StatusRequestEntityTooLarge, "the job is too large")
		return
	}
	version, err := s.accept(ctx, j, row)
	if err != nil {
		s.storeFailedFor(w, id, retryAfter(j), err)
		return
	}
	fresh := version != 0
	s.Log.Info("job accepted", "job", id, "queue", q.Name, "fresh", fresh, "version", cfg.Version)
	web.Reply(w, http.StatusOK, struct{}{})
	if fresh {
		args := SubmitArgs{j, version}
		go s.notifyOwner(j.Service, "Submit", args, func(o *owner) { o.submit(args) })
	}
}

// Retries of the write that accepts a job. maxBusyRetryTime is how long an
// entry retries while the store is over its request rate.
const (
	acceptRetryDelay = 50 * time.Millisecond
	busyRetryDelay   = 120 * time.Millisecond
	maxBusyRetryTime = 700 * time.Millisecond
)

// accept makes a job durable exactly once. It returns the version of the job's
// row, or 0 if the job was durable already. The error is marked
// table.ErrNotApplied only if this call can never make the job durable. accept
// returns as soon as the store is unreachable, because the client may reach an
// entry that can reach it.
func (s *Server) accept(ctx context.Context, j *work.Job, row []byte) (version int64, err error) {
	k := jobKey(j.ID)
	tx := table.Tx{If: []table.Row{{Key: k}, {Key: outcomeKey(j.ID)}}, Put: []table.Row{{Key: k, Value: row}}}
	uncertain := false // an attempt may have been committed, or may be later
	startTime := monotonicNow()
	for {
		res, err := s.relayStore.Do(ctx, tx)
		switch {
		case err == nil && res.Done:
			return res.Version, nil
		case err == nil:
			return 0, nil // a row exists: the job was accepted before
		}
		notDone, busy := errors.Is(err, table.ErrNotApplied), errors.Is(err, table.ErrRateLimited)
		uncertain = uncertain || !notDone
		gap := acceptRetryDelay
		switch {
		case uncertain && (ctx.Err() != nil || !s.relayStore.Reachable()):
			return 0, fmt.Errorf("outcome unknown: %v", err)
		case uncertain:
		case busy && monotonicNow().Sub(startTime) < maxBusyRetryTime:
			gap = busyRetryDelay
		default:
			return 0, err
		}
		sleep(ctx, gap)
	}
}

// validateJob reports why a job cannot be run.
func validateJob(j *work.Job) error {
	if len(j.Spec) > maxSpecBytes {
		return fmt.Errorf("spec: %d bytes, at most %d", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("%d steps: want 1 to %d", len(j.Steps), maxSteps)
	}
	if j.Times < 0 || j.Every < 0 || j.First < 0 || j.Times > maxTasks {
		return errors.New("occurrences: want no negative count, time or interval")
	}
	n := 0
	for i, p := range j.Steps {
		if p.Tasks < 1 || p.Tasks > maxTasks || p.Size.CPU < 0 || p.Size.Mem < 0 || p.Size.GPU < 0 || p.PerMinion < 0 {
			return fmt.Errorf("step %d: want at least one task and no negative size", i)
		}
		n += p.Tasks
		for _, a := range p.After {
			if a < 0 || a >= i {
				return fmt.Errorf("step %d: can only come after an earlier step, not %d", i, a)
			}
		}
	}
	if n > maxTasks {
		return fmt.Errorf("%d tasks, at most %d", n, maxTasks)
	}
	return nil
}

// notifyOwner tells a shard's owner of a change that is already durable, so
// that the owner does not have to wait for it in the store's feed.
func (s *Server) notifyOwner(service, method string, args any, local func(*owner)) {
	if o := s.localOwner(service); o != nil {
		local(o)
		return
	}
	l, ok := s.ownerRow(service)
	if !ok || l.Addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
	defer cancel()
	var owns bool
	if err := s.callEntry(ctx, l.Addr, method, args, &owns); err != nil || !owns {
		s.Log.Debug("owner not notified", "method", method, "owner", l.Name, "owns", owns, "why", fmt.Sprint(err))
	}
}

// ownerCallTimeout limits a call to an owner; a job's state is read from the
// store after it.
const ownerCallTimeout = 700 * time.Millisecond

// lookUpJob asks the owner of a service for a job.
func (s *Server) lookUpJob(ctx context.Context, service, id string) (out LookReply, err error) {
	if o := s.localOwner(service); o != nil {
		out.Owns = true
		out.Shown, out.Known = o.lookUpJob(id)
		return out, nil
	}
	l, ok := s.ownerRow(service)
	if !ok || l.Addr == "" {
		return out, errors.New("no owner")
	}
	c, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	err = s.callEntry(c, l.Addr, "Look", LookArgs{service, id}, &out)
	return out, err
}

// jobState responds with the state of a job.
func (s *Server) jobState(ctx context.Context, w http.ResponseWriter, q *work.Queue, id string) {
	out, err := s.lookUpJob(ctx, q.Service, id)
	if err == nil && out.Known {
		s.replyState(w, q, out.Shown)
		return
	}
	sh, found, err := s.readState(ctx, id)
	switch {
	case err != nil:
		s.storeFailed(w, id, err)
	case !found:
		failNoSuchJob(w)
	default:
		s.replyState(w, q, sh)
	}
}

func failNoSuchJob(w http.ResponseWriter) { web.Fail(w, http.StatusGone, "no such job") }

func (s *Server) replyState(w http.ResponseWriter, q *work.Queue, sh shard.JobStatus) {
	if sh.Queue != q.Key() {
		failNoSuchJob(w)
		return
	}
	web.Reply(w, http.StatusOK, s.Codec.EncodeState(string(sh.State)))
}

// readJob reads a job's row and its version, or returns nil if there is none.
func (s *Server) readJob(ctx context.Context, id string) (*work.Job, int64, error) {
	k := jobKey(id)
	r, err := s.relayStore.Read(ctx, k.Table, k.Part, id, id+"\x00")
	if err != nil {
		return nil, 0, err
	}
	if len(r.Rows) == 0 {
		return nil, 0, nil
	}
	j := &work.Job{}
	if err = json.Unmarshal(r.Rows[0].Value, j); err != nil {
		return nil, 0, fmt.Errorf("row of job %s: %w", id, err)
	}
	return j, r.Rows[0].Version, nil
}

// readState reads a job's state from the store.
func (s *Server) readState(ctx context.Context, id string) (sh shard.JobStatus, found bool, err error) {
	j, _, err := s.readJob(ctx, id)
	switch {
	case err != nil:
		return sh, false, err
	case j == nil:
		return s.readOutcome(ctx, id)
	}
	k := shard.ProgressKey(j.Service, id)
	r, err := s.relayStore.Read(ctx, k.Table, k.Part, id, id+"\x00")
	if err != nil {
		return sh, false, err
	}
	rows := r.Rows
	if len(rows) == 0 {
		from, to := shard.BundleRange()
		if r, err = s.relayStore.Read(ctx, k.Table, k.Part, from, to); err != nil {
			return sh, false, err
		}
		rows = r.Rows
	}
	sh = shard.JobStatus{ID: id, Queue: j.Queue, State: shard.Queued}
	saved, _ := shard.ReadProgress(rows)
	if row := saved.Row(id); row != nil {
		sh.State, err = shard.ParseJobState(row)
		return sh, err == nil, err
	}
	// It has not begun, or it was archived between the two reads.
	if out, found, err := s.readOutcome(ctx, id); err != nil || found {
		return out, found, err
	}
	return sh, true, nil
}

// cancelJob makes a cancellation durable and notifies the owner.
func (s *Server) cancelJob(ctx context.Context, w http.ResponseWriter, q *work.Queue, id string) {
	for {
		j, ended, err := s.tryCancel(ctx, q, id)
		switch {
		case err == nil && ended:
			web.Reply(w, http.StatusOK, struct{}{})
			return
		case err == nil && j == nil:
			failNoSuchJob(w)
			return
		case err == nil:
			s.notifyOwner(j.Service, "Cancel", CancelArgs{j.Service, id}, func(o *owner) {
				o.post(func(now time.Time) { o.state.Cancel(now, id) })
			})
			s.Log.Info("cancellation accepted", "job", id)
			web.Reply(w, http.StatusOK, struct{}{})
			return
		case ctx.Err() != nil:
			s.storeFailed(w, id, err)
			return
		}
		sleep(ctx, retryDelay/5)
	}
}

// errArchivedMeanwhile means that a job was archived between the read of its row
// and the write of its cancellation.
var errArchivedMeanwhile = errors.New("the job has just been archived")

// tryCancel writes the cancellation of a job of the queue. It returns a nil job
// if there is none, and ended if it is archived, so that nothing is left to
// cancel.
func (s *Server) tryCancel(ctx context.Context, q *work.Queue, id string) (j *work.Job, ended bool, err error) {
	j, version, err := s.readJob(ctx, id)
	if err != nil {
		return nil, false, err
	}
	if j == nil {
		out, found, err := s.readOutcome(ctx, id)
		return nil, found && out.Queue == q.Key(), err
	}
	if j.Queue != q.Key() {
		return nil, false, nil
	}
	res, err := s.relayStore.Do(ctx, table.Tx{
		If:  []table.Row{{Key: jobKey(id), Version: version}},
		Put: []table.Row{{Key: jobKey(id + cancelSuffix), Value: []byte(j.Service)}},
	})
	if err == nil && !res.Done {
		err = errArchivedMeanwhile
	}
	return j, false, err
}

// pendingJobs responds with the number of jobs of a queue that have not started.
// It waits a short time for an owner that has just claimed the shard to read it.
func (s *Server) pendingJobs(ctx context.Context, w http.ResponseWriter, q *work.Queue) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	for {
		if n, ok := s.countPending(ctx, q); ok {
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

// countPending asks the owner for the number of pending jobs. ok is false if it
// does not know, or there is none.
func (s *Server) countPending(ctx context.Context, q *work.Queue) (n int, ok bool) {
	if o := s.localOwner(q.Service); o != nil {
		return o.pendingJobs(q.Key())
	}
	l, ok := s.waitForOwner(ctx, q.Service)
	if !ok {
		return 0, false
	}
	var out PendingReply
	if err := s.callEntry(ctx, l.Addr, "Pending", PendingArgs{q.Service, q.Key()}, &out); err != nil {
		s.Log.Debug("pending jobs not counted", "why", err.Error())
	}
	return out.N, out.Owns
}
