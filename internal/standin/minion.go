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

// Minion is an upstream with slots. A request says in its query how long it
// runs (ms), how large its answer is (size), who it is (n) and whether it must
// not run twice (once).
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
	slowdown     float64   // factor on run times; zero: one
	silentBefore time.Time // connections older than this get no answers
	truncate     bool      // answers are cut in the middle
	refused      int       // requests that came after it began to leave
}

type connOpenedKey struct{}

// Serve starts the minion; it returns its address.
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

// Close ends the minion abruptly.
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

// Leave makes the minion refuse new work and say so.
func (m *Minion) Leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leaving = true
}

// Refused counts the requests that came after it began to leave.
func (m *Minion) Refused() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.refused
}

// Silence makes the connections that are open now silent for good; new ones work.
func (m *Minion) Silence() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.silentBefore = time.Now()
}

// Slow multiplies run times; Half cuts answers in the middle.
func (m *Minion) SetSlowdown(factor float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.slowdown = factor
}

// Half makes the minion cut its answers in the middle, or stops that.
func (m *Minion) SetTruncate(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.truncate = on
}

// ServeHTTP runs one request.
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
		_ = json.NewEncoder(w).Encode(s) // a prober that has gone asks again
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
	_, _ = io.Copy(io.Discard, r.Body) // the answer does not depend on it
	m.addBusy(1)
	q := r.URL.Query()
	nonce := q.Get("n")
	m.Ledger.StartRequest(m.Name, nonce, q.Get("once") != "")
	ms, _ := strconv.ParseFloat(q.Get("ms"), 64) // none: no time
	if slow > 0 {
		ms *= slow
	}
	time.Sleep(time.Duration(ms * float64(time.Millisecond)))
	size, _ := strconv.Atoi(q.Get("size")) // none: the nonce alone
	body := ResponseBody(nonce, size)
	m.addBusy(-1)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if half {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body) // the ledger has it, whether or not it arrives
}

func (m *Minion) addBusy(n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy += n
	m.Ledger.CheckLimit(m.Name, "requests", m.busy, m.Slots)
}

// Answer is the whole answer to the request with that nonce.
func ResponseBody(nonce string, size int) string {
	return nonce + strings.Repeat(".", max(0, size-len(nonce)))
}
