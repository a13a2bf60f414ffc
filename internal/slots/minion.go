package slots

import "time"

// Minion is an upstream whose slots this entry spends.
type Minion struct {
	Name  string
	Pool  string
	Addr  string
	Slots int

	Busy                int       // slots taken, ghosts included
	Abandoned           int       // taken by requests that were abandoned
	Limit               float64   // adaptive concurrency: 1 to Slots
	ConsecutiveFailures int       // in a row
	UnusableUntil       time.Time // ejected, or quiet after an unclean handover, until then
	Quarantined         bool      // Until may end early if the minion reports that it is idle
	Draining            bool      // take no new slots; report when Busy is zero
	Leaving             bool      // it said that it is leaving
}

// Usable reports whether m may take a request at now.
func (m *Minion) Usable(now time.Time) bool {
	return !m.Draining && !m.Leaving && !now.Before(m.UnusableUntil) && m.Busy < min(m.Slots, max(1, int(m.Limit)))
}

// Pick chooses among the minions of a pool: the usable one that is least busy
// for its limit, failing ones last. -1 if none is usable.
func PickMinion(ms []*Minion, now time.Time) int {
	best, top := -1, 0.0
	for i, m := range ms {
		if !m.Usable(now) {
			continue
		}
		v := float64(m.Busy)/max(1, m.Limit) + float64(m.ConsecutiveFailures)
		if best < 0 || v < top {
			best, top = i, v
		}
	}
	return best
}

// Ejection of minions that fail.
const (
	ejectAfter = 4 // failures in a row
	ejectFor   = 3 * time.Second
	ejectMost  = 0.5 // share of a pool that may be out at a time
)

// Eject decides whether a minion that failed again is left out for a while. At
// most half of a pool is out at a time: a bad signal must not empty it.
func ShouldEject(ms []*Minion, m *Minion, now time.Time) bool {
	if m.ConsecutiveFailures < ejectAfter || now.Before(m.UnusableUntil) {
		return false
	}
	out := 1
	for _, x := range ms {
		if now.Before(x.UnusableUntil) {
			out++
		}
	}
	return float64(out) <= ejectMost*float64(len(ms))
}
