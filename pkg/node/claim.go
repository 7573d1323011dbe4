package node

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/lead"
	"github.com/oleanderline/oleanderline/pkg/link"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/term"
)

// claimDelay returns how long this process delays its claim: the random jitter, plus smallVMDelay if this VM has much fewer
// cores than the largest one, so that the larger VMs claim first, plus slowDelay.
func (n *Node) claimDelay(jitter time.Duration) time.Duration {
	now := n.common.Clock.Now()
	delay := jitter + slowDelay(n.detector.Evidence(now).Cause, n.policy.CertainlySlow(now))
	if n.settings.Limits.Cores < minCoreShare*n.replica.MaxCores() {
		return delay + smallVMDelay
	}
	return delay
}

// slowDelay returns how long a claim is delayed because the log is slow. The records of a leader that is alive then arrive late, and a
// claim costs several slow calls. A leader that is known to have ended is replaced without delay.
func slowDelay(cause lead.Cause, slow bool) time.Duration {
	if slow && cause == lead.CauseSilent {
		return slowLogDelay
	}
	return 0
}

// shouldClaim reports whether a claim is due. A process without a configuration, or one that is stopping, does not claim.
func (n *Node) shouldClaim(jitter time.Duration) bool {
	if n.session.Load() != nil || n.stopping.Load() || n.config.Load() == nil {
		return false
	}
	return n.detector.ShouldClaim(n.common.Clock.Now(), n.claimDelay(jitter))
}

// claim makes this process the leader unless another process claims first, or the log turns out to be slow and the claim not to be due.
// The log decides the order of claims.
func (n *Node) claim(jitter time.Duration) {
	n.metrics.claims.Inc()
	start := n.common.Clock.Now()
	old := n.replica.Leader()
	n.logClaim(old, n.detector.Evidence(start))
	leader, err := n.appendClaim(jitter)
	if err == nil {
		n.ownTerm = leader.Term
		err = n.fence(leader)
	}
	if err == nil {
		err = n.catchUp()
	}
	if errors.Is(err, errLogSlow) {
		return
	}
	if err != nil {
		n.common.Event(common.EventClaimFailed).WithError(err).Warn("leadership claim failed; next attempt after the leader timeout at the earliest")
		n.detector.ObserveLeader(false, n.common.Clock.Now()) // restarts the leader timeout
		return
	}
	settings := term.Settings{
		Leader: leader,
		Plan: plan.Settings{
			IgnoreSpeed: n.settings.IgnoreSpeed, NoCopies: n.settings.NoCopies,
			Settle:    settleTime,
			Horizon:   horizon,
			Majority:  majorityValidity,
			Lease:     maxRunLease,
			StopGrace: link.ExpiryBound(n.settings.StopGrace),
			MaxRecord: n.settings.LogLimits.Record,
		},
		Lease:          min(runLease, n.settings.MaxLease),
		MaxLease:       n.settings.MaxLease,
		RenewWait:      renewWait,
		LogLimits:      n.settings.LogLimits,
		MaxLogOutage:   maxLogOutage,
		AppendValidity: appendValidity,
		JobRetention:   n.settings.JobRetention,
		VM:             n.settings.VM, Maintenance: n.settings.Maintenance,
		Limits: n.settings.Limits, Address: n.settings.PeerAddress,
	}
	s := term.Start(n.common, settings, n.leaderPorts(), n.replica, n.config.Load(), start)
	n.session.Store(s)
	s.SetConfig(n.config.Load()) // followConfig may have applied a version before n.session was set
	n.windows.each(s.AddWindow)
	if n.stopping.Load() {
		n.resign(s) // Drain has found no session if it was called during the claim
	}
}

// logClaim logs a claim of leadership, with the previous leader.
func (n *Node) logClaim(old record.Leader, evidence lead.Evidence) {
	n.common.Event(common.EventClaimed).WithFields(logrus.Fields{
		"term": old.Term, "leader": old.VM, "reason": evidence.Cause, "age": evidence.Age.Seconds(), "readable": evidence.Readable.Seconds(),
	}).Info("no live leader; claiming leadership")
}

// leaderPorts returns the ports of a session. Agents are invited only if this process has an address for peers.
func (n *Node) leaderPorts() term.Ports {
	ports := n.ports.Ports
	ports.Evacuations = n.evacuations.current
	if !n.settings.OwnAppends {
		ports.AppendAnswer = func() time.Duration { return n.policy.Answer(n.common.Clock.Now()) }
	}
	if n.settings.PeerAddress != "" {
		ports.Invite = n.agents.Invite
	}
	return ports
}

// errClaimedByOther means that another process has claimed and that its leader record has not been read yet. That process gets
// the full leader timeout before this one claims again.
var errClaimedByOther = errors.New("another process has claimed leadership")

// errLogSlow means that the log answers slowly, so that the records of the leader may arrive late: the claim is not due yet.
var errLogSlow = errors.New("the log answers slowly")

// claimRecord is the value of a record in the stream of claims.
type claimRecord struct {
	record.Leader
	Nonce uint64 `json:"nonce"` // distinguishes the claims of processes that run under the same VM id
}

// appendClaim appends a claim on the condition that the stream of claims has not grown since it was read. The term is the
// offset of the claim plus one.
func (n *Node) appendClaim(jitter time.Duration) (record.Leader, error) {
	begun := n.common.Clock.Now()
	batch, err := n.ports.Log.Newest(n.ctx, record.StreamClaims)
	if err != nil {
		return record.Leader{}, err
	}
	now := n.common.Clock.Now()
	if n.policy.ObserveRead(now.Sub(begun), now); !n.detector.ShouldClaim(now, n.claimDelay(jitter)) {
		return record.Leader{}, errLogSlow
	}
	claims := 0
	for _, rec := range batch.Records {
		last, err := record.Decode[claimRecord](rec)
		if err != nil {
			return record.Leader{}, err
		}
		claims = last.ClaimCount
	}
	if claims != n.unreadClaim && claims > n.replica.Leader().ClaimCount {
		n.unreadClaim = claims
		return record.Leader{}, errClaimedByOther
	}
	leader := record.Leader{VM: n.settings.VM, ClaimCount: claims + 1}
	rec, err := record.ForClaim(claimRecord{Leader: leader, Nonce: rand.Uint64()})
	if err != nil {
		return record.Leader{}, err
	}
	condition := oleanderline.AppendCondition{CheckEnd: true, End: batch.End}
	offset, err := n.ports.Log.Append(n.ctx, record.StreamClaims, []oleanderline.KeyedRecord{rec}, condition)
	if err != nil {
		return record.Leader{}, err
	}
	leader.Term = oleanderline.Term(offset + 1)
	return leader, nil
}

// fence makes the log reject all later appends of earlier leaders.
func (n *Node) fence(leader record.Leader) error {
	condition := oleanderline.AppendCondition{Writer: term.WriterID, Term: leader.Term, Sequence: term.FenceSequence(leader.Term)}
	_, err := n.ports.Log.Append(n.ctx, record.Stream, nil, condition)
	return err
}

// catchUp reads and applies records up to the end of the stream.
func (n *Node) catchUp() error {
	for {
		begun := n.common.Clock.Now()
		batch, err := n.ports.Log.Read(n.ctx, record.Stream, n.replica.NextOffset(), 0)
		if err != nil {
			return err
		}
		n.apply(n.replica.Apply(batch, begun, n.common.Clock.Now()))
		if batch.Next >= batch.End {
			return nil
		}
	}
}
