package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/zeromicro/go-zero/core/logx"

	"jasminestep/internal/ops"
	"jasminestep/internal/transport"
	"jasminestep/internal/web"
	"jasminestep/pkg/operator"
)

// remote is where and how long a command asks.
type remote struct {
	At    string        `long:"at" env:"STEP_AT" default:"127.0.0.1:7001" description:"operator address of any entry"`
	Limit time.Duration `long:"limit" default:"5s" description:"how long to wait for an answer"`
}

// errUnclear means that the answer did not come, so that a change may or may
// not have been accepted. Submissions and cancellations may be said again.
var errUnclear = errors.New("no answer: it is not known whether it was accepted; saying the same again is safe")

// call sends a request and decodes the answer into out.
func (r *remote) call(method, path, member string, body []byte, out any) error {
	logx.Disable()
	ctx, cancel := context.WithTimeout(context.Background(), r.Limit+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.At+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("request: %w", err)
	}
	if member != "" {
		req.Header.Set(ops.HeaderMember, member)
	}
	req.Header.Set(ops.HeaderDeadline, strconv.FormatInt(r.Limit.Milliseconds(), 10))
	resp, err := transport.Service("ops", nil, 1).DoRequest(req)
	if err != nil {
		return fmt.Errorf("%w (%w)", errUnclear, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w (%w)", errUnclear, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		var p web.Problem
		if json.Unmarshal(b, &p) != nil || p.Error == "" {
			p.Error = fmt.Sprintf("status %d: %s", resp.StatusCode, bytes.TrimSpace(b))
		}
		return errors.New(p.Error)
	}
	if out == nil {
		return nil
	}
	if err = json.Unmarshal(b, out); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	return nil
}

// document reads a checked document from a file, or from standard input.
func document(file string, doc operator.Checked) ([]byte, error) {
	var b []byte
	var err error
	if file == "" || file == "-" {
		file = "standard input"
		b, err = io.ReadAll(os.Stdin)
	} else {
		b, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	if err = operator.Parse(file, b, doc); err != nil {
		return nil, err
	}
	if err = doc.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return b, nil
}

// printJSON prints v with indentation.
func printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("print: %w", err)
	}
	fmt.Println(string(b))
	return nil
}
