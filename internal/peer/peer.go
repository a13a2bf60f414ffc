// Package peer implements calls between entries over net/rpc.
//
// net/rpc has no deadlines and does not detect unresponsive connections. This
// package adds both: a call ends with its context, and every connection is pinged
// periodically. A connection that does not answer is closed and replaced, so that
// a dead connection is not mistaken for a failed peer.
package peer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/transport"
)

// ErrNotSent marks errors of calls that provably never left this process.
var ErrNotSent = errors.New("call was not sent")

// Timing and number of the connections to one peer.
const (
	pingInterval = time.Second
	pingTimeout  = 1500 * time.Millisecond
	idleTimeout  = 15 * time.Second
	writeTimeout = 5 * time.Second
	trafficConns = 3 // at most, in addition to the one control connection
)

// ConnClass selects the connection of a call. Control calls have one of their own
// so that large requests and responses do not delay them.
type ConnClass int

// Connection classes.
const (
	Control ConnClass = iota
	Traffic
)

// Client calls other entries. Use New.
type Client struct {
	dial         transport.Dial
	controlBytes *transport.ByteCounter // bytes on control connections

	mu    sync.Mutex
	conns map[string][]*conn // by address; index 0 is the control connection
}

// New returns a client that connects with dial and adds the bytes on control
// connections to bytes.
func New(dial transport.Dial, bytes *transport.ByteCounter) *Client {
	return &Client{dial: dial, controlBytes: bytes, conns: map[string][]*conn{}}
}

type conn struct {
	once  sync.Once
	ready chan struct{} // closed when rpc or err is set
	rpc   *rpc.Client
	err   error
	dead  atomic.Bool
	heard atomic.Bool // something has been received since it was last set to false

	mu       sync.Mutex
	calls    int       // in progress
	lastUsed time.Time // end of the last call; zero if there was none
	retired  bool      // closed as idle: no call may begin
}

// begin notes the begin of a call. It returns false if k cannot be used any more.
func (k *conn) begin() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.retired || k.dead.Load() {
		return false
	}
	k.calls++
	return true
}

// end notes the end of a call.
func (k *conn) end(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls--
	k.lastUsed = now
}

// retire keeps calls from beginning if k is idle, and reports whether it is.
func (k *conn) retire(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.retired = k.calls == 0 && now.Sub(k.lastUsed) > idleTimeout
	return k.retired
}

// monitoredConn sets a deadline for every write and records what is received and read
// errors.
type monitoredConn struct {
	net.Conn
	dead  *atomic.Bool // set on a read error, so that no further call uses the connection
	heard *atomic.Bool // set when something is received
}

// Read sets dead on an error, including io.EOF, and heard otherwise.
func (c monitoredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.dead.Store(true)
	} else {
		c.heard.Store(true)
	}
	return n, err
}

// Write fails if the peer does not accept the data within writeTimeout.
func (c monitoredConn) Write(b []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	return c.Conn.Write(b)
}

// leastBusy returns the index of the traffic connection with the fewest calls in
// progress, the first of them, so that the others become idle and close.
func leastBusy(ks []*conn) int {
	best, fewest := 1, ks[1].load()
	for i := 2; i < len(ks) && fewest > 0; i++ {
		if n := ks[i].load(); n < fewest {
			best, fewest = i, n
		}
	}
	return best
}

// load returns the number of calls in progress. A connection that is not open has
// none.
func (k *conn) load() int {
	if k == nil {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.calls
}

// getConn returns an open connection to addr, dialling if necessary. The caller
// calls end after use.
func (c *Client) getConn(ctx context.Context, addr string, class ConnClass) (*conn, error) {
	c.mu.Lock()
	if c.conns[addr] == nil {
		c.conns[addr] = make([]*conn, 1+trafficConns)
	}
	i := 0
	if class == Traffic {
		i = leastBusy(c.conns[addr])
	}
	k := c.conns[addr][i]
	if k == nil || !k.begin() {
		k = &conn{ready: make(chan struct{}), calls: 1}
		c.conns[addr][i] = k
	}
	c.mu.Unlock()
	k.once.Do(func() { go c.open(k, addr, class) })
	select {
	case <-k.ready:
	case <-ctx.Done():
		k.end(time.Now())
		return nil, errors.Mark(fmt.Errorf("dial peer %s: %w", addr, ctx.Err()), ErrNotSent)
	}
	if k.err != nil {
		k.dead.Store(true)
		return nil, k.err
	}
	return k, nil
}

func (c *Client) open(k *conn, addr string, class ConnClass) {
	defer close(k.ready)
	// Not the context of the caller: the connection is shared.
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	nc, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		k.err = errors.Mark(fmt.Errorf("dial peer %s: %w", addr, err), ErrNotSent)
		return
	}
	if class == Control {
		nc = c.controlBytes.Conn(nc)
	}
	k.rpc = rpc.NewClientWithCodec(newClientCodec(monitoredConn{nc, &k.dead, &k.heard}))
	if k.dead.Load() {
		k.close()
		return
	}
	go k.keepAlive()
}

