// Package web builds HTTP servers from the library's rest router.
//
// Of the library's middlewares only the one that recovers from panics is on.
// The others (breaker, shedding, timeout, size and connection limits) answer in
// the server's name without saying whether a request ran, which only this
// project's own code may do. The library's process-wide shutdown is not used
// either: an entry decides itself when it has finished.
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

// Bounds on connections from outside.
const (
	headerTimeout = 5 * time.Second
	readTimeout   = 60 * time.Second // a whole request, from slow callers
	idleTimeout   = 75 * time.Second
	maxHeader     = 32 << 10 // bytes
)

// Server is an HTTP server on one address.
type Server struct {
	http *http.Server
	l    net.Listener
}

// New returns a server for routes on addr; it listens at once and answers from
// Start on.
func New(addr string, routes []rest.Route) (*Server, error) {
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
	return NewWithHandler(addr, http.HandlerFunc(h.Serve))
}

// Any returns a server that passes all requests on addr to h, for paths that
// are not known beforehand; it listens at once and answers from Start on.
func NewWithHandler(addr string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("server: %w", err)
	}
	return &Server{l: l, http: &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, ReadTimeout: readTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
	}}, nil
}

// Start begins to answer.
func (s *Server) Start() { go func() { _ = s.http.Serve(s.l) }() }

// Close ends at once, cutting what is in progress.
func (s *Server) Close() { _ = s.http.Close() }

// Stop takes nothing new and returns when all in progress is answered.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return fmt.Errorf("stop server: %w", err)
	}
	return nil
}

// Problem is the body of every answer that is not a success.
type Problem struct {
	Error string `json:"error"`
}

// Reply writes v as JSON.
func Reply(w http.ResponseWriter, code int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		code, b = http.StatusInternalServerError, []byte(`{"error":"the answer cannot be encoded"}`)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(append(b, '\n')) // the peer may have gone; nothing is left to do for it
}

// Fail writes a problem.
func Fail(w http.ResponseWriter, code int, format string, args ...any) {
	Reply(w, code, Problem{fmt.Sprintf(format, args...)})
}

// ErrTooLarge means that a body is over its limit.
var ErrTooLarge = errors.New("body is too large")

// Body reads a whole request body of at most limit bytes.
func Body(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, fmt.Errorf("%d bytes, at most %d: %w", r.ContentLength, limit, ErrTooLarge)
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read body: %w", err)
	}
	if int64(len(b)) > limit {
		return nil, fmt.Errorf("more than %d bytes: %w", limit, ErrTooLarge)
	}
	return b, nil
}

// logs passes the library's log on to hclog, so that every line of the process
// is one JSON line. Its lines about single requests are dropped: the time line
// and the metrics have them.
type logs struct{ log hclog.Logger }

// UseLog makes the library log through log.
func UseLog(log hclog.Logger) { logx.SetWriter(logs{log.Named("zero")}) }

func (l logs) Alert(v any)                     { l.log.Error(fmt.Sprint(v)) }
func (l logs) Close() error                    { return nil }
func (l logs) Debug(v any, _ ...logx.LogField) { l.log.Trace(fmt.Sprint(v)) }
func (l logs) Error(v any, _ ...logx.LogField) { l.log.Debug(fmt.Sprint(v)) }
func (l logs) Info(v any, _ ...logx.LogField)  { l.log.Trace(fmt.Sprint(v)) }
func (l logs) Severe(v any)                    { l.log.Error(fmt.Sprint(v)) }
func (l logs) Slow(v any, _ ...logx.LogField)  { l.log.Debug(fmt.Sprint(v)) }
func (l logs) Stack(v any)                     { l.log.Error(fmt.Sprint(v)) }
func (l logs) Stat(v any, _ ...logx.LogField)  { l.log.Trace(fmt.Sprint(v)) }
