package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"jasminestep/platform/standin"
)

// worker is a minion behind a link that can be cut. While it is cut its minion runs
// on; calls get no answer, and its row is not written.
type worker struct {
	id     string
	minion *standin.Minion
	rec    *record
	placed func(task string, attempt int, w *worker) // called for each start that is accepted
	ended  func(run, how string)                     // called for each end that is listed

	mu  sync.Mutex
	end chan struct{} // closed at the end of the cut; nil if there is none
}

// answer keeps a response until it is known whether it is delivered.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

func (w *worker) cutEnd() chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.end
}

// cut begins to cut the link, and heal ends it.
func (w *worker) cut() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.end = make(chan struct{})
}

func (w *worker) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.end)
	w.end = nil
}

// hang keeps a call without an answer until the cut ends or the caller gives up.
func hang(r *http.Request, end chan struct{}) {
	select {
	case <-end:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler) // closes the connection without a response
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if end := w.cutEnd(); end != nil {
		hang(r, end)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return // the caller has gone
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	a := &answer{header: http.Header{}, status: http.StatusOK}
	w.minion.ServeHTTP(a, r)
	if end := w.cutEnd(); end != nil {
		hang(r, end)
	}
	switch {
	case a.status != http.StatusOK:
	case r.URL.Path == "/run-start":
		w.noteStart(body)
	case r.URL.Path == "/hold":
		w.noteEnds(a.body.Bytes())
	}
	for k, v := range a.header {
		rw.Header()[k] = v
	}
	rw.WriteHeader(a.status)
	_, _ = rw.Write(a.body.Bytes()) // fails only if the caller has gone
}

// noteStart notes a start that was accepted.
func (w *worker) noteStart(body []byte) {
	var o struct {
		Task    string `json:"taskId"`
		Attempt int    `json:"attempt"`
	}
	if json.Unmarshal(body, &o) == nil {
		w.placed(o.Task, o.Attempt, w)
	}
}

// noteEnds notes the ends that a report lists.
func (w *worker) noteEnds(report []byte) {
	var o struct {
		Ended [][]any `json:"finished"` // [number, task, attempt, outcome, checkpoint]
	}
	if json.Unmarshal(report, &o) != nil {
		return
	}
	for _, e := range o.Ended {
		task, named := e[1].(string)
		how, said := e[3].(string)
		if named && said {
			w.ended(fmt.Sprintf("%s/%v", task, e[2]), how)
		}
	}
}
