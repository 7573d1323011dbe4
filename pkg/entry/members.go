package entry

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
	"github.com/oleanderline/oleanderline/pkg/member"
)

// members is this entry's membership view of the own VMs, safe for concurrent use. It also records which members have
// failed or stopped recently and how long the others have been running, because the homes of idempotency keys depend on
// that.
type members struct {
	common       *common.Common
	timeout      time.Duration
	keyRetention time.Duration // how long keys are stored

	mu                 sync.Mutex
	view               *member.View
	peers              map[oleanderline.VMID]peerState
	lost               map[idempotency.Executor]lostEntry // failed entries whose keys may still be valid
	departed           map[idempotency.Executor]time.Time // members that made a planned stop, and until when they count as present for takeovers
	unbackedUntil      time.Time                          // until when a request may run whose key has no copy at a backup
	hosts              map[string]host                    // by IP number, because an old and a new VM may have the same id
	listedVMs          []oleanderline.VM                  // own VMs in the VM list
	uninterruptedSince time.Time                          // start, or the last time at which others may have decided about keys of this entry
	lastTick           time.Time
	contactedAll       bool // every listed own VM was contacted or missed since uninterruptedSince
	refusing           bool // before this entry has joined, and while it stops
	countedHosts       []string
	countedByAll       bool // all alive peers count this entry for their connection limits
	started            time.Time
	joined             bool
}

type peerState struct {
	incarnation        int64
	uninterruptedSince time.Time
	refusing           bool
	unbackedKeys       bool // the peer may hold the only copy of a key
}

type lostEntry struct {
	until        time.Time
	unbackedKeys bool // the entry may have held the only copy of a key
}

func newMembers(c *common.Common, self member.Member, timeout, keyRetention time.Duration) *members {
	now := c.Clock.Now()
	return &members{
		common:             c,
		timeout:            timeout,
		keyRetention:       keyRetention,
		view:               member.NewView(self, timeout),
		peers:              map[oleanderline.VMID]peerState{},
		lost:               map[idempotency.Executor]lostEntry{},
		departed:           map[idempotency.Executor]time.Time{},
		hosts:              map[string]host{},
		uninterruptedSince: now,
		started:            now,
		refusing:           true,
		lastTick:           now,
	}
}

// tick records that the process is running. It reports whether the process was paused for longer than the heartbeat
// timeout before.
func (m *members) tick(now time.Time) (paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	paused = now.Sub(m.lastTick) > m.timeout
	m.lastTick = now
	switch {
	case paused:
		m.uninterruptedSince, m.contactedAll = now, false
	case m.contactedAll && !m.halfAliveLocked(now):
		// The other members may have taken over keys of this entry.
		m.uninterruptedSince = now
	}
	return paused
}

// recordRound records the end of a round of heartbeats that began at start and in which every listed own VM replied or
// failed to reply.
func (m *members) recordRound(start time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if start.After(m.uninterruptedSince) {
		m.contactedAll = true
	}
}

// hasContactedAll reports whether a round of heartbeats to every listed own VM has ended since the start or the last
// pause.
func (m *members) hasContactedAll() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contactedAll
}

// setListed replaces the rows of the VM list; it keeps the own VMs.
func (m *members) setListed(rows []oleanderline.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listedVMs = m.listedVMs[:0]
	for _, row := range rows {
		if row.Role == oleanderline.RoleOwn {
			m.listedVMs = append(m.listedVMs, row)
		}
	}
}

// recordHeartbeat updates the view from a full heartbeat. It reports whether the peer has joined, and which earlier
// incarnation of it was replaced.
func (m *members) recordHeartbeat(hb Heartbeat, now time.Time) (joined bool, replaced *idempotency.Executor) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordHostLocked(hb, now)
	id := hb.Member.ID
	if id == m.view.Self().ID {
		return false, nil
	}
	if _, ok := m.departed[idempotency.Executor{ID: id, Incarnation: hb.Member.Incarnation}]; ok {
		// The heartbeat arrived after the later message that the peer has left.
		return false, nil
	}
	old, known := m.peers[id]
	if known && hb.Member.Incarnation < old.incarnation {
		return false, nil
	}
	if known && hb.Member.Incarnation > old.incarnation {
		m.recordLossLocked(id, old, now)
		replaced = &idempotency.Executor{ID: id, Incarnation: old.incarnation}
	}
	// A member that was considered failed and has the same incarnation was only unreachable and still has its keys.
	delete(m.lost, idempotency.Executor{ID: id, Incarnation: hb.Member.Incarnation})
	m.peers[id] = peerState{
		incarnation:        hb.Member.Incarnation,
		uninterruptedSince: now.Add(-hb.Age),
		refusing:           hb.Refusing,
		unbackedKeys:       hb.Alone,
	}
	for _, l := range hb.Lost {
		m.mergeLossLocked(l, now)
	}
	return m.view.RecordHeartbeat(hb.Member, now), replaced
}

