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

// roster knows which other schedulers answer, and holds the connections to them.
type roster struct {
	daemon *Daemon
	self   member.Member

	versions *heartbeatVersions

	mu      sync.Mutex
	view    *member.View
	clients map[string]*peer.Client // by address
	turns   *member.Turns
	asking  map[string]bool // a heartbeat is on its way to this address
	rooms   map[oleanderline.VMID]map[oleanderline.ShardID]shard.Room
}

func newRoster(d *Daemon, self member.Member) *roster {
	return &roster{
		daemon:   d,
		self:     self,
		view:     member.NewView(self, heartbeatsMissed*d.settings.Heartbeat),
		clients:  map[string]*peer.Client{},
		versions: newHeartbeatVersions(),
		turns:    member.NewTurns(self.ID, d.settings.Heartbeat, 0),
		asking:   map[string]bool{},
		rooms:    map[oleanderline.VMID]map[oleanderline.ShardID]shard.Room{},
	}
}

// heartbeat sends a heartbeat to every own VM of the region whose turn it is not, and passes the members to the shards.
func (r *roster) heartbeat() {
	d := r.daemon
	rooms, terms := d.collectRooms()
	r.mu.Lock()
	r.rooms[r.self.ID] = rooms
	r.mu.Unlock()
	for _, vm := range d.workers.get() {
		if vm.Role == oleanderline.RoleOwn && vm.ID != r.self.ID {
			if address := d.settings.peerAddress(vm.Address); !r.turns.Theirs(address, d.common.Clock.Now()) {
				r.greet(address)
			}
		}
	}
	r.mu.Lock()
	lost := r.view.Expire(d.common.Clock.Now())
	r.mu.Unlock()
	for _, m := range lost {
		r.forget(m.ID)
		d.common.Event(common.EventPeerLost).WithField("peer", m.ID).Warn("scheduler has missed its heartbeats")
	}
	all := r.allRooms()
	for i, s := range d.shards {
		s.deliver(shard.Members{Ranked: r.ranked(oleanderline.ShardID(i))})
		s.deliver(shard.Rooms{ByShard: all, Terms: terms})
	}
}

func (r *roster) forget(id oleanderline.VMID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.versions.forget(id)
	delete(r.rooms, id)
}

// allRooms returns the room of each shard, as its owner told it last.
func (r *roster) allRooms() map[oleanderline.ShardID]shard.Room {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := map[oleanderline.ShardID]shard.Room{}
	for _, rooms := range r.rooms {
		maps.Copy(all, rooms)
	}
	return all
}

func (r *roster) greet(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.asking[address] {
		return
	}
	r.asking[address] = true
	client := r.client(address)
	r.daemon.loops.Go(func() {
		ctx, cancel := context.WithTimeout(r.daemon.ctx, heartbeatsMissed*r.daemon.settings.Heartbeat)
		defer cancel()
		r.exchange(ctx, client, address)
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.asking, address)
	})
}

// exchangeTries bounds the calls of one exchange: the first may show that the peer does not hold the own state, and the
// second that this process no longer holds the peer's.
const exchangeTries = 3

// exchange sends a heartbeat, and sends it again if one of the two sides cannot restore what a short one names.
func (r *roster) exchange(ctx context.Context, client *peer.Client, address string) {
	for range exchangeTries {
		sent := r.versions.forTarget(r.me(), address)
		var reply Heartbeat
		if err := client.Call(ctx, serviceName+".Heartbeat", sent, &reply); err != nil {
			return
		}
		confirmed := r.versions.replied(address, sent, reply)
		full, ok := r.versions.decode(reply)
		if ok {
			r.heard(full)
		}
		if ok && (confirmed || !sent.Short) {
			return
		}
	}
}

// answer takes in the heartbeat of a caller and returns the reply.
func (r *roster) answer(caller Heartbeat) Heartbeat {
	if full, ok := r.versions.decode(caller); ok {
		r.heard(full)
		r.turns.Note(full.Member, r.daemon.common.Clock.Now())
	}
	return r.versions.forCaller(r.me(), caller)
}

