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

// remote holds the address and time limit shared by the client commands.
type remote struct {
	At    string        `long:"at" env:"STEP_AT" default:"127.0.0.1:7001" description:"operator address of any entry"`
	Limit time.Duration `long:"limit" default:"5s" description:"how long to wait for a response"`
}

// errUnknownOutcome means that no response arrived, so that a change may or may
// not have been accepted. Submissions and cancellations are safe to retry.
var errUnknownOutcome = errors.New("no response: the change may or may not have been accepted; retrying the same command is safe")

// call sends a request and decodes the response into out. A nil out discards it.
func (r *remote) call(method, path, member string, body []byte, out any) error {
	logx.Disable()
	ctx, cancel := context.WithTimeout(context.Background(), r.Limit+2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.At+path, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build request: %w", err)
	}
	if member != "" {
		req.Header.Set(ops.HeaderMember, member)
	}
	req.Header.Set(ops.HeaderDeadline, strconv.FormatInt(r.Limit.Milliseconds(), 10))
	resp, err := transport.Service("ops", nil, 1).DoRequest(req)
	if err != nil {
		return fmt.Errorf("%w (%w)", errUnknownOutcome, err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("%w (%w)", errUnknownOutcome, err)
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
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// readDocument reads a document from a file or from standard input, decodes it
// into doc and validates it.
func readDocument(file string, doc operator.Checked) ([]byte, error) {
	b, err := readInput(file)
	if err != nil {
		return nil, err
	}
	if file == "" || file == "-" {
		file = "standard input"
	}
	if err = operator.Parse(file, b, doc); err != nil {
		return nil, err
	}
	if err = doc.Check(); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return b, nil
}

// readInput reads a file, or standard input if file is empty or "-".
func readInput(file string) (b []byte, err error) {
	if file == "" || file == "-" {
		b, err = io.ReadAll(os.Stdin)
	} else {
		b, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, fmt.Errorf("read document: %w", err)
	}
	return b, nil
}

// printJSON prints v as indented JSON.
func printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	fmt.Println(string(b))
	return nil
}
