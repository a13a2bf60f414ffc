package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/book"
	"jasminestep/internal/control"
	"jasminestep/internal/peer"
	"jasminestep/internal/place"
	"jasminestep/pkg/operator"
)

// Errors of operators' calls besides those of configuration.
var (
	ErrWrong   = errors.New("refused")                      // the request itself is wrong
	ErrMissing = errors.New("not found")                    // no such job of that member
	ErrFar     = errors.New("cannot be reached at present") // who would know
)

// OwnerArgs is a request to a zone's owner; exactly one pointer is set.
type OwnerArgs struct {
	Zone    string
	Submit  *control.Submit
	Cancel  *control.Cancel
	Keys    *control.KeysSeen
	Explain *control.Explain
	Adopted *control.Adopted
	Limit   time.Duration // for the answer
	Forward bool          // the asked entry may pass it on to its zone's owner
}

// Owner answers OwnerArgs.
func (p *Peer) Owner(a *OwnerArgs, r *control.Answer) error {
	ans, err := p.e.atOwner(a)
	if errors.Is(err, errNotOwner) && a.Forward && a.Zone == p.e.Set.Zone {
		ctx, cancel := context.WithTimeout(context.Background(), a.Limit)
		defer cancel()
		b := *a
		b.Forward = false
		ans, err = p.e.callOwner(ctx, &b)
	}
	*r = ans
	return err
}

// atOwner has this entry's control answer a, if it owns the zone.
func (e *Entry) atOwner(a *OwnerArgs) (control.Answer, error) {
	o := e.own.of(a.Zone, e.Set.Zone)
	if o == nil {
		return control.Answer{}, errNotOwner
	}
	reply := make(chan control.Answer, 1)
	deadline := time.Now().Add(a.Limit)
	var m control.Message
	switch {
	case a.Submit != nil:
		m = control.Submit{ID: a.Submit.ID, Spec: a.Submit.Spec, Deadline: deadline, Reply: reply}
	case a.Cancel != nil:
		m = control.Cancel{ID: a.Cancel.ID, Member: a.Cancel.Member, Deadline: deadline, Reply: reply}
	case a.Keys != nil:
		m = control.KeysSeen{Share: a.Keys.Share, Seen: a.Keys.Seen, Reply: reply}
	case a.Explain != nil:
		m = control.Explain{ID: a.Explain.ID, Reply: reply}
	case a.Adopted != nil:
		m = control.Adopted{Job: a.Adopted.Job, Reply: reply}
	default:
		return control.Answer{}, ErrWrong
	}
	timer := time.NewTimer(a.Limit + callSlack)
	defer timer.Stop()
	select {
	case o.Inbox <- m:
	case <-timer.C:
		return control.Answer{}, errNotOwner // too busy to take it: not accepted
	}
	select {
	case r := <-reply:
		return r, nil
	case <-timer.C:
		return control.Answer{}, ErrUnclear
	}
}

// callOwner calls the owner of this entry's zone, wherever it is.
func (e *Entry) callOwner(ctx context.Context, a *OwnerArgs) (control.Answer, error) {
	if e.own.get() != nil {
		return e.atOwner(a)
	}
	addr, _ := e.ownerAddr()
	if addr == "" {
		return control.Answer{}, errNotOwner
	}
	r := &control.Answer{}
	err := e.peers.Call(ctx, addr, peer.Control, "Owner", a, r)
	return *r, err
}

// toOwner has the owner of a's zone answer it, trying again while that is safe:
// all that OwnerArgs can hold may be said twice. Without an answer the error is
// ErrUnclear if any try may have reached an owner, else ErrDown.
func (e *Entry) toOwner(ctx context.Context, a *OwnerArgs) (control.Answer, error) {
	if a.Limit == 0 {
		a.Limit = ownerCall
	}
	end := time.Now().Add(a.Limit)
	unclear := false
	const pause = 50 * time.Millisecond
	for time.Now().Before(end) && ctx.Err() == nil {
		b := *a
		b.Limit = time.Until(end)
		cctx, cancel := context.WithTimeout(ctx, b.Limit+2*callSlack)
		r, err := e.oneOwner(cctx, &b)
		cancel()
		if err == nil {
			if !r.OK && !r.Bad && r.Moved == "" && time.Until(end) > pause {
				sleep(ctx, pause)
				continue // an owner that is about to be replaced
			}
			return r, nil
		}
		if !errors.Is(err, peer.ErrNotSent) && !notOwner(err) {
			unclear = true
		}
		sleep(ctx, pause)
	}
	if unclear {
		return control.Answer{}, ErrUnclear
	}
	return control.Answer{}, ErrDown
}

