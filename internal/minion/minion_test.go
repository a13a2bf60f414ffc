package minion

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"
	"gotest.tools/v3/assert"
)

// raw answers every connection with what reply returns for the request id.
func raw(t *testing.T, reply func(id string, n int) string) (addr string, reads *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	reads = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				for {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					n := reads.Add(1)
					s := reply(req.Header.Get(HeaderRequest), int(n))
					if s == "" {
						return
					}
					_, _ = io.WriteString(c, s)
				}
			}()
		}
	}()
	return l.Addr().String(), reads
}

func answer(id, body string, length int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", HeaderRequest, id, length, body)
}

func do(addr string, limit time.Duration) (*Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	return New(nil, 1000).Do(ctx, addr, &Request{ID: "r1", Member: "m", Method: http.MethodPost, Path: "/work", Body: []byte("x")})
}

func TestWholeAnswersOnly(t *testing.T) {
	for name, c := range map[string]struct {
		reply string
		want  error
	}{
		"whole":       {answer("r1", "hello", 5), nil},
		"crossed":     {answer("r2", "hello", 5), ErrIncomplete},
		"half":        {answer("r1", "hel", 500) + strings.Repeat("x", 10), ErrIncomplete},
		"no length":   {"HTTP/1.1 200 OK\r\n" + HeaderRequest + ": r1\r\nConnection: close\r\n\r\nhello", ErrIncomplete},
		"too large":   {answer("r1", strings.Repeat("x", 1001), 1001), ErrIncomplete},
		"no id":       {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", ErrIncomplete},
		"nothing":     {"", ErrIncomplete},
		"no HTTP":     {"hello\r\n\r\n", ErrIncomplete},
		"refused":     {"HTTP/1.1 503 x\r\n" + HeaderRequest + ": r1\r\n" + HeaderRefused + ": true\r\nContent-Length: 0\r\n\r\n", ErrRefused},
		"plain 503":   {"HTTP/1.1 503 x\r\n" + HeaderRequest + ": r1\r\nContent-Length: 0\r\n\r\n", nil},
		"long header": {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n\r\n", ErrIncomplete},
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := raw(t, func(string, int) string { return c.reply })
			_, err := do(addr, 300*time.Millisecond)
			if c.want == nil {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.Is(err, c.want))
			if c.want != ErrNotSent {
				assert.Assert(t, !errors.Is(err, ErrNotSent), "it reached the minion")
			}
		})
	}
}

func TestNoConnectionIsUnrun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	addr := l.Addr().String()
	_ = l.Close()
	_, err = do(addr, time.Second)
	assert.Assert(t, errors.Is(err, ErrNotSent))
}

// The library must not send a request a second time by itself when a kept
// connection turns out to be closed.
func TestNeverSentTwice(t *testing.T) {
	addr, reads := raw(t, func(id string, n int) string {
		if n == 1 {
			return answer(id, "ok", 2)
		}
		return "" // closes the kept connection without an answer
	})
	c := New(nil, 1000)
	req := func() error {
		_, err := c.Do(context.Background(), addr, &Request{ID: "r1", Method: http.MethodPost, Path: "/", Body: []byte("x")})
		return err
	}
	assert.NilError(t, req())
	assert.Assert(t, errors.Is(req(), ErrIncomplete))
	assert.Equal(t, reads.Load(), int64(2))
}

func TestMain(m *testing.M) {
	logx.Disable()
	os.Exit(m.Run())
}
