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

// Echo is a service for tests.
type Echo struct{ n atomic.Int64 }

// Ping answers at once.
func (*Echo) Ping(struct{}, *struct{}) error { return nil }

// Say repeats what it is told.
func (e *Echo) Say(s string, r *string) error {
	e.n.Add(1)
	*r = s
	return nil
}

// Late answers late, with something.
func (*Echo) Late(d time.Duration, r *string) error {
	time.Sleep(d)
	*r = "late"
	return nil
}

// Hang answers late.
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

// An answer that comes too late must not be written into what its caller has
// gone on to use. Found by the race detector in TestStoreDown.
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

// silent is a connection that something in between has lost track of.
type silent struct {
	net.Conn
	gone *atomic.Bool
	stop chan struct{}
}

func (s silent) Write(b []byte) (int, error) {
	if s.gone.Load() {
		return len(b), nil
	}
	return s.Conn.Write(b)
}

// A silent connection is found and replaced, and calls in progress end.
func TestSilentConnectionIsReplaced(t *testing.T) {
	addr, e := serve(t)
	var gone []*atomic.Bool
	var mu sync.Mutex
	plain := transport.DialFrom("")
	c := New(func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := plain(ctx, network, addr)
		mu.Lock()
		defer mu.Unlock()
		gone = append(gone, &atomic.Bool{})
		return silent{Conn: nc, gone: gone[len(gone)-1]}, err
	}, &transport.ByteCounter{})
	defer c.Close()
	assert.NilError(t, c.Call(context.Background(), addr, Control, "Say", "x", new(string)))
	mu.Lock()
	gone[0].Store(true)
	mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	err := c.Call(ctx, addr, Control, "Say", "lost", new(string))
	assert.Assert(t, err != nil && ctx.Err() == nil, "it ends before its deadline: %v", err)
	assert.NilError(t, c.Call(ctx, addr, Control, "Say", "y", new(string)))
	assert.Equal(t, e.n.Load(), int64(2))
}