func (e *Entry) oneOwner(ctx context.Context, a *OwnerArgs) (control.Answer, error) {
	if a.Zone == "" || a.Zone == e.Set.Zone {
		return e.callOwner(ctx, a)
	}
	if e.own.of(a.Zone, e.Set.Zone) != nil {
		return e.atOwner(a)
	}
	addr := e.anyEntry(a.Zone)
	if addr == "" {
		addr = e.adopterOf(a.Zone)
	}
	if addr == "" {
		return control.Answer{}, errNotOwner
	}
	a.Forward = true
	r := &control.Answer{}
	err := e.peers.Call(ctx, addr, peer.Control, "Owner", a, r)
	return *r, err
}

// notOwner recognises the answer of an entry that did not take a request.
// net/rpc carries errors as text.
func notOwner(err error) bool {
	return errors.Is(err, errNotOwner) || strings.HasSuffix(err.Error(), errNotOwner.Error())
}

// Token names a state: that of Zone after its journal's row Seq.
type Token struct {
	Zone string `json:"zone"`
	Seq  int64  `json:"seq"`
}

// jobID is the id of a member's job of that name in a zone.
func jobID(zone, mem, name string) string { return zone + "." + mem + "." + name }

// zoneOf is the zone that a job id names.
func zoneOf(id string) string {
	zone, _, _ := strings.Cut(id, ".")
	return zone
}

// homeOf is the zone that accepts a job: the one it names, or always the same
// one for the same member and name, so that a submission repeated through
// another entry meets the first.
func (e *Entry) homeOf(j *operator.Job) string {
	zones := e.cells.get().Zones
	if j.Zone != "" || len(zones) == 0 {
		return j.Zone
	}
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%s", j.Member, j.Name)
	return zones[int(h.Sum32()%uint32(len(zones)))]
}

// Submit takes a job in and returns its id and the token of its acceptance.
func (e *Entry) Submit(ctx context.Context, j operator.Job, limit time.Duration) (string, Token, error) {
	if err := j.Check(); err != nil {
		return "", Token{}, err
	}
	if _, ok := e.cells.find(j.Member); !ok {
		return "", Token{}, fmt.Errorf("unknown member %q: %w", j.Member, ErrWrong)
	}
	zone := e.homeOf(&j)
	if !e.cells.hasZone(zone) {
		return "", Token{}, fmt.Errorf("unknown zone %q: %w", zone, ErrWrong)
	}
	id := jobID(zone, j.Member, j.Name)
	a, err := e.toOwner(ctx, &OwnerArgs{Zone: zone, Submit: &control.Submit{ID: id, Spec: j}, Limit: limit})
	return id, Token{zone, a.Seq}, verdict(a, err)
}

// Cancel ends a member's job.
func (e *Entry) Cancel(ctx context.Context, id, mem string, limit time.Duration) (Token, error) {
	args := &OwnerArgs{Zone: zoneOf(id), Cancel: &control.Cancel{ID: id, Member: mem}, Limit: limit}
	a, err := e.toOwner(ctx, args)
	if err == nil && a.Moved != "" {
		args.Zone = a.Moved
		a, err = e.toOwner(ctx, args)
	}
	if err == nil && a.Bad {
		return Token{}, fmt.Errorf("%s: %w", a.Why, ErrMissing)
	}
	return Token{args.Zone, a.Seq}, verdict(a, err)
}

func verdict(a control.Answer, err error) error {
	switch {
	case err != nil:
		return err
	case a.OK:
		return nil
	case a.Bad:
		return fmt.Errorf("%s: %w", a.Why, ErrWrong)
	}
	return fmt.Errorf("%s: %w", a.Why, ErrDown)
}

// Status is what an operator sees of a job.
type Status struct {
	ID        string        `json:"id"`
	State     book.State    `json:"state"`
	Cause     book.Cause    `json:"cause,omitempty"`
	Spec      operator.Job  `json:"spec"`
	Accepted  int64         `json:"accepted"` // Unix milliseconds
	Ended     int64         `json:"ended,omitempty"`
	Cancelled bool          `json:"cancelled,omitempty"`
	Tasks     []book.Task   `json:"tasks"`
	Token     Token         `json:"token"` // of the state that this shows
	Waits     *place.Reason `json:"waits,omitempty"`
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
		return nil, fmt.Errorf("no job %s of member %s: %w", a.ID, a.Member, ErrMissing)
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
			return nil, fmt.Errorf("%w: %w", ErrFar, err)
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
			return nil, fmt.Errorf("%w: %w", ErrFar, err)
		}
	case e.cells.hasZone(a.Zone):
		return nil, fmt.Errorf("zone %s: %w", a.Zone, ErrFar)
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
	rep.read(func(b *book.Book) {
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
