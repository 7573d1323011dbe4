package entry

import (
	"context"
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
)

// holders returns the other members that get the record of a new key: the earlier homes and the backup.
func (p *keyPlan) holders() []oleanderline.VMID {
	all := slices.Clone(p.earlier)
	if p.backup != "" && !slices.Contains(all, p.backup) {
		all = append(all, p.backup)
	}
	return all
}

// permit decides about a key that this process, its home, does not know. The record is stored at the other holders
// first, so that a record at the home implies one at the backup.
func (k *keyHome) permit(ctx context.Context, args JoinArgs, plan keyPlan) (JoinReply, <-chan struct{}) {
	holders := plan.holders()
	if k.switches.noBackup {
		holders = plan.earlier
	}
	if plan.homeLost && !k.switches.noLossCheck {
		if !plan.mayTakeOver || k.switches.noBackup {
			return k.search(ctx, args), nil
		}
		// Any alive member may have been the backup, in the view of the dead home.
		holders = plan.others
	}
	var stored []oleanderline.VMID
	for _, id := range holders {
		reply := k.store(ctx, id, args, id == plan.backup && !plan.homeLost)
		if joinVerdict(reply.Verdict) != joinRun {
			reply.Holders = stored
			return reply, nil
		}
		stored = append(stored, id)
	}
	// A further loss during the calls ends the right to take over.
	if plan.homeLost && !k.switches.noLossCheck && !k.members.plan(args.Key, k.common.Clock.Now()).mayTakeOver {
		return JoinReply{Verdict: int(joinAway), Holders: stored}, nil
	}
	if len(holders) == 0 {
		if !plan.mayBeAlone {
			return verdictOnly(joinHomeLost), nil
		}
		k.members.holdAlone(k.common.Clock.Now().Add(args.For))
	}
	return k.begin(args, stored)
}

// store asks another member to keep the begin record of an attempt. A record of another attempt there decides.
func (k *keyHome) store(ctx context.Context, id oleanderline.VMID, args JoinArgs, backup bool) JoinReply {
	args.Consent, args.Wait, args.Backup, args.From = true, 0, backup, k.self
	args.To = k.members.incarnation(id, k.common.Clock.Now())
	var reply JoinReply
	if err := k.peers.call(ctx, id, "Join", args, &reply); err != nil {
		return verdictOnly(joinAway)
	}
	if joinVerdict(reply.Verdict) == joinEnded {
		k.adopt([]idempotency.Record{reply.Record})
	}
	return reply
}

// consents answers store. It refuses a home that this process has lost, whose keys others may have taken over, and a
// message to an earlier process of this name, which may have had other keys.
func (k *keyHome) consents(args JoinArgs, now time.Time) (JoinReply, <-chan struct{}) {
	switch {
	case args.To != k.self.Incarnation,
		args.From.Incarnation != k.members.incarnation(args.From.ID, now),
		args.Backup && k.members.plan(args.Key, now).home == k.self.ID:
		return verdictOnly(joinAway), nil
	}
	return k.begin(args, nil)
}
