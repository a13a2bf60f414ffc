package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"jasminestep/internal/minion"
)

// Minion is an upstream with a limited number of slots. The query of a request
// gives its run time (ms), the size of the response (size), its nonce (n) and
// whether it must run at most once (once).
type Minion struct {
	Name     string
	Addr     string
	Slots    int
	MaxConns int
	Ledger   *Ledger

	mu           sync.Mutex
	server       *http.Server
	busy         int
	conns        map[net.Conn]bool
	leaving      bool
	slowdown     float64   // factor applied to run times; zero means one
	silentBefore time.Time // connections opened before this get no responses
	truncate     bool      // responses are cut off halfway
	refused      int       // requests received while leaving
}

type connOpenedKey struct{}

// Serve starts the minion and returns its address.
func (m *Minion) Serve(addr string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	m.Addr = l.Addr().String()
	m.conns = map[net.Conn]bool{}
	m.server = &http.Server{
		Handler:   m,
		ConnState: m.connState,
		ConnContext: func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connOpenedKey{}, time.Now())
		},
	}
	go func() { _ = m.server.Serve(l) }()
	return m.Addr, nil
}

// Close stops the minion without waiting for requests in progress.
func (m *Minion) Close() {
	if m.server != nil {
		_ = m.server.Close()
	}
}

func (m *Minion) connState(c net.Conn, s http.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch s {
	case http.StateNew:
		m.conns[c] = true
		m.Ledger.CheckLimit(m.Name, "connections", len(m.conns), m.MaxConns)
	case http.StateClosed, http.StateHijacked:
		delete(m.conns, c)
	}
}

// Leave makes the minion refuse new requests and report that it is leaving.
func (m *Minion) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Refused returns the number of requests received while leaving.
func (m *Minion) Refused() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused
}

// Silence makes all currently open connections permanently unresponsive; new
// connections work.
func (m *Minion) Silence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silentBefore = time.Now()
}

// SetSlowdown sets the factor applied to the run times of requests.
func (m *Minion) SetSlowdown(factor float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowdown = factor
}

// SetTruncate sets whether the minion cuts off its responses halfway.
func (m *Minion) SetTruncate(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.truncate = on
}

// ServeHTTP runs one request, or answers a status probe.
func (m *Minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	opened, _ := r.Context().Value(connOpenedKey{}).(time.Time)
	m.mu.Lock()
	silent, leaving, slow, half := opened.Before(m.silentBefore), m.leaving, m.slowdown, m.truncate
	m.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	if r.URL.Path == "/status" {
		m.mu.Lock()
		s := minion.Status{Busy: m.busy, Leaving: m.leaving}
		m.mu.Unlock()
		_ = json.NewEncoder(w).Encode(s) // a disconnected prober asks again
		return
	}
	w.Header().Set(minion.HeaderRequest, r.Header.Get(minion.HeaderRequest))
	if leaving {
		m.mu.Lock()
		m.refused++
		m.mu.Unlock()
		w.Header().Set(minion.HeaderLeaving, "true")
		w.Header().Set(minion.HeaderRefused, "true")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // the response does not depend on the body
	m.addBusy(1)
	q := r.URL.Query()
	nonce := q.Get("n")
	m.Ledger.StartRequest(m.Name, nonce, q.Get("once") != "")
	ms, _ := strconv.ParseFloat(q.Get("ms"), 64) // missing: zero
	if slow > 0 {
		ms *= slow
	}
	time.Sleep(time.Duration(ms * float64(time.Millisecond)))
	size, _ := strconv.Atoi(q.Get("size")) // missing: the nonce alone
	body := ResponseBody(nonce, size)
	m.addBusy(-1)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if half {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body) // the ledger has the run, whether or not the response arrives
}

func (m *Minion) addBusy(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy += n
	m.Ledger.CheckLimit(m.Name, "requests", m.busy, m.Slots)
}

// ResponseBody returns the complete response body of the request with the given
// nonce.
func ResponseBody(nonce string, size int) string {
	return nonce + strings.Repeat(".", max(0, size-len(nonce)))
}