// keepAlive pings the peer whenever nothing has been received for pingInterval, and
// closes the connection when that fails, the peer stops responding or the connection
// has been idle for idleTimeout.
func (k *conn) keepAlive() {
	t := time.NewTicker(pingInterval)
	defer t.Stop()
	defer k.close()
	for range t.C {
		if k.retire(time.Now()) {
			return
		}
		if k.heard.Swap(false) {
			continue
		}
		call := k.rpc.Go("Peer.Ping", struct{}{}, &struct{}{}, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			if call.Error != nil {
				return
			}
			k.heard.Store(false)
		case <-time.After(pingTimeout):
			return
		}
	}
}

func (k *conn) close() {
	k.dead.Store(true)
	_ = k.rpc.Close()
}

// Call calls method at addr and waits for the reply or the end of ctx. An error
// marked ErrNotSent proves that the peer never received the call; an
// rpc.ServerError was returned by the method; after any other error it is unknown
// whether the method ran. reply is written only if there is no error: a response
// that arrives after the end of ctx is decoded into a separate value and dropped.
func (c *Client) Call(ctx context.Context, addr string, class ConnClass, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return errors.Mark(fmt.Errorf("call %s: %w", method, err), ErrNotSent)
	}
	k, err := c.getConn(ctx, addr, class)
	if err != nil {
		return fmt.Errorf("call %s: %w", method, err)
	}
	defer func() { k.end(time.Now()) }()
	result := reflect.New(reflect.TypeOf(reply).Elem())
	var sent atomic.Bool
	call := k.rpc.Go("Peer."+method, sentArgs{args, &sent}, result.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return fmt.Errorf("call %s at %s: %w", method, addr, ctx.Err())
	}
	if errors.Is(call.Error, rpc.ErrShutdown) {
		k.dead.Store(true)
	}
	if call.Error != nil {
		err = fmt.Errorf("call %s at %s: %w", method, addr, call.Error)
		if !sent.Load() {
			err = errors.Mark(err, ErrNotSent)
		}
		return err
	}
	reflect.ValueOf(reply).Elem().Set(result.Elem())
	return nil
}

// Forget makes further calls to addr use new connections, because another
// process listens there now. The end of an old connection may not have been
// noticed yet, and a call sent through it would be lost. Calls in progress go on;
// the old connections close when they end or become idle.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, addr)
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ks := range c.conns {
		for _, k := range ks {
			if k == nil {
				continue
			}
			k.dead.Store(true)
			select {
			case <-k.ready:
				if k.rpc != nil {
					k.close()
				}
			default: // open closes the connection itself if dead is set
			}
		}
	}
	c.conns = map[string][]*conn{}
}

// Serve registers the methods of svc under the name Peer and serves calls on l
// until l is closed, which also closes the accepted connections.
//
// pending counts the calls that have not been answered yet, and bytes counts the
// bytes exchanged on control connections.
func Serve(l net.Listener, svc any, pending *atomic.Int64, bytes *transport.ByteCounter) error {
	s := rpc.NewServer()
	if err := s.RegisterName("Peer", svc); err != nil {
		return fmt.Errorf("serve peers: %w", err)
	}
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	defer func() {
		mu.Lock()
		defer mu.Unlock()
		for nc := range open {
			_ = nc.Close()
		}
	}()
	for {
		nc, err := l.Accept()
		if err != nil {
			return fmt.Errorf("serve peers: %w", err)
		}
		mu.Lock()
		open[nc] = true
		mu.Unlock()
		go func() {
			s.ServeCodec(newCodec(nc, pending, bytes))
			mu.Lock()
			delete(open, nc)
			mu.Unlock()
		}()
	}
}
