package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/account"
	"jasminestep/internal/shard"
	"jasminestep/internal/web"
	"jasminestep/internal/work"
)

// lookUpJob asks the owner of a service for a job.
func (s *Server) lookUpJob(ctx context.Context, service, id string) (out LookReply, err error) {
	if o := s.localOwner(service); o != nil {
		out.Owns = true
		out.Shown, out.Known = o.lookUpJob(id)
		return out, nil
	}
	row, ok := s.ownerRow(service)
	if !ok || row.Addr == "" {
		return out, errors.New("no owner")
	}
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	err = s.callEntry(ctx, row.Addr, "Look", LookArgs{service, id}, &out)
	return out, err
}

// jobState responds with the state of a job. To another account there is no such
// job.
func (s *Server) jobState(ctx context.Context, w http.ResponseWriter, q *work.Queue, name, id string) {
	out, err := s.lookUpJob(ctx, q.Service, id)
	if err == nil && out.Known {
		s.replyState(w, q, name, out.Shown)
		return
	}
	st, found, err := s.readState(ctx, id)
	switch {
	case err != nil:
		s.storeFailed(w, id, err)
	case !found:
		failNoSuchJob(w)
	default:
		s.replyState(w, q, name, st)
	}
}

func (s *Server) replyState(w http.ResponseWriter, q *work.Queue, name string, st shard.JobStatus) {
	if st.Queue != q.Key() || !account.MaySee(name, st.Account) {
		failNoSuchJob(w)
		return
	}
	web.Reply(w, http.StatusOK, s.Codec.EncodeState(string(st.State)))
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
func (s *Server) readState(ctx context.Context, id string) (st shard.JobStatus, found bool, err error) {
	j, _, err := s.readJob(ctx, id)
	switch {
	case err != nil:
		return st, false, err
	case j == nil:
		return s.readOutcome(ctx, id)
	}
	k := shard.ProgressKey(j.Service, id)
	r, err := s.relayStore.Read(ctx, k.Table, k.Part, id, id+"\x00")
	if err != nil {
		return st, false, err
	}
	rows := r.Rows
	if len(rows) == 0 {
		from, to := shard.BundleRange()
		if r, err = s.relayStore.Read(ctx, k.Table, k.Part, from, to); err != nil {
			return st, false, err
		}
		rows = r.Rows
	}
	st = shard.JobStatus{ID: id, Queue: j.Queue, Account: j.Account, State: shard.Queued}
	saved, _ := shard.ReadProgress(rows)
	if row := saved.Row(id); row != nil {
		st.State, err = shard.ParseJobState(row)
		return st, err == nil, err
	}
	// It has not begun, or it was archived between the two reads.
	if out, found, err := s.readOutcome(ctx, id); err != nil || found {
		return out, found, err
	}
	return st, true, nil
}
