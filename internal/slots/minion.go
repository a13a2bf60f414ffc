package slots

import "time"

// Minion is an upstream whose slots this entry assigns to requests.
type Minion struct {
	Name  string
	Pool  string
	Addr  string
	Slots int

	Busy                int       // slots in use, including Abandoned
	Abandoned           int       // slots of abandoned requests, which may still run
	Limit               float64   // adaptive concurrency limit, 1 to Slots
	ConsecutiveFailures int       // reset by a successful request
	UnusableUntil       time.Time // end of an ejection, or of the quarantine after an unclean handover
	Quarantined         bool      // UnusableUntil may end early if the minion reports that it is idle
	Draining            bool      // assign no more slots; release the minion once Busy is zero
	Leaving             bool      // the minion has announced that it is leaving
}

// Usable reports whether m can accept a request at now.
func (m *Minion) Usable(now time.Time) bool {
	return !m.Draining && !m.Leaving && !now.Before(m.UnusableUntil) && m.Busy < min(m.Slots, max(1, int(m.Limit)))
}

// PickMinion returns the index of the usable minion with the lowest load
// relative to its limit, or -1 if none is usable. Each consecutive failure
// counts like a full load.
func PickMinion(ms []*Minion, now time.Time) int {
	best, lowest := -1, 0.0
	for i, m := range ms {
		if !m.Usable(now) {
			continue
		}
		v := float64(m.Busy)/max(1, m.Limit) + float64(m.ConsecutiveFailures)
		if best < 0 || v < lowest {
			best, lowest = i, v
		}
	}
	return best
}

// Parameters of the ejection of failing minions.
const (
	ejectFailures   = 4 // consecutive failures
	ejectDuration   = 3 * time.Second
	maxEjectedShare = 0.5 // maximum share of a pool that is ejected at a time
)

// ShouldEject reports whether a minion that failed again is to be ejected. At
// most half of a pool is ejected at a time, so that a false signal cannot make
// the whole pool unavailable.
func ShouldEject(ms []*Minion, m *Minion, now time.Time) bool {
	if m.ConsecutiveFailures < ejectFailures || now.Before(m.UnusableUntil) {
		return false
	}
	ejected := 1
	for _, x := range ms {
		if now.Before(x.UnusableUntil) {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedShare*float64(len(ms))
}
