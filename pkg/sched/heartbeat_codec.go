package sched

import (
	"fmt"
	"hash/fnv"
	"sync"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// heartbeatVersions shortens heartbeats: state that the receiver has confirmed is replaced by its version, which is a hash
// of the state. A receiver that does not have the state of that version ignores the heartbeat and confirms a different
// version, so that the next heartbeat is full.
type heartbeatVersions struct {
	mu        sync.Mutex
	received  map[oleanderline.VMID]Heartbeat // last full heartbeat from each peer
	confirmed map[string]confirmedVersion     // by peer address
}

// confirmedVersion is the version of this process's state that a peer has confirmed.
type confirmedVersion struct {
	id      oleanderline.VMID
	version uint64
}

func newHeartbeatVersions() *heartbeatVersions {
	return &heartbeatVersions{received: map[oleanderline.VMID]Heartbeat{}, confirmed: map[string]confirmedVersion{}}
}

// versionOf returns the hash of the state in a heartbeat. The fmt package prints maps in the order of their keys, so equal
// states have equal versions.
func versionOf(h Heartbeat) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%#v %#v", h.Member, h.Rooms)
	return hash.Sum64() | 1 // 0 means that there is no version
}

// encodeForAddress returns the heartbeat to send to an address.
func (v *heartbeatVersions) encodeForAddress(h Heartbeat, address string) Heartbeat {
	v.mu.Lock()
	defer v.mu.Unlock()
	peer := v.confirmed[address]
	return v.encodeLocked(h, peer.id, peer.version)
}

// encodeReply returns the reply to a received heartbeat.
func (v *heartbeatVersions) encodeReply(h, caller Heartbeat) Heartbeat {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.encodeLocked(h, caller.Member.ID, caller.Confirmed)
}

func (v *heartbeatVersions) encodeLocked(h Heartbeat, to oleanderline.VMID, confirmed uint64) Heartbeat {
	h.Version, h.Confirmed = versionOf(h), v.received[to].Version
	if h.Version != confirmed {
		return h
	}
	return Heartbeat{Member: member.Member{ID: h.Member.ID}, Short: true, Version: h.Version, Confirmed: h.Confirmed}
}

// recordReply records the version that the reply from an address confirms, and reports whether it is the version that was
// sent.
func (v *heartbeatVersions) recordReply(address string, sent, reply Heartbeat) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.confirmed[address] = confirmedVersion{id: reply.Member.ID, version: reply.Confirmed}
	return reply.Confirmed == sent.Version
}

// decode returns the full heartbeat for a received one. It returns false for a short heartbeat whose version is not the last
// full one of that peer.
func (v *heartbeatVersions) decode(h Heartbeat) (Heartbeat, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if !h.Short {
		if h.Version != 0 {
			v.received[h.Member.ID] = h
		}
		return h, true
	}
	last := v.received[h.Member.ID]
	return last, last.Version == h.Version
}

// forget removes the last full heartbeat of a peer.
func (v *heartbeatVersions) forget(id oleanderline.VMID) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.received, id)
}
