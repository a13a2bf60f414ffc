package operator

// Member is one customer of a cell: a cooperative's member or an association.
type Member struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight,omitempty"` // relative share of the cell; zero: one
	Quota  Size    `json:"quota,omitzero"`   // guaranteed in each zone; usage above it is borrowed
	Worth  float64 `json:"worth,omitempty"`  // relative value of one of its requests; zero: one
}

// Share returns the member's weight, or one if it is unset.
func (m Member) Share() float64 {
	if m.Weight == 0 {
		return 1
	}
	return m.Weight
}

// Limits bounds the requests of callers. A zero field takes the default.
type Limits struct {
	Body  int64 `json:"body,omitempty"`  // maximum size of a request or response body, bytes; zero: 4 MiB
	Queue int   `json:"queue,omitempty"` // maximum requests that wait for a slot in one entry; zero: 512
	Retry int   `json:"retry,omitempty"` // retries as a percentage of first attempts; zero: 10
}

// Cell is the configuration of all zones: the members, their shares, the
// placement policy and the limits.
type Cell struct {
	Version int64    `json:"version"` // version that this configuration is based on; apply stores Version+1
	Author  string   `json:"author"`
	Zones   []string `json:"zones"`            // availability zones; jobs and keys without a zone are distributed over them
	Policy  string   `json:"policy,omitempty"` // pack or wait; empty: pack
	Members []Member `json:"members"`
	Limits  Limits   `json:"limits,omitzero"`
}

// Default bounds for Limits.
const (
	DefaultBody  = 4 << 20 // bytes
	DefaultQueue = 512     // requests
	DefaultRetry = 10      // percent
)

// Filled returns l with defaults in place of zero fields.
func (l Limits) Filled() Limits {
	if l.Body == 0 {
		l.Body = DefaultBody
	}
	if l.Queue == 0 {
		l.Queue = DefaultQueue
	}
	if l.Retry == 0 {
		l.Retry = DefaultRetry
	}
	return l
}

// Find returns the member with the given name.
func (c *Cell) Find(name string) (Member, bool) {
	for _, m := range c.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
