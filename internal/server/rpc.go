package server

import (
	"context"
	"hash/fnv"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"

	"jasminestep/internal/carry"
	"jasminestep/internal/relay"
	"jasminestep/internal/shard"
	"jasminestep/internal/table"
	"jasminestep/internal/work"
)

// rank orders names differently for each key.
func rank(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // a hash takes everything
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// answered says that the error is the other entry's own answer.
func answered(err error) bool {
	var e rpc.ServerError
	return errors.As(err, &e)
}

// calls are what other entries may ask.
type calls struct{ s *Server }

// AliveReply tells whether an entry owns a shard.
type AliveReply struct {
	Owns bool
	Age  time.Duration // since its last durable write had begun
}

// LookArgs ask an owner for a job.
type LookArgs struct{ Service, ID string }

// LookReply tells of a job. Sure means that the owner has the whole shard in view.
type LookReply struct {
	Owns  bool
	Known bool
	Shown shard.Shown
}

// PendingArgs ask an owner for a queue.
type PendingArgs struct{ Service, Queue string }

// PendingReply counts jobs that have not begun.
type PendingReply struct {
	Owns bool
	N    int
}

// CancelArgs name a job that was cancelled.
type CancelArgs struct{ Service, ID string }

// AskArgs are a question for advice.
type AskArgs struct {
	Step string
	IDs  []string
}

// AskReply is the service's answer, or why there is none.
type AskReply struct {
	Tickets map[string]string
	Valid   time.Duration
	Error   string
}

// RelayReply is what the store answered.
type RelayReply struct {
	Result  table.Result
	Error   string
	Refused bool // the store refused, nothing was done
}

// Ping answers.
func (c *calls) Ping(struct{}, *struct{}) error { return nil }

// Alive tells whether this entry owns the shard of a service.
func (c *calls) Alive(service string, out *AliveReply) error {
	if o := c.s.owner(service); o != nil {
		*out = AliveReply{true, steady().Sub(o.lastWrite())}
	}
	return nil
}

// Submit tells the owner of an accepted job. The reply says whether it is the owner.
func (c *calls) Submit(j *work.Job, owns *bool) error {
	if o := c.s.owner(j.Service); o != nil {
		*owns = true
		o.post(func(now time.Time) { o.st.Submit(now, j) })
	}
	return nil
}

// Cancel tells the owner of an accepted cancellation.
func (c *calls) Cancel(a CancelArgs, owns *bool) error {
	if o := c.s.owner(a.Service); o != nil {
		*owns = true
		o.post(func(now time.Time) { o.st.Cancel(now, a.ID) })
	}
	return nil
}

// Look tells of a job.
func (c *calls) Look(a LookArgs, out *LookReply) error {
	if o := c.s.owner(a.Service); o != nil {
		out.Owns = true
		out.Shown, out.Known = o.look(a.ID)
	}
	return nil
}

// Pending counts the jobs of a queue that have not begun.
func (c *calls) Pending(a PendingArgs, out *PendingReply) error {
	if o := c.s.owner(a.Service); o != nil {
		out.N, out.Owns = o.pending(a.Queue)
	}
	return nil
}

// adviceLimit bounds a question on top of the time that the service takes.
const adviceLimit = 4 * time.Second

// Advise asks the placement service on an owner's behalf: it answers one
// question at a time for each VM.
func (c *calls) Advise(a AskArgs, out *AskReply) error {
	if !c.s.asks.TryLock() {
		out.Error = "this entry asks already, for another shard"
		return nil
	}
	defer c.s.asks.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), adviceLimit)
	defer cancel()
	var err error
	if out.Tickets, out.Valid, err = c.s.Placement.Ask(ctx, a.Step, a.IDs); err != nil {
		out.Error = err.Error()
	}
	return nil
}

// NoStore tells that another entry of the zone reaches the store no more.
func (c *calls) NoStore(struct{}, *struct{}) error {
	go c.s.store.Check(context.Background())
	return nil
}

// Carry makes calls to minions for an owner.
func (c *calls) Carry(b carry.Batch, _ *struct{}) error {
	c.s.carrier.Take(b)
	return nil
}

// Carried returns what came of such calls.
func (c *calls) Carried(session string, out *carry.Answers) error {
	*out = c.s.carrier.Fetch(session)
	return nil
}

// Relay carries out a transaction for an entry that does not reach the store.
func (c *calls) Relay(tx table.Tx, out *RelayReply) error {
	res, err := c.s.store.DoFor(context.Background(), tx)
	out.Result = res
	if err != nil {
		out.Error, out.Refused = err.Error(), errors.Is(err, table.ErrNotApplied)
	}
	return nil
}

// Read makes a reading call for an entry that gets no answer from the store.
func (c *calls) Read(f relay.Fetch, out *relay.Fetched) error {
	got, err := c.s.store.FetchFor(context.Background(), f)
	*out = got
	if err != nil {
		out.Error = err.Error()
	}
	return nil
}
