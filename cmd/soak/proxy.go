package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the connections through it.
type mode int

// The modes.
const (
	open    mode = iota
	slow         // every piece is late
	refuse       // new connections are reset, open ones too
	silent       // nothing gets through either way, and nobody is told
	oneWay       // requests get through, answers do not
	stalled      // connections that are open now stay silent for good, new ones work
	modes
)

var modeNames = [modes]string{"open", "slow", "refuse", "silent", "one way", "stalled"}

// delay is how late a slow proxy is, with each piece that it passes on.
const delay = 120 * time.Millisecond

// proxy passes connections on over loopback, and harms them as told.
type proxy struct {
	l  net.Listener
	to string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]net.Conn // caller to peer
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{l: l, to: to, conns: map[net.Conn]net.Conn{}}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.l.Addr().String() }

func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == refuse {
		p.resetAll()
	}
}

// crash resets all connections, with what is still under way in them.
func (p *proxy) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resetAll()
}

func (p *proxy) resetAll() {
	for c, d := range p.conns {
		reset(c)
		reset(d)
	}
}

func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes a connection so that the peer sees it fail.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the close that follows matters
	}
	_ = c.Close()
}

func (p *proxy) serve() {
	for {
		c, err := p.l.Accept()
		if err != nil {
			return
		}
		if p.now() == refuse {
			reset(c)
			continue
		}
		go p.join(c, p.now() == stalled)
	}
}

// join passes on between a caller and its peer. fresh connections are not
// harmed by a stall that began before them.
func (p *proxy) join(c net.Conn, fresh bool) {
	d, err := net.Dial("tcp", p.to)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c] = d
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.pass(d, c, fresh, false) }()
	go func() { defer wg.Done(); p.pass(c, d, fresh, true) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pass copies from src to dst until either ends. back is the way of answers.
func (p *proxy) pass(dst, src net.Conn, fresh, back bool) {
	defer func() { _, _ = dst.Close(), src.Close() }()
	buf := make([]byte, 32<<10)
	stuck := false
	for {
		n, err := src.Read(buf)
		m := p.now()
		stuck = stuck || m == stalled && !fresh || m == silent || m == oneWay && back
		if m == slow {
			time.Sleep(delay)
		}
		if n > 0 && !stuck {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && stuck {
				time.Sleep(time.Second)
			}
			return
		}
	}
}
