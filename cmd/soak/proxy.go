package main

import (
	"io"
	"maps"
	"net"
	"regexp"
	"slices"
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
	holding               // requests are kept until release, responses pass
	modeCount
)

var modeNames = [modeCount]string{"open", "slow", "refuse", "silent", "one way", "stalled", "held"}

// slowDelay is added to each chunk that a slow proxy forwards.
const slowDelay = 120 * time.Millisecond

// deliverTimeout bounds the delivery of a request that was kept.
const deliverTimeout = 3 * time.Second

// proxy forwards TCP connections over loopback and injects faults into them.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[net.Conn]net.Conn // client connection to target connection
	held  map[net.Conn][]byte   // requests that are kept, by client connection

	trigger *regexp.Regexp // a request that matches changes the mode to holding; nil: none does
}

func newProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: to, conns: map[net.Conn]net.Conn{}, held: map[net.Conn][]byte{}}
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

// hold keeps data of a client if the proxy holds requests, or has held one of this
// connection that is not released.
func (p *proxy) hold(c net.Conn, b []byte) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.trigger != nil && p.trigger.Match(b) {
		p.mode, p.trigger = holding, nil
	}
	if _, ok := p.held[c]; !ok && p.mode != holding {
		return false
	}
	p.held[c] = append(p.held[c], b...)
	return true
}

// holdFrom changes to the holding mode with the next request that matches; at once
// if trigger is nil.
func (p *proxy) holdFrom(trigger *regexp.Regexp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trigger = trigger
	if trigger == nil {
		p.mode = holding
	}
}

// holds reports whether a request that matches is kept; true if kind is nil.
func (p *proxy) holds(kind *regexp.Regexp) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return kind == nil || slices.ContainsFunc(slices.Collect(maps.Values(p.held)), kind.Match)
}

// release changes from the holding mode to another one and delivers the requests that
// were kept, each on a connection of its own after a delay. Their clients get no response.
func (p *proxy) release(m proxyMode, delay func() time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode, p.trigger = m, nil
	for c, b := range p.held {
		reset(c)
		if len(b) > 0 {
			time.AfterFunc(delay(), func() { p.deliver(b) })
		}
	}
	clear(p.held)
}

// deliver sends a request to the target and discards the response.
func (p *proxy) deliver(b []byte) {
	end := time.Now().Add(deliverTimeout)
	d, err := net.Dial("tcp", p.target)
	for ; err != nil; d, err = net.Dial("tcp", p.target) {
		if time.Now().After(end) {
			return
		}
		time.Sleep(5 * time.Millisecond) // the target has not come back yet
	}
	defer func() { _ = d.Close() }()
	_ = d.SetDeadline(end) // an error shows in what follows
	if _, err = d.Write(b); err == nil {
		_, _ = io.Copy(io.Discard, d) // ends with the deadline, as the connection stays open
	}
}

// holdAll keeps what a client sends on a connection without a target.
func (p *proxy) holdAll(c net.Conn) {
	defer func() { _ = c.Close() }()
	buf := make([]byte, 32<<10)
	for {
		n, err := c.Read(buf)
		if n > 0 && !p.hold(c, buf[:n]) || err != nil {
			return
		}
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
		if p.currentMode() == holding {
			go p.holdAll(c)
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
		if n > 0 && !blocked && (isResponse || !p.hold(src, buf[:n])) {
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
