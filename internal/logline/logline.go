// Package logline writes log lines asynchronously and limits their rate. Lines
// over the limit are dropped, and their number is written as a line of its own.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits on queue length and rate.
const (
	queueLines     = 8192 // lines that wait for the output
	linesPerSecond = 3000 // sustained rate
	burstLines     = 6000 // size of the token bucket
)

// Writer forwards lines to another writer from a goroutine. Use New to create one.
type Writer struct {
	lines chan []byte
	done  chan struct{}

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
	dropped  int
	closed   bool
}

// New returns a writer that forwards lines to w.
func New(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, queueLines), done: make(chan struct{}), tokens: burstLines}
	go l.forward(w)
	return l
}

func (l *Writer) forward(w io.Writer) {
	defer close(l.done)
	for b := range l.lines {
		_, _ = w.Write(b) // there is nowhere left to report a failed log
	}
}

// Write queues one line, or drops it. It neither blocks on the output nor fails.
func (l *Writer) Write(b []byte) (int, error) {
	l.enqueue(time.Now(), b)
	return len(b), nil
}

func (l *Writer) enqueue(now time.Time, b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.tokens = min(burstLines, l.tokens+linesPerSecond*now.Sub(l.refilled).Seconds())
	l.refilled = now
	if l.tokens < 1 || len(l.lines) >= queueLines-1 {
		l.dropped++
		return
	}
	if l.dropped > 0 {
		l.lines <- fmt.Appendf(nil, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"@timestamp\":%q,\"lines\":%d}\n", now.Format(time.RFC3339Nano), l.dropped)
		l.dropped = 0
	}
	l.tokens--
	l.lines <- append([]byte(nil), b...)
}

// Close stops accepting lines and waits until the queued ones are written, for at
// most limit.
func (l *Writer) Close(limit time.Duration) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	close(l.lines)
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}
