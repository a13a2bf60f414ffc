package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"jasminestep/internal/book"
	"jasminestep/internal/control"
	"jasminestep/internal/peer"
	"jasminestep/internal/place"
	"jasminestep/pkg/operator"

	"github.com/cockroachdb/errors"
)

// Status is what an operator sees of a job.
type Status struct {
	ID        string            `json:"id"`
	State     book.State        `json:"state"`
	Cause     book.Cause        `json:"cause,omitempty"`
	Spec      operator.Job      `json:"spec"`
	Accepted  int64             `json:"accepted"` // Unix milliseconds
	Ended     int64             `json:"ended,omitempty"`
	Cancelled bool              `json:"cancelled,omitempty"`
	Tasks     []book.Task       `json:"tasks"`
	Token     Token             `json:"token"` // of the state that this shows
	Waits     *place.WaitReason `json:"waits,omitempty"`
}

// ReadArgs asks an entry for the status of a job.
type ReadArgs struct {
	ID     string
	Zone   string // whose journal has it; empty: the one that the id names
	Member string
	Seq    int64 // answer from this state or a later one
	Limit  time.Duration
	Policy Freshness
	Here   bool // do not pass it on
}

// ReadReply has the status, encoded.
type ReadReply struct {
	Found  bool
	Moved  string // zone whose journal has the job now
	Status []byte
}

// Freshness is how a read with a token waits for a state that this entry does
// not have yet.
type Freshness int

// The policies, after Daudjee and Salem, "Lazy Database Replication with
// Ordering Guarantees" (ICDE 2004): both give strong session serializability.
const (
	Forward Freshness = iota // ask the owner at once; without an answer, wait
	Block                    // wait until the state arrives, and ask the owner if it does not
)

// blockFor is how long Block waits before it asks the owner after all.
const blockFor = 300 * time.Millisecond

// Read returns the status of a member's job, from a state no older than a.Seq.
func (e *Entry) Read(ctx context.Context, a ReadArgs) (*Status, error) {
	if a.Zone == "" {
		a.Zone = zoneOf(a.ID)
	}
	r, err := e.readAnywhere(ctx, &a)
	if err == nil && r.Moved != "" {
		a.Zone, a.Seq = r.Moved, 0
		r, err = e.readAnywhere(ctx, &a)
	}
	if err != nil {
		return nil, err
	}
	if !r.Found {
		return nil, fmt.Errorf("no job %s of member %s: %w", a.ID, a.Member, ErrNotFound)
	}
	s := &Status{}
	if err = json.Unmarshal(r.Status, s); err != nil {
		return nil, fmt.Errorf("read: %w", err)
	}
	return s, nil
}

// readAnywhere reads where the journal of a.Zone is followed.
func (e *Entry) readAnywhere(ctx context.Context, a *ReadArgs) (*ReadReply, error) {
	r := &ReadReply{}
	if e.replicaOf(a.Zone) != nil {
		if err := e.readHere(ctx, a, r); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		return r, nil
	}
	addr := e.anyEntry(a.Zone)
	if addr == "" {
		addr = e.adopterOf(a.Zone)
	}
	switch {
	case addr != "":
		if err := e.peers.Call(ctx, addr, peer.Control, "Read", a, r); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
	case e.cells.hasZone(a.Zone):
		return nil, fmt.Errorf("zone %s: %w", a.Zone, ErrUnreachable)
	}
	return r, nil
}

// Read answers ReadArgs.
func (p *Peer) Read(a *ReadArgs, r *ReadReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), a.Limit)
	defer cancel()
	return p.e.readHere(ctx, a, r)
}

var errStale = errors.New("this entry has not that state yet")

// readHere answers from the replica once it is fresh enough.
func (e *Entry) readHere(ctx context.Context, a *ReadArgs, r *ReadReply) error {
	rep := e.replicaOf(a.Zone)
	if rep == nil {
		return errStale
	}
	addr, self := "", true
	if rep == &e.rep {
		addr, self = e.ownerAddr()
	}
	wait := blockFor
	switch {
	case a.Here || self || addr == "":
		wait = a.Limit // nobody else to ask
	case a.Policy == Forward:
		wait = 0
	}
	if rep.fresh(ctx, a.Seq, wait) {
		return e.status(rep, a, r)
	}
	if a.Here || addr == "" {
		return errStale
	}
	b := *a
	b.Here = true
	e.passed.Add(1)
	err := e.peers.Call(ctx, addr, peer.Control, "Read", &b, r)
	if err != nil && rep.fresh(ctx, a.Seq, a.Limit) {
		return e.status(rep, a, r) // the owner is gone; its rows arrive from the table
	}
	return err
}

func (e *Entry) status(rep *replica, a *ReadArgs, r *ReadReply) (err error) {
	var s Status
	rep.read(func(b *book.ZoneState) {
		j := b.Jobs[a.ID]
		if j == nil || j.Spec.Member != a.Member {
			return
		}
		if r.Moved = j.Moved; r.Moved != "" {
			return
		}
		r.Found = true
		s = Status{ID: j.ID, Spec: j.Spec, Accepted: j.Accepted, Ended: j.Ended, Cancelled: j.Cancelled, Token: Token{a.Zone, b.Seq}}
		s.State, s.Cause = j.State()
		for _, t := range j.Tasks {
			s.Tasks = append(s.Tasks, *t)
		}
	})
	if !r.Found {
		return nil
	}
	if s.State == book.Queued && rep == &e.rep {
		const limit = 500 * time.Millisecond
		ctx, cancel := context.WithTimeout(context.Background(), limit)
		defer cancel()
		if w, err := e.callOwner(ctx, &OwnerArgs{Explain: &control.Explain{ID: a.ID}, Limit: limit}); err == nil {
			s.Waits = w.Waits
		}
	}
	if r.Status, err = json.Marshal(&s); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	return nil
}
