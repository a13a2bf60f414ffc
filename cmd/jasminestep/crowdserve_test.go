//go:build crowd

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// serveSite is a site of the product's own interface: stand-ins and entries, each
// of them a process, of which one has little memory in its settings.
type serveSite struct {
	t    *testing.T
	dir  string
	addr map[string]string // of the entry that the crowd comes to, by setting
	crowdEntry
}

// servedEntry is the entry that the crowd comes to.
const servedEntry = "ohangwena-entry-1"

func newServeSite(t *testing.T) *serveSite {
	program, err := buildProgram()
	assert.NilError(t, err)
	s := &serveSite{t: t, dir: t.TempDir()}
	for _, tool := range []string{"../standin", "../../examples/oshana"} {
		out, err := exec.Command("go", "build", "-o", s.dir+"/", tool).CombinedOutput()
		assert.NilError(t, err, string(out))
	}
	settings := filepath.Join(s.dir, "run")
	assert.NilError(t, os.Mkdir(settings, 0o700))
	s.run(filepath.Join(s.dir, "standin"), "run", "--site", "oshana", "--dir", settings, "--for", "5m")
	var files []string
	for range 100 {
		if files, _ = filepath.Glob(settings + "/*.json"); len(files) == 8 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, len(files), 8)
	for _, f := range files {
		if strings.HasSuffix(f, servedEntry+".json") {
			s.readSettings(f)
			s.crowdEntry = crowdEntry{cmd: s.run(program, "serve", "--config", f), exited: make(chan struct{})}
			continue
		}
		s.run(program, "serve", "--config", f)
	}
	cell, err := exec.Command(filepath.Join(s.dir, "oshana"), "cell").Output()
	assert.NilError(t, err)
	for range 100 {
		apply := exec.Command(program, "apply")
		apply.Env = append(os.Environ(), "STEP_AT="+s.addr["operator"])
		apply.Stdin = bytes.NewReader(cell)
		if err = apply.Run(); err == nil {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	assert.NilError(t, err)
	s.ordinary()
	return s
}

// readSettings reads the addresses of the entry, and gives it little memory.
func (s *serveSite) readSettings(file string) {
	b, err := os.ReadFile(file)
	assert.NilError(s.t, err)
	var set map[string]any
	_, object, _ := bytes.Cut(b, []byte("{")) // after comments
	assert.NilError(s.t, json.Unmarshal(append([]byte("{"), object...), &set))
	s.addr = map[string]string{}
	for _, name := range []string{"caller", "operator", "admin"} {
		s.addr[name] = set[name].(string)
	}
	set["memory"], set["files"] = crowdMemoryMB, crowdFiles
	b, err = json.Marshal(set)
	assert.NilError(s.t, err)
	assert.NilError(s.t, os.WriteFile(file, b, 0o600))
}

// run starts a process that ends with the test.
func (s *serveSite) run(program string, args ...string) *exec.Cmd {
	log, err := os.CreateTemp(s.dir, "log")
	assert.NilError(s.t, err)
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(s.t, cmd.Start())
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
	})
	return cmd
}

// resetPeakMemory makes the kernel forget the peak of the process.
func (s *serveSite) resetPeakMemory(t *testing.T) {
	const forgetPeak = "5"
	assert.NilError(t, os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", s.cmd.Process.Pid), []byte(forgetPeak), 0o200))
}

// ordinary makes requests as an ordinary client does until one is answered.
func (s *serveSite) ordinary() {
	why := ""
	for range ordinaryTries {
		r, err := http.NewRequest(http.MethodPost, "http://"+s.addr["caller"]+"/call/settlement?n=abc&ms=5", strings.NewReader("x"))
		assert.NilError(s.t, err)
		r.Close = true
		r.Header.Set("Step-Member", "coastal")
		resp, err := http.DefaultClient.Do(r)
		why = fmt.Sprint(err)
		if err == nil {
			_ = resp.Body.Close()
			if why = resp.Status; resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(ordinaryPause)
	}
	s.t.Fatalf("an ordinary request: %s in the last of %d tries", why, ordinaryTries)
}

func TestCrowdAtServe(t *testing.T) {
	s := newServeSite(t)
	for _, c := range []struct {
		name string
		n    int
		do   client
	}{
		{"stalled bodies in one piece", stalledClients, stalled(bodyLimit)},
		{"stalled bodies in chunks", stalledClients, stalledChunks},
		{"empty parts", partClients, shortFields("{}")},
		{"unfinished headers", stalledClients, unfinishedHeader},
		{"requests ahead", pipelining, ahead},
		{"silent clients", idleClients, silent},
	} {
		for _, a := range []struct{ setting, target string }{{"caller", "/call/settlement"}, {"caller", "/nowhere"}, {"operator", "/config"}, {"admin", "/metrics"}} {
			t.Run(c.name+", "+a.setting+" "+a.target, func(t *testing.T) {
				s.t = t
				s.resetPeakMemory(t)
				ctx, leave := context.WithCancel(context.Background())
				gone := make(chan struct{})
				go func() {
					defer close(gone)
					crowd(ctx, c.n, s.addr[a.setting], a.target, c.do)
				}()
				files := 0
				for end := time.Now().Add(holdTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					files = max(files, s.openFiles())
				}
				leave()
				<-gone
				s.ordinary()
				peak := s.peakMemory(t)
				t.Logf("%d MB of memory, %d open files at most", peak>>20, files)
				assert.Check(t, float64(peak) <= memoryShare*crowdMemoryMB*(1<<20), "%d MB of memory", peak>>20)
				assert.Check(t, files <= crowdFiles, "%d open files", files)
			})
		}
	}
}
