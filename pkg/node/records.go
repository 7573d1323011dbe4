package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oleanderline/oleanderline"
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
			n.hear(change.Leader)
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

// hear takes in a record of the leader. If an earlier process of this VM led, that leader has gone with it.
func (n *Node) hear(leader record.Leader) {
	now := n.common.Clock.Now()
	if leader.VM == n.settings.VM && leader.Term != n.ownTerm && n.session.Load() == nil {
		n.watch.Gone(now)
		return
	}
	n.watch.Heard(leader.Resigned, now)
}

// yieldToStronger hands leadership over when a VM with a larger processor share has started.
func (n *Node) yieldToStronger(s *term.Session) {
	if s == nil || s.Ended() || n.settings.Limits.Cores >= weakShare*n.replica.MostCores() {
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
