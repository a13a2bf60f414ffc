package main

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/platform/standin"
)

// recorder is a target that notes the bodies it gets.
type recorder struct {
	mu     sync.Mutex
	bodies []string
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	b, _ := io.ReadAll(req.Body)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bodies = append(r.bodies, string(b))
	_, _ = fmt.Fprint(w, "answer to ", string(b))
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.bodies)
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !ok(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), what)
	}
}

func proxyTo(t *testing.T, h http.Handler) *proxy {
	addr, err := serveOn(h)
	assert.NilError(t, err)
	p, err := newProxy(addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = p.listener.Close() })
	return p
}

func (p *proxy) heldBytes() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.held {
		n += len(b)
	}
	return n
}

// send returns the length of the request.
func send(t *testing.T, c net.Conn, body string) int {
	n, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	assert.NilError(t, err)
	return n
}

func noDelay() time.Duration { return 0 }

func TestHeldRequestIsDeliveredAfterItsConnectionBroke(t *testing.T) {
	rec := &recorder{}
	p := proxyTo(t, rec)
	old, err := net.Dial("tcp", p.addr())
	assert.NilError(t, err)
	in := bufio.NewReader(old)
	send(t, old, "before")
	resp, err := http.ReadResponse(in, nil)
	assert.NilError(t, err)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(b), "answer to before")

	p.setMode(holding)
	n := send(t, old, "held on an open connection")
	opened, err := net.Dial("tcp", p.addr())
	assert.NilError(t, err)
	n += send(t, opened, "held on a new one")
	await(t, "held", func() bool { return p.heldBytes() == n })
	p.resetConns()
	assert.NilError(t, opened.Close())
	_, err = in.ReadByte()
	assert.Assert(t, err != nil)
	assert.Equal(t, rec.count(), 1)

	p.release(passThrough, noDelay)
	await(t, "delivered", func() bool { return rec.count() == 3 })
	assert.Assert(t, strings.Contains(strings.Join(rec.bodies, ","), "held on an open connection"))
	assert.Assert(t, strings.Contains(strings.Join(rec.bodies, ","), "held on a new one"))
	resp, err = http.Post("http://"+p.addr(), "", strings.NewReader("after"))
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, rec.count(), 4)
}

func TestAnswersPassWhileRequestsAreHeld(t *testing.T) {
	asked, answer := make(chan bool), make(chan bool)
	p := proxyTo(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked <- true; <-answer }))
	status := make(chan int)
	go func() {
		resp, err := http.Post("http://"+p.addr(), "", strings.NewReader("x"))
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-asked
	p.setMode(holding)
	answer <- true
	assert.Equal(t, <-status, http.StatusOK)
}

// startOf is a request to start a task of nine seconds.
func startOf(addr, id, task string, attempt int) *http.Request {
	return standin.StartRequest(addr, id, task, attempt, standin.Job{Tasks: 1, Millis: 9000, CPU: 500}, math.MaxInt64)
}

func TestHeldCallCrossesARestart(t *testing.T) {
	l := standin.NewLedger(1)
	m := l.AddMinion("i-1", fullCapacity)
	calls := make(chan int, 8)
	p := proxyTo(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() { calls <- 1 }()
		m.ServeHTTP(w, r)
	}))
	p.setMode(holding)
	c, err := net.Dial("tcp", p.addr())
	assert.NilError(t, err)
	assert.NilError(t, startOf("x", "i-1", "a.0.0.0", 1).Write(c))
	await(t, "held", func() bool { return p.heldBytes() > 0 })
	m.Crash()
	assert.Equal(t, l.Running()["a"], 0)
	p.release(passThrough, noDelay)
	<-calls
	assert.Equal(t, l.Running()["a"], 1)
	assert.Equal(t, l.Crashes()["a"], 0)
}
