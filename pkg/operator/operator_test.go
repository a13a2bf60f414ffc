package operator

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"
)

func job() Job {
	return Job{Name: "route-1", Member: "coastal", Command: []string{"run"}, Size: Size{CPU: 100}}
}

func TestJobCheck(t *testing.T) {
	j := job()
	assert.NilError(t, j.Check())
	for what, change := range map[string]func(*Job){
		"name":    func(j *Job) { j.Name = "Route 1" },
		"member":  func(j *Job) { j.Member = "" },
		"size":    func(j *Job) { j.Size = Size{} },
		"size:":   func(j *Job) { j.Size.CPU = -1 },
		"kind":    func(j *Job) { j.Kind = "cron" },
		"cut":     func(j *Job) { j.Cut = "run" },
		"tasks":   func(j *Job) { j.Tasks = MaxTasks + 1 },
		"runtime": func(j *Job) { j.Runtime = -1 },
		"worth":   func(j *Job) { j.Worth = -1 },
		"urgency": func(j *Job) { j.Urgency = 2 },
		"pool":    func(j *Job) { j.Pool = "p" },
		"slots":   func(j *Job) { j.Slots = -1 },
		"command": func(j *Job) { j.Command = nil },
	} {
		j := job()
		change(&j)
		err := j.Check()
		assert.ErrorIs(t, err, ErrInvalid, what)
		assert.ErrorContains(t, err, what)
	}
}

func TestCellCheck(t *testing.T) {
	good := func() Cell { return Cell{Author: "a", Zones: []string{"z"}, Members: []Member{{Name: "m"}}} }
	c := good()
	assert.NilError(t, c.Check())
	for what, change := range map[string]func(*Cell){
		"author":  func(c *Cell) { c.Author = "" },
		"version": func(c *Cell) { c.Version = -1 },
		"policy":  func(c *Cell) { c.Policy = "x" },
		"members": func(c *Cell) { c.Members = nil },
		"twice":   func(c *Cell) { c.Members = append(c.Members, c.Members[0]) },
		"zones":   func(c *Cell) { c.Zones = nil },
		"weight":  func(c *Cell) { c.Members[0].Weight = -1 },
		"limits":  func(c *Cell) { c.Limits.Retry = 101 },
	} {
		c := good()
		change(&c)
		err := c.Check()
		assert.ErrorIs(t, err, ErrInvalid, what)
		assert.ErrorContains(t, err, what)
	}
}

func TestDefaults(t *testing.T) {
	j := job()
	assert.Assert(t, j.Count() == 1 && j.Value() == 1 && j.Limit() == 4 && j.Lineage() == "route" && !j.Stays())
	j.Kind, j.Retries = Service, -1
	assert.Assert(t, j.Stays() && j.Limit() == 1)
	assert.Equal(t, Limits{}.Filled(), Limits{DefaultBody, DefaultQueue, DefaultRetry})
}

func TestPrintParse(t *testing.T) {
	j := job()
	var b bytes.Buffer
	assert.NilError(t, Print(&b, "a route", &j))
	var got Job
	assert.NilError(t, Parse("x", b.Bytes(), &got))
	assert.DeepEqual(t, got, j)
	j.Name = ""
	assert.ErrorIs(t, Print(&b, "", &j), ErrInvalid)
}

func TestChoose(t *testing.T) {
	j := job()
	docs := map[string]Checked{"job": &j}
	var b bytes.Buffer
	assert.NilError(t, Choose(&b, "x", docs, []string{"job"}))
	assert.Assert(t, bytes.HasPrefix(b.Bytes(), []byte("// x: job\n{")))
	assert.ErrorContains(t, Choose(&b, "x", docs, nil), `no document "cell": want one of job`)
}

func TestParseIsStrict(t *testing.T) {
	for doc, want := range map[string]string{
		"{\n \"name\": \"a\",\n \"bogus\": 1}": "f:3:2: json: unknown field",
		"{\"tasks\": \"x\"}":                   "f:1:",
		"{} {}":                                "f",
		"{":                                    "f",
	} {
		var j Job
		err := Parse("f", []byte(doc), &j)
		assert.ErrorIs(t, err, ErrInvalid, doc)
		assert.ErrorContains(t, err, want)
	}
}

func FuzzParseJob(f *testing.F) {
	f.Add([]byte(`{"name":"a","member":"m","command":["run"],"size":{"cpu":1}} // x`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var j Job
		if Parse("f", b, &j) != nil || j.Check() != nil {
			return
		}
		var out bytes.Buffer
		assert.NilError(t, Print(&out, "again", &j))
	})
}
