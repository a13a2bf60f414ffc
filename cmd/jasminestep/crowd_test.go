//go:build crowd

package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/loopback"
	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
	"jasminestep/platform/standin"
)

// These tests send crowds of clients that do not behave to one of two entries,
// which run as processes of their own with little memory in their settings. They
// check what does not depend on the speed of the machine: that the process goes
// on, that its memory and open files stay within bounds, that work which is handed
// in at the other entry runs, and that the entry answers an ordinary request
// afterwards. Run them alone: go test -tags crowd -run Crowd ./cmd/jasminestep

// Settings of the entries, and the crowds, which exceed them several times over.
const (
	crowdMemoryMB  = 96
	crowdFiles     = 400
	memoryShare    = 0.8 // of the memory in the settings, that a process may take
	stalledClients = 360
	idleClients    = 900
	bodyLimit      = 262144 // bytes, in the configuration
	emptyParts     = 87_000 // in a body below the limit
	partClients    = 24
	pipelining     = 100    // clients
	requestsAhead  = 16_000 // of each of them
	holdTime       = 2500 * time.Millisecond
	ordinaryTries  = 20
	ordinaryPause  = 500 * time.Millisecond
	jobsMeanwhile  = 5
)

// crowdSite is a store, minions and two entries.
type crowdSite struct {
	t       *testing.T
	store   *tabletest.Store
	ledger  *standin.Ledger
	entries [2]*crowdEntry
}

// crowdEntry is an entry process.
type crowdEntry struct {
	client, ready, metrics string // addresses
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

// buildProgram returns the path of the program under test.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "crowd")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "jasminestep")
	out, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return file, nil
})

func serveHTTP(t *testing.T, h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() { _ = http.Serve(l, h) }() // ends with the listener
	return l.Addr().String()
}

func newCrowdSite(t *testing.T) *crowdSite {
	s := &crowdSite{t: t, store: &tabletest.Store{}, ledger: standin.NewLedger(1)}
	store := serveHTTP(t, standin.Store{Rows: s.store})
	config := bytes.Replace(standin.Config(1), []byte(`{"version"`), fmt.Appendf(nil, `{"limits":{"maxBodyBytes":%d},"version"`, bodyLimit), 1)
	s.put(standin.ConfigTable, standin.ConfigRow, config)
	var rows []func(n int)
	for i := range 4 {
		m := s.ledger.AddMinion(fmt.Sprintf("i-%08d", i), 4000)
		addr := serveHTTP(t, m)
		rows = append(rows, func(n int) {
			if id, value, up := m.Row(standin.Services[i%len(standin.Services)], addr, n); up {
				s.put(standin.MinionTable, id, value)
			}
		})
	}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() {
		for n := 1; ctx.Err() == nil; n++ {
			for _, write := range rows {
				write(n)
			}
			time.Sleep(400 * time.Millisecond)
		}
	}()
	for i := range s.entries {
		s.entries[i] = s.start(fmt.Sprintf("e%d", i), store)
	}
	for _, e := range s.entries {
		s.ordinary(e)
	}
	return s
}

func (s *crowdSite) put(tab, name string, value []byte) {
	_, err := s.store.Do(context.Background(), table.Tx{Put: []table.Row{{Key: table.Key{Table: tab, Name: name}, Value: value}}})
	assert.Check(s.t, err)
}

func (s *crowdSite) start(name, store string) *crowdEntry {
	program, err := buildProgram()
	assert.NilError(s.t, err)
	e := &crowdEntry{client: loopback.Addr(), ready: loopback.Addr(), metrics: loopback.Addr(), exited: make(chan struct{})}
	file := filepath.Join(s.t.TempDir(), name+".json")
	text := fmt.Sprintf(`{"id": %q, "zone": "z", "caller": %q, "ready": %q, "peer": %q, "admin": %q, "store": %q, "memory": %d, "files": %d}`,
		name, e.client, e.ready, loopback.Addr(), e.metrics, store, crowdMemoryMB, crowdFiles)
	assert.NilError(s.t, os.WriteFile(file, []byte(text), 0o600))
	log, err := os.Create(strings.TrimSuffix(file, ".json") + ".log")
	assert.NilError(s.t, err)
	e.cmd = exec.Command(program, "entry", "--config", file)
	e.cmd.Stdout, e.cmd.Stderr = log, log
	assert.NilError(s.t, e.cmd.Start())
	go func() {
		_ = e.cmd.Wait()
		close(e.exited)
	}()
	s.t.Cleanup(func() {
		_ = e.cmd.Process.Kill()
		<-e.exited
		_ = log.Close()
	})
	return e
}

