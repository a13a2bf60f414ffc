package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/book"
	"jasminestep/internal/journal"
	"jasminestep/internal/peer"
)

// TailArgs asks a zone's owner for the journal batches after Seq.
type TailArgs struct {
	Zone string
	Seq  int64
	Wait time.Duration // time limit of the long poll
}

// TailReply has the batches that follow, none if the long poll timed out.
type TailReply struct {
	Batches []journal.Batch
	Owner   bool // the answering entry holds a valid lease on the zone
	Gap     bool // the batches are no longer in memory: read the table
}

// Timing of following.
const (
	tailWait          = 500 * time.Millisecond // long poll of the owner
	tailTimeoutSlack  = 700 * time.Millisecond // time allowed for the call beyond tailWait
	maxTailBatches    = 64                     // batches per answer
	tablePollInterval = 250 * time.Millisecond // between reads of the table while the owner does not answer
	takeoverStagger   = 120 * time.Millisecond // between the takeover attempts of two entries
)

// followLoop keeps the replica up to date, from the owner while it answers and
// from the table otherwise, and takes over the zone once its owner's lease has
// expired.
func (e *Entry) followLoop(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case e.tailOwner(ctx):
		case e.tailTable(ctx):
			if e.mayTakeOver() {
				e.takeOver(ctx)
			} else {
				sleep(ctx, tablePollInterval)
			}
		default:
			sleep(ctx, tablePollInterval)
		}
	}
}

// ownerAddr returns the address of the zone's owner according to the journal,
// empty if it is not known or is this entry. self reports whether it is this
// process.
func (e *Entry) ownerAddr() (addr string, self bool) {
	var id string
	var boot int64
	e.replica.read(func(b *book.ZoneState) { id, boot = b.Owner, b.Boot })
	if id == e.Settings.ID {
		return "", boot == e.Boot
	}
	e.view.Lock()
	defer e.view.Unlock()
	if p := e.view.Peers[id]; p != nil && p.Boot == boot {
		return p.Addr, false
	}
	return "", false
}

// tailOwner reads new batches from the owner. It returns false if there is no
// owner, or none whose answer can be used.
func (e *Entry) tailOwner(ctx context.Context) bool {
	addr, _ := e.ownerAddr()
	if addr == "" {
		return false
	}
	asked := time.Now()
	cctx, cancel := context.WithTimeout(ctx, tailWait+tailTimeoutSlack)
	defer cancel()
	r := &TailReply{}
	err := e.peers.Call(cctx, addr, peer.Control, "Tail", &TailArgs{e.Settings.Zone, e.replica.seq(), tailWait}, r)
	if err != nil || r.Gap || !r.Owner {
		return false
	}
	if e.replicaDelay > 0 && len(r.Batches) > 0 {
		sleep(ctx, e.replicaDelay)
	}
	if !e.replica.apply(r.Batches) {
		return false
	}
	e.pauses.confirm(asked)
	return true
}

// tailTable reads new batches from the table. It returns false if the table
// does not answer.
func (e *Entry) tailTable(ctx context.Context) bool {
	asked := time.Now()
	for {
		seq := e.replica.seq()
		bs, err := journal.Tail(ctx, e.platform, e.Settings.Zone, seq)
		if err == nil && seq == 0 && len(bs) == 0 {
			err = journal.ErrGap // all rows may have been moved to a snapshot
		}
		if errors.Is(err, journal.ErrGap) {
			state, err := journal.Load(ctx, e.platform, e.Settings.Zone)
			if err != nil {
				return false
			}
			e.replica.replace(state)
			if bs, err = journal.Tail(ctx, e.platform, e.Settings.Zone, state.Seq); err != nil {
				return false
			}
		} else if err != nil {
			return false
		}
		e.replica.apply(bs)
		if len(bs) == 0 {
			e.pauses.confirm(asked)
			return true
		}
	}
}

// mayTakeOver reports whether the zone's last owner has handed it over, or its
// lease has expired by any clock within the margin, and it is this entry's turn
// to try.
func (e *Entry) mayTakeOver() bool {
	if e.Leaving() || e.config.get().Version == 0 {
		return false
	}
	var at time.Time
	var handedOver bool
	e.replica.read(func(b *book.ZoneState) { at, handedOver = time.UnixMilli(b.At), b.Owner == "" })
	l := e.Settings.Timing()
	delay := time.Duration(e.rank()) * takeoverStagger
	if handedOver {
		return time.Since(at) > delay
	}
	return time.Since(at) > l.OwnerLease+l.ClockSkew+delay
}

// rank returns the number of live entries of the zone that come before this one
// by ID.
func (e *Entry) rank() int {
	e.view.Lock()
	defer e.view.Unlock()
	n, now := 0, time.Now()
	for _, p := range e.view.Peers {
		if p.Zone == e.Settings.Zone && e.view.Alive(p, now) && p.ID < e.Settings.ID {
			n++
		}
	}
	return n
}

// Tail answers a long poll of the journal by a follower.
func (p *Peer) Tail(a *TailArgs, r *TailReply) error {
	e := p.e
	e.longPolls.Add(1)
	defer e.longPolls.Add(-1)
	if a.Zone != e.Settings.Zone {
		r.Gap = true
		return nil
	}
	end := time.After(a.Wait)
	for {
		ch := e.replica.nextChange()
		bs, ok := e.replica.after(a.Seq, maxTailBatches)
		r.Batches, r.Gap = bs, !ok
		r.Owner = e.ownership.valid(time.Now())
		if len(bs) > 0 || !ok || !r.Owner {
			return nil
		}
		select {
		case <-ch:
		case <-end:
			return nil
		}
	}
}
