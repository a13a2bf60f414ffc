package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to the connections through it.
type proxyMode int

// The modes.
const (
	passThrough proxyMode = iota
	slow                  // every piece is late
	refuse                // new connections are reset, open ones too
	silent                // nothing gets through either way, and nobody is told
	oneWay                // requests get through, answers do not
	stalled               // connections that are open now stay silent for good, new ones work
	modeCount
)

var modeNames = [modeCount]string{"open", "slow", "refuse", "silent", "one way", "stalled"}

// delay is how late a slow proxy is, with each piece that it passes on.
const slowDelay = 120 * time.Millisecond

// proxy passes connections on over loopback, and harms them as told.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]net.Conn // caller to peer
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: to, conns: map[net.Conn]net.Conn{}}
	go p.serve()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == refuse {
		p.resetAll()
	}
}

// crash resets all connections, with what is still under way in them.
func (p *proxy) resetConns() {
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

func (p *proxy) currentMode() proxyMode {
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
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == refuse {
			reset(c)
			continue
		}
		go p.relay(c, p.currentMode() == stalled)
	}
}

// join passes on between a caller and its peer. fresh connections are not
// harmed by a stall that began before them.
func (p *proxy) relay(c net.Conn, openedInStall bool) {
	d, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c] = d
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); p.copyDirection(d, c, openedInStall, false) }()
	go func() { defer wg.Done(); p.copyDirection(c, d, openedInStall, true) }()
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// pass copies from src to dst until either ends. back is the way of answers.
func (p *proxy) copyDirection(dst, src net.Conn, openedInStall, isResponse bool) {
	defer func() { _, _ = dst.Close(), src.Close() }()
	buf := make([]byte, 32<<10)
	blocked := false
	for {
		n, err := src.Read(buf)
		m := p.currentMode()
		blocked = blocked || m == stalled && !openedInStall || m == silent || m == oneWay && isResponse
		if m == slow {
			time.Sleep(slowDelay)
		}
		if n > 0 && !blocked {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if err == io.EOF && blocked {
				time.Sleep(time.Second)
			}
			return
		}
	}
}
