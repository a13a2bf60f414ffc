// Package worker is an HTTP client for workers, the VMs that run tasks under leases.
//
// Every message that starts a task or extends a lease contains its expiry
// (Until) as an absolute time, so that a delayed message cannot start a task that
// its sender has given up in the meantime. A worker also refuses starts whose
// epoch is lower than the highest that it has seen, and starts that were
// addressed to it before a restart, which loses the state of its tasks.
package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/rest/httpc"

	"jasminestep/internal/transport"
	"jasminestep/pkg/operator"
)

// TaskStart describes an attempt to be started.
type TaskStart struct {
	Task    string        `json:"task"`
	Attempt int           `json:"attempt"`
	Stay    bool          `json:"stay,omitempty"`
	Size    operator.Size `json:"size"`
	Command []string      `json:"command"`
	Pool    string        `json:"pool,omitempty"`
	Slots   int           `json:"slots,omitempty"`
}

// StartRequest asks a worker to run tasks. It is idempotent: an attempt that is
// already running is not affected.
type StartRequest struct {
	Epoch int64       `json:"epoch"`
	Boot  int64       `json:"boot"`  // incarnation of the addressed worker; any other refuses
	Until int64       `json:"until"` // lease expiry, Unix milliseconds; refused when past
	Tasks []TaskStart `json:"tasks"`
}

// Refusal reports an attempt that is not running and never will.
type Refusal struct {
	Ref
	Why string `json:"why"`
}

// StartResponse is the reply to StartRequest: all attempts not listed are running.
type StartResponse struct {
	Refused []Refusal `json:"refused,omitempty"`
}

// StopMode is a way to reduce the resource usage of a task.
type StopMode string

// Stop modes in order of increasing severity.
const (
	ModeThrottle   StopMode = "throttle"
	ModeCheckpoint StopMode = "checkpoint" // save the progress, then stop
	ModeStop       StopMode = "stop"
)

// StopRequest asks a worker to throttle, checkpoint or stop a task. After a stop
// or checkpoint the worker never starts that attempt, also if the start arrives
// later.
type StopRequest struct {
	Task    string   `json:"task"`
	Attempt int      `json:"attempt"`
	Epoch   int64    `json:"epoch"`
	Mode    StopMode `json:"how"`
}

// Ref identifies an attempt of a task.
type Ref struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// SyncRequest renews leases and asks for changes. It is a long poll: the worker
// replies as soon as something changes or when Wait has elapsed.
type SyncRequest struct {
	Zone     string `json:"zone"`
	Epoch    int64  `json:"epoch"`
	Until    int64  `json:"until,omitempty"` // new lease expiry of the zone's tasks, Unix milliseconds
	StayOnly bool   `json:"stay,omitempty"`  // renew only the leases of tasks with Stay
	Boot     int64  `json:"boot"`            // of the last report received; if it differs, the reply is a full report
	Gen      int64  `json:"gen"`             // of the last report received; zero requests a full report
	Wait     int64  `json:"wait,omitempty"`  // milliseconds
	Acks     []Ref  `json:"acks,omitempty"`  // ended attempts that are in the journal; the worker may delete them
}

// AttemptStatus is the status of an attempt on a worker.
type AttemptStatus struct {
	Task    string        `json:"task"`
	Attempt int           `json:"attempt"`
	State   string        `json:"state"` // running, done, failed, stopped or lapsed
	Why     string        `json:"why,omitempty"`
	Addr    string        `json:"addr,omitempty"`
	Usage   operator.Size `json:"usage,omitzero"` // measured, with a delay
	Ran     int64         `json:"ran,omitempty"`  // milliseconds
}

// Report is the reply to SyncRequest. A full report contains all attempts that
// the worker runs or has a record of, any other only those that changed since
// the Gen of the request.
type Report struct {
	Boot  int64           `json:"boot"` // incarnation of the worker
	Gen   int64           `json:"gen"`
	Full  bool            `json:"full,omitempty"`
	Tasks []AttemptStatus `json:"tasks,omitempty"`
}

// Timeouts of calls.
const (
	startTimeout = 1500 * time.Millisecond
	syncSlack    = time.Second // added to the wait of a sync
)

// maxReportBytes is the maximum number of bytes read of a response.
const maxReportBytes = 8 << 20

// Client calls workers by address. It is safe for concurrent use and reuses
// connections.
type Client struct {
	service httpc.Service
	http    *http.Client
}

// New returns a client that connects with dial.
func New(dial transport.Dial) *Client {
	const conns = 12 // a long poll, and a burst of starts
	cli := transport.Client(dial, conns)
	return &Client{service: transport.Wrap("worker", cli), http: cli}
}

func (c *Client) call(ctx context.Context, limit time.Duration, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	b, err := json.Marshal(in)
	if err != nil {
		return fmt.Errorf("call %s: %w", url, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(b))
	if err != nil {
		return fmt.Errorf("call %s: %w", url, err)
	}
	resp, err := c.service.DoRequest(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// The connection may be dead; make the next call open a new one.
			c.http.CloseIdleConnections()
		}
		return fmt.Errorf("call %s: %w", url, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil {
		return fmt.Errorf("call %s: %w", url, err)
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("call %s: status %d", url, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	if err = json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("call %s: %w", url, err)
	}
	return nil
}

// Start asks the worker at addr to run tasks. After an error it is unknown which
// of them are running.
func (c *Client) Start(ctx context.Context, addr string, s *StartRequest) (*StartResponse, error) {
	r := &StartResponse{}
	err := c.call(ctx, startTimeout, "http://"+addr+"/start", s, r)
	return r, err
}

// Stop asks the worker at addr to stop a task. A nil error means that the worker
// has received the request.
func (c *Client) Stop(ctx context.Context, addr string, s *StopRequest) error {
	return c.call(ctx, startTimeout, "http://"+addr+"/stop", s, nil)
}

// Sync renews leases at the worker at addr and returns its report.
func (c *Client) Sync(ctx context.Context, addr string, s *SyncRequest) (*Report, error) {
	r := &Report{}
	err := c.call(ctx, syncSlack+time.Duration(s.Wait)*time.Millisecond, "http://"+addr+"/sync", s, r)
	return r, err
}
