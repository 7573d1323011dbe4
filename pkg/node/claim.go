package node

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/term"
)

// claimDelay adds to a delay that was drawn at random what keeps weak VMs from leading while stronger ones live.
func (n *Node) claimDelay(drawn time.Duration) time.Duration {
	if n.settings.Limits.Cores < weakShare*n.replica.MostCores() {
		return drawn + weakDelay
	}
	return drawn
}

func (n *Node) shouldClaim(delay time.Duration) bool {
	if n.session.Load() != nil || n.stopping.Load() || n.config.Load() == nil {
		return false
	}
	return n.watch.Claim(n.common.Clock.Now(), n.claimDelay(delay))
}

// claim makes this process the leader if no other process claims first. The order of claims is that of the log.
func (n *Node) claim() {
	n.metrics.claims.Inc()
	began := n.common.Clock.Now()
	old := n.replica.Leader()
	n.common.Event(common.EventClaimed).WithField("term", old.Term).WithField("leader", old.VM).Info("leader is lost, claiming")
	leader, err := n.storeClaim()
	if err == nil {
		n.ownTerm = leader.Term
		err = n.fence(leader)
	}
	if err == nil {
		err = n.catchUp()
	}
	if err != nil {
		n.common.Event(common.EventClaimFailed).WithError(err).Warn("claim failed")
		n.watch.Heard(false, n.common.Clock.Now())
		return
	}
	settings := term.Settings{
		Leader: leader,
		Plan: plan.Settings{
			Settle:   settleTime,
			Horizon:  horizon,
			Majority: majorityAge,
			Lease:    runLimit,
		},
		Lease:     min(lease, n.settings.MaxLease),
		Hold:      holdWait,
		Alone:     aloneFor,
		Confirmed: leaderTimeout,
		KeepJob:   n.settings.KeepJob,
		VM:        n.settings.VM, Maintenance: n.settings.Maintenance,
		Limits: n.settings.Limits, Address: n.settings.PeerAddress,
	}
	s := term.Start(n.common, settings, n.leaderPorts(), n.replica, n.config.Load(), began)
	n.session.Store(s)
	s.SetConfig(n.config.Load()) // a version may have come before the follower of the configuration saw the session
	n.windows.each(s.AddWindow)
}

// leaderPorts returns what a leader speaks to.
func (n *Node) leaderPorts() term.Ports {
	ports := n.ports.Ports
	if n.settings.PeerAddress != "" {
		ports.Invite = n.agents.Invite
	}
	return ports
}

// errClaimedMeanwhile means that another process has claimed, and has not been heard yet. It gets the same time as a leader.
var errClaimedMeanwhile = errors.New("another process has claimed meanwhile")

// claimRecord is the value of a claim.
type claimRecord struct {
	record.Leader
	Nonce uint64 `json:"nonce"` // tells apart the claims of processes with the same name
}

// storeClaim appends a claim at the end of the stream of claims. The term is the offset after the claim.
func (n *Node) storeClaim() (record.Leader, error) {
	batch, err := n.ports.Log.Newest(n.ctx, record.StreamClaims)
	if err != nil {
		return record.Leader{}, err
	}
	claims := 0
	for _, rec := range batch.Records {
		last, err := record.Decode[claimRecord](rec)
		if err != nil {
			return record.Leader{}, err
		}
		claims = last.Claims
	}
	if claims != n.claimsSeen && claims > n.replica.Leader().Claims {
		n.claimsSeen = claims
		return record.Leader{}, errClaimedMeanwhile
	}
	leader := record.Leader{VM: n.settings.VM, Claims: claims + 1}
	rec, err := record.ForClaim(claimRecord{Leader: leader, Nonce: rand.Uint64()})
	if err != nil {
		return record.Leader{}, err
	}
	condition := oleanderline.AppendCondition{AtEnd: true, End: batch.End}
	offset, err := n.ports.Log.Append(n.ctx, record.StreamClaims, []oleanderline.KeyedRecord{rec}, condition)
	if err != nil {
		return record.Leader{}, err
	}
	leader.Term = oleanderline.Term(offset + 1)
	return leader, nil
}

// fence makes all appends of earlier leaders fail from now on.
func (n *Node) fence(leader record.Leader) error {
	condition := oleanderline.AppendCondition{Writer: term.WriterID, Term: leader.Term}
	_, err := n.ports.Log.Append(n.ctx, record.Stream, nil, condition)
	return err
}

// catchUp reads the records to the end.
func (n *Node) catchUp() error {
	for {
		batch, err := n.ports.Log.Read(n.ctx, record.Stream, n.replica.Next(), 0)
		if err != nil {
			return err
		}
		n.apply(n.replica.Apply(batch, n.common.Clock.Now()))
		if batch.Next >= batch.End {
			return nil
		}
	}
}
