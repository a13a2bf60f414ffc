package entry

import (
	"context"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/control"
	"jasminestep/internal/peer"
	"jasminestep/pkg/operator"
)

// Errors of operators' calls besides those of configuration.
var (
	ErrInvalid     = errors.New("refused")                      // the request itself is wrong
	ErrNotFound    = errors.New("not found")                    // no such job of that member
	ErrUnreachable = errors.New("cannot be reached at present") // who would know
)

// OwnerArgs is a request to a zone's owner; exactly one pointer is set.
type OwnerArgs struct {
	Zone    string
	Submit  *control.Submit
	Cancel  *control.Cancel
	Keys    *control.RecordKeys
	Explain *control.Explain
	Adopted *control.AdoptJob
	Limit   time.Duration // for the answer
	Forward bool          // the asked entry may pass it on to its zone's owner
}

// Owner answers OwnerArgs.
func (p *Peer) Owner(a *OwnerArgs, r *control.Answer) error {
	ans, err := p.e.atOwner(a)
	if errors.Is(err, errNotOwner) && a.Forward && a.Zone == p.e.Settings.Zone {
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
	o := e.own.of(a.Zone, e.Settings.Zone)
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
		m = control.RecordKeys{Share: a.Keys.Share, Seen: a.Keys.Seen, Reply: reply}
	case a.Explain != nil:
		m = control.Explain{ID: a.Explain.ID, Reply: reply}
	case a.Adopted != nil:
		m = control.AdoptJob{Job: a.Adopted.Job, Reply: reply}
	default:
		return control.Answer{}, ErrInvalid
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
		return control.Answer{}, ErrUnknownOutcome
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
		b.Limit = min(time.Until(end), oneTry)
		cctx, cancel := context.WithTimeout(ctx, b.Limit+callSlack)
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
		return control.Answer{}, ErrUnknownOutcome
	}
	return control.Answer{}, ErrUnavailable
}

// oneTry is how long one try may take. The entry asked may be paused, and
// another one of its zone may know the owner.
const oneTry = time.Second

func (e *Entry) oneOwner(ctx context.Context, a *OwnerArgs) (control.Answer, error) {
	if a.Zone == "" || a.Zone == e.Settings.Zone {
		return e.callOwner(ctx, a)
	}
	if e.own.of(a.Zone, e.Settings.Zone) != nil {
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
	if ctx.Err() != nil {
		e.silent(addr)
	}
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
		return "", Token{}, fmt.Errorf("unknown member %q: %w", j.Member, ErrInvalid)
	}
	zone := e.homeOf(&j)
	if !e.cells.hasZone(zone) {
		return "", Token{}, fmt.Errorf("unknown zone %q: %w", zone, ErrInvalid)
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
		return Token{}, fmt.Errorf("%s: %w", a.Why, ErrNotFound)
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
		return fmt.Errorf("%s: %w", a.Why, ErrInvalid)
	}
	return fmt.Errorf("%s: %w", a.Why, ErrUnavailable)
}
