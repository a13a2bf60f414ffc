// Package logline writes log lines without ever making their writer wait, and
// no more of them than a budget allows. What is left out is counted, and the
// count is written as a line of its own.
package logline

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Bounds on the volume.
const (
	queued    = 8192 // lines that wait for the reader
	perSecond = 3000 // lines, on average
	burst     = 6000 // lines at once
)

// Writer passes lines on to another writer. Use New.
type Writer struct {
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	tokens  float64
	at      time.Time
	dropped int
	closed  bool
}

// New returns a writer that passes lines on to w.
func New(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, queued), done: make(chan struct{}), tokens: burst}
	go l.pass(w)
	return l
}

func (l *Writer) pass(w io.Writer) {
	defer close(l.done)
	for b := range l.lines {
		_, _ = w.Write(b) // there is nowhere to tell that the log is broken
	}
}

// Write takes one line, or drops it. It never waits and never fails.
func (l *Writer) Write(b []byte) (int, error) {
	l.put(time.Now(), b)
	return len(b), nil
}

func (l *Writer) put(now time.Time, b []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.tokens = min(burst, l.tokens+perSecond*now.Sub(l.at).Seconds())
	l.at = now
	if l.tokens < 1 || len(l.lines) >= queued-1 {
		l.dropped++
		return
	}
	if l.dropped > 0 {
		l.lines <- fmt.Appendf(nil, "{\"@level\":\"warn\",\"@message\":\"dropped\",\"@timestamp\":%q,\"lines\":%d}\n", now.Format(time.RFC3339Nano), l.dropped)
		l.dropped = 0
	}
	l.tokens--
	l.lines <- append([]byte(nil), b...)
}

// Close passes on what is queued, for at most limit.
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
