package rules

import (
	"context"

	"github.com/oleanderline/oleanderline/pkg/common"
)

func (f *Follower) queryPeers(ctx context.Context) {
	if f.peers == nil || !f.peerQueryDue() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for _, snapshot := range f.peers(ctx) {
		f.adoptSnapshot(snapshot)
	}
}

// peerQueryDue reports whether the peers may be queried now, and sets the time of the next query. During an outage of the
// log service a process that has rules queries with exponential backoff, because the answers contain the full text: six
// peers with 0.8 MB each every 5 s would be 1 MB/s throughout the outage.
func (f *Follower) peerQueryDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.common.Clock.Now()
	if now.Before(f.nextPeerQuery) {
		return false
	}
	f.nextPeerQuery = now.Add(f.peerInterval)
	if f.newest.Revision > 0 && f.logDown {
		f.peerInterval = min(2*f.peerInterval, maxPeerInterval)
	}
	return true
}

// adoptSnapshot puts the revision of a peer in force if it is newer.
func (f *Follower) adoptSnapshot(s Snapshot) {
	f.mu.Lock()
	changed := f.acceptor.Adopt(s)
	if changed {
		f.setNewest(s, true)
	}
	f.mu.Unlock()
	if !changed {
		return
	}
	f.common.Event(common.EventRulesAdopted).WithField("revision", s.Revision).Info("rules adopted from a peer")
	f.apply()
}
