package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"jasminestep/internal/transport"
)

// Echo is the service of these tests.
type Echo struct{ n, pings atomic.Int64 }

// Ping returns immediately.
func (e *Echo) Ping(struct{}, *struct{}) error {
	e.pings.Add(1)
	return nil
}

// Say returns its argument.
func (e *Echo) Say(s string, r *string) error {
	e.n.Add(1)
	*r = s
	return nil
}

// Late returns a value after a delay.
func (*Echo) Late(d time.Duration, r *string) error {
	time.Sleep(d)
	*r = "late"
	return nil
}

// Hang returns after a delay.
func (*Echo) Hang(d time.Duration, _ *struct{}) error {
	time.Sleep(d)
	return nil
}

func serve(t *testing.T) (string, *Echo) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	e := &Echo{}
	go func() { _ = Serve(l, e, &atomic.Int64{}, &transport.ByteCounter{}) }()
	return l.Addr().String(), e
}

func TestCallsInParallel(t *testing.T) {
	addr, _ := serve(t)
	c := New(transport.DialFrom(""), &transport.ByteCounter{})
	defer c.Close()
	var wg sync.WaitGroup
	for i := range 100 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			want, got := string(rune('a'+i%26)), ""
			assert.Check(t, c.Call(context.Background(), addr, Traffic, "Say", want, &got))
			assert.Check(t, got == want)
		}()
	}
	wg.Wait()
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	_ = l.Close()
	c := New(transport.DialFrom(""), &transport.ByteCounter{})
	defer c.Close()
	err = c.Call(context.Background(), addr, Traffic, "Say", "x", new(string))
	assert.Assert(t, errors.Is(err, ErrNotSent))
}

// A response that arrives after the deadline must not be written to the reply,
// which its caller may already use for something else. TestStoreDown failed this
// way under the race detector.
func TestLateAnswerIsDropped(t *testing.T) {
	addr, _ := serve(t)
	c := New(transport.DialFrom(""), &transport.ByteCounter{})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	got := ""
	err := c.Call(ctx, addr, Traffic, "Late", 60*time.Millisecond, &got)
	assert.Assert(t, err != nil)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, got, "")
}

func TestDeadlineIsNotProof(t *testing.T) {
	addr, _ := serve(t)
	c := New(transport.DialFrom(""), &transport.ByteCounter{})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := c.Call(ctx, addr, Traffic, "Hang", time.Second, &struct{}{})
	assert.Assert(t, err != nil && !errors.Is(err, ErrNotSent))
}

// silentConn is a connection that drops all writes once silenced is set, as when a
// middlebox has lost its state.
type silentConn struct {
	net.Conn
	silenced *atomic.Bool
	stop     chan struct{}
}

func (s silentConn) Write(b []byte) (int, error) {
	if s.silenced.Load() {
		return len(b), nil
	}
	return s.Conn.Write(b)
}

// An unresponsive connection is detected and replaced, and its pending calls end
// with an error.
func TestSilentConnectionIsReplaced(t *testing.T) {
	addr, e := serve(t)
	var silenced []*atomic.Bool
	var mu sync.Mutex
	plain := transport.DialFrom("")
	c := New(func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := plain(ctx, network, addr)
		mu.Lock()
		defer mu.Unlock()
		silenced = append(silenced, &atomic.Bool{})
		return silentConn{Conn: nc, silenced: silenced[len(silenced)-1]}, err
	}, &transport.ByteCounter{})
	defer c.Close()
	assert.NilError(t, c.Call(context.Background(), addr, Control, "Say", "x", new(string)))
	mu.Lock()
	silenced[0].Store(true)
	mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err := c.Call(ctx, addr, Control, "Say", "lost", new(string))
	assert.Assert(t, err != nil && ctx.Err() == nil, "want an error before the deadline, got %v", err)
	assert.NilError(t, c.Call(ctx, addr, Control, "Say", "y", new(string)))
	assert.Equal(t, e.n.Load(), int64(2))
}

