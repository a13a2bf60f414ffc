package logline

import (
	"bytes"
	"encoding/json"
	"fmt"
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
	l := New(s, nil)
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
	l := New(&out, nil)
	now := time.Now()
	for range 10 * burstLines {
		l.enqueue(now, []byte("line\n"))
	}
	l.enqueue(now.Add(time.Second), []byte("later\n"))
	l.Close(5 * time.Second)
	assert.Assert(t, strings.Count(out.String(), "\n") <= burstLines+2)
	assert.Assert(t, strings.Contains(out.String(), `"lines":54000`))
}

const (
	usual = `{"@message":"usual"}` + "\n"
	rare  = `{"@message":"rare"}` + "\n" // a repetition has no end of line after it
)

func isRare(message string) bool { return strings.HasPrefix(message, "rare") }

// feed queues lines slowly enough that none is over a limit, and returns the time
// of the last one.
func feed(l *Writer, now time.Time, n int, line string) time.Time {
	for range n {
		for len(l.lines) > queueLines/2 {
			time.Sleep(time.Millisecond)
		}
		now = now.Add(time.Millisecond)
		l.enqueue(now, []byte(line))
	}
	return now
}

// A collector may keep only both ends of the output of a process that was killed.
func TestBothEndsOfOutputTellOfItsMiddle(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, isRare)
	now := feed(l, time.Now(), 10_000, usual)
	feed(l, feed(l, now, 1, rare), 9_999, usual)
	l.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	for killed := range repeatLines { // so many lines before the end
		all := lines[:len(lines)-killed]
		ends := strings.Join(append(all[:1000:1000], all[len(all)-1000:]...), "\n")
		assert.Assert(t, strings.Contains(ends, `"lines":[{"@message":"rare"}]}`), "%d lines", len(all))
	}
	assert.Equal(t, strings.Count(out.String(), "usual"), 19_999)
	assert.Assert(t, len(lines) <= 20_000+10_000/(repeatLines-2)+1, len(lines))
}

func TestFloodDropsNoRareLine(t *testing.T) {
	s := &blockedWriter{unblock: make(chan struct{})}
	l := New(s, isRare)
	now := time.Now()
	for i := range 40 * rareBurstLines { // over the rate, then over the queue
		now = now.Add(100 * time.Microsecond)
		l.enqueue(now, []byte(usual))
		if i%40 == 0 {
			l.enqueue(now, []byte(rare))
		}
	}
	close(s.unblock)
	l.Close(time.Minute)
	assert.Equal(t, strings.Count(s.got.String(), rare), rareBurstLines)
	assert.Assert(t, strings.Contains(s.got.String(), "log lines dropped"))
}

func TestRareMessagesDoNotDropEachOther(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, isRare)
	now := time.Now()
	for range 2 * burstLines {
		l.enqueue(now, []byte(`{"@message":"rare flood"}`+"\n"))
	}
	l.enqueue(now, []byte(rare))
	l.Close(time.Minute)
	assert.Assert(t, strings.Contains(out.String(), rare))
	assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf(`"lines":%d}`, burstLines-rareBurstLines)))
}

// Rare lines over all bounds, with a reader that stands still, are dropped and
// counted, and nothing blocks.
func TestVolumeOfRareLinesIsBounded(t *testing.T) {
	s := &blockedWriter{unblock: make(chan struct{})}
	l := New(s, isRare)
	now, n := time.Now(), 2*cap(l.lines)
	for i := range n {
		l.enqueue(now.Add(time.Duration(i)*20*time.Millisecond), []byte(rare))
	}
	close(s.unblock)
	l.Close(time.Minute)
	written := strings.Count(s.got.String(), rare)
	assert.Assert(t, written <= queueLines+rareQueueLines+1, written)
	assert.Assert(t, strings.Contains(s.got.String(), fmt.Sprintf(`"lines":%d}`, n-written)))
}

func TestKeptLinesAreBounded(t *testing.T) {
	var k kept
	k.add("claimed", []byte(`{"@message":"claimed"}`+"\n"))
	k.add("broken", []byte(`{"@message":"broken`))
	k.add("many fields", []byte(`{"fields":[`+strings.Repeat("1,", keptBytes)+`1]}`))
	for i := range 3 * keptLines {
		k.add("lost", fmt.Appendf(nil, `{"@message":"lost","n":%d,"task":%q,"why":"short"}`, i, strings.Repeat("é,", i*2)))
		assert.Assert(t, len(k.lines) <= keptLines && len(k.join()) <= keptBytes+len(k.lines))
	}
	var got []map[string]any
	assert.NilError(t, json.Unmarshal(append(append([]byte("["), k.join()...), ']'), &got))
	assert.Equal(t, got[0]["@message"], "claimed") // the others do not displace it
	last := got[len(got)-1]
	assert.Equal(t, fmt.Sprint(last["n"], last["why"]), fmt.Sprint(3*keptLines-1, "short"))
	task, _ := last["task"].(string)
	assert.Assert(t, strings.HasPrefix(task, "é,é,") && strings.HasSuffix(task, "…"), task)
}
