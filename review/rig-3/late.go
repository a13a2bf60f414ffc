package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"jasminestep/platform/standin"
)

func init() {
	scenarios["lateack"] = lateAcknowledgement
	scenarios["latestart"] = lateStart
}

// calls counts the calls to all minions. The zero value has seen none.
type calls struct {
	mu sync.Mutex
	at []time.Time
}

func (c *calls) add(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = append(c.at, now)
}

// since returns how many calls came from a time on.
func (c *calls) since(from time.Time) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.at {
		if !at.Before(from) {
			n++
		}
	}
	return n
}

// lateCall is a call that a minion has left unanswered, to be carried out later.
type lateCall struct {
	path string
	body []byte
	at   time.Time
}

// lateMinion passes calls on to a minion. It can leave chosen calls unanswered and carry
// them out later, and be cut off from all callers.
type lateMinion struct {
	inner http.Handler
	id    string
	isUp  func() bool
	say   func(format string, args ...any)
	calls *calls

	mu    sync.Mutex
	cut   bool
	leave func(path string, body []byte) bool // whether a call is left unanswered; nil: none is
	left  []lateCall
}

// ServeHTTP implements http.Handler. A minion that is down or cut off is silent.
func (l *lateMinion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	l.calls.add(time.Now())
	l.mu.Lock()
	leave := !l.cut && l.isUp() && l.leave != nil && l.leave(r.URL.Path, body)
	if leave {
		l.left = append(l.left, lateCall{r.URL.Path, body, time.Now()})
	}
	l.mu.Unlock()
	if leave {
		l.say("%s leaves unanswered: %s %s", l.id, r.URL.Path, body)
		<-r.Context().Done()
		return
	}
	for l.silent() {
		select {
		case <-r.Context().Done():
			return // what the cut has held up is lost with the caller's connection
		case <-time.After(5 * time.Millisecond):
		}
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.inner.ServeHTTP(w, r)
}

func (l *lateMinion) silent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut || !l.isUp()
}

func (l *lateMinion) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	l.say("%s is cut off: %t", l.id, cut)
}

func (l *lateMinion) setLeave(f func(path string, body []byte) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leave = f
}

// awaitLeft waits until a call to the path has been left unanswered.
func (l *lateMinion) awaitLeft(path string, within time.Duration) (lateCall, error) {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		l.mu.Lock()
		for _, c := range l.left {
			if c.path == path {
				l.mu.Unlock()
				return c, nil
			}
		}
		l.mu.Unlock()
	}
	return lateCall{}, fmt.Errorf("no %s came within %v", path, within)
}

// carryOut carries out a call that was left unanswered, by the life that is there now.
func (l *lateMinion) carryOut(c lateCall) int {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond) // nobody waits for an end
	defer cancel()
	req := httptest.NewRequest(http.MethodPost, c.path, bytes.NewReader(c.body)).WithContext(ctx)
	req.Header.Set("expected-instance", l.id)
	rec := httptest.NewRecorder()
	l.inner.ServeHTTP(rec, req)
	l.say("%s carries out %s %s, %.1f s after it came: %d %.200s", l.id, c.path, c.body, time.Since(c.at).Seconds(), rec.Code, bytes.TrimSpace(rec.Body.Bytes()))
	return rec.Code
}

// Of the disruptions, see the claims.
const (
	rebirthTime = 600 * time.Millisecond  // between a crash and the next life
	cutTime     = 5 * time.Second         // of a minion; 5.5 s at most
	crashTime   = 4 * time.Second         // for which a minion is down; 4.5 s at most
	startDelay  = 2200 * time.Millisecond // after which an order is carried out; 2 to 12 s
)

