package main

import (
	"fmt"
	"time"

	"jasminestep/platform/standin"
)

func init() { scenarios["moved"] = movedQueue }

// movedQueue fills a service, lets jobs of a queue wait for it, sends the queue to
// another service and asks each entry how many jobs of the queue have not begun.
func movedQueue(r *rig, trouble bool) (broken []string, err error) {
	for _, service := range standin.Services {
		if err = r.addMinions(service, 2, 4_000); err != nil {
			return nil, err
		}
	}
	if err = r.writeConfig(1, standin.Services[0]); err != nil {
		return nil, err
	}
	if err = r.addEntries(4, func(int) string { return r.store }); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	const jobs = 12
	long := standin.Job{Steps: 1, Tasks: 1, Millis: 10_000, CPU: 4000}
	for n := range jobs {
		if err = r.submit(n, jobID(n), long); err != nil {
			return nil, err
		}
	}
	time.Sleep(visible + 2*time.Second + contact)
	if trouble {
		if err = r.writeConfig(2, standin.Services[1]); err != nil {
			return nil, err
		}
	}
	time.Sleep(propagation + contact)
	for range 3 {
		_, starts := r.ledger.Report()
		waiting := 0
		for n := range jobs {
			if starts[jobID(n)] == 0 {
				waiting++
			}
		}
		for _, e := range r.entries {
			n, text := r.pending(e)
			r.say("GET /queue/ at %s: %s; %d jobs have not begun", e.name, text, waiting)
			if n >= 0 && 2*n < waiting {
				broken = append(broken, fmt.Sprintf("MIXED: %s gives %d as pending, %d jobs were accepted over %v before and have not begun", e.name, n, waiting, visible+2*time.Second))
			}
		}
		time.Sleep(2500 * time.Millisecond)
	}
	for n := range jobs {
		r.say("job %s is %s", jobID(n), r.state(r.entries[n%len(r.entries)], jobID(n)))
	}
	return broken, nil
}
