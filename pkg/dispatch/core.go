package dispatch

import (
	"math/rand/v2"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/rules"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// Core decides for one entry. It is not safe for concurrent use: the caller serializes the calls. Methods append their
// decisions to the passed slice and return it.
type Core struct {
	settings Settings
	rand     *rand.Rand
	table    *slots.Table
	services map[oleanderline.ServiceID]*service
	order    []*service // fixed order, so that a replay decides alike
	minions  map[oleanderline.MinionID]*minion
	requests map[RequestID]*request
	unused   []*request
	peers    []*lender
	rules    *rules.Set
	fadedAt  time.Time
	stopping bool
}

// New returns a core without members, minions and rules.
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

// Stop refuses new requests from now on. Requests that wait or run are finished.
func (c *Core) Stop() { c.stopping = true }

// SetMembers replaces the eligible own VMs, as the membership view gives them.
func (c *Core) SetMembers(self oleanderline.VMID, members []oleanderline.VMID, now time.Time, actions []Action) []Action {
	c.table.SetMembers(self, members, now)
	c.setLenders(self, members)
	return c.serveAll(now, actions)
}

// Statement returns what the next heartbeat tells every peer about this entry's slots.
func (c *Core) Statement(now time.Time) slots.Statement { return c.table.Statement(now) }

// Heard takes in the statement of a peer's heartbeat. Members that the view does not contain are ignored.
func (c *Core) Heard(peer oleanderline.VMID, said slots.Statement, now time.Time, actions []Action) []Action {
	if !c.table.Heard(peer, said, now) {
		return actions
	}
	return c.serveAll(now, actions)
}

// Tick applies the passing of time; it is to be called about every 10 ms.
func (c *Core) Tick(now time.Time, actions []Action) []Action {
	c.table.Tick(now)
	fade := now.Sub(c.fadedAt) >= fadeEvery
	if fade {
		c.fadedAt = now
	}
	for _, s := range c.order {
		actions = s.tick(fade, now, actions)
	}
	if fade {
		c.forgetParked(now)
	}
	return c.serveAll(now, actions)
}

const fadeEvery = 100 * time.Millisecond

func (c *Core) serveAll(now time.Time, actions []Action) []Action {
	for _, s := range c.order {
		s.refresh(now)
		actions = s.serve(now, actions)
	}
	return actions
}

// Queued returns the number of requests of a service that wait.
func (c *Core) Queued(id oleanderline.ServiceID) int {
	if s, ok := c.services[id]; ok {
		return s.gate.Len()
	}
	return 0
}

// Ejected returns the number of listed minions of all services that are ejected.
func (c *Core) Ejected() int {
	n := 0
	for _, m := range c.minions {
		if !m.removed && m.health.Ejected() {
			n++
		}
	}
	return n
}

// InFlight returns the number of exchanges of a service that have not ended.
func (c *Core) InFlight(id oleanderline.ServiceID) int {
	if s, ok := c.services[id]; ok {
		return s.running[0] + s.running[1]
	}
	return 0
}
