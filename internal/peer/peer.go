// Package peer carries calls between entries, over net/rpc.
//
// net/rpc has no deadlines and does not notice a connection that has gone
// silent. This package adds both: calls end with their context, and every
// connection is pinged; one that does not answer is closed and replaced before
// the peer is blamed.
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

// ErrNotSent marks calls that provably never left this process.
var ErrNotSent = errors.New("call was not sent")

// Timing and size of the connections to one peer.
const (
	pingEvery   = time.Second
	pingTimeout = 1500 * time.Millisecond
	idleAfter   = 15 * time.Second
	writeLimit  = 5 * time.Second
	lanes       = 3 // connections for traffic; one more carries control
)

// Lane is the kind of connection that a call takes: bulky traffic must not
// hold up control.
type ConnClass int

// The lanes.
const (
	Control ConnClass = iota
	Traffic
)

// Client calls other entries. Use New.
type Client struct {
	dial  transport.Dial
	bytes *transport.ByteCounter // on control connections

	mu    sync.Mutex
	conns map[string][]*conn // by address; place 0 is for control
	turn  int
}

// New returns a client that dials with dial and counts into bytes what it
// exchanges for control.
func New(dial transport.Dial, bytes *transport.ByteCounter) *Client {
	return &Client{dial: dial, bytes: bytes, conns: map[string][]*conn{}}
}

type conn struct {
	once sync.Once
	open chan struct{} // closed once rpc or err is set
	rpc  *rpc.Client
	err  error
	used atomic.Int64 // Unix milliseconds of the last call
	dead atomic.Bool
}

// bounded bounds every write and notices the end of reading.
type bounded struct {
	net.Conn
	dead *atomic.Bool // set when reading ends, so that no further call takes this connection
}

// Read notices the end.
func (c bounded) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.dead.Store(true)
	}
	return n, err
}

// Write fails if the peer takes nothing for long.
func (c bounded) Write(b []byte) (int, error) {
	_ = c.Conn.SetWriteDeadline(time.Now().Add(writeLimit))
	return c.Conn.Write(b)
}

// get returns a connection to addr that is open, opening one if need be.
func (c *Client) get(ctx context.Context, addr string, lane ConnClass) (*conn, error) {
	c.mu.Lock()
	if c.conns[addr] == nil {
		c.conns[addr] = make([]*conn, 1+lanes)
	}
	i := 0
	if lane == Traffic {
		c.turn++
		i = 1 + c.turn%lanes
	}
	k := c.conns[addr][i]
	if k == nil || k.dead.Load() {
		k = &conn{open: make(chan struct{})}
		c.conns[addr][i] = k
	}
	c.mu.Unlock()
	k.once.Do(func() { go c.open(k, addr, lane) })
	select {
	case <-k.open:
	case <-ctx.Done():
		return nil, errors.Mark(fmt.Errorf("dial peer %s: %w", addr, ctx.Err()), ErrNotSent)
	}
	if k.err != nil {
		k.dead.Store(true)
		return nil, k.err
	}
	k.used.Store(time.Now().UnixMilli())
	return k, nil
}

func (c *Client) open(k *conn, addr string, lane ConnClass) {
	defer close(k.open)
	// No caller's context: several share the connection.
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	nc, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		k.err = errors.Mark(fmt.Errorf("dial peer %s: %w", addr, err), ErrNotSent)
		return
	}
	if lane == Control {
		nc = c.bytes.Conn(nc)
	}
	k.rpc = rpc.NewClient(bounded{nc, &k.dead})
	if k.dead.Load() {
		k.close()
		return
	}
	go k.watch()
}

// watch pings until the connection fails, goes silent or is idle for long.
func (k *conn) watch() {
	t := time.NewTicker(pingEvery)
	defer t.Stop()
	defer k.close()
	for range t.C {
		if time.Now().UnixMilli()-k.used.Load() > idleAfter.Milliseconds() {
			return
		}
		call := k.rpc.Go("Peer.Ping", struct{}{}, &struct{}{}, make(chan *rpc.Call, 1))
		select {
		case <-call.Done:
			if call.Error != nil {
				return
			}
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
// marked ErrNotSent proves that the peer never saw the call; an rpc.ServerError
// is the peer's own answer; with any other error the fate is not known. reply is
// written only if there is no error: an answer that comes after the end of ctx
// is decoded into a value of its own and dropped.
func (c *Client) Call(ctx context.Context, addr string, lane ConnClass, method string, args, reply any) error {
	if err := ctx.Err(); err != nil {
		return errors.Mark(fmt.Errorf("call %s: %w", method, err), ErrNotSent)
	}
	k, err := c.get(ctx, addr, lane)
	if err != nil {
		return fmt.Errorf("call %s: %w", method, err)
	}
	own := reflect.New(reflect.TypeOf(reply).Elem())
	call := k.rpc.Go("Peer."+method, args, own.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return fmt.Errorf("call %s at %s: %w", method, addr, ctx.Err())
	}
	if errors.Is(call.Error, rpc.ErrShutdown) {
		k.dead.Store(true)
	}
	if call.Error != nil {
		return fmt.Errorf("call %s at %s: %w", method, addr, call.Error)
	}
	reflect.ValueOf(reply).Elem().Set(own.Elem())
	return nil
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
			case <-k.open:
				if k.rpc != nil {
					k.close()
				}
			default: // open closes what it opens
			}
		}
	}
	c.conns = map[string][]*conn{}
}

// Serve answers calls on l with the methods of svc, under the name Peer, until
// l is closed. Accepted connections are closed with it.
//
// pending counts the calls that are not answered yet, and bytes what is
// exchanged on connections that do not carry traffic.
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
