package entry

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/common"
	"github.com/oleanderline/oleanderline/pkg/dispatch"
	"github.com/oleanderline/oleanderline/pkg/idempotency"
	"github.com/oleanderline/oleanderline/pkg/member"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// membership sends and receives heartbeats, and tells the other parts what follows from them.
type membership struct {
	common     *common.Common
	members    *members
	peers      *peers
	dispatcher *dispatcher
	minions    *minions
	home       *keyHome
	interval   time.Duration
	port       string
	joinDelay  time.Duration
	switches   switches
	codec      *heartbeatCodec
	turns      *member.Turns

	mu      sync.Mutex
	serving []oleanderline.VMID
	applied bool
	asking  map[string]bool // targets whose last heartbeat has no reply yet
	now     chan struct{}   // asks for a round at once
}

func (m *membership) run(ctx context.Context) {
	everyone := true
	for ctx.Err() == nil {
		m.round(ctx, everyone)
		everyone = false
		timer := m.common.Clock.NewTimer(m.interval)
		select {
		case <-ctx.Done():
		case <-m.now:
			everyone = true
		case <-timer.C():
		}
		timer.Stop()
	}
}

// round sends one heartbeat to every target, but for those whose turn it is to call unless everyone is set. It does not wait for the replies: a silent target is skipped until its call
// has ended, so that at most one call to each target is open.
func (m *membership) round(ctx context.Context, everyone bool) {
	now := m.common.Clock.Now()
	if m.members.tick(now) {
		m.codec.reset()
		m.common.Event(common.EventPaused).Warn("process stood still for longer than the heartbeat timeout")
	}
	targets := m.members.targets(m.port, now)
	m.peers.keepOnly(targets)
	m.codec.keepOnly(targets)
	everyone = everyone || !m.members.isSettled()
	heartbeat := m.heartbeat()
	var calls sync.WaitGroup
	skipped := false
	for _, target := range targets {
		if !everyone && m.turns.Theirs(target, now) {
			continue
		}
		if !m.begin(target) {
			skipped = true
			continue
		}
		calls.Go(func() {
			defer m.end(target)
			m.exchange(ctx, target, heartbeat)
		})
	}
	if !skipped {
		go func() {
			calls.Wait()
			m.members.settle(now)
			m.apply()
		}()
	}
	m.expire(now)
	m.apply()
}

func (m *membership) begin(target string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.asking[target] {
		return false
	}
	m.asking[target] = true
	return true
}

func (m *membership) end(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.asking, target)
}

// exchangeTries bounds the calls of one exchange: the first may show that the peer does not hold the own state, and the
// second that this entry no longer holds the peer's.
const exchangeTries = 3

// exchange sends a heartbeat, and sends it again if one of the two sides cannot restore what a short one names.
func (m *membership) exchange(ctx context.Context, target string, heartbeat Heartbeat) {
	for range exchangeTries {
		sent := m.codec.forTarget(heartbeat, target)
		var reply Heartbeat
		if err := m.peers.at(target).Call(ctx, "Entry.Heartbeat", sent, &reply); err != nil {
			return
		}
		confirmed := m.codec.replied(target, sent, &reply)
		_, heard := m.heard(reply)
		if heard && (confirmed || !sent.Short) {
			return
		}
	}
}

// answer takes in the heartbeat of a caller and returns the reply.
func (m *membership) answer(heartbeat Heartbeat) Heartbeat {
	if full, ok := m.heard(heartbeat); ok {
		m.turns.Note(full.Member, m.common.Clock.Now())
	}
	return m.codec.forCaller(m.heartbeat(), heartbeat)
}

// heartbeat returns this entry's heartbeat.
func (m *membership) heartbeat() Heartbeat {
	var statement slots.Statement
	m.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		statement = core.Statement(now)
		return actions
	})
	now := m.common.Clock.Now()
	b := m.members.heartbeat(now)
	b.Statement = statement
	m.codec.stamp(&b, now)
	return b
}

// heard takes in a peer's heartbeat and returns it in full. It is false for one that cannot be restored.
func (m *membership) heard(received Heartbeat) (b Heartbeat, ok bool) {
	now := m.common.Clock.Now()
	if b, ok = m.codec.decode(received, now); !ok {
		return Heartbeat{}, false
	}
	if b.Left {
		m.members.left(b.Member)
		m.apply()
		return b, true
	}
	joined, replaced := m.members.hear(b, now)
	if replaced != nil {
		m.home.executorLost(*replaced)
	}
	m.apply()
	m.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		return core.Heard(b.Member.ID, b.Statement, now, actions)
	})
	if joined {
		m.common.Event(common.EventPeerJoined).WithField("peer", string(b.Member.ID)).Info("peer joined")
		m.hurry()
	}
	return b, true
}

// hurry asks for a round at once, so that a change is known everywhere before the next interval.
func (m *membership) hurry() {
	select {
	case m.now <- struct{}{}:
	default:
	}
}

func (m *membership) expire(now time.Time) {
	for _, gone := range m.members.expire(now) {
		m.codec.forget(gone.ID)
		m.common.Event(common.EventPeerLost).WithField("peer", string(gone.ID)).Warn("peer missed its heartbeats")
		m.common.Event(common.EventKeysLost).WithField("peer", string(gone.ID)).Warn("keys that the lost peer kept are decided by their backups")
		m.home.executorLost(idempotency.Executor{ID: gone.ID, Incarnation: gone.Incarnation})
	}
}

// apply passes the present view to the core and to the connections.
func (m *membership) apply() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.common.Clock.Now()
	limit, hosts := m.members.bound(now)
	if m.switches.noBound {
		limit = minionConnections
	}
	m.minions.setLimit(limit)
	if m.minions.within(connectionBound(len(hosts), true)) {
		m.members.setCounted(hosts)
	}
	m.members.join(now, m.joinDelay)
	serving := m.members.serving(now)
	if m.applied && slices.Equal(serving, m.serving) {
		return
	}
	m.serving, m.applied = serving, true
	m.turns.Disturb(now)
	self := m.members.self()
	m.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		return core.SetMembers(self, serving, now, actions)
	})
}

// portOf returns the port of an address.
func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}
