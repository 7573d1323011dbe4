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

// membership sends and receives heartbeats, and applies membership changes to the other components.
type membership struct {
	common     *common.Common
	members    *members
	peers      *peers
	dispatcher *dispatcher
	minions    *minions
	keys       *keyStore
	interval   time.Duration
	port       string
	joinDelay  time.Duration
	disabled   disabledMechanisms
	codec      *heartbeatCodec
	turns      *member.Turns

	mu       sync.Mutex
	serving  []oleanderline.VMID
	applied  bool
	inFlight map[string]bool // targets whose last heartbeat call has not ended
	roundNow chan struct{}   // triggers a round at once
}

func (m *membership) run(ctx context.Context) {
	all := true
	for ctx.Err() == nil {
		m.round(ctx, all)
		all = false
		timer := m.common.Clock.NewTimer(m.interval)
		select {
		case <-ctx.Done():
		case <-m.roundNow:
			all = true
		case <-timer.C():
		}
		timer.Stop()
	}
}

// round sends one heartbeat to every target. Unless all is set, it skips the targets that are expected to send the next
// heartbeat themselves. It does not wait for the replies: a target is skipped until the last call to it has ended, so
// that at most one call to each target is in flight.
func (m *membership) round(ctx context.Context, all bool) {
	now := m.common.Clock.Now()
	if m.members.tick(now) {
		m.codec.forgetAll()
		m.common.Event(common.EventProcessPaused).Warn("process was paused for longer than the heartbeat timeout; no idempotency key is decided until the next round of heartbeats has ended")
	}
	targets := m.members.heartbeatTargets(m.port, now)
	m.peers.retainOnly(targets)
	m.codec.retainOnly(targets)
	all = all || !m.members.hasContactedAll()
	heartbeat := m.heartbeat()
	var calls sync.WaitGroup
	skipped := false
	for _, target := range targets {
		if !all && m.turns.PeerCalls(target, now) {
			continue
		}
		if !m.beginCall(target) {
			skipped = true
			continue
		}
		calls.Go(func() {
			defer m.endCall(target)
			m.exchange(ctx, target, heartbeat)
		})
	}
	if !skipped {
		go func() {
			calls.Wait()
			m.members.recordRound(now)
			m.applyView()
		}()
	}
	m.expirePeers(now)
	m.applyView()
}

func (m *membership) beginCall(target string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight[target] {
		return false
	}
	m.inFlight[target] = true
	return true
}

func (m *membership) endCall(target string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.inFlight, target)
}

// maxExchangeCalls limits the calls of one exchange: the first may show that the peer does not hold this entry's state,
// and the second that this entry no longer holds the peer's.
const maxExchangeCalls = 3

// exchange sends a heartbeat, and repeats it if one of the two sides does not hold the version of a short heartbeat.
func (m *membership) exchange(ctx context.Context, target string, heartbeat Heartbeat) {
	for range maxExchangeCalls {
		sent := m.codec.encodeFor(heartbeat, target)
		var reply Heartbeat
		if err := m.peers.client(target).Call(ctx, "Entry.Heartbeat", sent, &reply); err != nil {
			return
		}
		confirmed := m.codec.handleReply(target, sent, &reply)
		_, heard := m.receive(reply)
		if heard && (confirmed || !sent.Short) {
			return
		}
	}
}

// handleHeartbeat processes the heartbeat of a peer and returns the reply.
func (m *membership) handleHeartbeat(heartbeat Heartbeat) Heartbeat {
	if full, ok := m.receive(heartbeat); ok {
		m.turns.RecordCall(full.Member, m.common.Clock.Now())
	}
	return m.codec.encodeReply(m.heartbeat(), heartbeat)
}

// heartbeat returns a new full heartbeat of this entry.
func (m *membership) heartbeat() Heartbeat {
	var statement slots.Statement
	m.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		statement = core.Statement(now)
		return actions
	})
	now := m.common.Clock.Now()
	hb := m.members.heartbeat(now)
	hb.Statement = statement
	m.codec.setVersion(&hb, now)
	return hb
}

// receive processes a peer's heartbeat and returns it in full. It returns false for a short one whose version is not
// held.
func (m *membership) receive(received Heartbeat) (hb Heartbeat, ok bool) {
	now := m.common.Clock.Now()
	if hb, ok = m.codec.decode(received, now); !ok {
		return Heartbeat{}, false
	}
	if hb.Left {
		m.members.recordLeave(hb.Member)
		m.applyView()
		return hb, true
	}
	joined, replaced := m.members.recordHeartbeat(hb, now)
	if replaced != nil {
		m.keys.handleExecutorLost(*replaced)
	}
	m.applyView()
	m.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		return core.HandleStatement(hb.Member.ID, hb.Statement, now, actions)
	})
	if joined {
		m.common.Event(common.EventPeerJoined).WithField("peer", string(hb.Member.ID)).Info("peer joined")
		m.triggerRound()
	}
	return hb, true
}

// triggerRound starts a round at once, so that all peers learn of a change before the next interval.
func (m *membership) triggerRound() {
	select {
	case m.roundNow <- struct{}{}:
	default:
	}
}

func (m *membership) expirePeers(now time.Time) {
	for _, gone := range m.members.expire(now) {
		m.codec.forget(gone.ID)
		m.common.Event(common.EventPeerLost).WithField("peer", string(gone.ID)).Warn("no heartbeat from peer within the timeout; considered failed")
		m.common.Event(common.EventKeysLost).WithField("peer", string(gone.ID)).Warn("idempotency keys of the failed peer are now decided by their backups")
		m.keys.handleExecutorLost(idempotency.Executor{ID: gone.ID, Incarnation: gone.Incarnation})
	}
}

// applyView applies the current view to the connection limits and to the decision core.
func (m *membership) applyView() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.common.Clock.Now()
	limit, hosts := m.members.connectionLimit(now)
	if m.disabled.connectionLimit {
		limit = maxMinionConnections
	}
	m.minions.setLimit(limit)
	if m.minions.withinLimit(connectionLimit(len(hosts), true)) {
		m.members.setCountedHosts(hosts)
	}
	m.members.join(now, m.joinDelay)
	serving := m.members.servingIDs(now)
	if m.applied && slices.Equal(serving, m.serving) {
		return
	}
	m.serving, m.applied = serving, true
	m.turns.MembersChanged(now)
	self := m.members.selfID()
	m.dispatcher.update(func(core *dispatch.Core, now time.Time, actions []dispatch.Action) []dispatch.Action {
		return core.SetMembers(self, serving, now, actions)
	})
}

// portOf returns the port of an address.
func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}
