// Package minion speaks to upstreams: HTTP, one request a slot.
//
// A request carries an id, and the answer must carry the same id and be as long
// as it says; anything else is no answer. What a failure proves depends on
// whether a byte may have reached the minion, so every error says that.
package minion

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"jasminestep/internal/transport"
)

// Header names of the protocol.
const (
	HeaderRequest = "Step-Request" // id; the answer repeats it
	HeaderMember  = "Step-Member"  // on whose behalf
	HeaderLeaving = "Step-Leaving" // in an answer: give this minion nothing new
	HeaderRefused = "Step-Refused" // in an answer: it was not run
)

// Request is what is sent to a minion.
type Request struct {
	ID     string // unique to this try
	Member string
	Method string
	Path   string // with the query
	Type   string // content type
	Body   []byte
}

// Answer is a whole answer.
type Response struct {
	Status  int
	Type    string
	Body    []byte
	Leaving bool // the minion wants nothing new
}

// Errors of a call. ErrUnrun and ErrRefused prove that the request did not run.
var (
	ErrNotSent    = errors.New("never reached the minion")
	ErrRefused    = errors.New("refused by the minion before running")
	ErrIncomplete = errors.New("no whole answer") // the request may have run
)

// Client calls minions. Use New.
type Client struct {
	svc  httpc.Service
	cli  *http.Client
	body int64
}

// conns bounds the connections to one minion. An entry uses one for each slot
// that it holds, and a few more replace silent ones; minions allow 64 in all.
const conns = 16

// New returns a client that dials with dial and takes answers up to body bytes.
func New(dial transport.Dial, body int64) *Client {
	cli := transport.Client(dial, conns)
	return &Client{svc: transport.Wrap("minion", cli), cli: cli, body: body}
}

// Do sends r to the minion at addr and returns its whole answer.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Mark(fmt.Errorf("minion request: %w", err), ErrNotSent)
	}
	req.GetBody = nil // the transport must not send it twice on its own
	req.Header.Set(HeaderRequest, r.ID)
	req.Header.Set(HeaderMember, r.Member)
	if r.Type != "" {
		req.Header.Set("Content-Type", r.Type)
	}
	resp, err := c.svc.DoRequest(req)
	if err != nil {
		mark := ErrNotSent
		if connected.Load() {
			mark = ErrIncomplete
		}
		return nil, errors.Mark(fmt.Errorf("minion %s: %w", addr, err), mark)
	}
	defer resp.Body.Close()
	return c.whole(addr, r.ID, resp)
}

// whole reads and checks an answer.
func (c *Client) whole(addr, id string, resp *http.Response) (*Response, error) {
	broken := func(format string, args ...any) error {
		return errors.Mark(fmt.Errorf("minion %s: %s", addr, fmt.Sprintf(format, args...)), ErrIncomplete)
	}
	if got := resp.Header.Get(HeaderRequest); got != id {
		return nil, broken("answer to request %q, want %q", got, id)
	}
	if resp.ContentLength > c.body {
		return nil, broken("answer of %d bytes, at most %d", resp.ContentLength, c.body)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, c.body+1))
	if err != nil {
		return nil, broken("answer cut short: %v", err)
	}
	want, err := strconv.ParseInt(resp.Header.Get("Content-Length"), 10, 64)
	if err != nil || want != int64(len(b)) {
		return nil, broken("answer of %d bytes, header says %q", len(b), resp.Header.Get("Content-Length"))
	}
	a := &Response{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: b, Leaving: resp.Header.Get(HeaderLeaving) != ""}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderRefused) != "" {
		return a, errors.Mark(fmt.Errorf("minion %s refused", addr), ErrRefused)
	}
	return a, nil
}

// Renew drops idle connections, so that the next call opens a new one.
func (c *Client) CloseIdleConnections() { c.cli.CloseIdleConnections() }

// Status is what a minion says of itself.
type Status struct {
	Busy    int  `json:"busy"` // requests running
	Leaving bool `json:"leaving"`
}

// statusTimeout bounds a question for the status.
const statusTimeout = time.Second

// Status asks the minion at addr what it is doing.
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	var s Status
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	if err != nil {
		return s, fmt.Errorf("minion status: %w", err)
	}
	resp, err := c.svc.DoRequest(req)
	if err != nil {
		return s, fmt.Errorf("minion status: %w", err)
	}
	defer resp.Body.Close()
	if err = json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&s); err != nil {
		return s, fmt.Errorf("minion status: %w", err)
	}
	return s, nil
}
