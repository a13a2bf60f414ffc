package server

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const goodSettings = `// an entry
{
	"id": "e", "zone": "z", "caller": "10.0.0.1:1", "ready": "10.0.0.1:2", "peer": "10.0.0.1:3",
	"admin": "10.0.0.1:4", "store": "10.0.0.2:1", "advice": "", "cores": 0.4, "grace": 6000
}`

func TestSettings(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want string // part of the error; empty: none
	}{
		"good":          {goodSettings, ""},
		"no name":       {strings.Replace(goodSettings, `"e"`, `""`, 1), "id: want the name"},
		"host name":     {strings.Replace(goodSettings, "10.0.0.2:1", "store:1", 1), "entry.json:4:25: store: \"store:1\": want an IP address"},
		"bad grace":     {strings.Replace(goodSettings, "6000", "1", 1), "grace: 1: want 1000 to 600000"},
		"unknown field": {strings.Replace(goodSettings, `"grace"`, `"gracious"`, 1), ""},
		"orders":        {strings.Replace(goodSettings, `"advice": ""`, `"orders": "fetch"`, 1), "not supported"},
		"not JSON":      {"{", "entry.json"},
	} {
		file := filepath.Join(t.TempDir(), "entry.json")
		assert.NilError(t, os.WriteFile(file, []byte(c.text), 0o600))
		_, err := Load(file)
		if c.want == "" {
			assert.NilError(t, err, name)
			continue
		}
		assert.ErrorContains(t, err, c.want, name)
	}
}
