package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/record"
	"github.com/oleanderline/oleanderline/pkg/replica"
	"github.com/oleanderline/oleanderline/pkg/term"
)

// followRecords keeps the replica up to date. It claims leadership when the leader has resigned, is certain to be dead, or has
// stored no record for leaderTimeout.
func (n *Node) followRecords() {
	loaded := false
	jitter := rand.N(maxClaimJitter)
	for n.ctx.Err() == nil {
		now := n.common.Clock.Now()
		changes, more, err := n.readRecords(loaded, jitter)
		if n.ctx.Err() != nil {
			return
		}
		n.recordReads.observe(err)
		n.metrics.reads.Inc()
		if err != nil {
			n.metrics.readErrors.Inc()
		}
		switch {
		case errors.Is(err, oleanderline.ErrTrimmed):
			loaded = false
			continue
		case err != nil:
			n.detector.ObserveRead(false, now)
			n.sleep(readRetryDelay)
			continue
		}
		if loaded {
			n.countRecords(changes)
		}
		loaded = true
		n.detector.ObserveRead(true, now)
		n.apply(changes)
		n.dropEndedSession()
		if n.shouldClaim(jitter) {
			n.claim(jitter)
			jitter = rand.N(maxClaimJitter)
		}
		if !more {
			n.waitForNextRead()
		}
	}
}

// readRecords reads the newest record of each key at first, and then the records that follow. more means that the stream is known or
// likely to hold records beyond those that were read.
func (n *Node) readRecords(loaded bool, jitter time.Duration) (changes []replica.Change, more bool, err error) {
	begun := n.common.Clock.Now()
	if !loaded {
		batch, err := n.ports.Log.Newest(n.ctx, record.Stream)
		if err != nil {
			return nil, false, err
		}
		// The pages of the newest records take a while, and the records since the first page are not among them.
		return n.replica.Load(batch, begun, n.common.Clock.Now()), true, nil
	}
	from, wait := n.replica.NextOffset(), n.readWait(jitter)
	batch, err := n.ports.Log.Read(n.ctx, record.Stream, from, wait)
	if err != nil {
		return nil, false, err
	}
	now := n.common.Clock.Now()
	asOf := begun
	if waited := begun.Add(wait); batch.Next == from && !now.Before(waited) {
		asOf = waited // the log answers without a record only after the wait
	}
	return n.replica.Apply(batch, asOf, now), batch.Next < batch.End, nil
}

// readWait returns how long a read may wait for new records. On a follower it ends when a claim becomes due.
func (n *Node) readWait(jitter time.Duration) time.Duration {
	if n.session.Load() != nil {
		return maxReadWait
	}
	due, known := n.detector.ClaimTime(n.claimDelay(jitter))
	if !known {
		return minReadWait
	}
	return min(max(due.Sub(n.common.Clock.Now()), minReadWait), maxReadWait)
}

// waitForNextRead limits the rate of reads. A follower reads less often than the leader, except when a caller needs fresh
// records.
func (n *Node) waitForNextRead() {
	if n.session.Load() != nil {
		n.sleep(leaderReadPause)
		return
	}
	timer := n.common.Clock.NewTimer(followerReadPause)
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-n.readRequests:
	case <-n.ctx.Done():
	}
}

// refresh requests a read and waits for it for at most refreshTimeout, unless the last read is recent enough.
func (n *Node) refresh(ctx context.Context) {
	if age, loaded := n.replica.ReadAge(n.common.Clock.Now()); !loaded || age < recentReadAge || age > followerReadPause {
		return // nothing was read yet, the last read is recent, or a read is already waiting for records
	}
	n.awaitRead(ctx)
}

// awaitRead requests a read and waits for the end of the next one for at most refreshTimeout. A read that waits for records ends as
// soon as there are any.
func (n *Node) awaitRead(ctx context.Context) {
	read := n.replica.Updated()
	select {
	case n.readRequests <- struct{}{}:
	default:
	}
	timer := n.common.Clock.NewTimer(refreshTimeout)
	defer timer.Stop()
	select {
	case <-read:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// apply passes changes of the replica to the failure detector and, on the leader, to the session.
func (n *Node) apply(changes []replica.Change) {
	s := n.session.Load()
	for _, change := range changes {
		switch change.Kind {
		case record.KindLeader:
			n.logLeader(change.Leader)
			n.observeLeader(change.Leader)
			n.observeAnswer(change.Leader)
		case record.KindJob:
			if entry, ok := n.replica.Job(change.Job); ok && s != nil {
				s.AddJob(entry)
			}
		case record.KindNode:
			n.resignToLargerVM(s, change.Node)
		case record.KindCancel:
			if s != nil {
				s.CancelJob(change.Job)
			}
		}
	}
}

// logLeader logs the first record of a leader that this process reads.
func (n *Node) logLeader(leader record.Leader) {
	if leader.Term == n.loggedTerm {
		return
	}
	n.loggedTerm = leader.Term
	n.common.Event(common.EventLeaderChanged).WithField("leader", leader.VM).WithField("term", leader.Term).Info("read that a process leads")
}

// observeLeader reports a leader record to the failure detector. If the leader was an earlier process of this VM, it is
// certain to be dead, because this process has taken its place.
func (n *Node) observeLeader(leader record.Leader) {
	now := n.common.Clock.Now()
	if leader.VM == n.settings.VM && leader.Term != n.ownTerm && n.session.Load() == nil {
		n.detector.ObserveDeadLeader(now)
		return
	}
	n.detector.ObserveLeader(leader.Resigned, now)
}

// resignToLargerVM resigns if the process that has just registered has so many more cores that this one is below minCoreShare. VMs
// that registered earlier do not count, because they may have left.
func (n *Node) resignToLargerVM(s *term.Session, registered record.Node) {
	if s == nil || s.Ended() || n.settings.Limits.Cores >= minCoreShare*registered.Cores {
		return
	}
	n.resign(s)
}

// resign ends a session in the background, so that another process can take over at once.
func (n *Node) resign(s *term.Session) {
	n.wg.Go(func() {
		ctx, cancel := context.WithTimeout(n.ctx, resignTimeout)
		defer cancel()
		s.Stop(ctx, true)
	})
}

// dropEndedSession clears a session that has ended, after a resignation or because another leader has taken over.
func (n *Node) dropEndedSession() {
	if s := n.session.Load(); s != nil && s.Ended() {
		n.session.Store(nil)
		n.wg.Go(func() { s.Stop(n.ctx, false) })
	}
}
