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
type peerService struct{ s *Server }

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

// AdviseArgs are a question for advice.
type AdviseArgs struct {
	Step string
	IDs  []string
}

// AdviseReply is the service's answer, or why there is none.
type AdviseReply struct {
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
func (c *peerService) Ping(struct{}, *struct{}) error { return nil }

// Alive tells whether this entry owns the shard of a service.
func (c *peerService) Alive(service string, out *AliveReply) error {
	if o := c.s.localOwner(service); o != nil {
		*out = AliveReply{true, monotonicNow().Sub(o.lastWrite())}
	}
	return nil
}

// Submit tells the owner of an accepted job. The reply says whether it is the owner.
func (c *peerService) Submit(j *work.Job, owns *bool) error {
	if o := c.s.localOwner(j.Service); o != nil {
		*owns = true
		o.post(func(now time.Time) { o.state.Submit(now, j) })
	}
	return nil
}

// Cancel tells the owner of an accepted cancellation.
func (c *peerService) Cancel(a CancelArgs, owns *bool) error {
	if o := c.s.localOwner(a.Service); o != nil {
		*owns = true
		o.post(func(now time.Time) { o.state.Cancel(now, a.ID) })
	}
	return nil
}

// Look tells of a job.
func (c *peerService) Look(a LookArgs, out *LookReply) error {
	if o := c.s.localOwner(a.Service); o != nil {
		out.Owns = true
		out.Shown, out.Known = o.lookUpJob(a.ID)
	}
	return nil
}

// Pending counts the jobs of a queue that have not begun.
func (c *peerService) Pending(a PendingArgs, out *PendingReply) error {
	if o := c.s.localOwner(a.Service); o != nil {
		out.N, out.Owns = o.pendingJobs(a.Queue)
	}
	return nil
}

// adviceLimit bounds a question on top of the time that the service takes.
const adviseTimeout = 4 * time.Second

// Advise asks the placement service on an owner's behalf: it answers one
// question at a time for each VM.
func (c *peerService) Advise(a AdviseArgs, out *AdviseReply) error {
	if !c.s.adviceMu.TryLock() {
		out.Error = "this entry asks already, for another shard"
		return nil
	}
	defer c.s.adviceMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), adviseTimeout)
	defer cancel()
	var err error
	if out.Tickets, out.Valid, err = c.s.Placement.Ask(ctx, a.Step, a.IDs); err != nil {
		out.Error = err.Error()
	}
	return nil
}

// NoStore tells that another entry of the zone reaches the store no more.
func (c *peerService) NoStore(struct{}, *struct{}) error {
	go c.s.relayStore.Check(context.Background())
	return nil
}

// Carry makes calls to minions for an owner.
func (c *peerService) Carry(b carry.Batch, _ *struct{}) error {
	c.s.carrier.RunBatch(b)
	return nil
}

// Carried returns what came of such calls.
func (c *peerService) Carried(session string, out *carry.FetchReply) error {
	*out = c.s.carrier.FetchResults(session)
	return nil
}

// Relay carries out a transaction for an entry that does not reach the store.
func (c *peerService) Relay(tx table.Tx, out *RelayReply) error {
	res, err := c.s.relayStore.DoFor(context.Background(), tx)
	out.Result = res
	if err != nil {
		out.Error, out.Refused = err.Error(), errors.Is(err, table.ErrNotDone)
	}
	return nil
}

// Read makes a reading call for an entry that gets no answer from the store.
func (c *peerService) Read(f relay.Fetch, out *relay.Fetched) error {
	got, err := c.s.relayStore.FetchFor(context.Background(), f)
	*out = got
	if err != nil {
		out.Error = err.Error()
	}
	return nil
}
