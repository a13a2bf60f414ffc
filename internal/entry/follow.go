package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/book"
	"jasminestep/internal/journal"
	"jasminestep/internal/peer"
)

// TailArgs asks an owner for the batches after Seq.
type TailArgs struct {
	Zone string
	Seq  int64
	Wait time.Duration // until there are some
}

// TailReply has batches, or says that the asked one cannot tell.
type TailReply struct {
	Batches []journal.Batch
	Owner   bool // the answering entry owns the zone for sure
	Gap     bool // it no longer has the batches: read the table
}

// Timing of following.
const (
	tailWait   = 500 * time.Millisecond
	tailSlack  = 700 * time.Millisecond
	tailMost   = 64
	tablePause = 250 * time.Millisecond // between reads of the table while the owner is silent
	stagger    = 120 * time.Millisecond // between candidates for a takeover
)

// followLoop keeps the replica fresh, from the owner while it answers and from
// the table otherwise, and takes the zone over once its owner's lease is over.
func (e *Entry) followLoop(ctx context.Context) {
	for ctx.Err() == nil {
		switch {
		case e.tailOwner(ctx):
		case e.tailTable(ctx):
			if e.mayOwn() {
				e.takeOver(ctx)
			} else {
				sleep(ctx, tablePause)
			}
		default:
			sleep(ctx, tablePause)
		}
	}
}

// ownerAddr is where the zone's owner, as the journal has it, can be called.
func (e *Entry) ownerAddr() (addr string, self bool) {
	var id string
	var boot int64
	e.rep.read(func(b *book.ZoneState) { id, boot = b.Owner, b.Boot })
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

// tailOwner reads from the owner; false if there is none or it does not answer.
func (e *Entry) tailOwner(ctx context.Context) bool {
	addr, _ := e.ownerAddr()
	if addr == "" {
		return false
	}
	asked := time.Now()
	cctx, cancel := context.WithTimeout(ctx, tailWait+tailSlack)
	defer cancel()
	r := &TailReply{}
	err := e.peers.Call(cctx, addr, peer.Control, "Tail", &TailArgs{e.Settings.Zone, e.rep.seq(), tailWait}, r)
	if err != nil || r.Gap || !r.Owner {
		return false
	}
	if e.behind > 0 && len(r.Batches) > 0 {
		sleep(ctx, e.behind)
	}
	if !e.rep.apply(r.Batches) {
		return false
	}
	e.guard.confirm(asked)
	return true
}

// tailTable reads from the table; false if it does not answer.
func (e *Entry) tailTable(ctx context.Context) bool {
	asked := time.Now()
	for {
		seq := e.rep.seq()
		bs, err := journal.Tail(ctx, e.platform, e.Settings.Zone, seq)
		if err == nil && seq == 0 && len(bs) == 0 {
			err = journal.ErrGap // perhaps all is in a snapshot
		}
		if errors.Is(err, journal.ErrGap) {
			bk, err := journal.Load(ctx, e.platform, e.Settings.Zone)
			if err != nil {
				return false
			}
			e.rep.replace(bk)
			if bs, err = journal.Tail(ctx, e.platform, e.Settings.Zone, bk.Seq); err != nil {
				return false
			}
		} else if err != nil {
			return false
		}
		e.rep.apply(bs)
		if len(bs) == 0 {
			e.guard.confirm(asked)
			return true
		}
	}
}

// mayOwn reports whether the zone's last owner has given it up, or its lease
// has lapsed by any clock, and it is this entry's turn to try.
func (e *Entry) mayOwn() bool {
	if e.Leaving() || e.cells.get().Version == 0 {
		return false
	}
	var at time.Time
	var handed bool
	e.rep.read(func(b *book.ZoneState) { at, handed = time.UnixMilli(b.At), b.Owner == "" })
	l := e.Settings.Timing()
	turn := time.Duration(e.rank()) * stagger
	if handed {
		return time.Since(at) > turn
	}
	return time.Since(at) > l.OwnerLease+l.ClockSkew+turn
}

// rank is this entry's place among the live entries of its zone.
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

// Tail answers TailArgs.
func (p *Peer) Tail(a *TailArgs, r *TailReply) error {
	e := p.e
	e.polls.Add(1)
	defer e.polls.Add(-1)
	if a.Zone != e.Settings.Zone {
		r.Gap = true
		return nil
	}
	end := time.After(a.Wait)
	for {
		ch := e.rep.wait()
		bs, ok := e.rep.after(a.Seq, tailMost)
		r.Batches, r.Gap = bs, !ok
		r.Owner = e.own.valid(time.Now())
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