// After Forget, no call may use a connection to the process that listened at the
// address before; calls in progress go on.
func TestForgottenConnectionsAreNotUsed(t *testing.T) {
	addr, _ := serve(t)
	var dials atomic.Int64
	c := New(func(ctx context.Context, network, to string) (net.Conn, error) {
		dials.Add(1)
		return transport.DialFrom("")(ctx, network, to)
	}, &transport.ByteCounter{})
	defer c.Close()
	late := make(chan error, 1)
	go func() {
		late <- c.Call(context.Background(), addr, Control, "Late", 300*time.Millisecond, new(string))
	}()
	for dials.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.Forget(addr)
	assert.NilError(t, c.Call(context.Background(), addr, Control, "Say", "x", new(string)))
	assert.Equal(t, dials.Load(), int64(2))
	assert.NilError(t, <-late)
}

// A connection was closed as idle in the middle of a call, which then had an
// unknown outcome, if nothing else had used it since the call began.
func TestConnectionInUseIsNotIdle(t *testing.T) {
	addr, _ := serve(t)
	c := New(transport.DialFrom(""), &transport.ByteCounter{})
	defer c.Close()
	assert.NilError(t, c.Call(context.Background(), addr, Control, "Say", "x", new(string)))
	c.mu.Lock()
	k := c.conns[addr][0]
	c.mu.Unlock()
	late := make(chan error, 1)
	go func() {
		late <- c.Call(context.Background(), addr, Control, "Late", 2*pingInterval+pingInterval/2, new(string))
	}()
	time.Sleep(pingInterval / 4)
	k.mu.Lock()
	k.lastUsed = time.Now().Add(-2 * idleTimeout) // as if the call had begun that long ago
	k.mu.Unlock()
	assert.NilError(t, <-late)
	assert.Assert(t, !k.dead.Load())
	assert.Assert(t, !k.retire(time.Now()))
	assert.Assert(t, k.retire(time.Now().Add(2*idleTimeout)))
	assert.NilError(t, c.Call(context.Background(), addr, Control, "Say", "y", new(string)), "a retired connection is replaced")
}

// A call whose connection ended just before the call was sent was reported as
// one that may have run.
func TestCallOnAnEndedConnectionIsNotSent(t *testing.T) {
	addr, e := serve(t)
	c := New(transport.DialFrom(""), &transport.ByteCounter{})
	defer c.Close()
	assert.NilError(t, c.Call(context.Background(), addr, Control, "Say", "x", new(string)))
	c.mu.Lock()
	k := c.conns[addr][0]
	_ = k.rpc.Close()
	// Another conn, which is not marked dead: as if the connection ended while the
	// next call begins.
	ended := &conn{ready: k.ready, rpc: k.rpc}
	ended.once.Do(func() {})
	c.conns[addr][0] = ended
	c.mu.Unlock()
	err := c.Call(context.Background(), addr, Control, "Say", "y", new(string))
	assert.Assert(t, errors.Is(err, ErrNotSent), "%v", err)
	assert.Equal(t, e.n.Load(), int64(1))
	assert.NilError(t, c.Call(context.Background(), addr, Control, "Say", "y", new(string)))
}

// Connections that are in use were pinged each second, and calls that could share one
// kept all of them open: an owner spent more on pings than on its work, with 147 peers.
func TestConnectionsInUseArePinged(t *testing.T) {
	addr, e := serve(t)
	c := New(transport.DialFrom(""), &transport.ByteCounter{})
	defer c.Close()
	for end := time.Now().Add(2 * pingInterval); time.Now().Before(end); time.Sleep(pingInterval / 10) {
		var got string
		assert.NilError(t, c.Call(context.Background(), addr, Traffic, "Say", "x", &got))
	}
	assert.Equal(t, e.pings.Load(), int64(0))
	c.mu.Lock()
	defer c.mu.Unlock()
	open := 0
	for _, k := range c.conns[addr] {
		if k != nil {
			open++
		}
	}
	assert.Equal(t, open, 1)
}