var jobCount int

// ordinary submits a job as an ordinary client does, which comes back when it is
// told to, and returns its path.
func (s *crowdSite) ordinary(e *crowdEntry) string {
	jobCount++
	path := standin.Prefix(standin.Services[jobCount%2]) + fmt.Sprintf("%016x", jobCount)
	status := 0
	for range ordinaryTries {
		status, _ = e.call(http.MethodPost, path, standin.Job{Steps: 1, Tasks: 2, Millis: 500, CPU: 100}.JSON())
		if status == http.StatusOK {
			return path
		}
		time.Sleep(ordinaryPause)
	}
	s.t.Fatalf("an ordinary request got %d in the last of %d tries", status, ordinaryTries)
	return ""
}

// call makes a request on a connection of its own. Status 0 means that there was no
// answer.
func (e *crowdEntry) call(method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.client+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	r.Host, r.Close = standin.Host, true
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	b, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(b)
}

// peakMemory is the most memory that the process has had resident, in bytes.
func (e *crowdEntry) peakMemory(t *testing.T) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.cmd.Process.Pid))
	assert.NilError(t, err)
	for _, l := range strings.Split(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(v, "kB")), 10, 64)
			assert.NilError(t, err)
			return n << 10
		}
	}
	t.Fatal("no VmHWM")
	return 0
}

// openFiles is the number of descriptors that the process has open.
func (e *crowdEntry) openFiles() int {
	d, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	return len(d)
}

// client is what one client of a crowd does with its connection, which is closed
// when ctx ends.
type client func(ctx context.Context, c net.Conn, target string)

// crowd sends n clients to an address, and returns once ctx has ended and all of
// them have left.
func crowd(ctx context.Context, n int, addr, target string, do client) {
	var wg sync.WaitGroup
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil { // a client that is sent away comes again
				c, err := net.DialTimeout("tcp", addr, time.Second)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				stop := context.AfterFunc(ctx, func() { _ = c.Close() })
				do(ctx, c, target)
				stop()
				_ = c.Close()
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	wg.Wait()
}

// untilClosed reads until the connection or ctx ends.
func untilClosed(c net.Conn) { _, _ = io.Copy(io.Discard, c) }

func head(method, target, fields string) string {
	return method + " " + target + " HTTP/1.1\r\nHost: " + standin.Host + "\r\nStep-Member: coastal\r\nContent-Type: application/json\r\n" + fields + "\r\n"
}

// stalled sends a body of legal size in pieces, but for its last byte.
func stalled(piece int) client {
	return func(_ context.Context, c net.Conn, target string) {
		body := []byte(`{"spec":"` + strings.Repeat("x", bodyLimit-20))
		_, _ = io.WriteString(c, head(http.MethodPost, target, fmt.Sprintf("Content-Length: %d\r\n", len(body)+1)))
		for len(body) > 0 {
			n, err := c.Write(body[:min(piece, len(body))])
			if err != nil {
				break
			}
			body = body[n:]
		}
		untilClosed(c)
	}
}

// stalledChunks is stalled with a chunked body.
func stalledChunks(_ context.Context, c net.Conn, target string) {
	const chunk = 1000
	_, _ = io.WriteString(c, head(http.MethodPost, target, "Transfer-Encoding: chunked\r\n"))
	text := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat(" ", chunk))
	w := bufio.NewWriterSize(c, 16<<10)
	for range bodyLimit/chunk - 1 {
		if _, err := w.WriteString(text); err != nil {
			break
		}
	}
	_ = w.Flush()
	untilClosed(c)
}

// oversized sends a body far over the limit.
func oversized(fields, before, piece, after string) client {
	return func(_ context.Context, c net.Conn, target string) {
		go untilClosed(c)
		_, _ = io.WriteString(c, head(http.MethodPost, target, fields))
		for range 16 << 20 / len(piece) {
			if _, err := io.WriteString(c, before+piece+after); err != nil {
				return
			}
		}
	}
}

// shortFields sends whole requests of legal size with very many empty parts.
func shortFields(part string) client {
	body := standin.JobOfParts(part, emptyParts)
	return func(_ context.Context, c net.Conn, target string) {
		_, _ = io.WriteString(c, head(http.MethodPost, target, fmt.Sprintf("Content-Length: %d\r\n", len(body)))+body)
		untilClosed(c)
	}
}

