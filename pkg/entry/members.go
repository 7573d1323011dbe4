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

// members is this entry's view of the own VMs, guarded for concurrent use. It knows in addition which members have died
// recently and which are new, because their idempotency keys need care.
type members struct {
	common  *common.Common
	timeout time.Duration
	keep    time.Duration // how long keys are kept

	mu       sync.Mutex
	view     *member.View
	peers    map[oleanderline.VMID]peerState
	lost     map[idempotency.Executor]loss
	departed map[idempotency.Executor]time.Time // until when a planned stop counts for takeovers
	alone    time.Time                          // until when a key may be known here only
	hosts    map[string]host                    // by IP number, whatever the id: an old and a new VM may share a name
	listed   []oleanderline.VM                  // own VMs in the VM list
	since    time.Time                          // start, or end of the last pause
	lastTick time.Time
	settled  bool // every listed own VM was asked since since
	refusing bool // before it has joined, and when it stops
	counted  []string
	known    bool // every peer has counted this entry
	started  time.Time
	joined   bool
}

type peerState struct {
	incarnation int64
	since       time.Time
	refusing    bool
	alone       bool // keys may be known to it only
}

type loss struct {
	until time.Time
	alone bool // keys may have been known to the lost entry only
}

func newMembers(c *common.Common, self member.Member, timeout, keep time.Duration) *members {
	now := c.Clock.Now()
	return &members{
		common:   c,
		timeout:  timeout,
		keep:     keep,
		view:     member.NewView(self, timeout),
		peers:    map[oleanderline.VMID]peerState{},
		lost:     map[idempotency.Executor]loss{},
		departed: map[idempotency.Executor]time.Time{},
		hosts:    map[string]host{},
		since:    now,
		started:  now,
		refusing: true,
		lastTick: now,
	}
}

// tick notes that the process is running, and reports whether it stood still for longer than the timeout before.
func (m *members) tick(now time.Time) (paused bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	paused = now.Sub(m.lastTick) > m.timeout
	m.lastTick = now
	switch {
	case paused:
		m.since, m.settled = now, false
	case m.settled && !m.halfLocked(now):
		// The others may have taken over keys.
		m.since = now
	}
	return paused
}

// settle notes that a round of heartbeats that began at start has reached or missed every listed own VM.
func (m *members) settle(start time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if start.After(m.since) {
		m.settled = true
	}
}

// isSettled reports whether every listed own VM was asked since the start or the last pause.
func (m *members) isSettled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settled
}

// setListed replaces the own VMs of the VM list.
func (m *members) setListed(rows []oleanderline.VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listed = m.listed[:0]
	for _, row := range rows {
		if row.Role == oleanderline.RoleOwn {
			m.listed = append(m.listed, row)
		}
	}
}

// hear takes in a heartbeat. It reports whether the peer joined, and the incarnation of the same name that it replaces.
func (m *members) hear(b Heartbeat, now time.Time) (joined bool, replaced *idempotency.Executor) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.noteHostLocked(b, now)
	id := b.Member.ID
	if id == m.view.Self().ID {
		return false, nil
	}
	if _, ok := m.departed[idempotency.Executor{ID: id, Incarnation: b.Member.Incarnation}]; ok {
		// The heartbeat was overtaken by the message that the peer has left.
		return false, nil
	}
	old, known := m.peers[id]
	if known && b.Member.Incarnation < old.incarnation {
		return false, nil
	}
	if known && b.Member.Incarnation > old.incarnation {
		m.loseLocked(id, old, now)
		replaced = &idempotency.Executor{ID: id, Incarnation: old.incarnation}
	}
	// A lost member of the same incarnation was only out of reach and still has its keys.
	delete(m.lost, idempotency.Executor{ID: id, Incarnation: b.Member.Incarnation})
	m.peers[id] = peerState{
		incarnation: b.Member.Incarnation,
		since:       now.Add(-b.Age),
		refusing:    b.Refusing,
		alone:       b.Alone,
	}
	for _, l := range b.Lost {
		m.mergeLocked(l, now)
	}
	return m.view.Heard(b.Member, now), replaced
}

