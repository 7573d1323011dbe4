package sched

import (
	"context"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// send sends a message of the core to the owner of another shard. The core sends a message again until it is accepted.
func (s *shardRunner) send(message any) {
	if s.ctx.Err() != nil {
		return
	}
	switch m := message.(type) {
	case shard.SendOffer:
		args := OfferArgs{Shard: m.To, From: m.From, Term: m.Term, Tasks: m.Tasks}
		s.deliver(shard.SendDone{ID: m.ID, Accepted: s.sendAccepted(ownerCall{
			shard: m.To, method: serviceName + ".Offer", args: args, local: offerCall(args),
		})})
	case shard.SendReport:
		s.deliver(shard.SendDone{ID: m.ID, Accepted: s.sendAccepted(ownerCall{
			shard: m.To, method: serviceName + ".Report", args: ReportArgs{Shard: m.To, Ends: m.Ends}, local: reportCall(m.Ends),
		})})
	}
}

func (s *shardRunner) sendAccepted(call ownerCall) bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	answer, err := s.callOwnerOnce(ctx, call, "")
	return err == nil && answer.Verdict == shard.Accepted
}

func offerCall(args OfferArgs) localCall {
	return func(ctx context.Context, s *shardRunner) (shard.Answer, error) {
		return s.request(ctx, func(token shard.Token) shard.Event {
			return shard.Offer{Token: token, From: args.From, Term: args.Term, Tasks: args.Tasks}
		})
	}
}

func reportCall(ends []shard.End) localCall {
	return func(ctx context.Context, s *shardRunner) (shard.Answer, error) {
		return s.request(ctx, func(token shard.Token) shard.Event { return shard.Report{Token: token, Ends: ends} })
	}
}

// collectRooms returns the room of the shards that this process owns, and for each shard the newest term that this process
// has read.
func (d *Daemon) collectRooms() (map[oleanderline.ShardID]shard.Room, map[oleanderline.ShardID]oleanderline.Term) {
	rooms := map[oleanderline.ShardID]shard.Room{}
	terms := map[oleanderline.ShardID]oleanderline.Term{}
	for _, s := range d.shards {
		s.inspectWithTimeout(func(core *shard.Core) {
			terms[s.id] = core.NewestTerm()
			if room, ok := core.Room(); ok {
				rooms[s.id] = room
			}
		})
	}
	return rooms, terms
}
