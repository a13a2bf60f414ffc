package main

import (
	"time"

	"jasminestep/platform/standin"
)

func init() { scenarios["bigjob"] = bigJob }

// bigJob hands in a job with many small tasks, all of which fit at once, and small
// jobs before and after it.
func bigJob(r *rig, trouble bool) (broken []string, err error) {
	if err = r.addMinions("soak", 6, 64_000); err != nil {
		return nil, err
	}
	if err = r.writeConfig(1, "soak"); err != nil {
		return nil, err
	}
	if err = r.addEntries(4, func(int) string { return r.store }); err != nil {
		return nil, err
	}
	time.Sleep(contact)
	small := standin.Job{Steps: 1, Tasks: 2, Millis: 200, CPU: 1000}
	large := standin.Job{Steps: 1, Tasks: 200, Millis: 1000, CPU: 40}
	if trouble {
		large.Tasks = 2000
	}
	ids := []string{jobID(0)}
	if err = r.submit(0, ids[0], small); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	r.say("job %s is %s", ids[0], r.state(r.entries[0], ids[0]))
	ids = append(ids, jobID(1))
	if err = r.submit(1, ids[1], large); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	room, each := demand{6 * 64_000, 6 * 1000}, demand{int64(small.CPU), 1}
	var ends []func() []string
	for n := 2; n < 8; n++ {
		ids = append(ids, jobID(n))
		if err = r.submit(n, ids[n], small); err != nil {
			return nil, err
		}
		demands := map[string]demand{ids[1]: {int64(large.CPU), 1}}
		for i := 2; i < 8; i++ {
			demands[jobID(i)] = each
		}
		ends = append(ends, r.watchStarving(starving{id: ids[n], tasks: small.Tasks, room: room, demands: demands}))
		time.Sleep(500 * time.Millisecond)
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(2 * time.Second) {
		left := 0
		for _, id := range ids {
			if r.state(r.entries[0], id) != "completed" {
				left++
			}
		}
		r.say("%d of %d jobs are not completed; running: %v", left, len(ids), r.ledger.Running())
		if left == 0 {
			break
		}
	}
	for _, end := range ends {
		broken = append(broken, end()...)
	}
	_, starts := r.ledger.Report()
	for n, id := range ids {
		st := r.state(r.entries[n%len(r.entries)], id)
		r.say("job %s is %s, %d starts", id, st, starts[id])
	}
	return broken, nil
}
