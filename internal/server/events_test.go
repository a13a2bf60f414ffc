package server

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

var logged = regexp.MustCompile(`(?:Log\.|log\.)(?:Info|Warn|Error)\("([^"(]+)"|What: "([^"(]+)"`)

// TestEventsAreDocumented holds the table to the code.
func TestEventsAreDocumented(t *testing.T) {
	var files []string
	for _, p := range []string{"*.go", "../shard/*.go", "../../cmd/jasminestep/entry.go"} {
		fs, err := filepath.Glob(p)
		assert.NilError(t, err)
		files = append(files, fs...)
	}
	used := map[string]bool{"dropped": true}
	for _, f := range files {
		b, err := os.ReadFile(f)
		assert.NilError(t, err)
		for _, m := range logged.FindAllStringSubmatch(string(b), -1) {
			used[m[1]+m[2]] = true
		}
	}
	listed := map[string]bool{}
	for _, e := range LogEvents {
		listed[e.Name] = true
		assert.Check(t, used[e.Name], "%q is not logged anywhere", e.Name)
	}
	for name := range used {
		assert.Check(t, listed[name], "%q is not in the table", name)
	}
}
