package sim

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"jasminestep/internal/table"
	"jasminestep/internal/table/tabletest"
	"jasminestep/platform/standin"
)

// Limits that the users' pages set for the store.
const (
	maxRowBytes   = 65536   // of a value, before it is encoded in base64
	maxTxEntries  = 100     // of all lists of a transaction together
	maxTxBytes    = 1 << 20 // of a transaction's body
	txLatency     = 6 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond // between two writes of a minion's entry
	missedBeats   = 3                       // heartbeats of silence after which an entry is removed
	loopbackAny   = "127.0.0.1:0"
	statusTooMuch = http.StatusBadRequest
)

// Store is the platform's store: the project's stand-in, behind the limits on
// the size of rows and transactions.
type Store struct {
	Addr string

	rows    *tabletest.Store
	handler http.Handler
	rec     *Record

	mu      sync.Mutex
	refused int  // transactions over a limit
	down    bool // rejects every call with 503
}

// NewStore starts a store on a loopback address.
func NewStore(rec *Record) (*Store, error) {
	rows := &tabletest.Store{}
	s := &Store{rows: rows, handler: standin.Store{Rows: rows}, rec: rec}
	addr, _, err := serve(loopbackAny, s)
	if err != nil {
		return nil, err
	}
	s.Addr = addr
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if r.URL.Path != "/rows-tx" {
		s.handler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if why := txExcess(body); why != "" {
		s.mu.Lock()
		s.refused++
		n := s.refused
		s.mu.Unlock()
		if n <= 5 || n%100 == 0 {
			s.rec.Log("store refuses transaction (%d. time): %s", n, why)
		}
		w.WriteHeader(statusTooMuch)
		return
	}
	time.Sleep(txLatency)
	r.Body = io.NopCloser(bytes.NewReader(body))
	s.handler.ServeHTTP(w, r)
}

// SetDown has the store reject every call, or serve again.
func (s *Store) SetDown(down bool) {
	s.rec.Log("the store is down: %v", down)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *Store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// txExcess tells which limit a transaction exceeds, or returns an empty string.
func txExcess(body []byte) string {
	if len(body) > maxTxBytes {
		return fmt.Sprintf("%d bytes, at most %d", len(body), maxTxBytes)
	}
	var lists map[string][]struct {
		Table string `json:"table"`
		Key   string `json:"key"`
		Value string `json:"value"`
	}
	if err := json.Unmarshal(body, &lists); err != nil {
		return err.Error()
	}
	n := 0
	for _, rows := range lists {
		n += len(rows)
		for _, row := range rows {
			if n := base64.StdEncoding.DecodedLen(len(row.Value)); n > maxRowBytes+2 {
				return fmt.Sprintf("row %s/%s of %d bytes, at most %d", row.Table, row.Key, n, maxRowBytes)
			}
		}
	}
	if n > maxTxEntries {
		return fmt.Sprintf("%d entries, at most %d", n, maxTxEntries)
	}
	return ""
}

// Refused returns how many transactions were over a limit.
func (s *Store) Refused() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// Put writes a row of the operator or of a minion.
func (s *Store) Put(tab, name string, value []byte) {
	tx := table.Tx{Put: []table.Row{{Key: table.Key{Table: tab, Name: name}, Value: value}}}
	_, _ = s.rows.Do(context.Background(), tx) // cannot fail: no faults are injected
}

// Delete removes a row.
func (s *Store) Delete(tab, name string) {
	tx := table.Tx{Delete: []table.Key{{Table: tab, Name: name}}}
	_, _ = s.rows.Do(context.Background(), tx) // cannot fail: no faults are injected
}

// serve serves h on addr and returns the address and the server.
func serve(addr string, h http.Handler) (string, *http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", nil, fmt.Errorf("stand-in: %w", err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }() // ends when the server is closed
	return l.Addr().String(), srv, nil
}
