// Package minion is an HTTP client for minions, the upstreams. Each slot of a
// minion handles one request at a time.
//
// A request has an id. A response is valid only if it repeats the id and its body
// has the length given in the header. Errors distinguish requests that provably
// did not run from those of which a byte may have reached the minion.
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

// HTTP headers of the protocol.
const (
	HeaderRequest = "Step-Request" // request id, repeated in the response
	HeaderMember  = "Step-Member"  // member on whose behalf the request is made
	HeaderLeaving = "Step-Leaving" // in a response: the minion accepts no new requests
	HeaderRefused = "Step-Refused" // in a response: the request was not run
)

// Request is a request to a minion.
type Request struct {
	ID     string // unique for each attempt
	Member string
	Method string
	Path   string // including the query
	Type   string // content type
	Body   []byte
}

// Response is a complete and valid response.
type Response struct {
	Status  int
	Type    string
	Body    []byte
	Leaving bool // the minion accepts no new requests
}

// Errors of Client.Do. ErrNotSent and ErrRefused prove that the request did not run.
var (
	ErrNotSent    = errors.New("never reached the minion")
	ErrRefused    = errors.New("refused by the minion before running")
	ErrIncomplete = errors.New("no whole answer") // the request may have run
)

// Client calls minions. Use New.
type Client struct {
	service httpc.Service
	http    *http.Client
	maxBody int64
}

// maxConns is the maximum number of connections to one minion. An entry uses one
// for each slot that it holds, and a few more to replace unresponsive ones; a
// minion accepts 64 in total.
const maxConns = 16

// New returns a client that connects with dial and accepts response bodies of up
// to body bytes.
func New(dial transport.Dial, body int64) *Client {
	cli := transport.Client(dial, maxConns)
	return &Client{service: transport.Wrap("minion", cli), http: cli, maxBody: body}
}

// Do sends r to the minion at addr and returns the response. A response is also
// returned with ErrRefused.
func (c *Client) Do(ctx context.Context, addr string, r *Request) (*Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+addr+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Mark(fmt.Errorf("minion request: %w", err), ErrNotSent)
	}
	req.GetBody = nil // prevents automatic retries by the transport
	req.Header.Set(HeaderRequest, r.ID)
	req.Header.Set(HeaderMember, r.Member)
	if r.Type != "" {
		req.Header.Set("Content-Type", r.Type)
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		mark := ErrNotSent
		if connected.Load() {
			mark = ErrIncomplete
		}
		return nil, errors.Mark(fmt.Errorf("minion %s: %w", addr, err), mark)
	}
	defer resp.Body.Close()
	return c.readResponse(addr, r.ID, resp)
}

// readResponse reads and validates a response.
func (c *Client) readResponse(addr, id string, resp *http.Response) (*Response, error) {
	incomplete := func(format string, args ...any) error {
		return errors.Mark(fmt.Errorf("minion %s: %s", addr, fmt.Sprintf(format, args...)), ErrIncomplete)
	}
	if got := resp.Header.Get(HeaderRequest); got != id {
		return nil, incomplete("answer to request %q, want %q", got, id)
	}
	if resp.ContentLength > c.maxBody {
		return nil, incomplete("answer of %d bytes, at most %d", resp.ContentLength, c.maxBody)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, c.maxBody+1))
	if err != nil {
		return nil, incomplete("answer cut short: %v", err)
	}
	want, err := strconv.ParseInt(resp.Header.Get("Content-Length"), 10, 64)
	if err != nil || want != int64(len(b)) {
		return nil, incomplete("answer of %d bytes, header says %q", len(b), resp.Header.Get("Content-Length"))
	}
	a := &Response{Status: resp.StatusCode, Type: resp.Header.Get("Content-Type"), Body: b, Leaving: resp.Header.Get(HeaderLeaving) != ""}
	if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get(HeaderRefused) != "" {
		return a, errors.Mark(fmt.Errorf("minion %s refused", addr), ErrRefused)
	}
	return a, nil
}

// CloseIdleConnections closes idle connections, so that the next call opens a new one.
func (c *Client) CloseIdleConnections() { c.http.CloseIdleConnections() }

// Status is the status reported by a minion.
type Status struct {
	Busy    int  `json:"busy"` // running requests
	Leaving bool `json:"leaving"`
}

const statusTimeout = time.Second

// Status requests the status of the minion at addr.
func (c *Client) Status(ctx context.Context, addr string) (Status, error) {
	var s Status
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/status", nil)
	if err != nil {
		return s, fmt.Errorf("minion status: %w", err)
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		return s, fmt.Errorf("minion status: %w", err)
	}
	defer resp.Body.Close()
	if err = json.NewDecoder(io.LimitReader(resp.Body, 1<<16)).Decode(&s); err != nil {
		return s, fmt.Errorf("minion status: %w", err)
	}
	return s, nil
}
