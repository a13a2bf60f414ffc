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

// Bounds on what clients send and how long they wait.
const (
	usualDeadline = 3 * time.Second
	answerMargin  = 100 * time.Millisecond // before a client's deadline, to get an answer out
	maxSpec       = 4000                   // bytes
	maxSteps      = 64
	maxTasks      = 10_000 // of a job, over all steps
	maxRow        = 64 << 10
	retryAfter    = "1" // seconds
	jobParts      = 64
)

var jobID = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

// client answers one request of a client.
func (s *Server) client(w http.ResponseWriter, r *http.Request) {
	cfg := s.cfg.Load()
	if cfg == nil {
		reject(w, http.StatusServiceUnavailable, "no configuration yet")
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
		s.pending(ctx, w, q)
	case !jobID.MatchString(id):
		web.Fail(w, http.StatusBadRequest, "job id %q: want 16 hexadecimal digits", id)
	case r.Method == http.MethodPost:
		s.submit(ctx, w, r, cfg, q, id)
	case r.Method == http.MethodGet:
		s.state(ctx, w, q, id)
	case r.Method == http.MethodDelete:
		s.cancelJob(ctx, w, q, id)
	default:
		web.Fail(w, http.StatusMethodNotAllowed, "method %s", r.Method)
	}
}

func (s *Server) deadline(r *http.Request) time.Duration {
	n, err := strconv.Atoi(r.Header.Get(s.Codec.DeadlineHeader))
	if err != nil || n <= 0 {
		return usualDeadline
	}
	return max(time.Duration(n)*time.Millisecond-answerMargin, answerMargin)
}

// reject answers that nothing was done and that the client may come again.
func reject(w http.ResponseWriter, code int, format string, args ...any) {
	w.Header().Set("Retry-After", retryAfter)
	web.Fail(w, code, format, args...)
}

// failed answers for a call to the store that brought nothing.
func (s *Server) failed(w http.ResponseWriter, id string, err error) {
	if errors.Is(err, table.ErrNotApplied) {
		s.Log.Info("rejected", "job", id, "why", err.Error())
		w.Header().Set("Connection", "close") // the client may reach an entry that is better off
		reject(w, http.StatusServiceUnavailable, "the store is not to be reached")
		return
	}
	s.Log.Info("unknown", "job", id, "why", err.Error())
	web.Fail(w, http.StatusGatewayTimeout, "the store did not answer in time")
}

func jobKey(name string) table.Key {
	id, _, _ := strings.Cut(name, ".")
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash takes everything
	return table.Key{Table: jobTable, Part: "p" + strconv.Itoa(int(h.Sum32()%jobParts)), Name: name}
}

// cancelMark is the end of the name of a row that cancels a job.
const cancelMark = ".cancel"

func (s *Server) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, cfg *work.Config, q *work.Queue, id string) {
	limit := cfg.MaxBody
	if limit <= 0 {
		limit = maxRow
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
		err = check(j)
	}
	if err != nil {
		web.Fail(w, http.StatusBadRequest, "%v", err)
		return
	}
	j.ID, j.Queue, j.Service, j.Accepted = id, q.Key(), q.Service, time.Now().UnixMilli()
	j.Attempts, j.Priority, j.Slack, j.Target, j.Advice = q.Attempts, q.Priority, q.Slack, q.Target, q.Advice
	row, err := json.Marshal(j)
	if err != nil || len(row) > maxRow*3/4 {
		web.Fail(w, http.StatusRequestEntityTooLarge, "the job is too large")
		return
	}
	fresh, err := s.accept(ctx, j, row)
	if err != nil {
		s.failed(w, id, err)
		return
	}
	s.Log.Info("accepted", "job", id, "queue", q.Name, "fresh", fresh, "version", cfg.Version)
	web.Reply(w, http.StatusOK, struct{}{})
	if fresh {
		go s.tellOwner(j.Service, "Submit", j, func(o *owner) {
			o.post(func(now time.Time) { o.st.Submit(now, j) })
		})
	}
}

// Pauses of an entry that has a job to store, and how long it goes on while the
// store is over its rate.
const (
	acceptGap = 50 * time.Millisecond
	busyGap   = 120 * time.Millisecond
	busyFor   = 700 * time.Millisecond
)

// accept makes a job durable, once. fresh is false if it was already. The error
// is marked table.ErrNotDone only if the job can never become durable by this
// call. It returns as soon as the store is not to be reached: the client may
// reach an entry that is better off.
func (s *Server) accept(ctx context.Context, j *work.Job, row []byte) (fresh bool, err error) {
	k := jobKey(j.ID)
	tx := table.Tx{If: []table.Row{{Key: k}}, Put: []table.Row{{Key: k, Value: row}}}
	open := false // an attempt may have been, or may yet be carried out
	began := steady()
	for {
		res, err := s.store.Do(ctx, tx)
		if err == nil {
			return res.Done, nil // if not done, the row is there: the job was accepted before
		}
		notDone, busy := errors.Is(err, table.ErrNotApplied), errors.Is(err, table.ErrRateLimited)
		open = open || !notDone
		gap := acceptGap
		switch {
		case open && (ctx.Err() != nil || !s.store.Reached()):
			return false, fmt.Errorf("fate unknown: %v", err)
		case open:
		case busy && steady().Sub(began) < busyFor:
			gap = busyGap
		default:
			return false, err
		}
		pause(ctx, gap)
	}
}

