package member

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Member describes one of the system's own VMs, as sent in its heartbeats.
type Member struct {
	ID          oleanderline.VMID
	Domain      oleanderline.DomainID
	Address     string // host:port of the peer listener
	Incarnation int64  // start time of the process in nanoseconds; a higher value replaces a lower one
	Revision    oleanderline.Revision
	Draining    bool // a planned stop has begun: the member accepts no new shares of slots and no new shards
}

// View holds the members that one process has heard from. It does no I/O and reads no clock: the caller passes the time.
type View struct {
	self    Member
	timeout time.Duration
	peers   map[oleanderline.VMID]*peerState
}

type peerState struct {
	member        Member
	lastHeartbeat time.Time
}

// NewView returns a view that contains only self. A peer is alive until no heartbeat has arrived for timeout.
func NewView(self Member, timeout time.Duration) *View {
	return &View{self: self, timeout: timeout, peers: map[oleanderline.VMID]*peerState{}}
}

// Self returns the process's own entry.
func (v *View) Self() Member { return v.self }

// SetSelf replaces the process's own entry, for example when it starts to drain.
func (v *View) SetSelf(self Member) { v.self = self }

// RecordHeartbeat records a heartbeat and reports whether the peer was not alive before. A heartbeat of an older incarnation is
// ignored: after a VM has been replaced by one with the same id, a late heartbeat must not restore the old address.
func (v *View) RecordHeartbeat(m Member, now time.Time) (joined bool) {
	if m.ID == v.self.ID {
		return false
	}
	existing, ok := v.peers[m.ID]
	if ok && m.Incarnation < existing.member.Incarnation {
		return false
	}
	joined = !ok || now.Sub(existing.lastHeartbeat) > v.timeout
	v.peers[m.ID] = &peerState{member: m, lastHeartbeat: now}
	return joined
}

// Expire removes the peers whose last heartbeat is older than the timeout, and returns them in id order.
func (v *View) Expire(now time.Time) []Member {
	var lost []Member
	for id, peer := range v.peers {
		if now.Sub(peer.lastHeartbeat) > v.timeout {
			lost = append(lost, peer.member)
			delete(v.peers, id)
		}
	}
	slices.SortFunc(lost, byID)
	return lost
}

// Alive returns the members that are alive, including self, in id order.
func (v *View) Alive(now time.Time) []Member {
	alive := []Member{v.self}
	for _, peer := range v.peers {
		if now.Sub(peer.lastHeartbeat) <= v.timeout {
			alive = append(alive, peer.member)
		}
	}
	slices.SortFunc(alive, byID)
	return alive
}

// Eligible returns the ids of the alive members that are not draining, which accept new shares and shards, in id order.
func (v *View) Eligible(now time.Time) []oleanderline.VMID {
	var ids []oleanderline.VMID
	for _, m := range v.Alive(now) {
		if !m.Draining {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func byID(a, b Member) int {
	switch {
	case a.ID < b.ID:
		return -1
	case a.ID > b.ID:
		return 1
	default:
		return 0
	}
}

// Remove removes a peer after its planned stop.
func (v *View) Remove(id oleanderline.VMID) { delete(v.peers, id) }
