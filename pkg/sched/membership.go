package sched

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"sync"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/operator"
	"github.com/oleanderline/oleanderline/pkg/peer"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/shard"
)

// membership tracks which other schedulers are alive and holds the connections to them.
type membership struct {
	daemon *Daemon
	self   member.Member

	codec *heartbeatCodec

	mu       sync.Mutex
	view     *member.View
	clients  map[string]*peer.Client // by address
	turns    *member.Turns
	inFlight map[string]bool // a heartbeat to this address is in flight
	rooms    map[oleanderline.VMID]map[oleanderline.ShardID]shard.Room
}

func newMembership(d *Daemon, self member.Member) *membership {
	return &membership{
		daemon:   d,
		self:     self,
		view:     member.NewView(self, maxMissedHeartbeats*d.settings.Heartbeat),
		clients:  map[string]*peer.Client{},
		codec:    newHeartbeatCodec(),
		turns:    member.NewTurns(self.ID, d.settings.Heartbeat, 0),
		inFlight: map[string]bool{},
		rooms:    map[oleanderline.VMID]map[oleanderline.ShardID]shard.Room{},
	}
}

// sendHeartbeats sends a heartbeat to every other own VM of the region, except those whose turn it is to call, and delivers
// the members to the shards.
func (m *membership) sendHeartbeats() {
	d := m.daemon
	rooms, terms := d.collectRooms()
	m.mu.Lock()
	m.rooms[m.self.ID] = rooms
	m.mu.Unlock()
	for _, vm := range d.vmList.get() {
		if vm.Role == oleanderline.RoleOwn && vm.ID != m.self.ID {
			if address := d.settings.peerAddress(vm.Address); !m.turns.PeerCalls(address, d.common.Clock.Now()) {
				m.startExchange(address)
			}
		}
	}
	m.mu.Lock()
	lost := m.view.Expire(d.common.Clock.Now())
	m.mu.Unlock()
	for _, lostPeer := range lost {
		m.removePeer(lostPeer.ID)
		d.common.Event(common.EventPeerLost).WithField("peer", lostPeer.ID).Warn("no heartbeat from scheduler within the timeout; considered failed")
	}
	all := m.allRooms()
	for i, s := range d.shards {
		s.deliver(shard.Members{Ranked: m.ranked(oleanderline.ShardID(i))})
		s.deliver(shard.Rooms{ByShard: all, Terms: terms})
	}
}

func (m *membership) removePeer(id oleanderline.VMID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.codec.forget(id)
	delete(m.rooms, id)
}

// allRooms returns the room of each shard, as last reported by its owner.
func (m *membership) allRooms() map[oleanderline.ShardID]shard.Room {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[oleanderline.ShardID]shard.Room{}
	for _, rooms := range m.rooms {
		maps.Copy(all, rooms)
	}
	return all
}

func (m *membership) startExchange(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight[address] {
		return
	}
	m.inFlight[address] = true
	client := m.clientLocked(address)
	m.daemon.loops.Go(func() {
		ctx, cancel := context.WithTimeout(m.daemon.ctx, maxMissedHeartbeats*m.daemon.settings.Heartbeat)
		defer cancel()
		m.exchange(ctx, client, address)
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.inFlight, address)
	})
}

// maxExchangeCalls is the most calls in one exchange. The first call may show that the peer does not have this process's
// state, and the second that this process no longer has the peer's.
const maxExchangeCalls = 3

// exchange sends a heartbeat, and sends it again if one of the two sides does not have the state that a short heartbeat
// refers to.
func (m *membership) exchange(ctx context.Context, client *peer.Client, address string) {
	for range maxExchangeCalls {
		sent := m.codec.encodeFor(m.ownHeartbeat(), address)
		var reply Heartbeat
		if err := client.Call(ctx, serviceName+".Heartbeat", sent, &reply); err != nil {
			return
		}
		confirmed := m.codec.handleReply(address, sent, reply)
		full, ok := m.codec.decode(reply)
		if ok {
			m.recordHeartbeat(full)
		}
		if ok && (confirmed || !sent.Short) {
			return
		}
	}
}

