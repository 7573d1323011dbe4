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
		s.deliver(shard.LinkDone{ID: m.ID, Accepted: s.linkAccepted(ownerCall{
			shard: m.To, method: serviceName + ".Offer", args: OfferArgs{Shard: m.To, Tasks: m.Tasks}, local: offerTo(m.Tasks),
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

func offerTo(tasks []shard.MovedTask) localCall {
	return func(ctx context.Context, s *shardDuty) (shard.Answer, error) {
		return s.ask(ctx, func(token shard.Token) shard.Event { return shard.Offer{Token: token, Tasks: tasks} })
	}
}

func reportTo(ends []shard.End) localCall {
	return func(ctx context.Context, s *shardDuty) (shard.Answer, error) {
		return s.ask(ctx, func(token shard.Token) shard.Event { return shard.Report{Token: token, Ends: ends} })
	}
}

// collectRooms asks the shards that this process owns for their room.
func (d *Daemon) collectRooms() map[oleanderline.ShardID]shard.Room {
	rooms := map[oleanderline.ShardID]shard.Room{}
	for _, s := range d.shards {
		s.inspectBriefly(func(core *shard.Core) {
			if room, ok := core.Room(); ok {
				rooms[s.id] = room
			}
		})
	}
	return rooms
}
