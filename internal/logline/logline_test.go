package logline

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// still is a reader that stands still until it is let go.
type still struct {
	gate chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *still) Write(b []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(b)
}

func TestReaderThatStandsStillHoldsNobodyUp(t *testing.T) {
	s := &still{gate: make(chan struct{})}
	l := New(s)
	began := time.Now()
	now := began
	for range 3 * queued {
		now = now.Add(time.Millisecond) // slow enough for the budget
		l.put(now, []byte("line\n"))
	}
	assert.Assert(t, time.Since(began) < 5*time.Second)
	close(s.gate)
	for len(l.lines) > 0 {
		time.Sleep(time.Millisecond)
	}
	l.put(now, []byte("last\n"))
	l.Close(5 * time.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := strings.Split(strings.TrimSpace(s.got.String()), "\n")
	assert.Equal(t, lines[len(lines)-1], "last")
	assert.Assert(t, strings.Contains(lines[len(lines)-2], `"dropped"`), lines[len(lines)-2])
}

func TestVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	l := New(&out)
	now := time.Now()
	for range 10 * burst {
		l.put(now, []byte("line\n"))
	}
	l.put(now.Add(time.Second), []byte("later\n"))
	l.Close(5 * time.Second)
	assert.Assert(t, strings.Count(out.String(), "\n") <= burst+2)
	assert.Assert(t, strings.Contains(out.String(), `"lines":54000`))
}
