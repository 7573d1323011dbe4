package sched

import (
	"context"
	"errors"
	"fmt"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/journal"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// serviceName is the name of the net/rpc services of the scheduler on the peer and the operator listener.
const serviceName = "Sched"

// SubmitArgs is the argument of Submit: a job for the owner of its shard.
type SubmitArgs struct {
	Job journal.Job
}

// JobArgs is the argument of Job and Cancel.
type JobArgs struct {
	Job oleanderline.JobID
}

// peerService implements the net/rpc calls of other schedulers. Every call is idempotent and is answered by this process
// itself: it never forwards a call.
type peerService struct {
	daemon *Daemon
}

var errStopping = errors.New("the scheduler is stopping")

// Heartbeat is the state that two schedulers exchange, both as argument and as reply.
type Heartbeat struct {
	Member member.Member
	Rooms  map[oleanderline.ShardID]shard.Room // free capacity of the shards that the sender owns

	Version   uint64 // version of the sender's state
	Confirmed uint64 // version of the receiver's state that the sender has
	Short     bool   // the receiver has the state of Version; Rooms and all fields of Member except its ID are omitted
}

// OfferArgs is the argument of Offer: tasks that move from one shard to another.
type OfferArgs struct {
	Shard oleanderline.ShardID
	From  oleanderline.ShardID
	Term  oleanderline.Term // term of the owner of From
	Tasks []shard.MovedTask
}

// ReportArgs is the argument of Report: the ends of tasks that moved away from a shard.
type ReportArgs struct {
	Shard oleanderline.ShardID
	Ends  []shard.End
}

// Heartbeat records the caller's state and replies with the state of this process.
func (p *peerService) Heartbeat(caller Heartbeat, reply *Heartbeat) error {
	*reply = p.daemon.membership.handleHeartbeat(caller)
	return nil
}

// Offer records tasks that move to a shard, if this process owns the shard.
func (p *peerService) Offer(args OfferArgs, reply *shard.Answer) error {
	return p.callShard(args.Shard, reply, offerCall(args))
}

// Report records the ends of tasks that moved away from a shard, if this process owns the shard.
func (p *peerService) Report(args ReportArgs, reply *shard.Answer) error {
	return p.callShard(args.Shard, reply, reportCall(args.Ends))
}

// Rules returns the rules in force at this process.
func (p *peerService) Rules(_ struct{}, reply *rules.Snapshot) error {
	*reply = p.daemon.rules.Snapshot()
	return nil
}

// Submit records a job if this process owns its shard.
func (p *peerService) Submit(args SubmitArgs, reply *shard.Answer) error {
	return p.callJobShard(args.Job.ID, reply, func(ctx context.Context, s *shardRunner) (shard.Answer, error) {
		return s.request(ctx, func(token shard.Token) shard.Event { return shard.Submit{Token: token, Job: args.Job} })
	})
}

// Cancel records a cancellation if this process owns the job's shard.
func (p *peerService) Cancel(args JobArgs, reply *shard.Answer) error {
	return p.callJobShard(args.Job, reply, func(ctx context.Context, s *shardRunner) (shard.Answer, error) {
		return s.request(ctx, func(token shard.Token) shard.Event {
			return shard.Cancel{Token: token, Jobs: []oleanderline.JobID{args.Job}}
		})
	})
}

// Job returns the status of a job if this process owns its shard.
func (p *peerService) Job(args JobArgs, reply *shard.Answer) error {
	return p.callJobShard(args.Job, reply, func(ctx context.Context, s *shardRunner) (shard.Answer, error) {
		return s.jobStatus(ctx, args.Job)
	})
}

func (p *peerService) callJobShard(job oleanderline.JobID, reply *shard.Answer, local localCall) error {
	id, err := p.daemon.shardOf(job)
	if err != nil {
		return err
	}
	return p.callShard(id, reply, local)
}

func (p *peerService) callShard(id oleanderline.ShardID, reply *shard.Answer, local localCall) error {
	d := p.daemon
	if id < 0 || int(id) >= len(d.shards) {
		return fmt.Errorf("there is no shard %d", id)
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.settings.AnswerTimeout+callTimeout)
	defer cancel()
	answer, err := local(ctx, d.shards[id])
	switch {
	case errors.Is(err, errBusy):
		answer = shard.Answer{Verdict: shard.NotRun, Reason: err.Error()}
	case err != nil:
		return errStopping
	}
	*reply = answer
	return nil
}
