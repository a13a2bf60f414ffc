package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"jasminestep/internal/platform"
)

// StoreFaults are the faults of the platform. The zero value injects none.
type StoreFaults struct {
	Down            bool          `json:"down,omitempty"` // no call is answered
	ExtraLatency    time.Duration `json:"slow,omitempty"` // latency added to every call
	ReplyLossRate   float64       `json:"lose,omitempty"` // share of writes that take effect but get no reply
	BlockedPrefixes []string      `json:"cut,omitempty"`  // IP address prefixes that cannot reach the platform
}

// Platform is an in-memory table, object store and VM list.
type Platform struct {
	VMListLag time.Duration // delay after which removed VMs disappear from the VM list
	Latency   time.Duration // of every call

	mu      sync.Mutex
	rows    map[string][]byte
	keys    []string // sorted
	objects map[string][]byte
	vms     map[string]*listedVM
	faults  StoreFaults

	Writes, Reads atomic.Int64
}

type listedVM struct {
	vm        platform.VM
	addedAt   time.Time
	removedAt time.Time // zero while the VM exists
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f StoreFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// AddVMs adds VMs to the VM list, which shows them at once.
func (p *Platform) AddVMs(vms ...platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.vms == nil {
		p.vms = map[string]*listedVM{}
	}
	for _, vm := range vms {
		p.vms[vm.ID] = &listedVM{vm: vm, addedAt: time.Now()}
	}
}

// MarkLeaving marks a VM as leaving, which the VM list shows at once.
func (p *Platform) MarkLeaving(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.vms[id]; v != nil {
		v.vm.Leaving = true
	}
}

// RemoveVM removes a VM from the VM list, which still shows it for VMListLag.
func (p *Platform) RemoveVM(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.vms[id]; v != nil && v.removedAt.IsZero() {
		v.removedAt = time.Now()
	}
}

// Serve serves on addr until the returned server is closed.
func (p *Platform) Serve(addr string) (*http.Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.rows, p.objects = map[string][]byte{}, map[string][]byte{}
	p.mu.Unlock()
	s := &http.Server{Handler: p}
	go func() { _ = s.Serve(l) }()
	return s, nil
}

// ServeHTTP answers one call, subject to the injected faults.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	cut := slices.ContainsFunc(f.BlockedPrefixes, func(prefix string) bool { return strings.HasPrefix(r.RemoteAddr, prefix) })
	if f.Down || cut {
		<-r.Context().Done() // blocks until the caller gives up
		return
	}
	time.Sleep(p.Latency + f.ExtraLatency)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if r.Method == http.MethodGet {
		p.Reads.Add(1)
	} else {
		p.Writes.Add(1)
	}
	code, out := p.handle(r, body)
	if r.URL.Path == "/vms" {
		sum := fnv.New64a()
		_, _ = sum.Write(out)
		tag := fmt.Sprintf("%x", sum.Sum64())
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			code, out = http.StatusNotModified, nil
		}
	}
	if r.Method == http.MethodPut && rand.Float64() < f.ReplyLossRate {
		panic(http.ErrAbortHandler) // the write has taken effect, the reply is lost
	}
	w.WriteHeader(code)
	_, _ = w.Write(out)
}

func (p *Platform) handle(r *http.Request, body []byte) (int, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := r.URL.Query()
	key, isRow := strings.CutPrefix(r.URL.Path, "/table/")
	name, isObject := strings.CutPrefix(r.URL.Path, "/objects/")
	switch {
	case r.URL.Path == "/vms":
		return p.listVMs(q.Get("zone"))
	case isRow && r.Method == http.MethodPut:
		return p.createRow(key, body)
	case isRow:
		return lookUp(p.rows, key)
	case isObject && r.Method == http.MethodPut:
		p.objects[name] = body
		return http.StatusOK, nil
	case isObject && r.Method == http.MethodDelete:
		delete(p.objects, name)
		return http.StatusOK, nil
	case isObject:
		return lookUp(p.objects, name)
	case r.Method == http.MethodDelete:
		return p.deleteRows(q.Get("prefix"), q.Get("last"))
	}
	n, _ := strconv.Atoi(q.Get("limit")) // without a valid limit nothing is listed
	return p.scanRows(q.Get("prefix"), q.Get("after"), n)
}

func lookUp(m map[string][]byte, key string) (int, []byte) {
	if b, ok := m[key]; ok {
		return http.StatusOK, b
	}
	return http.StatusNotFound, nil
}

func (p *Platform) createRow(key string, body []byte) (int, []byte) {
	if _, ok := p.rows[key]; ok {
		return http.StatusPreconditionFailed, nil
	}
	p.rows[key] = body
	i := sort.SearchStrings(p.keys, key)
	p.keys = slices.Insert(p.keys, i, key)
	return http.StatusCreated, nil
}

func (p *Platform) scanRows(prefix, after string, n int) (int, []byte) {
	out := []platform.Row{}
	for i := sort.SearchStrings(p.keys, max(prefix, after)); i < len(p.keys) && len(out) < n; i++ {
		k := p.keys[i]
		if !strings.HasPrefix(k, prefix) {
			break
		}
		if k > after {
			out = append(out, platform.Row{Key: k, Value: p.rows[k]})
		}
	}
	b, _ := json.Marshal(out) // keys are strings and values are JSON
	return http.StatusOK, b
}

func (p *Platform) deleteRows(prefix, last string) (int, []byte) {
	i := sort.SearchStrings(p.keys, prefix)
	j := i
	for ; j < len(p.keys) && strings.HasPrefix(p.keys[j], prefix) && p.keys[j] <= last; j++ {
		delete(p.rows, p.keys[j])
	}
	p.keys = slices.Delete(p.keys, i, j)
	return http.StatusOK, nil
}

func (p *Platform) listVMs(zone string) (int, []byte) {
	now := time.Now()
	out := []platform.VM{}
	for _, v := range p.vms {
		if v.vm.Zone == zone && (v.removedAt.IsZero() || now.Sub(v.removedAt) < p.VMListLag) {
			out = append(out, v.vm)
		}
	}
	slices.SortFunc(out, func(a, b platform.VM) int { return strings.Compare(a.ID, b.ID) })
	b, _ := json.Marshal(out) // marshalling plain data doesn't fail
	return http.StatusOK, b
}
