package metric

import (
	"io"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/timeline"
)

// The metrics exposed are exactly those of Table.
func TestTableIsWhatIsShown(t *testing.T) {
	m, err := New()
	assert.NilError(t, err)
	assert.NilError(t, m.RegisterGauges(func() (out []Sample) {
		for _, x := range Table {
			if !synchronous[x.Name] {
				out = append(out, Sample{Name: x.Name, Value: 1})
			}
		}
		return out
	}))
	m.Request("unrun", "late", time.Second)
	m.Retry("lost")
	m.Wait(time.Second)
	m.Write(time.Second)
	m.TaskWait(time.Second)
	m.Absence("lost", "lease", time.Second)
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	b, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	known := map[string]bool{}
	for _, x := range Table {
		known[x.Name] = true
		assert.Assert(t, strings.Contains(string(b), "# TYPE "+x.Name+" "), x.Name)
	}
	for _, l := range strings.Split(string(b), "\n") {
		if f := strings.Fields(l); len(f) > 2 && f[1] == "TYPE" && strings.HasPrefix(f[2], "step_") {
			assert.Assert(t, known[f[2]], "%s is not in the table", f[2])
		}
	}
}

func TestPage(t *testing.T) {
	b, err := os.ReadFile("../../docs/METRICS.md")
	assert.NilError(t, err)
	for _, x := range Table {
		assert.Assert(t, strings.Contains(string(b), "| "+x.Name+" | "+x.Unit+" | "+x.Doc+" |"), x.Name)
	}
	for _, k := range timeline.Kinds {
		assert.Assert(t, strings.Contains(string(b), "| "+k.Name+" | "+k.Doc+" |"), k.Name)
	}
}
