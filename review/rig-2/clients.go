package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	adapter "jasminestep/platform"
	"jasminestep/platform/standin"
)

// Behaviour of clients.
const (
	callTimeout   = 3 * time.Second // as the request says
	submitRetries = 4
	retryPause    = 500 * time.Millisecond
)

// clients submit jobs and ask for their states.
type clients struct {
	entries []*entry
	http    *http.Client
	rec     *record
	next    atomic.Int64 // entry that the next call goes to
}

func newClients(es []*entry, rec *record) *clients {
	return &clients{entries: es, rec: rec, http: &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
}

// call sends one request to the next entry. Status 0 means that no response arrived.
func (c *clients) call(method, id, body string) (int, string) {
	e := c.entries[int(c.next.Add(1))%len(c.entries)]
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.client+standin.Prefix(service)+id, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host = standin.Host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(adapter.Wire().DeadlineHeader, fmt.Sprint(callTimeout.Milliseconds()))
	resp, err := c.http.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(b)
}

// submit hands a job in, with the same ID at other entries while it is not known
// whether it was accepted. It reports whether it was.
func (c *clients) submit(id, what, body string) bool {
	for range 1 + submitRetries {
		code, _ := c.call(http.MethodPost, id, body)
		c.rec.printf("POST %s (%s): %d", id, what, code)
		if code == http.StatusOK {
			return true
		}
		if code >= 400 && code < 500 && code != http.StatusTooManyRequests {
			return false
		}
		time.Sleep(retryPause)
	}
	return false
}

// state asks for the state of a job: empty if no 200 arrives.
func (c *clients) state(id string) (code int, state string) {
	code, body := c.call(http.MethodGet, id, "")
	var out struct {
		State string `json:"state"`
	}
	if code != http.StatusOK || json.Unmarshal([]byte(body), &out) != nil {
		return code, ""
	}
	return code, out.State
}
