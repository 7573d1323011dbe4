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

	mu      sync.Mutex
	serving []oleanderline.VMID
	applied bool
	asking  map[string]bool // targets whose last heartbeat has no reply yet
	now     chan struct{}   // asks for a round at once
}

func (m *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.round(ctx)
		timer := m.common.Clock.NewTimer(m.interval)
		select {
		case <-ctx.Done():
		case <-m.now:
		case <-timer.C():
		}
		timer.Stop()
	}
}

// round sends one heartbeat to every target. It does not wait for the replies: a silent target is skipped until its call
// has ended, so that at most one call to each target is open.
func (m *membership) round(ctx context.Context) {
	now := m.common.Clock.Now()
	if m.members.tick(now) {
		m.common.Event(common.EventPaused).Warn("process stood still for longer than the heartbeat timeout")
	}
	targets := m.members.targets(m.port, now)
	m.peers.keepOnly(targets)
	beat := m.beat()
	var calls sync.WaitGroup
	skipped := false
	for _, target := range targets {
		if !m.begin(target) {
			skipped = true
			continue
		}
		calls.Go(func() {
			defer m.end(target)
			m.exchange(ctx, target, beat)
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

func (m *membership) exchange(ctx context.Context, target string, beat Beat) {
	var reply Beat
	if err := m.peers.at(target).Call(ctx, "Entry.Heartbeat", beat, &reply); err != nil {
		return
	}
	m.heard(reply)
}

// beat returns this entry's heartbeat.
func (m *membership) beat() Beat {
	var statement slots.Statement
	m.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		statement = core.Statement(now)
		return actions
	})
	b := m.members.beat(m.common.Clock.Now())
	b.Statement = statement
	return b
}

// heard takes in a peer's heartbeat.
func (m *membership) heard(b Beat) {
	now := m.common.Clock.Now()
	if b.Left {
		m.members.left(b.Member)
		m.apply()
		return
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
		m.common.Event(common.EventPeerLost).WithField("peer", string(gone.ID)).Warn("peer missed its heartbeats")
		m.common.Event(common.EventKeysLost).WithField("peer", string(gone.ID)).Warn("retries of keys that the lost peer kept are answered 409")
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
