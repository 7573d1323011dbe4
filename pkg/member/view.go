package member

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
)

// Member is one own VM as a peer sees it.
type Member struct {
	ID          oleanderline.VMID
	Domain      oleanderline.DomainID
	Address     string // of the peer listener
	Incarnation int64  // start time of the process in nanoseconds; a higher one replaces a lower one
	Revision    oleanderline.Revision
	Draining    bool // a planned stop has begun: it takes no new shares or shards
}

// View is the state of membership at one process. It is a pure data structure: the caller passes the time.
type View struct {
	self    Member
	timeout time.Duration
	peers   map[oleanderline.VMID]*seen
}

type seen struct {
	member Member
	last   time.Time
}

// NewView returns a view that contains only self. A peer that is silent for timeout is no longer alive.
func NewView(self Member, timeout time.Duration) *View {
	return &View{self: self, timeout: timeout, peers: map[oleanderline.VMID]*seen{}}
}

// Self returns the process's own row.
func (v *View) Self() Member { return v.self }

// SetSelf replaces the process's own row, for example when it begins to drain.
func (v *View) SetSelf(self Member) { v.self = self }

// Heard records a heartbeat, and reports whether the peer was not alive before. A heartbeat of an older incarnation is
// ignored, so that a replaced VM with the same name cannot bring back its old address.
func (v *View) Heard(m Member, now time.Time) (joined bool) {
	if m.ID == v.self.ID {
		return false
	}
	known, ok := v.peers[m.ID]
	if ok && m.Incarnation < known.member.Incarnation {
		return false
	}
	joined = !ok || now.Sub(known.last) > v.timeout
	v.peers[m.ID] = &seen{member: m, last: now}
	return joined
}

// Expire forgets the peers that have been silent for the timeout, and returns them in id order.
func (v *View) Expire(now time.Time) []Member {
	var lost []Member
	for id, peer := range v.peers {
		if now.Sub(peer.last) > v.timeout {
			lost = append(lost, peer.member)
			delete(v.peers, id)
		}
	}
	slices.SortFunc(lost, byID)
	return lost
}

// Alive returns all members that are alive, self included, in id order.
func (v *View) Alive(now time.Time) []Member {
	alive := []Member{v.self}
	for _, peer := range v.peers {
		if now.Sub(peer.last) <= v.timeout {
			alive = append(alive, peer.member)
		}
	}
	slices.SortFunc(alive, byID)
	return alive
}

// Eligible returns the ids of the alive members that accept new shares and shards, in id order.
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

// Forget removes a peer that has left on purpose.
func (v *View) Forget(id oleanderline.VMID) { delete(v.peers, id) }
