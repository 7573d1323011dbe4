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

func (f *Follower) mayAsk() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.common.Clock.Now()
	if !f.askedAt.IsZero() && now.Sub(f.askedAt) < peerInterval {
		return false
	}
	f.askedAt = now
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
