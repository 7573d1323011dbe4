package entry

import (
	"context"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

// holders returns the other members that must store the record of a new key: the earlier homes and the backup.
func (p *keyPlan) holders() []oleanderline.VMID {
	all := slices.Clone(p.earlierHomes)
	if p.backup != "" && !slices.Contains(all, p.backup) {
		all = append(all, p.backup)
	}
	return all
}

// decideNewKey decides about a key that this process is the home of and for which no earlier decision applies. The record
// is stored at the other holders first, so that a record at the home implies one at the backup.
func (k *keyStore) decideNewKey(ctx context.Context, args JoinArgs, plan keyPlan) (JoinReply, <-chan struct{}) {
	holders := plan.holders()
	if k.disabled.keyBackup {
		holders = plan.earlierHomes
	}
	if plan.homeLost && !k.disabled.lossCheck {
		if !plan.mayTakeOver || k.disabled.keyBackup {
			return k.searchPeers(ctx, args), nil
		}
		// Any alive member may have been the backup in the view of the failed home.
		holders = plan.peers
	}
	var stored []oleanderline.VMID
	for _, id := range holders {
		reply := k.requestConsent(ctx, id, args, id == plan.backup && !plan.homeLost)
		if joinVerdict(reply.Verdict) != joinRun {
			reply.Holders = stored
			return reply, nil
		}
		stored = append(stored, id)
	}
	// The takeover is no longer allowed if another member has failed during the calls.
	if plan.homeLost && !k.disabled.lossCheck && !k.members.keyPlan(args.Key, k.common.Clock.Now()).mayTakeOver {
		return JoinReply{Verdict: int(joinUnavailable), Holders: stored}, nil
	}
	if len(holders) == 0 {
		if !plan.mayPermitUnbacked {
			return verdictOnly(joinHomeLost), nil
		}
		k.members.recordUnbackedUntil(k.common.Clock.Now().Add(args.For))
	}
	return k.begin(args, stored)
}

// requestConsent asks another member to store the record of a starting attempt. If the member has a record of another
// attempt, the reply is the decision by that record.
func (k *keyStore) requestConsent(ctx context.Context, id oleanderline.VMID, args JoinArgs, backup bool) JoinReply {
	args.Consent, args.Wait, args.Backup, args.From = true, 0, backup, k.self
	args.To = k.members.incarnation(id, k.common.Clock.Now())
	var reply JoinReply
	if err := k.peers.call(ctx, id, "Join", args, &reply); err != nil {
		return verdictOnly(joinUnavailable)
	}
	if joinVerdict(reply.Verdict) == joinEnded {
		k.adopt([]idempotency.Record{reply.Record})
	}
	return reply
}

// handleConsent handles requestConsent of a home. It refuses a home that this process considers failed, because others
// may have taken over its keys, and a message to an earlier incarnation of this member, which may have had other keys.
func (k *keyStore) handleConsent(args JoinArgs, now time.Time) (JoinReply, <-chan struct{}) {
	switch {
	case args.To != k.self.Incarnation,
		args.From.Incarnation != k.members.incarnation(args.From.ID, now),
		args.Backup && k.members.keyPlan(args.Key, now).home == k.self.ID:
		return verdictOnly(joinUnavailable), nil
	}
	return k.begin(args, nil)
}
