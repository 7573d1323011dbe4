package entry

import (
	"reflect"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// heartbeatCodec makes heartbeats short: state that the receiver has confirmed is replaced by its version. A short heartbeat means
// exactly what the full one would, and a receiver that cannot restore it ignores it and does not confirm the version, so
// that the next one is full.
type heartbeatCodec struct {
	self oleanderline.VMID

	mu    sync.Mutex
	own   Heartbeat // state of the newest version
	since time.Time // own.Age as a time
	held  map[oleanderline.VMID]heldHeartbeat
	// told holds what the peer at an address said last.
	told map[string]toldHeartbeat
}

// heldHeartbeat is the newest full heartbeat of a peer.
type heldHeartbeat struct {
	heartbeat Heartbeat
	at        time.Time
}

// toldHeartbeat names a peer and the version of the own state that it holds.
type toldHeartbeat struct {
	id      oleanderline.VMID
	version uint64
}

func newHeartbeatCodec(self oleanderline.VMID) *heartbeatCodec {
	return &heartbeatCodec{self: self, held: map[oleanderline.VMID]heldHeartbeat{}, told: map[string]toldHeartbeat{}}
}

// stamp sets the version of a full own heartbeat that was made at now. The version is the sequence number of the first
// statement with this state, which no other state of this or an earlier process has.
func (c *heartbeatCodec) stamp(b *Heartbeat, now time.Time) {
	if b.Statement.First == 0 {
		return // the numbers of statements do not yet differ from those of an earlier process
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	since := now.Add(-b.Age)
	if !since.Equal(c.since) || !reflect.DeepEqual(lasting(*b), lasting(c.own)) {
		c.own, c.since = *b, since
		c.own.Version = b.Statement.Seq
	}
	b.Version = c.own.Version
}

// lasting returns the part of a heartbeat that a version stands for.
func lasting(b Heartbeat) Heartbeat {
	b.Age, b.Lost, b.Version = 0, nil, 0
	b.Statement.Seq, b.Statement.Heard = 0, nil
	return b
}

// forTarget returns what to send to an address.
func (c *heartbeatCodec) forTarget(b Heartbeat, target string) Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	told := c.told[target]
	return c.encodeLocked(b, told.id, told.version)
}

// forCaller returns what to reply to a heartbeat.
func (c *heartbeatCodec) forCaller(b, caller Heartbeat) Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := c.encodeLocked(b, caller.Member.ID, caller.Confirmed)
	if reply.Short {
		reply.Member.ID = "" // the caller has named the state and so knows whose it is
	}
	return reply
}

func (c *heartbeatCodec) encodeLocked(b Heartbeat, to oleanderline.VMID, confirmed uint64) Heartbeat {
	b.Confirmed = c.held[to].heartbeat.Version
	if b.Version == 0 || b.Version != confirmed || b.Left || len(b.Lost) > 0 {
		return b
	}
	return Heartbeat{
		Member:    member.Member{ID: c.self},
		Short:     true,
		Version:   b.Version,
		Confirmed: b.Confirmed,
		Seq:       b.Statement.Seq - b.Version,
		Heard:     b.Statement.Heard[to] - b.Confirmed,
	}
}

// replied notes the reply from an address, and reports whether the peer holds the version that was sent.
func (c *heartbeatCodec) replied(target string, sent Heartbeat, reply *Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Short {
		reply.Member.ID = c.told[target].id
	}
	c.told[target] = toldHeartbeat{id: reply.Member.ID, version: reply.Confirmed}
	return reply.Confirmed == sent.Version
}

// decode returns the full heartbeat for a received one. It is false for a short one whose version is not held.
func (c *heartbeatCodec) decode(b Heartbeat, now time.Time) (Heartbeat, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !b.Short {
		if b.Version != 0 && !b.Left {
			c.held[b.Member.ID] = heldHeartbeat{heartbeat: b, at: now}
		}
		return b, true
	}
	held, ok := c.held[b.Member.ID]
	if !ok || held.heartbeat.Version != b.Version {
		return Heartbeat{}, false
	}
	full := held.heartbeat
	full.Age += now.Sub(held.at)
	full.Lost = nil
	full.Confirmed = b.Confirmed
	full.Statement.Seq = b.Version + b.Seq
	full.Statement.Heard = map[oleanderline.VMID]uint64{c.self: b.Confirmed + b.Heard}
	return full, true
}

// keepOnly forgets what was told at other addresses.
func (c *heartbeatCodec) keepOnly(targets []string) {
	keep := make(map[string]bool, len(targets))
	for _, target := range targets {
		keep[target] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for target := range c.told {
		if !keep[target] {
			delete(c.told, target)
		}
	}
}

// reset forgets the state of all peers. After a pause of this process, its clock may have missed a part of their age.
func (c *heartbeatCodec) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.held)
}

// forget forgets the state of a peer.
func (c *heartbeatCodec) forget(id oleanderline.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, id)
}