// unfinishedHeader sends many short header fields, and no end of the header.
func unfinishedHeader(_ context.Context, c net.Conn, target string) {
	var b strings.Builder
	b.WriteString(strings.TrimSuffix(head(http.MethodGet, target, ""), "\r\n"))
	for i := 0; b.Len() < 14_000; i++ {
		fmt.Fprintf(&b, "h%x:\r\n", i)
	}
	_, _ = io.WriteString(c, b.String())
	untilClosed(c)
}

// ahead sends requests without reading the answers.
func ahead(ctx context.Context, c net.Conn, target string) {
	text := strings.Repeat(head(http.MethodGet, target, ""), 50)
	for range requestsAhead / 50 {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
	<-ctx.Done()
}

// trickle sends a request byte by byte.
func trickle(ctx context.Context, c net.Conn, target string) {
	text := head(http.MethodPost, target, fmt.Sprintf("Content-Length: %d\r\n", bodyLimit))
	for i := 0; ctx.Err() == nil; i++ {
		b := byte(' ')
		if i < len(text) {
			b = text[i]
		}
		if _, err := c.Write([]byte{b}); err != nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// silent sends nothing.
func silent(_ context.Context, c net.Conn, _ string) { untilClosed(c) }

func TestCrowd(t *testing.T) {
	door := func(e *crowdEntry) string { return e.client }
	ready := func(e *crowdEntry) string { return e.ready }
	metrics := func(e *crowdEntry) string { return e.metrics }
	addresses := []struct {
		name, target string
		addr         func(*crowdEntry) string
	}{
		{"known path", "/soak/00000000000000ff", door},
		{"path without a route", "/nowhere/at/all", door},
		{"readiness", "/readyz", ready},
		{"metrics", "/metrics", metrics},
	}
	crowds := []struct {
		name string
		n    int
		do   client
	}{
		{"stalled bodies in one piece", stalledClients, stalled(bodyLimit)},
		{"stalled bodies in small pieces", stalledClients, stalled(2000)},
		{"stalled bodies in chunks", stalledClients, stalledChunks},
		{"bodies over the limit", 40, oversized("Content-Length: 1000000000\r\n", "", strings.Repeat("x", 64<<10), "")},
		{"chunked bodies over the limit", 40, oversized("Transfer-Encoding: chunked\r\n", "10000\r\n", strings.Repeat("x", 64<<10), "\r\n")},
		{"empty parts", partClients, shortFields("{}")},
		{"empty lists", partClients, shortFields("[]")},
		{"unfinished headers", stalledClients, unfinishedHeader},
		{"requests ahead", pipelining, ahead},
		{"slow senders", stalledClients, trickle},
		{"silent clients", idleClients, silent},
	}
	for _, c := range crowds {
		for _, a := range addresses {
			t.Run(c.name+", "+a.name, func(t *testing.T) {
				s := newCrowdSite(t)
				e, other := s.entries[0], s.entries[1]
				ctx, leave := context.WithCancel(context.Background())
				gone := make(chan struct{})
				go func() {
					defer close(gone)
					crowd(ctx, c.n, a.addr(e), a.target, c.do)
				}()
				files := 0
				var jobs []string
				for end := time.Now().Add(holdTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					files = max(files, e.openFiles())
					if len(jobs) < jobsMeanwhile {
						jobs = append(jobs, s.ordinary(other))
					}
				}
				leave()
				<-gone
				s.ordinary(e)
				select {
				case <-e.exited:
					t.Fatal("the process has ended")
				default:
				}
				peak := e.peakMemory(t)
				t.Logf("%d MB of memory, %d open files at most", peak>>20, files)
				assert.Check(t, float64(peak) <= memoryShare*crowdMemoryMB*(1<<20), "%d MB of memory", peak>>20)
				assert.Check(t, files <= crowdFiles, "%d open files", files)
				for _, path := range jobs {
					s.awaitCompletion(other, path)
				}
				broken, _ := s.ledger.Report()
				assert.Equal(t, len(broken), 0, "%v", broken)
			})
		}
	}
}

func (s *crowdSite) awaitCompletion(e *crowdEntry, path string) {
	state := ""
	for range 100 {
		if _, state = e.call(http.MethodGet, path, ""); strings.Contains(state, "completed") {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	s.t.Errorf("job %s, accepted during the crowd: %s", path, state)
}
