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

// SubmitArgs forwards a job to the owner of its shard.
type SubmitArgs struct {
	Job journal.Job
}

// JobArgs names a job.
type JobArgs struct {
	Job oleanderline.JobID
}

// peerService answers other schedulers. Every call is idempotent. It never forwards a call itself.
type peerService struct {
	daemon *Daemon
}

var errStopping = errors.New("the scheduler is stopping")

// Heartbeat is a heartbeat.
type Heartbeat struct {
	Member member.Member
	Rooms  map[oleanderline.ShardID]shard.Room // of the shards that the sender owns

	Version   uint64 // of the sender's state
	Confirmed uint64 // version of the receiver's state that the sender holds
	Short     bool   // the state of Version replaces Rooms and Member, but for its ID
}

// OfferArgs brings tasks that move to a shard.
type OfferArgs struct {
	Shard oleanderline.ShardID
	From  oleanderline.ShardID
	Term  oleanderline.Term // of the owner of From
	Tasks []shard.MovedTask
}

// ReportArgs brings the ends of tasks that moved away from a shard.
type ReportArgs struct {
	Shard oleanderline.ShardID
	Ends  []shard.End
}

// Heartbeat takes the caller's state and returns the own one.
func (p *peerService) Heartbeat(caller Heartbeat, reply *Heartbeat) error {
	*reply = p.daemon.roster.answer(caller)
	return nil
}

// Offer records tasks that move here, if this process owns the shard.
func (p *peerService) Offer(args OfferArgs, reply *shard.Answer) error {
	return p.askShard(args.Shard, reply, offerTo(args))
}

// Report records the ends of tasks that moved away, if this process owns the shard.
func (p *peerService) Report(args ReportArgs, reply *shard.Answer) error {
	return p.askShard(args.Shard, reply, reportTo(args.Ends))
}

// Rules returns the rules in force here.
func (p *peerService) Rules(_ struct{}, reply *rules.Snapshot) error {
	*reply = p.daemon.rules.Snapshot()
	return nil
}

// Submit records a job if this process owns its shard.
func (p *peerService) Submit(args SubmitArgs, reply *shard.Answer) error {
	return p.ask(args.Job.ID, reply, func(ctx context.Context, s *shardDuty) (shard.Answer, error) {
		return s.ask(ctx, func(token shard.Token) shard.Event { return shard.Submit{Token: token, Job: args.Job} })
	})
}

// Cancel records a cancellation if this process owns the job's shard.
func (p *peerService) Cancel(args JobArgs, reply *shard.Answer) error {
	return p.ask(args.Job, reply, func(ctx context.Context, s *shardDuty) (shard.Answer, error) {
		return s.ask(ctx, func(token shard.Token) shard.Event {
			return shard.Cancel{Token: token, Jobs: []oleanderline.JobID{args.Job}}
		})
	})
}

// Job returns the status of a job if this process owns its shard.
func (p *peerService) Job(args JobArgs, reply *shard.Answer) error {
	return p.ask(args.Job, reply, func(ctx context.Context, s *shardDuty) (shard.Answer, error) {
		return s.jobStatus(ctx, args.Job)
	})
}

func (p *peerService) ask(job oleanderline.JobID, reply *shard.Answer, local localCall) error {
	id, err := p.daemon.shardOf(job)
	if err != nil {
		return err
	}
	return p.askShard(id, reply, local)
}

func (p *peerService) askShard(id oleanderline.ShardID, reply *shard.Answer, local localCall) error {
	d := p.daemon
	if id < 0 || int(id) >= len(d.shards) {
		return fmt.Errorf("there is no shard %d", id)
	}
	ctx, cancel := context.WithTimeout(d.ctx, d.settings.Hold+callTimeout)
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