// mergeLossLocked records a failed entry that a peer has reported.
func (m *members) mergeLossLocked(l Loss, now time.Time) {
	self := m.view.Self()
	if l.ID == self.ID && l.Incarnation == self.Incarnation {
		// Other members consider this process failed and may have taken over its keys.
		m.uninterruptedSince = now
		return
	}
	if p, ok := m.peers[l.ID]; ok && p.incarnation == l.Incarnation {
		return
	}
	until := now.Add(min(l.For, m.keyRetention))
	id := idempotency.Executor{ID: l.ID, Incarnation: l.Incarnation}
	if _, ok := m.departed[id]; ok {
		return
	}
	known := m.lost[id]
	if until.Before(known.until) {
		until = known.until
	}
	m.lost[id] = lostEntry{until: until, unbackedKeys: known.unbackedKeys || l.Alone}
}

func (m *members) recordLossLocked(id oleanderline.VMID, p peerState, now time.Time) {
	m.lost[idempotency.Executor{ID: id, Incarnation: p.incarnation}] = lostEntry{until: now.Add(m.keyRetention), unbackedKeys: p.unbackedKeys}
}

// expire removes the peers whose heartbeats have timed out and returns them.
func (m *members) expire(now time.Time) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	gone := m.view.Expire(now)
	for _, g := range gone {
		m.recordLossLocked(g.ID, m.peers[g.ID], now)
		delete(m.peers, g.ID)
	}
	for id, l := range m.lost {
		if now.After(l.until) {
			delete(m.lost, id)
		}
	}
	for id, until := range m.departed {
		if now.After(until) {
			delete(m.departed, id)
		}
	}
	return gone
}

// recordLeave removes a peer that is stopping and has handed over its keys.
func (m *members) recordLeave(peer member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.hosts, hostOf(peer.Address))
	id, incarnation := peer.ID, peer.Incarnation
	if p, ok := m.peers[id]; ok && p.incarnation == incarnation {
		delete(m.peers, id)
		m.view.Remove(id)
		m.departed[idempotency.Executor{ID: id, Incarnation: incarnation}] = m.common.Clock.Now().Add(m.keyRetention)
	}
}

// heartbeat returns the next heartbeat of this entry, without the statement about slots.
func (m *members) heartbeat(now time.Time) Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	hb := Heartbeat{Member: m.view.Self(), Age: now.Sub(m.uninterruptedSince), Refusing: m.refusing, Counted: m.countedHosts, Alone: m.hasUnbackedKeysLocked(now)}
	for id, l := range m.lost {
		hb.Lost = append(hb.Lost, Loss{ID: id.ID, Incarnation: id.Incarnation, For: l.until.Sub(now), Alone: l.unbackedKeys})
	}
	return hb
}

// join lets this entry take its share of the slots when it has contacted all others and delay has passed since its
// start. Until then, its peers use these slots.
func (m *members) join(now time.Time, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.joined && m.contactedAll && now.Sub(m.started) >= delay {
		m.joined, m.refusing = true, false
	}
}

// hasJoined reports whether this entry may take its share of the slots.
func (m *members) hasJoined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// updateSelf applies a change to this entry's own member record and refusing state.
func (m *members) updateSelf(apply func(self *member.Member, refusing *bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.view.Self()
	apply(&self, &m.refusing)
	m.view.SetSelf(self)
}

// servingIDs returns the ids of the members that accept requests, in order.
func (m *members) servingIDs(now time.Time) []oleanderline.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ids []oleanderline.VMID
	self := m.view.Self().ID
	for _, other := range m.view.Alive(now) {
		refusing := m.peers[other.ID].refusing
		if other.ID == self {
			refusing = m.refusing
		}
		if !refusing {
			ids = append(ids, other.ID)
		}
	}
	return ids
}

// alive returns the members that are alive, including this entry.
func (m *members) alive(now time.Time) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Alive(now)
}

// peerAddresses returns the addresses of the alive peers by id.
func (m *members) peerAddresses(now time.Time) map[oleanderline.VMID]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	found := map[oleanderline.VMID]string{}
	for _, other := range m.view.Alive(now) {
		if other.ID != m.view.Self().ID {
			found[other.ID] = other.Address
		}
	}
	return found
}

// heartbeatTargets returns the addresses to send heartbeats to: those of the listed own VMs, and of alive peers that the
// VM list does not have yet.
func (m *members) heartbeatTargets(port string, now time.Time) []string {
	m.mu.Lock()
	self := m.view.Self().Address
	var found []string
	for _, row := range m.listedVMs {
		if host, _, err := net.SplitHostPort(row.Address); err == nil {
			found = append(found, net.JoinHostPort(host, port))
		}
	}
	m.mu.Unlock()
	for _, address := range m.peerAddresses(now) {
		found = append(found, address)
	}
	slices.Sort(found)
	found = slices.Compact(found)
	return slices.DeleteFunc(found, func(address string) bool { return address == self })
}

// selfID returns the id of this entry.
func (m *members) selfID() oleanderline.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Self().ID
}
