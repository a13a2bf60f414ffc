// Package platform speaks to the platform's services: the transactional table,
// the object store and the VM list.
//
// The table is the only thing that keeps anything, and its replies can be lost
// after a write took effect. The client therefore never retries on its own:
// it returns ErrUnknown for a write whose fate it cannot tell, and the caller,
// who knows what it wrote, reads back.
package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"jasminestep/internal/transport"
)

// The outcomes of a call that are not a plain answer.
var (
	ErrExists  = errors.New("row exists")              // a conditional create found the key taken
	ErrMissing = errors.New("no such row")             // a read found nothing
	ErrUnknown = errors.New("platform gave no answer") // down, slow, or the reply was lost
)

// callTimeout bounds one call. A store slower than this counts as down for the
// call, and the caller reads back before it tries again.
const callTimeout = 3 * time.Second

// maxReply bounds what is read of one reply, bytes.
const maxReply = 64 << 20

// Row is one row of the table.
type Row struct {
	Key   string          `json:"key"`
	Value json.RawMessage `json:"value"`
}

// VM is one line of the platform's VM list.
type VM struct {
	ID      string `json:"id"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack,omitempty"`
	Role    string `json:"role"` // entry, worker or minion
	Addr    string `json:"addr"` // IP and port it serves on
	Pool    string `json:"pool,omitempty"`
	CPU     int64  `json:"cpu,omitempty"`    // millicores
	Memory  int64  `json:"memory,omitempty"` // MiB
	Accel   int64  `json:"accel,omitempty"`
	Slots   int    `json:"slots,omitempty"`
	Conns   int    `json:"conns,omitempty"`
	Leaving bool   `json:"leaving,omitempty"`
}

// Client calls one platform endpoint.
type Client struct {
	base string
	svc  httpc.Service
}

// New returns a client of the platform at addr (IP and port) that dials with dial.
func New(addr string, dial func(ctx context.Context, network, addr string) (net.Conn, error)) *Client {
	return &Client{base: "http://" + addr, svc: transport.Service("platform", dial, 16)}
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, header ...string) (int, []byte, error) {
	code, b, _, err := c.call(ctx, method, path, body, header...)
	return code, b, err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, header ...string) (int, []byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("platform request: %w", err)
	}
	for i := 0; i+1 < len(header); i += 2 {
		if header[i+1] != "" {
			req.Header.Set(header[i], header[i+1])
		}
	}
	resp, err := c.svc.DoRequest(req)
	if err != nil {
		return 0, nil, nil, fmt.Errorf("platform %s %s: %w", method, path, errors.Mark(err, ErrUnknown))
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return 0, nil, nil, fmt.Errorf("platform %s %s: %w", method, path, errors.Mark(err, ErrUnknown))
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		err = errors.Newf("status %d", resp.StatusCode)
		return 0, nil, nil, fmt.Errorf("platform %s %s: %w", method, path, errors.Mark(err, ErrUnknown))
	}
	return resp.StatusCode, b, resp.Header, nil
}

// Create writes a row that must not exist yet. It returns ErrExists when the
// key is taken and an error marked ErrUnknown when the fate is not known.
func (c *Client) Create(ctx context.Context, key string, value []byte) error {
	code, _, err := c.do(ctx, http.MethodPut, "/table/"+url.PathEscape(key), value, "If-None-Match", "*")
	if err != nil {
		return err
	}
	switch code {
	case http.StatusCreated:
		return nil
	case http.StatusPreconditionFailed:
		return fmt.Errorf("create %s: %w", key, ErrExists)
	}
	return fmt.Errorf("create %s: status %d: %w", key, code, ErrUnknown)
}

// Read returns the row at key, or ErrMissing.
func (c *Client) Read(ctx context.Context, key string) ([]byte, error) {
	return c.fetch(ctx, "/table/"+url.PathEscape(key))
}

func (c *Client) fetch(ctx context.Context, path string) ([]byte, error) {
	code, b, err := c.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return nil, err
	}
	switch code {
	case http.StatusOK:
		return b, nil
	case http.StatusNotFound:
		return nil, fmt.Errorf("read %s: %w", path, ErrMissing)
	}
	return nil, fmt.Errorf("read %s: status %d: %w", path, code, ErrUnknown)
}

// List returns up to n rows whose keys begin with prefix and are after after, in order.
func (c *Client) List(ctx context.Context, prefix, after string, n int) ([]Row, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(n)}}
	return decode[[]Row](c.fetch(ctx, "/table?"+q.Encode()))
}

// Delete removes the rows whose keys begin with prefix, up to and including last.
func (c *Client) Delete(ctx context.Context, prefix, last string) error {
	q := url.Values{"prefix": {prefix}, "last": {last}}
	_, _, err := c.do(ctx, http.MethodDelete, "/table?"+q.Encode(), nil)
	return err
}

// Put stores an object; the last write stands.
func (c *Client) Put(ctx context.Context, name string, b []byte) error {
	code, _, err := c.do(ctx, http.MethodPut, "/objects/"+url.PathEscape(name), b)
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("put %s: status %d: %w", name, code, ErrUnknown)
	}
	return err
}

// Get returns an object, or ErrMissing.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	return c.fetch(ctx, "/objects/"+url.PathEscape(name))
}

// Remove deletes an object; one that is not there is no error.
func (c *Client) Remove(ctx context.Context, name string) error {
	_, _, err := c.do(ctx, http.MethodDelete, "/objects/"+url.PathEscape(name), nil)
	return err
}

// List is a zone's part of the VM list, as it was read last.
type VMList struct {
	VMs  []VM
	etag string // of this state, to be told when nothing has changed
}

// VMs returns the VMs of a zone, by a list which lags behind the truth. If
// nothing has changed since last was read, the platform says just that and last
// is returned.
func (c *Client) VMs(ctx context.Context, zone string, last VMList) (VMList, error) {
	code, b, h, err := c.call(ctx, http.MethodGet, "/vms?zone="+url.QueryEscape(zone), nil, "If-None-Match", last.etag)
	if err != nil {
		return last, err
	}
	if code == http.StatusNotModified {
		return last, nil
	}
	if code != http.StatusOK {
		return last, fmt.Errorf("VM list: status %d: %w", code, ErrUnknown)
	}
	vms, err := decode[[]VM](b, nil)
	if err != nil {
		return last, err
	}
	return VMList{vms, h.Get("ETag")}, nil
}

func decode[T any](b []byte, err error) (T, error) {
	var v T
	if err != nil {
		return v, err
	}
	if err = json.Unmarshal(b, &v); err != nil {
		return v, fmt.Errorf("platform reply: %w", errors.Mark(err, ErrUnknown))
	}
	return v, nil
}