// client returns the connection to an address. The caller holds mu.
func (r *roster) client(address string) *peer.Client {
	client := r.clients[address]
	if client == nil {
		client = peer.NewClient(address, r.daemon.settings.Key,
			peer.WithTimeout(r.daemon.settings.Hold+callTimeout), peer.WithByteCounter(r.daemon.common.PeerBytes()))
		r.clients[address] = client
	}
	return client
}

// connect returns the connection to an address.
func (r *roster) connect(address string) *peer.Client {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.client(address)
}

func (r *roster) heard(heartbeat Heartbeat) {
	m := heartbeat.Member
	r.mu.Lock()
	joined := r.view.Heard(m, r.daemon.common.Clock.Now())
	r.rooms[m.ID] = heartbeat.Rooms
	r.mu.Unlock()
	if joined {
		r.daemon.common.Event(common.EventPeerJoined).WithField("peer", m.ID).Info("scheduler answers")
	}
}

func (r *roster) me() Heartbeat {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.view.Self()
	self.Revision = r.daemon.rules.Current().Revision
	return Heartbeat{Member: self, Rooms: r.rooms[r.self.ID]}
}

// ranked returns the members that take shards, in rendezvous order for a shard.
func (r *roster) ranked(id oleanderline.ShardID) []shard.Candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	domains := map[oleanderline.VMID]oleanderline.DomainID{}
	var ids []oleanderline.VMID
	for _, m := range r.view.Alive(r.daemon.common.Clock.Now()) {
		if !m.Draining {
			ids = append(ids, m.ID)
			domains[m.ID] = m.Domain
		}
	}
	var candidates []shard.Candidate
	for _, vm := range member.Rank(shardKey(id), ids) {
		candidates = append(candidates, shard.Candidate{ID: vm, Domain: domains[vm]})
	}
	return candidates
}

func shardKey(id oleanderline.ShardID) string { return "shard/" + strconv.Itoa(int(id)) }

// first returns the peer address of the member that should own a shard, or "" if that is this process.
func (r *roster) first(id oleanderline.ShardID) string {
	ranked := r.ranked(id)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.view.Alive(r.daemon.common.Clock.Now()) {
		if len(ranked) > 0 && m.ID == ranked[0].ID && m.ID != r.self.ID {
			return m.Address
		}
	}
	return ""
}

// drain tells the peers with the next heartbeat that this process takes no shards any more.
func (r *roster) drain() {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.view.Self()
	self.Draining = true
	r.view.SetSelf(self)
}

// members returns all own VMs that answer.
func (r *roster) members() []operator.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var members []operator.Member
	for _, m := range r.view.Alive(r.daemon.common.Clock.Now()) {
		members = append(members, operator.Member{
			ID: m.ID, Domain: m.Domain, Alive: true, Draining: m.Draining, Revision: m.Revision,
		})
	}
	return members
}

// others reports whether another member takes shards.
func (r *roster) others() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	eligible := r.view.Eligible(r.daemon.common.Clock.Now())
	return slices.ContainsFunc(eligible, func(id oleanderline.VMID) bool { return id != r.self.ID })
}

// askRules collects the rules of the peers, for a process that cannot read the log service.
func (r *roster) askRules(ctx context.Context) []rules.Snapshot {
	r.mu.Lock()
	alive := r.view.Alive(r.daemon.common.Clock.Now())
	r.mu.Unlock()
	var snapshots []rules.Snapshot
	for _, m := range alive {
		if m.ID == r.self.ID {
			continue
		}
		var snapshot rules.Snapshot
		if err := r.connect(m.Address).Call(ctx, serviceName+".Rules", struct{}{}, &snapshot); err == nil {
			snapshots = append(snapshots, snapshot)
		}
	}
	return snapshots
}

func (r *roster) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, client := range r.clients {
		client.Close()
	}
}
