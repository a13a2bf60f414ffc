package logline

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// blockedWriter is an output whose writes block until unblock is closed.
type blockedWriter struct {
	unblock chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (s *blockedWriter) Write(b []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	s := &blockedWriter{unblock: make(chan struct{})}
	l := New(s)
	began := time.Now()
	now := began
	for range 3 * queueLines {
		now = now.Add(time.Millisecond) // below the rate limit, so that only the full queue drops lines
		l.enqueue(now, []byte("line\n"))
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	close(s.unblock)
	for len(l.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	l.enqueue(now, []byte("last\n"))
	l.Close(5 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(s.got.String()), "\n")
	assert.Equal(t, lines[len(lines)-1], "last")
	assert.Assert(t, strings.Contains(lines[len(lines)-2], `"log lines dropped"`), lines[len(lines)-2])
}

func TestVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	l := New(&out)
	now := time.Now()
	for range 10 * burstLines {
		l.enqueue(now, []byte("line\n"))
	}
	l.enqueue(now.Add(time.Second), []byte("later\n"))
	l.Close(5 * time.Second)
	assert.Assert(t, strings.Count(out.String(), "\n") <= burstLines+2)
	assert.Assert(t, strings.Contains(out.String(), `"lines":54000`))
}
