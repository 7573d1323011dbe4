package entry

import (
	"reflect"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// heartbeatCodec shortens heartbeats: state that the receiver has confirmed is replaced by its version. A short heartbeat
// has exactly the same meaning as the full one. A receiver that does not hold the version ignores the heartbeat and does
// not confirm the version, so that the next heartbeat is full.
type heartbeatCodec struct {
	self oleanderline.VMID

	mu                 sync.Mutex
	ownState           Heartbeat // this entry's state at the newest version
	uninterruptedSince time.Time // ownState.Age as a point in time
	received           map[oleanderline.VMID]receivedHeartbeat
	acks               map[string]heartbeatAck // newest acknowledgement by address of the peer
}

// receivedHeartbeat is the newest full heartbeat of a peer.
type receivedHeartbeat struct {
	heartbeat  Heartbeat
	receivedAt time.Time
}

// heartbeatAck is the id of a peer and the version of this entry's state that it holds.
type heartbeatAck struct {
	id      oleanderline.VMID
	version uint64
}

func newHeartbeatCodec(self oleanderline.VMID) *heartbeatCodec {
	return &heartbeatCodec{self: self, received: map[oleanderline.VMID]receivedHeartbeat{}, acks: map[string]heartbeatAck{}}
}

// setVersion sets the version of a full heartbeat of this entry that was created at now. The version is the sequence
// number of the first statement with this state, so that no other state of this or an earlier process has it.
func (c *heartbeatCodec) setVersion(hb *Heartbeat, now time.Time) {
	if hb.Statement.First == 0 {
		return // the sequence numbers of statements may still coincide with those of an earlier process
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	since := now.Add(-hb.Age)
	if !since.Equal(c.uninterruptedSince) || !reflect.DeepEqual(versionedState(*hb), versionedState(c.ownState)) {
		c.ownState, c.uninterruptedSince = *hb, since
		c.ownState.Version = hb.Statement.Seq
	}
	hb.Version = c.ownState.Version
}

// versionedState returns the part of a heartbeat that its version identifies.
func versionedState(hb Heartbeat) Heartbeat {
	hb.Age, hb.Lost, hb.Version = 0, nil, 0
	hb.Statement.Seq, hb.Statement.Heard = 0, nil
	return hb
}

// encodeFor returns the heartbeat to send to an address: short if the peer there has confirmed the state.
func (c *heartbeatCodec) encodeFor(hb Heartbeat, target string) Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	ack := c.acks[target]
	return c.encodeLocked(hb, ack.id, ack.version)
}

// encodeReply returns the reply to a heartbeat.
func (c *heartbeatCodec) encodeReply(hb, caller Heartbeat) Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	reply := c.encodeLocked(hb, caller.Member.ID, caller.Confirmed)
	if reply.Short {
		reply.Member.ID = "" // the caller has confirmed the version, so it knows whose state it is
	}
	return reply
}

func (c *heartbeatCodec) encodeLocked(hb Heartbeat, to oleanderline.VMID, confirmed uint64) Heartbeat {
	hb.Confirmed = c.received[to].heartbeat.Version
	if hb.Version == 0 || hb.Version != confirmed || hb.Left || len(hb.Lost) > 0 {
		return hb
	}
	return Heartbeat{
		Member:    member.Member{ID: c.self},
		Short:     true,
		Version:   hb.Version,
		Confirmed: hb.Confirmed,
		Seq:       hb.Statement.Seq - hb.Version,
		Heard:     hb.Statement.Heard[to] - hb.Confirmed,
	}
}

// handleReply records the reply from an address and reports whether the peer holds the version that was sent.
func (c *heartbeatCodec) handleReply(target string, sent Heartbeat, reply *Heartbeat) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Short {
		reply.Member.ID = c.acks[target].id
	}
	c.acks[target] = heartbeatAck{id: reply.Member.ID, version: reply.Confirmed}
	return reply.Confirmed == sent.Version
}

// decode returns the full heartbeat for a received one. It returns false for a short one whose version is not held.
func (c *heartbeatCodec) decode(hb Heartbeat, now time.Time) (Heartbeat, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !hb.Short {
		if hb.Version != 0 && !hb.Left {
			c.received[hb.Member.ID] = receivedHeartbeat{heartbeat: hb, receivedAt: now}
		}
		return hb, true
	}
	received, ok := c.received[hb.Member.ID]
	if !ok || received.heartbeat.Version != hb.Version {
		return Heartbeat{}, false
	}
	full := received.heartbeat
	full.Age += now.Sub(received.receivedAt)
	full.Lost = nil
	full.Confirmed = hb.Confirmed
	full.Statement.Seq = hb.Version + hb.Seq
	full.Statement.Heard = map[oleanderline.VMID]uint64{c.self: hb.Confirmed + hb.Heard}
	return full, true
}

// retainOnly deletes the acknowledgements from all other addresses.
func (c *heartbeatCodec) retainOnly(targets []string) {
	keep := make(map[string]bool, len(targets))
	for _, target := range targets {
		keep[target] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for target := range c.acks {
		if !keep[target] {
			delete(c.acks, target)
		}
	}
}

// forgetAll deletes the state of all peers. It is called after a pause of this process, when the ages of the peers that
// are extrapolated by its clock may be too low.
func (c *heartbeatCodec) forgetAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.received)
}

// forget deletes the state of a peer.
func (c *heartbeatCodec) forget(id oleanderline.VMID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.received, id)
}
