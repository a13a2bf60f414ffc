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

// codec is the server codec of a connection. It works like the default gob codec
// of package rpc, but also counts the calls whose responses have not been sent
// yet, so that a graceful shutdown can wait for them, and the bytes of control
// connections.
type codec struct {
	rwc          io.ReadWriteCloser
	dec          *gob.Decoder
	enc          *gob.Encoder
	buf          *bufio.Writer
	pending      *atomic.Int64
	connCounter  *transport.ByteCounter // bytes of this connection
	controlBytes *transport.ByteCounter // bytes of all control connections
	traffic      atomic.Bool
	closed       bool
}

// trafficMethods are the methods whose connections are not counted as control.
var trafficMethods = map[string]bool{"Peer.Serve": true, "Peer.Home": true}

func newCodec(nc net.Conn, pending *atomic.Int64, bytes *transport.ByteCounter) *codec {
	mine := &transport.ByteCounter{}
	c := mine.Conn(nc)
	buf := bufio.NewWriter(c)
	return &codec{rwc: c, dec: gob.NewDecoder(c), enc: gob.NewEncoder(buf), buf: buf, pending: pending, connCounter: mine, controlBytes: bytes}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *codec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.dec.Decode(r); err != nil {
		return err
	}
	c.pending.Add(1)
	if trafficMethods[r.ServiceMethod] {
		c.traffic.Store(true)
	}
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *codec) ReadRequestBody(body any) error { return c.dec.Decode(body) }

// WriteResponse implements rpc.ServerCodec. Package rpc calls it once for each
// request.
func (c *codec) WriteResponse(r *rpc.Response, body any) error {
	defer c.pending.Add(-1)
	if !c.traffic.Load() {
		c.controlBytes.MoveFrom(c.connCounter)
	}
	err := c.enc.Encode(r)
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		_ = c.Close() // the stream cannot be used after a partially written response
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *codec) Close() error {
	if c.closed {
		return nil
	}
	c.closed = true
	return c.rwc.Close()
}

// sentArgs are the arguments of a call. sent is set once any of the call may have
// been written to the connection.
type sentArgs struct {
	args any
	sent *atomic.Bool
}

// clientCodec is the client codec of a connection. It works like the default gob
// codec of package rpc, but also sets sentArgs.sent.
type clientCodec struct {
	rwc io.ReadWriteCloser
	dec *gob.Decoder
	enc *gob.Encoder
	buf *bufio.Writer
}

func newClientCodec(c net.Conn) *clientCodec {
	buf := bufio.NewWriter(c)
	return &clientCodec{rwc: c, dec: gob.NewDecoder(c), enc: gob.NewEncoder(buf), buf: buf}
}

// WriteRequest implements rpc.ClientCodec. Package rpc does not call it for a call
// on a connection that has ended.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if a, ok := body.(sentArgs); ok {
		a.sent.Store(true)
		body = a.args
	}
	if err := c.enc.Encode(r); err != nil {
		return err
	}
	if err := c.enc.Encode(body); err != nil {
		return err
	}
	return c.buf.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.dec.Decode(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.dec.Decode(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.rwc.Close() }
