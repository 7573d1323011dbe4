package rules

import (
	"context"

	"github.com/oleanderline/oleanderline/pkg/common"
)

func (f *Follower) askPeers(ctx context.Context) {
	if f.peers == nil || !f.mayAsk() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for _, snapshot := range f.peers(ctx) {
		f.takeOver(snapshot)
	}
}

// mayAsk bounds how often the peers are asked. In an outage a process that holds rules asks less and less often, because
// the answers are whole files: six peers with 0.8 MB each every 5 s would be 1 MB/s for the length of the outage.
func (f *Follower) mayAsk() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.common.Clock.Now()
	if now.Before(f.askAt) {
		return false
	}
	f.askAt = now.Add(f.askEvery)
	if f.held.Revision > 0 && f.logDown {
		f.askEvery = min(2*f.askEvery, maxPeerInterval)
	}
	return true
}

func (f *Follower) takeOver(s Snapshot) {
	f.mu.Lock()
	changed := f.order.TakeOver(s)
	if changed {
		f.hold(s, true)
	}
	f.mu.Unlock()
	if !changed {
		return
	}
	f.common.Event(common.EventRulesTakenOver).WithField("revision", s.Revision).Info("rules taken over from a peer")
	f.apply()
}
