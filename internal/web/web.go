// Package web builds HTTP servers on go-zero's rest router.
//
// Of go-zero's middlewares only panic recovery is enabled. The others (circuit
// breaker, load shedding, timeout, size and connection limits) send responses
// that don't say whether the request ran, which every response of this project
// must do. go-zero's process-wide shutdown isn't used either, because an entry
// itself determines when it has finished.
package web

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/service"
	"github.com/zeromicro/go-zero/rest"
)

// Limits on client connections.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 75 * time.Second
	maxHeaderBytes = 32 << 10 // bytes
)

// Server is an HTTP server on one address.
type Server struct {
	http     *http.Server
	listener net.Listener
	guard    *guard
}

// Load returns what the clients of the server take at present.
func (s *Server) Load() Load { return s.guard.load() }

// New returns a server for routes on addr. It listens at once but serves requests
// only after Start.
func New(addr string, routes []rest.Route, limits Limits) (*Server, error) {
	r, err := rest.NewServer(rest.RestConf{
		ServiceConf: service.ServiceConf{Name: "jasminestep", Log: logx.LogConf{Mode: "console", Encoding: "json", Level: "severe"}},
		Middlewares: rest.MiddlewaresConf{Recover: true},
	})
	if err != nil {
		return nil, fmt.Errorf("server on %s: %w", addr, err)
	}
	r.AddRoutes(routes)
	h, err := rest.NewServerless(r)
	if err != nil {
		return nil, fmt.Errorf("server on %s: %w", addr, err)
	}
	return NewWithHandler(addr, http.HandlerFunc(h.Serve), limits)
}

// NewWithHandler returns a server that passes all requests on addr to h, for
// paths that aren't known in advance. It listens at once but serves requests only
// after Start.
func NewWithHandler(addr string, h http.Handler, limits Limits) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	g := newGuard(limits)
	return &Server{listener: listener{l, g}, guard: g, http: &http.Server{
		Handler: g.wrap(h), ReadHeaderTimeout: headerTimeout, ReadTimeout: g.limits.Request,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnContext: withConn, ConnState: stateChanged,
	}}, nil
}

// Start begins to serve requests.
func (s *Server) Start() { go func() { _ = s.http.Serve(s.listener) }() }

// Close closes the server at once and aborts requests in progress.
func (s *Server) Close() { _ = s.http.Close() }

// Stop shuts the server down gracefully: it accepts no new requests and returns
// when those in progress are answered or ctx ends.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop server: %w", err)
	}
	return nil
}

// Problem is the body of every response that is not a success.
type Problem struct {
	Error string `json:"error"`
}

// Reply writes a response with status code and v as its JSON body.
func Reply(w http.ResponseWriter, code int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		code, b = http.StatusInternalServerError, []byte(`{"error":"the answer cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(b, '\n')) // fails only if the peer has disconnected
}

// Fail writes a response with status code and a Problem as its body.
func Fail(w http.ResponseWriter, code int, format string, args ...any) {
	Reply(w, code, Problem{fmt.Sprintf(format, args...)})
}

// ErrTooLarge is wrapped by the error of Body for a body over the limit.
var ErrTooLarge = errors.New("body is too large")

// Body reads the request body, which may have at most limit bytes. Room for it is
// taken before it is read, and given back after the response.
func Body(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, fmt.Errorf("%d bytes, at most %d: %w", r.ContentLength, limit, ErrTooLarge)
	}
	most := limit + 1
	if r.ContentLength >= 0 {
		most = r.ContentLength
	}
	c := connOf(r)
	if c != nil {
		defer c.waitForClient()()
	}
	var b []byte
	for {
		if len(b) == cap(b) && int64(len(b)) < most {
			size := min(max(2*int64(cap(b)), firstBodyBytes), most)
			if c != nil && !c.charge((size-int64(cap(b)))*bodyFactor) {
				return nil, fmt.Errorf("read body: %w", ErrBusy)
			}
			b = append(make([]byte, 0, size), b...)
		}
		if int64(len(b)) == most {
			break
		}
		n, err := r.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("more than %d bytes: %w", limit, ErrTooLarge)
	}
	return b, nil
}

// logAdapter forwards go-zero's log to hclog, so that every log line of the
// process has the same JSON format. Its lines about single requests are logged at
// trace or debug level, because the timeline and the metrics cover them.
type logAdapter struct{ log hclog.Logger }

// UseLog makes go-zero log through log.
func UseLog(log hclog.Logger) { logx.SetWriter(logAdapter{log.Named("zero")}) }

func (l logAdapter) Alert(v any)                     { l.log.Error(fmt.Sprint(v)) }
func (l logAdapter) Close() error                    { return nil }
func (l logAdapter) Debug(v any, _ ...logx.LogField) { l.log.Trace(fmt.Sprint(v)) }
func (l logAdapter) Error(v any, _ ...logx.LogField) { l.log.Debug(fmt.Sprint(v)) }
func (l logAdapter) Info(v any, _ ...logx.LogField)  { l.log.Trace(fmt.Sprint(v)) }
func (l logAdapter) Severe(v any)                    { l.log.Error(fmt.Sprint(v)) }
func (l logAdapter) Slow(v any, _ ...logx.LogField)  { l.log.Debug(fmt.Sprint(v)) }
func (l logAdapter) Stack(v any)                     { l.log.Error(fmt.Sprint(v)) }
func (l logAdapter) Stat(v any, _ ...logx.LogField)  { l.log.Trace(fmt.Sprint(v)) }
