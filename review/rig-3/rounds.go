package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"jasminestep/platform/standin"
)

func init() { scenarios["rounds"] = manyRounds }

// memoryMB is the memory of a machine, as the settings of the entries give it.
const memoryMB = 284

// restartDelay is how soon the platform starts a process again that has ended.
const restartDelay = 300 * time.Millisecond

// watcher does to the entries what the platform does to a process that exceeds the
// memory of its machine: it kills it and starts it again.
type watcher struct {
	mu    sync.Mutex
	kills map[string]int // by entry
	most  int64          // highest resident memory seen, in MB
	stop  chan struct{}
	done  chan struct{}
}

func watchMemory(r *rig) *watcher {
	w := &watcher{kills: map[string]int{}, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			select {
			case <-w.stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
			for _, e := range r.entries {
				mb := residentMB(e.cmd.Process.Pid)
				w.mu.Lock()
				w.most = max(w.most, mb)
				w.mu.Unlock()
				if mb <= memoryMB {
					continue
				}
				r.say("%s holds %d MB of %d and is killed for it", e.name, mb, memoryMB)
				r.signal(e, syscall.SIGKILL)
				_, _ = e.cmd.Process.Wait()
				w.mu.Lock()
				w.kills[e.name]++
				w.mu.Unlock()
				time.Sleep(restartDelay)
				if err := r.start(e); err != nil {
					r.say("%s: %v", e.name, err)
				}
			}
		}
	}()
	return w
}

func (w *watcher) end() (kills map[string]int, most int64) {
	close(w.stop)
	<-w.done
	return w.kills, w.most
}

// residentMB is the resident memory of a process; 0 if it is not known.
func residentMB(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) >= 2 && f[0] == "VmRSS:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			return kb >> 10
		}
	}
	return 0
}

// repeatTask is the demand of one task of the repeating job.
var repeatTask = demand{cpu: 10, mem: 1}

// manyRounds hands in one small body: a job that repeats, and whose times have all
// come. A small job comes before it and another after it.
func manyRounds(r *rig, trouble bool) (broken []string, err error) {
	if err = r.addMinions("soak", 6, 64_000); err != nil {
		return nil, err
	}
	if err = r.writeConfig(1, "soak"); err != nil {
		return nil, err
	}
	if err = r.addEntries(4, func(int) string { return r.store }); err != nil {
		return nil, err
	}
	w := watchMemory(r)
	time.Sleep(contact)
	small := standin.Job{Steps: 1, Tasks: 2, Millis: 200, CPU: 1000}
	first, repeated, last := jobID(0), jobID(1), jobID(2)
	if err = r.submit(0, first, small); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	times := 1
	if trouble {
		times = 10_000
	}
	body := fmt.Sprintf(`{"spec":"100ms %d 0 0","taskGroups":[{"taskCount":100,"cpu":%d,"memMb":%d,"estimateMs":100}],"startAtMs":%d,"intervalMs":1000,"repeatCount":%d}`,
		repeatTask.cpu, repeatTask.cpu, repeatTask.mem, time.Now().Add(-3*time.Hour).UnixMilli(), times)
	status, answer := r.ask(r.entries[1], "POST", "/queue/"+repeated, body)
	r.say("POST %s at %s: %s: %d %.100s", repeated, r.entries[1].name, body, status, answer)
	time.Sleep(4 * time.Second)
	if err = r.submit(2, last, small); err != nil {
		return nil, err
	}
	starved := r.watchStarving(starving{id: last, tasks: small.Tasks, room: demand{6 * 64_000, 6 * 1000}, demands: map[string]demand{repeated: repeatTask, first: {1000, 1}, last: {1000, 1}}})
	state := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Second) {
		if state = r.state(r.entries[3], last); state == "completed" {
			break
		}
		r.say("job %s is %s", last, state)
	}
	broken = append(broken, starved()...)
	kills, most := w.end()
	_, starts := r.ledger.Report()
	r.say("most memory of an entry: %d MB of %d; ended for it: %v", most, memoryMB, kills)
	r.say("job %s is %s; starts: %v", last, state, starts)
	often := 0
	for _, n := range kills {
		if n >= 3 {
			often++
		}
	}
	if often >= 2 {
		broken = append(broken, fmt.Sprintf("Fault: on %d of %d machines the process exceeded its memory three times or more, after one request of %d bytes", often, len(r.entries), len(body)))
	}
	return broken, nil
}
