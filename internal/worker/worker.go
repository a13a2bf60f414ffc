// Package worker speaks to workers: VMs that run tasks under leases.
//
// Every message that can start or prolong something carries the moment until
// which it counts (Until), an absolute time. A message that is delivered late
// therefore cannot start what its sender has meanwhile given up. A worker also
// refuses starts whose epoch is lower than the highest it has seen, and starts
// that were meant for it before it restarted and forgot what it had run.
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

// Start names a task to be run.
type TaskStart struct {
	Task    string        `json:"task"`
	Attempt int           `json:"attempt"`
	Stay    bool          `json:"stay,omitempty"`
	Size    operator.Size `json:"size"`
	Command []string      `json:"command"`
	Pool    string        `json:"pool,omitempty"`
	Slots   int           `json:"slots,omitempty"`
}

// Starts asks for tasks to be run. It may be said again: an attempt that runs
// already is left alone.
type StartRequest struct {
	Epoch int64       `json:"epoch"`
	Boot  int64       `json:"boot"`  // incarnation of the worker that is meant; refused by any other
	Until int64       `json:"until"` // leases, Unix milliseconds; refused when past
	Tasks []TaskStart `json:"tasks"`
}

// Refusal says that an attempt does not run and never will.
type Refusal struct {
	Ref
	Why string `json:"why"`
}

// Started answers Starts: what is not refused runs.
type StartResponse struct {
	Refused []Refusal `json:"refused,omitempty"`
}

// How is a way to make a task use less.
type StopMode string

// The ways, from the mildest to the hardest.
const (
	ModeThrottle   StopMode = "throttle"
	ModeCheckpoint StopMode = "checkpoint" // keep its progress, then stop
	ModeStop       StopMode = "stop"
)

// Stop asks for a task to be throttled, checkpointed or stopped. After a stop
// or checkpoint the worker never starts that attempt, even if it had not yet.
type StopRequest struct {
	Task    string   `json:"task"`
	Attempt int      `json:"attempt"`
	Epoch   int64    `json:"epoch"`
	Mode    StopMode `json:"how"`
}

// Ref names one attempt of a task.
type Ref struct {
	Task    string `json:"task"`
	Attempt int    `json:"attempt"`
}

// Sync renews leases and asks what has changed; the worker holds the answer
// back until something has, or until Wait is over.
type SyncRequest struct {
	Zone     string `json:"zone"`
	Epoch    int64  `json:"epoch"`
	Until    int64  `json:"until,omitempty"` // leases of the zone's tasks run until then, Unix milliseconds
	StayOnly bool   `json:"stay,omitempty"`  // only those of tasks that stay
	Boot     int64  `json:"boot"`            // of the report last seen; another boot gets a full report
	Gen      int64  `json:"gen"`             // of the report last seen; zero asks for a full report
	Wait     int64  `json:"wait,omitempty"`  // milliseconds
	Acks     []Ref  `json:"acks,omitempty"`  // ends that are journalled; the worker may forget them
}

// Status is one attempt on a worker.
type AttemptStatus struct {
	Task    string        `json:"task"`
	Attempt int           `json:"attempt"`
	State   string        `json:"state"` // running, done, failed, stopped or lapsed
	Why     string        `json:"why,omitempty"`
	Addr    string        `json:"addr,omitempty"`
	Usage   operator.Size `json:"usage,omitzero"` // observed, with a lag
	Ran     int64         `json:"ran,omitempty"`  // milliseconds
}

// Report is a worker's answer to Sync. A full report names every attempt that
// the worker runs or remembers; others only what changed since Gen.
type Report struct {
	Boot  int64           `json:"boot"` // incarnation of the worker
	Gen   int64           `json:"gen"`
	Full  bool            `json:"full,omitempty"`
	Tasks []AttemptStatus `json:"tasks,omitempty"`
}

// Timeouts of calls.
const (
	startTimeout = 1500 * time.Millisecond
	slack        = time.Second // a sync may take this much longer than its wait
)

// maxReport bounds what is read of one report, bytes.
const maxReport = 8 << 20

// Client calls workers by address. Connections are kept and shared.
type Client struct {
	svc httpc.Service
	cli *http.Client
}

// New returns a client that dials with dial.
func New(dial transport.Dial) *Client {
	const conns = 12 // a long poll, and a burst of starts
	cli := transport.Client(dial, conns)
	return &Client{svc: transport.Wrap("worker", cli), cli: cli}
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
	resp, err := c.svc.DoRequest(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// The connection may have gone silent for good; a new one may work.
			c.cli.CloseIdleConnections()
		}
		return fmt.Errorf("call %s: %w", url, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
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

// Start asks the worker at addr to run tasks. With an error it is not known
// which of them run.
func (c *Client) Start(ctx context.Context, addr string, s *StartRequest) (*StartResponse, error) {
	r := &StartResponse{}
	err := c.call(ctx, startTimeout, "http://"+addr+"/start", s, r)
	return r, err
}

// Stop asks the worker at addr to stop a task; nil means that it heard.
func (c *Client) Stop(ctx context.Context, addr string, s *StopRequest) error {
	return c.call(ctx, startTimeout, "http://"+addr+"/stop", s, nil)
}

// Sync renews leases at the worker at addr and returns what has changed there.
func (c *Client) Sync(ctx context.Context, addr string, s *SyncRequest) (*Report, error) {
	r := &Report{}
	err := c.call(ctx, slack+time.Duration(s.Wait)*time.Millisecond, "http://"+addr+"/sync", s, r)
	return r, err
}
