package server

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/account"
	"jasminestep/internal/table"
	"jasminestep/internal/web"
	"jasminestep/internal/work"
)

// cancelJob makes a cancellation durable and notifies the owner.
func (s *Server) cancelJob(ctx context.Context, w http.ResponseWriter, q *work.Queue, name, id string) {
	for {
		j, ended, err := s.tryCancel(ctx, q, name, id)
		switch {
		case err == nil && ended:
			web.Reply(w, http.StatusOK, struct{}{})
			return
		case err == nil && j == nil:
			failNoSuchJob(w)
			return
		case err == nil:
			s.notifyOwner(j.Service, "Cancel", CancelArgs{j.Service, id}, func(o *owner) { o.cancelJob(id) })
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

// tryCancel writes the cancellation of a job of the queue and account. It returns a nil job
// if there is none, and ended if it is archived, so that nothing is left to
// cancel.
func (s *Server) tryCancel(ctx context.Context, q *work.Queue, name, id string) (j *work.Job, ended bool, err error) {
	j, version, err := s.readJob(ctx, id)
	if err != nil {
		return nil, false, err
	}
	if j == nil {
		out, found, err := s.readOutcome(ctx, id)
		return nil, found && out.Queue == q.Key() && account.MaySee(name, out.Account), err
	}
	if j.Queue != q.Key() || !account.MaySee(name, j.Account) {
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
