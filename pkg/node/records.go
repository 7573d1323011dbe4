package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/plan"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/replica"
	"github.com/oleanderline/oleanderline/pkg/term"
)

// followRecords keeps the replica up to date and claims leadership when the leader is lost.
func (n *Node) followRecords() {
	loaded := false
	delay := rand.N(claimSpread)
	for n.ctx.Err() == nil {
		now := n.common.Clock.Now()
		changes, err := n.readRecords(loaded, delay)
		if n.ctx.Err() != nil {
			return
		}
		n.logReads.result(err)
		n.metrics.reads.Inc()
		if err != nil {
			n.metrics.readErrors.Inc()
		}
		switch {
		case errors.Is(err, oleanderline.ErrTrimmed):
			loaded = false
			continue
		case err != nil:
			n.watch.Read(false, now)
			n.sleep(readRetry)
			continue
		}
		loaded = true
		n.watch.Read(true, now)
		n.apply(changes)
		n.dropEndedSession()
		if n.shouldClaim(delay) {
			n.claim()
			delay = rand.N(claimSpread)
		}
		n.pause()
	}
}

func (n *Node) readRecords(loaded bool, delay time.Duration) ([]replica.Change, error) {
	if !loaded {
		batch, err := n.ports.Log.Newest(n.ctx, record.Stream)
		if err != nil {
			return nil, err
		}
		return n.replica.Load(batch, n.common.Clock.Now()), nil
	}
	batch, err := n.ports.Log.Read(n.ctx, record.Stream, n.replica.Next(), n.readWait(delay))
	if err != nil {
		return nil, err
	}
	return n.replica.Apply(batch, n.common.Clock.Now()), nil
}

// readWait returns how long a read may wait. A process that does not lead wakes up when it is to claim.
func (n *Node) readWait(delay time.Duration) time.Duration {
	if n.session.Load() != nil {
		return readWait
	}
	due, known := n.watch.Due(n.claimDelay(delay))
	if !known {
		return minReadWait
	}
	return min(max(due.Sub(n.common.Clock.Now()), minReadWait), readWait)
}

// pause spaces reads. A process that does not lead reads seldom, and at once when a caller asks for something that may have
// changed.
func (n *Node) pause() {
	if n.session.Load() != nil {
		n.sleep(leaderPause)
		return
	}
	timer := n.common.Clock.NewTimer(followPause)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-n.wanted:
	case <-n.ctx.Done():
	}
}

// refresh waits shortly for a read that began after the call, unless the newest one is recent.
func (n *Node) refresh(ctx context.Context) {
	if age, loaded := n.replica.Age(n.common.Clock.Now()); !loaded || age < recentRead || age > followPause {
		return // there is nothing to wait for, or a read is waiting for records already
	}
	read := n.replica.Changed()
	select {
	case n.wanted <- struct{}{}:
	default:
	}
	timer := n.common.Clock.NewTimer(refreshLimit)
	defer timer.Stop()
	select {
	case <-read:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// apply passes what was read to the watch, and to the session while this process leads.
func (n *Node) apply(changes []replica.Change) {
	s := n.session.Load()
	for _, change := range changes {
		switch change.Kind {
		case record.KindLeader:
			n.watch.Heard(change.Leader.Resigned, n.common.Clock.Now())
		case record.KindJob:
			if entry, ok := n.replica.Job(change.Job); ok && s != nil {
				s.AddJob(entry)
			}
		case record.KindNode:
			n.yieldToStronger(s)
		case record.KindCancel:
			if s != nil {
				s.CancelJob(change.Job)
			}
		}
	}
}

// yieldToStronger hands leadership over when a VM with a larger processor share has started.
func (n *Node) yieldToStronger(s *term.Session) {
	if s == nil || s.Ended() || n.settings.Cores >= weakShare*n.replica.MostCores() {
		return
	}
	n.duties.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, yieldLimit)
		defer cancel()
		s.Stop(ctx, true)
	})
}

func (n *Node) dropEndedSession() {
	if s := n.session.Load(); s != nil && s.Ended() {
		n.session.Store(nil)
		n.duties.Go(func() { s.Stop(n.ctx, false) })
	}
}

// claimDelay adds to a delay that was drawn at random what keeps weak VMs from leading while stronger ones live.
func (n *Node) claimDelay(drawn time.Duration) time.Duration {
	if n.settings.Cores < weakShare*n.replica.MostCores() {
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
			Early:    n.settings.Early,
		},
		Lease:     min(lease, n.settings.MaxLease),
		Hold:      holdWait,
		Alone:     aloneFor,
		Confirmed: leaderTimeout,
		KeepJob:   n.settings.KeepJob,
	}
	ports := term.Ports{
		Log: n.ports.Log, Workers: n.ports.Workers, Decode: n.ports.DecodeWorker, Dial: n.ports.Dial, Adviser: n.ports.Adviser, Wall: n.ports.Wall,
	}
	n.session.Store(term.Start(n.common, settings, ports, n.replica, n.config.Load(), began))
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
