package transport

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of connections.
type ByteCounter struct {
	Sent, Received atomic.Int64
}

// Total is what was sent and received.
func (c *ByteCounter) Total() int64 { return c.Sent.Load() + c.Received.Load() }

// Take moves what other has counted to c.
func (c *ByteCounter) MoveFrom(other *ByteCounter) {
	c.Sent.Add(other.Sent.Swap(0))
	c.Received.Add(other.Received.Swap(0))
}

// Conn returns nc, counted.
func (c *ByteCounter) Conn(nc net.Conn) net.Conn { return countedConn{nc, c} }

// Dial returns dial with all its connections counted.
func (c *ByteCounter) Dial(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c.Conn(nc), nil
	}
}

type countedConn struct {
	net.Conn
	counter *ByteCounter
}

// Read counts what is read.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Received.Add(int64(n))
	return n, err
}

// Write counts what is written.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Sent.Add(int64(n))
	return n, err
}
