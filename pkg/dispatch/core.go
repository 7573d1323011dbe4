package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// Core makes the dispatch decisions of one entry. It is not safe for concurrent use. Methods append their decisions to
// the passed slice and return it.
type Core struct {
	settings     Settings
	rand         *rand.Rand
	table        *slots.Table
	services     map[oleanderline.ServiceID]*service
	serviceList  []*service // in order of creation, so that a replay makes the same decisions
	minions      map[oleanderline.MinionID]*minion
	requests     map[RequestID]*request
	freeRequests []*request // for reuse
	peers        []*lender
	rules        *rules.Set
	decayedAt    time.Time
	stopping     bool
}

// New returns a Core without members, minions and rules.
func New(options ...Option) *Core {
	c := &Core{
		settings: DefaultSettings(),
		services: map[oleanderline.ServiceID]*service{},
		minions:  map[oleanderline.MinionID]*minion{},
		requests: map[RequestID]*request{},
		rules:    &rules.Set{},
	}
	for _, option := range options {
		option(c)
	}
	if c.rand == nil {
		c.rand = rand.New(rand.NewPCG(1, 1))
	}
	c.table = slots.NewTable(c.settings.Slots)
	return c
}

// Stop makes the entry refuse new requests. Queued and running requests are completed.
func (c *Core) Stop() { c.stopping = true }

// SetMembers replaces the entries that may hold slots, this one included, as the membership view lists them.
func (c *Core) SetMembers(self oleanderline.VMID, members []oleanderline.VMID, now time.Time, actions []Action) []Action {
	c.table.SetMembers(self, members, now)
	c.setLenders(self, members)
	return c.dispatchAll(now, actions)
}

// Statement returns this entry's use of slots, to be sent to every peer with the next heartbeat.
func (c *Core) Statement(now time.Time) slots.Statement { return c.table.Statement(now) }

// HandleStatement processes the statement in a peer's heartbeat. A statement that is older than the newest one is ignored.
func (c *Core) HandleStatement(peer oleanderline.VMID, statement slots.Statement, now time.Time, actions []Action) []Action {
	if !c.table.HandleStatement(peer, statement, now) {
		return actions
	}
	return c.dispatchAll(now, actions)
}

// Tick processes timeouts and periodic work. Call it about every 10 ms.
func (c *Core) Tick(now time.Time, actions []Action) []Action {
	c.table.Tick(now)
	decay := now.Sub(c.decayedAt) >= decayInterval
	if decay {
		c.decayedAt = now
	}
	for _, s := range c.serviceList {
		actions = s.tick(decay, now, actions)
	}
	if decay {
		c.removeAbandoned(now)
	}
	return c.dispatchAll(now, actions)
}

// decayInterval is the time between two decays of the measured latency of minions.
const decayInterval = 100 * time.Millisecond

// dispatchAll updates the available minions of every service and sends queued requests.
func (c *Core) dispatchAll(now time.Time, actions []Action) []Action {
	for _, s := range c.serviceList {
		s.refresh(now)
		actions = s.dispatchQueued(now, actions)
	}
	return actions
}

// Queued returns the number of queued requests of a service.
func (c *Core) Queued(id oleanderline.ServiceID) int {
	if s, ok := c.services[id]; ok {
		return s.queue.Len()
	}
	return 0
}

// Ejected returns the number of ejected minions of all services, among those that are listed.
func (c *Core) Ejected() int {
	n := 0
	for _, m := range c.minions {
		if !m.removed && m.health.Ejected() {
			n++
		}
	}
	return n
}

// InFlight returns the number of exchanges of a service in progress.
func (c *Core) InFlight(id oleanderline.ServiceID) int {
	if s, ok := c.services[id]; ok {
		return s.running[0] + s.running[1]
	}
	return 0
}
