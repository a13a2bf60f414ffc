package web

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Limits bound what clients can make a server hold. A server that holds as much
// as it may closes the connection that has been waiting for its client longest, or
// refuses what is new. The zero value has the defaults.
type Limits struct {
	Conns   int           // open connections
	Bytes   int64         // held for connections, header fields and bodies, as estimated
	Request time.Duration // for a whole request to arrive
}

// Defaults of Limits, and their shares of what a process has.
const (
	defaultConns   = 2048
	defaultBytes   = 64 << 20
	defaultRequest = 60 * time.Second
	memoryDivisor  = 8 // of the memory of a process, for what clients have sent
	fileDivisor    = 2 // of its descriptors, for clients
)

// LimitsFor returns the limits of a server that carries the traffic of a process
// with so much memory, in MB, and so many descriptors. 0 means unknown.
func LimitsFor(memory, files int64) Limits {
	return Limits{Conns: int(files / fileDivisor), Bytes: (memory << 20) / memoryDivisor}
}

// SmallLimits suit a server for a few clients, such as load balancers and
// collectors of metrics.
var SmallLimits = Limits{Conns: 32, Bytes: 2 << 20, Request: 10 * time.Second}

// The soft memory limit of a process, to stay below which garbage is collected as
// often as needed.
const (
	memoryLimitShare = 0.65     // of what its memory has besides programBytes
	programBytes     = 24 << 20 // of pages of the program file, which the limit does not count
)

// procMB is the memory that a process should have for each processor it uses at
// once: what it allocates while garbage is collected grows with their number.
const procMB = 16

// LimitMemory sets the soft memory limit of a process that has so many MB, and the
// number of processors that it may use at once. 0 means unknown.
func LimitMemory(memory int64) {
	if memory <= 0 {
		return
	}
	if n := memory<<20 - programBytes; n > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(n)))
	}
	if n := max(1, int(memory/procMB)); n < runtime.GOMAXPROCS(0) {
		runtime.GOMAXPROCS(n)
	}
}

func (l Limits) withDefaults() Limits {
	if l.Conns <= 0 {
		l.Conns = defaultConns
	}
	if l.Bytes <= 0 {
		l.Bytes = defaultBytes
	}
	if l.Request <= 0 {
		l.Request = defaultRequest
	}
	return l
}

// Estimates of the memory that clients take.
const (
	connBytes       = 16 << 10 // of a connection: its goroutine and buffers
	headerFactor    = 16       // for each byte of a header, which may be made of many short fields
	bodyFactor      = 4        // for each byte of a body: copies while it grows, and its decoded form
	maxHeaderFields = 200      // in a request
	firstBodyBytes  = 4 << 10  // of the buffer of a body
)

// Buffers of the kernel for a connection, in bytes. Left to itself, it makes room for
// megabytes that a client sends ahead, or for answers that a client does not read.
const (
	receiveBuffer = 128 << 10
	sendBuffer    = 64 << 10
)

// Timing of connections.
const (
	writeTimeout  = 10 * time.Second // for a client to accept what is written
	stalledAfter  = time.Second      // without progress, from when a connection may be closed for others
	evictInterval = 5 * time.Millisecond
)

// Cause says why a client was sent away.
type Cause int

// The causes.
const (
	TooManyConns Cause = iota
	TooManyBytes
	TooManyFields
	Stalled
	causeCount
)

// String returns the cause as metrics show it.
func (c Cause) String() string {
	return [causeCount]string{"connections", "bytes", "fields", "stalled"}[c]
}

// Load is what the clients of a server take at present, and how many it has sent
// away.
type Load struct {
	Conns int
	Bytes int64
	Gone  [causeCount]int64 // by Cause
}

// ErrBusy is wrapped by the error of Body if the server holds as much as it may.
var ErrBusy = errors.New("too much to hold at present")

// guard enforces the limits of one server.
type guard struct {
	limits Limits
	gone   [causeCount]atomic.Int64

	mu        sync.Mutex
	conns     map[*conn]bool
	held      int64 // sum of conn.held
	nextEvict time.Time
}

func newGuard(l Limits) *guard { return &guard{limits: l.withDefaults(), conns: map[*conn]bool{}} }

func (g *guard) load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := Load{Conns: len(g.conns), Bytes: g.held}
	for i := range g.gone {
		out.Gone[i] = g.gone[i].Load()
	}
	return out
}

// listener closes connections beyond the limits.
type listener struct {
	net.Listener
	guard *guard
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(time.Now(), nc); c != nil {
			return c, nil
		}
		_ = nc.Close()
	}
}

