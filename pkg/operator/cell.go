package operator

// Member is one customer of a cell: a cooperative's member or an association.
type Member struct {
	Name   string  `json:"name"`
	Weight float64 `json:"weight,omitempty"` // of its share of the cell; zero: one
	Quota  Size    `json:"quota,omitzero"`   // guaranteed in each zone; what is over it is borrowed
	Worth  float64 `json:"worth,omitempty"`  // of one of its requests against others'; zero: one
}

// Share is the member's weight, one if unset.
func (m Member) Share() float64 {
	if m.Weight == 0 {
		return 1
	}
	return m.Weight
}

// Limits bounds what callers may ask. A zero field takes the default.
type Limits struct {
	Body  int64 `json:"body,omitempty"`  // largest request or answer, bytes; zero: 4 MiB
	Queue int   `json:"queue,omitempty"` // requests waiting for a slot of one entry; zero: 512
	Retry int   `json:"retry,omitempty"` // retries as a percentage of first tries; zero: 10
}

// Cell is the configuration that is in force everywhere: who may use the
// system, with what share, under which policy.
type Cell struct {
	Version int64    `json:"version"` // what this was made from; apply writes Version+1
	Author  string   `json:"author"`
	Zones   []string `json:"zones"`            // availability zones; jobs and keys that name none are spread over them
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

// Find returns the member of that name.
func (c *Cell) Find(name string) (Member, bool) {
	for _, m := range c.Members {
		if m.Name == name {
			return m, true
		}
	}
	return Member{}, false
}