// check reports what makes a job impossible to run.
func check(j *work.Job) error {
	if len(j.Spec) > maxSpec {
		return fmt.Errorf("spec: %d bytes, at most %d", len(j.Spec), maxSpec)
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

// tellOwner tells a shard's owner what is durable already, so that it need not
// find it in the store's feed.
func (s *Server) tellOwner(service, method string, args any, here func(*owner)) {
	if o := s.owner(service); o != nil {
		here(o)
		return
	}
	l, ok := s.lead(service)
	if !ok || l.Addr == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	var owns bool
	if err := s.call(ctx, l.Addr, method, args, &owns); err != nil || !owns {
		s.Log.Debug("owner not told", "method", method, "owner", l.Name, "owns", owns, "why", fmt.Sprint(err))
	}
}

// lookTimeout bounds a question to an owner; the store is read after it.
const lookTimeout = 700 * time.Millisecond

// look asks the owner of a service for a job.
func (s *Server) look(ctx context.Context, service, id string) (out LookReply, err error) {
	if o := s.owner(service); o != nil {
		out.Owns = true
		out.Shown, out.Known = o.look(id)
		return out, nil
	}
	l, ok := s.lead(service)
	if !ok || l.Addr == "" {
		return out, errors.New("no owner")
	}
	c, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	err = s.call(c, l.Addr, "Look", LookArgs{service, id}, &out)
	return out, err
}

// state answers what has become of a job.
func (s *Server) state(ctx context.Context, w http.ResponseWriter, q *work.Queue, id string) {
	out, err := s.look(ctx, q.Service, id)
	if err == nil && out.Known {
		s.tell(w, q, out.Shown)
		return
	}
	sh, found, err := s.read(ctx, id)
	switch {
	case err != nil:
		s.failed(w, id, err)
	case !found:
		gone(w)
	default:
		s.tell(w, q, sh)
	}
}

func gone(w http.ResponseWriter) { web.Fail(w, http.StatusGone, "no such job") }

func (s *Server) tell(w http.ResponseWriter, q *work.Queue, sh shard.Shown) {
	if sh.Queue != q.Key() {
		gone(w)
		return
	}
	web.Reply(w, http.StatusOK, s.Codec.EncodeState(string(sh.State)))
}

// job reads a job's row.
func (s *Server) job(ctx context.Context, id string) (*work.Job, error) {
	k := jobKey(id)
	r, err := s.store.Read(ctx, k.Table, k.Part, id, id+"\x00")
	if err != nil {
		return nil, err
	}
	if len(r.Rows) == 0 {
		return nil, nil
	}
	j := &work.Job{}
	if err = json.Unmarshal(r.Rows[0].Value, j); err != nil {
		return nil, fmt.Errorf("row of job %s: %w", id, err)
	}
	return j, nil
}

// read finds a job's state in the store.
func (s *Server) read(ctx context.Context, id string) (sh shard.Shown, found bool, err error) {
	j, err := s.job(ctx, id)
	if err != nil || j == nil {
		return sh, false, err
	}
	k := shard.ProgressKey(j.Service, id)
	r, err := s.store.Read(ctx, k.Table, k.Part, id, id+"\x00")
	if err != nil {
		return sh, false, err
	}
	rows := r.Rows
	if len(rows) == 0 {
		from, to := shard.BundleRange()
		if r, err = s.store.Read(ctx, k.Table, k.Part, from, to); err != nil {
			return sh, false, err
		}
		rows = r.Rows
	}
	sh = shard.Shown{ID: id, Queue: j.Queue, State: shard.Queued}
	saved, _ := shard.ReadSaved(rows)
	if row := saved.Row(id); row != nil {
		if sh.State, err = shard.SavedState(row); err != nil {
			return sh, false, err
		}
	}
	return sh, true, nil
}

// cancelJob makes a cancellation durable and tells the owner.
func (s *Server) cancelJob(ctx context.Context, w http.ResponseWriter, q *work.Queue, id string) {
	j, err := s.job(ctx, id)
	for err != nil && ctx.Err() == nil {
		pause(ctx, retryGap/5)
		j, err = s.job(ctx, id)
	}
	if err != nil {
		s.failed(w, id, err)
		return
	}
	if j == nil || j.Queue != q.Key() {
		gone(w)
		return
	}
	tx := table.Tx{Put: []table.Row{{Key: jobKey(id + cancelMark), Value: []byte(j.Service)}}}
	for {
		if _, err = s.store.Do(ctx, tx); err == nil || ctx.Err() != nil {
			break
		}
		pause(ctx, retryGap/5)
	}
	if err != nil {
		s.failed(w, id, err)
		return
	}
	s.tellOwner(j.Service, "Cancel", CancelArgs{j.Service, id}, func(o *owner) {
		o.post(func(now time.Time) { o.st.Cancel(now, id) })
	})
	s.Log.Info("cancelled", "job", id)
	web.Reply(w, http.StatusOK, struct{}{})
}

// pending answers how many jobs of a queue have not begun.
func (s *Server) pending(ctx context.Context, w http.ResponseWriter, q *work.Queue) {
	key := q.Key()
	if o := s.owner(q.Service); o != nil {
		n, ok := o.pending(key)
		if !ok {
			reject(w, http.StatusServiceUnavailable, "the queue's shard is being read")
			return
		}
		web.Reply(w, http.StatusOK, s.Codec.EncodePending(n))
		return
	}
	var out PendingReply
	if l, ok := s.leadSoon(ctx, q.Service); ok {
		c, cancel := context.WithTimeout(ctx, lookTimeout)
		defer cancel()
		if err := s.call(c, l.Addr, "Pending", PendingArgs{q.Service, key}, &out); err != nil {
			s.Log.Debug("pending", "why", err.Error())
		}
	}
	if !out.Owns {
		reject(w, http.StatusServiceUnavailable, "the owner of the queue does not answer")
		return
	}
	web.Reply(w, http.StatusOK, s.Codec.EncodePending(out.N))
}
