package shard

import (
	"time"

	"jasminestep/internal/work"
)

// A call to a minion that has had no reply may have been carried out, or may be carried
// out until MaxOrderDelay after it was sent, by the incarnation that is there then. What
// the owner believes of such calls is decided in this file:
//
//	call            by this incarnation             by the next one                   closed by
//	start           until it has answered a higher  until MaxOrderDelay after it was  a reply, a list with the run or its
//	                token, or the lease has ended   sent, with a lease of its own     end, an answer to a higher token
//	stop, throttle  the same                        without effect: the run is not    the next list, which shows whether
//	                                                there                             it has to be sent again
//	renewal with a  within the lease that it names  may give the longest lease, from  the end of that lease, see called.go
//	lease                                           its first answer at the latest
//	renewal with a  without harm: the owner has     would discard the ends of starts  its answer, or a higher token, which
//	number of ends  read these ends                 that were carried out there       each start has that is sent after it
//
// An answer to a higher token closes a start for the incarnation that gave it. If that
// one ends, and the next one gets the start before any call with that token, the start
// takes effect there all the same; KNOWN-RED.txt has this.
//
// Members of gangs and copies are starts like others. A next owner knows no open starts: it takes
// all runs of its predecessor for open until a minion answers it, but gives them up with the leases,
// while a start may be carried out later; KNOWN-RED.txt has this, too.

// startOpen reports whether the start of a run was sent, and may still be carried out or
// have been carried out unnoticed. Once the incarnation has answered a higher token, the
// start is closed, also while it is not known yet what became of the run.
func (r *run) startOpen() bool { return r.state == sent || r.state == uncertain && !r.fenced }

// nextAck returns the number up to which the minion may discard ends with renewal seq,
// which is made now; 0 if it may discard none. A next incarnation that got the number would
// discard ends of its own, which nobody has read, if it has any: they are of starts that are
// open now, or that are sent before the renewal has an answer. The former hold the
// number back, the latter get a higher token. An incarnation that is gone already is told
// no number, as only one that has answered the renewal before gets one.
func (m *minion) nextAck(now time.Time, seq int64) int64 {
	listed := m.listedEnd
	m.listedEnd = 0
	m.outrunAck()
	n := min(listed, m.durableEnd)
	if n == 0 {
		return 0
	}
	if m.awaitsStart() {
		if m.acksHeldSince.IsZero() {
			m.acksHeldSince = now
		}
		return 0
	}
	m.ackSeq, m.ackToken = seq, m.token
	if !m.listFull {
		m.acksHeldSince = time.Time{}
	}
	return n
}

// maxAckHold is for how long starts that are open may keep a minion from discarding ends,
// before no more are sent to it. It lists only so many ends, and the owner
// does not hear of the others.
const maxAckHold = 500 * time.Millisecond

// owesAck reports whether the minion, whose list of ends is full, has waited too long for
// leave to discard some.
func (m *minion) owesAck(now time.Time) bool {
	return m.listFull && !m.acksHeldSince.IsZero() && now.Sub(m.acksHeldSince) >= maxAckHold
}

// noteListed records which ends the answer to a renewal lists, of which most fit.
func (m *minion) noteListed(n Renewal, ends []work.End, most int) {
	if n.Seq == m.ackSeq {
		m.ackSeq = 0
	}
	m.listFull = len(ends) >= most
	if len(ends) == 0 {
		m.listedEnd, m.acksHeldSince = 0, time.Time{}
		return
	}
	m.listedEnd = ends[len(ends)-1].N
}

// outrunAck raises the token over that of a renewal that lets ends be discarded and has no
// answer. If the next incarnation has seen what is sent from now on, it refuses
// that renewal.
func (m *minion) outrunAck() {
	if m.ackSeq != 0 && m.ackToken == m.token {
		m.token++
	}
	m.ackSeq = 0
}

// HandleEndsDurable records that the ends of an incarnation up to number n are durable, so
// that it may discard them.
func (s *State) HandleEndsDurable(l work.Incarnation, n int64) {
	if m := s.current(l); m != nil {
		m.durableEnd = max(m.durableEnd, n)
	}
}

// awaitsStart reports whether a start that was sent to the minion is open.
func (m *minion) awaitsStart() bool {
	for _, r := range m.runs {
		if r.startOpen() {
			return true
		}
	}
	return false
}

// mayBeginUntil is until when the start of the run may still be carried out, by the next
// incarnation of its minion; zero if it cannot be. Without a row there is no sign of a
// next incarnation.
func (s *State) mayBeginUntil(m *minion, r *run) time.Time {
	if !m.listed || r.state != sent && r.state != uncertain || r.unreached || r.sentAt.IsZero() || r.step == nil {
		return time.Time{}
	}
	return s.lateEnd(r.sentAt)
}

// settleAbsent closes the starts that a report proves not to be carried out any more: it
// was requested after them, with a higher token. Runs that it does not list are gone,
// unless it is not complete: the minion may have more ends than it has listed.
func (s *State) settleAbsent(now time.Time, m *minion, n Renewal, listed map[runKey]bool, complete bool) {
	for k, r := range m.runs {
		if listed[k] || n.Seq <= r.renewalMark {
			continue
		}
		if r.state == uncertain && n.Token > r.fenceToken(s) {
			r.fenced = true
		}
		if !complete || r.state != live && !r.fenced {
			continue
		}
		s.remove(m, r)
		s.requeueLost(now, r, "its minion does not list it")
		if r.carried != nil {
			s.accuseTask(now, r.carried)
		}
	}
}

// fenceToken is the highest token with which a start of the run may still
// arrive.
func (r *run) fenceToken(s *State) int64 {
	if r.renewalMark == 0 {
		return s.Term*tokensPerTerm - 1 // sent by a previous owner
	}
	return r.token
}
