package sched

import (
	"fmt"
	"hash/fnv"
	"sync"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// heartbeatCodec shortens heartbeats: state that the receiver has confirmed is replaced by its version, which is a hash
// of the state. A receiver that does not have the state of that version ignores the heartbeat and confirms a different
// version, so that the next heartbeat is full.
type heartbeatCodec struct {
	mu        sync.Mutex
	received  map[oleanderline.VMID]Heartbeat // last full heartbeat from each peer
	confirmed map[string]confirmedVersion     // by peer address
}

// confirmedVersion is the version of this process's state that a peer has confirmed.
type confirmedVersion struct {
	id      oleanderline.VMID
	version uint64
}

func newHeartbeatCodec() *heartbeatCodec {
	return &heartbeatCodec{received: map[oleanderline.VMID]Heartbeat{}, confirmed: map[string]confirmedVersion{}}
}

// versionOf returns the hash of the state in a heartbeat. The fmt package prints maps in the order of their keys, so equal
// states have equal versions.
func versionOf(h Heartbeat) uint64 {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%#v %#v", h.Member, h.Rooms)
	return hash.Sum64() | 1 // 0 means that there is no version
}

// encodeFor returns the heartbeat to send to an address.
func (c *heartbeatCodec) encodeFor(h Heartbeat, address string) Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	peer := c.confirmed[address]
	return c.encodeLocked(h, peer.id, peer.version)
}

// encodeReply returns the reply to a received heartbeat.
func (c *heartbeatCodec) encodeReply(h, caller Heartbeat) Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.encodeLocked(h, caller.Member.ID, caller.Confirmed)
}

func (c *heartbeatCodec) encodeLocked(h Heartbeat, to oleanderline.VMID, confirmed uint64) Heartbeat {
	h.Version, h.Confirmed = versionOf(h), c.received[to].Version
	if h.Version != confirmed {
		return h
	}
	return Heartbeat{Member: member.Member{ID: h.Member.ID}, Short: true, Version: h.Version, Confirmed: h.Confirmed}
}

// handleReply records the version that the reply from an address confirms, and reports whether it is the version that was
// sent.
func (c *heartbeatCodec) handleReply(address string, sent, reply Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed[address] = confirmedVersion{id: reply.Member.ID, version: reply.Confirmed}
	return reply.Confirmed == sent.Version
}

// decode returns the full heartbeat for a received one. It returns false for a short heartbeat whose version is not the last
// full one of that peer.
func (c *heartbeatCodec) decode(h Heartbeat) (Heartbeat, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !h.Short {
		if h.Version != 0 {
			c.received[h.Member.ID] = h
		}
		return h, true
	}
	last := c.received[h.Member.ID]
	return last, last.Version == h.Version
}

// forget removes the last full heartbeat of a peer.
func (c *heartbeatCodec) forget(id oleanderline.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.received, id)
}
