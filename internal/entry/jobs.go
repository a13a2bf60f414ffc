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
	ErrInvalid     = errors.New("refused")                      // the request is invalid
	ErrNotFound    = errors.New("not found")                    // the member has no such job
	ErrUnreachable = errors.New("cannot be reached at present") // no entry that has the job's state answers
)

// OwnerArgs is a request to a zone's owner. Exactly one pointer is set.
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

// Owner handles a request to the owner of this entry's zone or of one that it
// has adopted.
func (p *Peer) Owner(a *OwnerArgs, r *control.Answer) error {
	ans, err := p.e.askLocalOwner(a)
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

// askLocalOwner has this entry's control answer a. The error is errNotOwner if
// this entry does not own the zone.
func (e *Entry) askLocalOwner(a *OwnerArgs) (control.Answer, error) {
	o := e.ownership.forZone(a.Zone, e.Settings.Zone)
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
		return control.Answer{}, errNotOwner // the inbox is full: not accepted
	}
	select {
	case r := <-reply:
		return r, nil
	case <-timer.C:
		return control.Answer{}, ErrUnknownOutcome
	}
}

// callOwner makes one call to the owner of this entry's zone, which may be this
// entry itself.
func (e *Entry) callOwner(ctx context.Context, a *OwnerArgs) (control.Answer, error) {
	if e.ownership.get() != nil {
		return e.askLocalOwner(a)
	}
	addr, _ := e.ownerAddr()
	if addr == "" {
		return control.Answer{}, errNotOwner
	}
	r := &control.Answer{}
	err := e.peers.Call(ctx, addr, peer.Control, "Owner", a, r)
	return *r, err
}

// askOwner has the owner of a's zone answer a, and retries until a.Limit, which
// is safe because all requests in OwnerArgs are idempotent. Without an answer
// the error is ErrUnknownOutcome if any try may have reached an owner, else
// ErrUnavailable.
func (e *Entry) askOwner(ctx context.Context, a *OwnerArgs) (control.Answer, error) {
	if a.Limit == 0 {
		a.Limit = ownerCallTimeout
	}
	end := time.Now().Add(a.Limit)
	unclear := false
	const pause = 50 * time.Millisecond
	for time.Now().Before(end) && ctx.Err() == nil {
		b := *a
		b.Limit = min(time.Until(end), ownerTryTimeout)
		cctx, cancel := context.WithTimeout(ctx, b.Limit+callSlack)
		r, err := e.tryOwner(cctx, &b)
		cancel()
		if err == nil {
			if !r.OK && !r.Bad && r.Moved == "" && time.Until(end) > pause {
				sleep(ctx, pause)
				continue // this owner is about to be replaced
			}
			return r, nil
		}
		if !errors.Is(err, peer.ErrNotSent) && !isNotOwner(err) {
			unclear = true
		}
		sleep(ctx, pause)
	}
	if unclear {
		return control.Answer{}, ErrUnknownOutcome
	}
	return control.Answer{}, ErrUnavailable
}

// ownerTryTimeout bounds one try. The entry asked may be paused, in which case
// another one of its zone may reach the owner.
const ownerTryTimeout = time.Second

func (e *Entry) tryOwner(ctx context.Context, a *OwnerArgs) (control.Answer, error) {
	if a.Zone == "" || a.Zone == e.Settings.Zone {
		return e.callOwner(ctx, a)
	}
	if e.ownership.forZone(a.Zone, e.Settings.Zone) != nil {
		return e.askLocalOwner(a)
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
		e.markSilent(addr)
	}
	return *r, err
}

// isNotOwner reports whether err is errNotOwner, from this entry or from a
// peer. net/rpc transmits errors as text, so that is compared.
func isNotOwner(err error) bool {
	return errors.Is(err, errNotOwner) || strings.HasSuffix(err.Error(), errNotOwner.Error())
}

// Token identifies the state of Zone after row Seq of its journal.
type Token struct {
	Zone string `json:"zone"`
	Seq  int64  `json:"seq"`
}

// jobID returns the ID of a member's job in a zone.
func jobID(zone, mem, name string) string { return zone + "." + mem + "." + name }

// jobZone returns the zone in a job ID.
func jobZone(id string) string {
	zone, _, _ := strings.Cut(id, ".")
	return zone
}

// homeZone returns the zone that accepts a job: the one that it names, or one
// picked by a hash of member and name, so that a submission repeated through
// another entry reaches the same owner.
func (e *Entry) homeZone(j *operator.Job) string {
	zones := e.config.get().Zones
	if j.Zone != "" || len(zones) == 0 {
		return j.Zone
	}
	h := fnv.New32a()
	_, _ = fmt.Fprintf(h, "%s/%s", j.Member, j.Name)
	return zones[int(h.Sum32()%uint32(len(zones)))]
}

// Submit accepts a job and returns its ID and the token of its acceptance.
func (e *Entry) Submit(ctx context.Context, j operator.Job, limit time.Duration) (string, Token, error) {
	if err := j.Check(); err != nil {
		return "", Token{}, err
	}
	if _, ok := e.config.find(j.Member); !ok {
		return "", Token{}, fmt.Errorf("unknown member %q: %w", j.Member, ErrInvalid)
	}
	zone := e.homeZone(&j)
	if !e.config.hasZone(zone) {
		return "", Token{}, fmt.Errorf("unknown zone %q: %w", zone, ErrInvalid)
	}
	id := jobID(zone, j.Member, j.Name)
	a, err := e.askOwner(ctx, &OwnerArgs{Zone: zone, Submit: &control.Submit{ID: id, Spec: j}, Limit: limit})
	return id, Token{zone, a.Seq}, answerError(a, err)
}

// Cancel cancels a member's job.
func (e *Entry) Cancel(ctx context.Context, id, mem string, limit time.Duration) (Token, error) {
	args := &OwnerArgs{Zone: jobZone(id), Cancel: &control.Cancel{ID: id, Member: mem}, Limit: limit}
	a, err := e.askOwner(ctx, args)
	if err == nil && a.Moved != "" {
		args.Zone = a.Moved
		a, err = e.askOwner(ctx, args)
	}
	if err == nil && a.Bad {
		return Token{}, fmt.Errorf("%s: %w", a.Why, ErrNotFound)
	}
	return Token{args.Zone, a.Seq}, answerError(a, err)
}

func answerError(a control.Answer, err error) error {
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
