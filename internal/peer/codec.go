package peer

import (
	"bufio"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"

	"jasminestep/internal/transport"
)

// codec is the server's side of a connection. It differs from the one that
// package rpc uses by default only in that it counts the calls whose answers
// have not left yet, so that a planned stop can wait for them.
type codec struct {
	rwc     io.ReadWriteCloser
	dec     *gob.Decoder
	enc     *gob.Encoder
	buf     *bufio.Writer
	pending *atomic.Int64
	mine    *transport.ByteCounter // of this connection
	bytes   *transport.ByteCounter // of all that carry control
	traffic atomic.Bool
	closed  bool
}

// bulky are the methods whose connections carry traffic.
var bulky = map[string]bool{"Peer.Serve": true, "Peer.Home": true}

func newCodec(nc net.Conn, pending *atomic.Int64, bytes *transport.ByteCounter) *codec {
	mine := &transport.ByteCounter{}
	c := mine.Conn(nc)
	buf := bufio.NewWriter(c)
	return &codec{rwc: c, dec: gob.NewDecoder(c), enc: gob.NewEncoder(buf), buf: buf, pending: pending, mine: mine, bytes: bytes}
}

// ReadRequestHeader is for package rpc.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.pending.Add(1)
	if bulky[r.ServiceMethod] {
		c.traffic.Store(true)
	}
	return nil
}

// ReadRequestBody is for package rpc.
func (c *codec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse is for package rpc, which calls it once for every request.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer c.pending.Add(-1)
	if !c.traffic.Load() {
		c.bytes.MoveFrom(c.mine)
	}
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		_ = c.Close() // a half-written answer cannot be mended
	}
	return err
}

// Close is for package rpc.
func (c *codec) Close() error {
	if c.closed {
		return nil
	}
	c.closed = true
	return c.rwc.Close()
}
