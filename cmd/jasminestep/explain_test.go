package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"jasminestep/internal/logline"
	"jasminestep/internal/server"
	"jasminestep/internal/shard"
)

func TestExplainTellsTheStoryOfAJob(t *testing.T) {
	text := `1.0 edge-1 {"@message":"job accepted","@timestamp":"2026-01-01T00:00:01Z","job":"a"}
not a line
1.1 edge-2 {"@message":"task placed","@timestamp":"2026-01-01T00:00:02Z","job":"a","task":"a.0.0.0","minion":"m1","service":"s","term":1}
1.2 edge-2 {"@message":"task placed","@timestamp":"2026-01-01T00:00:02Z","job":"b","task":"b.0.0.0","minion":"m2","service":"s"}
1.3 edge-2 {"@message":"minion silent","@timestamp":"2026-01-01T00:00:03Z","minion":"m2","service":"s"}
1.4 edge-2 {"@message":"minion silent","@timestamp":"2026-01-01T00:00:03Z","minion":"m1","service":"s"}
1.5 edge-3 {"@message":"shard claimed","@timestamp":"2026-01-01T00:00:04Z","service":"s","term":2,"why":"its owner was silent"}
1.6 edge-3 {"@message":"job ended","@timestamp":"2026-01-01T00:00:05Z","job":"a","why":"completed","service":"s"}
1.7 edge-3 {"@message":"shard claimed","@timestamp":"2026-01-01T00:00:06Z","service":"s","term":3}
`
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	all, err := readLog(file)
	assert.NilError(t, err)
	var got []string
	for _, l := range jobLines(all, "a") {
		got = append(got, l.source+" "+string(l.Event))
	}
	assert.DeepEqual(t, got, []string{"edge-1 job accepted", "edge-2 task placed", "edge-2 minion silent", "edge-3 shard claimed", "edge-3 job ended"})
	assert.Equal(t, len(jobLines(all, "c")), 0)
}

func TestExplainTakesLinesOfSeveralTasksApart(t *testing.T) {
	text := `1.1 edge-2 {"@message":"task placed","@timestamp":"2026-01-01T00:00:02Z","job":"a","task":"a.0.0.0,a.0.0.1","minion":"m1,m2","service":"s","term":1}
1.2 edge-2 {"@message":"minion silent","@timestamp":"2026-01-01T00:00:03Z","minion":"m2","service":"s"}
1.3 edge-2 {"@message":"job ended","@timestamp":"2026-01-01T00:00:05Z","job":"a","why":"completed","service":"s"}
`
	file := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	all, err := readLog(file)
	assert.NilError(t, err)
	var got []string
	for _, l := range jobLines(all, "a") {
		got = append(got, string(l.Event)+" "+l.Task+" "+l.Minion)
	}
	assert.DeepEqual(t, got, []string{"task placed a.0.0.0 m1", "task placed a.0.0.1 m2", "minion silent  m2", "job ended  "})
}

func TestExplainTellsWhatEachEventMeansOnce(t *testing.T) {
	var b strings.Builder
	assert.NilError(t, printMeanings(&b, []logLine{{Event: shard.RunLost}, {Event: "unlisted"}, {Event: shard.RunLost}, {Event: "job accepted"}}))
	lost, _ := server.FindLogEvent(shard.RunLost)
	assert.Equal(t, strings.Count(b.String(), lost.Doc), 1)
	assert.Equal(t, strings.Count(b.String(), "look at: "+lost.Look), 1)
	assert.Assert(t, strings.Contains(b.String(), "job accepted:"))
	assert.Assert(t, !strings.Contains(b.String(), "unlisted"))
}

func TestRelatedEventsAreListed(t *testing.T) {
	for name := range relatedEvents {
		_, ok := server.FindLogEvent(name)
		assert.Check(t, ok, "%q is not logged by an entry", name)
		assert.Check(t, server.IsRare(string(name)), "%q may be missing from a long log", name)
	}
}

// A repeated line counts once, and also if the line itself is not in the log.
func TestExplainReadsEarlierLines(t *testing.T) {
	var out strings.Builder
	w := logline.New(&out, server.IsRare)
	log := hclog.New(&hclog.LoggerOptions{JSONFormat: true, Output: w})
	log.Info("job accepted", "job", "a")
	log.Info(string(shard.MinionSilent), "minion", "m1", "why", "2 runs <wait>")
	log.Info(string(shard.RunLost), "job", "a", "task", "a.0.0.0"+strings.Repeat(",a.0.0.1", 100), "minion", "m1"+strings.Repeat(",m1", 100))
	for range 2000 {
		log.Info(string(shard.RunEnded), "job", "b")
	}
	log.Info(string(shard.JobEnded), "job", "a", "task", "", "minion", "m1")
	w.Close(time.Minute)
	whole := strings.SplitAfter(out.String(), "\n")
	file := filepath.Join(t.TempDir(), "log")
	for _, lines := range [][]string{whole, append(whole[:1:1], whole[len(whole)-1000:]...)} {
		assert.NilError(t, os.WriteFile(file, []byte(strings.Join(lines, "")), 0o600))
		all, err := readLog(file)
		assert.NilError(t, err)
		var got []string
		for _, l := range jobLines(all, "a") {
			if l.Event != shard.RunLost || strings.HasPrefix(l.Task, "a.0.0.0") {
				got = append(got, string(l.Event))
			}
		}
		assert.DeepEqual(t, got, []string{"job accepted", "minion silent", "run lost", "job ended"})
	}
}
