package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is the fault that a proxy injects into its connections.
type proxyMode int

// The proxy modes.
const (
	passThrough proxyMode = iota
	slow                  // every chunk is delayed
	refuse                // established and new connections are reset
	silent                // data is dropped in both directions while connections stay open
	oneWay                // requests pass, responses are dropped
	stalled               // established connections drop all data until they close, new ones work
	modeCount
)

var modeNames = [modeCount]string{"open", "slow", "refuse", "silent", "one way", "stalled"}

// slowDelay is added to each chunk that a slow proxy forwards.
const slowDelay = 120 * time.Millisecond

// proxy forwards TCP connections over loopback and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]net.Conn // client connection to target connection
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

// resetConns resets all connections and discards data in flight.
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

// reset closes a connection with a TCP RST, so that the peer sees an error.
func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // the connection is closed below in any case
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

// relay forwards data between a client and the target. A connection that was
// opened during a stall is exempt from the stalled mode.
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

// copyDirection copies from src to dst until either closes. isResponse marks the
// direction from the target to the client. Once a fault has dropped data, all
// later data in that direction is dropped too.
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
