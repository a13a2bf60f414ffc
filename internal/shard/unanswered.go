package shard

import "time"

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
//	renewal with a  without harm: the owner has     would discard the ends of starts  its answer, as no start is sent
//	number of ends  read these ends                 that were carried out there       beside it
//
// An answer to a higher token closes a start for the incarnation that gave it. If that
// one ends, and the next one gets the start before any call with that token, the start
// takes effect there all the same; KNOWN-RED.txt has this.

// startOpen reports whether the start of a run was sent, and may still be carried out or
// have been carried out unnoticed. Once the incarnation has answered a higher token, the
// start is closed, also while it is not known yet what became of the run.
func (r *run) startOpen() bool { return r.state == sent || r.state == uncertain && !r.fenced }

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
// incarnation of its minion; zero if it cannot be, or if the run may not wait for that
// long. Without a row there is no sign of a next incarnation.
func (s *State) mayBeginUntil(m *minion, r *run) time.Time {
	if !m.listed || r.state != sent && r.state != uncertain || r.unreached || r.sentAt.IsZero() || r.step == nil || r.step.Lasting {
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
