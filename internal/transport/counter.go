package transport

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter counts the bytes of connections.
type Counter struct {
	Sent, Received atomic.Int64
}

// Total is what was sent and received.
func (c *Counter) Total() int64 { return c.Sent.Load() + c.Received.Load() }

// Take moves what other has counted to c.
func (c *Counter) Take(other *Counter) {
	c.Sent.Add(other.Sent.Swap(0))
	c.Received.Add(other.Received.Swap(0))
}

// Conn returns nc, counted.
func (c *Counter) Conn(nc net.Conn) net.Conn { return counted{nc, c} }

// Dial returns dial with all its connections counted.
func (c *Counter) Dial(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		nc, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return c.Conn(nc), nil
	}
}

type counted struct {
	net.Conn
	c *Counter
}

// Read counts what is read.
func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.Received.Add(int64(n))
	return n, err
}

// Write counts what is written.
func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.Sent.Add(int64(n))
	return n, err
}
