// Package transport makes the HTTP clients with which entries call out.
//
// Every client has its own connections, so that one silent peer cannot use up
// another's, and none has the library's circuit breaker: a breaker answers in
// the peer's name, and whether a request ran must come from the peer alone.
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

// Bounds on connections.
const (
	dialTimeout = time.Second
	idleTimeout = 20 * time.Second // shorter than what peers allow, so that an idle close races rarely
)

// Dial opens a connection; nil means a plain TCP dialler.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// From returns a dialler whose connections leave from the IP number ip, so
// that a peer sees which VM calls.
func DialFrom(ip string) Dial {
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: idleTimeout}
	if a := net.ParseIP(ip); a != nil {
		d.LocalAddr = &net.TCPAddr{IP: a}
	}
	return d.DialContext
}

// Client returns an HTTP client with at most conns connections a peer.
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

// Service wraps such a client for the peer of that name, without a breaker.
func Service(name string, dial Dial, conns int) httpc.Service {
	return Wrap(name, Client(dial, conns))
}

// Wrap makes a library service of cli, without a breaker.
func Wrap(name string, cli *http.Client) httpc.Service {
	breaker.NoBreakerFor(name)
	return httpc.NewServiceWithClient(name, cli)
}

// NotDialled says that a call failed because no connection could be opened, so
// that the peer never saw it.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
