// Package member keeps an entry's view of the other entries.
//
// The platform's VM list and the seeds name them first; heartbeats then say
// who is alive. An entry that does not answer is pinged through others before
// it is suspected, and refutes a suspicion with a higher incarnation. The view
// steers traffic only: that an entry is silent never proves that it is gone.
//
// Every entry sends the same number of heartbeats a second whatever the number
// of entries: it goes round its own zone and, more slowly, the others.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Status is what is thought of an entry.
type Status int

// The statuses, in the order in which they overrule each other within one
// incarnation.
const (
	Alive Status = iota
	Suspect
	Left // it said that it is leaving
)

// Info is what entries tell each other about an entry.
type Info struct {
	ID     string
	Zone   string
	Addr   string // for peers, IP and port
	Boot   int64  // when the process started, Unix milliseconds: a later one has replaced it
	Inc    int64  // raised by the entry itself to refute a suspicion
	Status Status
}

// newer reports whether a says more than b about the same entry.
func (a Info) newer(b Info) bool {
	if d := cmp.Compare(a.Boot, b.Boot); d != 0 {
		return d > 0
	}
	if d := cmp.Compare(a.Inc, b.Inc); d != 0 {
		return d > 0
	}
	return a.Status > b.Status
}

// Peer is an entry as this one sees it.
type Peer struct {
	Info
	LastHeard        time.Time // last direct answer or message
	ChangedAt        time.Time // of Status
	FailedHeartbeats int       // heartbeats in a row without an answer
}

// Timing of heartbeats.
const (
	HeartbeatInterval = 250 * time.Millisecond // between two heartbeats to the own zone
	farEvery          = 4                      // one in so many goes to another zone
	suspectFails      = 3                      // failed heartbeats before others are asked
	forget            = 10 * time.Minute       // silence after which an entry is no longer told of
	gossip            = 8                      // entries told of in one heartbeat
)

// View is an entry's view of all entries but itself. The zero value lacks Self.
type View struct {
	Self  Info
	Peers map[string]*Peer

	round int // of heartbeats
	told  int // of gossip
}

// Merge takes in what somebody says about an entry, and reports whether the
// view of it changed.
func (v *View) Merge(in Info, now time.Time) bool {
	if in.ID == "" {
		return false
	}
	if in.ID == v.Self.ID {
		v.refute(in)
		return false
	}
	if v.Peers == nil {
		v.Peers = map[string]*Peer{}
	}
	p := v.Peers[in.ID]
	if p == nil {
		v.Peers[in.ID] = &Peer{Info: in, ChangedAt: now}
		return true
	}
	if !in.newer(p.Info) {
		return false
	}
	changed := p.Status != in.Status || p.Boot != in.Boot || p.Addr != in.Addr
	if changed {
		p.ChangedAt = now
	}
	if p.Boot != in.Boot {
		p.FailedHeartbeats = 0
	}
	p.Info = in
	return changed
}

// refute answers a suspicion about this very process.
func (v *View) refute(in Info) {
	if in.Boot == v.Self.Boot && in.Status == Suspect && in.Inc >= v.Self.Inc {
		v.Self.Inc = in.Inc + 1
	}
}

// Heard records a direct message from the entry that in describes.
func (v *View) RecordContact(in Info, now time.Time) bool {
	changed := v.Merge(in, now)
	p := v.Peers[in.ID]
	if p == nil || p.Boot != in.Boot {
		return changed // an older incarnation still talks; the newer one counts
	}
	p.LastHeard, p.FailedHeartbeats = now, 0
	if p.Status == Suspect {
		p.Status, p.ChangedAt = Alive, now
		return true
	}
	return changed
}

// Failed records a heartbeat without an answer. It returns entries through
// which to try, once that is due.
func (v *View) RecordFailure(id string, now time.Time) (ask []Info) {
	p := v.Peers[id]
	if p == nil {
		return nil
	}
	p.FailedHeartbeats++
	if p.FailedHeartbeats < suspectFails || p.Status != Alive {
		return nil
	}
	const helpers = 2
	for _, q := range v.sorted() {
		if q.ID != id && q.Status == Alive && q.FailedHeartbeats == 0 && !q.LastHeard.IsZero() && len(ask) < helpers {
			ask = append(ask, q.Info)
		}
	}
	if len(ask) == 0 {
		v.MarkSuspect(id, now)
	}
	return ask
}

// Suspected records that neither this entry nor those it asked reach id.
func (v *View) MarkSuspect(id string, now time.Time) bool {
	p := v.Peers[id]
	if p == nil || p.Status != Alive {
		return false
	}
	p.Status, p.ChangedAt = Suspect, now
	return true
}

func (v *View) sorted() []*Peer {
	return slices.SortedFunc(maps.Values(v.Peers), func(a, b *Peer) int { return cmp.Compare(a.ID, b.ID) })
}

// Next returns whom to send a heartbeat now.
func (v *View) HeartbeatTargets(now time.Time) (to []Info) {
	v.round++
	var near, far []*Peer
	for _, p := range v.sorted() {
		if !p.LastHeard.IsZero() && now.Sub(p.LastHeard) > forget {
			delete(v.Peers, p.ID)
			continue
		}
		if p.Zone == v.Self.Zone {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	if len(near) > 0 {
		to = append(to, near[v.round%len(near)].Info)
	}
	if len(far) > 0 && v.round%farEvery == 0 {
		to = append(to, far[v.round/farEvery%len(far)].Info)
	}
	return to
}

// aliveFor is how long after it was last heard an entry of the own zone counts
// as alive.
const aliveFor = 3 * time.Second

// Alive reports whether an entry was heard of late. Entries of other zones are
// heard the less often the more there are.
func (v *View) Alive(p *Peer, now time.Time) bool {
	limit := aliveFor
	if p.Zone != v.Self.Zone {
		limit += 2 * farEvery * HeartbeatInterval * time.Duration(len(v.Peers))
	}
	return p.Status == Alive && now.Sub(p.LastHeard) < limit
}

// newFor is how long a change is told of in every heartbeat.
const newFor = 5 * time.Second

// Gossip returns the entries of which something changed of late, and one of the
// others in turn, so that whoever missed it learns it yet.
func (v *View) Gossip(now time.Time) []Info {
	all := v.sorted()
	var out []Info
	for _, p := range all {
		if now.Sub(p.ChangedAt) < newFor && len(out) < gossip {
			out = append(out, p.Info)
		}
	}
	if len(all) > 0 && len(out) < gossip {
		out = append(out, all[v.told%len(all)].Info)
		v.told++
	}
	return out
}
