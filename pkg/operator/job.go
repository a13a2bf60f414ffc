package operator

// Kind is how a job's tasks live.
type Kind string

// The kinds of job.
const (
	Batch   Kind = "batch"   // tasks run to completion, each on its own
	Gang    Kind = "gang"    // tasks run to completion and all start together
	Service Kind = "service" // tasks run until cancelled and are restarted when they end
)

// Cut is what happens to a job's tasks while their availability zone is cut off.
type Cut string

// The behaviours under a zone cut.
const (
	Stay Cut = "stay" // keep running there; not moved until the zone is back or its VMs are gone
	Move Cut = "move" // stop when the lease lapses, then run elsewhere
)

// Urgency orders jobs before anything else does.
type Urgency int

// The urgencies. The zero value is Normal.
const (
	Normal Urgency = 0
	Urgent Urgency = 1
)

// Job is a piece of work that an operator submits.
type Job struct {
	// Name identifies the job within its member. It is also the idempotency
	// key of a submission: the same member and name are accepted once.
	Name   string `json:"name"`
	Member string `json:"member"`
	Kind   Kind   `json:"kind,omitempty"`  // empty: batch
	Tasks  int    `json:"tasks,omitempty"` // how many; zero: one
	// Command is handed to the worker as it is.
	Command []string `json:"command"`
	Size    Size     `json:"size,omitzero"`     // of one task
	Runtime int64    `json:"runtime,omitempty"` // declared run time of one task, milliseconds; zero: not known
	Worth   float64  `json:"worth,omitempty"`   // of one completed task; zero: one
	Urgency Urgency  `json:"urgency,omitempty"`
	Cut     Cut      `json:"cut,omitempty"`     // empty: stay for services, move for the rest
	Zone    string   `json:"zone,omitempty"`    // availability zone; empty: the zone that accepts it
	Rack    string   `json:"rack,omitempty"`    // only workers of this rack; empty: any
	Spread  bool     `json:"spread,omitempty"`  // at most one task a rack while racks last
	Retries int      `json:"retries,omitempty"` // failed attempts of a task before it ends as failed; zero: 3, below zero: none
	Family  string   `json:"family,omitempty"`  // jobs that share run time statistics; empty: the name up to its last dash
	Pool    string   `json:"pool,omitempty"`    // a service's tasks serve requests to this pool; empty: none
	Slots   int      `json:"slots,omitempty"`   // requests one task serves at a time; zero: 8
}

// Count is the number of tasks, one at least.
func (j *Job) Count() int { return max(1, j.Tasks) }

// Value is the worth of one completed task; the zero value counts one.
func (j *Job) Value() float64 {
	if j.Worth == 0 {
		return 1
	}
	return j.Worth
}

// Limit is the number of failed attempts after which a task has failed.
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

// Lineage is the family whose run times predict this job's.
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

// Stays reports whether the job's tasks keep running in a cut zone.
func (j *Job) Stays() bool {
	return j.Cut == Stay || j.Cut == "" && j.Kind == Service
}
