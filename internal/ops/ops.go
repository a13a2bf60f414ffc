// Package ops speaks to operators: HTTP with JSON, used by the command line.
//
// Every answer that is not a success has one error text, and its status tells
// what it proves: 4xx and 503, nothing was changed; 504, it is not known.
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

// maxDoc bounds what operators may send, bytes.
const maxDoc = 1 << 20

// Header names of the protocol.
const (
	HeaderMember   = "Step-Member"
	HeaderDeadline = "Step-Deadline" // milliseconds that the operator waits
)

const usualLimit = 5 * time.Second

// Accepted answers a submission or a cancellation.
type Accepted struct {
	ID    string      `json:"id"`
	Token entry.Token `json:"token"`
}

// Applied answers a configuration.
type Applied struct {
	Version int64 `json:"version"`
}

// Routes are the routes for operators. stop begins the entry's planned stop.
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

// read decodes the body into doc, strictly; it answers and returns false if it cannot.
func read(w http.ResponseWriter, r *http.Request, doc any) bool {
	b, err := web.Body(r, maxDoc)
	if errors.Is(err, web.ErrTooLarge) {
		web.Fail(w, http.StatusRequestEntityTooLarge, "%v", err)
		return false
	}
	if err == nil {
		err = operator.Parse("body", b, doc)
	}
	if err != nil {
		web.Fail(w, http.StatusBadRequest, "%v", err)
		return false
	}
	return true
}

func limit(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(HeaderDeadline), 10, 64)
	if err != nil || ms <= 0 {
		return usualLimit
	}
	return min(time.Duration(ms)*time.Millisecond, time.Minute)
}

func submit(e *entry.Entry, w http.ResponseWriter, r *http.Request) {
	var j operator.Job
	if !read(w, r, &j) {
		return
	}
	id, token, err := e.Submit(r.Context(), j, limit(r))
	if err != nil {
		fail(w, j.Name, err)
		return
	}
	web.Reply(w, http.StatusOK, Accepted{id, token})
}

func cancel(e *entry.Entry, w http.ResponseWriter, r *http.Request) {
	id := pathvar.Vars(r)["id"]
	token, err := e.Cancel(r.Context(), id, r.Header.Get(HeaderMember), limit(r))
	if err != nil {
		fail(w, id, err)
		return
	}
	web.Reply(w, http.StatusOK, Accepted{id, token})
}

// status answers with a job's state, from a state no older than the token in
// the query. With wait it holds the answer back until the job has ended.
func status(e *entry.Entry, w http.ResponseWriter, r *http.Request) {
	id, l := pathvar.Vars(r)["id"], limit(r)
	seq, _ := strconv.ParseInt(r.URL.Query().Get("seq"), 10, 64) // none: any state will do
	wait := r.URL.Query().Get("wait") != ""
	ctx, done := context.WithTimeout(r.Context(), l)
	defer done()
	const pause = 50 * time.Millisecond
	for {
		s, err := e.Read(ctx, entry.ReadArgs{ID: id, Member: r.Header.Get(HeaderMember), Seq: seq, Limit: l})
		if err != nil {
			fail(w, id, err)
			return
		}
		if !wait || s.Ended != 0 || ctx.Err() != nil {
			web.Reply(w, http.StatusOK, s)
			return
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			web.Reply(w, http.StatusOK, s)
			return
		}
	}
}

func apply(e *entry.Entry, w http.ResponseWriter, r *http.Request) {
	var c operator.Cell
	if !read(w, r, &c) {
		return
	}
	version, err := e.Apply(r.Context(), c)
	if err != nil {
		fail(w, "configuration", err)
		return
	}
	web.Reply(w, http.StatusOK, Applied{version})
}

// fail tells truthfully what an error means for what was asked.
func fail(w http.ResponseWriter, what string, err error) {
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
	web.Fail(w, code, "%s: %v", what, err)
}
