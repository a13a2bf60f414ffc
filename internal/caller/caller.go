// Package caller serves the HTTP API for clients that call upstreams.
//
// Every response to a call has a Step-Outcome header: answered, unrun or
// unknown. An answered response has the status, content type and body of the
// upstream's response. The others have a status chosen here and a Step-Reason
// header.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"

	"jasminestep/internal/route"
	"jasminestep/internal/web"
	"jasminestep/pkg/operator"
)

// Header names of the protocol.
const (
	HeaderMember   = "Step-Member"   // client account that the request belongs to
	HeaderKey      = "Step-Key"      // idempotency key, for requests that must not run twice
	HeaderDeadline = "Step-Deadline" // milliseconds that the client waits
	HeaderRepeat   = "Step-Repeat"   // "true": may run more than once, whatever the method
	HeaderRequest  = "Step-Request"  // id chosen by the client, repeated in the response
	HeaderOutcome  = "Step-Outcome"
	HeaderReason   = "Step-Reason"
	HeaderMinion   = "Step-Minion" // minion that answered
)

// Default and lower bound of the Step-Deadline header.
const (
	defaultDeadline = 10 * time.Second
	minDeadline     = 10 * time.Millisecond
)

// Entry serves the requests.
type Entry interface {
	Serve(ctx context.Context, r *route.Request) route.Answer
	Config() operator.Cell
	Leaving() bool
	Ready() bool                   // false until the entry can answer, and once it is stopping
	MaxRequestTime() time.Duration // longest time that a request may run
}

// Routes returns the routes of the client API.
func Routes(e Entry) []rest.Route {
	h := func(w http.ResponseWriter, r *http.Request) { handleCall(e, w, r) }
	var out []rest.Route
	for _, m := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		out = append(out, rest.Route{Method: m, Path: "/call/:pool", Handler: h})
	}
	return append(out, rest.Route{Method: http.MethodGet, Path: "/health", Handler: func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			web.Fail(w, http.StatusServiceUnavailable, "not ready, or stopping")
			return
		}
		web.Reply(w, http.StatusOK, struct{}{})
	}})
}

// handleCall serves one request to a pool.
func handleCall(e Entry, w http.ResponseWriter, r *http.Request) {
	req, answer := parseRequest(e, r)
	if answer == nil {
		served := e.Serve(r.Context(), req)
		answer = &served
	}
	h := w.Header()
	if e.Leaving() {
		h.Set("Connection", "close") // so that the client's next request goes to another entry
	}
	h.Set(HeaderOutcome, string(answer.Outcome))
	if id := r.Header.Get(HeaderRequest); id != "" {
		h.Set(HeaderRequest, id)
	}
	if answer.Outcome == route.Answered {
		h.Set(HeaderMinion, answer.Minion)
		if answer.Type != "" {
			h.Set("Content-Type", answer.Type)
		}
		h.Set("Content-Length", strconv.Itoa(len(answer.Body)))
		w.WriteHeader(answer.Status)
		_, _ = w.Write(answer.Body) // fails only if the client has disconnected
		return
	}
	h.Set(HeaderReason, string(answer.Reason))
	web.Reply(w, httpStatus(answer), web.Problem{Error: string(answer.Outcome) + ": " + ReasonTexts[answer.Reason]})
}

// parseRequest validates a request. The answer is non-nil if it is refused.
func parseRequest(e Entry, r *http.Request) (*route.Request, *route.Answer) {
	refuse := func(reason route.Reason) (*route.Request, *route.Answer) {
		a := route.NoAnswer(route.NotRun, reason)
		return nil, &a
	}
	cell := e.Config()
	if cell.Version == 0 {
		return refuse(route.EntryStarting)
	}
	member := r.Header.Get(HeaderMember)
	if _, ok := cell.Find(member); !ok {
		return refuse(route.UnknownMember)
	}
	body, err := web.Body(r, cell.Limits.Filled().Body)
	switch {
	case errors.Is(err, web.ErrTooLarge):
		return refuse(route.TooLarge)
	case errors.Is(err, web.ErrBusy):
		return refuse(route.QueueFull)
	case err != nil:
		return refuse(route.BadBody)
	}
	timeout := defaultDeadline
	if s := r.Header.Get(HeaderDeadline); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms <= 0 {
			return refuse(route.BadDeadline)
		}
		timeout = max(minDeadline, time.Duration(min(ms, e.MaxRequestTime().Milliseconds()))*time.Millisecond)
	}
	key := r.Header.Get(HeaderKey)
	path := "/work"
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &route.Request{
		ID: uuid.NewString(), Member: member, Pool: pathvar.Vars(r)["pool"], Key: key,
		Repeat: key == "" && (r.Method != http.MethodPost || r.Header.Get(HeaderRepeat) == "true"),
		Method: r.Method, Path: path, Type: r.Header.Get("Content-Type"), Body: body,
		Deadline: time.Now().Add(timeout).UnixMilli(),
	}, nil
}

// ReasonTexts explains each reason in one sentence.
var ReasonTexts = map[route.Reason]string{
	route.NoMinion:           "no upstream of the pool can be reached",
	route.QueueFull:          "too many requests wait already",
	route.NoSlotInTime:       "no upstream would be free before the deadline",
	route.UpstreamRefused:    "the upstream refused it",
	route.KeyInFuture:        "the key was made in the future; is the caller's clock right?",
	route.KeyTooOld:          "the key is too old, or its home changed, and nothing proves whether it ran",
	route.KeyHomeUnreachable: "the key's home cannot be reached",
	route.AnswerLost:         "no whole answer came back in time",
	route.AnswerDiscarded:    "it ran and was answered before; the answer is no longer kept",
	route.EntryPaused:        "this entry was paused and is not yet sure of what it holds",
	route.EntryStarting:      "this entry has no configuration yet",
	route.UnknownMember:      "Step-Member names no member",
	route.BadKey:             "Step-Key: want a UUID of version 7, optionally with a zone and a dot before it",
	route.BadDeadline:        "Step-Deadline: want milliseconds above zero",
	route.BadBody:            "the body did not arrive whole",
	route.TooLarge:           "the body is over the limit",
}

func httpStatus(a *route.Answer) int {
	if a.Outcome == route.Unknown {
		return http.StatusGatewayTimeout
	}
	switch a.Reason {
	case route.UnknownMember:
		return http.StatusForbidden
	case route.BadKey, route.BadDeadline, route.BadBody, route.KeyInFuture:
		return http.StatusBadRequest
	case route.TooLarge:
		return http.StatusRequestEntityTooLarge
	case route.QueueFull:
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
