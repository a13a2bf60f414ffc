package table

import "time"

// Clock relates the clock of the store, in milliseconds, to the clock of this
// process, from what answers of the store say. The store's clock is steady and
// the same for all processes, so it dates what one process leaves for the next.
// The zero value knows nothing.
type Clock struct {
	Low, High int64     // bounds on the store's clock, less this process's clock, at Observed
	Observed  time.Time // of the newest answer; zero if there was none
}

// maxDrift is how much faster or slower the clock of a process may run than that
// of the store.
const maxDrift = 0.005

// Observe takes in an answer with the time now of the store, to a call made from
// began to ended.
func (c *Clock) Observe(now int64, began, ended time.Time) {
	if now <= 0 {
		return
	}
	d := drift(ended.Sub(began))
	low, high := now-ended.UnixMilli()-1-d, now+1-began.UnixMilli()+d
	if !c.Observed.IsZero() {
		d = drift(ended.Sub(c.Observed))
		if l, h := max(low, c.Low-d), min(high, c.High+d); l <= h {
			low, high = l, h
		}
	}
	*c = Clock{low, high, ended}
}

// Latest returns the time that the store's clock shows at t at the latest, and
// false if nothing is known.
func (c Clock) Latest(t time.Time) (int64, bool) {
	return t.UnixMilli() + 1 + c.High + drift(t.Sub(c.Observed)), !c.Observed.IsZero()
}

// Reached returns a time at which the store's clock certainly shows at least
// now, and false if nothing is known.
func (c Clock) Reached(now int64) (time.Time, bool) {
	t := time.UnixMilli(now - c.Low)
	return t.Add(time.Duration(drift(t.Sub(c.Observed))) * time.Millisecond), !c.Observed.IsZero()
}

// drift returns how far the two clocks may have drifted apart in d, in
// milliseconds.
func drift(d time.Duration) int64 { return int64(maxDrift*float64(d.Abs().Milliseconds())) + 1 }
