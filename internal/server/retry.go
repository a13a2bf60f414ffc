package server

import (
	"time"

	"jasminestep/internal/work"
)

// While the store cannot be reached no job is accepted. Clients try a few times,
// as far apart as they are told. A job that is soon late is worth a try each
// second; one with more time is told to wait longer, so that the same number of
// tries spans a longer outage and the job is still on time afterwards.

// Bounds on Retry-After.
const (
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// triesInObjective is how many tries fit into a job's objective.
const triesInObjective = 6

// retryAfter returns when the client of a job that was not accepted should try
// again, in whole seconds.
func retryAfter(j *work.Job) time.Duration {
	d := (j.Objective() / triesInObjective).Truncate(time.Second)
	return min(max(d, minRetryAfter), maxRetryAfter)
}