// lateAcknowledgement has a minion leave a renewal that takes note of an end, and a start,
// unanswered. The minion is cut off, crashes behind the cut, is back under its id, and
// carries out the start and then the renewal. When the cut ends, the started task has run
// to its end, and the renewal has had the minion forget that.
func lateAcknowledgement(r *rig, trouble bool) (broken []string, err error) {
	if err = r.addMinions("soak", 1, 64_000); err != nil {
		return nil, err
	}
	a := r.minions[0]
	if err = r.addMinions("soak", 7, 2_000); err != nil { // too small for the tasks
		return nil, err
	}
	if err = r.writeConfig(1, "soak"); err != nil {
		return nil, err
	}
	if err = r.addEntries(4, func(int) string { return r.store }); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	noted := func(path string, body []byte) bool {
		var in struct {
			LastSeen int64
		}
		return path == "/hold" && json.Unmarshal(body, &in) == nil && in.LastSeen > 0
	}
	if trouble {
		a.late.setLeave(noted)
	}
	first, second := jobID(1), jobID(2)
	job := standin.Job{Steps: 1, Tasks: 1, Millis: 400, CPU: 4000}
	if err = r.submit(0, first, job); err != nil {
		return nil, err
	}
	var renewal lateCall
	if trouble {
		if renewal, err = a.late.awaitLeft("/hold", 5*time.Second); err != nil {
			return nil, err
		}
		a.late.setLeave(func(path string, _ []byte) bool { return path == "/run-start" })
	}
	if err = r.submit(0, second, job); err != nil {
		return nil, err
	}
	if trouble {
		if err = r.carryOutLate(a, renewal, job); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(40 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
		_, starts := r.ledger.Report()
		st := r.state(r.entries[0], second)
		r.say("job %s is %s, %d starts", second, st, starts[second])
		if st == "completed" {
			break
		}
	}
	return r.twice(), nil
}

// carryOutLate is the disruption of lateAcknowledgement.
func (r *rig) carryOutLate(a *minion, renewal lateCall, job standin.Job) error {
	start, err := a.late.awaitLeft("/run-start", time.Second)
	if err != nil {
		return err
	}
	a.late.setCut(true)
	healed := time.Now().Add(cutTime)
	a.late.setLeave(nil)
	r.say("%s crashes behind the cut, and is back after %v", a.name, rebirthTime)
	a.CrashFor(rebirthTime)
	time.Sleep(time.Until(start.at.Add(startDelay)))
	if code := a.late.carryOut(start); code != http.StatusOK {
		return fmt.Errorf("the late start was answered with %d", code)
	}
	time.Sleep(time.Duration(job.Millis)*time.Millisecond + 300*time.Millisecond)
	a.late.carryOut(renewal)
	time.Sleep(time.Until(healed))
	a.late.setCut(false)
	r.say("2 of the %d calls to minions since the first of them have been left unanswered", r.calls.since(renewal.at))
	return nil
}

// twice lists what the minions say of tasks that ran twice.
func (r *rig) twice() (broken []string) {
	lines, _ := r.ledger.Report()
	for _, line := range lines {
		broken = append(broken, "TWICE: "+line)
	}
	return broken
}

// lateStart has the minion that gets a lasting task leave that start unanswered. The minion
// crashes, is back under its id and is cut off then. It carries out the start behind the
// cut, when the task runs elsewhere since the leases of the former life have ended.
func lateStart(r *rig, trouble bool) (broken []string, err error) {
	if err = r.addMinions("soak", 8, 64_000); err != nil {
		return nil, err
	}
	if err = r.writeConfig(1, "soak"); err != nil {
		return nil, err
	}
	if err = r.addEntries(4, func(int) string { return r.store }); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	first, second := jobID(1), jobID(2)
	job := standin.Job{Steps: 1, Tasks: 1, CPU: 4000, Lasting: true}
	if err = r.submit(0, first, job); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	if trouble {
		for _, m := range r.minions {
			m.late.setLeave(func(path string, _ []byte) bool { return path == "/run-start" })
		}
	}
	if err = r.submit(1, second, job); err != nil {
		return nil, err
	}
	if trouble {
		if err = r.startBehindACut(second); err != nil {
			return nil, err
		}
	}
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Second) {
		_, starts := r.ledger.Report()
		r.say("job %s is %s; starts %v, running %v", second, r.state(r.entries[0], second), starts, r.ledger.Running())
	}
	return r.twice(), nil
}

// startBehindACut is the disruption of lateStart.
func (r *rig) startBehindACut(job string) error {
	var start lateCall
	var a *minion
	for end := time.Now().Add(2 * time.Second); a == nil; {
		for _, m := range r.minions {
			if c, err := m.late.awaitLeft("/run-start", 5*time.Millisecond); err == nil {
				a, start = m, c
			}
		}
		if time.Now().After(end) {
			return fmt.Errorf("no start came")
		}
	}
	for _, m := range r.minions {
		m.late.setLeave(nil)
	}
	r.say("%s crashes, and is back after %v", a.name, crashTime)
	a.CrashFor(crashTime)
	back := time.Now().Add(crashTime)
	time.Sleep(time.Until(back.Add(-20 * time.Millisecond)))
	a.late.setCut(true)
	healed := time.Now().Add(cutTime)
	for r.ledger.Running()[job] == 0 && time.Now().Before(healed.Add(-time.Second)) {
		time.Sleep(10 * time.Millisecond)
	}
	r.say("running: %v", r.ledger.Running())
	time.Sleep(300 * time.Millisecond)
	if code := a.late.carryOut(start); code != http.StatusOK {
		return fmt.Errorf("the late start was answered with %d", code)
	}
	r.say("running: %v", r.ledger.Running())
	time.Sleep(time.Until(healed))
	a.late.setCut(false)
	r.say("1 of the %d calls to minions since then has been left unanswered", r.calls.since(start.at))
	return nil
}
