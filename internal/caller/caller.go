// Package caller speaks to callers: HTTP in, whole answers out.
//
// Every answer carries a Step-Outcome header: answered, unrun or unknown. The
// first comes with the upstream's status, type and body; the others with a
// status of this project's own and a reason.
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
	HeaderMember   = "Step-Member"   // whose request it is
	HeaderKey      = "Step-Key"      // idempotency key, for what must not run twice
	HeaderDeadline = "Step-Deadline" // milliseconds that the caller waits
	HeaderRepeat   = "Step-Repeat"   // "true": may run more than once, whatever the method
	HeaderRequest  = "Step-Request"  // id that the caller gave, repeated in the answer
	HeaderOutcome  = "Step-Outcome"
	HeaderReason   = "Step-Reason"
	HeaderMinion   = "Step-Minion" // that answered
)

// Bounds on how long a caller may wait.
const (
	usualDeadline = 10 * time.Second
	leastDeadline = 10 * time.Millisecond
)

// Entry is what serves requests.
type Entry interface {
	Serve(ctx context.Context, r *route.Request) route.Answer
	Config() operator.Cell
	Leaving() bool
	MaxRequestTime() time.Duration // that a request may run
}

// Routes are the routes for callers.
func Routes(e Entry) []rest.Route {
	h := func(w http.ResponseWriter, r *http.Request) { call(e, w, r) }
	var out []rest.Route
	for _, m := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodDelete} {
		out = append(out, rest.Route{Method: m, Path: "/call/:pool", Handler: h})
	}
	return append(out, rest.Route{Method: http.MethodGet, Path: "/health", Handler: func(w http.ResponseWriter, _ *http.Request) {
		if e.Leaving() {
			web.Fail(w, http.StatusServiceUnavailable, "stopping")
			return
		}
		web.Reply(w, http.StatusOK, struct{}{})
	}})
}

// call answers one request.
func call(e Entry, w http.ResponseWriter, r *http.Request) {
	q, a := read(e, r)
	if a == nil {
		got := e.Serve(r.Context(), q)
		a = &got
	}
	h := w.Header()
	if e.Leaving() {
		h.Set("Connection", "close") // the caller's next request goes elsewhere
	}
	h.Set(HeaderOutcome, string(a.Outcome))
	if id := r.Header.Get(HeaderRequest); id != "" {
		h.Set(HeaderRequest, id)
	}
	if a.Outcome == route.Answered {
		h.Set(HeaderMinion, a.Minion)
		if a.Type != "" {
			h.Set("Content-Type", a.Type)
		}
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.WriteHeader(a.Status)
		_, _ = w.Write(a.Body) // a caller that has gone cannot be told anything
		return
	}
	h.Set(HeaderReason, string(a.Reason))
	web.Reply(w, status(a), web.Problem{Error: string(a.Outcome) + ": " + Explain[a.Reason]})
}

// read checks a request; the answer is not nil if it is refused.
func read(e Entry, r *http.Request) (*route.Request, *route.Answer) {
	refuse := func(why route.Reason) (*route.Request, *route.Answer) {
		a := route.NoAnswer(route.NotRun, why)
		return nil, &a
	}
	cell := e.Config()
	mem := r.Header.Get(HeaderMember)
	if _, ok := cell.Find(mem); !ok {
		return refuse(route.UnknownMember)
	}
	body, err := web.Body(r, cell.Limits.Filled().Body)
	switch {
	case errors.Is(err, web.ErrTooLarge):
		return refuse(route.TooLarge)
	case err != nil:
		return refuse(route.BadBody)
	}
	limit := usualDeadline
	if s := r.Header.Get(HeaderDeadline); s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms <= 0 {
			return refuse(route.BadDeadline)
		}
		limit = max(leastDeadline, time.Duration(min(ms, e.MaxRequestTime().Milliseconds()))*time.Millisecond)
	}
	key := r.Header.Get(HeaderKey)
	path := "/work"
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return &route.Request{
		ID: uuid.NewString(), Member: mem, Pool: pathvar.Vars(r)["pool"], Key: key,
		Repeat: key == "" && (r.Method != http.MethodPost || r.Header.Get(HeaderRepeat) == "true"),
		Method: r.Method, Path: path, Type: r.Header.Get("Content-Type"), Body: body,
		Deadline: time.Now().Add(limit).UnixMilli(),
	}, nil
}

// Explain says in a sentence what each reason means.
var Explain = map[route.Reason]string{
	route.NoMinion:            "no upstream of the pool can be reached",
	route.QueueFull:           "too many requests wait already",
	route.NoSlotInTime:        "no upstream would be free before the deadline",
	route.UpstreamRefused:     "the upstream refused it",
	route.KeyInFuture:         "the key was made in the future; is the caller's clock right?",
	route.KeyTooOld:           "the key is too old, or its home changed, and nothing proves whether it ran",
	route.KeyOwnerUnreachable: "the key's home cannot be reached",
	route.AnswerLost:          "no whole answer came back in time",
	route.AnswerDiscarded:     "it ran and was answered before; the answer is no longer kept",
	route.EntryPaused:         "this entry was paused and is not yet sure of what it holds",
	route.UnknownMember:       "Step-Member names no member",
	route.BadKey:              "Step-Key: want a UUID of version 7, optionally with a zone and a dot before it",
	route.BadDeadline:         "Step-Deadline: want milliseconds above zero",
	route.BadBody:             "the body did not arrive whole",
	route.TooLarge:            "the body is over the limit",
}

func status(a *route.Answer) int {
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
