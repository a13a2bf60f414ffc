package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"jasminestep/platform/standin"
)

func init() { scenarios["ends"] = endsAtTakeover }

// maxListedEnds is how many ends a minion lists at a time.
const maxListedEnds = 500

// pagedMinion is a minion that lists at most maxListedEnds ends at a time, the oldest
// first, as the pages say. The project's stand-in lists all. It records which ends have
// been listed and which have been taken note of.
type pagedMinion struct {
	inner http.Handler

	mu     sync.Mutex
	listed map[int64]time.Time // when an end was first listed, by number
	noted  int64               // highest lastSeen
}

// ServeHTTP implements http.Handler.
func (p *pagedMinion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/hold" {
		p.inner.ServeHTTP(w, r)
		return
	}
	in, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(in))
	rec := httptest.NewRecorder()
	p.inner.ServeHTTP(rec, r)
	body := rec.Body.Bytes()
	if rec.Code == http.StatusOK {
		body = p.page(in, body)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rec.Code)
	_, _ = w.Write(bytes.TrimSpace(body))
}

// page cuts the list of ends, and records what was asked and answered.
func (p *pagedMinion) page(in, body []byte) []byte {
	var ask struct {
		LastSeen int64
	}
	var out map[string]json.RawMessage
	var ends [][]json.RawMessage
	if json.Unmarshal(in, &ask) != nil || json.Unmarshal(body, &out) != nil || json.Unmarshal(out["finished"], &ends) != nil {
		return body
	}
	ends = ends[:min(len(ends), maxListedEnds)]
	cut, err := json.Marshal(ends)
	if err != nil {
		return body
	}
	out["finished"] = cut
	if body, err = json.Marshal(out); err != nil {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noted = max(p.noted, ask.LastSeen)
	for _, e := range ends {
		var n int64
		if json.Unmarshal(e[0], &n) == nil && p.listed[n].IsZero() {
			p.listed[n] = time.Now()
		}
	}
	return body
}

// ends returns how many ends were listed before a time, and how many of these have not
// been taken note of.
func (p *pagedMinion) ends(before time.Time) (listed, open int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for n, at := range p.listed {
		if at.After(before) {
			continue
		}
		listed++
		if n > p.noted {
			open++
		}
	}
	return listed, open
}

// endsAtTakeover runs jobs of many small tasks, and kills the owner of the service when
// their first tasks end. Before the next owner calls the minions, each has more ends to
// tell of than it lists at a time.
func endsAtTakeover(r *rig, trouble bool) (broken []string, err error) {
	if err = r.addMinions("soak", 2, 64_000); err != nil {
		return nil, err
	}
	if err = r.writeConfig(1, "soak"); err != nil {
		return nil, err
	}
	if err = r.addEntries(4, func(int) string { return r.store }); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	const jobs = 7
	many := standin.Job{Steps: 1, Tasks: 225, Millis: 10_000, CPU: 60}
	total := jobs * many.Tasks
	for n := range jobs {
		if err = r.submit(n, jobID(n), many); err != nil {
			return nil, err
		}
	}
	running := func() (n int) {
		for _, k := range r.ledger.Running() {
			n += k
		}
		return n
	}
	for until := time.Now().Add(9 * time.Second); running() < total; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			return nil, fmt.Errorf("%d of %d tasks run", running(), total)
		}
	}
	r.say("%d tasks run on %d minions", total, len(r.minions))
	for running() == total {
		time.Sleep(5 * time.Millisecond)
	}
	if o := r.owner("soak"); trouble && o != nil {
		r.say("the first of the %d tasks have ended; the owner of the service is %s", total, o.name)
		if err = r.restart(o); err != nil {
			return nil, err
		}
	}
	time.Sleep(3 * time.Second)
	last, small := jobID(100), standin.Job{Steps: 2, Tasks: 8, Millis: 200, CPU: 1000}
	if err = r.submit(0, last, small); err != nil {
		return nil, err
	}
	demands := map[string]demand{last: {int64(small.CPU), 1}}
	for _, id := range ids(jobs) {
		demands[id] = demand{int64(many.CPU), 1}
	}
	starved := r.watchStarving(starving{id: last, tasks: small.Steps * small.Tasks, from: time.Now().Add(finish), room: demand{2 * 64_000, 2 * 1000}, demands: demands})
	const asked = 40 * time.Second // over finish_s and the 3 s of the rule
	states := map[string]string{}
	for until := time.Now().Add(asked); time.Now().Before(until); time.Sleep(2 * time.Second) {
		left := 0
		for _, id := range append([]string{last}, ids(jobs)...) {
			if states[id] = r.state(r.entries[0], id); states[id] != "completed" {
				left++
			}
		}
		r.say("%d of %d jobs are not completed; %d tasks run", left, jobs+1, running())
		if left == 0 {
			break
		}
	}
	broken = append(broken, starved()...)
	listed, open := 0, 0
	for _, m := range r.minions {
		l, o := m.paged.ends(time.Now().Add(-ackTimeout))
		listed, open = listed+l, open+o
	}
	r.say("%d ends were listed over %v ago, %d of them have not been taken note of", listed, ackTimeout, open)
	_, starts := r.ledger.Report()
	for _, id := range append(ids(jobs), last) {
		r.say("job %s is %s, %d starts", id, states[id], starts[id])
	}
	return broken, nil
}

func ids(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = jobID(i)
	}
	return out
}
