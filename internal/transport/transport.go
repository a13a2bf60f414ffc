// Package transport provides the HTTP clients that entries use for outgoing calls.
//
// Every client has its own connection pool, so that an unresponsive peer cannot
// use up the connections of another. The library's circuit breaker is disabled:
// it would answer in place of the peer, and only the peer can tell whether a
// request ran.
package transport

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/breaker"
	"github.com/zeromicro/go-zero/rest/httpc"
)

// Connection timeouts.
const (
	dialTimeout = time.Second
	idleTimeout = 20 * time.Second // shorter than the idle timeout of peers, so that a request rarely races with a close by the peer
)

// Dial opens a connection. A nil Dial means a plain TCP dialer.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// DialFrom returns a Dial whose connections have ip as their local address, so
// that peers can tell which VM is calling. If ip is not an IP address, the system
// selects the local address.
func DialFrom(ip string) Dial {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	if a := net.ParseIP(ip); a != nil {
		d.LocalAddr = &net.TCPAddr{IP: a}
	}
	return d.DialContext
}

// Client returns an HTTP client with at most conns connections per host. It does
// not follow redirects.
func Client(dial Dial, conns int) *http.Client {
	if dial == nil {
		dial = DialFrom("")
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dial,
			MaxConnsPerHost:     conns,
			MaxIdleConnsPerHost: conns,
			IdleConnTimeout:     idleTimeout,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Service returns the go-zero service for a new Client, without circuit breaker.
func Service(name string, dial Dial, conns int) httpc.Service {
	return Wrap(name, Client(dial, conns))
}

// Wrap returns a go-zero service that uses cli, without circuit breaker.
func Wrap(name string, cli *http.Client) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, cli)
}

// IsDialError reports whether err means that no connection could be opened, so
// that the peer never received the call.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
