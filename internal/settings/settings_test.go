package settings

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"jasminestep/internal/control"
)

func TestLoad(t *testing.T) {
	s, err := Load("testdata/good.json")
	assert.NilError(t, err)
	assert.Equal(t, s.Lease, int64(3000))
	assert.Equal(t, s.Gap, control.DefaultTiming.MinWriteInterval.Milliseconds())
	for file, want := range map[string]string{
		"unknown.json": `unknown.json:8:3: json: unknown field "leese"`,
		"margin.json":  `margin.json:8:3: margin: 2000: want 10 to 1000: invalid setting`,
		"name.json":    `name.json:5:3: peer: "localhost:7002": want an IP address and a port`,
		"type.json":    `type.json:8:`,
	} {
		_, err := Load(filepath.Join("testdata", file))
		assert.ErrorContains(t, err, want)
	}
}

// Table has exactly one row for each field of Settings, in the same order.
func TestTable(t *testing.T) {
	typ := reflect.TypeFor[Settings]()
	assert.Equal(t, typ.NumField(), len(Table))
	for i, s := range Table {
		assert.Equal(t, typ.Field(i).Tag.Get("json"), s.Name)
	}
}

// docs/CONFIG.md documents every setting with the texts of Table.
func TestPage(t *testing.T) {
	b, err := os.ReadFile("../../docs/CONFIG.md")
	assert.NilError(t, err)
	for _, s := range Table {
		row := "| " + strings.Join([]string{s.Name, s.Unit, s.Default, s.Bounds, s.Doc}, " | ") + " |"
		assert.Assert(t, strings.Contains(string(b), row), "docs/CONFIG.md lacks: %s", row)
	}
}

func FuzzLoad(f *testing.F) {
	for _, n := range []string{"good", "type"} {
		b, err := os.ReadFile("testdata/" + n + ".json")
		assert.NilError(f, err)
		f.Add(b)
	}
	dir := f.TempDir()
	f.Fuzz(func(t *testing.T, b []byte) {
		file := filepath.Join(dir, "x.json")
		assert.NilError(t, os.WriteFile(file, b, 0o600))
		if s, err := Load(file); err == nil && s.Check() != nil {
			t.Fatal("Load accepted settings that Check rejects")
		}
	})
}
