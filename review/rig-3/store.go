package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"jasminestep/platform/standin"
)

// Limits of the store, as the users' pages state them.
const (
	maxRowBytes = 65_536
	maxEntries  = 100
	maxTxBytes  = 1 << 20
	storeDelay  = 4 * time.Millisecond
)

// store is the platform's store: the project's stand-in, behind the limits that the
// pages state for a call.
type store struct {
	inner standin.Store
	say   func(format string, args ...any)

	mu       sync.Mutex
	rejected int
}

type wireRow struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	if r.URL.Path == "/rows-tx" {
		b, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if why := overLimit(b); why != "" {
			s.mu.Lock()
			s.rejected++
			n := s.rejected
			s.mu.Unlock()
			if n <= 3 || n%200 == 0 {
				s.say("store: transaction %d that is over a limit is refused with 400: %s", n, why)
			}
			http.Error(w, why, http.StatusBadRequest)
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(b))
	}
	s.inner.ServeHTTP(w, r)
}

// overLimit tells which limit a transaction exceeds, if any.
func overLimit(body []byte) string {
	if len(body) > maxTxBytes {
		return fmt.Sprintf("call of %d bytes, at most %d", len(body), maxTxBytes)
	}
	var tx struct {
		ExpectedRevision []json.RawMessage
		Writes           []wireRow
		Deletes          []json.RawMessage
	}
	if err := json.Unmarshal(body, &tx); err != nil {
		return err.Error()
	}
	if n := len(tx.ExpectedRevision) + len(tx.Writes) + len(tx.Deletes); n > maxEntries {
		return fmt.Sprintf("%d entries, at most %d", n, maxEntries)
	}
	for _, row := range tx.Writes {
		if len(row.Value) > maxRowBytes {
			return fmt.Sprintf("row %s/%s/%s of %d bytes, at most %d", row.Table, row.Part, row.Key, len(row.Value), maxRowBytes)
		}
	}
	return ""
}
