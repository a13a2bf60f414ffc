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

// rank returns a pseudo-random rank of name that depends on key.
func rank(key, name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(key)) // never returns an error
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// answered reports whether the error was returned by the other entry itself.
func answered(err error) bool {
	var e rpc.ServerError
	return errors.As(err, &e)
}

// peerService implements the RPC methods that other entries call.
type peerService struct{ s *Server }

// AliveReply tells whether an entry owns a shard.
type AliveReply struct {
	Owns       bool
	Age        time.Duration // since the start of its last durable write
	Version    int64         // newest version of the store that the owner knows; 0 if unknown
	VersionAge time.Duration // since the store had at most that version
}

// LookArgs are the arguments of Look.
type LookArgs struct{ Service, ID string }

// LookReply describes a job.
type LookReply struct {
	Owns  bool
	Known bool
	Shown shard.JobStatus
}

// PendingArgs are the arguments of Pending.
type PendingArgs struct{ Service, Queue string }

// PendingReply holds the number of jobs of a queue that have not started.
type PendingReply struct {
	Owns bool
	N    int
}

// RoomReply tells how much memory an owner has left for jobs.
type RoomReply struct {
	Owns  bool
	Free  int64 // bytes; less than 0 if too many are held
	Limit int64 // bytes; what would be free without any job
}

// SubmitArgs are the arguments of Submit.
type SubmitArgs struct {
	Job     *work.Job
	Version int64 // of the row that accepted the job
}

// CancelArgs identify a cancelled job.
type CancelArgs struct{ Service, ID string }

// AdviseArgs are the arguments of Advise.
type AdviseArgs struct {
	Step string
	IDs  []string
}

// AdviseReply holds the placement service's response, or why there is none.
type AdviseReply struct {
	Tickets map[string]string
	Valid   time.Duration
	Error   string
}

// RelayReply holds the store's response to a relayed transaction.
type RelayReply struct {
	Result  table.Result
	Error   string
	Refused bool // the store refused the transaction, and it had no effect
}

// Ping responds without doing anything.
func (p *peerService) Ping(struct{}, *struct{}) error { return nil }

// Alive reports whether this entry owns the shard of a service.
func (p *peerService) Alive(service string, out *AliveReply) error {
	if o := p.s.localOwner(service); o != nil {
		now := monotonicNow()
		*out = AliveReply{Owns: true, Age: now.Sub(o.lastWrite())}
		if v, ok := p.s.writeTimes.newest(); ok {
			out.Version, out.VersionAge = v.Version, now.Sub(v.At)
		}
	}
	return nil
}

// Submit notifies the owner of an accepted job. The reply tells whether this
// entry is the owner.
func (p *peerService) Submit(a SubmitArgs, owns *bool) error {
	if o := p.s.localOwner(a.Job.Service); o != nil {
		*owns = true
		o.submit(a)
	}
	return nil
}

// Cancel notifies the owner of an accepted cancellation.
func (p *peerService) Cancel(a CancelArgs, owns *bool) error {
	if o := p.s.localOwner(a.Service); o != nil {
		*owns = true
		o.cancelJob(a.ID)
	}
	return nil
}

// Look returns the state of a job from the owner's memory.
func (p *peerService) Look(a LookArgs, out *LookReply) error {
	if o := p.s.localOwner(a.Service); o != nil {
		out.Owns = true
		out.Shown, out.Known = o.lookUpJob(a.ID)
	}
	return nil
}

// Pending returns the number of jobs of a queue that have not started.
func (p *peerService) Pending(a PendingArgs, out *PendingReply) error {
	if o := p.s.localOwner(a.Service); o != nil {
		out.N, out.Owns = o.pendingJobs(a.Queue)
	}
	return nil
}

// Room returns how much memory the owner of a service has left for jobs.
func (p *peerService) Room(service string, out *RoomReply) error {
	if o := p.s.localOwner(service); o != nil {
		*out = o.room()
	}
	return nil
}

// adviseTimeout limits a request to the placement service.
const adviseTimeout = 4 * time.Second

// Advise sends a request to the placement service on behalf of an owner. The
// service handles one request at a time per VM.
func (p *peerService) Advise(a AdviseArgs, out *AdviseReply) error {
	if !p.s.adviceMu.TryLock() {
		out.Error = "this entry asks already, for another shard"
		return nil
	}
	defer p.s.adviceMu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), adviseTimeout)
	defer cancel()
	var err error
	if out.Tickets, out.Valid, err = p.s.Placement.Ask(ctx, a.Step, a.IDs); err != nil {
		out.Error = err.Error()
	}
	return nil
}

// NoStore reports that another entry of the zone can no longer reach the store.
func (p *peerService) NoStore(struct{}, *struct{}) error {
	go p.s.relayStore.Check(context.Background())
	return nil
}

// Carry makes a batch of calls to minions for an owner.
func (p *peerService) Carry(b carry.Batch, _ *struct{}) error {
	p.s.carrier.RunBatch(b)
	return nil
}

// Carried returns results of such calls.
func (p *peerService) Carried(session string, out *carry.FetchReply) error {
	*out = p.s.carrier.FetchResults(session)
	return nil
}

// Relay executes a transaction for an entry that cannot reach the store.
func (p *peerService) Relay(tx table.Tx, out *RelayReply) error {
	res, err := p.s.relayStore.DoFor(context.Background(), tx)
	out.Result = res
	if err != nil {
		out.Error, out.Refused = err.Error(), errors.Is(err, table.ErrNotApplied)
	}
	return nil
}

// Read executes a read for an entry that gets no response from the store.
func (p *peerService) Read(f relay.ReadRequest, out *relay.ReadResult) error {
	got, err := p.s.relayStore.ReadFor(context.Background(), f)
	*out = got
	if err != nil {
		out.Error = err.Error()
	}
	return nil
}
