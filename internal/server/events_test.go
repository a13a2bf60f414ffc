package server

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jasminestep/internal/shard"
)

var (
	logCallPattern  = regexp.MustCompile(`(?:Log\.|log\.)(?:Info|Warn|Error)\("([^"(]+)"`)
	noteCallPattern = regexp.MustCompile(`Note\{What: ([^,}\n]+)`)
	constantPattern = regexp.MustCompile(`(\w+)\s+Event = "([^"]+)"`)
)

func readSources(t *testing.T, pattern string) string {
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0, pattern)
	var all strings.Builder
	for _, f := range files {
		b, err := os.ReadFile(f)
		assert.NilError(t, err)
		if !strings.HasSuffix(f, "_test.go") {
			all.Write(b)
		}
	}
	return all.String()
}

// Every logged message must be listed in LogEvents, and every listed message
// must be logged.
func TestEventsAreDocumented(t *testing.T) {
	used := map[string]bool{"log lines dropped": true, "earlier lines": true} // by package logline
	for _, m := range logCallPattern.FindAllStringSubmatch(readSources(t, "*.go")+readSources(t, "../../cmd/jasminestep/entry.go"), -1) {
		used[m[1]] = true
	}
	source := readSources(t, "../shard/*.go")
	constants := map[string]string{}
	for _, m := range constantPattern.FindAllStringSubmatch(source, -1) {
		constants[m[1]] = m[2]
	}
	for _, m := range noteCallPattern.FindAllStringSubmatch(source, -1) {
		value, ok := constants[m[1]]
		assert.Check(t, ok, "%s is not a constant of type Event", m[1])
		used[value] = true
	}
	listed := map[string]bool{}
	for _, e := range LogEvents {
		assert.Check(t, !listed[string(e.Name)], "%q is listed twice", e.Name)
		listed[string(e.Name)] = true
		assert.Check(t, used[string(e.Name)], "%q is not logged anywhere", e.Name)
	}
	for name := range used {
		assert.Check(t, listed[name], "%q is not in the table", name)
	}
	for name := range rareEvents {
		assert.Check(t, listed[string(name)], "%q is not in the table", name)
	}
	for _, value := range constants {
		assert.Check(t, listed[value], "%q is not in the table", value)
	}
}

func TestEventTableOfTheDocumentsIsComplete(t *testing.T) {
	b, err := os.ReadFile("../../docs/OPERATIONS.md")
	assert.NilError(t, err)
	var table strings.Builder
	for _, e := range LogEvents {
		fmt.Fprintf(&table, "| %s | %s | %s |\n", e.Name, e.Doc, e.Look)
	}
	_, rest, found := strings.Cut(string(b), "| event | meaning | what to look at |\n| --- | --- | --- |\n")
	assert.Assert(t, found)
	rows, _, _ := strings.Cut(rest, "\n\n")
	assert.Equal(t, rows+"\n", table.String())
}

func TestFindLogEventKnowsOnlyListedMessages(t *testing.T) {
	e, ok := FindLogEvent(shard.RunLost)
	assert.Check(t, ok && e.Doc != "")
	_, ok = FindLogEvent("no such message")
	assert.Check(t, !ok)
}
