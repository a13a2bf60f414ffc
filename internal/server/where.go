package server

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/shard"
	"jasminestep/internal/web"
	"jasminestep/internal/work"
)

// WherePath is the path on the metrics address at which an entry tells where a job
// would go. The body is that of a submission; the query has host, path and, if the
// job is of an account, its name.
const WherePath = "/where"

// WhereReply tells where a job would go now, and why.
type WhereReply struct {
	Owns    bool          `json:"-"`
	Queue   string        `json:"queue"`
	Service string        `json:"service"`
	Owner   string        `json:"owner"` // entry that owns the shard of the service
	Term    int64         `json:"term"`
	Version int64         `json:"version"` // of the configuration that the asked entry has applied
	Outlook shard.Outlook `json:"outlook"`
}

// where answers an operator's question where a job would go. Nothing is accepted or
// kept.
func (s *Server) where(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		web.Fail(w, http.StatusMethodNotAllowed, "method %s: want POST", r.Method)
		return
	}
	cfg, ask := s.cfg.Load(), r.URL.Query()
	if cfg == nil {
		failRetryable(w, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	q := cfg.FindQueue(ask.Get("host"), ask.Get("path"))
	if q == nil {
		web.Fail(w, http.StatusNotFound, "no queue for host %q and path %q", ask.Get("host"), ask.Get("path"))
		return
	}
	name := ask.Get("account")
	if name != "" && cfg.AccountNamed(name) == nil {
		web.Fail(w, http.StatusNotFound, "no account %q", name)
		return
	}
	j, ok := s.decodeJob(w, r, cfg)
	if !ok {
		return
	}
	setQueue(j, q, name)
	ctx, cancel := context.WithTimeout(r.Context(), ownerCallTimeout)
	defer cancel()
	out, err := s.askWhere(ctx, j)
	if err != nil {
		failRetryable(w, http.StatusServiceUnavailable, "the owner of service %s does not answer: %v", q.Service, err)
		return
	}
	out.Queue, out.Service, out.Version = q.Name, q.Service, cfg.Version
	web.Reply(w, http.StatusOK, out)
}

// askWhere asks the owner of a job's service.
func (s *Server) askWhere(ctx context.Context, j *work.Job) (out WhereReply, err error) {
	if o := s.localOwner(j.Service); o != nil {
		return o.where(ctx, j)
	}
	row, ok := s.waitForOwner(ctx, j.Service)
	if !ok {
		return out, errors.New("there is none")
	}
	err = s.callEntry(ctx, row.Addr, "Where", j, &out)
	if err == nil && !out.Owns {
		err = errors.Newf("%s does not own it any more", row.Name)
	}
	return out, err
}

// where returns where a job would go, as the control goroutine sees it.
func (o *owner) where(ctx context.Context, j *work.Job) (WhereReply, error) {
	got := make(chan shard.Outlook, 1)
	o.post(func(now time.Time) { got <- o.state.Outlook(now, time.Now(), j) })
	select {
	case out := <-got:
		return WhereReply{Owns: true, Owner: o.s.Settings.ID, Term: o.term, Outlook: out}, nil
	case <-o.ctx.Done():
		return WhereReply{}, errDeposed
	case <-ctx.Done():
		return WhereReply{}, ctx.Err()
	}
}

// Where tells where a job would go now.
func (p *peerService) Where(j *work.Job, out *WhereReply) error {
	o := p.s.localOwner(j.Service)
	if o == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerCallTimeout)
	defer cancel()
	var err error
	*out, err = o.where(ctx, j)
	return err
}
