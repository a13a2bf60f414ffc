package web

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"jasminestep/internal/loopback"
)

const testBodyLimit = 256 << 10

// startServer runs a server that answers with the length of the body.
func startServer(t *testing.T, l Limits) (*Server, string) {
	addr := loopback.Addr()
	s, err := NewWithHandler(addr, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, err := Body(r, testBodyLimit)
		switch {
		case errors.Is(err, ErrBusy):
			w.Header().Set("Connection", "close")
			Fail(w, http.StatusServiceUnavailable, "%v", err)
		case err != nil:
			Fail(w, http.StatusBadRequest, "%v", err)
		default:
			Reply(w, http.StatusOK, len(b))
		}
	}), l)
	assert.NilError(t, err)
	s.Start()
	t.Cleanup(s.Close)
	return s, addr
}

func post(t *testing.T, addr string, body []byte) int {
	resp, err := http.Post("http://"+addr, "", bytes.NewReader(body))
	assert.NilError(t, err)
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

// Guards against limits that ordinary clients meet: the busiest entries of the
// smallest VMs, with the largest bodies now and then.
func TestOrdinaryClientsMeetNoLimit(t *testing.T) {
	s, addr := startServer(t, LimitsFor(144, 3075))
	h := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200}}
	var wg sync.WaitGroup
	var refused atomic.Int64
	for n := range 200 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range 20 {
				size := 4000
				if n == 0 && i%10 == 0 {
					size = testBodyLimit
				}
				resp, err := h.Post("http://"+addr, "", bytes.NewReader(make([]byte, size)))
				if err != nil || resp.StatusCode != http.StatusOK {
					refused.Add(1)
				}
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}
		}()
	}
	wg.Wait()
	assert.Equal(t, refused.Load(), int64(0))
	assert.Equal(t, s.Load().Gone, [causeCount]int64{})
	h.CloseIdleConnections()
}

// Guards against what a request took that is never given back.
func TestWhatARequestTakesIsGivenBack(t *testing.T) {
	s, addr := startServer(t, Limits{Bytes: 3 << 20})
	for range 50 {
		assert.Equal(t, post(t, addr, make([]byte, testBodyLimit)), http.StatusOK)
	}
	http.DefaultClient.CloseIdleConnections()
	for end := time.Now().Add(5 * time.Second); s.Load().Bytes != 0; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "%d bytes are held for %d connections", s.Load().Bytes, s.Load().Conns)
	}
}

// Guards against clients that stop short of the end of their bodies and hold all
// that is to be had, so that nobody else is served.
func TestStalledClientsYieldToOthers(t *testing.T) {
	s, addr := startServer(t, Limits{Bytes: 3 << 20, Conns: 20})
	for range 40 {
		c, err := net.Dial("tcp", addr)
		assert.NilError(t, err)
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", testBodyLimit, strings.Repeat("x", testBodyLimit-1))
	}
	assert.Assert(t, s.Load().Bytes <= 3<<20 && s.Load().Conns <= 20)
	time.Sleep(stalledAfter + 100*time.Millisecond)
	status := 0
	for range 10 {
		if status = post(t, addr, make([]byte, testBodyLimit)); status == http.StatusOK {
			break
		}
	}
	assert.Equal(t, status, http.StatusOK)
	l := s.Load()
	assert.Assert(t, l.Gone[Stalled] > 0 && l.Gone[TooManyConns]+l.Gone[TooManyBytes] > 0, "%+v", l)
}

func TestRequestsWithManyHeaderFieldsAreRefused(t *testing.T) {
	_, addr := startServer(t, Limits{})
	r, err := http.NewRequest(http.MethodGet, "http://"+addr, nil)
	assert.NilError(t, err)
	for i := range maxHeaderFields + 1 {
		r.Header.Set(fmt.Sprint("x-", i), "")
	}
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
}

func TestBodyOverTheLimit(t *testing.T) {
	_, addr := startServer(t, Limits{})
	assert.Equal(t, post(t, addr, make([]byte, testBodyLimit+1)), http.StatusBadRequest)
	pipe, w := io.Pipe()
	go func() {
		_, _ = w.Write(make([]byte, testBodyLimit+1))
		_ = w.Close()
	}()
	resp, err := http.Post("http://"+addr, "", pipe)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusBadRequest)
}

// Guards against room that the kernel makes for a client that sends requests ahead
// and reads no answers: megabytes for each connection, and all the garbage of
// answering what fills them.
func TestRequestsAheadAreAnsweredOnlyAsTheClientReads(t *testing.T) {
	const answer, most = 4 << 10, 2 << 20 // bytes; the client's own buffer has some 200 KB
	addr := loopback.Addr()
	var n atomic.Int64
	text := strings.Repeat("x", answer)
	s, err := NewWithHandler(addr, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n.Add(1)
		_, _ = io.WriteString(w, text)
	}), Limits{})
	assert.NilError(t, err)
	s.Start()
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	go func() { _, _ = io.WriteString(c, strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 20_000)) }()
	for before := int64(-1); n.Load() != before; time.Sleep(200 * time.Millisecond) {
		before = n.Load()
	}
	assert.Assert(t, n.Load()*answer <= most, "%d answers written that nobody reads", n.Load())
}
