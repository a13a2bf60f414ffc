package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/account"
	"jasminestep/internal/table"
	"jasminestep/internal/web"
	"jasminestep/internal/work"
)

// decodeJob reads and checks the job that a request submits. If ok is false it has
// responded.
func (s *Server) decodeJob(w http.ResponseWriter, r *http.Request, cfg *work.Config) (j *work.Job, ok bool) {
	limit := cfg.MaxBody
	if limit <= 0 {
		limit = maxRowBytes
	}
	b, err := web.Body(r, limit)
	switch {
	case errors.Is(err, web.ErrTooLarge):
		w.Header().Set("Connection", "close") // the rest of the body is of no use
		web.Fail(w, http.StatusRequestEntityTooLarge, "%v", err)
		return nil, false
	case errors.Is(err, web.ErrBusy):
		w.Header().Set("Connection", "close") // the client may reach an entry with room
		failRetryable(w, http.StatusServiceUnavailable, "too many requests at present; nothing was done")
		return nil, false
	case err != nil:
		web.Fail(w, http.StatusBadRequest, "%v", err)
		return nil, false
	}
	j, err = s.Codec.DecodeJob(b)
	if err == nil {
		err = validateJob(j)
	}
	if err != nil {
		web.Fail(w, http.StatusBadRequest, "%v", err)
		return nil, false
	}
	return j, true
}

// setQueue sets what a job has from its queue, and its account.
func setQueue(j *work.Job, q *work.Queue, account string) {
	j.Queue, j.Service, j.Account = q.Key(), q.Service, account
	j.Attempts, j.Priority, j.Slack, j.Target, j.Advice = q.Attempts, q.Priority, q.Slack, q.Target, q.Advice
}

func (s *Server) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, cfg *work.Config, q *work.Queue, name, id string) {
	j, ok := s.decodeJob(w, r, cfg)
	if !ok {
		return
	}
	j.ID, j.Accepted = id, time.Now().UnixMilli()
	setQueue(j, q, name)
	row, err := json.Marshal(j)
	if err != nil || len(row) > maxRowBytes*3/4 {
		web.Fail(w, http.StatusRequestEntityTooLarge, "the job is too large")
		return
	}
	if !s.mayHold(monotonicNow(), j) {
		s.Log.Info("request rejected", "job", id, "why", "its owner has no memory for it")
		failUntil(w, http.StatusServiceUnavailable, retryAfter(j), "no memory for a job of this size at present; nothing was done")
		return
	}
	version, err := s.accept(ctx, j, row)
	if errors.Is(err, errOtherAccount) {
		web.Fail(w, http.StatusConflict, "%v", err)
		return
	}
	if err != nil {
		s.storeFailedFor(w, id, retryAfter(j), err)
		return
	}
	fresh := version != 0
	s.Log.Info("job accepted", "job", id, "queue", q.Name, "account", name, "fresh", fresh, "version", cfg.Version)
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
			return 0, checkAccount(j, res.Rows) // a row exists: the job was accepted before
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

// errOtherAccount means that a job of another account has the ID.
var errOtherAccount = errors.New("the ID of the job is in use")

// checkAccount returns errOtherAccount if one of the rows, of a job or its
// outcome, belongs to another account than j.
func checkAccount(j *work.Job, rows []table.Row) error {
	for _, r := range rows {
		var stored struct {
			Account string `json:"ac"`
		}
		if len(r.Value) > 0 && json.Unmarshal(r.Value, &stored) == nil && !account.MaySee(j.Account, stored.Account) {
			return errOtherAccount
		}
	}
	return nil
}

// validateJob reports why a job cannot be run.
func validateJob(j *work.Job) error {
	if len(j.Spec) > maxSpecBytes {
		return fmt.Errorf("spec: %d bytes, at most %d", len(j.Spec), maxSpecBytes)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("%d steps: want 1 to %d", len(j.Steps), MaxSteps)
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
