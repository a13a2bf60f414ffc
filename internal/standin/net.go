package standin

import (
	"context"
	"net"
	"strings"
	"sync"
	"time"

	"jasminestep/internal/transport"
)

// Network simulates partitions between VMs that run in one process. A partition
// makes open connections permanently unresponsive without closing them, as when
// a device on the path has lost their state, and keeps new ones from opening.
// After Heal new connections work; the old ones stay unresponsive.
type Network struct {
	mu       sync.Mutex
	cuts     [][2]string // pairs of IP address prefixes that cannot reach each other
	conns    map[*faultConn]bool
	endDelay time.Duration
}

type faultConn struct {
	net.Conn
	net      *Network
	from, to string
	once     sync.Once
	silenced chan struct{} // closed when the connection becomes unresponsive
}

// Dial returns a dialer for the VM at ip that is subject to the partitions.
func (n *Network) Dial(ip string) transport.Dial {
	plain := transport.DialFrom(ip)
	return func(ctx context.Context, network, to string) (net.Conn, error) {
		if n.isCut(ip, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		c, err := plain(ctx, network, to)
		if err != nil {
			return nil, err
		}
		p := &faultConn{Conn: c, net: n, from: ip, to: to, silenced: make(chan struct{})}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.conns == nil {
			n.conns = map[*faultConn]bool{}
		}
		n.conns[p] = true
		return p, nil
	}
}

func separates(cut [2]string, a, b string) bool {
	return strings.HasPrefix(a, cut[0]) && strings.HasPrefix(b, cut[1]) ||
		strings.HasPrefix(a, cut[1]) && strings.HasPrefix(b, cut[0])
}

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.cuts {
		if separates(c, a, b) {
			return true
		}
	}
	return false
}

// Cut partitions VMs whose IP addresses begin with a from those with b.
func (n *Network) Cut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	cut := [2]string{a, b}
	n.cuts = append(n.cuts, cut)
	for p := range n.conns {
		if separates(cut, p.from, p.to) {
			p.silence()
			delete(n.conns, p)
		}
	}
}

// Silence makes every open connection to addr unresponsive.
func (n *Network) Silence(addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p := range n.conns {
		if strings.HasPrefix(p.to, addr) {
			p.silence()
			delete(n.conns, p)
		}
	}
}

// DelayEnds makes the ends of connections that the other side closes be noticed
// by d later, as by a process that does not get the CPU.
func (n *Network) DelayEnds(d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.endDelay = d
}

// Heal ends all partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts = nil
}

func (p *faultConn) silence() { p.once.Do(func() { close(p.silenced) }) }

func (p *faultConn) silent() bool {
	select {
	case <-p.silenced:
		return true
	default:
		return false
	}
}

// Read discards what arrives once the connection is unresponsive, and blocks until
// it is closed.
func (p *faultConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	for err == nil && p.silent() {
		// Data that arrives after the connection became unresponsive is lost.
		n, err = p.Conn.Read(b)
	}
	if err != nil {
		p.awaitEndDelay()
	}
	return n, err
}

// awaitEndDelay waits until the end of the connection is to be noticed or this
// side closes the connection.
func (p *faultConn) awaitEndDelay() {
	p.net.mu.Lock()
	d := p.net.endDelay
	p.net.mu.Unlock()
	select {
	case <-time.After(d):
	case <-p.silenced:
	}
}

// Write discards b once the connection is unresponsive.
func (p *faultConn) Write(b []byte) (int, error) {
	if p.silent() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

// Close closes the connection and removes it from the network.
func (p *faultConn) Close() error {
	p.net.mu.Lock()
	delete(p.net.conns, p)
	p.net.mu.Unlock()
	p.silence()
	return p.Conn.Close()
}
