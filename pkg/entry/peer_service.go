package entry

import (
	"context"
	"time"

	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// peerService has the methods that other entries call by net/rpc under the name "Entry".
type peerService struct{ daemon *Daemon }

// serviceTimeout limits the duration of a Join, including its calls to other entries.
const serviceTimeout = time.Second

// Heartbeat exchanges heartbeats.
func (s *peerService) Heartbeat(args Heartbeat, reply *Heartbeat) error {
	*reply = s.daemon.membership.handleHeartbeat(args)
	return nil
}

// Join decides whether a request with an idempotency key may run.
func (s *peerService) Join(args JoinArgs, reply *JoinReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), serviceTimeout)
	defer cancel()
	*reply = s.daemon.keys.join(ctx, args)
	return nil
}

// Settle records the result of a request with an idempotency key.
func (s *peerService) Settle(args SettleArgs, _ *struct{}) error {
	s.daemon.keys.settle(args)
	return nil
}

// Held returns the record of an idempotency key.
func (s *peerService) Held(args HeldArgs, reply *HeldReply) error {
	*reply = s.daemon.keys.lookup(args.Key)
	return nil
}

// Adopt stores the records that a stopping entry hands over.
func (s *peerService) Adopt(args AdoptArgs, _ *struct{}) error {
	s.daemon.keys.adopt(args.Records)
	return nil
}

// Lend lends idle slots.
func (s *peerService) Lend(args LendArgs, reply *[]slots.Loan) error {
	s.daemon.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		*reply = core.Lend(dispatch.LoanRequest{Peer: args.From, Service: args.Service, Count: args.Count}, args.From, now, nil)
		return actions
	})
	return nil
}

// Return ends a loan before its expiry.
func (s *peerService) Return(args ReturnArgs, _ *struct{}) error {
	s.daemon.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		return core.HandleReturn(args.From, args.Loan, now, actions)
	})
	return nil
}

// Rules returns the current rules.
func (s *peerService) Rules(_ struct{}, reply *RulesReply) error {
	reply.Snapshot = s.daemon.follower.Snapshot()
	return nil
}
