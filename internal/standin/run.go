package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
)

// Fault is the body of POST /fault, by which faults are injected while the
// stand-ins run separately from the entries. Exactly one field is set.
type Fault struct {
	Store   *StoreFaults `json:"store,omitempty"`
	Worker  *WorkerFault `json:"worker,omitempty"`
	Silence bool         `json:"silence,omitempty"` // makes all open connections to minions unresponsive
	Leave   string       `json:"leave,omitempty"`   // id of a minion that refuses new requests from now on
	Gone    string       `json:"gone,omitempty"`    // id of a VM to remove from the VM list
}

// WorkerFault sets the faults of the worker ID, or of all workers if ID is empty.
type WorkerFault struct {
	ID string `json:"id,omitempty"`
	WorkerFaults
}

// WriteSettings writes a settings file for every entry of the site into dir.
func WriteSettings(s Site, dir string) error {
	for _, set := range s.Settings() {
		b, err := json.MarshalIndent(&set, "", "  ")
		if err != nil {
			return fmt.Errorf("settings: %w", err)
		}
		if err = os.WriteFile(filepath.Join(dir, set.ID+".json"), append([]byte("// Settings of "+set.ID+"\n"), b...), 0o600); err != nil {
			return fmt.Errorf("settings: %w", err)
		}
	}
	return nil
}

// serveControl serves POST /fault and GET /ledger on the site's control address.
func (p *Environment) serveControl() (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", p.handleFault)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		p.Ledger.mu.Lock()
		defer p.Ledger.mu.Unlock()
		_ = json.NewEncoder(w).Encode(p.Ledger) // fails only if the client has disconnected
	})
	l, err := net.Listen("tcp", p.Site.ControlAddr())
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(l) }()
	return srv, nil
}

func (p *Environment) handleFault(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	var f Fault
	if err == nil {
		err = json.Unmarshal(b, &f)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	switch {
	case f.Store != nil:
		p.Platform.SetFaults(*f.Store)
	case f.Worker != nil:
		for id, x := range p.Workers {
			if f.Worker.ID == "" || f.Worker.ID == id {
				x.SetFaults(f.Worker.WorkerFaults)
			}
		}
	case f.Silence:
		for _, m := range p.Minions {
			m.Silence()
		}
	case f.Leave != "" && p.Minions[f.Leave] != nil:
		p.Minions[f.Leave].Leave()
	case f.Gone != "":
		p.Platform.RemoveVM(f.Gone)
	}
}
