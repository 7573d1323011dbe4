package sched

import (
	"context"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// link passes a message of the core to the owner of another shard. The core repeats what is not accepted.
func (s *shardDuty) link(message any) {
	if s.ctx.Err() != nil {
		return
	}
	switch m := message.(type) {
	case shard.SendOffer:
		args := OfferArgs{Shard: m.To, From: m.From, Term: m.Term, Tasks: m.Tasks}
		s.deliver(shard.LinkDone{ID: m.ID, Accepted: s.linkAccepted(ownerCall{
			shard: m.To, method: serviceName + ".Offer", args: args, local: offerTo(args),
		})})
	case shard.SendReport:
		s.deliver(shard.LinkDone{ID: m.ID, Accepted: s.linkAccepted(ownerCall{
			shard: m.To, method: serviceName + ".Report", args: ReportArgs{Shard: m.To, Ends: m.Ends}, local: reportTo(m.Ends),
		})})
	}
}

func (s *shardDuty) linkAccepted(call ownerCall) bool {
	ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	answer, err := s.askOnce(ctx, call, "")
	return err == nil && answer.Verdict == shard.Accepted
}

func offerTo(args OfferArgs) localCall {
	return func(ctx context.Context, s *shardDuty) (shard.Answer, error) {
		return s.ask(ctx, func(token shard.Token) shard.Event {
			return shard.Offer{Token: token, From: args.From, Term: args.Term, Tasks: args.Tasks}
		})
	}
}

func reportTo(ends []shard.End) localCall {
	return func(ctx context.Context, s *shardDuty) (shard.Answer, error) {
		return s.ask(ctx, func(token shard.Token) shard.Event { return shard.Report{Token: token, Ends: ends} })
	}
}

// collectRooms asks the shards that this process owns for their room, and all for the newest term that they have read.
func (d *Daemon) collectRooms() (map[oleanderline.ShardID]shard.Room, map[oleanderline.ShardID]oleanderline.Term) {
	rooms := map[oleanderline.ShardID]shard.Room{}
	terms := map[oleanderline.ShardID]oleanderline.Term{}
	for _, s := range d.shards {
		s.inspectBriefly(func(core *shard.Core) {
			terms[s.id] = core.NewestTerm()
			if room, ok := core.Room(); ok {
				rooms[s.id] = room
			}
		})
	}
	return rooms, terms
}
