// Package logline writes log lines asynchronously and limits their rate. Lines
// over the limit are dropped, and their number is written as a line of its own.
// Rare lines have limits of their own and are repeated, so that they outlive a
// flood of other lines and a reader that keeps only part of the output.
package logline

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

// Limits on queue length and rate. Rare lines over theirs count as ordinary ones.
const (
	queueLines         = 8192 // lines that wait for the output
	linesPerSecond     = 3000 // sustained rate
	burstLines         = 6000 // size of the token bucket
	rareQueueLines     = 1024 // rare lines that wait for the output beyond queueLines
	rareLinesPerSecond = 50   // sustained rate of the lines of one rare message
	rareBurstLines     = 500  // size of the token bucket of one rare message
	ownQueueLines      = 3    // a repetition after the last rare line, and what Close writes
)

// repeatLines is the length of output that always has a repetition of the kept
// lines, wherever it begins.
const repeatLines = 1000

// Writer forwards lines to another writer from a goroutine. Use New to create one.
type Writer struct {
	lines chan []byte
	done  chan struct{}
	rare  func(message string) bool

	mu          sync.Mutex
	bucket      bucket
	rareBuckets map[string]*bucket // by message
	kept        kept
	sinceRepeat int // lines queued since the last repetition
	dropped     int
	closed      bool
}

// New returns a writer that forwards lines to w. It asks rare, unless that is nil,
// whether lines of a message are rare. The number of rare messages must be bounded.
func New(w io.Writer, rare func(message string) bool) *Writer {
	l := &Writer{
		lines:       make(chan []byte, queueLines+rareQueueLines+ownQueueLines),
		done:        make(chan struct{}),
		rare:        rare,
		bucket:      bucket{perSecond: linesPerSecond, burst: burstLines, tokens: burstLines},
		rareBuckets: map[string]*bucket{},
	}
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
	message := messageOf(b)
	rare := l.rare != nil && message != "" && l.rare(message)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	if rare {
		l.kept.add(message, b) // also if it is dropped now
	}
	if !(rare && l.admitRare(now, message)) && !l.admit(now) {
		l.dropped++
		return
	}
	if len(l.lines) < queueLines {
		l.reportDropped(now)
	}
	l.send(bytes.Clone(b))
	if l.sinceRepeat+2 >= repeatLines { // the next call may send two lines
		l.repeat(now)
	}
}

// admit reports whether a line is within the limits.
func (l *Writer) admit(now time.Time) bool {
	return len(l.lines) < queueLines-1 && l.bucket.take(now)
}

// admitRare reports whether a rare line is within the limits on these.
func (l *Writer) admitRare(now time.Time, message string) bool {
	b := l.rareBuckets[message]
	if b == nil {
		b = &bucket{perSecond: rareLinesPerSecond, burst: rareBurstLines, tokens: rareBurstLines}
		l.rareBuckets[message] = b
	}
	return len(l.lines) < queueLines+rareQueueLines && b.take(now)
}

// send queues a line. There must be room for it.
func (l *Writer) send(b []byte) {
	l.lines <- b
	l.sinceRepeat++
}

func (l *Writer) reportDropped(now time.Time) {
	if l.dropped == 0 {
		return
	}
	l.send(fmt.Appendf(nil, "{\"@level\":\"warn\",\"@message\":\"log lines dropped\",\"@timestamp\":%q,\"lines\":%d}\n", now.Format(time.RFC3339Nano), l.dropped))
	l.dropped = 0
}

// repeat queues the kept lines again, as one line.
func (l *Writer) repeat(now time.Time) {
	if len(l.kept.lines) > 0 {
		l.send(fmt.Appendf(nil, "{\"@level\":\"info\",\"@message\":\"earlier lines\",\"@timestamp\":%q,\"lines\":[%s]}\n", now.Format(time.RFC3339Nano), l.kept.join()))
	}
	l.sinceRepeat = 0
}

// Close stops accepting lines, repeats the kept ones and waits until all are
// written, for at most limit.
func (l *Writer) Close(limit time.Duration) {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.closed = true
	now := time.Now()
	l.reportDropped(now)
	l.repeat(now)
	close(l.lines)
	l.mu.Unlock()
	select {
	case <-l.done:
	case <-time.After(limit):
	}
}

// messageOf returns the message of a line, or "" if it has none. Quotes within
// values are escaped, so that only the key itself matches.
func messageOf(b []byte) string {
	_, rest, _ := bytes.Cut(b, []byte(`"@message":"`))
	message, _, _ := bytes.Cut(rest, []byte(`"`))
	return string(message)
}

// bucket is a token bucket.
type bucket struct {
	perSecond, burst float64
	tokens           float64
	refilled         time.Time
}

// take takes a token if there is one.
func (b *bucket) take(now time.Time) bool {
	b.tokens = min(b.burst, b.tokens+b.perSecond*now.Sub(b.refilled).Seconds())
	b.refilled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
