package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestExplainTellsTheStoryOfAJob(t *testing.T) {
	text := `1.0 edge-1 {"@message":"accepted","@timestamp":"2026-01-01T00:00:01Z","job":"a"}
not a line
1.1 edge-2 {"@message":"placed","@timestamp":"2026-01-01T00:00:02Z","job":"a","task":"a.0.0.0","minion":"m1","service":"s","term":1}
1.2 edge-2 {"@message":"placed","@timestamp":"2026-01-01T00:00:02Z","job":"b","task":"b.0.0.0","minion":"m2","service":"s"}
1.3 edge-2 {"@message":"silent","@timestamp":"2026-01-01T00:00:03Z","minion":"m2","service":"s"}
1.4 edge-2 {"@message":"silent","@timestamp":"2026-01-01T00:00:03Z","minion":"m1","service":"s"}
1.5 edge-3 {"@message":"owner","@timestamp":"2026-01-01T00:00:04Z","service":"s","term":2,"why":"its owner was silent"}
1.6 edge-3 {"@message":"over","@timestamp":"2026-01-01T00:00:05Z","job":"a","why":"completed","service":"s"}
1.7 edge-3 {"@message":"owner","@timestamp":"2026-01-01T00:00:06Z","service":"s","term":3}
`
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	all, err := readLog(file)
	assert.NilError(t, err)
	var got []string
	for _, l := range jobLines(all, "a") {
		got = append(got, l.source+" "+l.Message)
	}
	assert.DeepEqual(t, got, []string{"edge-1 accepted", "edge-2 placed", "edge-2 silent", "edge-3 owner", "edge-3 over"})
	assert.Equal(t, len(jobLines(all, "c")), 0)
}

func TestExplainTakesLinesOfSeveralTasksApart(t *testing.T) {
	text := `1.1 edge-2 {"@message":"placed","@timestamp":"2026-01-01T00:00:02Z","job":"a","task":"a.0.0.0,a.0.0.1","minion":"m1,m2","service":"s","term":1}
1.2 edge-2 {"@message":"silent","@timestamp":"2026-01-01T00:00:03Z","minion":"m2","service":"s"}
1.3 edge-2 {"@message":"over","@timestamp":"2026-01-01T00:00:05Z","job":"a","why":"completed","service":"s"}
`
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	all, err := readLog(file)
	assert.NilError(t, err)
	var got []string
	for _, l := range jobLines(all, "a") {
		got = append(got, l.Message+" "+l.Task+" "+l.Minion)
	}
	assert.DeepEqual(t, got, []string{"placed a.0.0.0 m1", "placed a.0.0.1 m2", "silent  m2", "over  "})
}
