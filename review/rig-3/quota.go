package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"jasminestep/platform/standin"
)

func init() { scenarios["quota"] = quotaAtHandover }

// owner returns the entry that owns a service, as the store has it.
func (r *rig) owner(service string) *entry {
	rows, err := r.rows.Read(context.Background(), "entry", service, "owner", "owner\x00")
	if err != nil || len(rows.Rows) == 0 {
		return nil
	}
	var row struct {
		Name string `json:"name"`
	}
	if json.Unmarshal(rows.Rows[0].Value, &row) != nil {
		return nil
	}
	for _, e := range r.entries {
		if e.name == row.Name {
			return e
		}
	}
	return nil
}

// other returns an entry that is not e.
func (r *rig) other(e *entry) *entry {
	for _, o := range r.entries {
		if o != e {
			return o
		}
	}
	return nil
}

// Of the tenant, in thousandths of a core.
const (
	tenantCap  = 20_000
	tenantTask = 1_000
)

// quotaAtHandover has a tenant run all that it may, cancels that job and, as it is
// being stopped, stops the owner of the service as planned. Another job of the tenant
// waits.
func quotaAtHandover(r *rig, trouble bool) (broken []string, err error) {
	r.key = "key-of-acme"
	// quotaOverage is 0.1.
	limit := int64(tenantCap + tenantCap/10 + tenantTask)
	r.ledger.SetLimit("acme", limit)
	r.tenants = fmt.Sprintf(`,"tenants":[{"name":"acme","apiKeys":[%q],"weight":5,"cap":{"cpu":%d,"memMb":0,"gpu":0}}]`, r.key, tenantCap)
	if err = r.addMinions("soak", 4, 64_000); err != nil {
		return nil, err
	}
	if err = r.writeConfig(1, "soak"); err != nil {
		return nil, err
	}
	if err = r.addEntries(4, func(int) string { return r.store }); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	job := standin.Job{Steps: 1, Tasks: tenantCap / tenantTask, Millis: 60_000, CPU: tenantTask, Account: "acme"}
	const rounds = 4
	for n := range rounds + 1 {
		if err = r.submit(n, jobID(n), job); err != nil {
			return nil, err
		}
		time.Sleep(200 * time.Millisecond)
	}
	for n := range rounds {
		for end := time.Now().Add(10 * time.Second); r.ledger.Running()[jobID(n)] < job.Tasks; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				return nil, fmt.Errorf("job %s does not run whole: %v", jobID(n), r.ledger.Running())
			}
		}
		time.Sleep(2 * time.Second)
		o := r.owner("soak")
		if o == nil {
			return nil, fmt.Errorf("no owner")
		}
		r.say("running: %v; the owner of the service is %s", r.ledger.Running(), o.name)
		if trouble {
			r.signal(o, syscall.SIGTERM)
		}
		status, _ := r.ask(r.other(o), http.MethodDelete, "/queue/"+jobID(n), "")
		r.say("DELETE %s at %s: %d", jobID(n), r.other(o).name, status)
		for range 8 {
			time.Sleep(100 * time.Millisecond)
			r.say("running: %v", r.ledger.Running())
		}
		if trouble {
			_, _ = o.cmd.Process.Wait()
			if err = r.start(o); err != nil {
				return nil, err
			}
			time.Sleep(2 * time.Second)
		}
	}
	broken, _ = r.ledger.Report()
	return broken, nil
}
