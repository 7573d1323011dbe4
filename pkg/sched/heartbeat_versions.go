package sched

import (
	"fmt"
	"hash/fnv"
	"sync"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// heartbeatVersions makes heartbeats short: a state that the receiver has confirmed is replaced by its version, a hash of it.
// A receiver that does not hold the version ignores the heartbeat and confirms another one, so that the next one is full.
type heartbeatVersions struct {
	mu   sync.Mutex
	held map[oleanderline.VMID]Heartbeat // newest full heartbeat of each peer
	told map[string]toldVersion          // by address
}

// toldVersion names a peer and the version of the own state that it holds.
type toldVersion struct {
	id      oleanderline.VMID
	version uint64
}

func newHeartbeatVersions() *heartbeatVersions {
	return &heartbeatVersions{held: map[oleanderline.VMID]Heartbeat{}, told: map[string]toldVersion{}}
}

// versionOf hashes a state. Maps are printed in the order of their keys, so that equal states have equal versions.
func versionOf(b Heartbeat) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%#v %#v", b.Member, b.Rooms)
	return hash.Sum64() | 1 // zero stands for no version
}

// forTarget returns what to send to an address.
func (v *heartbeatVersions) forTarget(b Heartbeat, address string) Heartbeat {
	v.mu.Lock()
	defer v.mu.Unlock()
	told := v.told[address]
	return v.encodeLocked(b, told.id, told.version)
}

// forCaller returns what to reply to a heartbeat.
func (v *heartbeatVersions) forCaller(b, caller Heartbeat) Heartbeat {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.encodeLocked(b, caller.Member.ID, caller.Confirmed)
}

func (v *heartbeatVersions) encodeLocked(b Heartbeat, to oleanderline.VMID, confirmed uint64) Heartbeat {
	b.Version, b.Confirmed = versionOf(b), v.held[to].Version
	if b.Version != confirmed {
		return b
	}
	return Heartbeat{Member: member.Member{ID: b.Member.ID}, Short: true, Version: b.Version, Confirmed: b.Confirmed}
}

// replied notes the reply from an address, and reports whether the peer holds the version that was sent.
func (v *heartbeatVersions) replied(address string, sent, reply Heartbeat) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.told[address] = toldVersion{id: reply.Member.ID, version: reply.Confirmed}
	return reply.Confirmed == sent.Version
}

// decode returns the full heartbeat for a received one. It is false for a short one whose version is not held.
func (v *heartbeatVersions) decode(b Heartbeat) (Heartbeat, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !b.Short {
		if b.Version != 0 {
			v.held[b.Member.ID] = b
		}
		return b, true
	}
	held := v.held[b.Member.ID]
	return held, held.Version == b.Version
}

// forget forgets the state of a peer.
func (v *heartbeatVersions) forget(id oleanderline.VMID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.held, id)
}
