package entry

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// peerService holds the methods that other entries call by net/rpc under the name "Entry".
type peerService struct{ daemon *Daemon }

// serviceTimeout bounds the calls to third entries that one call may cause.
const serviceTimeout = time.Second

// Heartbeat exchanges heartbeats.
func (s *peerService) Heartbeat(args Heartbeat, reply *Heartbeat) error {
	*reply = s.daemon.membership.answer(args)
	return nil
}

// Join decides about a request with an idempotency key.
func (s *peerService) Join(args JoinArgs, reply *JoinReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serviceTimeout)
	defer cancel()
	*reply = s.daemon.home.join(ctx, args)
	return nil
}

// Settle records the result of a request with an idempotency key.
func (s *peerService) Settle(args SettleArgs, _ *struct{}) error {
	s.daemon.home.settle(args)
	return nil
}

// Held returns the record of an idempotency key.
func (s *peerService) Held(args HeldArgs, reply *HeldReply) error {
	*reply = s.daemon.home.held(args.Key)
	return nil
}

// Adopt takes over records from an entry that stops.
func (s *peerService) Adopt(args AdoptArgs, _ *struct{}) error {
	s.daemon.home.adopt(args.Records)
	return nil
}

// Lend lends idle slots.
func (s *peerService) Lend(args LendArgs, reply *[]slots.Loan) error {
	s.daemon.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		*reply = core.Lend(dispatch.Want{Peer: args.From, Service: args.Service, Count: args.Count}, args.From, now, nil)
		return actions
	})
	return nil
}

// Return takes a loan back.
func (s *peerService) Return(args ReturnArgs, _ *struct{}) error {
	s.daemon.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		return core.Returned(args.From, args.Loan, now, actions)
	})
	return nil
}

// Rules returns the rules in force.
func (s *peerService) Rules(_ struct{}, reply *RulesReply) error {
	reply.Snapshot = s.daemon.follower.Snapshot()
	return nil
}
