package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"jasminestep/internal/server"
	"jasminestep/internal/shard"
	"jasminestep/internal/web"
)

func TestWhereAsksAnEntry(t *testing.T) {
	reply := server.WhereReply{Queue: "render", Service: "svc", Owner: "e1", Outlook: shard.Outlook{Steps: []shard.StepOutlook{{Tasks: 2, Allowed: 2, Now: []string{"m1"}, NowCount: 1}}}}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("account") != "acme" {
			web.Fail(w, http.StatusNotFound, "no account %q", "other")
			return
		}
		web.Reply(w, http.StatusOK, reply)
	}))
	defer s.Close()
	file := filepath.Join(t.TempDir(), "job.json")
	assert.NilError(t, os.WriteFile(file, []byte("{}"), 0o600))
	c := whereCommand{At: strings.TrimPrefix(s.URL, "http://"), Limit: time.Second, Host: "h", Path: "/render/", Account: "acme"}
	c.Args.File = file
	assert.NilError(t, c.Execute(nil))
	c.Account = "other"
	assert.ErrorContains(t, c.Execute(nil), `no account "other"`)
	s.Close()
	assert.ErrorContains(t, c.Execute(nil), "no entry answers at")
	c.Args.File = file + "x"
	assert.ErrorContains(t, c.Execute(nil), "no such file")
	var out bytes.Buffer
	assert.NilError(t, printWhere(&out, &reply))
	assert.Assert(t, strings.Contains(out.String(), "would start now") && strings.Contains(out.String(), "best first: [m1]"), out.String())
}