// handleHeartbeat records the heartbeat of a caller and returns the reply.
func (m *membership) handleHeartbeat(caller Heartbeat) Heartbeat {
	if full, ok := m.codec.decode(caller); ok {
		m.recordHeartbeat(full)
		m.turns.RecordCall(full.Member, m.daemon.common.Clock.Now())
	}
	return m.codec.encodeReply(m.ownHeartbeat(), caller)
}

// clientLocked returns the client for an address. The caller must hold mu.
func (m *membership) clientLocked(address string) *peer.Client {
	client := m.clients[address]
	if client == nil {
		client = peer.NewClient(address, m.daemon.settings.Key,
			peer.WithTimeout(m.daemon.settings.AnswerTimeout+callTimeout), peer.WithByteCounter(m.daemon.common.PeerBytes()))
		m.clients[address] = client
	}
	return client
}

// client returns the client for an address.
func (m *membership) client(address string) *peer.Client {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clientLocked(address)
}

func (m *membership) recordHeartbeat(heartbeat Heartbeat) {
	sender := heartbeat.Member
	m.mu.Lock()
	joined := m.view.RecordHeartbeat(sender, m.daemon.common.Clock.Now())
	m.rooms[sender.ID] = heartbeat.Rooms
	m.mu.Unlock()
	if joined {
		m.daemon.common.Event(common.EventPeerJoined).WithField("peer", sender.ID).Info("scheduler joined")
	}
}

func (m *membership) ownHeartbeat() Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.view.Self()
	self.Revision = m.daemon.rules.Current().Revision
	return Heartbeat{Member: self, Rooms: m.rooms[m.self.ID]}
}

// ranked returns the members that are not draining, in rendezvous order for a shard.
func (m *membership) ranked(id oleanderline.ShardID) []shard.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	domains := map[oleanderline.VMID]oleanderline.DomainID{}
	var ids []oleanderline.VMID
	for _, candidate := range m.view.Alive(m.daemon.common.Clock.Now()) {
		if !candidate.Draining {
			ids = append(ids, candidate.ID)
			domains[candidate.ID] = candidate.Domain
		}
	}
	var candidates []shard.Candidate
	for _, vm := range member.Rank(shardKey(id), ids) {
		candidates = append(candidates, shard.Candidate{ID: vm, Domain: domains[vm]})
	}
	return candidates
}

func shardKey(id oleanderline.ShardID) string { return "shard/" + strconv.Itoa(int(id)) }

// preferredOwner returns the peer address of the first member in rendezvous order for a shard, or "" if that is this
// process.
func (m *membership) preferredOwner(id oleanderline.ShardID) string {
	ranked := m.ranked(id)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, candidate := range m.view.Alive(m.daemon.common.Clock.Now()) {
		if len(ranked) > 0 && candidate.ID == ranked[0].ID && candidate.ID != m.self.ID {
			return candidate.Address
		}
	}
	return ""
}

// setDraining marks this process as draining. Its next heartbeats tell the peers that it takes no more shards.
func (m *membership) setDraining() {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.view.Self()
	self.Draining = true
	m.view.SetSelf(self)
}

// members returns the own VMs that are alive.
func (m *membership) members() []operator.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var members []operator.Member
	for _, alive := range m.view.Alive(m.daemon.common.Clock.Now()) {
		members = append(members, operator.Member{
			ID: alive.ID, Domain: alive.Domain, Alive: true, Draining: alive.Draining, Revision: alive.Revision,
		})
	}
	return members
}

// hasOthers reports whether any other member can take shards.
func (m *membership) hasOthers() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	eligible := m.view.Eligible(m.daemon.common.Clock.Now())
	return slices.ContainsFunc(eligible, func(id oleanderline.VMID) bool { return id != m.self.ID })
}

// fetchRules returns the rules snapshots of the peers, for use while this process cannot read the log service.
func (m *membership) fetchRules(ctx context.Context) []rules.Snapshot {
	m.mu.Lock()
	alive := m.view.Alive(m.daemon.common.Clock.Now())
	m.mu.Unlock()
	var snapshots []rules.Snapshot
	for _, other := range alive {
		if other.ID == m.self.ID {
			continue
		}
		var snapshot rules.Snapshot
		if err := m.client(other.Address).Call(ctx, serviceName+".Rules", struct{}{}, &snapshot); err == nil {
			snapshots = append(snapshots, snapshot)
		}
	}
	return snapshots
}

func (m *membership) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, client := range m.clients {
		client.Close()
	}
}
