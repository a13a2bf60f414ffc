package operator

// Kind determines how the tasks of a job are started and when they end.
type Kind string

// The kinds of job.
const (
	Batch   Kind = "batch"   // tasks run to completion independently
	Gang    Kind = "gang"    // tasks run to completion and all start together
	Service Kind = "service" // tasks run until cancelled and are restarted when they end
)

// Cut is the behaviour of a job's tasks while their availability zone is
// partitioned from the others.
type Cut string

// The behaviours during a zone partition.
const (
	Stay Cut = "stay" // keep running; not moved until the zone is reachable or its VMs are removed
	Move Cut = "move" // stop when the lease expires, then run in another zone
)

// Urgency is the first criterion of the queue order.
type Urgency int

// The urgency levels. The zero value is Normal.
const (
	Normal Urgency = 0
	Urgent Urgency = 1
)

// Job is a job as an operator submits it.
type Job struct {
	// Name identifies the job within its member. It is also the idempotency
	// key of a submission: the same member and name are accepted once.
	Name   string `json:"name"`
	Member string `json:"member"`
	Kind   Kind   `json:"kind,omitempty"`  // empty: batch
	Tasks  int    `json:"tasks,omitempty"` // how many; zero: one
	// Command is passed to the worker unchanged.
	Command []string `json:"command"`
	Size    Size     `json:"size,omitzero"`     // of one task
	Runtime int64    `json:"runtime,omitempty"` // declared run time of one task, milliseconds; zero: unknown
	Worth   float64  `json:"worth,omitempty"`   // value of one completed task; zero: one
	Urgency Urgency  `json:"urgency,omitempty"`
	Cut     Cut      `json:"cut,omitempty"`     // empty: stay for services, move for other kinds
	Zone    string   `json:"zone,omitempty"`    // availability zone; empty: the zone that accepts the job
	Rack    string   `json:"rack,omitempty"`    // only workers of this rack; empty: any
	Spread  bool     `json:"spread,omitempty"`  // at most one task per rack while there are unused racks
	Retries int      `json:"retries,omitempty"` // failed attempts of a task before it ends as failed; zero: 3, below zero: none
	Family  string   `json:"family,omitempty"`  // jobs that share run time statistics; empty: the name up to its last dash
	Pool    string   `json:"pool,omitempty"`    // pool whose requests the tasks of a service handle; empty: none
	Slots   int      `json:"slots,omitempty"`   // concurrent requests per task; zero: 8
}

// Count returns the number of tasks, at least one.
func (j *Job) Count() int { return max(1, j.Tasks) }

// Value returns the worth of one completed task, or one if it is unset.
func (j *Job) Value() float64 {
	if j.Worth == 0 {
		return 1
	}
	return j.Worth
}

// Limit returns the number of failed attempts after which a task has failed.
func (j *Job) Limit() int {
	const defaultRetries = 3
	switch {
	case j.Retries < 0:
		return 1
	case j.Retries == 0:
		return defaultRetries + 1
	}
	return j.Retries + 1
}

// Lineage returns the job family whose run times predict the run time of this
// job.
func (j *Job) Lineage() string {
	if j.Family != "" {
		return j.Family
	}
	for i := len(j.Name) - 1; i > 0; i-- {
		if j.Name[i] == '-' {
			return j.Name[:i]
		}
	}
	return j.Name
}

// Stays reports whether the job's tasks keep running in a partitioned zone.
func (j *Job) Stays() bool {
	return j.Cut == Stay || j.Cut == "" && j.Kind == Service
}