// admit returns the guarded connection, or nil if there is no place for it.
func (g *guard) admit(now time.Time, nc net.Conn) *conn {
	if tc, ok := nc.(*net.TCPConn); ok { // a connection that is gone already fails later
		_ = tc.SetReadBuffer(receiveBuffer)
		_ = tc.SetWriteBuffer(sendBuffer)
	}
	c := &conn{Conn: nc, guard: g}
	c.waiting.Store(true)
	c.progress.Store(now.UnixNano())
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.limits.Conns && !g.evict(now, c) {
		g.gone[TooManyConns].Add(1)
		return nil
	}
	g.conns[c] = true
	if !g.take(now, c, connBytes) {
		delete(g.conns, c)
		return nil
	}
	return c
}

// take charges n bytes to a connection. It reports false, and has no effect, if
// they are not to be had. g.mu is held.
func (g *guard) take(now time.Time, c *conn, n int64) bool {
	if !g.conns[c] {
		return false
	}
	for g.held+n > g.limits.Bytes {
		if !g.evict(now, c) {
			g.gone[TooManyBytes].Add(1)
			return false
		}
	}
	g.held += n
	c.held += n
	return true
}

// evict closes the connection that has waited longest for its client, other than
// c, and reports whether there was one. g.mu is held.
func (g *guard) evict(now time.Time, c *conn) bool {
	if now.Before(g.nextEvict) {
		return false
	}
	g.nextEvict = now.Add(evictInterval)
	var oldest *conn
	at := now.Add(-stalledAfter).UnixNano()
	for o := range g.conns {
		if p := o.progress.Load(); o != c && p < at && o.waiting.Load() {
			oldest, at = o, p
		}
	}
	if oldest == nil {
		return false
	}
	g.gone[Stalled].Add(1)
	g.nextEvict = time.Time{} // others may be as old
	g.drop(oldest)
	_ = oldest.Conn.Close()
	return true
}

// drop gives back what a connection holds. g.mu is held.
func (g *guard) drop(c *conn) {
	g.held -= c.held
	c.held = 0
	delete(g.conns, c)
}

// conn is a client's connection.
type conn struct {
	net.Conn
	guard    *guard
	held     int64        // charged; guarded by guard.mu
	waiting  atomic.Bool  // the client has to go on: to send, or to accept what is sent
	handling atomic.Bool  // a request is handled, so that what is read is not of a header
	progress atomic.Int64 // when the client last went on, in nanoseconds since 1970
}

func (c *conn) charge(n int64) bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.guard.take(time.Now(), c, n)
}

// release gives back all but what the open connection itself takes.
func (c *conn) release() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if n := c.held - connBytes; n > 0 {
		c.guard.held -= n
		c.held -= n
	}
}

// Read implements net.Conn. What it reads of a header is charged.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.progress.Store(time.Now().UnixNano())
	if n > 0 && !c.handling.Load() && !c.charge(int64(n)*headerFactor) {
		_ = c.Close()
		return 0, fmt.Errorf("read: %w", ErrBusy)
	}
	return n, err
}

// Write implements net.Conn. It fails if the client does not accept the data
// within writeTimeout.
func (c *conn) Write(b []byte) (int, error) {
	defer c.waitForClient()()
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(b)
}

// waitForClient marks the connection as waiting for its client until the returned
// function is called.
func (c *conn) waitForClient() (done func()) {
	was := c.waiting.Swap(true)
	c.progress.Store(time.Now().UnixNano())
	return func() {
		c.waiting.Store(was)
		c.progress.Store(time.Now().UnixNano())
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.guard.mu.Lock()
	c.guard.drop(c)
	c.guard.mu.Unlock()
	return c.Conn.Close()
}

type connKey struct{}

// withConn makes the connection known to the handlers of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request, or nil if it has none that is
// guarded.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// stateChanged follows a connection from request to request.
func stateChanged(nc net.Conn, s http.ConnState) {
	if c, ok := nc.(*conn); ok && s == http.StateIdle {
		c.handling.Store(false)
		c.release()
	}
}

// wrap guards the handling of requests.
func (g *guard) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r)
		if c == nil {
			h.ServeHTTP(w, r)
			return
		}
		c.handling.Store(true)
		c.waiting.Store(false)
		defer func() {
			c.waiting.Store(true) // what is left of the body is read, and the answer sent
			c.progress.Store(time.Now().UnixNano())
		}()
		if n := countFields(r.Header); n > maxHeaderFields {
			g.gone[TooManyFields].Add(1)
			w.Header().Set("Connection", "close")
			Fail(w, http.StatusRequestHeaderFieldsTooLarge, "%d header fields, at most %d; nothing was done", n, maxHeaderFields)
			return
		}
		h.ServeHTTP(w, r)
	})
}

func countFields(h http.Header) int {
	n := 0
	for _, v := range h {
		n += len(v)
	}
	return n
}
