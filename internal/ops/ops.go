// Package ops serves the HTTP and JSON API for operators, which the command line
// uses.
//
// Every response that is not a success has an error text. Status 4xx or 503 means
// that nothing was changed; 504 means that the outcome is unknown.
package ops

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"jasminestep/internal/entry"
	"jasminestep/internal/web"
	"jasminestep/pkg/operator"
)

// maxBodyBytes limits the size of request bodies.
const maxBodyBytes = 1 << 20

// Header names of the protocol.
const (
	HeaderMember   = "Step-Member"
	HeaderDeadline = "Step-Deadline" // milliseconds that the operator waits
)

const defaultTimeout = 5 * time.Second

// Accepted is the response to a submission or a cancellation.
type Accepted struct {
	ID    string      `json:"id"`
	Token entry.Token `json:"token"`
}

// Applied is the response to a configuration that came into force.
type Applied struct {
	Version int64 `json:"version"`
}

// Routes returns the routes of the operator API. stop begins the planned stop of
// the entry.
func Routes(e *entry.Entry, stop func()) []rest.Route {
	return []rest.Route{
		{Method: http.MethodPost, Path: "/jobs", Handler: func(w http.ResponseWriter, r *http.Request) { submit(e, w, r) }},
		{Method: http.MethodGet, Path: "/jobs/:id", Handler: func(w http.ResponseWriter, r *http.Request) { status(e, w, r) }},
		{Method: http.MethodDelete, Path: "/jobs/:id", Handler: func(w http.ResponseWriter, r *http.Request) { cancel(e, w, r) }},
		{Method: http.MethodPost, Path: "/cell", Handler: func(w http.ResponseWriter, r *http.Request) { apply(e, w, r) }},
		{Method: http.MethodGet, Path: "/cell", Handler: func(w http.ResponseWriter, _ *http.Request) { web.Reply(w, http.StatusOK, e.Config()) }},
		{Method: http.MethodGet, Path: "/events", Handler: func(w http.ResponseWriter, r *http.Request) {
			web.Reply(w, http.StatusOK, e.AllEvents(r.Context()))
		}},
		{Method: http.MethodGet, Path: "/top", Handler: func(w http.ResponseWriter, r *http.Request) {
			web.Reply(w, http.StatusOK, e.AllTops(r.Context()))
		}},
		{Method: http.MethodPost, Path: "/drain", Handler: func(w http.ResponseWriter, _ *http.Request) {
			stop()
			web.Reply(w, http.StatusAccepted, struct{}{})
		}},
	}
}

// decodeBody decodes the request body strictly into v. If it can't, it writes an
// error response and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := web.Body(r, maxBodyBytes)
	if errors.Is(err, web.ErrTooLarge) {
		web.Fail(w, http.StatusRequestEntityTooLarge, "%v", err)
		return false
	}
	if errors.Is(err, web.ErrBusy) {
		web.Fail(w, http.StatusServiceUnavailable, "%v", err)
		return false
	}
	if err == nil {
		err = operator.Parse("body", b, v)
	}
	if err != nil {
		web.Fail(w, http.StatusBadRequest, "%v", err)
		return false
	}
	return true
}

func requestTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return defaultTimeout
	}
	return min(time.Duration(ms)*time.Millisecond, time.Minute)
}

func submit(e *entry.Entry, w http.ResponseWriter, r *http.Request) {
	var j operator.Job
	if !decodeBody(w, r, &j) {
		return
	}
	id, token, err := e.Submit(r.Context(), j, requestTimeout(r))
	if err != nil {
		replyError(w, j.Name, err)
		return
	}
	web.Reply(w, http.StatusOK, Accepted{id, token})
}

func cancel(e *entry.Entry, w http.ResponseWriter, r *http.Request) {
	id := pathvar.Vars(r)["id"]
	token, err := e.Cancel(r.Context(), id, r.Header.Get(HeaderMember), requestTimeout(r))
	if err != nil {
		replyError(w, id, err)
		return
	}
	web.Reply(w, http.StatusOK, Accepted{id, token})
}

// status responds with the state of a job, at or after the journal row that the
// query gives as seq. With wait in the query, it responds once the job has ended or
// the timeout has passed.
func status(e *entry.Entry, w http.ResponseWriter, r *http.Request) {
	id, timeout := pathvar.Vars(r)["id"], requestTimeout(r)
	seq, _ := strconv.ParseInt(r.URL.Query().Get("seq"), 10, 64) // 0 if absent: any state is recent enough
	wait := r.URL.Query().Get("wait") != ""
	ctx, stopWaiting := context.WithTimeout(r.Context(), timeout)
	defer stopWaiting()
	const pollInterval = 50 * time.Millisecond
	for {
		s, err := e.Read(ctx, entry.ReadArgs{ID: id, Member: r.Header.Get(HeaderMember), Seq: seq, Limit: timeout})
		if err != nil {
			replyError(w, id, err)
			return
		}
		if !wait || s.Ended != 0 || ctx.Err() != nil {
			web.Reply(w, http.StatusOK, s)
			return
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			web.Reply(w, http.StatusOK, s)
			return
		}
	}
}

func apply(e *entry.Entry, w http.ResponseWriter, r *http.Request) {
	var c operator.Cell
	if !decodeBody(w, r, &c) {
		return
	}
	version, err := e.Apply(r.Context(), c)
	if err != nil {
		replyError(w, "configuration", err)
		return
	}
	web.Reply(w, http.StatusOK, Applied{version})
}

// replyError writes an error response whose status says whether the request may
// have changed anything.
func replyError(w http.ResponseWriter, subject string, err error) {
	code := http.StatusInternalServerError
	switch {
	case errors.Is(err, operator.ErrInvalid):
		code = http.StatusBadRequest
	case errors.Is(err, entry.ErrInvalid):
		code = http.StatusForbidden
	case errors.Is(err, entry.ErrNotFound):
		code = http.StatusNotFound
	case errors.Is(err, entry.ErrConflict):
		code = http.StatusConflict
	case errors.Is(err, entry.ErrUnknownOutcome):
		code = http.StatusGatewayTimeout
	case errors.Is(err, entry.ErrUnavailable), errors.Is(err, entry.ErrUnreachable):
		code = http.StatusServiceUnavailable
	}
	web.Fail(w, code, "%s: %v", subject, err)
}
