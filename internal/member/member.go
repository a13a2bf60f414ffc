// Package member implements gossip-based membership: each entry's view of the
// other entries.
//
// Entries are discovered through the platform's VM list and the configured
// seeds, and heartbeats track which of them are alive. An entry that does not
// answer is probed through other entries before it is marked as suspect; it
// refutes the suspicion with a higher incarnation number. The view is used for
// routing only: a silent entry is never taken as proof that it has stopped.
//
// The heartbeat rate of an entry does not depend on the number of entries: it
// sends to the entries of its own zone in turn and, at a lower rate, to those
// of the other zones.
package member

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Status is the state of an entry in a view.
type Status int

// Statuses in ascending order of precedence within one incarnation.
const (
	Alive Status = iota
	Suspect
	Left // announced its own departure
)

// Info is the membership record of an entry, as exchanged between entries.
type Info struct {
	ID     string
	Zone   string
	Addr   string // IP and port for calls from peers
	Boot   int64  // process start, Unix milliseconds; a later start replaces an earlier one
	Inc    int64  // incarnation; incremented by the entry itself to refute a suspicion
	Status Status
}

// supersedes reports whether a is more recent than b, both about the same entry.
func (a Info) supersedes(b Info) bool {
	if d := cmp.Compare(a.Boot, b.Boot); d != 0 {
		return d > 0
	}
	if d := cmp.Compare(a.Inc, b.Inc); d != 0 {
		return d > 0
	}
	return a.Status > b.Status
}

// Peer is the local state of another entry.
type Peer struct {
	Info
	LastHeard        time.Time // time of the last direct reply or message
	ChangedAt        time.Time // last change of Status, Boot or Addr
	FailedHeartbeats int       // consecutive heartbeats without a reply
}

// Parameters of heartbeats and gossip.
const (
	HeartbeatInterval = 250 * time.Millisecond // between heartbeats to the own zone
	otherZoneEvery    = 4                      // every n-th round also sends to another zone
	suspectAfter      = 3                      // failed heartbeats before indirect probes
	forgetAfter       = 10 * time.Minute       // silence after which an entry is removed
	maxGossip         = 8                      // records in one heartbeat
)

// View is an entry's view of all other entries. Self must be set before use.
type View struct {
	Self  Info
	Peers map[string]*Peer
	// Started is called with the record of every new process before the view
	// shows it. It may be nil.
	Started func(Info)

	heartbeatRound int // number of calls of HeartbeatTargets
	gossipCursor   int // next peer to gossip in turn
}

// Merge applies a record received from any entry and reports whether the status,
// start time or address of the entry changed.
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
	if p != nil && !in.supersedes(p.Info) {
		return false
	}
	if v.Started != nil && (p == nil || p.Boot != in.Boot) {
		v.Started(in)
	}
	if p == nil {
		v.Peers[in.ID] = &Peer{Info: in, ChangedAt: now}
		return true
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

// refute raises the own incarnation if this process is suspected.
func (v *View) refute(in Info) {
	if in.Boot == v.Self.Boot && in.Status == Suspect && in.Inc >= v.Self.Inc {
		v.Self.Inc = in.Inc + 1
	}
}

// RecordContact records a direct message from the entry described by in. It
// reports whether the view of that entry changed.
func (v *View) RecordContact(in Info, now time.Time) bool {
	changed := v.Merge(in, now)
	p := v.Peers[in.ID]
	if p == nil || p.Boot != in.Boot {
		return changed // message of a replaced process; the newer one takes precedence
	}
	p.LastHeard, p.FailedHeartbeats = now, 0
	if p.Status == Suspect {
		p.Status, p.ChangedAt = Alive, now
		return true
	}
	return changed
}

// RecordFailure records a heartbeat without a reply. Once the failure threshold
// is reached, it returns the entries to send indirect probes through; if there
// are none, it marks the entry as suspect.
func (v *View) RecordFailure(id string, now time.Time) (probers []Info) {
	p := v.Peers[id]
	if p == nil {
		return nil
	}
	p.FailedHeartbeats++
	if p.FailedHeartbeats < suspectAfter || p.Status != Alive {
		return nil
	}
	const maxProbers = 2
	for _, q := range v.sortedPeers() {
		if q.ID != id && q.Status == Alive && q.FailedHeartbeats == 0 && !q.LastHeard.IsZero() && len(probers) < maxProbers {
			probers = append(probers, q.Info)
		}
	}
	if len(probers) == 0 {
		v.MarkSuspect(id, now)
	}
	return probers
}

// MarkSuspect marks id as suspect after direct and indirect probes have failed.
// It reports whether the status changed.
func (v *View) MarkSuspect(id string, now time.Time) bool {
	p := v.Peers[id]
	if p == nil || p.Status != Alive {
		return false
	}
	p.Status, p.ChangedAt = Suspect, now
	return true
}

func (v *View) sortedPeers() []*Peer {
	return slices.SortedFunc(maps.Values(v.Peers), func(a, b *Peer) int { return cmp.Compare(a.ID, b.ID) })
}

// HeartbeatTargets returns the entries to send a heartbeat to in this round, and
// removes those that have been silent for forgetAfter.
func (v *View) HeartbeatTargets(now time.Time) (targets []Info) {
	v.heartbeatRound++
	var sameZone, otherZones []*Peer
	for _, p := range v.sortedPeers() {
		if !p.LastHeard.IsZero() && now.Sub(p.LastHeard) > forgetAfter {
			delete(v.Peers, p.ID)
			continue
		}
		if p.Zone == v.Self.Zone {
			sameZone = append(sameZone, p)
		} else {
			otherZones = append(otherZones, p)
		}
	}
	if len(sameZone) > 0 {
		targets = append(targets, sameZone[v.heartbeatRound%len(sameZone)].Info)
	}
	if len(otherZones) > 0 && v.heartbeatRound%otherZoneEvery == 0 {
		targets = append(targets, otherZones[v.heartbeatRound/otherZoneEvery%len(otherZones)].Info)
	}
	return targets
}

// aliveTimeout is how long after its last message an entry of the own zone is
// considered alive.
const aliveTimeout = 3 * time.Second

// Alive reports whether p has sent a message recently. The timeout for entries of
// other zones grows with the number of entries, because each of them is
// contacted less often.
func (v *View) Alive(p *Peer, now time.Time) bool {
	limit := aliveTimeout
	if p.Zone != v.Self.Zone {
		limit += 2 * otherZoneEvery * HeartbeatInterval * time.Duration(len(v.Peers))
	}
	return p.Status == Alive && now.Sub(p.LastHeard) < limit
}

// recentChange is how long a change is included in every heartbeat.
const recentChange = 5 * time.Second

// Gossip returns the records to include in a heartbeat: those that changed
// recently, and one of all records in turn, so that an entry that missed a
// change receives it eventually.
func (v *View) Gossip(now time.Time) []Info {
	all := v.sortedPeers()
	var out []Info
	for _, p := range all {
		if now.Sub(p.ChangedAt) < recentChange && len(out) < maxGossip {
			out = append(out, p.Info)
		}
	}
	if len(all) > 0 && len(out) < maxGossip {
		out = append(out, all[v.gossipCursor%len(all)].Info)
		v.gossipCursor++
	}
	return out
}
