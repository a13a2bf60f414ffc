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

// Fault is what can be set from outside while the stand-ins run on their own.
// Exactly one field is set.
type Fault struct {
	Store   *StoreFaults `json:"store,omitempty"`
	Worker  *WorkerFault `json:"worker,omitempty"`
	Silence bool         `json:"silence,omitempty"` // of all connections to minions
	Leave   string       `json:"leave,omitempty"`   // a minion that wants nothing new
	Gone    string       `json:"gone,omitempty"`    // a VM that the list shows no longer
}

// WorkerFault are the faults of the workers named, all of them if none is.
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

// control answers on the site's control address: POST /fault, GET /ledger.
func (p *Environment) serveControl() (*http.Server, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", p.handleFault)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		p.Ledger.mu.Lock()
		defer p.Ledger.mu.Unlock()
		_ = json.NewEncoder(w).Encode(p.Ledger) // the asker may have gone
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
