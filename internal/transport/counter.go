package transport

import (
	"context"
	"net"
	"sync/atomic"
)

// ByteCounter counts the bytes transferred over connections.
type ByteCounter struct {
	Sent, Received atomic.Int64
}

// Total returns the number of bytes sent and received.
func (c *ByteCounter) Total() int64 { return c.Sent.Load() + c.Received.Load() }

// MoveFrom adds the counts of other to c and resets other.
func (c *ByteCounter) MoveFrom(other *ByteCounter) {
	c.Sent.Add(other.Sent.Swap(0))
	c.Received.Add(other.Received.Swap(0))
}

// Conn returns a connection that wraps nc and counts its bytes in c.
func (c *ByteCounter) Conn(nc net.Conn) net.Conn { return countedConn{nc, c} }

// Dial returns a dial function that counts the bytes of all its connections in c.
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

// Read implements net.Conn.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.Received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.Sent.Add(int64(n))
	return n, err
}
