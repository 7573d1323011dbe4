package dispatch

import (
	"slices"
	"time"

	"github.com/oleanderline/oleanderline"
	"github.com/oleanderline/oleanderline/pkg/admit"
	"github.com/oleanderline/oleanderline/pkg/balance"
	"github.com/oleanderline/oleanderline/pkg/eject"
	"github.com/oleanderline/oleanderline/pkg/slots"
)

// minion is the state of one minion at this entry.
type minion struct {
	Minion
	service   *service
	slots     *slots.Minion
	candidate balance.Candidate
	health    eject.Minion
	limit     admit.Limit
	drained   bool // by a rule
	removed   bool // no longer listed; kept until its last exchange ends
}

// accepts reports whether the minion may get new requests.
func (m *minion) accepts() bool {
	return !m.Leaving && !m.drained && !m.removed && !m.health.Ejected()
}

// SetMinions replaces the list of minions. A minion that is no longer listed gets no new requests.
func (c *Core) SetMinions(minions []Minion, now time.Time, actions []Action) []Action {
	listed := make(map[oleanderline.MinionID]bool, len(minions))
	for _, m := range minions {
		listed[m.ID] = true
		c.setMinion(m, now)
	}
	for _, s := range c.order {
		for _, m := range s.minions {
			if m != nil && !listed[m.ID] {
				m.removed = true
				c.removeIdle(m)
			}
		}
	}
	c.table.Tick(now)
	return c.serveAll(now, actions)
}

func (c *Core) setMinion(m Minion, now time.Time) {
	if m.Slots <= 0 {
		m.Slots = c.settings.DefaultSlots
	}
	known, ok := c.minions[m.ID]
	if !ok {
		known = c.addMinion(m)
	}
	known.Minion = m
	known.removed = false
	known.slots = c.table.Add(m.ID, m.Slots, now)
	known.drained = c.drained(known, now)
}

func (c *Core) addMinion(m Minion) *minion {
	s, ok := c.services[m.Service]
	if !ok {
		s = c.newService(m.Service)
	}
	known := &minion{service: s, limit: admit.NewLimit(c.settings.Limit, m.Slots)}
	known.candidate = balance.Candidate{Owner: len(s.minions), Score: 1}
	if free := slices.Index(s.minions, nil); free >= 0 {
		known.candidate.Owner = free
		s.minions[free] = known
	} else {
		s.minions = append(s.minions, known)
	}
	c.minions[m.ID] = known
	s.ejector.Add()
	return known
}

// removeIdle forgets a minion that is no longer listed, once it has no exchange.
func (c *Core) removeIdle(m *minion) {
	if !m.removed || m.candidate.Load > 0 {
		return
	}
	m.service.picker.Set(&m.candidate, false)
	m.service.ejector.Remove(&m.health)
	m.service.minions[m.candidate.Owner] = nil
	c.table.Remove(m.ID)
	delete(c.minions, m.ID)
}

// ProbeResult records the result of an ActionProbe.
func (c *Core) ProbeResult(id oleanderline.MinionID, ok bool, now time.Time, actions []Action) []Action {
	m, known := c.minions[id]
	if !known || !m.service.ejector.ProbeResult(&m.health, ok, now) {
		return actions
	}
	m.candidate.Score = m.health.Score()
	m.service.refresh(now)
	return m.service.serve(now, actions)
}