func (m *members) mergeLocked(l Loss, now time.Time) {
	self := m.view.Self()
	if l.ID == self.ID && l.Incarnation == self.Incarnation {
		// A peer may have taken over keys of this process.
		m.since = now
		return
	}
	if p, ok := m.peers[l.ID]; ok && p.incarnation == l.Incarnation {
		return
	}
	until := now.Add(min(l.For, m.keep))
	id := idempotency.Executor{ID: l.ID, Incarnation: l.Incarnation}
	if _, ok := m.departed[id]; ok {
		return
	}
	known := m.lost[id]
	if until.Before(known.until) {
		until = known.until
	}
	m.lost[id] = loss{until: until, alone: known.alone || l.Alone}
}

func (m *members) loseLocked(id oleanderline.VMID, p peerState, now time.Time) {
	m.lost[idempotency.Executor{ID: id, Incarnation: p.incarnation}] = loss{until: now.Add(m.keep), alone: p.alone}
}

// expire forgets silent peers and returns them.
func (m *members) expire(now time.Time) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	gone := m.view.Expire(now)
	for _, g := range gone {
		m.loseLocked(g.ID, m.peers[g.ID], now)
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

// left removes a peer that has handed over its keys.
func (m *members) left(self member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.hosts, hostOf(self.Address))
	id, incarnation := self.ID, self.Incarnation
	if p, ok := m.peers[id]; ok && p.incarnation == incarnation {
		delete(m.peers, id)
		m.view.Forget(id)
		m.departed[idempotency.Executor{ID: id, Incarnation: incarnation}] = m.common.Clock.Now().Add(m.keep)
	}
}

// heartbeat returns the state for the next heartbeat, without the slots.
func (m *members) heartbeat(now time.Time) Heartbeat {
	m.mu.Lock()
	defer m.mu.Unlock()
	b := Heartbeat{Member: m.view.Self(), Age: now.Sub(m.since), Refusing: m.refusing, Counted: m.counted, Alone: m.aloneLocked(now)}
	for id, l := range m.lost {
		b.Lost = append(b.Lost, Loss{ID: id.ID, Incarnation: id.Incarnation, For: l.until.Sub(now), Alone: l.alone})
	}
	return b
}

// join lets the entry take slots, when it has asked all others and has waited for delay since its start. Until then its
// peers keep using the slots that will be its share.
func (m *members) join(now time.Time, delay time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.joined && m.settled && now.Sub(m.started) >= delay {
		m.joined, m.refusing = true, false
	}
}

// hasJoined reports whether join has let the entry take slots.
func (m *members) hasJoined() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.joined
}

// change applies a change to the own row and state.
func (m *members) change(apply func(self *member.Member, refusing *bool)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	self := m.view.Self()
	apply(&self, &m.refusing)
	m.view.SetSelf(self)
}

// serving returns the members that take requests, in id order.
func (m *members) serving(now time.Time) []oleanderline.VMID {
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

// alive returns the rows of the members that answer, the own one included.
func (m *members) alive(now time.Time) []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Alive(now)
}

// addresses returns the peer addresses of the alive peers by id.
func (m *members) addresses(now time.Time) map[oleanderline.VMID]string {
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

// targets returns the addresses that get heartbeats: of the listed own VMs, and of the peers that are alive although
// the VM list does not have them yet.
func (m *members) targets(port string, now time.Time) []string {
	m.mu.Lock()
	self := m.view.Self().Address
	var found []string
	for _, row := range m.listed {
		if host, _, err := net.SplitHostPort(row.Address); err == nil {
			found = append(found, net.JoinHostPort(host, port))
		}
	}
	m.mu.Unlock()
	for _, address := range m.addresses(now) {
		found = append(found, address)
	}
	slices.Sort(found)
	found = slices.Compact(found)
	return slices.DeleteFunc(found, func(address string) bool { return address == self })
}

// self returns the own id.
func (m *members) self() oleanderline.VMID {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.view.Self().ID
}
